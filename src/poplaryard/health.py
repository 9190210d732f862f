"""Ejection of VMs whose tasks fail or are slow, and their gradual return."""

from .ejection import Ejector
from .estimate import Estimator
from .fleet import Vm
from .jobs import Attempt
from .messages import AttemptReport, AttemptState
from .state import ShardState

__all__ = ["Health"]

# Lower bound of the expected run time, because the ejector divides by it.
_MIN_EXPECTED_S = 0.001


class Health:
    """Applies the weights of `Ejector` to the VMs and replicas of a shard.

    A VM with a weight below 1 accepts work during that share of the ticks, chosen at
    random. Ticks are 0.1 s apart while there is work.
    """

    def __init__(self, state: ShardState, estimator: Estimator):
        self._state = state
        self._estimator = estimator
        self._ejector = Ejector()
        # VMs whose weight is below 1.
        self._reduced: dict[str, Vm] = {}

    def add(self, vm: Vm) -> None:
        """Add a VM; the VMs of one group form a class of the ejector."""
        self._ejector.add(vm.name, vm.spec.group)

    def forget(self, name: str) -> None:
        """Remove a VM that has left."""
        self._ejector.forget(name)
        self._reduced.pop(name, None)

    def record(
        self, now: float, vm: Vm, attempt: Attempt, report: AttemptReport
    ) -> None:
        """Record the result of one attempt, and eject the VM if its weight is 0."""
        if report.state not in (AttemptState.SUCCEEDED, AttemptState.FAILED):
            return
        ok = report.state is AttemptState.SUCCEEDED
        expected_s = max(_MIN_EXPECTED_S, self._estimator.run_time_s(attempt.work))
        self._ejector.record(now, vm.name, ok, report.elapsed_s, expected_s)
        if self._ejector.weight(now, vm.name) == 0.0:
            if vm.name not in self._reduced:
                cause = "Too many of its recent tasks failed or were slow."
                self._state.audit_vm("ejected", vm.name, cause)
            self._reduced[vm.name] = vm
            self._set_ejected(vm, True)

    def tick(self, now: float) -> None:
        """Set whether each VM of reduced weight accepts work until the next tick."""
        for name, vm in list(self._reduced.items()):
            weight = self._ejector.weight(now, name)
            self._set_ejected(vm, self._state.rng.random() >= weight)
            if weight >= 1.0:
                del self._reduced[name]
                self._state.audit_vm("returned", name)

    def _set_ejected(self, vm: Vm, ejected: bool) -> None:
        if vm.ejected == ejected:
            return
        vm.ejected = ejected
        self._state.fleet.refresh(vm)
        for pool in self._state.pools.values():
            pool.suspend(vm.name, ejected)
        self._state.room_freed = True
