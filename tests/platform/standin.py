"""Stand-ins for the platform's store and workers, served on the loopback interface."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from poplaryard.exceptions import LeaseLost, WorkerUnreachable
from poplaryard.server import HttpServer
from poplaryard.workload.model import StartOutcome
from poplaryard.workload.storage import Transaction
from tests.workload.builders import worker_info
from tests.workload.fakes import MemoryStorage, SimWorker

# Run time of every task, in seconds.
RUN_S = 0.1


class PlatformStandIn:
    """Store and workers of the platform, each with an HTTP address of its own.

    Attributes
    ----------
    store_refuses : bool
        Whether the store answers every call with status 503.
    store_silent : bool
        Whether the store delays every answer by a minute.
    """

    def __init__(self, workers=2):
        self.storage = MemoryStorage()
        self.store_refuses = self.store_silent = False
        self.sims = {}
        self.store = HttpServer(self._store_app, "127.0.0.1", 0)
        self.workers = []
        for number in range(workers):
            self.add_worker(number)

    @property
    def store_address(self):
        return f"127.0.0.1:{self.store.ports[0]}"

    def add_worker(self, number):
        """Return the server of a new worker; until started it refuses connections."""
        sim = SimWorker(worker_info(number))
        server = HttpServer(_WorkerApp(sim), "127.0.0.1", 0)
        self.sims[sim.info.worker_id] = (sim, server)
        self.workers.append(server)
        return server

    async def start(self):
        for server in [self.store, *self.workers]:
            await server.start()
        for worker_id, (sim, server) in self.sims.items():
            await self.put(f"servers/{worker_id}", entry(sim, server.ports[0]))

    async def stop(self):
        for server in [self.store, *self.workers]:
            await server.stop()

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self.storage.commit(Transaction(puts=[(key, data, 0)]))

    async def _store_app(self, scope, receive, send):
        body = json.loads(await read(receive) or b"null")
        query = {
            key: values[0]
            for key, values in parse_qs(scope["query_string"].decode()).items()
        }
        if self.store_silent:
            await asyncio.sleep(60.0)
        if self.store_refuses:
            await respond(send, 503, {})
            return
        name = scope["path"].removeprefix("/poplaryard/")
        status, answer = await self._call(name, query, body)
        await respond(send, status, answer)

    async def _call(self, name, query, body):
        storage = self.storage
        if name == "kv-key":
            item = await storage.get(query["key"])
            return (404, {}) if item is None else (200, encoded(item))
        if name == "kv-range":
            items, at = await storage.scan(query["prefix"])
            items = sorted(items, key=lambda item: item.key)
            # Pages of two items, so that tests cover reads of several pages.
            later = [item for item in items if item.key > query.get("after", "")]
            page = {"items": [encoded(item) for item in later[:2]], "at": at}
            return 200, {**page, "truncated": len(later) > 2}
        if name == "kv-watch":
            wait_s = int(query["wait_ms"]) / 1000
            found = await storage.watch(query["prefix"], int(query["after"]), wait_s)
            events = [
                encoded(change.item)
                if change.item
                else {"key": change.key, "rev": change.revision, "deleted": True}
                for change in found[0]
            ]
            return 200, {"events": events, "at": found[1]}
        if name == "kv-txn":
            return await self._commit(body)
        if name == "kv-lease":
            lease = await storage.grant(body["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(name.rpartition("/")[2])
        if name.startswith("kv-keep/"):
            return (200, {}) if await storage.renew(lease) else (404, {})
        await storage.revoke(lease)
        return 200, {}

    async def _commit(self, body):
        transaction = Transaction(
            {row["key"]: row["rev"] for row in body["expected"]},
            [
                (row["key"], base64.b64decode(row["value"]), row["lease"])
                for row in body["puts"]
            ],
            body["remove"],
        )
        assert len(transaction) <= 32
        try:
            found = await self.storage.commit(transaction)
        except LeaseLost:
            return 404, {}
        if isinstance(found, int):
            return 200, {"rev": found}
        return 412, {"items": [encoded(item) for item in found if item]}


class _WorkerApp:
    def __init__(self, sim):
        self.sim = sim

    async def __call__(self, scope, receive, send):
        body = json.loads(await read(receive))
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.sim.advance(now)
        run = (body.get("task"), body.get("run"))
        status, answer = 200, {"clock_ms": int(self.sim.clock(now) * 1000)}
        if scope["path"].endswith("run-start"):
            deadline = body["deadline_ms"] / 1000
            fence = body["fencing_token"]
            outcome = self.sim.start(run, RUN_S, now, fence, deadline)
            if outcome is StartOutcome.FENCED:
                status, answer["reason"] = 409, "fence"
        elif scope["path"].endswith("run-stop"):
            self.sim.stop(run, body["fencing_token"])
        else:
            try:
                answer |= await self._hold(body)
            except WorkerUnreachable:
                status, answer["reason"] = 409, "fence"
        await respond(send, status, answer)

    async def _hold(self, body):
        """Answer when a run has ended, or after the requested wait."""
        deadline = body.get("deadline_ms", 0) / 1000
        fence = body["fencing_token"]
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        until = now + body.get("wait_ms", 0) / 1000
        while True:
            self.sim.advance(now)
            report = self.sim.hold(fence, body["ack_seq"], deadline, now)
            if report.ended or now >= until:
                return {
                    "clock_ms": int(self.sim.clock(now) * 1000),
                    "born": report.born_ms,
                    "running": [list(row[:4]) for row in report.running],
                    "finished": [list(row) for row in report.ended],
                }
            await asyncio.sleep(0.01)
            now = time.clock_gettime(time.CLOCK_BOOTTIME)


def entry(sim, port):
    return {
        "service": sim.info.group,
        "address": f"127.0.0.1:{port}",
        "zone": sim.info.data_centre,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "room": {"cpu": 4000, "mem_mb": 8000, "gpu": 0},
        "labels": list(sim.info.labels),
        "seq": 1,
        "born": sim.info.born_ms,
    }


def config(version=1, **route):
    route = {
        "name": "checks",
        "host": "desk.example",
        "prefix": "/checks/",
        "service": "desk",
        "attempts": 3,
        "stretch": 1.5,
        "target_duration_ms": 250,
        "kind": "non_idempotent",
        **route,
    }
    services = [{"name": "desk", "admission_check": False}]
    return {"version": version, "routes": [route], "services": services}


def tenant_config(version, **keys):
    """Return a configuration with a keyed and a public route, and keys by tenant.

    Each tenant has a cap of 3 cores.
    """
    table = config(version)
    route = table["routes"][0] | {"name": "open", "prefix": "/open/", "public": True}
    tenants = [
        {"name": name, "api_keys": found, "weight": 1, "cap": {"cpu": 3000}}
        for name, found in keys.items()
    ]
    return table | {"routes": [*table["routes"], route], "tenants": tenants}


def encoded(item):
    value = base64.b64encode(item.value).decode()
    fields = {"rev": item.revision, "created": item.revision, "lease": item.lease}
    return {"key": item.key, "value": value, **fields}


async def read(receive):
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def respond(send, status, answer):
    content = json.dumps(answer).encode()
    headers = [(b"content-length", str(len(content)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": content})
