"""Pattern: a partition gets a new owner while hundreds of its jobs wait."""

import time

import pytest

from tests.workload.run_times import TimedGroup, sampled

JOBS = 400
# Generous limit for adding the jobs with their estimates, in seconds: measured 33 ms,
# and 25 ms without estimates.
OPEN_S = 1.0


def test_estimates_are_good_at_once():
    """Guards against a new owner that orders a backlog by wrong declared times."""
    found = sampled(80, 0.2, bias=2.3, queue="careful")
    found.merge(sampled(80, 0.2, bias=-2.3, queue="hasty", seed=2))
    group = TimedGroup(workers=0)
    group.partition.expectations.add_summary(found.encoded())
    began = time.perf_counter()
    for number in range(JOBS):
        queue = "hasty" if number % 2 else "careful"
        declared_s = 0.6 if number % 2 else 20.0
        group.submit_timed(f"{number:016x}", 1.0, declared_s, queue=queue)
    assert time.perf_counter() - began < OPEN_S
    hasty = group.expectation(f"{JOBS - 1:016x}").median_s
    careful = group.expectation(f"{JOBS - 2:016x}").median_s
    assert hasty == pytest.approx(6.0, rel=0.35)
    assert careful == pytest.approx(2.0, rel=0.35)
    first = group.partition._waiting_steps(group.now)[0]
    assert first.job.spec.queue == "careful"
