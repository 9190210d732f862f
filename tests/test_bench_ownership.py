import testtools

from poplaryard.bench_ownership import measure


class MeasureTest(testtools.TestCase):
    def test_small_cell_recovers_and_keeps_authority_in_an_outage(self):
        """Guards against an owner's death or a store outage that ends service."""
        found = measure(1, 3, 2, seed=1)
        self.assertLess(found["death"]["last_s"], 10.0)
        self.assertLess(found["leave"]["last_s"], 2.0)
        self.assertEqual(2, found["outage"]["with_full_authority"])
