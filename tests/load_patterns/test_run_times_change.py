"""Pattern: the run time of a queue's tasks changes while their declaration stays."""

import random

import pytest

from tests.workload.run_times import TimedGroup

JOBS = 150


def group_after_change(before_s, after_s, seed=4):
    rng = random.Random(seed)
    group = TimedGroup(workers=4)
    for number in range(2 * JOBS):
        typical_s = before_s if number < JOBS else after_s
        run_s = typical_s * rng.lognormvariate(0, 0.2)
        group.submit_timed(f"{number:016x}", run_s, 1.0)
        group.run(0.1)
    group.run(5.0)
    return group


@pytest.mark.parametrize(("before_s", "after_s"), [(0.4, 1.6), (1.6, 0.4)])
def test_expected_time_follows_a_change(before_s, after_s):
    """Guards against old samples that outweigh the new run times for long."""
    group = group_after_change(before_s, after_s)
    group.submit_timed("f" * 16, after_s, 1.0)
    assert group.expectation("f" * 16).median_s == pytest.approx(after_s, rel=0.3)
