"""Outlier ejection: a circuit breaker for each VM, with probes and a gradual return."""

import math
from collections import deque
from dataclasses import dataclass, field

from .statechart import load_chart

__all__ = ["Ejector"]

_CHART = load_chart("ejection")

# Number of recent results kept for each VM.
_WINDOW = 20
# With fewer results than this, a VM does not count as failing.
_MIN_SAMPLES = 10
# Share of failed results from which a VM counts as failing.
_FAILED_SHARE = 0.5
# A VM is ejected only if its failure rate is also this factor above that of the others
# of its class. Otherwise the fault is in the work, and ejection only loses capacity.
_FAILED_FACTOR = 2.0
# Time for which an ejected VM gets no work; each failed probe doubles it up to a limit.
_COOLDOWN_S = 5.0
_MAX_COOLDOWN_S = 60.0
# Number of probes that must succeed before more work is given to a VM.
_PROBES = 3
# Share of its normal work that a VM gets as probes.
_PROBE_WEIGHT = 0.05
# Time over which the weight of a VM grows to 1 after its probes have succeeded.
_RAMP_S = 20.0
# Largest share of a class that is ejected at a time.
_MAX_EJECTED = 0.5
# A VM is slow if its run times are this factor above those of its class. Logarithms are
# averaged, so that a few long jobs do not make a VM slow.
_SLOW_FACTOR = 3.0
# Weight of a new run time in these means.
_SLOW_WEIGHT = 0.1
# With fewer run times than this, a VM does not count as slow.
_SLOW_SAMPLES = 10


@dataclass(slots=True)
class _MeanLogRatio:
    """Exponentially weighted mean of the logarithm of actual to expected run time."""

    value: float = 0.0
    count: int = 0

    def add(self, ratio: float) -> None:
        weight = max(_SLOW_WEIGHT, 1.0 / (self.count + 1))
        self.value += weight * (math.log(max(ratio, 1e-6)) - self.value)
        self.count += 1


@dataclass(slots=True)
class _Health:
    """Recent results of one VM, and its state in the ejection chart."""

    group: str = ""
    state: str = _CHART.initial
    since: float = 0.0
    cooldown_s: float = field(default_factory=lambda: _COOLDOWN_S)
    probes: int = 0
    results: deque[bool] = field(default_factory=lambda: deque(maxlen=_WINDOW))
    run_time: _MeanLogRatio = field(default_factory=_MeanLogRatio)

    @property
    def failed_share(self) -> float:
        count = len(self.results)
        return self.results.count(False) / count if count else 0.0


class Ejector:
    """Computes the weight of each VM from its recent results.

    A VM that fails half of its recent attempts, or is much slower than its class, gets
    no work for a while, then a few probes, then a share that grows back to the full
    one. At most half of a class of VMs is ejected at a time.
    """

    def __init__(self) -> None:
        self._vms: dict[str, _Health] = {}
        # By class: VMs, ejected VMs, mean run time, and sum of the failed shares.
        self._class_sizes: dict[str, int] = {}
        self._ejected: dict[str, int] = {}
        self._run_times: dict[str, _MeanLogRatio] = {}
        self._failed_shares: dict[str, float] = {}

    def add(self, vm: str, group: str = "") -> None:
        """Add a VM to its class; the class size limits how many can be ejected."""
        if vm not in self._vms:
            self._vms[vm] = _Health(group)
            self._class_sizes[group] = self._class_sizes.get(group, 0) + 1

    def forget(self, vm: str) -> None:
        """Remove a VM that has left."""
        health = self._vms.pop(vm, None)
        if health is not None:
            self._update_window(health, None)
            self._class_sizes[health.group] -= 1
            self._ejected[health.group] = self._ejected.get(health.group, 0) - (
                health.state in ("open", "half_open")
            )

    def record(
        self, now: float, vm: str, ok: bool, elapsed_s: float, expected_s: float = 1.0
    ) -> None:
        """Record the result of one attempt on a VM.

        Parameters
        ----------
        ok : bool
            Whether the attempt succeeded.
        elapsed_s : float
            Run time of the attempt in seconds.
        expected_s : float
            Expected run time of the attempt in seconds. Run times are compared as a
            ratio to it, so that a VM that runs only long work does not count as slow.
        """
        self.add(vm)
        health = self._vms[vm]
        self._advance(now, health)
        if health.state == "open":
            return
        if ok:
            health.run_time.add(elapsed_s / expected_s)
            if health.state == "closed":
                self._run_times.setdefault(health.group, _MeanLogRatio()).add(
                    elapsed_s / expected_s
                )
        if health.state == "half_open":
            self._record_probe(now, health, ok)
            return
        self._update_window(health, ok)
        if self._is_failing(health) or self._is_slow(health, _SLOW_SAMPLES):
            self._trip(now, health)

    def weight(self, now: float, vm: str) -> float:
        """Return the share of its normal work that a VM may get now, from 0 to 1."""
        health = self._vms.get(vm)
        if health is None:
            return 1.0
        self._advance(now, health)
        if health.state == "open":
            return 0.0
        if health.state == "half_open":
            return _PROBE_WEIGHT
        if health.state == "ramp":
            return max(_PROBE_WEIGHT, min(1.0, (now - health.since) / _RAMP_S))
        return 1.0

    def _advance(self, now: float, health: _Health) -> None:
        elapsed_s = now - health.since
        if health.state == "open" and elapsed_s >= health.cooldown_s:
            self._apply(now, health, "cooled")
        elif health.state == "ramp" and elapsed_s >= _RAMP_S:
            health.cooldown_s = _COOLDOWN_S
            self._apply(now, health, "ramp_ended")

    def _update_window(self, health: _Health, ok: bool | None) -> None:
        """Append a result to the window of a VM, or clear the window if `ok` is None.

        The sum of the failed shares of its class is updated.
        """
        before = health.failed_share
        if ok is None:
            health.results.clear()
        else:
            health.results.append(ok)
        change = health.failed_share - before
        self._failed_shares[health.group] = (
            self._failed_shares.get(health.group, 0.0) + change
        )

    def _is_failing(self, health: _Health) -> bool:
        share = health.failed_share
        if len(health.results) < _MIN_SAMPLES or share < _FAILED_SHARE:
            return False
        group = health.group
        others = max(1, self._class_sizes[group] - self._ejected.get(group, 0) - 1)
        mean_of_others = (self._failed_shares[group] - share) / others
        return share >= _FAILED_FACTOR * mean_of_others

    def _is_slow(self, health: _Health, samples: int) -> bool:
        class_mean = self._run_times.get(health.group)
        if class_mean is None or min(health.run_time.count, class_mean.count) < samples:
            return False
        return health.run_time.value - class_mean.value > math.log(_SLOW_FACTOR)

    def _record_probe(self, now: float, health: _Health, ok: bool) -> None:
        if not ok:
            health.cooldown_s = min(_MAX_COOLDOWN_S, 2 * health.cooldown_s)
            self._apply(now, health, "probe_failed")
            return
        health.probes += 1
        if health.probes >= _PROBES:
            slow = self._is_slow(health, _PROBES)
            self._apply(now, health, "probe_failed" if slow else "probes_passed")

    def _trip(self, now: float, health: _Health) -> None:
        ejected = self._ejected.get(health.group, 0)
        if ejected + 1 <= _MAX_EJECTED * self._class_sizes[health.group]:
            self._apply(now, health, "trip")

    def _apply(self, now: float, health: _Health, trigger: str) -> None:
        was_ejected = health.state in ("open", "half_open")
        health.state = _CHART.step(health.state, trigger)
        is_ejected = health.state in ("open", "half_open")
        health.since, health.probes = now, 0
        self._update_window(health, None)
        health.run_time = _MeanLogRatio()
        change = int(is_ejected) - int(was_ejected)
        self._ejected[health.group] = self._ejected.get(health.group, 0) + change
