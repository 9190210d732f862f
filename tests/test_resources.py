import testtools

from poplaryard.resources import Resources


class ResourcesTest(testtools.TestCase):
    def test_fits_in_checks_each_resource(self):
        """Guards against placing a GPU task where only CPU and memory suffice."""
        free = Resources(4000, 8192, 0)
        self.assertTrue(Resources(4000, 8192, 0).fits_in(free))
        self.assertFalse(Resources(100, 100, 1).fits_in(free))

    def test_dominant_share_ignores_absent_resources(self):
        """Guards against a division by zero on a fleet without GPUs."""
        share = Resources(1000, 4096, 0).dominant_share(Resources(4000, 8192, 0))
        self.assertEqual(0.5, share)
