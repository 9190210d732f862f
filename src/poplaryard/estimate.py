"""Sizes and run times learned from what tasks of the same class have used."""

import math
import typing as t
from collections import OrderedDict
from dataclasses import dataclass, field

from .messages import Work
from .resources import ZERO, Resources

__all__ = ["Estimator"]

# Classes remembered; the one not seen for longest is dropped. An entry takes about
# 1 KB, so that all take 1 MB.
CLASSES = 1024

# Run times are counted in buckets that grow by the square root of two from 10 ms.
_FIRST_S = 0.01
_BUCKETS = 48

# Counts are halved at this number, so that old run times lose weight.
_HALVE_AT = 256

# Samples below which the declared run time is used.
_MIN_SAMPLES = 5

# Part of the distance by which a learned size shrinks at a smaller sample. Sizes are
# charged, so they grow at once and shrink slowly.
_SHRINK = 0.05

_Key: t.TypeAlias = tuple[str, str, str, Resources]


@dataclass(slots=True)
class _Learned:
    size: Resources = ZERO
    counts: list[int] = field(default_factory=lambda: [0] * _BUCKETS)
    total: int = 0


class Estimator:
    """Estimates per job class; a class is a team's work of one name and size.

    Tasks of one name but of different declared sizes do not share a learned size, or
    one large job would raise the charge of all.
    """

    def __init__(self) -> None:
        self._classes: OrderedDict[_Key, _Learned] = OrderedDict()

    def __len__(self) -> int:
        return len(self._classes)

    def saw_size(self, work: Work, used: Resources) -> None:
        """Learn from a measured use."""
        if used == ZERO:
            return
        learned = self._entry(work)
        old = learned.size
        learned.size = Resources(
            _toward(old.cpu_m, used.cpu_m),
            _toward(old.mem_mb, used.mem_mb),
            max(old.gpus, used.gpus),
        )

    def saw_time(self, work: Work, elapsed_s: float) -> None:
        """Learn from a finished task's run time in seconds."""
        if elapsed_s <= 0:
            return
        learned = self._entry(work)
        learned.counts[_bucket(elapsed_s)] += 1
        learned.total += 1
        if learned.total >= _HALVE_AT:
            learned.counts = [count // 2 for count in learned.counts]
            learned.total = sum(learned.counts)

    def charge(self, work: Work, limit: Resources) -> Resources:
        """Return what to charge for one task.

        It is the larger of the declared and the learned size. The learned size counts
        at most as `limit`, the largest VM, since work that has run can run again.
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
        """Return a quantile of the class's run times, or the declared one."""
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


def _toward(old: int, seen: int) -> int:
    return max(seen, old - math.ceil((old - seen) * _SHRINK))


def _bucket(elapsed_s: float) -> int:
    """Return the bucket whose upper end is the first not below `elapsed_s`."""
    if elapsed_s <= _FIRST_S:
        return 0
    return min(_BUCKETS - 1, math.ceil(2 * math.log2(elapsed_s / _FIRST_S)))
