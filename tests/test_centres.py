import asyncio

import testtools

from poplaryard.centres import FRESH_S, RETRY_S, OwnersView, RemoteOwners
from poplaryard.clock import VirtualClock
from poplaryard.codes import Code
from poplaryard.peers import CallResult


class RemoteOwnersTest(testtools.TestCase):
    """Cached owners of another data centre, with the test as the peer table."""

    def setUp(self):
        super().setUp()
        self.clock = VirtualClock(100.0)
        self.asked, self.answers, self.addresses = [], {}, {}
        self.changes = []
        listed = {"dc2": ["a:1", "a:2"]}
        self.owners = RemoteOwners(
            listed, self, self.clock, lambda: self.changes.append(1)
        )

    def set_address(self, process, address):
        self.addresses[process] = address

    async def call(self, address, batch, timeout_s):
        self.asked.append(address)
        view = self.answers.get(address)
        if view is None:
            return CallResult.UNKNOWN
        self.owners.receive(view)
        return CallResult.DELIVERED

    def owner(self):
        """Return the owner of a shard as known after the calls for it have ended."""

        async def run():
            self.owners.owner_of("dc2/0")
            await asyncio.gather(*self.owners._tasks)
            return self.owners.owner_of("dc2/0")

        return asyncio.run(run())

    def test_view_is_asked_for_when_needed_and_kept(self):
        """Guards against a call for each request, and calls while no view is used."""
        self.answers["a:2"] = OwnersView("dc2", {"dc2/0": "q#1"}, {"q#1": "a:3"})
        self.assertEqual("q#1", self.owner())
        self.assertEqual(["a:1", "a:2"], self.asked)
        self.assertEqual("a:3", self.addresses["q#1"])
        self.assertEqual("q#1", self.owner())
        self.assertEqual((2, 1), (len(self.asked), len(self.changes)))
        self.clock.advance(FRESH_S + 1.0)
        del self.answers["a:2"]
        self.answers["a:3"] = OwnersView("dc2", {"dc2/0": "q#2"}, {})
        self.assertEqual("q#2", self.owner())

    def test_unreachable_data_centre_is_reported_at_once(self):
        """Guards against callers who wait for a home shard that cannot be reached."""
        self.assertIs(Code.HOME_UNREACHABLE, self.owner())
        self.owner()
        self.assertEqual(2, len(self.asked))
        self.answers["a:1"] = OwnersView("dc2", {"dc2/0": "q#1"}, {})
        self.clock.advance(RETRY_S + 0.1)
        self.assertEqual("q#1", self.owner())

    def test_view_is_fetched_again_after_its_owner_is_silent(self):
        """Guards against a cached owner that is kept after it has failed."""
        self.answers["a:1"] = OwnersView("dc2", {"dc2/0": "q#1"}, {})
        self.owner()
        self.answers["a:1"] = OwnersView("dc2", {}, {})
        self.owners.invalidate("q#1")
        self.clock.advance(RETRY_S + 0.1)
        self.assertIs(Code.NOT_OWNER, self.owner())
