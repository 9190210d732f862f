"""Pattern: a job of many lasting tasks, of whose workers few are permitted.

The advice service permits three workers in ten, the tasks must be on different workers,
and short work fills half of the group. Lasting tasks never make room for each other.
"""

import asyncio
import random

import pytest

from poplaryard.workload import records
from poplaryard.workload.directory import Directory
from poplaryard.workload.homes import (
    PartitionLoad,
    choose_homes_of_parts,
    part_count,
)
from poplaryard.workload.layout import Layout
from poplaryard.workload.storage import Change, Item
from tests.workload.builders import ADVICE, job, step, worker_info
from tests.workload.fakes import MemoryStorage, RespondingPeers, SimulatedGroup

WORKERS = 86
PARTITIONS = 6
PERMITTED_SHARE = 0.3
# Full workers, as a share.
BUSY_SHARE = 0.4
TASKS = 50
WIDE = "f" * 16


def busy_partition(seed):
    """Return a partition that is partly full, and whose advice permits few workers."""
    rng = random.Random(seed)
    group = SimulatedGroup(workers=0)
    for number in range(WORKERS):
        group.add_worker(worker_info(number, cpu=16_000))
    group.run(0.2)
    names = sorted(group.sims)
    for number in range(int(BUSY_SHARE * WORKERS)):
        group.submit(job(f"{number:016x}", step(1, cpu=16_000, estimate_s=600.0)))
    group.run(0.5)
    group.permitted = set(rng.sample(names, int(PERMITTED_SHARE * WORKERS)))
    return group


def running(group):
    """Return the tasks of the wide job that have a run."""
    return [task for sim in group.sims.values() for task, _ in sim.runs if WIDE in task]


@pytest.mark.parametrize("seed", range(3))
def test_all_tasks_of_a_wide_lasting_step_run(seed):
    """Guards against lasting tasks without a run while most of the group is idle."""
    wide = step(TASKS, cpu=7600, lasting=True, max_per_worker=1)
    spec = job(WIDE, wide, advice=ADVICE)
    groups = {
        f"desk~{number}": busy_partition(10 * seed + number)
        for number in range(PARTITIONS)
    }
    loads = {name: group.partition.load(group.now) for name, group in groups.items()}
    count = part_count(spec, WORKERS, PARTITIONS)
    parts = choose_homes_of_parts(spec, groups, loads, count)
    assert len({part.group for part in parts}) == len(parts)
    for part in parts:
        groups[part.group].submit(part)
        groups[part.group].run(3.0)
    found = [task for group in groups.values() for task in running(group)]
    assert sorted(found) == sorted(f"{WIDE}.0.0.{index}" for index in range(TASKS))


def test_only_wide_steps_of_lasting_tasks_are_divided():
    """Guards against more homes, and so more writes and questions, than needed."""
    for spec in (
        job(WIDE, step(TASKS)),
        job(WIDE, step(10, lasting=True)),
        job(WIDE, step(TASKS, lasting=True, gang=True)),
        job(WIDE, step(TASKS, lasting=True, same_rack=True)),
        job(WIDE, step(TASKS, lasting=True), step(1)),
        job(WIDE, step(TASKS, lasting=True), times=2),
    ):
        assert part_count(spec, WORKERS, PARTITIONS) == 1
    assert part_count(job(WIDE, step(TASKS, lasting=True)), WORKERS, 2) == 2


def test_fewer_partitions_than_parts_take_all_tasks():
    """Guards against tasks that belong to no part."""
    spec = job(WIDE, step(TASKS, cpu=100, lasting=True))
    worker = worker_info(0, cpu=16_000).capacity
    free = PartitionLoad(worker.times(WORKERS), largest=worker, workers=WORKERS)
    loads = {"desk": free, "desk~1": free}
    parts = choose_homes_of_parts(spec, loads, loads, 4)
    indices = [index for part in parts for index in part.steps[0].indices]
    assert indices == list(range(TASKS))
    assert [part.group for part in parts] == ["desk", "desk~1"]


def test_partitions_that_do_not_answer_yet_get_parts():
    """Guards against a whole wide job in one partition after a start of all processes.

    Pattern: one owner answers, one has no worker yet, and the others don't answer.
    """
    spec = job(WIDE, step(TASKS, cpu=7600, lasting=True))
    worker = worker_info(0, cpu=16_000).capacity
    loads = {
        "desk": PartitionLoad(worker.times(WORKERS), largest=worker, workers=WORKERS),
        "desk~1": PartitionLoad(),
    }
    names = [*loads, "desk~2", "desk~3"]
    parts = choose_homes_of_parts(spec, names, loads, 4)
    assert [part.group for part in parts] == names


def test_partition_that_cannot_run_a_part_gets_none():
    """Guards against tasks that wait for a worker of a size that there is not."""
    spec = job(WIDE, step(TASKS, cpu=7600, lasting=True))
    small, large = (worker_info(0, cpu=cpu).capacity for cpu in (4000, 16_000))
    loads = {
        name: PartitionLoad(size.times(WORKERS), largest=size, workers=WORKERS)
        for name, size in (("desk", small), ("desk~1", large))
    }
    parts = choose_homes_of_parts(spec, loads, loads, 2)
    assert [(part.group, part.steps[0].count) for part in parts] == [("desk~1", TASKS)]


def test_wide_job_waits_for_the_layout_of_a_new_cell():
    """Guards against a whole wide job in the first partition of a new cell."""

    async def scenario():
        directory = Directory("p0", MemoryStorage(), RespondingPeers())
        spec = job(WIDE, step(TASKS, lasting=True))
        assigned = asyncio.create_task(
            directory.assign_homes(spec, lambda partition: None)
        )
        await asyncio.sleep(0.1)
        layout = records.encode(Layout(3, {"r0": 0, "r1": 1, "r2": 2}))
        item = Item(records.layout_key("desk"), layout, 7)
        directory.layout_changed(Change(item.key, 7, item))
        parts = await assigned
        assert {part.group for part in parts} == {"desk", "desk~1", "desk~2"}

    asyncio.run(scenario())
