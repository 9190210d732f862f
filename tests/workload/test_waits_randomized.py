"""Random faults in virtual time: no accepted task waits although it could run.

Pattern: workers are lost, replaced, flap, are cut off or taken away, calls are late,
runs fail, the store is slow and the owner changes, all at once or in series. Some time
after the last of these, what can run has to run.

``WAITS_SEEDS=BEGIN-END`` plays the seeds from BEGIN up to END, without END, in place of
the few below. ``WAITS_FAULTS`` names the kinds of faults, separated by commas, in place
of those that the seed selects; see `waiting_sim.FAULT_KINDS`.
"""

import math
import os
import random

import pytest

from poplaryard.workload.model import Progress
from tests.load_patterns.test_crashing_tasks import CrashingGroup
from tests.workload.builders import job, step
from tests.workload.fakes import WALL_OFFSET_S
from tests.workload.waiting_sim import (
    FAULT_KINDS,
    LASTING_IDLE_S,
    QUICK,
    SLOW,
    WAIT_S,
    FaultPlan,
    FaultyGroup,
    WaitWatch,
    random_job,
)

STEP_S = 0.1
# Virtual time with faults, time after them in which tasks may wait, and time in which
# none may, in seconds.
FAULTS_S, SETTLE_S, WATCH_S = 40.0, 14.0, 10.0
# Time between two checks, in seconds.
LOOK_PERIOD_S = 0.3
# Probability in each step that a fault begins, and that a job is submitted.
FAULT_SHARE, JOB_SHARE = (0.02, 0.08), 0.12
# Jobs are submitted while less than this share of the capacity is in use.
SUBMIT_BELOW = 0.45
# Time after a fault for which its end is not calm yet, in seconds.
CALM_S = 4.0
JOB = "a" * 16

known_red = pytest.mark.xfail(strict=True, reason="issue 55; see KNOWN-RED.txt")


def seeds():
    begin, _, end = os.environ.get("WAITS_SEEDS", "9-11").partition("-")
    return range(int(begin), int(end))


def wants_job(rng, watch):
    return rng.random() < JOB_SHARE and watch.busy_share() < SUBMIT_BELOW


def seed_kinds(rng):
    """Return the kinds of faults of a history."""
    named = os.environ.get("WAITS_FAULTS")
    if named:
        return tuple(named.split(","))
    return rng.sample(FAULT_KINDS, rng.randint(3, len(FAULT_KINDS)))


def play(seed):
    """Play a random history; return the group, what waited, and the faults."""
    rng = random.Random(f"history {seed}")
    group = FaultyGroup(seed, rng.randint(10, 40), rng.randint(2, 4))
    group.run(2.0, STEP_S)
    plan = FaultPlan(group, group.now + FAULTS_S, seed_kinds(rng))
    rate = rng.uniform(*FAULT_SHARE)
    watch = WaitWatch(group)
    until = plan.until + SETTLE_S + WATCH_S
    next_look_at = plan.until + SETTLE_S
    number = 0
    while group.now < until:
        plan.play(rate)
        may_submit = group.owner_is_up() and group.now < plan.until
        if may_submit and wants_job(rng, watch):
            spec, share = random_job(rng, number, len(group.entries))
            group.submit(spec, share)
            number += 1
        group.step()
        if group.now >= next_look_at:
            next_look_at += LOOK_PERIOD_S
            watch.look()
        group.now += STEP_S
    return group, watch, plan


@pytest.mark.parametrize("seed", seeds())
def test_random_faults_leave_no_task_that_could_run_waiting(seed):
    """Guards against accepted tasks that wait although there is room for them."""
    _, watch, plan = play(seed)
    assert not watch.found, plan.log


@pytest.mark.parametrize("wide_jobs", [5, 12])
def test_steps_that_can_start_nothing_more_do_not_keep_advice_from_others(wide_jobs):
    """Guards against calls for advice on workers that hold all that they may hold.

    A wide step has a task on each worker that it may use; its other tasks wait for
    good. It asks about the same workers whenever its tickets have expired.
    """
    group = FaultyGroup(1, workers=30, channels=1)
    group.run(2.0)
    wide = step(60, cpu=50, max_per_worker=1, lasting=True, estimate_s=1000.0)
    for number in range(wide_jobs):
        group.submit(job(f"{number:016x}", wide, advice=SLOW), share=0.4)
        group.run(3.0)
    watch = WaitWatch(group)
    for number in range(100, 103):
        group.submit(job(f"{number:016x}", step(estimate_s=0.5), advice=SLOW))
        for _ in range(int(4.0 / LOOK_PERIOD_S)):
            watch.look()
            group.run(LOOK_PERIOD_S)
    assert not watch.found


class LossyGroup(FaultyGroup):
    """Group in which the worker of the first start is lost when that is sent.

    With ``stops_first`` the start gets no answer, its worker confirms the order to stop
    it, and is lost only then.
    """

    def __init__(self, *args, stops_first=False, **fields):
        self.stops_first = stops_first
        self.lost = None
        super().__init__(*args, **fields)

    def send_start(self, order):
        if self.lost is not None:
            super().send_start(order)
            return
        self.lost = self.sims[order.run.worker.worker_id]
        self.lost.crash(self.now, math.inf)
        super().send_start(order)
        if self.stops_first:
            self.lost.dark_until = self.now


def wait_limit_s(lasting):
    """Return how long after a fault a task may have no run, in seconds."""
    return LASTING_IDLE_S + CALM_S + WAIT_S if lasting else SETTLE_S + WAIT_S


@pytest.mark.parametrize("stops_first", [False, True])
@pytest.mark.parametrize(
    ("lasting", "advice"),
    [
        pytest.param(False, None, marks=known_red),
        pytest.param(True, None, marks=known_red),
        (True, QUICK),
    ],
)
def test_task_whose_start_got_no_answer_runs_after_the_loss_of_its_worker(
    lasting, advice, stops_first
):
    """Guards against a wait for a late start on a worker that is lost for good."""
    group = LossyGroup(1, workers=10, stops_first=stops_first)
    group.run(2.0)
    estimate_s = 1000.0 if lasting else 5.0
    group.submit(job(JOB, step(estimate_s=estimate_s, lasting=lasting), advice=advice))
    while group.lost is None:
        group.run(STEP_S)
    if stops_first:
        group.run(2.0)
        group.lost.crash(group.now, math.inf)
    group.run(wait_limit_s(lasting))
    lost_id = group.lost.info.worker_id
    assert any(worker_id != lost_id for worker_id, *_ in group.starts())


@known_red
@pytest.mark.parametrize("lasting", [False, True])
def test_task_runs_after_the_joint_loss_of_its_worker_and_its_owner(lasting):
    """Guards against an owner that waits too long for the worker (review case 10)."""
    group = FaultyGroup(1, workers=10)
    group.run(2.0)
    estimate_s = 1000.0 if lasting else 30.0
    group.submit(job(JOB, step(estimate_s=estimate_s, lasting=lasting), advice=SLOW))
    group.run(3.0)
    ((worker_id, *_),) = group.starts()
    group.sims[worker_id].crash(group.now, math.inf)
    group.run(0.3)
    group.lose_owner(restarts=False)
    group.run(wait_limit_s(lasting))
    assert len(group.starts()) > 1


@pytest.mark.parametrize("workers", [2, 4])
def test_trials_of_sound_tasks_leave_workers_to_others(workers):
    """Guards against trials that keep all workers from other tasks for 10 s.

    A trial of a task under which two workers have crashed holds its worker so long.
    """
    group = FaultyGroup(1, workers=workers)
    group.run(2.0)
    for number in range(workers):
        name = f"{number:016x}"
        progress = Progress(crashes={f"{name}.0.0.0": ["x@1", "y@1"]}, run=3)
        spec = job(name, step(cpu=200, estimate_s=60.0))
        group.submit(spec, fresh=False, progress=progress)
    group.run(1.0)
    group.submit(job(JOB, step(cpu=200)))
    group.run(WAIT_S + 1.0)
    assert group.starts(f"{JOB}.0.0.0")


@pytest.mark.parametrize(
    ("crashes", "gang"), [(3, True), pytest.param(4, False, marks=known_red)]
)
def test_sound_task_whose_workers_crash_at_once_by_chance_runs_in_time(crashes, gang):
    """Guards against pauses that outlast the time that the users accept (seed 5021).

    Workers that flap are empty when they are back, and so get the task again.
    """
    group = CrashingGroup(8, deadly=(), back_s=1.0)
    spec = job(JOB, step(2 if gang else 1, estimate_s=8.0, gang=gang))
    task = group.submit(spec).occurrences[0][0].tasks[0]
    for _ in range(crashes):
        while not task.runs:
            group.run(0.05)
        group.run(0.1)
        group.crash(group.sims[task.runs[0].worker.worker_id])
        group.run(group.back_s + 0.1)
    group.run(SETTLE_S + WAIT_S)
    assert task.runs or task.done


def test_worker_that_has_failed_runs_is_used_again_in_time():
    """Guards against workers that are left out for longer than a task may wait.

    The pause of a worker that fails runs doubles each time, and never becomes shorter.
    """
    group = FaultyGroup(1, workers=1)
    group.run(2.0)
    (sim,) = group.sims.values()
    sim.failing = True
    for number in range(2):
        group.submit(job(f"{number:016x}", step(cpu=200), attempts=1000))
    while group.partition.workers[sim.info.worker_id].ejections < 4:
        group.run(STEP_S)
    sim.failing = False
    lasting = step(cpu=200, lasting=True, estimate_s=1000.0)
    group.submit(job(JOB, lasting))
    group.run(wait_limit_s(lasting=True))
    assert group.starts(f"{JOB}.0.0.0")


@known_red
def test_lasting_task_runs_after_the_loss_of_a_worker_that_had_just_restarted():
    """Guards against leases of late calls that keep a confirmed run for too long.

    The worker restarts under its id, takes the task and is lost for good.
    """
    group = FaultyGroup(1, workers=1)
    group.run(2.0)
    (sim,) = group.sims.values()
    sim.restart(group.now)
    sim.dark_until = group.now + 0.7
    group.run(2.0)
    group.submit(job(JOB, step(cpu=200, lasting=True, estimate_s=1000.0)))
    while not sim.runs:
        group.run(STEP_S)
    group.add_worker(group.new_info(1))
    group.run(1.0)
    sim.crash(group.now, math.inf)
    group.run(wait_limit_s(lasting=True))
    assert len(group.starts()) > 1


def test_step_whose_tasks_may_not_start_yet_does_not_ask_for_advice():
    """Guards against calls for advice that expire long before a task may start.

    After three sudden crashes a task pauses for 30 s; tickets last for 2 s.
    """
    group = FaultyGroup(1, workers=10, channels=1)
    group.run(2.0)
    task = f"{JOB}.0.0.0"
    crashes = {task: ["x@1", "y@1", "z@1"]}
    next_trials = {task: group.now + WALL_OFFSET_S + 30.0}
    progress = Progress(
        crashes=crashes, sudden_crashes=crashes, next_trials=next_trials, run=3
    )
    group.submit(job(JOB, step(), advice=SLOW), fresh=False, progress=progress)
    group.run(28.0)
    assert not group.starts()
    assert group.asked[f"{JOB}.0.0"] <= 1
