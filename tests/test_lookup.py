import asyncio

import testtools

from poplaryard import lookup
from poplaryard.codes import Code
from poplaryard.exceptions import CallError
from poplaryard.lookup import Finder, LookupReply
from poplaryard.peers import CallResult


class FinderTest(testtools.TestCase):
    """Finder with the test as its peer table.

    The peers in `known` know the request, those in `silent` do not answer.
    """

    def setUp(self):
        super().setUp()
        self.patch(lookup, "ROUND_WAIT_S", 0.0)
        self.patch(lookup, "ROUNDS", 3)
        self.calls, self.known, self.silent = [], set(), set()
        self.complete = True
        self.finder = Finder(
            "me#1",
            self,
            lambda _: ({"me#1", "a#1", "b#1"}, self.complete),
            lambda _: [],
        )

    async def call(self, process, batch, timeout_s):
        self.calls.append(process)
        if process in self.silent:
            return CallResult.UNKNOWN
        if process in self.known:
            query = batch[0].message
            self.finder.receive(LookupReply(query.request_id, "It runs."))
        return CallResult.DELIVERED

    def explain(self):
        return asyncio.run(self.finder.explain("r1"))

    def test_any_process_may_know_the_request(self):
        """Guards against a lookup that fails when only one peer knows the request."""
        self.known.add("b#1")
        self.silent.add("a#1")
        self.assertEqual("It runs.", self.explain())
        self.assertEqual({"a#1", "b#1"}, set(self.calls))

    def test_unknown_everywhere(self):
        """Guards against more rounds after all peers have said that it is unknown."""
        self.assertIsNone(self.explain())
        self.assertEqual(2, len(self.calls))

    def test_not_found_is_reported_only_when_all_have_answered(self):
        """Guards against 404 for a request whose owner has just failed."""
        for self.silent, self.complete in (({"a#1"}, True), (set(), False)):
            exc = self.assertRaises(CallError, self.explain)
            self.assertIs(Code.PEER_TIMEOUT, exc.code)
