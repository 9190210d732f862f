import random

from hypothesis import given, settings
from hypothesis import strategies as st

from poplaryard.capacity import LEVELS
from poplaryard.fleet import Fleet
from poplaryard.resources import ZERO, Resources
from tests.builders import vm_spec

SHAPES = (Resources(16_000, 32_768, 0), Resources(32_000, 65_536, 8))


def fleet_of(count, shapes=SHAPES):
    fleet = Fleet()
    for number in range(count):
        shape = shapes[number % len(shapes)]
        vm = fleet.update(vm_spec(number, capacity=shape))
        vm.claimed = True
        fleet.refresh(vm)
    return fleet


def test_repeated_charge_and_release_change_nothing():
    fleet = fleet_of(1)
    vm = fleet.vms["dc1-vm000"]
    need = Resources(1000, 1024, 0)
    fleet.charge(vm, "a", need)
    fleet.charge(vm, "a", need)
    assert fleet.used == need
    assert fleet.release(vm.name, "a")
    assert not fleet.release(vm.name, "a")
    assert (vm.free, fleet.used) == (vm.shape, ZERO)


def test_vm_that_is_not_usable_is_not_found():
    fleet = fleet_of(1)
    vm = fleet.vms["dc1-vm000"]
    vm.leaving = True
    fleet.refresh(vm)
    assert fleet.index.best_fit(Resources(1, 1, 0)) is None


def test_work_without_gpu_need_takes_a_gpu_vm_only_if_nothing_else_has_room():
    fleet = fleet_of(2)
    need = Resources(16_000, 1024, 0)
    first = fleet.index.best_fit(need)
    assert first.shape.gpus == 0
    fleet.charge(first, "a", need)
    assert fleet.index.best_fit(need).shape.gpus == 8


def test_hold_hides_room_that_is_not_free_yet():
    """Guards against small work taking the capacity that a gang waits for."""
    fleet = fleet_of(1, SHAPES[:1])
    vm = fleet.vms["dc1-vm000"]
    fleet.charge(vm, "a", Resources(12_000, 1024, 0))
    fleet.hold(vm, "h", Resources(16_000, 1024, 0))
    assert vm.overcommitted
    fleet.release(vm.name, "a")
    assert not vm.overcommitted
    assert fleet.index.best_fit(Resources(1000, 1024, 0)) is None
    fleet.release_hold(vm.name, "h")
    assert fleet.index.best_fit(Resources(1000, 1024, 0)) is vm


@given(st.integers(0, 2**32))
@settings(max_examples=50, deadline=None)
def test_index_agrees_with_a_scan_of_all_vms(seed):
    """Guards against an index that overcommits a VM or overlooks real room."""
    rng = random.Random(seed)
    fleet = fleet_of(12)
    placed = []
    for number in range(150):
        need = Resources(
            rng.randrange(0, 9000), rng.randrange(0, 20_000), rng.choice((0, 0, 0, 2))
        )
        vm = fleet.index.best_fit(need)
        if vm is not None:
            assert need.fits_in(vm.free)
            fleet.charge(vm, str(number), need)
            placed.append((vm.name, str(number)))
        else:
            # A VM that is overlooked is less than one level larger than the need.
            for other in fleet.vms.values():
                step = Resources(
                    other.shape.cpu_m // LEVELS, other.shape.mem_mb // LEVELS
                )
                assert not (need + step).fits_in(other.free)
        if placed and rng.random() < 0.4:
            fleet.release(*placed.pop(rng.randrange(len(placed))))
    assert fleet.used == sum(
        (amount for vm in fleet.vms.values() for amount in vm.charges.values()), ZERO
    )
