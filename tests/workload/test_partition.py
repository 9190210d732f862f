from poplaryard.workload.model import JobState, Progress, RunOutcome, Suspect
from tests.workload.builders import ADVICE, job, step, worker_info
from tests.workload.fakes import Cell

JOB = "a" * 16
# Workers of which an earlier owner left no list of tasks.
UNKNOWN = {"w0": Suspect(), "w1": Suspect()}


def state(cell, job_id=JOB):
    return cell.partition.jobs[job_id].state


def used_at_most(cell, cpu):
    return all(sum(1 for _ in sim.runs) * 1000 <= cpu for sim in cell.sims.values())


def test_steps_run_in_order():
    """Guards against a start before the steps in `after` are done."""
    cell = Cell()
    cell.submit(job(JOB, step(2), step(1, after=(0,))))
    cell.run(0.5)
    assert {task for _, task, _ in cell.starts()} == {f"{JOB}.0.0.0", f"{JOB}.0.0.1"}
    cell.run(3)
    assert state(cell) is JobState.DONE


def test_worker_is_never_given_more_than_its_capacity():
    cell = Cell(workers=2)
    cell.submit(job(JOB, step(20)))
    for _ in range(200):
        cell.step()
        assert used_at_most(cell, 4000)
        cell.now += 0.05
    assert state(cell) is JobState.DONE


def test_job_fails_after_its_attempts():
    """Guards against more failed runs than the queue allows."""
    cell = Cell(workers=4)
    for sim in cell.sims.values():
        sim.fail = True
    cell.submit(job(JOB, step(1), attempts=2))
    cell.run(20)
    assert state(cell) is JobState.FAILED
    assert len(cell.starts(f"{JOB}.0.0.0")) == 2


def test_worker_that_fails_several_jobs_is_ejected():
    """Guards against one bad worker using up the attempts of every job."""
    cell = Cell(workers=3)
    cell.sims["w0"].fail = True
    for number in range(12):
        cell.submit(job(f"{number:016x}", step(1), attempts=3))
        cell.run(0.3)
    cell.run(10)
    states = {job.state for job in cell.partition.jobs.values()}
    assert states == {JobState.DONE}
    assert len(cell.sims["w0"].started) < 10


def test_done_is_shown_only_after_it_is_kept():
    """Guards against showing a state that a later owner would not know."""
    cell = Cell()
    cell.submit(job())
    cell.run(0.9)
    while not cell.partition.jobs[JOB].progress.state.final:
        for sim in cell.sims.values():
            sim.advance(cell.now)
            cell._hold(cell.partition.workers[sim.info.worker_id], sim)
        cell.now += 0.05
    assert state(cell) is JobState.RUNNING
    cell.partition.progress_written(cell.partition.take_progress())
    assert state(cell) is JobState.DONE


def test_ends_are_acknowledged_only_after_they_are_kept():
    cell = Cell(workers=1)
    cell.submit(job(JOB, step(1), step(1, after=(0,))))
    cell.run(0.9)
    worker = cell.partition.workers["w0"]
    sim = cell.sims["w0"]
    cell.now += 1
    sim.advance(cell.now)
    cell._hold(worker, sim)
    assert (worker.seen_seq, worker.acked_seq) == (1, 0)
    notes = cell.partition.take_progress()
    cell.partition.progress_not_written(notes)
    assert worker.acked_seq == 0
    cell.partition.progress_written(cell.partition.take_progress())
    assert worker.acked_seq == 1


def test_silent_worker_keeps_its_task_until_its_lease_has_lapsed():
    """Guards against a second run beside one on a worker that was cut off."""
    cell = Cell(workers=2)
    cell.submit(job(JOB, step(1, estimate_s=30.0)))
    cell.run(1)
    first = cell.starts()[0][0]
    cell.sims[first].cut = True
    cell.run(5.5)
    assert len(cell.starts()) == 1
    cell.run(3)
    assert not cell.sims[first].runs
    assert len(cell.starts()) == 2


def test_restarted_worker_loses_its_runs_at_once():
    cell = Cell(workers=1)
    cell.submit(job(JOB, step(1, estimate_s=30.0)))
    cell.run(1)
    sim = cell.sims["w0"]
    sim.runs.clear()
    sim.info = worker_info(0, born_ms=2000)
    cell.run(0.3)
    assert [run for _, _, run in cell.starts()] == [1, 2]


def test_stalled_run_moves_to_another_worker():
    """Guards against a task that stands still on a worker that looks healthy."""
    cell = Cell(workers=2)
    cell.sims["w0"].hang = True
    for number in range(4):
        cell.submit(job(f"{number:016x}"))
    cell.run(8)
    assert {job.state for job in cell.partition.jobs.values()} == {JobState.DONE}


def test_cancelled_job_is_stopped_and_starts_nothing():
    cell = Cell()
    cell.submit(job(JOB, step(10, estimate_s=9.0)))
    cell.run(0.5)
    cell.partition.cancel(JOB, cell.now)
    cell.run(0.5)
    started = len(cell.starts())
    assert state(cell) is JobState.CANCELLED
    assert not any(sim.runs for sim in cell.sims.values())
    cell.run(3)
    assert len(cell.starts()) == started


def test_gang_starts_whole_or_not_at_all():
    """Guards against members that wait for others that have no room."""
    cell = Cell(workers=2)
    cell.submit(job("b" * 16, step(5, estimate_s=2.0)))
    cell.run(0.2)
    cell.submit(job(JOB, step(4, gang=True)))
    cell.run(1)
    assert cell.starts(f"{JOB}.0.0.0") == []
    cell.run(4)
    assert state(cell) is JobState.DONE
    runs = {run for _, task, run in cell.starts() if task.startswith(JOB)}
    assert runs == {1}


def test_lasting_task_is_started_again_however_it_ends():
    cell = Cell(workers=2)
    cell.submit(job(JOB, step(1, lasting=True)))
    cell.run(3.5)
    assert len(cell.starts()) >= 3
    assert state(cell) is JobState.RUNNING


def test_start_waits_for_advice_and_carries_its_ticket():
    cell = Cell(workers=3)
    cell.good = {"w1"}
    cell.submit(job(JOB, step(3), advice=ADVICE))
    cell.run(2)
    assert {worker for worker, _, _ in cell.starts()} == {"w1"}
    assert state(cell) is JobState.DONE


def test_nothing_starts_on_a_worker_that_leaves():
    cell = Cell(workers=2)
    cell.run(0.2)
    cell.partition.worker_listed(worker_info(0, draining=True), cell.now)
    cell.submit(job(JOB, step(8)))
    cell.run(5)
    assert {worker for worker, _, _ in cell.starts()} == {"w1"}


def test_occurrences_start_when_they_are_due():
    """Guards against a start before its time."""
    cell = Cell()
    due = cell.now + 1_000_000.0 + 2.0
    cell.submit(job(JOB, step(1), times=3, first_at=due, interval_s=1.5))
    cell.run(1.9)
    assert cell.starts() == []
    cell.run(6)
    assert state(cell) is JobState.DONE
    assert [task for _, task, _ in cell.starts()] == [
        f"{JOB}.{number}.0.0" for number in range(3)
    ]


def test_new_owner_adopts_what_runs_and_what_has_ended():
    """Guards against starting again what an earlier owner started."""
    old = Cell(workers=2)
    spec = job(JOB, step(2, estimate_s=1.0), step(1, after=(0,), estimate_s=1.0))
    old.submit(spec)
    old.run(0.8)
    for sim in old.sims.values():
        sim.advance(old.now + 0.4)
    new = Cell(fence=9, now=old.now + 0.4, sims=old.sims, suspects=UNKNOWN)
    new.submit(spec, fresh=False)
    new.run(3)
    assert state(new) is JobState.DONE
    assert len(new.starts()) == 3


def test_new_owner_waits_for_workers_that_may_hold_work():
    """Guards against a second run beside one on a worker that can't be reached."""
    old = Cell(workers=2)
    spec = job(JOB, step(1, estimate_s=30.0))
    old.submit(spec)
    old.run(0.5)
    holder = old.starts()[0][0]
    old.sims[holder].cut = True
    new = Cell(
        fence=9,
        now=old.now,
        sims=old.sims,
        suspects=UNKNOWN,
        quarantine_until=old.now + 12.0,
    )
    new.submit(spec, fresh=False)
    new.submit(job("c" * 16), fresh=True)
    new.run(11)
    assert len(new.starts(f"{JOB}.0.0.0")) == 1
    assert new.partition.jobs["c" * 16].state is JobState.DONE
    new.run(2)
    assert len(new.starts(f"{JOB}.0.0.0")) == 2


def test_new_owner_keeps_what_the_store_says_is_done():
    cell = Cell()
    progress = Progress(done={"0.0": [0]}, run=1)
    cell.submit(job(JOB, step(2)), fresh=False, progress=progress)
    cell.run(2)
    assert state(cell) is JobState.DONE
    assert cell.starts(f"{JOB}.0.0.0") == []


def test_end_that_is_listed_again_counts_once():
    """Guards against counting one failure twice after a change of owner."""
    cell = Cell(workers=3)
    progress = Progress(failures={f"{JOB}.0.0.0": [1]}, run=1)
    sim = cell.sims["w0"]
    sim.runs[f"{JOB}.0.0.0", 1] = [0, 0]
    del sim.runs[f"{JOB}.0.0.0", 1]
    sim._end((f"{JOB}.0.0.0", 1), RunOutcome.FAILED)
    cell.submit(job(JOB, attempts=2), fresh=False, progress=progress)
    cell.run(3)
    assert state(cell) is JobState.DONE


def test_start_in_doubt_is_stopped_before_another_is_made():
    """Guards against an order without an answer that is carried out late."""
    cell = Cell(workers=2)
    cell.run(0.2)
    for sim in cell.sims.values():
        sim.cut = True
    cell.submit(job())
    cell.partition.advance(cell.now)
    cell._carry_out()
    worker = next(w for w in cell.partition.workers.values() if w.runs)
    sim = cell.sims[worker.worker_id]
    for other in cell.sims.values():
        other.cut = False
    # The order arrives after all.
    sim.runs[f"{JOB}.0.0.0", 1] = [cell.now, cell.now + 1.0]
    sim.deadline = sim.clock(cell.now) + 6.0
    cell.run(4)
    assert state(cell) is JobState.DONE


def test_owner_without_a_certain_lease_begins_no_new_job():
    """Guards against two owners that both start a job that is new to them."""
    cell = Cell()
    cell.submit(job("b" * 16, step(2), step(1, after=(0,))))
    cell.run(0.5)
    cell.partition.sole_owner = False
    cell.submit(job(JOB))
    cell.run(4)
    assert state(cell, "b" * 16) is JobState.DONE
    assert cell.starts(f"{JOB}.0.0.0") == []
    cell.partition.sole_owner = True
    cell.run(2)
    assert state(cell) is JobState.DONE


def test_slow_task_is_copied_where_the_job_allows_it():
    """Pattern: a worker that is six times slower than the others."""
    cell = Cell(workers=2)
    cell.sims["w0"].slowness = 6.0
    cell.submit(job(JOB, step(1, speculative=True)))
    cell.submit(job("b" * 16, step(1)))
    began = cell.now
    while not state(cell).final:
        cell.run(0.1)
    assert cell.now - began < 3.0
    assert len(cell.starts(f"{JOB}.0.0.0")) <= 2
    cell.run(8)
    assert not any(sim.runs for sim in cell.sims.values())
    assert len(cell.starts(f"{'b' * 16}.0.0.0")) == 1


def test_task_on_a_silent_worker_is_copied_where_the_job_allows_it():
    """Pattern: a data centre is cut off with tasks that callers wait for."""
    cell = Cell(workers=2)
    twice = step(1, cpu=4000, estimate_s=0.6, speculative=True)
    cell.submit(job("a" * 16, twice))
    cell.submit(job("b" * 16, step(1, cpu=4000, estimate_s=0.6)))
    cell.run(0.2)
    [(silent, _, _)] = cell.starts(f"{'a' * 16}.0.0.0")
    cell.sims[silent].cut = True
    cell.run(3.0)
    assert cell.partition.jobs["a" * 16].state is JobState.DONE


def test_owner_without_a_certain_lease_gives_no_silent_worker_up():
    """Guards against a restart of a task whose lease a later owner renews."""
    cell = Cell(workers=2)
    cell.submit(job(JOB, step(1, estimate_s=30.0)))
    cell.run(1)
    holder = cell.starts()[0][0]
    cell.sims[holder].cut = True
    cell.partition.sole_owner = False
    cell.run(10)
    assert len(cell.starts()) == 1
    cell.partition.sole_owner = True
    cell.run(1)
    assert len(cell.starts()) == 2


def test_silent_worker_holds_back_only_the_tasks_that_it_may_run():
    """Pattern: a worker dies, and then the owner: all other work must go on."""
    old = Cell(workers=2)
    spec = job(JOB, step(1, estimate_s=30.0))
    other = job("b" * 16, step(1, estimate_s=1.0))
    old.submit(spec)
    old.run(0.5)
    holder = old.starts()[0][0]
    old.sims[holder].cut = True
    old.run(1.5)
    suspects = old.partition.may_hold_work(old.now)
    assert suspects[holder].tasks == (f"{JOB}.0.0.0",)
    new = Cell(
        fence=9,
        now=old.now,
        sims=old.sims,
        suspects=suspects,
        quarantine_until=old.now + 12.0,
    )
    new.submit(spec, fresh=False)
    new.submit(other, fresh=False)
    new.run(11)
    assert new.partition.jobs[other.job_id].state is JobState.DONE
    assert len(new.starts(f"{JOB}.0.0.0")) == 1
    new.run(2)
    assert len(new.starts(f"{JOB}.0.0.0")) == 2


def test_worker_that_left_while_the_owner_changed_holds_nothing_back():
    """Pattern: workers are taken away while the store is down and the owner stops."""
    cell = Cell(workers=1, suspects={"left": Suspect("10.0.9.9:80", draining=True)})
    cell.partition._quarantine_until = cell.now + 12.0
    left = cell.partition.suspect_unlisted("left", cell.partition._suspects["left"])
    spec = job(JOB)
    cell.submit(spec, fresh=False)
    cell.run(0.5)
    assert cell.starts() == []
    cell.partition.hold_failed(left, cell.now, refused=True)
    cell.run(2.0)
    assert state(cell) is JobState.DONE
