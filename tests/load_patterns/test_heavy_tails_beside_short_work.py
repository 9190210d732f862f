"""Pattern: tasks of which one in twenty takes seven times the rest, beside short jobs.

A large task waits for room under runs that have outlived the usual time of their kind.
Copies of the slow tasks are worth while; copies of others take room from short work.
"""

import random

from tests.workload.run_times import TimedGroup

TAIL_SHARE = 0.05
TAIL_FACTOR = 7.0
TASKS = 20
ROUNDS = 10


def group_after_rounds(seed=3, speculative=True):
    """Return a group that has run wide jobs with a heavy tail, and short ones."""
    rng = random.Random(seed)
    group = TimedGroup(workers=6)
    for number in range(ROUNDS):
        job_id = f"{number:016x}"
        for index in range(TASKS):
            slow = rng.random() < TAIL_SHARE
            run_s = 1.5 * rng.lognormvariate(0, 0.2) * (TAIL_FACTOR if slow else 1)
            group.slow_tasks[f"{job_id}.0.0.{index}"] = run_s
        group.submit_timed(
            job_id, 1.5, 1.0, TASKS, queue="tails", speculative=speculative
        )
        for index in range(4):
            short = f"{100 + 4 * number + index:016x}"
            group.submit_timed(short, 0.3, 0.3, queue="short")
        group.run(4.0)
    group.run(8.0)
    return group


def test_only_slow_tasks_are_copied():
    """Guards against copies of usual tasks, which take the room of short work."""
    group = group_after_rounds()
    copied = {
        task
        for _, task, number in group.starts()
        if number == 2 and task in group.slow_tasks
    }
    slow = {task for task, run_s in group.slow_tasks.items() if run_s > 6.0}
    assert len(slow) >= 5
    assert len(copied & slow) >= 0.8 * len(slow)
    assert len(copied - slow) <= 0.05 * TASKS * ROUNDS


def test_short_work_does_not_wait_for_tails():
    group = group_after_rounds()
    for number in range(100, 100 + 4 * ROUNDS):
        found = group.partition.jobs[f"{number:016x}"]
        assert found.first_start_at - found.arrived_at < 2.0


def test_tail_does_not_lengthen_the_expected_time():
    """Guards against a mean that the tail of a queue draws far above the usual time.

    A run that has outlived the usual time by far is in the tail, and lasts on.
    """
    found = group_after_rounds(speculative=False).partition.expectations.run_times
    expected = found.expected("tails", 0, 1.0)
    assert 1.2 < expected.median_s < 1.9
    assert expected.remaining_s(4.0) > 1.0
