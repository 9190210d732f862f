"""Pattern: lasting steps with one task a worker, and too few permitted workers.

Each of them runs on all workers that advice permits, and its other tasks wait for good.
They count as starved and so come before all other steps. Beside them come short jobs
and gangs on queues with advice, whose calls are slow and few at a time.
"""

import random

import pytest

from poplaryard.workload.model import AdviceCost, RunOutcome
from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import SlowAdviceGroup

WORKERS = 60
LIMITED = 10
TASKS = 12
PERMITTED = 9
# A call that names all of the workers takes 1.3 s.
SLOW = AdviceCost(base_s=0.7, per_worker_s=0.01, valid_s=2.0)
# Time in which a lasting task with a usable permitted worker has to start, in seconds.
START_S = 3.0
GANG = "e" * 16


def limited_id(number):
    return f"{0xF00 + number:016x}"


def limited_group(seed, channels=1, limited=LIMITED):
    """Return a group in which the limited steps run all the tasks that they can."""
    rng = random.Random(seed)
    group = SlowAdviceGroup(channels, workers=0)
    for number in range(WORKERS):
        address = f"10.0.1.{number}:80"
        group.add_worker(worker_info(number, cpu=16_000, address=address))
    names = sorted(group.sims)
    group.run(0.2)
    # More than half of the group is in use, so that only lasting tasks starve.
    busy = step(WORKERS, cpu=9000, estimate_s=600.0, max_per_worker=1)
    group.submit(job("d" * 16, busy))
    group.run(0.4, step_s=0.2)
    for number in range(limited):
        name = limited_id(number)
        group.permitted_by_job[name] = set(rng.sample(names, PERMITTED))
        tasks = step(TASKS, cpu=1000, estimate_s=1e6, lasting=True, max_per_worker=1)
        group.submit(job(name, tasks, advice=SLOW))
    group.run(4.0 + 3.0 * limited, step_s=0.2)
    for number in range(limited):
        assert running(group, limited_id(number)) == PERMITTED
    return group


def tasks_of(group, job_id):
    """Return the tasks of a job that have a run."""
    [step_run] = group.partition.jobs[job_id].occurrences[0]
    return [task for task in step_run.tasks if task.runs]


def running(group, job_id):
    """Return the number of tasks of a job that have a run."""
    return sum(
        task.startswith(job_id) for sim in group.sims.values() for task, _ in sim.runs
    )


@pytest.mark.parametrize("seed", range(2))
def test_steps_at_their_limit_ask_for_no_advice(seed):
    """Guards against calls, again and again, for a step that can start nothing more."""
    group = limited_group(seed)
    began = group.now
    group.run(10.0, step_s=0.1)
    assert [call for call in group.calls if call[1] >= began] == []


@pytest.mark.parametrize("seed", range(2))
def test_others_start_beside_steps_at_their_limit(seed):
    """Guards against steps that wait behind the useless calls of others."""
    group = limited_group(seed)
    waits = []
    for number in range(4):
        name = f"{number:016x}"
        gang = step(4, cpu=4000, estimate_s=1.0, gang=number % 2 == 0)
        started = group.submit(job(name, gang, advice=SLOW))
        submitted = group.now
        group.run(6.0, step_s=0.1)
        waits.append(round((started.first_start_at or group.now) - submitted, 2))
    assert max(waits) < START_S, waits


@pytest.mark.parametrize("cause", ["new worker", "ended", "lost", "restarted"])
def test_step_at_its_limit_starts_once_a_worker_can_take_a_task(cause):
    """Guards against a step that is not asked for once it could start again."""
    group = limited_group(0, channels=4)
    name = limited_id(3)
    group.permitted_by_job[name].add("w60")
    worker_id = next(task.runs[0].worker.worker_id for task in tasks_of(group, name))
    sim = group.sims[worker_id]
    expected = PERMITTED
    if cause == "new worker":
        group.add_worker(worker_info(WORKERS, cpu=16_000, address="10.0.2.1:80"))
        expected += 1
    elif cause == "ended":
        [run] = [run for run in sim.runs if run[0].startswith(name)]
        del sim.runs[run]
        sim.end_run(run, RunOutcome.FAILED)
    elif cause == "lost":
        sim.unreachable = True
        group.run(20.0, step_s=0.1)
        assert running(group, name) == PERMITTED - 1
        sim.unreachable = False
    else:
        sim.restart(group.now)
        group.partition.worker_listed(sim.info)
    group.run(START_S, step_s=0.1)
    assert running(group, name) == expected
