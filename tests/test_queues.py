import testtools

from poplaryard.configuration import Policy
from poplaryard.messages import Priority, WorkKind
from poplaryard.queues import QueueEntry, WaitQueues
from poplaryard.resources import Resources
from tests.builders import work


def entry(sequence, **fields):
    fields = {"kind": WorkKind.BATCH, "target": "", "group": "booking", **fields}
    item = work(f"r{sequence}", **fields)
    return QueueEntry(item, arrived=float(sequence), sequence=sequence)


def ids(entries):
    return [found.work.request_id for found in entries]


class WaitQueuesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.queues = WaitQueues(Policy())
        self.queues.configure(Policy(), {"booking": Resources(1000, 1000, 0)})

    def push(self, *entries):
        for item in entries:
            self.queues.push(item.arrived, item)

    def test_urgent_then_short_then_long(self):
        """Guards against short work queued behind long work of its priority."""
        self.push(
            entry(1, declared_s=100.0),
            entry(2, declared_s=1.0),
            entry(3, declared_s=100.0, priority=Priority.URGENT),
        )
        self.assertEqual(["r3", "r2", "r1"], ids(self.queues.candidates(3.0, 10)))

    def test_other_lane_is_tried_when_the_head_does_not_fit(self):
        """Guards against entries of one large need filling the candidate list."""
        self.push(*(entry(n, need=Resources(900, 1, 0)) for n in range(20)))
        self.push(entry(20, need=Resources(1, 1, 0)))
        self.assertIn("r20", ids(self.queues.candidates(20.0, 4)))

    def test_expired_work_is_dropped_and_not_offered(self):
        """Guards against a start after the deadline."""
        self.push(entry(1, deadline=6.0), entry(2))
        self.assertEqual(["r2"], ids(self.queues.candidates(5.0, 10)))
        self.assertEqual(["r1"], ids(self.queues.expire(5.0)))
        self.assertEqual(1, len(self.queues))

    def test_remove_lowers_the_depths(self):
        """Guards against a class or team that stays full after cancellations."""
        item = entry(1, team="a")
        self.push(item)
        self.queues.remove("r1")
        self.assertIsNone(self.queues.remove("r1"))
        self.assertEqual(0, self.queues.depth(item.work))
        self.assertEqual(0, self.queues.team_depth(item.work))

    def test_returned_entry_keeps_its_place(self):
        """Guards against a retried request starting again at the tail."""
        first, second = entry(1), entry(2)
        self.push(second, first)
        self.assertEqual(["r1", "r2"], ids(self.queues.candidates(3.0, 10)))

    def test_long_work_leaves_the_reserved_share(self):
        """Guards against long work in the capacity kept for short work."""
        running = entry(1, declared_s=100.0)
        self.push(running, entry(2, declared_s=100.0, need=Resources(1, 0, 0)))
        self.queues.remove("r1")
        self.queues.started(1.0, "a1", running, Resources(800, 0, 0))
        self.assertEqual([], self.queues.candidates(2.0, 10))
        self.queues.ended(2.0, "a1")
        self.assertEqual(["r2"], ids(self.queues.candidates(2.0, 10)))

    def test_each_start_is_checked_against_the_reserve(self):
        """Guards against several long starts allowed by a single check."""
        need = Resources(450, 0, 0)
        first, second = (entry(n, declared_s=100.0, need=need) for n in (1, 2))
        self.push(first, second)
        self.assertEqual(["r1", "r2"], ids(self.queues.candidates(2.0, 10)))
        self.queues.remove("r1")
        self.queues.started(2.0, "a1", first)
        self.assertFalse(self.queues.may_start(2.0, second))

    def test_checkpointable_long_work_yields_to_short_work(self):
        """Guards against short work that waits for a long job to end."""
        long = entry(1, declared_s=9.0, checkpointable=True, need=Resources(800, 0, 0))
        self.queues.started(1.0, "a1", long)
        self.assertEqual([], self.queues.to_yield(1.0))
        self.push(entry(2, need=Resources(200, 0, 0)))
        self.assertEqual(["a1"], self.queues.to_yield(2.0))
        self.assertEqual([], self.queues.to_yield(2.0))

    def test_work_that_cannot_end_in_time_is_dropped(self):
        """Guards against starts so late that the answer misses the deadline."""
        self.push(entry(0, declared_s=1.0, deadline=5.0))
        self.assertEqual([], self.queues.expire(3.9))
        self.assertEqual(["r0"], ids(self.queues.expire(4.0)))
