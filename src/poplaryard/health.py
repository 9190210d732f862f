"""Keeps work away from VMs whose tasks fail, and lets it return gradually."""

from .ejection import Ejector
from .estimate import Estimator
from .fleet import Vm
from .jobs import Attempt
from .messages import AttemptReport, AttemptState
from .state import ShardState

__all__ = ["Health"]

# Least expected run time, since the ejector divides by it.
_LEAST_S = 0.001


class Health:
    """Applies the weights of `Ejector` to the VMs and replicas of a shard.

    A VM with a weight below 1 is open for that share of the ticks, which are 0.1 s
    long while there is work.
    """

    def __init__(self, state: ShardState, estimator: Estimator):
        self._state = state
        self._estimator = estimator
        self._ejector = Ejector()
        self._impaired: dict[str, Vm] = {}

    def add(self, vm: Vm) -> None:
        """Take up a VM; VMs of one group are a class."""
        self._ejector.add(vm.name, vm.spec.group)

    def forget(self, name: str) -> None:
        """Drop a VM that has left."""
        self._ejector.forget(name)
        self._impaired.pop(name, None)

    def record(
        self, now: float, vm: Vm, attempt: Attempt, report: AttemptReport
    ) -> None:
        """Take the result of one attempt."""
        if report.state not in (AttemptState.SUCCEEDED, AttemptState.FAILED):
            return
        ok = report.state is AttemptState.SUCCEEDED
        expected_s = max(_LEAST_S, self._estimator.run_time_s(attempt.work))
        self._ejector.record(now, vm.name, ok, report.elapsed_s, expected_s)
        if self._ejector.weight(now, vm.name) == 0.0:
            if vm.name not in self._impaired:
                cause = "Too many of its recent tasks failed or were slow."
                self._state.audit_vm("ejected", vm.name, cause)
            self._impaired[vm.name] = vm
            self._set_ejected(vm, True)

    def tick(self, now: float) -> None:
        """Open or close each impaired VM for the time until the next tick."""
        for name, vm in list(self._impaired.items()):
            weight = self._ejector.weight(now, name)
            self._set_ejected(vm, self._state.rng.random() >= weight)
            if weight >= 1.0:
                del self._impaired[name]
                self._state.audit_vm("returned", name)

    def _set_ejected(self, vm: Vm, ejected: bool) -> None:
        if vm.ejected == ejected:
            return
        vm.ejected = ejected
        self._state.fleet.refresh(vm)
        for pool in self._state.pools.values():
            pool.suspend(vm.name, ejected)
        self._state.room_freed = True
