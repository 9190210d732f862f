"""Pattern: callers that are refused while the store is away, and try five times."""

import pytest

from poplaryard.workload.refusals import retry_after_s
from tests.workload.builders import job, step

TRIES = 5
OUTAGES_S = (4.4, 7.0)
SHORT = job("a" * 16, step(10, estimate_s=0.75), stretch=1.5, slack_s=0.25)
LONG = job("b" * 16, step(18, estimate_s=4.8), stretch=4.0, slack_s=3.0)


def accepted_after(spec, arrives_s, outage_s):
    """Return how long after its arrival a job is accepted; None if it never is."""
    for number in range(TRIES):
        tried_s = arrives_s + number * round(retry_after_s(spec))
        if tried_s >= outage_s:
            return tried_s - arrives_s
    return None


@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_jobs_with_time_to_spare_outlast_an_outage(outage_s):
    """Guards against refusals for good of jobs that could still be in time."""
    for tenth in range(int(10 * outage_s)):
        waited_s = accepted_after(LONG, tenth / 10, outage_s)
        assert waited_s is not None
        assert waited_s + LONG.critical_path_s() < LONG.objective_s()


def test_short_jobs_return_within_a_second_of_the_end_of_an_outage():
    """Guards against short jobs that are late because they were sent away for long."""
    for tenth in range(5, 44):
        waited_s = accepted_after(SHORT, tenth / 10, 4.4)
        assert waited_s is not None
        assert waited_s <= 4.4 - tenth / 10 + 1.0
