import asyncio

import pytest

from poplaryard.client import RawReply
from poplaryard.clock import VirtualClock
from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError, StoreDown, StoreReplyLost
from poplaryard.workload.relay import RelayedStorage, answer_relayed
from poplaryard.workload.storage import Transaction
from tests.workload.fakes import MemoryStorage


class PeerClient:
    """Client of one peer that uses ``storage``; with ``lost``, its replies are lost."""

    def __init__(self, storage):
        self.storage = storage
        self.lost = False

    async def request_raw(self, method, url, body, timeout_s, **options):
        answer = await answer_relayed(self.storage, body)
        if self.lost:
            raise PoplaryardError(Code.PEER_TIMEOUT)
        return RawReply(200, answer)


class RelayFixture:
    """`RelayedStorage` with one peer, whose store is ``store``.

    Direct calls go to ``direct``, and fail after `reject_direct_calls`.
    """

    def __init__(self):
        self.store = MemoryStorage()
        self.direct = MemoryStorage()
        self.client = PeerClient(self.store)
        self.clock = VirtualClock()
        self.storage = RelayedStorage(
            self.direct, self.client, lambda: ["10.0.0.1:1"], self.clock
        )

    def reject_direct_calls(self, fault="down"):
        for call in ("get", "scan", "watch", "commit", "grant", "renew", "revoke"):
            self.direct.faults[call] = [fault] * 50


def put(key, value, expected=0):
    return Transaction({key: expected}, [(key, value, 0)])


def test_process_rejected_by_the_store_calls_it_through_a_peer():
    """Guards against refusing a job that a peer could store."""

    async def run():
        relayed = RelayFixture()
        relayed.reject_direct_calls()
        storage = relayed.storage
        revision = await storage.commit(put("k", b"\x00value"))
        assert (await storage.get("k")).value == b"\x00value"
        assert (await storage.scan("k"))[0][0].revision == revision
        changes, _ = await storage.watch("k", 0, 0.1)
        assert changes[0].item.value == b"\x00value"
        [item] = await storage.commit(put("k", b"other"))
        assert item.revision == revision
        lease = await storage.grant(3.0)
        assert await storage.renew(lease)
        await storage.revoke(lease)
        assert not await storage.renew(lease)

    asyncio.run(run())


def test_write_with_a_lost_reply_is_not_repeated_through_a_peer():
    """Guards against reporting a write as failed that may still be carried out."""

    async def run():
        relayed = RelayFixture()
        relayed.reject_direct_calls("dropped")
        with pytest.raises(StoreReplyLost):
            await relayed.storage.commit(put("k", b"v"))
        assert not relayed.store.items
        relayed.client.lost = True
        with pytest.raises(StoreReplyLost):
            await relayed.storage.commit(put("k", b"v"))

    asyncio.run(run())


def test_relayed_calls_pause_while_the_store_is_down_for_all():
    """Guards against an outage of the store that multiplies the calls to it."""

    async def run():
        relayed = RelayFixture()
        relayed.reject_direct_calls()
        relayed.store.faults["get"] = ["down"] * 50
        for _ in range(20):
            with pytest.raises(StoreDown):
                await relayed.storage.get("k")
        assert relayed.store.calls.count("get") <= 2
        relayed.clock.advance(1.0)
        with pytest.raises(StoreDown):
            await relayed.storage.get("k")
        assert relayed.store.calls.count("get") <= 4

    asyncio.run(run())


def test_writes_do_not_probe_the_direct_connection():
    """Guards against writes that each wait for a store that can't be reached."""

    async def run():
        relayed = RelayFixture()
        relayed.reject_direct_calls()
        await relayed.storage.get("k")
        for number in range(5):
            relayed.clock.advance(1.0)
            await relayed.storage.commit(put(f"k{number}", b"v"))
        assert relayed.direct.calls.count("commit") == 0

    asyncio.run(run())


def test_write_tries_the_next_peer_if_one_is_unreachable():
    """Guards against treating a call that was never sent as in doubt."""

    async def run():
        relayed = RelayFixture()
        relayed.reject_direct_calls()
        call_peer = relayed.client.request_raw
        unreachable = set()

        async def request_raw(method, url, body, timeout_s, **options):
            if not unreachable or url in unreachable:
                unreachable.add(url)
                raise PoplaryardError(Code.PEER_UNREACHABLE)
            return await call_peer(method, url, body, timeout_s, **options)

        relayed.client.request_raw = request_raw
        relayed.storage._peers = lambda: ["10.0.0.1:1", "10.0.0.2:1"]
        assert isinstance(await relayed.storage.commit(put("k", b"v")), int)
        # The peer that answered is called first from now on.
        for number in range(8):
            await relayed.storage.commit(put(f"k{number}", b"v"))
        assert len(unreachable) == 1

    asyncio.run(run())


def test_store_is_unreachable_until_a_call_succeeds():
    """Guards against callers that wait while the store answers no process."""

    async def run():
        relayed = RelayFixture()
        relayed.reject_direct_calls("dropped")
        await relayed.storage.get("k")
        assert not relayed.storage.store_unreachable
        relayed.store.faults["get"] = ["dropped"] * 3
        for _ in range(2):
            with pytest.raises(StoreReplyLost):
                await relayed.storage.get("k")
            assert relayed.storage.store_unreachable
        relayed.store.faults.clear()
        await relayed.storage.get("k")
        assert not relayed.storage.store_unreachable
        relayed.store.faults["get"] = ["down"]
        with pytest.raises(StoreDown):
            await relayed.storage.get("k")
        assert relayed.storage.store_unreachable
        relayed.direct.faults.clear()
        relayed.clock.advance(1.0)
        await relayed.storage.get("k")
        assert not relayed.storage.store_unreachable

    asyncio.run(run())


def test_direct_calls_resume_after_a_pause():
    async def run():
        relayed = RelayFixture()
        relayed.direct.faults["get"] = ["down"]
        await relayed.storage.get("k")
        await relayed.storage.get("k")
        assert relayed.direct.calls.count("get") == 1
        relayed.clock.advance(1.1)
        await relayed.storage.get("k")
        await relayed.storage.get("k")
        assert relayed.direct.calls.count("get") == 3

    asyncio.run(run())


def test_return_of_the_store_is_noticed_before_calls_that_wait_for_it():
    """Guards against refusing jobs for a second after an outage of the store.

    Pattern: an outage of seconds, in which calls are not answered at all.
    """

    async def run():
        relayed = RelayFixture()
        back = asyncio.Event()
        pings = []

        async def ping():
            pings.append(1)
            await back.wait()

        relayed.direct.ping = ping
        relayed.direct.faults["watch"] = ["dropped"]
        relayed.store.faults["watch"] = ["down"]
        task = asyncio.create_task(relayed.storage.watch_recovery())
        with pytest.raises(StoreDown):
            await relayed.storage.watch("k", 0, 0.0)
        assert relayed.storage.store_unreachable
        await asyncio.sleep(0.8)
        assert 2 <= len(pings) <= 3
        assert relayed.storage.store_unreachable
        back.set()
        for _ in range(40):
            await asyncio.sleep(0.01)
            if not relayed.storage.store_unreachable:
                break
        assert relayed.storage.direct_ok
        seen = len(pings)
        await asyncio.sleep(0.2)
        assert len(pings) == seen, "a store that answers needs no probes"
        task.cancel()

    asyncio.run(run())


def test_watch_returns_to_the_store_instead_of_waiting_for_silent_peers():
    """Guards against an old configuration: a watch that failed once was relayed for
    seconds to peers that were cut off, while the store was reached directly again.
    """

    async def run():
        relayed = RelayFixture()
        for call in ("watch", "ping"):
            relayed.direct.faults[call] = ["down"]

        async def silent(method, url, body, timeout_s, **options):
            await asyncio.sleep(timeout_s)
            raise PoplaryardError(Code.PEER_TIMEOUT)

        relayed.client.request_raw = silent
        await relayed.direct.commit(put("k", b"v"))
        probes = asyncio.create_task(relayed.storage.watch_recovery())
        async with asyncio.timeout(0.8):
            changes, _ = await relayed.storage.watch("k", 0, 1.0)
        assert changes[0].item.value == b"v"
        probes.cancel()

    asyncio.run(run())
