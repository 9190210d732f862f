"""Random faults in virtual time: no accepted task waits although it could run.

Pattern: workers are lost, replaced, flap, are cut off or taken away, calls are late,
runs fail, the store is slow and the owner changes, all at once or in series. Some time
after the last of these, what can run has to run.

``WAITS_SEEDS=BEGIN-END`` plays the seeds from BEGIN up to END, without END, in place of
the few below.
"""

import os
import random

import pytest

from tests.workload.builders import job, step
from tests.workload.waiting_sim import (
    SLOW,
    FaultPlan,
    FaultyGroup,
    WaitWatch,
    random_job,
)

STEP_S = 0.05
# Virtual time with faults, time after them in which tasks may wait, and time in which
# none may, in seconds.
FAULTS_S, SETTLE_S, WATCH_S = 40.0, 14.0, 10.0
# Time between two checks, in seconds.
LOOK_PERIOD_S = 0.2
# Probability in each step that a fault begins, and that a job is submitted.
FAULT_SHARE, JOB_SHARE = (0.01, 0.03), 0.06
# Jobs are submitted while less than this share of the capacity is in use.
SUBMIT_BELOW = 0.45


def seeds():
    begin, _, end = os.environ.get("WAITS_SEEDS", "3-5").partition("-")
    return range(int(begin), int(end))


def wants_job(group, watch):
    return group.rng.random() < JOB_SHARE and watch.busy_share() < SUBMIT_BELOW


def play(seed, kinds=None):
    """Play a random history; return the group, what waited, and the faults."""
    rng = random.Random(f"history {seed}")
    group = FaultyGroup(seed, rng.randint(10, 40), rng.randint(1, 3))
    group.run(2.0)
    plan = FaultPlan(group, group.now + FAULTS_S, kinds)
    rate = rng.uniform(*FAULT_SHARE)
    watch = WaitWatch(group)
    until = plan.until + SETTLE_S + WATCH_S
    next_look_at = plan.until + SETTLE_S
    number = 0
    while group.now < until:
        plan.play(rate)
        may_submit = group.owner_is_up() and group.now < plan.until
        if may_submit and wants_job(group, watch):
            spec, share = random_job(group.rng, number, len(group.sims))
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


@pytest.mark.xfail(strict=True, reason="issue 55; see KNOWN-RED.txt")
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
