"""Estimates of size and run time, learned from measurements of tasks of one class."""

import math
import typing as t
from collections import OrderedDict
from dataclasses import dataclass, field

from .messages import Work
from .resources import ZERO, Resources

__all__ = ["Estimator"]

# Maximum number of job classes kept; the least recently updated one is evicted. At
# about 1 KB per entry, all take 1 MB.
CLASSES = 1024

# Run times are kept in a histogram. The first bucket ends at 10 ms, and the upper
# bounds grow by a factor of the square root of two.
_FIRST_S = 0.01
_BUCKETS = 48

# Total at which all bucket counts are halved, so that old run times lose weight.
_HALVE_AT = 256

# With fewer samples than this, the declared run time is used.
_MIN_SAMPLES = 5

# Fraction of the difference by which a smaller sample lowers a learned size. VMs are
# charged by learned sizes, so sizes rise at once and fall slowly.
_SHRINK = 0.05

_Key: t.TypeAlias = tuple[str, str, str, Resources]


@dataclass(slots=True)
class _Learned:
    """Learned size and run time histogram of one job class."""

    size: Resources = ZERO
    counts: list[int] = field(default_factory=lambda: [0] * _BUCKETS)
    total: int = 0


class Estimator:
    """Estimates for each job class: work of one team, class name, target and size.

    The declared size is part of the key, because one large job would otherwise raise
    the charge of all small jobs of the same name.
    """

    def __init__(self) -> None:
        self._classes: OrderedDict[_Key, _Learned] = OrderedDict()

    def __len__(self) -> int:
        return len(self._classes)

    def record_usage(self, work: Work, used: Resources) -> None:
        """Update the learned size with the measured usage of a task."""
        if used == ZERO:
            return
        learned = self._entry(work)
        old = learned.size
        learned.size = Resources(
            _updated_size(old.cpu_m, used.cpu_m),
            _updated_size(old.mem_mb, used.mem_mb),
            max(old.gpus, used.gpus),
        )

    def record_run_time(self, work: Work, elapsed_s: float) -> None:
        """Add the run time of a finished task, in seconds."""
        if elapsed_s <= 0:
            return
        learned = self._entry(work)
        learned.counts[_bucket(elapsed_s)] += 1
        learned.total += 1
        if learned.total >= _HALVE_AT:
            learned.counts = [count // 2 for count in learned.counts]
            learned.total = sum(learned.counts)

    def charge(self, work: Work, limit: Resources) -> Resources:
        """Return the resources to charge a VM for one task.

        This is the element-wise maximum of the declared and the learned size. The
        learned size is capped at `limit`, the size of the largest VM: work that has run
        must not become too large for every VM.
        """
        learned = self._classes.get(_key(work))
        if learned is None or learned.size.fits_in(work.need):
            return work.need
        bounded = Resources(
            min(learned.size.cpu_m, limit.cpu_m),
            min(learned.size.mem_mb, limit.mem_mb),
            min(learned.size.gpus, limit.gpus),
        )
        return bounded.maximum(work.need)

    def run_time_s(self, work: Work, quantile: float = 0.5) -> float:
        """Return a quantile of the run times of the class, in seconds.

        The declared run time is returned while there are too few samples.
        """
        learned = self._classes.get(_key(work))
        if learned is None or learned.total < _MIN_SAMPLES:
            return work.declared_s
        rank = quantile * learned.total
        for bucket, count in enumerate(learned.counts):
            rank -= count
            if rank <= 0:
                return _FIRST_S * 2 ** (bucket / 2)
        return _FIRST_S * 2 ** (_BUCKETS / 2)

    def _entry(self, work: Work) -> _Learned:
        key = _key(work)
        learned = self._classes.get(key)
        if learned is None:
            learned = self._classes[key] = _Learned()
            if len(self._classes) > CLASSES:
                self._classes.popitem(last=False)
        else:
            self._classes.move_to_end(key)
        return learned


def _key(work: Work) -> _Key:
    return work.team, work.job_class, work.target, work.need


def _updated_size(old: int, used: int) -> int:
    return max(used, old - math.ceil((old - used) * _SHRINK))


def _bucket(elapsed_s: float) -> int:
    """Return the bucket whose upper end is the first not below `elapsed_s`."""
    if elapsed_s <= _FIRST_S:
        return 0
    return min(_BUCKETS - 1, math.ceil(2 * math.log2(elapsed_s / _FIRST_S)))
