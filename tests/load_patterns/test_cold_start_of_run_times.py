"""Pattern: a crest on a partition that has learned nothing yet.

All jobs arrive before the first one ends, so their order can only be corrected while
they wait.
"""

from poplaryard.workload.run_times import NO_RUN_TIME_USES
from tests.workload.run_times import ALL_USES, TimedGroup

JOBS = 40


def mean_age_s(uses):
    """Return the mean age of short jobs at their end, in seconds."""
    group = TimedGroup(workers=1, uses=uses)
    for number in range(JOBS):
        # Long jobs declare a tenth of their time.
        policy = {"stretch": 3, "slack_s": 20.0}
        group.submit_timed(f"{number:016x}", 4.0, 0.4, queue="long", **policy)
        group.submit_timed(f"{100 + number:016x}", 0.8, 0.8, queue="short", **policy)
    arrived_at = group.now
    group.run(70)
    ages = [
        group.ended_at(f"{100 + number:016x}") - arrived_at for number in range(JOBS)
    ]
    return sum(ages) / len(ages)


def test_order_of_waiting_jobs_is_corrected_after_the_first_ends():
    """Guards against a backlog that keeps wrong estimates until it is gone."""
    assert mean_age_s(ALL_USES) < 0.6 * mean_age_s(NO_RUN_TIME_USES)
