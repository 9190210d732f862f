import testtools

from poplaryard.statechart import load_chart


class ChartTest(testtools.TestCase):
    def test_unknown_trigger_leaves_the_state(self):
        """Guards against a late result that changes the state of an open breaker."""
        chart = load_chart("ejection")
        self.assertEqual("closed", chart.initial)
        self.assertEqual("open", chart.step("open", "probes_passed"))
        self.assertEqual("half_open", chart.step("open", "cooled"))
