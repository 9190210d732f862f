import asyncio
import random

import testtools

from poplaryard import entry
from poplaryard.clock import VirtualClock
from poplaryard.codes import Code, Outcome
from poplaryard.entry import ANSWER_GRACE_S, RESEND_S, RequestTracker
from poplaryard.messages import Answer

from .builders import work


def answer(code, request_id="r1", parts=()):
    return Answer(request_id, code, code.outcome, parts)


class RequestTrackerTest(testtools.TestCase):
    """Tracker with the test as its router."""

    def setUp(self):
        super().setUp()
        self.clock = VirtualClock(100.0)
        self.patch(entry, "_clock", self.clock)
        self.patch(entry, "RETRY_WAIT_S", 0.0)
        self.owner = "a#1"
        self.sent = []
        self.tracker = RequestTracker("me#1", self, limit=3)

    def route(self, work):
        return ("dc1/0", self.owner) if self.owner else Code.NOT_OWNER

    def submit(self, process, shard, msg, again):
        self.sent.append((process, again))

    def cancel(self, process, shard, msg):
        self.sent.append((process, msg.request_id))

    def scenario(self, steps, **fields):
        """Run `steps` on one open request and return its answer, if it has one."""
        request = work(deadline=self.clock.now() + 10.0, **fields)

        async def run():
            fut = self.tracker.submit(request, "d")
            steps(request)
            await asyncio.sleep(0.01)
            return fut.result() if fut.done() else None

        return asyncio.run(run())

    def test_first_answer_is_final(self):
        """Guards against a second answer that replaces the first."""

        def steps(request):
            self.tracker.on_answer("a#1", answer(Code.OK, parts=(1,)))
            self.tracker.on_answer("a#1", answer(Code.FAILED))

        self.assertEqual((1,), self.scenario(steps).parts)
        self.assertEqual(Code.OK, self.tracker.answer_of("r1").code)

    def test_refusal_by_the_only_owner_is_passed_on(self):
        """Guards against "unknown" where the owner knows that nothing ran."""
        found = self.scenario(
            lambda _: self.tracker.on_answer("a#1", answer(Code.QUEUE_FULL))
        )
        self.assertEqual(Code.QUEUE_FULL, found.code)

    def test_not_run_is_not_reported_if_an_earlier_owner_may_have_run_it(self):
        """Guards against "not run" for a request that a failed owner had started."""

        def steps(request):
            self.owner = "b#1"
            self.tracker.owners_changed()
            self.tracker.on_answer("b#1", answer(Code.QUEUE_FULL))

        found = self.scenario(steps)
        self.assertEqual(Outcome.UNKNOWN, found.outcome)
        self.assertEqual([("a#1", False), ("b#1", False)], self.sent)

    def test_refusal_of_a_second_copy_does_not_settle_the_first(self):
        """Guards against "not run" for a request whose first copy the old owner ran.

        The second copy is refused because the owner has since lost its shard.
        """

        def steps(request):
            self.clock.advance(RESEND_S)
            self.tracker._check(self.tracker._open["r1"], self.clock.now())
            self.owner = "b#1"
            self.tracker.owners_changed()
            self.tracker.on_answer("a#1", answer(Code.NOT_OWNER))
            self.tracker.on_answer("b#1", answer(Code.QUEUE_FULL))

        self.assertEqual(Outcome.UNKNOWN, self.scenario(steps).outcome)

    def test_a_request_that_was_never_delivered_was_not_run(self):
        """Guards against "unknown" after connections that were all refused."""

        def steps(request):
            self.tracker.undelivered("a#1", request, Code.PEER_UNREACHABLE)
            self.clock.advance(10.0)

        found = self.scenario(steps)
        self.assertEqual(Outcome.NOT_RUN, found.outcome)

    def test_a_refused_connection_is_tried_again(self):
        """Guards against an error for the caller while another owner is available."""

        def steps(request):
            self.owner = "b#1"
            self.tracker.undelivered("a#1", request, Code.PEER_UNREACHABLE)

        self.assertIsNone(self.scenario(steps))
        self.assertEqual([("a#1", False), ("b#1", False)], self.sent)

    def test_an_unanswered_request_is_sent_again(self):
        """Guards against a request without an answer because the answer was lost."""

        def steps(request):
            self.clock.advance(RESEND_S)
            pending = self.tracker._open["r1"]
            self.tracker._check(pending, self.clock.now())

        self.assertIsNone(self.scenario(steps))
        self.assertEqual([("a#1", False), ("a#1", True)], self.sent)

    def test_deadline_without_an_answer(self):
        """Guards against a caller who waits forever or is told "not run"."""

        def steps(request):
            self.clock.advance(10.0 + ANSWER_GRACE_S)
            self.tracker._check(self.tracker._open["r1"], self.clock.now())

        self.assertEqual(Code.UNKNOWN_OUTCOME, self.scenario(steps).code)

    def test_same_id_is_sent_once(self):
        """Guards against a request that runs again because its caller repeats it."""

        def steps(request):
            again = self.tracker.submit(request, "d")
            self.assertIs(self.tracker.answer_future("r1"), again)
            other = self.tracker.submit(request, "other body")
            self.assertEqual(Code.DUPLICATE_MISMATCH, other.code)

        self.scenario(steps)
        self.assertEqual(1, len(self.sent))

    def test_requests_beyond_the_limit_are_refused(self):
        """Guards against memory that grows with the number of callers."""

        def steps(request):
            for number in range(2, 4):
                self.tracker.submit(work(f"r{number}"), "d")
            refused = self.tracker.submit(work("r4"), "d")
            self.assertEqual(Code.QUEUE_FULL, refused.code)

        self.scenario(steps)

    def test_cancellation(self):
        """Guards against a cancellation that is not forwarded to the owner."""
        self.scenario(lambda _: self.assertTrue(self.tracker.cancel("r1")))
        self.assertIn(("a#1", "r1"), self.sent)
        self.assertFalse(self.tracker.cancel("r9"))

    def test_no_answer_is_lost_in_any_order_of_events(self):
        """Guards against orders of faults that leave a request unanswered.

        An answer "not run" is also wrong if an owner may have run the request.
        """
        for seed in range(200):
            self._random_run(random.Random(seed))

    def _random_run(self, rng):
        ran = set()

        def steps(request):
            for _ in range(rng.randrange(12)):
                self._event(rng, request, ran)
            self.clock.advance(10.0 + ANSWER_GRACE_S)
            pending = self.tracker._open.get("r1")
            if pending is not None:
                self.tracker._check(pending, self.clock.now())

        self.tracker = RequestTracker("me#1", self, limit=3)
        self.owner, self.sent = "a#1", []
        found = self.scenario(steps)
        self.assertIsNotNone(found)
        if found.outcome is Outcome.NOT_RUN:
            self.assertEqual(set(), ran)

    def _event(self, rng, request, ran):
        """Apply a random event; `ran` collects the owners that may run the request."""
        owner = rng.choice(["a#1", "b#1", ""])
        kind = rng.randrange(4)
        if kind == 0:
            self.owner = owner
            self.tracker.owners_changed()
        elif kind == 1 and self.sent:
            process, _ = self.sent.pop()
            self.tracker.undelivered(process, request, Code.PEER_UNREACHABLE)
        elif kind == 2 and self.sent:
            process, _ = self.sent.pop()
            ran.add(process)
            self.tracker.undelivered(process, request, Code.PEER_TIMEOUT)
        elif self.sent:
            process, _ = self.sent.pop()
            code = rng.choice([Code.OK, Code.QUEUE_FULL, Code.NOT_OWNER])
            if process not in ran or code is not Code.QUEUE_FULL:
                self.tracker.on_answer(process, answer(code))
