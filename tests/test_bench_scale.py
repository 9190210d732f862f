import testtools

from poplaryard import bench_scale


class SlopeTest(testtools.TestCase):
    def test_slope_excludes_the_constant_term(self):
        """Guards against counting a process's fixed memory once per worker."""
        self.assertAlmostEqual(3.0, bench_scale.slope([(1, 103), (2, 106), (4, 112)]))

    def test_every_task_of_the_bench_starts_and_ends(self):
        """Guards against slopes measured on work that was refused or never placed."""
        shard = bench_scale._SimulatedShard(10)
        shard.submit(200)
        self.assertEqual(200, len(shard.started))
        shard.finish()
        self.assertEqual(0, shard.scheduler.snapshot().running)
