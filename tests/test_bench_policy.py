import random

import click.testing
import testtools

from poplaryard import bench_baselines, bench_retries, bench_shard
from poplaryard.bench_driver import Host, Job, run
from poplaryard.bench_figures import figures, jain_index, percentile
from poplaryard.bench_policy import policy
from poplaryard.configuration import Configuration
from poplaryard.messages import WorkKind
from poplaryard.resources import Resources
from tests.builders import work

NEED = Resources(1000, 0, 0)


def run_jobs(make_strategy, count=40, **fields):
    jobs = []
    for number in range(count):
        item = work(f"j{number}", kind=WorkKind.BATCH, target="", need=NEED, **fields)
        jobs.append(Job(item, 1.0, number * 0.1))
    hosts = [Host(f"vm{number}", Resources(2000, 0, 0)) for number in range(2)]
    return jobs, run(jobs, hosts, make_strategy, seed=1)


class BenchPolicyTest(testtools.TestCase):
    strategies = {
        "shard": bench_shard.shard_strategy(Configuration(number=1)),
        **bench_baselines.BASELINES,
    }

    def test_every_strategy_ends_all_jobs_once(self):
        """Guards against a driver that loses jobs or does not terminate."""
        for name, make_strategy in self.strategies.items():
            jobs, cluster = run_jobs(make_strategy)
            ended = sum(job.succeeded_tasks for job in jobs)
            self.assertEqual((40, 0, {}), (ended, cluster.waiting, cluster.runs), name)

    def test_failing_jobs_are_retried_a_limited_number_of_times(self):
        """Guards against a driver that retries jobs that always fail for ever."""
        for name, make_strategy in self.strategies.items():
            item = work("j", kind=WorkKind.BATCH, target="", need=NEED)
            job = Job(item, 1.0, 0.0, fails=True)
            hosts = [Host("vm0", NEED)]
            cluster = run([job], hosts, make_strategy, seed=1)
            self.assertEqual((False, 3), (job.ok, job.attempts), name)
            self.assertEqual(NEED, cluster.hosts[0].free)

    def test_driver_refuses_to_exceed_capacity(self):
        """Guards against figures from placements that exceed a VM's capacity."""

        class OverCapacity(bench_baselines.FirstFit):
            def _choose_hosts(self, need, tasks):
                return self._cluster.hosts[:1]

        self.assertRaises(AssertionError, run_jobs, OverCapacity)

    def test_same_seed_gives_the_same_figures(self):
        """Guards against results that depend on set order or another hidden input."""
        for make_strategy in self.strategies.values():
            first, second = (
                figures(jobs, cluster, (0.0, 10.0))
                for jobs, cluster in (run_jobs(make_strategy), run_jobs(make_strategy))
            )
            self.assertEqual(first, second)

    def test_retry_budget_bounds_the_load_of_an_outage(self):
        """Guards against a retry storm while the service is down."""
        retry_policy = bench_retries._POLICIES["full jitter, budget"]
        row = bench_retries._simulate("budget", random.Random(1), *retry_policy)
        self.assertTrue(row["load_in_outage"] < 1.2)

    def test_percentile_and_jain_index(self):
        """Guards against percentiles off by one and a wrong fairness index."""
        self.assertEqual(99, percentile(range(1, 101), 0.99))
        self.assertEqual(0.0, percentile([], 0.99))
        self.assertEqual([1.0, 0.5], [jain_index([2.0, 2.0]), jain_index([1.0, 0.0])])

    def test_unknown_constant_is_refused(self):
        """Guards against an override of a missing constant that is silently ignored."""
        args = ["retries", "--set", "limits.NO_SUCH=1"]
        result = click.testing.CliRunner().invoke(policy, args)
        self.assertIn("not a numeric constant", result.output)
