import testtools

from poplaryard.bench_ownership import measure


class MeasureTest(testtools.TestCase):
    def test_small_cell_recovers_and_keeps_authority_in_an_outage(self):
        """Guards against slow shard recovery and authority lost in a store outage."""
        results = measure(1, 3, 2, seed=1)
        self.assertLess(results["death"]["last_s"], 10.0)
        self.assertLess(results["leave"]["last_s"], 2.0)
        self.assertEqual(2, results["outage"]["with_full_authority"])
