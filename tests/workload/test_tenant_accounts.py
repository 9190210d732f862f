import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplaryard.resources import ZERO, Resources
from poplaryard.workload.model import JobState
from poplaryard.workload.tenancy import TenantAccounts, Usage
from poplaryard.workload.usage import MAX_TENANTS_SHOWN
from tests.workload.builders import ADVICE, job, step, tenants, worker_info
from tests.workload.fakes import FixedCaps, SimulatedGroup, wanted_advice

JOB = "a" * 16
needs = st.builds(
    Resources, st.integers(0, 4000), st.integers(0, 100), st.integers(0, 2)
)


@given(st.lists(st.tuples(st.sampled_from(["", "a", "b"]), needs)), st.randoms())
def test_account_is_the_sum_of_the_runs(runs, rng):
    """Guards against charges that remain, or are taken back twice."""
    accounts, present = TenantAccounts(), []
    for tenant, need in runs:
        accounts.add_run(tenant, need)
        present.append((tenant, need))
        if rng.random() < 0.4:
            accounts.remove_run(*present.pop(rng.randrange(len(present))))
        for name in ("a", "b"):
            expected = sum((need for owner, need in present if owner == name), ZERO)
            assert accounts.used(name) == expected
        assert set(accounts.all_used()) == {owner for owner, _ in present} - {""}


def expected_usage(group):
    """Return what the runs of each tenant need, from the workers' own lists."""
    found = {}
    for worker in group.partition.workers.values():
        for run in worker.runs.values():
            tenant, need = run.task.step.job.spec.tenant, run.task.step.spec.need
            if tenant:
                found[tenant] = found.get(tenant, ZERO) + need
    return found


@pytest.mark.parametrize("seed", range(6))
def test_usage_is_right_after_any_events(seed):
    """Guards against a way in which runs end that the account misses.

    Jobs of all kinds start, end, fail and are cancelled; workers are cut off, restart
    and leave. What the workers run never exceeds the usage.
    """
    rng = random.Random(seed)
    group = SimulatedGroup(workers=6)
    group.partition.configure_tenants(tenants(a=1, b=2, c=3))
    kinds = (
        {},
        {"fills": True},
        {"gang": True},
        {"speculative": True, "estimate_s": 0.5},
        {"checkpointable": True},
        {"lasting": True},
    )
    names = []
    for number in range(150):
        names.append(f"{number:016x}")
        tasks = step(
            rng.randint(1, 4), cpu=rng.choice([500, 2000]), **rng.choice(kinds)
        )
        tenant = rng.choice(["", "a", "b", "c"])
        group.submit(job(names[-1], tasks, tenant=tenant, priority=rng.randint(0, 2)))
        sim = rng.choice(list(group.sims.values()))
        event = rng.random()
        if event < 0.1:
            sim.unreachable = not sim.unreachable
        elif event < 0.13:
            sim.runs.clear()
            sim.info = worker_info(int(sim.info.worker_id[1:]), born_ms=2000 + number)
            group.partition.worker_listed(sim.info)
        elif event < 0.2:
            sim.failing = not sim.failing
        elif event < 0.25:
            group.partition.worker_unlisted(sim.info.worker_id, group.now)
        elif event < 0.5:
            group.partition.cancel(rng.choice(names), group.now)
        group.run(rng.uniform(0.05, 0.3))
        usage = group.partition.tenant_usage(group.now)
        used = {name: found.used for name, found in usage.items() if found.used != ZERO}
        assert used == expected_usage(group)
        for tenant in ("a", "b", "c"):
            in_progress = actual_usage(group, tenant)
            assert in_progress.fits_in(usage.get(tenant, Usage()).used)
    for name in names:
        group.partition.cancel(name, group.now)
    for sim in group.sims.values():
        sim.unreachable = False
    group.run(20.0)
    usage = group.partition.tenant_usage(group.now)
    assert all(found == Usage() for found in usage.values())
    group.partition.forget_finished(float("inf"))
    assert not group.partition._accounts.has_jobs


def actual_usage(group, tenant):
    """Return what the workers run for a tenant."""
    total = ZERO
    for sim in group.sims.values():
        for task, _ in sim.runs:
            job_id, _, number, _ = task.split(".")
            spec = group.partition.jobs[job_id].spec
            if spec.tenant == tenant:
                total = total + spec.steps[int(number)].need
    return total


def test_task_that_only_fills_is_charged_to_its_tenant_in_full():
    """Guards against a cap that work on idle processors can exceed."""
    group = SimulatedGroup(workers=2)
    group.partition.caps = FixedCaps(a=Resources(2500, 1000, 0))
    group.submit(job(JOB, step(8, fills=True), tenant="a"))
    group.run(0.3)
    usage = group.partition.tenant_usage(group.now)["a"]
    assert usage.used == Resources(2000, 200, 0)
    assert len(group.starts()) == 2


def test_gang_starts_only_if_all_of_it_is_within_the_cap():
    """Guards against a gang of which only the first task is compared with the cap."""
    group = SimulatedGroup(workers=2)
    group.partition.caps = FixedCaps(a=Resources(3000, 1000, 0))
    group.submit(job(JOB, step(4, gang=True), tenant="a"))
    group.submit(job("b" * 16, step(3, gang=True), tenant="a"))
    group.run(0.5)
    assert not group.starts(f"{JOB}.0.0.0")
    assert group.starts(f"{'b' * 16}.0.0.2")


def test_copies_and_trials_are_within_the_cap():
    """Guards against a copy of a slow task beyond the cap of its tenant."""
    group = SimulatedGroup(workers=2)
    group.sims["w0"].slowness = group.sims["w1"].slowness = 20.0
    group.partition.caps = FixedCaps(a=Resources(1000, 1000, 0))
    group.submit(job(JOB, step(1, speculative=True), tenant="a"))
    group.submit(job("b" * 16, step(1, speculative=True), tenant="b"))
    group.run(8.0)
    assert len(group.starts(f"{JOB}.0.0.0")) == 1
    assert len(group.starts(f"{'b' * 16}.0.0.0")) == 2


def test_advice_is_asked_only_for_what_the_cap_admits():
    """Guards against calls for steps that may not start, which delay those that may."""
    group = SimulatedGroup(workers=4)
    group.partition.caps = FixedCaps(a=Resources(2000, 1000, 0))
    group.run(0.2)
    for number in range(8):
        spec = job(f"{number:016x}", step(1), tenant="a", advice=ADVICE)
        group.submit(spec)
    group.submit(job("f" * 16, step(1), tenant="b", advice=ADVICE))
    asked = []
    while (request := wanted_advice(group.partition, group.now)) is not None:
        asked.append(request.step.tenant)
    assert sorted(asked) == ["a", "a", "b"]


def test_waiting_amount_is_what_could_start():
    """Guards against a tenant that claims more of its cap than it can use here."""
    group = SimulatedGroup(workers=2)
    group.partition.configure_tenants(tenants(a=1, b=1))
    group.partition.caps = FixedCaps(a=ZERO)
    group.submit(job(JOB, step(20), tenant="a"))
    group.submit(job("b" * 16, step(1, cpu=9000), tenant="a"))
    group.run(0.3)
    waiting = group.partition.tenant_usage(group.now)["a"].waiting
    # The free room of 8 slots, and 4 that are missing to the fair share of b.
    assert waiting == Resources(1000, 100, 0).times(16)
    group.submit(job("c" * 16, step(8, estimate_s=60.0), tenant="b"))
    group.run(0.3)
    waiting = group.partition.tenant_usage(group.now)["a"].waiting
    assert waiting == Resources(1000, 100, 0).times(4)


def test_task_for_which_there_is_no_worker_does_not_wait_for_the_cap():
    """Guards against a part of the cap that is kept where it can't be used."""
    group = SimulatedGroup(workers=2)
    group.partition.caps = FixedCaps(a=ZERO)
    group.submit(job(JOB, step(2, label="other"), tenant="a"))
    group.run(0.3)
    assert group.partition.tenant_usage(group.now).get("a", Usage()) == Usage()


def test_tenant_without_any_room_waits_for_one_task():
    """Guards against a large task that never asks for the part of the cap it needs."""
    group = SimulatedGroup(workers=2)
    group.partition.configure_tenants(tenants(a=1, b=1))
    group.partition.caps = FixedCaps(a=ZERO)
    group.submit(job(JOB, step(8, estimate_s=60.0), tenant="b"))
    group.run(0.3)
    group.submit(job("b" * 16, step(2, cpu=4000, gang=True), tenant="a", priority=1))
    group.submit(job("c" * 16, step(2, gang=True), tenant="a", priority=2))
    group.run(0.1)
    waiting = group.partition.tenant_usage(group.now)["a"].waiting
    assert waiting == Resources(8000, 200, 0)


def test_figures_are_of_the_tenants_with_most():
    """Guards against a number of time series that grows with the tenants."""
    group = SimulatedGroup(workers=2)
    for number in range(MAX_TENANTS_SHOWN + 20):
        one_task = step(1, need=Resources(10 + number, 1, 0), estimate_s=60.0)
        group.submit(job(f"{number:016x}", one_task, tenant=f"t{number}"))
    group.run(0.2)
    figures = group.partition.tenant_figures(group.now)
    assert len(figures) == MAX_TENANTS_SHOWN
    assert f"t{MAX_TENANTS_SHOWN + 19}" in figures
    assert "t0" not in figures


def test_tenant_at_its_cap_is_logged_once_in_five_seconds(caplog):
    """Guards against a log line in each pass while a tenant waits."""
    group = SimulatedGroup(workers=1)
    group.partition.caps = FixedCaps(a=Resources(1000, 1000, 0))
    group.submit(job(JOB, step(3, estimate_s=60.0), tenant="a"))
    with caplog.at_level("INFO"):
        group.run(4.5)
    assert [r.message for r in caplog.records].count("tenant at its cap") == 1
    with caplog.at_level("INFO"):
        group.run(1.0)
    assert [r.message for r in caplog.records].count("tenant at its cap") == 2


def test_tenant_held_at_its_share_is_logged(caplog):
    """Guards against a wait whose reason no line tells."""
    group = SimulatedGroup(workers=1)
    group.partition.configure_tenants(tenants(a=1, b=1))
    for tenant in ("a", "b"):
        group.submit(job(tenant * 16, step(8, estimate_s=60.0), tenant=tenant))
    with caplog.at_level("INFO"):
        group.run(1.0)
    held = [r for r in caplog.records if r.message == "tenant held at its share"]
    assert {(record.tenant, record.share) for record in held} == {
        ("a", 0.5),
        ("b", 0.5),
    }


def test_job_without_a_tenant_is_never_limited():
    """Guards against limits where a route is public."""
    group = SimulatedGroup(workers=1)
    group.partition.configure_tenants(tenants(a=1))
    group.partition.caps = FixedCaps(**{"": ZERO, "a": ZERO})
    group.submit(job("b" * 16, step(1), tenant="a"))
    group.submit(job(JOB, step(4)))
    group.run(2.0)
    assert group.partition.jobs[JOB].state is JobState.DONE
    assert "" not in group.partition.tenant_usage(group.now)
