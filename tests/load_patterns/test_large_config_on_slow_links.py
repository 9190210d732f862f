"""Pattern: configurations of nearly a megabyte reach processes on slow links.

A link of 5 Mbit/s takes over a second for such a value, and several versions may follow
one another.
"""

import asyncio
import base64
import json

import pytest

from poplaryard.clock import SystemClock
from poplaryard.exceptions import StoreReplyLost
from poplaryard.platform.store import PlatformStore
from poplaryard.workload.model import QueueTable
from poplaryard.workload.relay import RelayedStorage, answer_relayed
from poplaryard.workload.storage import Transaction
from tests.slow_link import LINK_BYTES_PER_S, SlowServer
from tests.workload.fakes import MemoryStorage, make_node

WAIT_S = 1.0
# Size of a configuration of 4,000 routes, in bytes.
CONFIG_BYTES = 700_000
# Time in which a call over a silent connection has to fail, in seconds: the call has to
# be repeated within the 3 s in which a configuration has to be in force.
SILENCE_S = 1.0


def watch_response(*revisions):
    """Return the store's response with one version of the configuration each."""
    value = base64.b64encode(b"x" * CONFIG_BYTES).decode()
    events = [
        {"key": "op/config", "value": value, "rev": revision, "lease": 0}
        for revision in revisions
    ]
    return json.dumps({"events": events, "at": revisions[-1]}).encode()


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 0.95])
@pytest.mark.parametrize("versions", [1, 2])
def test_large_change_is_received_whenever_it_comes(delay_s, versions):
    """Guards against a watch that is given up while its response arrives.

    The next watch would begin anew, and the process would keep an old configuration.
    """

    async def scenario():
        revisions = [8, 9][:versions]
        server = SlowServer(watch_response(*revisions), delay_s)
        async with server.started() as (client, address):
            store = PlatformStore(client, address)
            changes, revision = await store.watch("op/", 7, WAIT_S)
        assert [change.revision for change in changes] == revisions
        assert revision == revisions[-1]

    asyncio.run(scenario())


def test_large_change_is_received_through_a_peer():
    """Guards against a relayed watch that is given up while its response arrives."""

    async def scenario():
        storage = MemoryStorage()
        await storage.commit(Transaction(puts=[("op/config", b"x" * CONFIG_BYTES, 0)]))
        call = {"call": "watch", "key": "op/", "after": 1, "wait_s": WAIT_S}
        answer = await answer_relayed(storage, json.dumps(call).encode())
        server = SlowServer(answer, delay_s=0.95)
        async with server.started() as (client, address):
            storage.faults["watch"] = ["down"]
            relayed = RelayedStorage(storage, client, lambda: [address], SystemClock())
            changes, _ = await relayed.watch("op/", 1, WAIT_S)
        assert len(changes[0].item.value) == CONFIG_BYTES

    asyncio.run(scenario())


@pytest.mark.parametrize("received", [0, 93_750])
def test_silent_connection_fails_the_call_soon(received):
    """Guards against a watch that waits for the rest of a response that never comes."""

    async def scenario():
        server = SlowServer(watch_response(8), silent_after=received)
        loop = asyncio.get_running_loop()
        async with server.started() as (client, address):
            began = loop.time()
            with pytest.raises(StoreReplyLost) as failure:
                await PlatformStore(client, address).watch("op/", 7, 0.0)
        transfer_s = received / LINK_BYTES_PER_S
        assert loop.time() - began < transfer_s + SILENCE_S
        if received:
            assert f"after {received} bytes" in str(failure.value)

    asyncio.run(scenario())


class SlowStorage(MemoryStorage):
    """Storage whose reads take as long as their values need on a slow link."""

    async def scan(self, prefix):
        items, revision = await super().scan(prefix)
        await self._transfer(items)
        return items, revision

    async def watch(self, prefix, after, wait_s):
        changes, revision = await super().watch(prefix, after, wait_s)
        await self._transfer([change.item for change in changes])
        return changes, revision

    async def _transfer(self, items):
        size = sum(len(item.value) for item in items)
        await asyncio.sleep(size / LINK_BYTES_PER_S)


def test_versions_in_quick_succession_do_not_pile_up_on_a_slow_link():
    """Guards against a process that reads every version and falls ever further behind.

    A new version is written twice in the time that one takes to arrive.
    """
    transfer_s = 0.2
    padding = b" " * int(transfer_s * LINK_BYTES_PER_S)

    async def scenario():
        storage = SlowStorage()
        node = make_node(storage, lambda value: QueueTable(version=int(value)))
        await node.start()
        behind = []
        for version in range(1, 31):
            entry = ("op/config", b"%d" % version + padding, 0)
            await storage.commit(Transaction(puts=[entry]))
            await asyncio.sleep(transfer_s / 2)
            behind.append(version - node.queues.version)
        await node.stop()
        return behind

    # A read of two versions, one of the newest, and what is written meanwhile.
    assert max(asyncio.run(scenario())) <= 10
