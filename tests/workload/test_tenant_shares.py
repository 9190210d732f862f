import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplaryard.resources import ZERO, Resources
from poplaryard.workload.tenancy import ShareOrder, Shares
from tests.workload.builders import job, step, tenants
from tests.workload.fakes import SimulatedGroup

TOTAL = Resources(10_000, 10_000, 10)
WEIGHTS = {"a": 1.0, "b": 1.0, "c": 2.0}


@dataclass
class FakeStep:
    tenant: str
    priority: int = 0
    due_at: float = 0.0
    need: Resources = Resources(1000, 100, 0)
    rank: tuple = field(init=False)

    def __post_init__(self):
        self.rank = (self.priority, 0, 0, self.due_at)


steps = st.lists(
    st.builds(
        FakeStep,
        st.sampled_from(["", "a", "b", "c", "unknown"]),
        st.integers(0, 2),
        st.integers(0, 5).map(float),
        st.integers(0, 3000).map(lambda cpu_m: Resources(cpu_m, 100, 0)),
    ),
    max_size=30,
)


def sorted_steps(items, shares):
    for item in items:
        item.rank = item.priority, shares.level(item.tenant), 0, item.due_at
    return sorted(items, key=lambda item: item.rank)


def shares_of(items, used=()):
    return Shares(WEIGHTS, TOTAL, dict(used), {item.tenant for item in items})


def test_fair_share_is_by_weight_of_the_tenants_that_run_or_wait():
    """Guards against capacity that is kept for tenants without work."""
    shares = Shares(WEIGHTS, TOTAL, {"a": Resources(1000, 0, 0)}, ["c", ""])
    assert shares.fair_share("a") == pytest.approx(1 / 3)
    assert shares.fair_share("c") == pytest.approx(2 / 3)
    assert shares.missing("c") == Resources(6666, 6666, 6)


def test_tenant_that_is_not_configured_has_the_smallest_weight():
    """Guards against jobs of a removed tenant that come before all others."""
    shares = Shares({"a": 4.0, "c": 2.0}, TOTAL, {}, ["a", "old"])
    assert shares.fair_share("old") == pytest.approx(1 / 3)


def test_level_tells_how_far_a_tenant_is_above_its_share():
    """Guards against a tenant without an end to its advantage above its share."""
    shares = Shares(WEIGHTS, TOTAL, {}, ["a", "b", "c"])
    levels = []
    for _ in range(5):
        levels.append(shares.level("a"))
        shares.charge("a", Resources(0, 0, 1))
    assert levels == [0, 0, 0, 1, 3]
    assert shares.level("") == 0


def test_gpus_and_memory_count_as_well_as_processors():
    """Guards against a tenant that takes all GPUs within its share of the cores."""
    shares = Shares(WEIGHTS, TOTAL, {"a": Resources(0, 0, 3)}, ["a", "b", "c"])
    assert shares.share("a") == pytest.approx(0.3)
    assert shares.is_above("a")


def test_partition_without_capacity_has_no_shares():
    """Guards against a division by zero before the first worker is listed."""
    shares = Shares({}, ZERO, {"a": Resources(1, 1, 1)}, ["a"])
    assert not shares.is_above("a")


@pytest.mark.parametrize(
    ("tenant", "other", "allowed"),
    [
        ("above", "below", False),
        ("above", "above", True),
        ("below", "above", True),
        ("below", "below", True),
        ("", "below", True),
        ("above", "", False),
    ],
)
def test_preemption_by_shares(tenant, other, allowed):
    """Guards against preempting a tenant below its share for one above."""
    used = {"above": Resources(8000, 0, 0), "below": Resources(1000, 0, 0)}
    assert Shares({}, TOTAL, used, ()).may_preempt(tenant, other) is allowed


@given(steps)
def test_order_without_starts_is_the_order_of_the_ranks(items):
    """Guards against an order that differs although no share changes."""
    shares = shares_of(items)
    ordered = sorted_steps(items, shares)
    found = list(ShareOrder(ordered, shares))
    assert [id(item) for item in found] == [id(item) for item in ordered]


@given(steps, st.randoms())
def test_each_step_is_the_best_of_those_left(items, rng):
    """Guards against an order that does not follow the shares within a pass."""
    shares = shares_of(items)
    left = sorted_steps(items, shares)
    order = ShareOrder(list(left), shares)
    for item in order:
        best = min(
            (other.priority, shares.level(other.tenant), other.due_at) for other in left
        )
        assert (item.priority, shares.level(item.tenant), item.due_at) == best
        assert item.rank[1] == shares.level(item.tenant)
        left = [other for other in left if other is not item]
        if rng.random() < 0.7:
            shares.charge(item.tenant, item.need)
        if rng.random() < 0.1 and shares.level(item.tenant) > item.rank[1]:
            order.postpone(item)
            left.append(item)
    assert not left


def test_cost_of_a_pass_is_near_linear_in_the_queue(monkeypatch):
    """Guards against a sort of the whole queue after each start."""
    ranked = []
    rank = ShareOrder._rank
    monkeypatch.setattr(
        ShareOrder, "_rank", lambda self, queue: ranked.append(1) or rank(self, queue)
    )
    items = [FakeStep("abc"[number % 3], 0, number) for number in range(3000)]
    shares = shares_of(items)
    for item in ShareOrder(sorted_steps(items, shares), shares):
        shares.charge(item.tenant, Resources(1, 1, 0))
    assert len(ranked) <= 3000 + 3


def test_long_queue_does_not_take_all_room_in_one_pass():
    """Guards against shares that are looked at only once in a pass."""
    group = SimulatedGroup(workers=4)
    group.partition.configure_tenants(tenants(a=1, b=1, c=2))
    group.run(0.2)
    for tenant in "abc":
        for number in range(30):
            group.submit(job(f"{tenant}{number:015x}", step(1), tenant=tenant))
    group.partition.advance(group.now)
    started = [order.run.task.step.tenant for order in group.partition.orders]
    assert [started.count(tenant) for tenant in "abc"] == [4, 4, 8]


def test_wide_step_does_not_take_all_room_in_one_pass():
    """Guards against shares that are looked at only between steps."""
    group = SimulatedGroup(workers=4)
    group.partition.configure_tenants(tenants(a=1, b=1))
    group.run(0.2)
    group.submit(job("a" * 16, step(40), tenant="a"))
    group.submit(job("b" * 16, step(40), tenant="b"))
    group.partition.advance(group.now)
    started = [order.run.task.step.tenant for order in group.partition.orders]
    assert [started.count(tenant) for tenant in "ab"] == [8, 8]


@pytest.mark.parametrize("seed", range(3))
def test_jobs_without_a_tenant_are_scheduled_as_without_tenants(seed):
    """Guards against an effect on deployments, and routes, without tenants."""
    schedules = []
    for configured in ({}, tenants(a=1, b=2)):
        rng = random.Random(seed)
        group = SimulatedGroup(workers=6)
        group.partition.configure_tenants(configured)
        for number in range(60):
            spec = step(rng.randint(1, 4), cpu=rng.choice([500, 2000, 3500]))
            priority = rng.randint(0, 2)
            group.submit(job(f"{number:016x}", spec, priority=priority))
            group.run(rng.uniform(0.05, 0.2))
        schedules.append(group.starts())
    assert schedules[0] == schedules[1]
