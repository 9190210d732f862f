import random

import click.testing
import testtools

from poplaryard import bench_baselines, bench_retries, bench_shard
from poplaryard.bench_driver import Host, Job, run
from poplaryard.bench_figures import figures, jain, percentile
from poplaryard.bench_policy import policy
from poplaryard.configuration import Configuration
from poplaryard.messages import WorkKind
from poplaryard.resources import Resources
from tests.builders import work

NEED = Resources(1000, 0, 0)


def run_jobs(make, count=40, **fields):
    jobs = []
    for number in range(count):
        item = work(f"j{number}", kind=WorkKind.BATCH, target="", need=NEED, **fields)
        jobs.append(Job(item, 1.0, number * 0.1))
    hosts = [Host(f"vm{number}", Resources(2000, 0, 0)) for number in range(2)]
    return jobs, run(jobs, hosts, make, seed=1)


class BenchPolicyTest(testtools.TestCase):
    strategies = {
        "shard": bench_shard.shard(Configuration(number=1)),
        **bench_baselines.BASELINES,
    }

    def test_every_strategy_ends_all_jobs_once(self):
        """Guards against a driver that loses jobs or never ends."""
        for name, make in self.strategies.items():
            jobs, cluster = run_jobs(make)
            ended = sum(job.ended_tasks for job in jobs)
            self.assertEqual((40, 0, {}), (ended, cluster.waiting, cluster.runs), name)

    def test_failing_jobs_come_to_an_end(self):
        """Guards against a run without end when tasks fail for good."""
        for name, make in self.strategies.items():
            item = work("j", kind=WorkKind.BATCH, target="", need=NEED)
            job = Job(item, 1.0, 0.0, fails=True)
            hosts = [Host("vm0", NEED)]
            cluster = run([job], hosts, make, seed=1)
            self.assertEqual((False, 3), (job.ok, job.attempts), name)
            self.assertEqual(NEED, cluster.hosts[0].free)

    def test_driver_refuses_to_exceed_capacity(self):
        """Guards against figures from placements that no VM could hold."""

        class Overfull(bench_baselines.FirstFit):
            def _hosts(self, need, tasks):
                return self._cluster.hosts[:1]

        self.assertRaises(AssertionError, run_jobs, Overfull)

    def test_same_seed_gives_the_same_figures(self):
        """Guards against hidden randomness, for example the order of a set."""
        for make in self.strategies.values():
            first, second = (
                figures(jobs, cluster, (0.0, 10.0))
                for jobs, cluster in (run_jobs(make), run_jobs(make))
            )
            self.assertEqual(first, second)

    def test_retry_budget_bounds_the_load_of_an_outage(self):
        """Guards against a storm of retries."""
        way = bench_retries._WAYS["full jitter, budget"]
        row = bench_retries._run("budget", random.Random(1), *way)
        self.assertTrue(row["load_in_outage"] < 1.2)

    def test_figures(self):
        """Guards against percentiles off by one and a wrong fairness index."""
        self.assertEqual(99, percentile(range(1, 101), 0.99))
        self.assertEqual(0.0, percentile([], 0.99))
        self.assertEqual([1.0, 0.5], [jain([2.0, 2.0]), jain([1.0, 0.0])])

    def test_unknown_constant_is_refused(self):
        """Guards against a sweep that changes nothing."""
        args = ["retries", "--set", "limits.NO_SUCH=1"]
        result = click.testing.CliRunner().invoke(policy, args)
        self.assertIn("not a numeric constant", result.output)
