import random

import testtools

from poplaryard.limits import InFlight, RetryBudget, backoff_s


class LimitsTest(testtools.TestCase):
    def test_retries_stay_within_the_budget(self):
        """Guards against a retry storm that multiplies the load of an outage."""
        budget = RetryBudget(ratio=0.1, floor_per_s=0.0, burst=10.0)
        granted = 0
        for _ in range(1000):
            budget.record_attempt(0.0)
            granted += budget.take(0.0)
        self.assertTrue(100 <= granted <= 110)

    def test_backoff_has_full_jitter_and_a_cap(self):
        """Guards against callers that all retry at the same time."""
        rng = random.Random(1)
        waits = [backoff_s(rng, 40) for _ in range(1000)]
        self.assertTrue(max(waits) <= 5.0)
        self.assertTrue(min(waits) < 0.5)

    def test_in_flight_limit_is_per_key(self):
        """Guards against one slow peer that uses up the limit of all peers."""
        in_flight = InFlight(1)
        self.assertTrue(in_flight.take("a"))
        self.assertFalse(in_flight.take("a"))
        self.assertTrue(in_flight.take("b"))
        in_flight.release("a")
        self.assertTrue(in_flight.take("a"))
