"""VMs of one shard and what is charged to them."""

from dataclasses import dataclass, field

from .configuration import VmSpec
from .resources import ZERO, Resources

__all__ = ["Fleet", "Vm"]


@dataclass(slots=True)
class Vm:
    """One VM with its charges.

    Attributes
    ----------
    charges : dict of str to Resources
        Charged amount by attempt id.
    clock_ms : int
        Last reading of the worker's monotonic clock in milliseconds.
    clock_at : float
        Time at which that reading arrived.
    """

    spec: VmSpec
    free: Resources
    claimed: bool = False
    leaving: bool = False
    charges: dict[str, Resources] = field(default_factory=dict)
    clock_ms: int = 0
    clock_at: float = 0.0

    @property
    def usable(self) -> bool:
        """Whether new work may be placed here."""
        return self.claimed and not self.leaving

    def valid_until_ms(self, until: float) -> int:
        """Return the time `until` as a reading of the worker's clock."""
        return self.clock_ms + int((until - self.clock_at) * 1000)


class Fleet:
    """VMs of a shard; every amount is charged once and released once."""

    def __init__(self) -> None:
        self.vms: dict[str, Vm] = {}

    def update(self, spec: VmSpec, leaving: bool) -> Vm:
        """Add a VM or take over its new capacity and leaving flag."""
        vm = self.vms.get(spec.name)
        if vm is None:
            vm = self.vms[spec.name] = Vm(spec, spec.capacity)
        vm.free = vm.free + (spec.capacity - vm.spec.capacity)
        vm.spec = spec
        vm.leaving = leaving
        return vm

    def remove(self, name: str) -> None:
        """Forget a VM with all its charges."""
        self.vms.pop(name, None)

    def charge(self, name: str, attempt_id: str, amount: Resources) -> None:
        """Charge an attempt to a VM; a repeated charge changes nothing."""
        vm = self.vms[name]
        if attempt_id in vm.charges:
            return
        vm.charges[attempt_id] = amount
        vm.free = vm.free - amount

    def release(self, name: str, attempt_id: str) -> bool:
        """Release an attempt's charge; return False if it holds none."""
        vm = self.vms.get(name)
        if vm is None or attempt_id not in vm.charges:
            return False
        vm.free = vm.free + vm.charges.pop(attempt_id)
        return True

    def first_fit(self, need: Resources, group: str = "") -> Vm | None:
        """Return the first usable VM with room."""
        for vm in self.vms.values():
            if vm.usable and group in ("", vm.spec.group) and need.fits_in(vm.free):
                return vm
        return None

    def total(self) -> Resources:
        """Return the capacity of all VMs."""
        return sum((vm.spec.capacity for vm in self.vms.values()), ZERO)

    def used(self) -> Resources:
        """Return the amount charged on all VMs."""
        return self.total() - sum((vm.free for vm in self.vms.values()), ZERO)
