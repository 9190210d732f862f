import testtools

from poplaryard import load as load_module
from poplaryard.clock import VirtualClock
from poplaryard.load import LoadResult, _whole


class LoadTest(testtools.TestCase):
    def test_latency_is_counted_from_the_due_time(self):
        """Guards against a late generator that hides the time a request waited."""
        clock = VirtualClock(100.0)
        self.patch(load_module, "_clock", clock)
        result = LoadResult()
        for code in (1000, 1000, 2001):
            result.record(99.5, code, code == 1000)
            clock.advance(0.5)
        found = result.summary(10.0, 3.0)
        self.assertEqual({"1000": 2, "2001": 1}, found["codes"])
        self.assertEqual((1, 1.0), (found["incomplete"], found["done_per_s"]))
        self.assertAlmostEqual(1500, found["max_ms"], delta=2)

    def test_only_the_own_answer_is_whole(self):
        """Guards against an answer to another request that counts as good."""
        body = {"id": "r1", "payload": {"echo": 1}}
        self.assertTrue(_whole(body, {"id": "r1", "parts": [{"echo": 1}]}))
        self.assertFalse(_whole(body, {"id": "r2", "parts": [{"echo": 1}]}))
        self.assertFalse(_whole(body, {"id": "r1", "parts": [{"echo": 2}]}))
        self.assertFalse(_whole(body, {"id": "r1", "parts": []}))
