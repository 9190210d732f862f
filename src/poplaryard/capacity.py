"""Index of VMs by shape and free capacity.

The VMs of one shape and group form a class. A class holds one grid for each count of
free GPUs, and a grid sorts VMs into buckets by free processors and free memory, each
as a level from 0 to `LEVELS`. Bit masks of the non-empty levels make a search cost the
same for any number of VMs.
"""

import typing as t

from .resources import Resources

__all__ = ["LEVELS", "CapacityIndex", "Indexed", "count_fits"]

# A VM that is a fraction of a level short is found only by probing its bucket, so more
# levels pack tighter. 64 levels are a quarter of a core on a 16-core VM.
LEVELS = 64

# VMs tried in a bucket whose members may be a fraction of a level too small.
PROBES = 4


class Indexed(t.Protocol):
    """VM as the index sees it; the index alone writes `grid`, `bucket` and `slot`."""

    free: Resources
    grid: t.Any
    bucket: int
    slot: int

    @property
    def shape(self) -> Resources:
        """Capacity of the VM."""


# Tasks without any need that one VM is taken to hold.
_MANY = 4096


def count_fits(need: Resources, room: Resources) -> int:
    """Return how many tasks of size `need` fit in `room`."""
    pairs = (
        (need.cpu_m, room.cpu_m),
        (need.mem_mb, room.mem_mb),
        (need.gpus, room.gpus),
    )
    return max(0, min((free // part for part, free in pairs if part), default=_MANY))


V = t.TypeVar("V", bound=Indexed)


def _floor_level(amount: int, capacity: int) -> int:
    return amount * LEVELS // capacity if capacity else LEVELS


def _need_levels(amount: int, capacity: int) -> tuple[int, int]:
    """Return the lowest level that may hold `amount` and the lowest that must."""
    if not amount:
        return 0, 0
    if not capacity:
        return LEVELS + 1, LEVELS + 1
    return amount * LEVELS // capacity, -(-amount * LEVELS // capacity)


def _bits(mask: int, start: int) -> t.Iterator[int]:
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

    def tightest(
        self, need: Resources, cpu: tuple[int, int], mem: tuple[int, int]
    ) -> V | None:
        """Return a VM with room that leaves the fewest processors free."""
        for cpu_level in _bits(self.cpu_mask, cpu[0]):
            for mem_level in _bits(self.mem_masks[cpu_level], mem[0]):
                bucket = self.buckets[cpu_level << 8 | mem_level]
                if cpu_level >= cpu[1] and mem_level >= mem[1]:
                    return bucket[-1]
                for vm in bucket[-PROBES:]:
                    if need.fits_in(vm.free):
                        return vm
        return None

    def at_most(self, need: Resources, shape: Resources, gpus: int) -> int:
        """Return an upper bound of how many tasks of size `need` fit."""
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


class _Class(t.Generic[V]):
    """VMs of one shape and group."""

    def __init__(self, shape: Resources):
        self.shape = shape
        self.grids: list[_Grid[V]] = [_Grid() for _ in range(shape.gpus + 1)]

    def tightest(self, need: Resources) -> V | None:
        cpu = _need_levels(need.cpu_m, self.shape.cpu_m)
        mem = _need_levels(need.mem_mb, self.shape.mem_mb)
        for grid in self.grids[need.gpus :]:
            if grid.cpu_mask >> cpu[0]:
                vm = grid.tightest(need, cpu, mem)
                if vm is not None:
                    return vm
        return None

    def at_most(self, need: Resources) -> int:
        return sum(
            grid.at_most(need, self.shape, gpus) for gpus, grid in enumerate(self.grids)
        )


class CapacityIndex(t.Generic[V]):
    """Usable VMs by group, shape and free capacity."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, Resources], _Class[V]] = {}
        self._orders: dict[tuple[str, bool], list[_Class[V]]] = {}

    def place(self, vm: V, group: str) -> None:
        """Put a VM into the bucket of its free capacity; drop it if overcommitted."""
        free, shape = vm.free, vm.shape
        if free.cpu_m < 0 or free.mem_mb < 0 or free.gpus < 0:
            self.discard(vm)
            return
        cpu = _floor_level(free.cpu_m, shape.cpu_m)
        mem = _floor_level(free.mem_mb, shape.mem_mb)
        grid = self._class(group, shape).grids[free.gpus]
        if vm.grid is grid and vm.bucket == cpu << 8 | mem:
            return
        self.discard(vm)
        grid.add(vm, cpu, mem)

    def discard(self, vm: V) -> None:
        """Take a VM out of the index; one that is not in it is left alone."""
        if vm.grid is not None:
            vm.grid.discard(vm)

    def tightest(self, need: Resources, group: str = "") -> V | None:
        """Return a VM with room, one without GPUs first if none are needed."""
        for cls in self._order(group, bool(need.gpus)):
            if need.fits_in(cls.shape):
                vm = cls.tightest(need)
                if vm is not None:
                    return vm
        return None

    def at_most(self, need: Resources, group: str = "") -> int:
        """Return an upper bound of how many tasks of size `need` fit now."""
        classes = self._order(group, bool(need.gpus))
        return sum(cls.at_most(need) for cls in classes if need.fits_in(cls.shape))

    def _class(self, group: str, shape: Resources) -> _Class[V]:
        cls = self._classes.get((group, shape))
        if cls is None:
            cls = self._classes[group, shape] = _Class(shape)
            self._orders.clear()
        return cls

    def _order(self, group: str, gpus: bool) -> list[_Class[V]]:
        """Return the classes to search, those with the fewest GPUs first."""
        order = self._orders.get((group, gpus))
        if order is None:
            found = [
                (shape.gpus, shape.cpu_m, shape.mem_mb, name, cls)
                for (name, shape), cls in self._classes.items()
                if group in ("", name) and (shape.gpus or not gpus)
            ]
            order = [item[-1] for item in sorted(found, key=lambda item: item[:-1])]
            self._orders[group, gpus] = order
        return order
