"""Index of VMs by shape and free capacity.

The VMs of one shape and group form a class. A class holds one grid for each count of
free GPUs, and a grid sorts VMs into buckets by free CPU and free memory, each as a
level from 0 to `LEVELS`. Bit masks mark the levels with VMs, so that the cost of a
search does not depend on the number of VMs.
"""

import typing as t

from .resources import Resources

__all__ = ["LEVELS", "CapacityIndex", "Indexed", "count_fits"]

# Free amounts are rounded down to levels, so a VM in the same level as the need is
# found only by probing its bucket. More levels pack tighter. With 64 levels, a level is
# a quarter of a core on a 16-core VM.
LEVELS = 64

# VMs tried in a bucket in which some VMs may have less free than the task needs.
PROBES = 4


class Indexed(t.Protocol):
    """VM that can be indexed; only the index writes `grid`, `bucket` and `slot`."""

    free: Resources
    grid: t.Any
    bucket: int
    slot: int

    @property
    def shape(self) -> Resources:
        """Capacity of the VM."""


# Result of `count_fits` for a task that needs nothing.
_MAX_FITS = 4096


def count_fits(need: Resources, room: Resources) -> int:
    """Return how many tasks of size `need` fit in `room`."""
    pairs = (
        (need.cpu_m, room.cpu_m),
        (need.mem_mb, room.mem_mb),
        (need.gpus, room.gpus),
    )
    return max(
        0, min((free // part for part, free in pairs if part), default=_MAX_FITS)
    )


V = t.TypeVar("V", bound=Indexed)


def _floor_level(amount: int, capacity: int) -> int:
    return amount * LEVELS // capacity if capacity else LEVELS


def _need_levels(amount: int, capacity: int) -> tuple[int, int]:
    """Return the lowest level where a VM may hold `amount`, and where every VM does."""
    if not amount:
        return 0, 0
    if not capacity:
        return LEVELS + 1, LEVELS + 1
    return amount * LEVELS // capacity, -(-amount * LEVELS // capacity)


def _set_bits(mask: int, start: int) -> t.Iterator[int]:
    """Yield the positions of the set bits from `start` up."""
    mask >>= start
    while mask:
        yield start + (mask & -mask).bit_length() - 1
        mask &= mask - 1


class _Grid(t.Generic[V]):
    """VMs of one class with the same count of free GPUs."""

    __slots__ = ("buckets", "cpu_mask", "mem_masks")

    def __init__(self) -> None:
        self.cpu_mask = 0
        self.mem_masks = [0] * (LEVELS + 1)
        self.buckets: dict[int, list[V]] = {}

    def add(self, vm: V, cpu: int, mem: int) -> None:
        key = cpu << 8 | mem
        bucket = self.buckets.setdefault(key, [])
        if not bucket:
            self.mem_masks[cpu] |= 1 << mem
            self.cpu_mask |= 1 << cpu
        vm.grid, vm.bucket, vm.slot = self, key, len(bucket)
        bucket.append(vm)

    def discard(self, vm: V) -> None:
        bucket = self.buckets[vm.bucket]
        last = bucket.pop()
        if last is not vm:
            bucket[vm.slot] = last
            last.slot = vm.slot
        vm.grid = None
        if bucket:
            return
        cpu, mem = vm.bucket >> 8, vm.bucket & 255
        self.mem_masks[cpu] &= ~(1 << mem)
        if not self.mem_masks[cpu]:
            self.cpu_mask &= ~(1 << cpu)

    def best_fit(
        self, need: Resources, cpu: tuple[int, int], mem: tuple[int, int]
    ) -> V | None:
        """Return a VM with room, searching from the least free CPU upwards."""
        for cpu_level in _set_bits(self.cpu_mask, cpu[0]):
            for mem_level in _set_bits(self.mem_masks[cpu_level], mem[0]):
                bucket = self.buckets[cpu_level << 8 | mem_level]
                if cpu_level >= cpu[1] and mem_level >= mem[1]:
                    return bucket[-1]
                for vm in bucket[-PROBES:]:
                    if need.fits_in(vm.free):
                        return vm
        return None

    def max_tasks(self, need: Resources, shape: Resources, gpus: int) -> int:
        """Return an upper bound on the number of tasks of size `need` that fit."""
        found = 0
        for key, bucket in self.buckets.items():
            if bucket:
                cpu = ((key >> 8) + 1) * shape.cpu_m // LEVELS
                mem = ((key & 255) + 1) * shape.mem_mb // LEVELS
                room = Resources(
                    min(cpu, shape.cpu_m), min(mem, shape.mem_mb), min(gpus, shape.gpus)
                )
                found += len(bucket) * count_fits(need, room)
        return found


class _VmClass(t.Generic[V]):
    """VMs of one shape and group."""

    def __init__(self, shape: Resources):
        self.shape = shape
        self.grids: list[_Grid[V]] = [_Grid() for _ in range(shape.gpus + 1)]

    def best_fit(self, need: Resources) -> V | None:
        cpu = _need_levels(need.cpu_m, self.shape.cpu_m)
        mem = _need_levels(need.mem_mb, self.shape.mem_mb)
        for grid in self.grids[need.gpus :]:
            if grid.cpu_mask >> cpu[0]:
                vm = grid.best_fit(need, cpu, mem)
                if vm is not None:
                    return vm
        return None

    def max_tasks(self, need: Resources) -> int:
        return sum(
            grid.max_tasks(need, self.shape, gpus)
            for gpus, grid in enumerate(self.grids)
        )


class CapacityIndex(t.Generic[V]):
    """Usable VMs by group, shape and free capacity."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, Resources], _VmClass[V]] = {}
        self._search_orders: dict[tuple[str, bool], list[_VmClass[V]]] = {}

    def update(self, vm: V, group: str) -> None:
        """Move a VM to the bucket of its free capacity; drop it if overcommitted."""
        free, shape = vm.free, vm.shape
        if free.cpu_m < 0 or free.mem_mb < 0 or free.gpus < 0:
            self.discard(vm)
            return
        cpu = _floor_level(free.cpu_m, shape.cpu_m)
        mem = _floor_level(free.mem_mb, shape.mem_mb)
        grid = self._vm_class(group, shape).grids[free.gpus]
        if vm.grid is grid and vm.bucket == cpu << 8 | mem:
            return
        self.discard(vm)
        grid.add(vm, cpu, mem)

    def discard(self, vm: V) -> None:
        """Remove a VM from the index if it is there."""
        if vm.grid is not None:
            vm.grid.discard(vm)

    def best_fit(self, need: Resources, group: str = "") -> V | None:
        """Return a VM with room, preferring few GPUs and then little free CPU."""
        for vm_class in self._search_order(group, bool(need.gpus)):
            if need.fits_in(vm_class.shape):
                vm = vm_class.best_fit(need)
                if vm is not None:
                    return vm
        return None

    def max_tasks(self, need: Resources, group: str = "") -> int:
        """Return an upper bound on the number of tasks of size `need` that fit now."""
        classes = self._search_order(group, bool(need.gpus))
        return sum(
            vm_class.max_tasks(need)
            for vm_class in classes
            if need.fits_in(vm_class.shape)
        )

    def _vm_class(self, group: str, shape: Resources) -> _VmClass[V]:
        vm_class = self._classes.get((group, shape))
        if vm_class is None:
            vm_class = self._classes[group, shape] = _VmClass(shape)
            self._search_orders.clear()
        return vm_class

    def _search_order(self, group: str, gpus: bool) -> list[_VmClass[V]]:
        """Return the classes to search, those with the fewest GPUs first."""
        order = self._search_orders.get((group, gpus))
        if order is None:
            found = [
                (shape.gpus, shape.cpu_m, shape.mem_mb, name, vm_class)
                for (name, shape), vm_class in self._classes.items()
                if group in ("", name) and (shape.gpus or not gpus)
            ]
            order = [item[-1] for item in sorted(found, key=lambda item: item[:-1])]
            self._search_orders[group, gpus] = order
        return order
