import testtools

from poplaryard import load as load_module
from poplaryard.clock import VirtualClock
from poplaryard.load import LoadResult, _is_complete


class LoadTest(testtools.TestCase):
    def test_latency_is_counted_from_the_due_time(self):
        """Guards against a latency that omits the delay of a late generator."""
        clock = VirtualClock(100.0)
        self.patch(load_module, "_clock", clock)
        result = LoadResult()
        for code in (1000, 1000, 2001):
            result.record(99.5, code, code == 1000)
            clock.advance(0.5)
        summary = result.summary(10.0, 3.0)
        self.assertEqual({"1000": 2, "2001": 1}, summary["codes"])
        self.assertEqual((1, 1.0), (summary["incomplete"], summary["done_per_s"]))
        self.assertAlmostEqual(1500, summary["max_ms"], delta=2)

    def test_answer_to_another_request_is_not_complete(self):
        """Guards against an answer to another request that counts as complete."""
        body = {"id": "r1", "payload": {"echo": 1}}
        self.assertTrue(_is_complete(body, {"id": "r1", "parts": [{"echo": 1}]}))
        self.assertFalse(_is_complete(body, {"id": "r2", "parts": [{"echo": 1}]}))
        self.assertFalse(_is_complete(body, {"id": "r1", "parts": [{"echo": 2}]}))
        self.assertFalse(_is_complete(body, {"id": "r1", "parts": []}))
