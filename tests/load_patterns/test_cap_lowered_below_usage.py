"""Pattern: a tenant's cap is lowered far below what it runs in many partitions."""

from tests.workload.allotment_sim import CONFIG_DELAY_S, Simulation, task

PARTITIONS = [f"desk~{number}" for number in range(20)]
BEFORE, AFTER = 100, 10


def test_total_falls_to_the_new_cap_and_work_goes_on():
    """Guards against starts above the new cap, and against a cap that stays unused."""
    sim = Simulation({"t1": task(1000 * BEFORE)}, PARTITIONS, 0.1, seed=1)
    sim.run(1.0)
    for partition in PARTITIONS:
        sim.submit(partition, "t1", count=400, length_s=4.0)
    sim.run(10.0)
    assert sim.totals["t1"].cpu_m >= 900 * BEFORE
    sim.configure("t1", task(1000 * AFTER))
    sim.run(CONFIG_DELAY_S + 0.2)
    # All owners know the lower cap now; `check_total` checks each further start.
    lowest = sim.totals["t1"].cpu_m
    for _ in range(100):
        sim.run(0.1)
        total = sim.totals["t1"].cpu_m
        assert total <= max(lowest, 1000 * AFTER)
        lowest = min(lowest, total)
    starts = sim.starts
    sim.run(20.0)
    # Ten tasks of 4 s each: at best 50 in 20 s.
    assert sim.starts - starts >= 25


def test_raised_cap_is_used_again():
    """Guards against a limit that stays after the cap was raised."""
    sim = Simulation({"t1": task(1000 * AFTER)}, PARTITIONS, 0.1, seed=2)
    sim.run(1.0)
    for partition in PARTITIONS:
        sim.submit(partition, "t1", count=400, length_s=4.0)
    sim.run(5.0)
    sim.configure("t1", task(1000 * BEFORE))
    sim.run(CONFIG_DELAY_S + 5.0)
    assert sim.totals["t1"].cpu_m >= 900 * BEFORE
