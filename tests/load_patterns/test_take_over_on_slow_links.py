"""Pattern: a process on a slow link takes over a partition with thousands of jobs.

The store returns up to a megabyte a page, which takes seconds on the slowest links of
the users. A process that never gets to the end of its reads must not keep the claim.
"""

import asyncio
import json

from poplaryard.client import HttpClient
from poplaryard.exceptions import StoreReplyLost
from poplaryard.platform.entry import WORKER_CALL_TIMEOUT_S
from poplaryard.platform.services import WorkerClient
from poplaryard.platform.store import PlatformStore
from poplaryard.server import HttpServer
from poplaryard.workload import records
from poplaryard.workload.model import QueueTable
from tests.slow_link import LINK_BYTES_PER_S, SlowServer
from tests.workload.builders import worker_info
from tests.workload.fakes import MemoryStorage, make_node
from tests.workload.test_owner import until

# Time that a page of 1 MB takes on a link of 5 Mbit/s, in seconds.
PAGE_S = 2.1


async def slow_page(scope, receive, send):
    """Answer like the store after the time that a large page takes."""
    await asyncio.sleep(PAGE_S)
    body = json.dumps({"items": [], "truncated": False, "at": 7}).encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def test_large_page_is_read_over_a_slow_link():
    """Guards against a take-over that never ends, since each read is given up."""

    async def scenario():
        server = HttpServer(slow_page, "127.0.0.1", 0, graceful_s=0.1)
        await server.start()
        client = HttpClient()
        store = PlatformStore(client, f"127.0.0.1:{server.ports[0]}")
        assert await store.scan("job/desk/") == ([], 7)
        await client.close()
        await server.stop()

    asyncio.run(scenario())


def test_reports_of_many_workers_are_read_over_a_slow_link():
    """Guards against a new owner that never gets the reports of its workers.

    A hundred workers that are asked at once share its link, and report the ends of an
    outage of the store.
    """

    async def scenario():
        rows = [
            [number, "a" * 16 + ".0.0.0", 1, "done", ""] for number in range(1, 200)
        ]
        body = json.dumps({"clock_ms": 5, "running": [], "finished": rows}).encode()
        server = SlowServer(body, bytes_per_s=LINK_BYTES_PER_S / 100)
        async with server.started() as (client, address):
            worker = worker_info(0, address=address)
            calls = WorkerClient(client, WORKER_CALL_TIMEOUT_S)
            report = await calls.hold(worker, 1, 0, None, 0.0)
        assert len(report.ended) == len(rows)

    asyncio.run(scenario())


class BadPath:
    """Storage that loses the replies to reads of the progress of jobs.

    ``most`` limits how many it loses.
    """

    def __init__(self, storage, most=1_000_000):
        self._storage = storage
        self._left = most

    def __getattr__(self, name):
        return getattr(self._storage, name)

    async def scan(self, prefix):
        if prefix.startswith("progress/") and self._left:
            self._left -= 1
            raise StoreReplyLost("timeout")
        return await self._storage.scan(prefix)


def test_lost_replies_while_loading_do_not_change_the_owner():
    """Guards against a partition that goes from process to process in a lossy time."""

    async def scenario():
        storage = MemoryStorage()
        path = BadPath(storage, most=2)
        node = make_node(path)
        node.queues = QueueTable(version=1, groups=("desk",))
        await node.start()
        await until(lambda: any(o.loaded for o in node.owners.values()))
        claims = [c for c in storage.changes if c.key == records.claim_key("desk")]
        assert len(claims) == 1
        await node.stop()

    asyncio.run(scenario())


def test_process_that_cannot_load_the_jobs_leaves_the_partition_to_others():
    """Guards against a partition that a process claims again and again in vain."""

    async def scenario():
        storage = MemoryStorage()
        first = make_node(BadPath(storage))
        second = make_node(storage, name="p1")
        for node in (first, second):
            node.queues = QueueTable(version=1, groups=("desk",))
        await first.start()
        await until(lambda: records.claim_key("desk") in storage.items)
        await second.start()
        await until(lambda: any(o.loaded for o in second.owners.values()))
        assert not first.owners
        for node in (first, second):
            await node.stop()

    asyncio.run(scenario())
