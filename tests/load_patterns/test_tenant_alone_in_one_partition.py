"""Pattern: all work of a tenant arrives in one of many partitions.

A static division of its cap would give it a two-hundredth of it there.
"""

import pytest

from tests.workload.allotment_sim import Simulation, task

PARTITIONS = [f"desk~{number}" for number in range(220)]
TASKS = 100
# Time in which a tenant must be able to get its whole cap, in seconds (design notes).
WHOLE_CAP_S = 1.5


@pytest.mark.parametrize("trip_s", [0.004, 0.1, 0.5])
def test_whole_cap_is_had_in_one_partition(trip_s):
    """Guards against a cap that is spread over partitions without work."""
    sim = Simulation({"t1": task(1000 * TASKS)}, PARTITIONS, trip_s)
    sim.run(1.0)
    sim.submit("desk~7", "t1", count=TASKS, length_s=60.0)
    sim.run(WHOLE_CAP_S)
    assert sim.starts == TASKS
    assert sim.calls == 1


def test_single_jobs_need_few_calls():
    """Guards against a store call before each start."""
    sim = Simulation({"t1": task(1000 * TASKS)}, PARTITIONS, 0.1)
    sim.run(1.0)
    for _ in range(TASKS):
        sim.submit("desk~7", "t1", length_s=60.0)
        sim.run(0.1)
    sim.run(0.2)
    assert sim.starts == TASKS
    # Each increase is a quarter or more until the cap is near.
    assert sim.calls <= 16


def test_room_that_others_hold_without_work_is_had():
    """Guards against a cap that stays where the tenant worked before."""
    sim = Simulation({"t1": task(1000 * TASKS)}, PARTITIONS, 0.1)
    sim.run(1.0)
    for partition in PARTITIONS[:4]:
        sim.submit(partition, "t1", count=TASKS // 4, length_s=1.0)
    sim.run(4.0)
    assert sim.granted("t1") == task(1000 * TASKS)
    sim.submit("desk~7", "t1", count=TASKS, length_s=60.0)
    sim.run(WHOLE_CAP_S)
    assert sim.starts == 2 * TASKS
