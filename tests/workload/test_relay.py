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
    """Client whose only peer answers from ``storage``; ``lost`` drops its replies."""

    def __init__(self, storage):
        self.storage = storage
        self.lost = False

    async def raw(self, method, url, body, timeout_s, headers=None):
        answer = await answer_relayed(self.storage, body)
        if self.lost:
            raise PoplaryardError(Code.PEER_TIMEOUT)
        return RawReply(200, answer)


class Relayed:
    def __init__(self):
        self.store = MemoryStorage()
        self.cut_off = MemoryStorage()
        self.client = PeerClient(self.store)
        self.clock = VirtualClock()
        self.storage = RelayedStorage(
            self.cut_off, self.client, lambda: ["10.0.0.1:1"], self.clock
        )

    def turn_away(self, fault="down"):
        for call in ("get", "scan", "watch", "commit", "grant", "renew", "revoke"):
            self.cut_off.faults[call] = [fault] * 50


def put(key, value, expected=0):
    return Transaction({key: expected}, [(key, value, 0)])


def test_process_that_the_store_turns_away_calls_it_through_a_peer():
    """Guards against refusing work that a peer could store."""

    async def run():
        relayed = Relayed()
        relayed.turn_away()
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


def test_write_without_an_answer_is_not_repeated_through_a_peer():
    """Guards against "not stored" for a write that may be carried out later."""

    async def run():
        relayed = Relayed()
        relayed.turn_away("dropped")
        with pytest.raises(StoreReplyLost):
            await relayed.storage.commit(put("k", b"v"))
        assert not relayed.store.items
        relayed.client.lost = True
        with pytest.raises(StoreReplyLost):
            await relayed.storage.commit(put("k", b"v"))

    asyncio.run(run())


def test_store_that_is_down_for_all_is_asked_through_peers_only_now_and_then():
    """Pattern: an outage of the store must not multiply the calls."""

    async def run():
        relayed = Relayed()
        relayed.turn_away()
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


def test_writes_do_not_find_out_whether_the_store_is_back():
    """Pattern: a process is cut off from the store, and each try takes a second."""

    async def run():
        relayed = Relayed()
        relayed.turn_away()
        await relayed.storage.get("k")
        for number in range(5):
            relayed.clock.advance(1.0)
            await relayed.storage.commit(put(f"k{number}", b"v"))
        assert relayed.cut_off.calls.count("commit") == 0

    asyncio.run(run())


def test_write_goes_on_to_the_next_peer_if_one_cannot_be_reached():
    """Guards against a job in doubt for a call that was certainly never sent."""

    async def run():
        relayed = Relayed()
        relayed.turn_away()
        reached = relayed.client.raw
        gone = set()

        async def raw(method, url, body, timeout_s, headers=None):
            if not gone or url in gone:
                gone.add(url)
                raise PoplaryardError(Code.PEER_UNREACHABLE)
            return await reached(method, url, body, timeout_s, headers)

        relayed.client.raw = raw
        relayed.storage._peers = lambda: ["10.0.0.1:1", "10.0.0.2:1"]
        assert isinstance(await relayed.storage.commit(put("k", b"v")), int)
        # The peer that answered is asked first from now on.
        for number in range(8):
            await relayed.storage.commit(put(f"k{number}", b"v"))
        assert len(gone) == 1

    asyncio.run(run())


def test_store_that_answers_nobody_is_away_until_a_call_succeeds():
    """Pattern: the store is silent for all, and callers must not be held for it."""

    async def run():
        relayed = Relayed()
        relayed.turn_away("dropped")
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
        relayed.cut_off.faults.clear()
        relayed.clock.advance(1.0)
        await relayed.storage.get("k")
        assert not relayed.storage.store_unreachable

    asyncio.run(run())


def test_direct_calls_come_back():
    async def run():
        relayed = Relayed()
        relayed.cut_off.faults["get"] = ["down"]
        await relayed.storage.get("k")
        await relayed.storage.get("k")
        assert relayed.cut_off.calls.count("get") == 1
        relayed.clock.advance(1.1)
        await relayed.storage.get("k")
        await relayed.storage.get("k")
        assert relayed.cut_off.calls.count("get") == 3

    asyncio.run(run())
