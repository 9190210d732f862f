import testtools

from poplaryard.configuration import Policy
from poplaryard.reserve import Reserve
from poplaryard.resources import ZERO, Resources

NEED = Resources(100, 0, 0)


class ReserveTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reserve = Reserve(Policy(short_share=0.2), Resources(1000, 0, 0))

    def test_bound_follows_the_recent_peak_of_short_work(self):
        """Guards against long work in capacity that short work will soon need again."""
        self.assertAlmostEqual(0.8, self.reserve.uncheckpointable_limit(0.0))
        self.reserve.started(0.0, "a", Resources(500, 0, 0), False, False)
        self.reserve.ended(1.0, "a")
        self.assertAlmostEqual(
            0.4, self.reserve.uncheckpointable_limit(1.0), delta=0.01
        )
        self.assertAlmostEqual(0.8, self.reserve.uncheckpointable_limit(600.0))

    def test_repeated_reports_change_nothing(self):
        """Guards against capacity that is released twice."""
        for _ in range(2):
            self.reserve.started(0.0, "a", NEED, True, False)
        for _ in range(2):
            self.reserve.ended(1.0, "a")
        self.assertEqual((ZERO, ZERO), (self.reserve._held, self.reserve._long))

    def test_last_started_yields_first_and_only_as_needed(self):
        """Guards against stopping more long work than the free share needs."""
        for name in "abcdefgh":
            self.reserve.started(0.0, name, NEED, True, True)
        self.assertEqual([], self.reserve.to_yield())
        self.reserve.add_waiting(0.0, NEED, 1)
        self.assertEqual(["h"], self.reserve.to_yield())
        self.assertEqual([], self.reserve.to_yield())
