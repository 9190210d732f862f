"""Pattern: a tenant sends a crest of short jobs at once while others work steadily."""

import itertools

from tests.workload.builders import job, step, tenants, worker_info
from tests.workload.fakes import SimulatedGroup

STEADY = ("a", "b", "c")
CREST_JOBS = 250
RUN_S = 1.0
SHORT_S = 0.3


def test_crest_of_short_jobs_does_not_delay_steady_tenants():
    """Guards against short jobs, which are due sooner, taking all room that is free."""
    group = SimulatedGroup(workers=0)
    for number in range(8):
        group.add_worker(worker_info(number, address=f"10.0.1.{number}:80"))
    group.partition.configure_tenants(tenants(crest=1, a=1, b=1, c=1))
    group.run(0.2)
    numbers = itertools.count()
    steady = []
    for tick in range(160):
        if tick == 40:
            for _ in range(CREST_JOBS):
                short = step(1, estimate_s=SHORT_S)
                group.submit(job(f"{next(numbers):016x}", short, tenant="crest"))
        if tick % 4 == 0:
            # 5 jobs/s of each: 15 of the 32 slots.
            for tenant in STEADY:
                steady.append(f"{next(numbers):016x}")
                group.submit(job(steady[-1], step(1), tenant=tenant, stretch=2.0))
        group.run(0.05)
    jobs = [group.partition.jobs[job_id] for job_id in steady]
    waits = [(found.first_start_at or group.now) - found.arrived_at for found in jobs]
    assert max(waits) <= SHORT_S + 0.1
    crest = [found for found in group.partition.jobs.values() if found.spec.tenant]
    assert all(found.started for found in crest if found.spec.tenant == "crest")
