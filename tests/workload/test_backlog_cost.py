"""Cost of a scheduling round with a backlog, in checks of a worker for a step.

Guards against an owner that is too busy with such checks to answer calls and to renew
its lease.
"""

import pytest

from poplaryard.resources import ZERO
from poplaryard.workload import placing
from poplaryard.workload.model import AdviceCost
from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import FixedCaps, SimulatedGroup

WORKERS = 60
BACKLOG = 300
QUICK = AdviceCost(base_s=0.02, per_worker_s=0.0003, valid_s=2.0)


@pytest.fixture
def checks(monkeypatch):
    """Return a list that grows by the step's name for each check of a worker."""
    checked = []
    admits = placing.admits

    def counted(step_run, worker):
        checked.append(step_run.name)
        return admits(step_run, worker)

    monkeypatch.setattr(placing, "admits", counted)
    return checked


def full_group():
    """Return a group without free room, and many short jobs that wait for it."""
    group = SimulatedGroup(workers=0)
    for number in range(WORKERS):
        address = f"10.0.1.{number}:80"
        group.add_worker(worker_info(number, cpu=4000, address=address))
    group.run(0.1)
    for number in range(WORKERS):
        long = step(1, cpu=4000, estimate_s=60.0)
        group.submit(job(f"{number:016x}", long, priority=0))
    group.run(0.3)
    for number in range(BACKLOG):
        name = f"{WORKERS + number:016x}"
        group.submit(job(name, step(8, cpu=500), priority=1, advice=QUICK))
    return group


def test_steps_without_room_or_permit_need_no_check_of_workers(checks):
    """Guards against a search per step in a burst far above the capacity of a group."""
    group = full_group()
    checks.clear()
    group.partition.advance(group.now)
    assert not list(group.partition.advice_wanted(group.now, lambda cost_s: True))
    assert len(checks) <= 10 * WORKERS


def test_advice_search_stops_when_the_expected_room_is_claimed(checks):
    """Guards against a search per step when one worker becomes free in a burst."""
    group = full_group()
    group.add_worker(worker_info(WORKERS, cpu=4000, address="10.0.2.1:80"))
    group.partition.allow_starts_on(group.partition.possible_run_holders(group.now))
    group.advise = lambda: None
    group.step()
    checks.clear()
    calls = list(group.partition.advice_wanted(group.now, lambda cost_s: True))
    assert 1 <= len(calls) <= 2
    assert len(checks) <= 3 * WORKERS


def test_steps_whose_tasks_all_run_need_no_advice(checks):
    """Guards against calls for advice, which is scarce, that nothing waits for.

    Pattern: many short jobs that run, on a group with room left.
    """
    group = SimulatedGroup(workers=0)
    for number in range(WORKERS):
        address = f"10.0.1.{number}:80"
        group.add_worker(worker_info(number, cpu=4000, address=address))
    group.run(0.1)
    for number in range(WORKERS):
        name = f"{number:016x}"
        group.submit(job(name, step(1, cpu=1000, estimate_s=60.0), advice=QUICK))
    group.run(0.3)
    group.partition.advance(group.now)
    checks.clear()
    group.now += 3.0
    assert not list(group.partition.advice_wanted(group.now, lambda cost_s: True))
    assert not checks


def test_need_that_fits_nowhere_is_searched_once_in_a_pass(checks):
    """Guards against a search per step when the free room is in small pieces.

    Pattern: a burst of equal jobs that wait while each worker has a little room.
    """
    group = SimulatedGroup(workers=0)
    for number in range(WORKERS):
        address = f"10.0.1.{number}:80"
        group.add_worker(worker_info(number, cpu=4000, address=address))
    group.run(0.1)
    for number in range(WORKERS):
        long = step(1, cpu=3000, estimate_s=60.0)
        group.submit(job(f"{number:016x}", long))
    group.run(0.3)
    for number in range(BACKLOG):
        name = f"{WORKERS + number:016x}"
        group.submit(job(name, step(2, cpu=2000), priority=1, advice=QUICK))
    group.partition.advance(group.now)
    checks.clear()
    assert not list(group.partition.advice_wanted(group.now, lambda cost_s: True))
    assert len(checks) <= 2 * WORKERS


def test_room_to_reserve_is_sought_for_few_steps_in_a_pass(checks):
    """Guards against a search per step for large steps that never find room."""
    group = full_group()
    for number in range(BACKLOG):
        large = step(1, cpu=4000, label="none")
        group.submit(job(f"{0xF000 + number:016x}", large, priority=0))
    for _ in range(20):
        checks.clear()
        group.partition.advance(group.now)
        assert len(checks) <= 12 * WORKERS
        group.now += 0.05


def test_steps_of_a_tenant_at_its_cap_need_no_check_of_workers(checks):
    """Guards against a search per step, and per pass, that cannot lead to a start.

    Pattern: a long queue of a tenant at its cap, on a group with room left.
    """
    group = SimulatedGroup(workers=0)
    group.partition.caps = FixedCaps(a=ZERO)
    for number in range(WORKERS):
        address = f"10.0.1.{number}:80"
        group.add_worker(worker_info(number, cpu=4000, address=address))
    group.run(0.1)
    for number in range(BACKLOG):
        advice = QUICK if number % 2 else None
        large = step(4, cpu=4000, gang=number % 3 == 0)
        group.submit(job(f"{number:016x}", large, tenant="a", advice=advice))
    group.partition.advance(group.now)
    assert not list(group.partition.advice_wanted(group.now, lambda cost_s: True))
    assert not checks
    assert not group.partition.orders
