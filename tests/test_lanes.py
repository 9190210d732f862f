import testtools

from poplaryard.lanes import LaneQueue, QueueEntry, lane_of
from tests.builders import work


def entry(sequence, team="a", **fields):
    return QueueEntry(work(f"r{sequence}", team=team, **fields), 0.0, sequence)


class LanesTest(testtools.TestCase):
    def test_team_with_the_smaller_share_goes_first(self):
        """Guards against serving teams by arrival alone, whatever their shares."""
        shares = {"a": 0.5, "b": 0.1}
        queue = LaneQueue(lambda team: shares[team])
        for item in (entry(1, "a"), entry(2, "a"), entry(3, "b")):
            queue.add(item)
        self.assertEqual([3, 1, 2], [item.sequence for item in queue.walk()])
        shares["b"] = 0.9
        queue.reorder("b")
        self.assertEqual([1, 3, 2], [item.sequence for item in queue.walk()])

    def test_wrong_declaration_does_not_make_short_work_long(self):
        """Guards against short work queued as long when declared 3x too long."""
        self.assertFalse(lane_of(entry(1, declared_s=6.0), 2.0).long)
        self.assertTrue(lane_of(entry(1, declared_s=6.1), 2.0).long)
