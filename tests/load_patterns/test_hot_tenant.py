"""Pattern: one tenant sends twenty times as many jobs as each of four others.

Together they send far more than the group can run.
"""

import itertools

import pytest

from poplaryard.workload.model import AdviceCost
from tests.workload.builders import job, step, tenants, worker_info
from tests.workload.fakes import SimulatedGroup, wanted_advice

SMALL = ("s1", "s2", "s3", "s4")
HOT_JOBS_PER_TICK = 4
TICKS = 200
TICK_S = 0.05
RUN_S = 1.0
QUICK = AdviceCost(base_s=0.02, per_worker_s=0.0003, valid_s=2.0)


def crowded_group(advice=None):
    """Return a group after 10 s of the load, and the jobs' ids by tenant."""
    group = SimulatedGroup(workers=0)
    for number in range(10):
        group.add_worker(worker_info(number, address=f"10.0.1.{number}:80"))
    group.partition.configure_tenants(tenants(hot=1, **dict.fromkeys(SMALL, 1)))
    group.run(0.2)
    numbers = itertools.count()
    sent = {name: [] for name in ("hot", *SMALL)}
    for tick in range(TICKS):
        due = ["hot"] * HOT_JOBS_PER_TICK
        if tick % (20 // HOT_JOBS_PER_TICK) == 0:
            due += SMALL
        for tenant in due:
            job_id = f"{next(numbers):016x}"
            one_task = step(1, estimate_s=RUN_S)
            spec = job(job_id, one_task, tenant=tenant, stretch=2.0, advice=advice)
            group.submit(spec)
            sent[tenant].append(job_id)
        group.run(TICK_S)
    return group, sent


def wait_s(group, job_id):
    found = group.partition.jobs[job_id]
    return (found.first_start_at or group.now) - found.arrived_at


@pytest.mark.parametrize("advice", [None, QUICK], ids=["without advice", "advice"])
def test_hot_tenant_does_not_delay_the_others(advice):
    """Guards against the jobs of small tenants waiting behind a hot one's queue.

    They may wait until one run has ended: all workers are full when they arrive.
    """
    group, sent = crowded_group(advice)
    for tenant in SMALL:
        assert max(wait_s(group, job_id) for job_id in sent[tenant]) <= RUN_S
    # Room that the others leave is used: 40 slots, less 4 jobs/s of each small tenant.
    started = sum(group.partition.jobs[job_id].started for job_id in sent["hot"])
    assert started >= 0.9 * (40 - 4 * len(SMALL)) * TICKS * TICK_S


def test_hot_tenant_is_not_asked_advice_for_before_the_others():
    """Guards against the queue of a hot tenant claiming all room that is asked for."""
    group = SimulatedGroup(workers=4)
    group.partition.configure_tenants(tenants(hot=1, small=1))
    group.run(0.2)
    for number in range(60):
        group.submit(job(f"{number:016x}", step(1), tenant="hot", advice=QUICK))
    group.submit(job("f" * 16, step(1), tenant="small", advice=QUICK))
    asked = []
    while (request := wanted_advice(group.partition, group.now)) is not None:
        asked.append(request.step.tenant)
    # Half of the 16 slots, and one task beyond, are the share of the hot tenant.
    assert "small" in asked[:10]
