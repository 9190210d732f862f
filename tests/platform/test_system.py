import asyncio
import json

import msgspec

from poplaryard.client import HttpClient
from poplaryard.clock import SystemClock
from poplaryard.platform.codec import (
    CONFIG_KEY,
    WORKER_PREFIX,
    DecodeFailed,
    decode_config,
    decode_worker,
)
from poplaryard.platform.front import PlatformFront
from poplaryard.platform.services import AdviceClient, WorkerClient
from poplaryard.platform.store import PlatformStore
from poplaryard.server import HttpServer
from poplaryard.workload.node import Node, NodeConfig, StoreSchema
from poplaryard.workload.owner import OwnerLimits
from tests.platform.standin import PlatformStandIn, config

SCHEMA = StoreSchema(
    CONFIG_KEY, WORKER_PREFIX, decode_config, decode_worker, DecodeFailed
)
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 1000, "estimate_ms": 100}]}


class Entry:
    """One process of the system on loopback."""

    def __init__(self, platform, name, strength=1.0):
        self.client = HttpClient(connections=64)
        self.store = PlatformStore(self.client, platform.store_address)
        self.server = HttpServer(self._app, "127.0.0.1", 0)
        address = f"127.0.0.1:{self.server.ports[0]}"
        self.url = f"http://{address}"
        self.node = Node(
            NodeConfig(name, "dc1", address, strength, OwnerLimits(6.0, 120.0)),
            self.store,
            WorkerClient(self.client, 0.7),
            AdviceClient(self.client, platform.store_address),
            self.client,
            SCHEMA,
            SystemClock(),
        )
        self.front = PlatformFront(self.node, lambda: None)

    async def _app(self, scope, receive, send):
        await self.front(scope, receive, send)

    async def start(self):
        await self.server.start()
        await self.node.start()

    async def stop(self):
        await self.node.hand_over()
        await self.server.stop()
        await self.node.stop()

    async def call(self, method, path, body=None, host="desk.example"):
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        url = f"{self.url}{path}"
        reply = await self.client.raw(method, url, data, 3.0, {"host": host})
        return reply.status, json.loads(reply.content) if reply.content else None


def with_system(work, entries=2, strength=1.0):
    strengths = strength if isinstance(strength, tuple) else [strength] * entries

    async def run():
        platform = PlatformStandIn()
        await platform.start()
        system = [
            Entry(platform, f"p{number}", strengths[number])
            for number in range(entries)
        ]
        try:
            for entry in system:
                await entry.start()
            status, _ = await system[0].call("GET", "/poplaryard/readyz")
            assert status == 503
            await platform.put(CONFIG_KEY, config())
            await until(system[0], "/poplaryard/readyz", 200)
            await work(platform, *system)
        finally:
            for entry in system:
                await entry.stop()
            await platform.stop()

    asyncio.run(run())


async def until(entry, path, wanted, seconds=8.0):
    for _ in range(int(seconds / 0.02)):
        status, body = await entry.call("GET", path)
        if wanted in (status, (body or {}).get("state")):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{path} is not {wanted}: {status} {body}")


def test_job_is_accepted_at_one_process_and_shown_at_another():
    async def work(platform, first, second):
        path = "/checks/" + "a" * 16
        assert (await first.call("POST", path, JOB))[0] == 200
        await until(second, path, "done")
        assert (await second.call("GET", "/checks/"))[1] == {"pending": 0}
        assert (await second.call("GET", "/checks/" + "b" * 16))[0] == 410
        assert (await second.call("DELETE", "/checks/" + "b" * 16))[0] == 410

    with_system(work)


def test_bad_input_is_refused_and_nothing_is_stored():
    """Guards against malformed, oversized or deeply nested bodies."""

    async def work(platform, entry):
        path = "/checks/" + "a" * 16
        bodies = [
            b"",
            b"{",
            b"[" * 50_000,
            b'{"steps": []}',
            b'{"steps": [{"count": -1}]}',
            b'{"steps": [{"count": 1, "cpu": "many"}]}',
            b'{"steps": [{"count": 1, "after": [0]}]}',
            b'{"steps": [{"count": 1}], "spec": 7}',
        ]
        for body in bodies:
            assert (await entry.call("POST", path, body))[0] == 400
        big = {"spec": "x" * 3000, "steps": [{"count": 1, "label": "y" * 300_000}]}
        assert (await entry.call("POST", path, big))[0] == 413
        assert (await entry.call("POST", "/unknown/" + "a" * 16, JOB))[0] == 404
        assert (await entry.call("POST", path, JOB, host="other"))[0] == 404
        assert not [key for key in platform.storage.items if key.startswith("job/")]

    with_system(work, entries=1)


def test_cancelled_job_is_shown_as_cancelled():
    async def work(platform, first, second):
        path = "/checks/" + "a" * 16
        lasting = {"spec": "s", "steps": [{"count": 1, "cpu": 1000, "daemon": True}]}
        assert (await first.call("POST", path, lasting))[0] == 200
        await until(second, path, "running")
        assert (await second.call("DELETE", path))[0] == 200
        await until(first, path, "cancelled")

    with_system(work)


def test_unreadable_worker_entries_are_skipped():
    """Guards against an entry of another writer stopping the scheduler."""

    async def work(platform, entry):
        for number, value in enumerate((b"\xff\x00", b"{}", b'{"service": 7}')):
            await platform.put(f"servers/x{number}", value)
        path = "/checks/" + "a" * 16
        assert (await entry.call("POST", path, JOB))[0] == 200
        await until(entry, path, "done")

    with_system(work, entries=1)


def test_metrics_are_served():
    async def work(platform, entry):
        reply = await entry.client.raw("GET", f"{entry.url}/metrics", None, 2.0)
        assert b"poplaryard_jobs_total" in reply.content

    with_system(work, entries=1)


def test_process_that_is_cut_off_is_not_ready():
    """Guards against callers kept at a data centre that can serve nobody."""

    async def work(platform, first, second):
        # To the first, the second is a peer of another data centre.
        await asyncio.sleep(0.3)
        member = first.node._members["p1"]
        first.node._members["p1"] = msgspec.structs.replace(
            member, data_centre="dc2", address="127.0.0.1:9"
        )
        platform.refuse = True
        await until(first, "/poplaryard/readyz", 503)
        # The second reaches a peer of its own data centre only: all may be down.
        assert (await second.call("GET", "/poplaryard/readyz"))[0] == 200
        platform.refuse = False
        await until(first, "/poplaryard/readyz", 200)

    with_system(work)


def test_group_moves_from_a_weak_process_to_a_strong_one_that_joins():
    """Guards against a group that stays with a process whose link is too small."""

    async def work(platform, weak):
        strong = Entry(platform, "strong", strength=1.0)
        await strong.start()
        try:
            for _ in range(200):
                if strong.node.owners and not weak.node.owners:
                    break
                await asyncio.sleep(0.02)
            assert strong.node.owners
            assert not weak.node.owners
            path = "/checks/" + "a" * 16
            assert (await weak.call("POST", path, JOB))[0] == 200
            await until(weak, path, "done")
        finally:
            await strong.stop()

    with_system(work, entries=1, strength=0.1)


def test_strong_process_claims_before_weak_ones():
    async def work(platform, *weak):
        assert not any(entry.node.owners for entry in weak[1:])

    with_system(work, entries=3, strength=(1.0, 0.1, 0.1))


def test_owner_that_is_stopped_during_an_outage_goes_on_until_it_can_hand_over():
    """Guards against work that stands still because nobody can claim a group."""

    async def work(platform, first, second):
        owner, other = (first, second) if first.node.owners else (second, first)
        platform.refuse = True
        handing = asyncio.create_task(owner.node.hand_over(5.0))
        await asyncio.sleep(0.8)
        assert owner.node.owners["desk"].partition.accepts_starts
        platform.refuse = False
        await handing
        path = "/checks/" + "a" * 16
        assert (await other.call("POST", path, JOB))[0] == 200
        await until(other, path, "done")

    with_system(work)


def test_stop_during_an_outage_ends_in_time():
    """Guards against SIGKILL at the end of the grace time: calls may get no answer."""

    async def work(platform, first, second):
        owner = first if first.node.owners else second
        platform.silent = True
        began = asyncio.get_running_loop().time()
        await owner.node.hand_over(1.0)
        # The patience, orders on their way, and the end of the lease.
        assert asyncio.get_running_loop().time() - began < 1.0 + 0.5 + 0.5 + 0.3

    with_system(work)
