"""Pattern: urgent jobs of several tenants on a group full of preemptable runs."""

from poplaryard.resources import Resources
from tests.workload.builders import job, step, tenants, worker_info
from tests.workload.fakes import FixedCaps, SimulatedGroup

SLOTS = 16
URGENT = "f" * 16


def full_group(slots_by_tenant):
    """Return a group full of runs that can be preempted."""
    group = SimulatedGroup(workers=4)
    group.partition.configure_tenants(tenants(a=1, b=1))
    group.run(0.2)
    for tenant, count in slots_by_tenant.items():
        for number in range(count):
            long = step(1, estimate_s=60.0, checkpointable=True)
            name = f"{tenant}{number:015x}"
            group.submit(job(name, long, tenant=tenant, priority=2))
    group.run(1.5)
    assert len(group.starts()) == SLOTS
    return group


def stopped_tenants(group, **fields):
    """Submit an urgent job; return the tenants of whose runs some are stopped."""
    before = {run for sim in group.sims.values() for run in sim.runs}
    urgent = step(1, cpu=4000, estimate_s=1.0)
    group.submit(job(URGENT, urgent, priority=1, **fields))
    group.run(1.0)
    after = {run for sim in group.sims.values() for run in sim.runs}
    return {task[0] for task, _ in before - after}


def test_nothing_is_preempted_for_a_tenant_above_its_share():
    """Guards against a large tenant displacing a small one by its urgent jobs."""
    group = full_group({"a": 13, "b": 3})
    stopped = stopped_tenants(group, tenant="a")
    assert stopped <= {"a"}
    assert not any(run[1].startswith("b") for run in group.starts()[SLOTS:])


def test_runs_of_a_tenant_below_its_share_are_not_preempted():
    """Guards against preempting the only runs there are, although others are below.

    All runs that could be preempted belong to the tenant below its share.
    """
    group = full_group({"a": 4, "b": 12})
    assert stopped_tenants(group, tenant="b") <= {"b"}


def test_tenant_below_its_share_preempts_one_above():
    """Guards against urgent jobs that wait for the runs of a tenant above its share."""
    group = full_group({"a": 13, "b": 3})
    assert "a" in stopped_tenants(group, tenant="b")
    assert group.partition.jobs[URGENT].started


def test_without_tenants_urgent_jobs_preempt_as_before():
    """Guards against shares that take effect where no tenant is configured."""
    group = SimulatedGroup(workers=4)
    group.run(0.2)
    for number in range(SLOTS):
        long = step(1, estimate_s=60.0, checkpointable=True)
        group.submit(job(f"a{number:015x}", long, priority=2))
    group.run(1.5)
    assert stopped_tenants(group) == {"a"}
    assert group.partition.jobs[URGENT].started


def test_tenant_at_its_cap_preempts_nothing_and_reserves_no_room():
    """Guards against room that is made for a job that may not use it."""
    group = full_group({"a": 16})
    group.partition.caps = FixedCaps(b=Resources(3000, 10_000, 0))
    assert stopped_tenants(group, tenant="b") == set()
    assert f"{URGENT}.0.0" not in group.partition._plans


def test_one_job_does_not_preempt_a_tenant_far_below_its_share():
    """Guards against a gang whose victims are judged one by one.

    Tenant b, just above its share of the cores, would lose all of its runs; a is far
    above its share of the GPUs.
    """
    group = SimulatedGroup(workers=0)
    for number in range(4):
        group.add_worker(worker_info(number, gpus=2))
    group.partition.configure_tenants(tenants(a=1, b=1))
    group.run(0.2)
    for number in range(4):
        long = step(1, cpu=0, gpus=2, estimate_s=60.0)
        group.submit(job(f"a{number:015x}", long, tenant="a", priority=2))
    for number in range(10):
        long = step(1, estimate_s=60.0, checkpointable=True)
        group.submit(job(f"b{number:015x}", long, tenant="b", priority=2))
    group.run(1.5)
    gang = step(4, cpu=4000, gang=True, estimate_s=1.0)
    group.submit(job(URGENT, gang, tenant="a", priority=1))
    group.run(1.0)
    assert sum(len(sim.runs) for sim in group.sims.values()) == 14
    assert len(group.starts()) == 14
