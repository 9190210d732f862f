"""Pattern: 950 tenants, each with more work than its cap in three partitions at once.

30 partitions stand for 220: each has ten times as many tenants to decide on, while the
store has the same number of records and writers of a record.
"""

import random

from tests.workload.allotment_sim import Simulation, task

TENANTS = [f"tenant-{number}" for number in range(950)]
PARTITIONS = [f"desk~{number}" for number in range(30)]
# Tasks that fit in a cap.
TASKS = 6
# Time to divide the caps evenly after all work has arrived at once, and then time in
# which calls are counted, in seconds.
SETTLE_S = 14.0
COUNTED_S = 3.0


def test_caps_are_used_without_calls():
    """Guards against writes that repeat while nothing can be gained."""
    rng = random.Random(1)
    caps = {name: task(1000 * TASKS) for name in TENANTS}
    sim = Simulation(caps, PARTITIONS, trip_s=0.05)
    sim.run(0.5)
    for tenant in TENANTS:
        for partition in rng.sample(PARTITIONS, 3):
            for _ in range(40):
                sim.submit(partition, tenant, length_s=rng.uniform(0.5, 3.5))
    sim.run(SETTLE_S)
    calls, starts = sim.calls, sim.starts
    print(f"{calls} calls, {sim.bytes} B, largest record {sim.largest} B")
    assert calls <= 6 * len(TENANTS)
    assert sim.largest <= 256
    sim.run(COUNTED_S)
    print(f"{sim.calls - calls} calls, {sim.starts - starts} starts in {COUNTED_S} s")
    # All caps are divided evenly, but for a few.
    assert sim.calls - calls <= 0.005 * len(TENANTS)
    # Runs take 2 s on average, so this is 0.95 of what the caps permit.
    assert sim.starts - starts >= 0.95 * len(TENANTS) * TASKS * COUNTED_S / 2.0
