"""Pattern: declared times that are wrong by a factor of ten, beside right ones.

The jobs of one queue declare a tenth of their run time, those of another ten times as
much. Under load, the former would overtake all others.
"""

import random

import pytest

from poplaryard.workload.run_times import NO_RUN_TIME_USES
from tests.workload.run_times import ALL_USES, TimedGroup

JOBS = 140
SHORT_S = 1.0
LONG_S = 6.0


def short_jobs_in_time(uses, seed):
    """Return the share of short jobs within an objective of thrice their time."""
    rng = random.Random(seed)
    group = TimedGroup(workers=2, uses=uses)
    shorts = []
    for number in range(JOBS):
        long = rng.random() < 0.35
        job_id = f"{number:016x}"
        if long:
            declared_s = LONG_S / 10 * rng.uniform(0.9, 1.1)
            group.submit_timed(job_id, LONG_S, declared_s, queue="hasty", stretch=3)
        else:
            declared_s = SHORT_S * 10 * rng.uniform(0.9, 1.1)
            group.submit_timed(job_id, SHORT_S, declared_s, queue="careful", stretch=3)
            shorts.append((job_id, group.now))
        group.run(rng.uniform(0.1, 0.5))
    group.run(60)
    late = [group.ended_at(job_id) - at for job_id, at in shorts]
    return sum(age_s <= 3 * SHORT_S + 1 for age_s in late) / len(shorts)


@pytest.mark.parametrize("seed", range(2))
def test_short_jobs_are_in_time_despite_declared_times(seed):
    """Guards against long jobs that overtake short ones by their declaration."""
    learned = short_jobs_in_time(ALL_USES, seed)
    declared = short_jobs_in_time(NO_RUN_TIME_USES, seed)
    assert learned > declared + 0.2
    assert learned > 0.7
