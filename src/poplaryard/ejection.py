"""Ejection of failing and slow VMs, with probes and a gradual return."""

from collections import deque
from dataclasses import dataclass, field

from .statechart import load_chart

__all__ = ["Ejector"]

_CHART = load_chart("ejection")

_WINDOW = 10
_MIN_SAMPLES = 5
_FAILED_SHARE = 0.5
_COOL_S = 5.0
_MAX_COOL_S = 60.0
_PROBES = 3
_PROBE_WEIGHT = 0.05
_RAMP_S = 20.0
_MAX_EJECTED = 0.5


@dataclass(slots=True)
class _Health:
    """Recent results of one VM and its state in the chart."""

    group: str = ""
    state: str = _CHART.initial
    since: float = 0.0
    cool_s: float = _COOL_S
    probes: int = 0
    results: deque[bool] = field(default_factory=lambda: deque(maxlen=_WINDOW))


class Ejector:
    """Weights of VMs by their recent results.

    A VM that fails half of its window is given no work, then a few probes, then a
    share that grows to the full one. At most half of a class of VMs is ejected.
    """

    def __init__(self) -> None:
        self._vms: dict[str, _Health] = {}
        self._sizes: dict[str, int] = {}
        self._out: dict[str, int] = {}

    def add(self, vm: str, group: str = "") -> None:
        """Take up a VM of a class; its size bounds how many can be ejected."""
        if vm not in self._vms:
            self._vms[vm] = _Health(group)
            self._sizes[group] = self._sizes.get(group, 0) + 1

    def forget(self, vm: str) -> None:
        """Drop a VM that has left."""
        health = self._vms.pop(vm, None)
        if health is not None:
            self._sizes[health.group] -= 1
            self._out[health.group] = self._out.get(health.group, 0) - (
                health.state in ("open", "half_open")
            )

    def record(self, now: float, vm: str, ok: bool, elapsed_s: float) -> None:
        """Take the result of one attempt on a VM."""
        self.add(vm)
        health = self._vms[vm]
        self._advance(now, health)
        if health.state == "half_open":
            self._probed(now, health, ok)
            return
        if health.state == "open":
            return
        health.results.append(ok)
        failed = health.results.count(False)
        enough = len(health.results) >= _MIN_SAMPLES
        if enough and failed >= _FAILED_SHARE * len(health.results):
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

    def _probed(self, now: float, health: _Health, ok: bool) -> None:
        if not ok:
            health.cool_s = min(_MAX_COOL_S, 2 * health.cool_s)
            self._move(now, health, "probe_failed")
            return
        health.probes += 1
        if health.probes >= _PROBES:
            self._move(now, health, "probes_passed")

    def _trip(self, now: float, health: _Health) -> None:
        out = self._out.get(health.group, 0)
        if out + 1 <= _MAX_EJECTED * self._sizes[health.group]:
            self._move(now, health, "trip")

    def _move(self, now: float, health: _Health, trigger: str) -> None:
        was_out = health.state in ("open", "half_open")
        health.state = _CHART.step(health.state, trigger)
        is_out = health.state in ("open", "half_open")
        health.since, health.probes = now, 0
        health.results.clear()
        change = int(is_out) - int(was_out)
        self._out[health.group] = self._out.get(health.group, 0) + change
