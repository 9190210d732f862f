"""Large tasks among many small ones."""

from poplaryard.workload.model import AdviceCost, JobState
from tests.workload.builders import ADVICE, job, step, worker_info
from tests.workload.fakes import Cell, wanted_advice


def small_jobs(cell, count, first=0, **fields):
    fields.setdefault("estimate_s", 2.0)
    for number in range(first, first + count):
        cell.submit(job(f"{number:016x}", step(1, **fields), priority=2))


def test_gang_starts_soon_among_a_stream_of_small_tasks():
    """Pattern: small tasks of less urgent jobs take every gap on all workers."""
    cell = Cell(workers=2)
    gang = job("f" * 16, step(2, cpu=4000, gang=True), priority=1)
    for number in range(40):
        small_jobs(cell, 1, number)
        if number == 10:
            cell.submit(gang)
            submitted = cell.now
        cell.run(0.25)
    started = cell.partition.jobs["f" * 16].first_start_at
    assert 0 < started - submitted < 4.0


def test_gang_takes_the_room_of_checkpointed_tasks_at_once():
    cell = Cell(workers=1)
    small_jobs(cell, 4, estimate_s=30.0, checkpointable=True)
    cell.run(0.5)
    cell.submit(job("f" * 16, step(2, cpu=2000, gang=True), priority=1))
    cell.run(1.0)
    assert cell.partition.jobs["f" * 16].started


def test_tasks_that_keep_no_checkpoint_are_not_stopped():
    """Guards against throwing work away for a more urgent job."""
    cell = Cell(workers=1)
    small_jobs(cell, 4, estimate_s=5.0)
    cell.run(0.5)
    cell.submit(job("f" * 16, step(2, cpu=2000, gang=True), priority=1))
    cell.run(12)
    states = {job.state for job in cell.partition.jobs.values()}
    assert states == {JobState.DONE}
    assert len(cell.starts()) == 6


def test_several_waiting_steps_ask_for_one_free_slot_once():
    """Pattern: many jobs wait for few workers, and advice is slow."""
    cell = Cell(workers=0)
    cell.add_worker(worker_info(0, cpu=1000))
    cell.run(0.2)
    for number in range(6):
        cell.submit(job(f"{number:016x}", advice=ADVICE))
    asked = []
    while True:
        request = wanted_advice(cell.partition, cell.now)
        if request is None:
            break
        asked.append(request.step.name)
    assert len(asked) == 1


def test_overload_leaves_most_jobs_in_time_and_finishes_the_rest():
    """Pattern: a burst at three times the capacity, oldest jobs already late."""
    cell = Cell(workers=2)
    for number in range(72):
        spec = job(f"{number:016x}", stretch=2.0, slack_s=1.0)
        cell.submit(spec)
        if number % 6 == 5:
            cell.run(0.25)
    in_time = 0
    while not all(job.state.final for job in cell.partition.jobs.values()):
        cell.run(0.25)
        assert cell.now < 200
    for done in cell.partition.jobs.values():
        age_s = done.progress.finished_at - 1_000_000.0 - done.arrived_at
        in_time += age_s <= done.spec.objective_s()
    # Half of the jobs, although the workers have room for a third of them at a time.
    # In order of arrival 30 are in time, since late jobs are then served first.
    assert in_time >= 36


def test_room_held_for_gang_without_permit_does_not_starve_a_small_job():
    """Pattern: advice for a gang fails again and again while its room stands idle."""
    cell = Cell(workers=2)
    cell.run(0.2)
    gang = job("f" * 16, step(2, cpu=4000, gang=True), priority=1, advice=ADVICE)
    cell.submit(gang)
    request = wanted_advice(cell.partition, cell.now)
    tickets = dict.fromkeys(request.workers, "t")
    cell.partition.advice_answered(request, tickets, cell.now, cell.now)
    cell._advise = lambda: None
    cell.run(0.5)
    small_jobs(cell, 1)
    cell.run(2.5)
    assert cell.partition.jobs["0" * 16].started


def test_urgent_gang_keeps_the_room_it_holds_while_most_of_the_group_is_busy():
    """Guards against small jobs that take held room as soon as they wait long."""
    cell = Cell(workers=2)
    small_jobs(cell, 1, cpu=4000, estimate_s=8.0)
    small_jobs(cell, 1, 1, cpu=2000, estimate_s=5.0)
    cell.run(2.0)
    cell.submit(job("f" * 16, step(1, cpu=4000, gang=True), priority=1))
    cell.run(0.2)
    small_jobs(cell, 2, 2, cpu=1000)
    cell.run(7.0)
    gang = cell.partition.jobs["f" * 16]
    assert gang.started
    assert gang.first_start_at < cell.partition.jobs["3".zfill(16)].first_start_at


def test_advice_for_a_gang_is_asked_before_its_room_is_there():
    """Pattern: every worker is full, and a call for advice takes a second.

    Asked for only when the room is free, advice leaves it idle for the time of a call.
    """
    cell = Cell(workers=1)
    small_jobs(cell, 1, cpu=4000, estimate_s=3.0)
    cell.run(0.3)
    slow = AdviceCost(base_s=0.9, per_worker_s=0.01, valid_s=2.0)
    cell.submit(job("f" * 16, step(1, cpu=4000, gang=True), priority=1, advice=slow))
    first = wanted_advice(cell.partition, cell.now)
    assert first is not None
    cell.partition.advice_answered(first, {"w0": "t"}, cell.now + 2.0, cell.now)
    cell._advise = lambda: None
    cell.run(0.3)
    assert wanted_advice(cell.partition, cell.now) is None
    cell.run(1.7)
    assert wanted_advice(cell.partition, cell.now) is not None


def test_advice_for_a_task_is_asked_before_a_worker_has_room():
    cell = Cell(workers=1)
    small_jobs(cell, 1, cpu=4000, estimate_s=2.0)
    cell.run(0.3)
    advice = AdviceCost(base_s=0.3, per_worker_s=0.01, valid_s=2.0)
    cell.submit(job("f" * 16, step(1, cpu=3000), advice=advice))
    assert wanted_advice(cell.partition, cell.now) is None
    cell._advise = lambda: None
    cell.run(1.5)
    assert wanted_advice(cell.partition, cell.now) is not None


def test_advice_names_only_as_many_workers_as_the_tasks_need():
    """Pattern: short urgent jobs on a large, nearly empty group.

    Each name adds to the time of the call, which such jobs notice.
    """
    cell = Cell(workers=0)
    for number in range(60):
        cell.add_worker(worker_info(number, address=f"10.0.1.{number}:80"))
    cell.run(0.1)
    quick = AdviceCost(base_s=0.02, per_worker_s=0.0003, valid_s=2.0)
    cell.submit(job("f" * 16, step(4, cpu=1000), advice=quick))
    request = wanted_advice(cell.partition, cell.now)
    # Four tasks, four places each, four places on a worker; at least eight workers.
    assert len(request.workers) == 8


def test_advice_for_the_next_short_step_is_there_before_it_is_ready():
    """Pattern: jobs of short steps, where each call for advice delays the end."""
    cell = Cell(workers=1)
    cell.run(0.1)
    advice = AdviceCost(base_s=0.02, per_worker_s=0.01, valid_s=2.0)
    steps = step(1, estimate_s=0.8), step(1, estimate_s=0.8, after=(0,))
    cell.submit(job("f" * 16, *steps, advice=advice))
    cell.run(0.5)
    assert cell.partition.jobs["f" * 16].occurrences[0][1].permits
