"""Tests of placement on workers of different speed."""

from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import SimulatedGroup


def group_with_learned_speeds(factors, **fields):
    """Return a group that has learned the speed of its workers from many runs.

    Parameters
    ----------
    factors : list of float
        Run time of tasks on each worker, relative to the estimate.
    """
    group = SimulatedGroup(workers=0)
    for number, factor in enumerate(factors):
        group.add_worker(worker_info(number, **fields))
        group.sims[f"w{number}"].slowness = factor
    for number in range(30):
        spread = step(len(factors), max_per_worker=1, estimate_s=0.4)
        group.submit(job(f"{number:016x}", spread))
        group.run(1.0)
    return group


def workers_of(group, job_id):
    return {worker for worker, task, _ in group.starts() if task.startswith(job_id)}


def test_tight_jobs_take_the_fast_workers_and_loose_ones_the_slow():
    """Guards against jobs with a tight objective that are placed on slow machines."""
    group = group_with_learned_speeds([0.8, 1.25, 1.0, 1.25])
    group.submit(job("e" * 16, step(2, cpu=500), stretch=1.5))
    group.submit(job("f" * 16, step(2, cpu=500), stretch=4.0))
    group.step()
    assert workers_of(group, "e" * 16) == {"w0"}
    assert workers_of(group, "f" * 16) <= {"w1", "w3"}


def test_wrong_estimates_do_not_count_as_slow_workers():
    """Guards against speeds learned from wrong estimates, here off by half."""
    group = SimulatedGroup(workers=2)
    for number in range(30):
        wrong = step(2, max_per_worker=1, estimate_s=0.2 if number % 2 else 0.6)
        group.submit(job(f"{number:016x}", wrong))
        group.run(0.8)
    slowness = [worker.slowness for worker in group.partition.workers.values()]
    assert max(map(abs, slowness)) < 0.1


def test_worker_that_became_slow_is_avoided_after_a_few_runs():
    group = group_with_learned_speeds([1.0, 1.0])
    group.sims["w0"].slowness = 6.0
    for number in range(100, 106):
        spread = step(2, max_per_worker=1, estimate_s=0.4)
        group.submit(job(f"{number:016x}", spread))
        group.run(3.0)
    group.submit(job("e" * 16, step(2, cpu=500), stretch=1.5))
    group.step()
    assert workers_of(group, "e" * 16) == {"w1"}
