import testtools

from poplaryard.fencing import valid_until_ms


class ValidUntilTest(testtools.TestCase):
    def test_limit_is_early_for_any_delay_and_drift(self):
        """Guards against a worker that accepts a start after the authority ended."""
        for delay in (0.0, 0.3, 2.0):
            for rate in (0.91, 1.0, 1.09):
                # The worker read its clock at owner time 100 - delay.
                reading = 50_000
                limit = valid_until_ms(reading, 100.0, 105.4)
                at_end = reading + (105.4 - (100.0 - delay)) * rate * 1000
                self.assertLessEqual(limit, at_end + 1)
