"""Pattern: a tenant fills the group alone, and then another one comes."""

import itertools

from poplaryard.resources import Resources
from tests.workload.builders import job, step, tenants
from tests.workload.fakes import FixedCaps, SimulatedGroup

SLOTS = 16
RUN_S = 1.0
# A tenant reaches its fair share once the runs have ended that fill the group when it
# comes: nothing is preempted for it within a priority. Added are two passes.
LONGEST_WAIT_S = RUN_S + 0.1


def group_full_of_one_tenant(**caps):
    group = SimulatedGroup(workers=4)
    group.partition.configure_tenants(tenants(first=1, second=1))
    group.partition.caps = FixedCaps(**caps)
    group.run(0.2)
    for number in range(300):
        group.submit(job(f"{number:016x}", step(1, estimate_s=RUN_S), tenant="first"))
    group.run(1.5)
    return group


def slots(group):
    usage = group.partition.tenant_usage(group.now)
    return {name: found.used.cpu_m // 1000 for name, found in usage.items()}


def test_tenant_uses_room_that_nobody_else_wants():
    """Guards against room that is kept free for tenants that don't come."""
    assert slots(group_full_of_one_tenant()) == {"first": SLOTS}


def test_tenant_uses_free_room_only_up_to_its_cap():
    """Guards against a tenant beyond its cap because there is room."""
    cap = Resources(10_000, 10_000, 0)
    group = group_full_of_one_tenant(first=cap)
    for _ in range(40):
        group.run(0.05)
        assert group.partition.tenant_usage(group.now)["first"].used.fits_in(cap)
    assert slots(group) == {"first": 10}


def test_tenant_shrinks_to_its_share_when_another_comes():
    """Guards against a tenant that waits while another one refills the group."""
    group = group_full_of_one_tenant()
    for number in range(100):
        name = f"f{number:015x}"
        group.submit(job(name, step(1, estimate_s=RUN_S), tenant="second"))
    group.run(LONGEST_WAIT_S)
    assert slots(group) == {"first": SLOTS // 2, "second": SLOTS // 2}
    for _ in range(40):
        group.run(0.05)
        found = slots(group)
        assert found["first"] >= SLOTS // 4
        assert found["second"] >= SLOTS // 4


def test_single_job_of_another_tenant_starts_when_the_first_run_ends():
    """Guards against starvation of a tenant that sends one job at a time."""
    group = group_full_of_one_tenant()
    numbers = itertools.count()
    for _ in range(10):
        job_id = f"f{next(numbers):015x}"
        group.submit(job(job_id, step(1, estimate_s=0.2), tenant="second"))
        group.run(LONGEST_WAIT_S)
        assert group.partition.jobs[job_id].started
