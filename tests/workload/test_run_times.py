"""Tests of run times learned from finished runs, and of each use of them."""

import math
import random
from dataclasses import replace

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from poplaryard.workload.expectations import StepExpectations
from poplaryard.workload.run_times import (
    MAX_QUEUES,
    MAX_SUMMARY_BYTES,
    RunTimes,
    RunTimeUses,
)
from tests.workload.run_times import ALL_USES, TimedGroup, sampled, two_speeds

NUMBERS = st.floats(allow_nan=True, allow_infinity=True)
SAMPLES = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]), st.integers(-2, 9), NUMBERS, NUMBERS, NUMBERS
    ),
    max_size=40,
)
NO = RunTimeUses()
LONG = "f" * 16
SHORT = "e" * 16


def learned(samples):
    found = RunTimes()
    for queue, position, declared_s, run_s, weight in samples:
        found.add(queue, position, declared_s, run_s, weight)
        found.add_within(queue, run_s)
    return found


@given(SAMPLES, NUMBERS, st.integers(0, 9), NUMBERS, NUMBERS)
@example([], 0.0, 1, 3.0, 5e-324)
def test_expectations_are_finite_and_monotonic(samples, declared_s, ended, mean, age_s):
    """Guards against estimates that break the order of steps, such as not a number."""
    found = learned(samples)
    for queue in ("a", "unknown"):
        expected = found.expected(queue, 0, declared_s, ended, mean)
        shares = (0.0, 0.01, 0.2, 0.5, 0.9, 0.999, 1.0)
        quantiles = [expected.quantile_s(share) for share in shares]
        assert quantiles == sorted(quantiles)
        assert all(math.isfinite(value) and value > 0 for value in quantiles)
        assert math.isclose(expected.quantile_s(0.5), expected.median_s)
        if math.isfinite(age_s):
            left_s = expected.remaining_s(age_s)
            assert 0 <= left_s < math.inf


@given(st.lists(SAMPLES, min_size=2, max_size=4), st.randoms())
def test_order_of_merges_does_not_matter(parts, rng):
    """Guards against estimates that depend on the order in which partitions report."""
    orders = [list(parts), list(parts)]
    rng.shuffle(orders[1])
    merged = []
    for order in orders:
        found = RunTimes()
        for samples in order:
            found.merge(learned(samples))
        merged.append(found)
    for queue in "abc":
        first, second = (found.expected(queue, 1, 2.0) for found in merged)
        assert first.median_s == pytest.approx(second.median_s, rel=1e-6)
        assert first.cdf == pytest.approx(second.cdf)


@given(st.binary(max_size=200))
def test_malformed_summaries_are_skipped(value):
    """Guards against a take-over that fails because of an unreadable summary."""
    expectations = StepExpectations(ALL_USES)
    expectations.add_summary(value)
    assert len(expectations.run_times) == 0


@pytest.mark.parametrize(
    ("old", "new"),
    [(b"[[", b"[[-1.0,"), (b"[[", b"[[1e300,"), (b"[[", b"[[null,"), (b"{", b"")],
)
def test_summary_with_an_invalid_part_is_refused(old, new):
    """Guards against sums without meaning, such as a negative weight."""
    value = sampled(5, 0.5).encoded()
    RunTimes.decoded(value)
    with pytest.raises(msgspec.MsgspecError):
        RunTimes.decoded(value.replace(old, new, 1))


def test_memory_and_summary_are_bounded():
    """Guards against a summary that grows with the number of queues and samples."""
    rng = random.Random(5)
    found = RunTimes()
    for number in range(2000):
        run_s = rng.lognormvariate(0, 3)
        found.add(f"queue {number % 500}", number % 50, 1.0, run_s)
        found.add_within(f"queue {number % 500}", run_s)
    assert len(found) == MAX_QUEUES >= len(found.improved)
    value = found.encoded()
    assert len(value) <= MAX_SUMMARY_BYTES
    kept = RunTimes.decoded(value)
    assert len(kept) > 10
    last = f"queue {1999 % 500}"
    assert kept.expected(last, 0, 1.0).median_s == pytest.approx(
        found.expected(last, 0, 1.0).median_s, rel=0.02
    )


def test_summary_keeps_the_estimates():
    found = sampled(200, 0.9, bias=2.0)
    again = RunTimes.decoded(found.encoded())
    for declared_s in (0.5, 5.0, 50.0):
        before, after = (x.expected("checks", 0, declared_s) for x in (found, again))
        assert after.median_s == pytest.approx(before.median_s, rel=0.02)
        assert after.quantile_s(0.9) == pytest.approx(before.quantile_s(0.9), rel=0.05)


def error(found, error, bias=0.0):
    """Return the root mean square error of the logarithm, learned and declared."""
    rng = random.Random(99)
    sums = [0.0, 0.0]
    for _ in range(500):
        true_s = 2.0 * math.exp(rng.gauss(0, 0.5))
        declared_s = true_s * math.exp(rng.gauss(bias, error))
        expected_s = found.expected("checks", 0, declared_s).median_s
        sums[0] += math.log(expected_s / true_s) ** 2
        sums[1] += math.log(declared_s / true_s) ** 2
    return [math.sqrt(total / 500) for total in sums]


def test_error_of_declared_times_is_corrected():
    """Guards against estimates that are worse than the declared times.

    The best possible error is 0.44 for declared times that err by 0.9, at a spread of
    0.5.
    """
    assert error(sampled(200, 0.9), 0.9)[0] < 0.52
    assert error(sampled(200, 0.2, bias=2.3), 0.2, bias=2.3)[0] < 0.25
    few, declared = error(sampled(3, 0.9), 0.9)
    assert few < declared


def test_accurate_declared_times_are_used_as_they_are():
    found = sampled(40, 0.15)
    assert found.expected("checks", 0, 3.0).median_s == pytest.approx(3.0)
    assert sampled(10, 0.15).expected("checks", 0, 3.0).median_s != pytest.approx(3.0)


def test_unknown_queue_has_the_declared_time():
    assert RunTimes().expected("new", 3, 4.0).median_s == pytest.approx(4.0)


def test_position_with_few_samples_uses_those_of_the_queue():
    found = sampled(100, 0.3, bias=-2.0)
    corrected = found.expected("checks", 4, 1.0).median_s
    assert corrected == pytest.approx(
        found.expected("checks", 0, 1.0).median_s, rel=0.2
    )


def test_run_that_outlives_its_median_is_expected_to_last_on():
    """Guards against a run in progress that is expected to end each moment."""
    expected = RunTimes().expected("new", 0, 10.0)
    assert expected.remaining_s(0.0) == pytest.approx(10.0)
    left = [expected.remaining_s(age_s) for age_s in (5.0, 10.0, 15.0)]
    assert left[0] < 10.0
    assert min(left) > 1.0


# Which runs count


def samples(group):
    found = group.partition.expectations.run_times
    return sum(times.samples for times in found._queues.values())


def test_only_runs_that_are_done_count():
    """Guards against times of runs that did not run from the start to the end."""
    for sabotage in ("failing", "unreachable"):
        group = TimedGroup(workers=1)
        group.submit_timed(LONG, 2.0, 1.0, attempts=1)
        group.run(1.0)
        setattr(group.sims["w0"], sabotage, True)
        group.run(12.0)
        assert samples(group) == 0
    group = TimedGroup(workers=1)
    group.submit_timed(LONG, 2.0, 1.0)
    group.run(1.0)
    group.partition.cancel(LONG, group.now)
    group.run(2.0)
    assert samples(group) == 0


def test_adopted_runs_do_not_count():
    """Guards against the time since a take-over that counts as a run time."""
    earlier = TimedGroup(workers=1)
    earlier.submit_timed(LONG, 4.0, 1.0)
    earlier.run(2.0)
    group = TimedGroup(
        sims=earlier.sims, fence=8, now=earlier.now, quarantine_until=earlier.now + 9
    )
    group.submit_timed(LONG, 4.0, 1.0, accepted_at=1_000_100.0).fresh = False
    group.run(4.0)
    assert group.partition.jobs[LONG].progress.state == "done"
    assert samples(group) == 0


def test_gang_counts_as_one_sample():
    group = TimedGroup(workers=2)
    group.submit_timed(LONG, 2.0, 1.0, count=4, gang=True)
    group.run(4.0)
    assert samples(group) == 1


def test_run_times_are_scaled_by_the_speed_of_the_worker():
    """Guards against slow workers that raise the expected times of a queue."""
    group = two_speeds(slow=1.8)
    for number in range(30):
        group.submit_timed(f"{number:016x}", 1.0, 1.0, count=3)
        group.run(2.2)
    found = group.partition.expectations.run_times
    assert found.expected("checks", 0, 1.0).median_s == pytest.approx(1.0, rel=0.15)


# Each use


def test_without_uses_nothing_is_learned():
    group = TimedGroup(workers=1, uses=NO)
    spec = group.submit_timed(LONG, 4.0, 1.0)
    group.run(6.0)
    assert group.partition.expectations is None
    assert spec.occurrences[0][0].expectation is None


def test_ended_tasks_of_a_step_correct_the_others():
    """Guards against a wide step that keeps its declared time while its tasks end."""
    group = TimedGroup(workers=1)
    group.submit_timed(LONG, 6.0, 1.0, count=8, cpu=1000)
    assert group.expectation(LONG).median_s == pytest.approx(1.0)
    group.run(7.0)
    assert group.expectation(LONG).median_s == pytest.approx(6.0, rel=0.25)


def queue_learned(uses, factor=6.0, workers=1, **fields):
    """Return a group that has learned by which factor declared times are off."""
    group = TimedGroup(workers=workers, uses=uses, **fields)
    for number in range(20):
        group.submit_timed(f"{number:016x}", factor, 1.0)
    group.run(7.5 * factor)
    return group


def test_ranking_uses_the_expected_time():
    """Guards against a job that is not known to be late because of its declaration."""
    for uses in (ALL_USES, replace(ALL_USES, ranking=False)):
        group = queue_learned(uses)
        path_s = group.submit_timed(LONG, 6.0, 1.0).occurrences[0][0].critical_path_s
        assert path_s == pytest.approx(6.0 if uses.ranking else 1.0, rel=0.2)


def test_objective_uses_the_expected_time():
    for uses in (ALL_USES, replace(ALL_USES, objective=False)):
        group = queue_learned(uses)
        made = group.submit_timed(LONG, 6.0, 1.0, stretch=2.0)
        path_s = 6.0 if uses.objective else 1.0
        assert made.due_at - group.now == pytest.approx(2 * path_s + 1, rel=0.2)


def test_ends_of_runs_use_the_expected_time():
    """Guards against room that is reserved where runs last much longer."""
    for uses in (ALL_USES, replace(ALL_USES, ends=False)):
        group = queue_learned(uses)
        group.submit_timed(LONG, 6.0, 1.0)
        group.step()
        run = group.partition.jobs[LONG].occurrences[0][0].tasks[0].runs[0]
        left_s = run.ends_at(group.now) - group.now
        assert left_s == pytest.approx(6.0 if uses.ends else 1.0, rel=0.2)


def test_copies_use_the_expected_time():
    """Guards against copies of all tasks of a queue whose declared times are short."""
    for uses in (ALL_USES, replace(ALL_USES, copies=False)):
        group = queue_learned(uses, workers=2)
        group.submit_timed(LONG, 6.0, 1.0, speculative=True)
        group.run(7.0)
        assert len(group.starts(f"{LONG}.0.0.0")) == (1 if uses.copies else 2)


def test_slow_tasks_of_a_queue_with_wrong_declarations_are_copied():
    """Guards against stragglers that a declared time of ten times too much hides."""
    for uses in (ALL_USES, replace(ALL_USES, copies=False)):
        group = TimedGroup(workers=2, uses=uses)
        for number in range(30):
            group.submit_timed(f"{number:016x}", 1.0, 10.0)
        group.run(8.0)
        group.submit_timed(LONG, 1.0, 10.0, speculative=True)
        group.slow_tasks[f"{LONG}.0.0.0"] = 7.0
        group.run(4.0)
        assert len(group.starts(f"{LONG}.0.0.0")) == (2 if uses.copies else 1)


def test_loose_job_that_is_short_of_time_takes_the_fast_worker():
    """Guards against a long task on a slow worker that misses its loose objective."""
    for uses in (ALL_USES, replace(ALL_USES, placement=False)):
        group = two_speeds(uses=uses)
        made = group.submit_timed(LONG, 8.0, 8.0, stretch=3.0)
        made.due_at = group.now + 10.0
        group.step()
        found = group.starts()[0][0]
        assert (found == "w1") is not uses.placement


def test_loose_job_with_time_left_takes_the_slow_worker():
    group = two_speeds()
    group.submit_timed(SHORT, 8.0, 8.0, stretch=3.0)
    group.step()
    assert group.starts()[0][0] == "w1"


def test_waiting_jobs_profit_from_what_was_learned_since():
    """Guards against a backlog that keeps the expectations of its arrival."""
    group = TimedGroup(workers=1)
    for number in range(40):
        group.submit_timed(f"{number:016x}", 6.0, 1.0)
    group.run(26.0)
    assert group.expectation(f"{39:016x}").median_s == pytest.approx(6.0, rel=0.3)


def warm(group, log_spread=0.2, count=70, run_s=1.0):
    """Let a group learn so much that one more step changes little."""
    rng = random.Random(3)
    found = group.partition.expectations.run_times
    for _ in range(count):
        found.add("checks", 0, 1.0, run_s * rng.lognormvariate(0, log_spread))


def test_ended_tasks_correct_a_step_of_a_well_known_queue():
    """Guards against a step whose tasks say nothing about each other."""
    group = TimedGroup(workers=1)
    warm(group)
    group.submit_timed(LONG, 6.0, 1.0, count=8, cpu=2000)
    group.run(7.0)
    assert group.expectation(LONG).median_s == pytest.approx(6.0, rel=0.5)
    before = group.expectation(LONG).median_s
    group.run(7.0)
    assert before < group.expectation(LONG).median_s < 6.3


def test_tail_within_a_step_is_learned():
    """Guards against copies by a fixed spread, whatever the tail of the queue is."""
    found = RunTimes()
    for number in range(100):
        found.add_within("checks", 7.0 if number % 10 == 0 else 1.0)
    expected = found.expected("checks", 0, 1.0, 4, 0.0)
    assert expected.quantile_s(0.97) > 4 * expected.median_s
    group = TimedGroup(workers=1)
    for number in range(12):
        group.slow_tasks[f"{number:016x}.0.0.0"] = 3.0
        group.submit_timed(f"{number:016x}", 0.5, 0.5, count=4)
    group.run(20.0)
    learned_here = group.partition.expectations.run_times
    expected = learned_here.expected("checks", 0, 0.5, 4, 0.0)
    assert expected.quantile_s(0.9) > 3 * expected.median_s


def test_old_samples_lose_their_weight():
    """Guards against a prediction that a long past outweighs."""
    found = RunTimes()
    for run_s in [1.0] * 400 + [4.0] * 100:
        found.add("checks", 0, 1.0, run_s)
    assert found.expected("checks", 0, 1.0).median_s == pytest.approx(4.0, rel=0.3)
    assert found._queues["checks"].all.weight < 60


def test_tail_does_not_shift_the_median():
    """Guards against the mean of the logarithms in place of the median."""
    found = RunTimes()
    for number in range(300):
        found.add("checks", 0, 3.0, 7.0 if number % 10 == 0 else 1.0)
    assert found.expected("checks", 0, 3.0).median_s == pytest.approx(1.0, rel=0.1)


def test_wide_step_counts_like_one_job():
    """Guards against one wrong declaration that many tasks repeat."""
    group = TimedGroup(workers=4)
    group.submit_timed(LONG, 1.0, 1.0, count=16)
    group.run(2.0)
    assert samples(group) == 16
    all_steps = group.partition.expectations.run_times._queues["checks"].all
    assert all_steps.weight == pytest.approx(1.0, rel=0.05)


def test_run_that_is_usual_for_its_kind_is_not_copied():
    """Guards against copies in queues whose run times differ widely."""
    group = TimedGroup(workers=2)
    warm(group, log_spread=1.0, count=150)
    group.submit_timed(LONG, 3.0, 1.0, speculative=True)
    group.run(4.0)
    assert len(group.starts(f"{LONG}.0.0.0")) == 1


def test_median_worker_keeps_the_usual_speed():
    """Guards against learned times that drift together with all workers' slowness."""
    group = TimedGroup(workers=3)
    opened = group.submit_timed(LONG, 1.0, 1.0, count=13).occurrences[0][0]
    group.run(1.5)
    workers = group.partition.workers.values()
    before = {worker.worker_id: worker.slowness for worker in workers}
    mean = opened.run_times.mean
    for worker in workers:
        worker.slowness += 0.5
    group.partition.advance(group.now)
    after = {worker.worker_id: worker.slowness for worker in workers}
    assert after == pytest.approx(before, abs=0.06)
    assert opened.run_times.mean == pytest.approx(mean + 0.5, abs=0.06)
