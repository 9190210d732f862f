"""Pattern: 950 tenants, each at its cap in three of 220 partitions at once."""

import random
import time

from tests.workload.allotment_sim import Simulation, task

TENANTS = [f"tenant-{number}" for number in range(950)]
PARTITIONS = [f"desk~{number}" for number in range(220)]
TASKS = 6
SECONDS = 20.0


def test_calls_are_few_while_all_caps_are_used():
    """Guards against writes that repeat while nothing can be gained."""
    rng = random.Random(1)
    caps = {name: task(1000 * TASKS) for name in TENANTS}
    sim = Simulation(caps, PARTITIONS, 0.05)
    sim.run(0.5)
    for tenant in TENANTS:
        for partition in rng.sample(PARTITIONS, 3):
            sim.submit(partition, tenant, count=100, length_s=2.0)
    began = time.process_time()
    sim.run(10.0)
    full = sum(sim.totals[name].cpu_m == 1000 * TASKS for name in TENANTS)
    first_calls, first_bytes = sim.calls, sim.bytes
    sim.run(SECONDS)
    took_s = time.process_time() - began
    calls, size = sim.calls - first_calls, sim.bytes - first_bytes
    print(f"{full} full; {first_calls} calls, {first_bytes} B in the first 10 s")
    print(f"{calls} calls, {size} B in {SECONDS} s; {sim.starts} starts; {took_s} s")
    shares = sim.starts / (len(TENANTS) * TASKS * (10.0 + SECONDS) / 2.0)
    print(f"{shares:.3f} of the possible starts; largest record {sim.largest} B")
    assert full >= 0.9 * len(TENANTS)
    # 9500 records are at rest; a call for each tenant in ten seconds is ample.
    assert calls <= len(TENANTS) * SECONDS / 10.0
    assert shares >= 0.9
