"""Pattern: tenants of unlike weights send far more than fits, and all is full."""

import pytest

from poplaryard.resources import Resources
from tests.workload.builders import job, step, tenants, worker_info
from tests.workload.fakes import SimulatedGroup

WEIGHTS = {"a": 1, "b": 2, "c": 5}
SLOTS = 64


def full_group(needs, **fields):
    """Return a group in which each tenant has a long queue of equal tasks."""
    group = SimulatedGroup(workers=0)
    for number in range(16):
        address = f"10.0.1.{number}:80"
        group.add_worker(worker_info(number, address=address, **fields))
    group.partition.configure_tenants(tenants(**WEIGHTS))
    group.run(0.2)
    number = 0
    for tenant, need in needs.items():
        for _ in range(200):
            one_task = step(1, need=need, estimate_s=0.5)
            group.submit(job(f"{number:016x}", one_task, tenant=tenant))
            number += 1
    return group


def mean_shares(group, seconds):
    """Return each tenant's mean share of the capacity while the time passes."""
    total = group.partition._total_capacity()
    sums = dict.fromkeys(WEIGHTS, 0.0)
    samples = int(seconds / 0.05)
    for _ in range(samples):
        group.run(0.05)
        for tenant, usage in group.partition.tenant_usage(group.now).items():
            sums[tenant] += usage.used.dominant_share(total) / samples
    return sums


def test_full_group_is_divided_by_weight():
    """Guards against a division by the order of arrival or by number of jobs."""
    group = full_group(dict.fromkeys(WEIGHTS, Resources(1000, 100, 0)))
    group.run(0.1)
    shares = mean_shares(group, 1.5)
    for tenant, weight in WEIGHTS.items():
        # A tenant may be one task above; at the end of a run its slot is free for
        # up to one pass of 0.05 s in 0.5.
        fair = weight / sum(WEIGHTS.values())
        assert shares[tenant] == pytest.approx(fair, abs=1.5 / SLOTS + 0.1 * fair)


def test_share_is_of_the_resource_that_a_tenant_uses_most():
    """Guards against counting processors alone where a tenant fills the memory."""
    group = full_group(
        {
            "a": Resources(1000, 100, 0),
            "b": Resources(100, 2000, 0),
            "c": Resources(1000, 100, 0),
        }
    )
    group.run(0.1)
    shares = mean_shares(group, 1.5)
    assert shares["b"] >= WEIGHTS["b"] / sum(WEIGHTS.values()) - 1.5 / SLOTS
    assert shares["a"] < shares["b"] < shares["c"]


def test_large_tenants_share_evenly_what_small_ones_leave():
    """Guards against a long queue taking all room beyond the fair shares."""
    group = SimulatedGroup(workers=16)
    group.partition.configure_tenants(tenants(a=1, b=1, c=1, d=1))
    group.run(0.2)
    lengths = {"a": 400, "b": 60, "c": 1, "d": 1}
    for tenant, length in lengths.items():
        for number in range(length):
            long = step(1, estimate_s=30.0)
            group.submit(job(f"{tenant}{number:015x}", long, tenant=tenant))
    group.run(0.3)
    usage = group.partition.tenant_usage(group.now)
    slots = {tenant: found.used.cpu_m // 1000 for tenant, found in usage.items()}
    assert sum(slots.values()) == SLOTS
    assert (slots["c"], slots["d"]) == (1, 1)
    # Levels are a quarter of the fair share of 16 slots wide.
    assert abs(slots["a"] - slots["b"]) <= 4
