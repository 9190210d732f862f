import json
import math

import testtools
from hypothesis import given
from hypothesis import strategies as st

from poplaryard import wire
from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError
from poplaryard.messages import (
    Answer,
    AttemptReport,
    AttemptState,
    PollReply,
    Priority,
    StartAttempt,
    Submit,
    Work,
    WorkKind,
)
from poplaryard.ownership_messages import RecordSeen
from poplaryard.record import Member, Record, ShardOwner
from poplaryard.resources import Resources

_RESOURCES = st.builds(Resources, *[st.integers(0, 10**6)] * 3)
_WORK = st.builds(
    Work,
    request_id=st.text(),
    kind=st.sampled_from(WorkKind),
    need=_RESOURCES,
    priority=st.sampled_from(Priority),
    tasks=st.integers(1, 99),
    idempotent=st.booleans(),
    payload=st.none() | st.dictionaries(st.text(), st.integers()),
)


def round_trip(message, now=0.0):
    """Return a message after encoding to JSON and decoding."""
    return wire.decode(json.loads(json.dumps(wire.encode(message, now))), now)


class WireTest(testtools.TestCase):
    @given(_WORK)
    def test_messages_survive_a_round_trip(self, work):
        """Guards against fields lost or changed between processes."""
        start = StartAttempt("vm", "a1", 3, 99, work, 2, "e1")
        for message in (Submit(work, "p1"), start):
            self.assertEqual(message, round_trip(message))

    def test_reports_survive_a_round_trip(self):
        """Guards against nested tuples, enums and resources decoded as plain JSON."""
        report = AttemptReport("a", "r", AttemptState.FAILED, used=Resources(1, 2, 3))
        reply = PollReply("vm", 1, (report,), 7, True, Resources(4, 5, 6))
        self.assertEqual(reply, round_trip(reply))
        answer = Answer("r", Code.FAILED, Code.FAILED.outcome, ({"a": 1}, None))
        self.assertEqual(answer, round_trip(answer))

    def test_mappings_of_data_classes_survive_a_round_trip(self):
        """Guards against an assignment record that cannot be read back."""
        record = Record(
            3, 2, {"p": Member("p", "a", "l", 1)}, {"s": ShardOwner("p", 2)}
        )
        seen = RecordSeen(record, 9, frozenset({"l"}))
        wire.register(RecordSeen)
        self.assertEqual(seen, round_trip(seen))

    def test_deadlines_move_to_the_receivers_clock(self):
        """Guards against reading a deadline on the sender's monotonic clock."""
        found = wire.encode(Submit(Work("r", deadline=105.0)), 100.0)
        self.assertEqual(12.0, wire.decode(found, 7.0).work.deadline)
        endless = wire.decode(wire.encode(Submit(Work("r")), 1.0), 2.0)
        self.assertTrue(math.isinf(endless.work.deadline))

    def test_malformed_messages_are_refused(self):
        """Guards against a malformed message of a peer that crashes a task."""
        bad = [
            None,
            {},
            {"type": "Unknown"},
            {"type": "Submit"},
            {"type": "Submit", "work": 3},
            {"type": "Submit", "work": {"request_id": 7}},
            {"type": "Submit", "work": {"request_id": "r", "kind": "other"}},
            {"type": "Submit", "work": {"request_id": "r", "need": [1]}},
            {
                "type": "ClaimReply",
                "vm": "v",
                "epoch": 1,
                "accepted": True,
                "attempts": 4,
            },
        ]
        for item in bad:
            self.assertRaises(PoplaryardError, wire.decode, item, 0.0)

    def test_tuples_of_mixed_types_are_refused_when_first_used(self):
        """Guards against decoding all items of a tuple as the type of the first."""
        self.assertRaises(TypeError, wire._codecs, tuple[str, int])
