"""Pattern: lasting tasks in a partition that urgent short jobs keep full.

Other partitions of the group may have room that this one cannot use, so a lasting task
that has lost its worker must get the next room here.
"""

from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import SimulatedGroup

# Longest time that the users accept for a lasting task without a run while there is
# capacity for it, in seconds.
ACCEPTED_WAIT_S = 6.0
LASTING = "f" * 16


def test_lasting_task_that_lost_its_worker_runs_again_among_urgent_jobs():
    """Guards against a lasting task that waits while more urgent jobs keep coming."""
    group = SimulatedGroup(workers=0)
    for number in range(4):
        group.add_worker(worker_info(number, cpu=2000))
    group.run(0.2)
    group.submit(job(LASTING, step(2, cpu=2000, lasting=True), priority=1))
    group.run(0.3)
    lasting = group.partition.jobs[LASTING].occurrences[0][0]
    lost = lasting.tasks[0].runs[0].worker
    group.add_worker(worker_info(9, cpu=100))
    waiting_since = None
    for number in range(160):
        group.submit(job(f"{number:016x}", step(1, cpu=2000), priority=0))
        if number == 20:
            group.partition.worker_unlisted(lost.worker_id, group.now)
            group.partition.hold_failed(lost, group.now, other_instance=True)
            waiting_since = group.now
        group.run(0.25)
        if waiting_since is not None and all(task.runs for task in lasting.tasks):
            break
    assert group.now - waiting_since < ACCEPTED_WAIT_S
