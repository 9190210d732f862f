"""Division of a group into partitions, and the choice of a partition for a job.

Pattern: groups of hundreds of workers, and jobs that arrive at every process.
"""

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from poplaryard.resources import Resources
from poplaryard.workload.homes import PartitionLoad, candidate_homes, choose_home
from poplaryard.workload.layout import (
    MIN_PARTITION_WORKERS,
    Layout,
    assign_racks,
    group_of,
    partition_name,
)
from tests.workload.builders import job, step, worker_info

RACK_SIZES = st.lists(st.integers(1, 40), max_size=40)


def workers(sizes, data_centres=3, first=0):
    return [
        worker_info(
            number,
            labels=("a", f"r{rack}"),
            data_centre=f"dc{rack % data_centres}",
        )
        for rack, size in enumerate(sizes, first)
        for number in range(size)
    ]


@given(RACK_SIZES, RACK_SIZES)
def test_rack_never_moves_to_another_partition(sizes, added):
    """Guards against workers whose runs the owner of their partition does not know."""
    before = assign_racks(Layout(), workers(sizes))
    more = workers(added, first=len(sizes))
    after = assign_racks(before, [*workers(sizes), *more])
    assert before.racks.items() <= after.racks.items()
    assert after.partitions >= before.partitions
    fewer = assign_racks(after, more)
    assert fewer == after


@given(RACK_SIZES)
def test_each_rack_has_one_of_the_partitions(sizes):
    """Guards against workers that no owner uses."""
    layout = assign_racks(Layout(), workers(sizes))
    assert len(layout.racks) == len(sizes)
    names = layout.names("desk")
    assert {layout.partition_of("desk", rack) for rack in layout.racks} <= set(names)
    assert {group_of(name) for name in names} == {"desk"}


def test_small_group_has_one_partition_with_its_name():
    """Guards against a small group that is divided needlessly."""
    layout = assign_racks(Layout(), workers([20] * 6))
    assert layout.names("desk") == ["desk"]
    assert partition_name("desk", 0) == "desk"


def test_large_group_is_divided_evenly_over_data_centres():
    """Guards against one partition that loses all its workers with a data centre."""
    found = workers([20] * 20, data_centres=5)
    layout = assign_racks(Layout(), found)
    sizes = [0] * layout.partitions
    for info in found:
        sizes[layout.racks[info.rack]] += 1
    assert layout.partitions == 4
    assert min(sizes) >= MIN_PARTITION_WORKERS
    assert max(sizes) <= 1.2 * min(sizes)
    for index in range(layout.partitions):
        racks = [rack for rack, of in layout.racks.items() if of == index]
        assert len({int(rack[1:]) % 5 for rack in racks}) == 5


def load(share, *, cpu=100_000, gpus=0, labels=("a",)):
    return PartitionLoad(
        capacity=Resources(cpu, cpu, gpus),
        demand=Resources(int(share * cpu), 0, int(share * gpus)),
        largest=Resources(16_000, 32_000, 8 if gpus else 0),
        labels=labels,
    )


def test_job_goes_where_it_can_run():
    """Guards against a job that waits for a label or a size that is not there."""
    loads = {"desk": load(0.1), "desk~1": load(0.9, gpus=80, labels=("a", "b"))}
    assert choose_home(job("1", step(1)), loads) == "desk"
    assert choose_home(job("1", step(1, label="b")), loads) == "desk~1"
    assert choose_home(job("1", step(1, gpus=2)), loads) == "desk~1"
    assert choose_home(job("1", step(1, cpu=17_000)), loads) is None


def test_wide_step_goes_where_each_task_has_a_worker_of_its_own():
    """Guards against lasting tasks without a worker in a partition that is too small.

    Pattern: lasting tasks and gangs whose tasks need different workers of a group.
    """
    small = msgspec.structs.replace(load(0.0), workers=60)
    large = msgspec.structs.replace(load(0.9), workers=100)
    loads = {"desk": small, "desk~1": large}
    for fields in ({"lasting": True}, {"gang": True}):
        assert choose_home(job("1", step(88, max_per_worker=1, **fields)), loads) == (
            "desk~1"
        )
        assert choose_home(job("1", step(88, max_per_worker=2, **fields)), loads) == (
            "desk"
        )
        assert choose_home(job("1", step(101, max_per_worker=2, **fields)), loads) is (
            None
        )
    assert choose_home(job("1", step(88, max_per_worker=1)), loads) == "desk"


def test_job_goes_near_its_data_unless_much_more_is_waiting_there():
    """Guards against tasks that take twice as long away from their data."""
    near = job("1", step(1, rack="r7"))
    for share, home in ((0.4, "desk~1"), (0.9, "desk")):
        loads = {"desk": load(0.1), "desk~1": load(share, labels=("a", "r7"))}
        assert choose_home(near, loads) == home
    layout = Layout(9, {"r7": 8})
    names = candidate_homes(
        near, layout.names("desk"), lambda rack: layout.partition_of("desk", rack)
    )
    assert "desk~8" in names
    assert len(names) <= 3


def test_two_choices_keep_the_load_even():
    """Guards against a partition that queues jobs while others are idle.

    Pattern: 2,000 equal jobs over 25 partitions; with one random choice the fullest
    partition gets about a quarter more than the mean, here at most a tenth.
    """
    random.seed(1)
    names = Layout(25).names("desk")
    counts = dict.fromkeys(names, 0)
    spec = job("1", step(1, cpu=500))
    for _ in range(2000):
        picked = candidate_homes(spec, names, lambda rack: None)
        home = choose_home(spec, {name: load(counts[name] / 100) for name in picked})
        counts[home] += 1
    assert max(counts.values()) <= 1.1 * 2000 / 25


def test_group_that_grows_within_its_racks_gets_no_partition_without_racks():
    """Guards against jobs that are sent to a partition in which nothing can run."""
    before = assign_racks(Layout(), workers([30] * 3))
    after = assign_racks(before, workers([60] * 3))
    assert after == before
