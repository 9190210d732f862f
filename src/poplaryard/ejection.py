"""Ejection of failing and slow VMs, with probes and a gradual return."""

import math
from collections import deque
from dataclasses import dataclass, field

from .statechart import load_chart

__all__ = ["Ejector"]

_CHART = load_chart("ejection")

_WINDOW = 20
_MIN_SAMPLES = 10
_FAILED_SHARE = 0.5
# A VM must also fail this factor more often than the others of its class. Otherwise the
# fault is in the work, and ejection would only take capacity away.
_FAILED_FACTOR = 2.0
_COOL_S = 5.0
_MAX_COOL_S = 60.0
_PROBES = 3
_PROBE_WEIGHT = 0.05
_RAMP_S = 20.0
_MAX_EJECTED = 0.5
# A VM is slow if its run times are this factor above those of its class. Means are of
# logarithms, so that a few long jobs do not make a VM slow.
_SLOW_FACTOR = 3.0
_SLOW_WEIGHT = 0.1
_SLOW_SAMPLES = 10


@dataclass(slots=True)
class _Mean:
    """Exponentially weighted mean of the logarithm of run time ratios."""

    value: float = 0.0
    count: int = 0

    def add(self, ratio: float) -> None:
        weight = max(_SLOW_WEIGHT, 1.0 / (self.count + 1))
        self.value += weight * (math.log(max(ratio, 1e-6)) - self.value)
        self.count += 1


@dataclass(slots=True)
class _Health:
    """Recent results of one VM and its state in the chart."""

    group: str = ""
    state: str = _CHART.initial
    since: float = 0.0
    cool_s: float = field(default_factory=lambda: _COOL_S)
    probes: int = 0
    results: deque[bool] = field(default_factory=lambda: deque(maxlen=_WINDOW))
    run_time: _Mean = field(default_factory=_Mean)

    @property
    def failed_share(self) -> float:
        count = len(self.results)
        return self.results.count(False) / count if count else 0.0


class Ejector:
    """Weights of VMs by their recent results.

    A VM that fails half of its window, or is much slower than its class, is given no
    work, then a few probes, then a share that grows to the full one. At most half of a
    class of VMs is ejected.
    """

    def __init__(self) -> None:
        self._vms: dict[str, _Health] = {}
        self._sizes: dict[str, int] = {}
        self._out: dict[str, int] = {}
        self._run_times: dict[str, _Mean] = {}
        self._failed: dict[str, float] = {}

    def add(self, vm: str, group: str = "") -> None:
        """Take up a VM of a class; its size bounds how many can be ejected."""
        if vm not in self._vms:
            self._vms[vm] = _Health(group)
            self._sizes[group] = self._sizes.get(group, 0) + 1

    def forget(self, vm: str) -> None:
        """Drop a VM that has left."""
        health = self._vms.pop(vm, None)
        if health is not None:
            self._note(health, None)
            self._sizes[health.group] -= 1
            self._out[health.group] = self._out.get(health.group, 0) - (
                health.state in ("open", "half_open")
            )

    def record(
        self, now: float, vm: str, ok: bool, elapsed_s: float, expected_s: float = 1.0
    ) -> None:
        """Take the result of one attempt on a VM.

        Parameters
        ----------
        expected_s : float
            Run time expected of the attempt in seconds. Without it, a VM that runs
            only long work is taken for a slow one.
        """
        self.add(vm)
        health = self._vms[vm]
        self._advance(now, health)
        if health.state == "open":
            return
        if ok:
            health.run_time.add(elapsed_s / expected_s)
            if health.state == "closed":
                self._run_times.setdefault(health.group, _Mean()).add(
                    elapsed_s / expected_s
                )
        if health.state == "half_open":
            self._probed(now, health, ok)
            return
        self._note(health, ok)
        if self._is_failing(health) or self._is_slow(health, _SLOW_SAMPLES):
            self._trip(now, health)

    def weight(self, now: float, vm: str) -> float:
        """Return the share of its normal work that a VM may get, from 0 to 1."""
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
        if health.state == "open" and elapsed_s >= health.cool_s:
            self._move(now, health, "cooled")
        elif health.state == "ramp" and elapsed_s >= _RAMP_S:
            health.cool_s = _COOL_S
            self._move(now, health, "ramp_ended")

    def _note(self, health: _Health, ok: bool | None) -> None:
        """Add a result to the window of a VM, or clear it, and sum up its class."""
        before = health.failed_share
        if ok is None:
            health.results.clear()
        else:
            health.results.append(ok)
        change = health.failed_share - before
        self._failed[health.group] = self._failed.get(health.group, 0.0) + change

    def _is_failing(self, health: _Health) -> bool:
        share = health.failed_share
        if len(health.results) < _MIN_SAMPLES or share < _FAILED_SHARE:
            return False
        group = health.group
        others = max(1, self._sizes[group] - self._out.get(group, 0) - 1)
        usual = (self._failed[group] - share) / others
        return share >= _FAILED_FACTOR * usual

    def _is_slow(self, health: _Health, samples: int) -> bool:
        usual = self._run_times.get(health.group)
        if usual is None or min(health.run_time.count, usual.count) < samples:
            return False
        return health.run_time.value - usual.value > math.log(_SLOW_FACTOR)

    def _probed(self, now: float, health: _Health, ok: bool) -> None:
        if not ok:
            health.cool_s = min(_MAX_COOL_S, 2 * health.cool_s)
            self._move(now, health, "probe_failed")
            return
        health.probes += 1
        if health.probes >= _PROBES:
            slow = self._is_slow(health, _PROBES)
            self._move(now, health, "probe_failed" if slow else "probes_passed")

    def _trip(self, now: float, health: _Health) -> None:
        out = self._out.get(health.group, 0)
        if out + 1 <= _MAX_EJECTED * self._sizes[health.group]:
            self._move(now, health, "trip")

    def _move(self, now: float, health: _Health, trigger: str) -> None:
        was_out = health.state in ("open", "half_open")
        health.state = _CHART.step(health.state, trigger)
        is_out = health.state in ("open", "half_open")
        health.since, health.probes = now, 0
        self._note(health, None)
        health.run_time = _Mean()
        change = int(is_out) - int(was_out)
        self._out[health.group] = self._out.get(health.group, 0) + change
