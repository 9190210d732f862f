import asyncio

import testtools

from poplaryard.client import HttpClient
from poplaryard.codes import Code
from poplaryard.messages import Answer, Cancel
from poplaryard.peers import (
    BATCH_MESSAGES,
    CallResult,
    Envelope,
    PeerTable,
    peer_routes,
)
from poplaryard.server import HttpServer
from poplaryard.web import new_starlette

from .asgi import call
from .ports import reserve_ports


class Peer:
    """Process with a peer table and an HTTP server."""

    def __init__(self, name, limit=5000, allowed=True):
        self.received = []
        self.failed = []
        self.calls = 0
        self.client = HttpClient(key="peer-key-1")
        self.table = PeerTable(name, "", self.client, self.receive, self.fail, limit)
        self.app = new_starlette(peer_routes(self.table, lambda _: allowed))
        self.server = HttpServer(self.count_call, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.ports[0]}"
        self.table._address = self.address

    async def count_call(self, scope, receive, send):
        self.calls += 1
        await self.app(scope, receive, send)

    def receive(self, sender, envelope):
        self.received.append((sender, envelope))
        if isinstance(envelope.message, Cancel):
            return [Answer("r", Code.OK, Code.OK.outcome)]
        return None

    def fail(self, process, envelope, code):
        self.failed.append((process, code))

    async def close(self):
        await self.server.stop()
        await self.table.close()
        await self.client.close()


class PeersTest(testtools.TestCase):
    def run_with(self, scenario, **options):
        async def run():
            one, two = Peer("one#1", **options), Peer("two#1", **options)
            await one.server.start()
            await two.server.start()
            one.table.set_address("two#1", two.address)
            try:
                await scenario(one, two)
            finally:
                await one.close()
                await two.close()

        asyncio.run(asyncio.wait_for(run(), 30))

    def test_many_messages_leave_in_few_calls(self):
        """Guards against one HTTP call per request between entry processes."""

        async def scenario(one, two):
            answer = Answer("r", Code.OK, Code.OK.outcome, ({"a": 1},))
            sent = [Envelope(answer, f"dc1/{n}", n % 2 == 0) for n in range(1000)]
            for envelope in sent:
                one.table.send("two#1", envelope)
            await one.table.drain(10.0)
            # Batches use separate connections and may overtake each other.
            received = sorted(two.received, key=lambda pair: int(pair[1].shard[4:]))
            self.assertEqual([("one#1", item) for item in sent], received)
            self.assertLessEqual(two.calls, 2 * 1000 // BATCH_MESSAGES)
            self.assertEqual(one.address, two.table.address_of("one#1"))

        self.run_with(scenario)

    def test_replies_come_back_with_the_call(self):
        """Guards against replies that do not come in the response to the call.

        A promise in the reply to a heartbeat counts from the sending of the heartbeat,
        so the reply has to follow at once.
        """

        async def scenario(one, two):
            found = await one.table.call("two#1", [Envelope(Cancel("r"))], 5.0)
            self.assertIs(CallResult.DELIVERED, found)
            self.assertEqual("two#1", one.received[0][0])

        self.run_with(scenario)

    def test_a_full_outbox_refuses_at_once(self):
        """Guards against a slow peer that delays the requests to all others."""

        async def scenario(one, two):
            for _ in range(5):
                one.table.send("two#1", Envelope(Cancel("r")))
            self.assertEqual([("two#1", Code.PEER_UNREACHABLE)] * 2, one.failed)
            await one.table.drain(10.0)

        self.run_with(scenario, limit=3)

    def test_ended_process_is_distinguished_from_a_silent_one(self):
        """Guards against a shard taken from a peer that is only slow, not dead."""

        async def scenario(one, two):
            one.table.set_address("gone#1", f"127.0.0.1:{reserve_ports(1)[0]}")
            one.table.set_address("two#0", two.address)
            batch = [Envelope(Cancel("r"))]
            for name in ("gone#1", "two#0"):
                found = await one.table.call(name, batch, 5.0)
                self.assertIs(CallResult.DEAD, found)
            self.assertEqual([], two.received)
            one.table.send("gone#1", batch[0])
            one.table.send("unknown#1", batch[0])
            await one.table.drain(10.0)
            codes = {code for _, code in one.failed}
            self.assertEqual((2, {Code.PEER_UNREACHABLE}), (len(one.failed), codes))

        self.run_with(scenario)

    def test_batches_without_the_key_are_refused(self):
        """Guards against answers to callers' requests from anyone without the key."""

        async def scenario(one, two):
            one.table.send("two#1", Envelope(Cancel("r")))
            await one.table.drain(10.0)
            self.assertEqual(([], 1), (two.received, len(one.failed)))

        self.run_with(scenario, allowed=False)

    def test_malformed_batches_are_refused(self):
        """Guards against a malformed batch of which a part is handled."""
        peer = Peer("one#1")
        good = {"type": "Cancel", "request_id": "r"}
        batch = {"from": "x", "address": "a", "to": "one#1", "messages": [good, {}]}
        for body in (b"{", b"[]", {}, {**batch, "to": 1}, batch):
            found = asyncio.run(call(peer.app, "POST", "/peer/v1/batch", body))
            self.assertEqual(400, found[0])
        self.assertEqual([], peer.received)
