"""VMs of one shard with the amounts charged to them and held for waiting work."""

import typing as t
from dataclasses import dataclass, field

from .capacity import CapacityIndex
from .configuration import VmSpec
from .resources import ZERO, Resources

__all__ = ["Fleet", "Vm"]

# Number of needs for which the largest fitting shape is cached.
SHAPE_CACHE_SIZE = 4096


@dataclass(slots=True, eq=False)
class Vm:
    """One VM with the state of its worker and what is charged to and held on it.

    Attributes
    ----------
    free : Resources
        Capacity less all charges and holds; negative while a hold waits for room.
    charges : dict of str to Resources
        Charged amount by attempt id.
    holds : dict of str to Resources
        Amount held for a waiting task by hold id.
    claimed : bool
        Whether the worker has accepted the current epoch and answers.
    leaving : bool
        Whether the VM is about to leave, according to the VM list or a ticket
        (`listed_leaving`) or to the worker itself (`reported_leaving`).
    ejected : bool
        Whether the worker gets no work because its starts fail.
    clock_ms : int
        Last reading of the worker's monotonic clock in milliseconds.
    clock_at : float
        Time at which that reading arrived.
    lost_at : float
        Time since which the worker has not answered; infinity if it answers.
    grid, bucket, slot
        Position in the `CapacityIndex`.
    """

    spec: VmSpec
    free: Resources
    charges: dict[str, Resources] = field(default_factory=dict)
    holds: dict[str, Resources] = field(default_factory=dict)
    claimed: bool = False
    leaving: bool = False
    listed_leaving: bool = False
    reported_leaving: bool = False
    ejected: bool = False
    clock_ms: int = 0
    clock_at: float = 0.0
    claim_sent_at: float = 0.0
    lost_at: float = float("inf")
    grid: t.Any = None
    bucket: int = -1
    slot: int = -1

    @property
    def name(self) -> str:
        """Name of the VM."""
        return self.spec.name

    @property
    def shape(self) -> Resources:
        """Capacity of the VM."""
        return self.spec.capacity

    @property
    def usable(self) -> bool:
        """Whether new work may be placed here."""
        return self.claimed and not self.leaving and not self.ejected

    @property
    def overcommitted(self) -> bool:
        """Whether charges and holds together exceed the capacity."""
        return self.free.cpu_m < 0 or self.free.mem_mb < 0 or self.free.gpus < 0


class Fleet:
    """VMs of a shard; each attempt is charged once and released once."""

    def __init__(self) -> None:
        self.vms: dict[str, Vm] = {}
        self.racks: dict[str, dict[str, Vm]] = {}
        self._rack_names: list[str] = []
        self._shapes: dict[tuple[str, Resources], int] = {}
        self._largest_shapes: dict[tuple[Resources, str], Resources | None] = {}
        self.index: CapacityIndex[Vm] = CapacityIndex()
        self.total = ZERO
        self.used = ZERO

    def update(self, spec: VmSpec) -> Vm:
        """Add a VM, or apply its new group, rack and capacity."""
        vm = self.vms.get(spec.name)
        if vm is None:
            vm = self.vms[spec.name] = Vm(spec, ZERO)
            vm.free = spec.capacity
            self.total += spec.capacity
            self._count_shape(spec, 1)
        elif vm.spec != spec:
            self._change_spec(vm, spec)
        self.racks.setdefault(spec.rack, {})[spec.name] = vm
        self.refresh(vm)
        return vm

    def rack_names(self) -> list[str]:
        """Return the names of all racks, sorted."""
        if len(self._rack_names) != len(self.racks):
            self._rack_names = sorted(self.racks)
        return self._rack_names

    def _change_spec(self, vm: Vm, spec: VmSpec) -> None:
        self.index.discard(vm)
        self._leave_rack(vm)
        self._count_shape(vm.spec, -1)
        self._count_shape(spec, 1)
        growth = spec.capacity - vm.shape
        vm.free += growth
        self.total += growth
        vm.spec = spec

    def _leave_rack(self, vm: Vm) -> None:
        rack = self.racks.get(vm.spec.rack, {})
        rack.pop(vm.name, None)
        if not rack:
            self.racks.pop(vm.spec.rack, None)
            self._rack_names = []

    def remove(self, name: str) -> None:
        """Remove a VM with all its charges and holds."""
        vm = self.vms.pop(name, None)
        if vm is None:
            return
        self.index.discard(vm)
        self._leave_rack(vm)
        self._count_shape(vm.spec, -1)
        self.total -= vm.shape
        for amount in vm.charges.values():
            self.used -= amount

    def refresh(self, vm: Vm) -> None:
        """Update the index after a change of the VM's state."""
        if vm.claimed and not vm.leaving and not vm.ejected:
            self.index.update(vm, vm.spec.group)
        else:
            self.index.discard(vm)

    def charge(self, vm: Vm, attempt_id: str, amount: Resources) -> None:
        """Charge an attempt to a VM; a repeated call changes nothing."""
        if attempt_id in vm.charges:
            return
        vm.charges[attempt_id] = amount
        if amount is not ZERO:
            vm.free -= amount
            self.used += amount
            self.refresh(vm)

    def raise_charge(self, vm: Vm, attempt_id: str, amount: Resources) -> None:
        """Raise an attempt's charge to its measured use, where that is larger."""
        old = vm.charges.get(attempt_id)
        if old is None or amount.fits_in(old):
            return
        vm.charges[attempt_id] = amount.maximum(old)
        growth = vm.charges[attempt_id] - old
        vm.free -= growth
        self.used += growth
        self.refresh(vm)

    def release(self, name: str, attempt_id: str) -> bool:
        """Release an attempt's charge; return False if it holds none."""
        vm = self.vms.get(name)
        if vm is None or attempt_id not in vm.charges:
            return False
        amount = vm.charges.pop(attempt_id)
        if amount is not ZERO:
            vm.free += amount
            self.used -= amount
            self.refresh(vm)
        return True

    def hold(self, vm: Vm, hold_id: str, amount: Resources) -> None:
        """Hold an amount for a waiting task, even before it is free."""
        vm.holds[hold_id] = amount
        vm.free -= amount
        self.refresh(vm)

    def release_hold(self, name: str, hold_id: str) -> Resources:
        """Release a held amount and return it; return zero if there is no such hold."""
        vm = self.vms.get(name)
        if vm is None or hold_id not in vm.holds:
            return ZERO
        amount = vm.holds.pop(hold_id)
        vm.free += amount
        self.refresh(vm)
        return amount

    def shapes(self, group: str = "") -> dict[Resources, int]:
        """Return the number of VMs of a group by shape, usable or not."""
        found: dict[Resources, int] = {}
        for (name, shape), count in self._shapes.items():
            if group in ("", name):
                found[shape] = found.get(shape, 0) + count
        return found

    def totals_by_group(self) -> dict[str, Resources]:
        """Return the capacity of each VM group."""
        totals: dict[str, Resources] = {}
        for (group, shape), count in self._shapes.items():
            totals[group] = totals.get(group, ZERO) + shape.times(count)
        return totals

    def largest_shape(self, need: Resources, group: str = "") -> Resources | None:
        """Return the largest shape in which `need` fits, or None if there is none."""
        key = need, group
        if key not in self._largest_shapes:
            if len(self._largest_shapes) >= SHAPE_CACHE_SIZE:
                self._largest_shapes.clear()
            fitting = [shape for shape in self.shapes(group) if need.fits_in(shape)]
            self._largest_shapes[key] = max(fitting, key=_size, default=None)
        return self._largest_shapes[key]

    def _count_shape(self, spec: VmSpec, step: int) -> None:
        self._largest_shapes.clear()
        key = spec.group, spec.capacity
        self._shapes[key] = self._shapes.get(key, 0) + step
        if not self._shapes[key]:
            del self._shapes[key]


def _size(shape: Resources) -> tuple[int, int, int]:
    return shape.cpu_m, shape.mem_mb, shape.gpus
