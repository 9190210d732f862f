"""Cost of one look at a backlog, in workers looked at.

An owner that spends its processor time on looks answers nobody, and loses its lease.
"""

import pytest

from poplaryard.workload import placing
from poplaryard.workload.model import AdviceCost
from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import Cell

WORKERS = 60
BACKLOG = 300
QUICK = AdviceCost(base_s=0.02, per_worker_s=0.0003, valid_s=2.0)


@pytest.fixture
def looks(monkeypatch):
    """Count the workers that steps are compared with."""
    seen = []
    admits = placing.admits

    def counted(step_run, worker):
        seen.append(step_run.name)
        return admits(step_run, worker)

    monkeypatch.setattr(placing, "admits", counted)
    return seen


def full_cell():
    """Return a group without room, and many short jobs that wait for it."""
    cell = Cell(workers=0)
    for number in range(WORKERS):
        address = f"10.0.1.{number}:80"
        cell.add_worker(worker_info(number, cpu=4000, address=address))
    cell.run(0.1)
    for number in range(WORKERS):
        long = step(1, cpu=4000, estimate_s=60.0)
        cell.submit(job(f"{number:016x}", long, priority=0))
    cell.run(0.3)
    for number in range(BACKLOG):
        name = f"{WORKERS + number:016x}"
        cell.submit(job(name, step(8, cpu=500), priority=1, advice=QUICK))
    return cell


def test_steps_without_room_or_permit_cost_no_look_at_workers(looks):
    """Pattern: a burst of short jobs far above the capacity of a large group."""
    cell = full_cell()
    looks.clear()
    cell.partition.advance(cell.now)
    assert not list(cell.partition.advice_wanted(cell.now, lambda cost_s: True))
    assert len(looks) <= 10 * WORKERS


def test_advice_stops_looking_when_the_expected_room_is_spoken_for(looks):
    """Pattern: one worker becomes free under a burst of short jobs."""
    cell = full_cell()
    cell.add_worker(worker_info(WORKERS, cpu=4000, address="10.0.2.1:80"))
    cell.partition.allow_starts_on(cell.partition.may_hold_work(cell.now))
    cell._advise = lambda: None
    cell.step()
    looks.clear()
    calls = list(cell.partition.advice_wanted(cell.now, lambda cost_s: True))
    assert 1 <= len(calls) <= 2
    assert len(looks) <= 3 * WORKERS
