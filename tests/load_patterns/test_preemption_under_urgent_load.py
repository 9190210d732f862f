"""Pattern: urgent short jobs keep a group full while a wide less urgent job waits.

Room that preempted runs release goes to the urgent jobs, so preempting them for the
wide job stops run after run and gains nothing.
"""

from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import SimulatedGroup

BACKGROUND_JOBS = 16
# Times that a step may preempt runs in 24 s: at once, and after pauses of 4 and 8 s.
ROUNDS = 3
WIDE = "f" * 16


def group_with_background_work():
    """Return a group whose workers are full of long runs that can be preempted."""
    group = SimulatedGroup(workers=0)
    for number in range(4):
        group.add_worker(worker_info(number, cpu=8000))
    group.run(0.2)
    for number in range(BACKGROUND_JOBS):
        background = step(1, cpu=2000, estimate_s=60.0, checkpointable=True)
        group.submit(job(f"b{number:015x}", background, priority=2))
    group.run(1.5)
    return group


def test_urgent_load_does_not_make_a_wide_job_preempt_over_and_over():
    """Guards against runs that are stopped and resumed without end under overload."""
    group = group_with_background_work()
    group.submit(job(WIDE, step(4, cpu=6000, estimate_s=4.0), priority=1))
    for number in range(240):
        group.submit(job(f"{number:016x}", step(2, cpu=3000, estimate_s=0.6)))
        group.run(0.1)
    restarts = len([run for run in group.starts() if run[1].startswith("b")])
    assert restarts <= (1 + ROUNDS) * BACKGROUND_JOBS


def test_wide_job_starts_once_the_urgent_load_is_over():
    """Guards against a wide job that nothing makes room for after a crest."""
    group = group_with_background_work()
    group.submit(job(WIDE, step(4, cpu=6000, estimate_s=4.0), priority=1))
    group.run(1.0)
    assert group.partition.jobs[WIDE].started
