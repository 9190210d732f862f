"""Platform, workers and real entry processes of one soak."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

from poplaryard.server import HttpServer
from poplaryard.workload.storage import Transaction
from tests.platform.standin import PlatformStandIn, config, read, respond
from tests.soak.oracle import Oracle
from tests.soak.proxy import Proxy
from tests.soak.workers import SILENT_S, make_workers

GRACE_S = 6.0
# Time after an unplanned fault for which the pages judge no answer, in seconds.
STABLE_S = 3.0
# Ports of a soak; the kernel gives those from 32768 on to clients.
FIRST_PORT, LAST_PORT = 20_000, 32_000
_SOURCE = pathlib.Path(__file__).parents[2] / "src"


def own_ports(count):
    """Return free ports below those that the kernel gives to clients.

    Each soak begins at another one: soaks run side by side, and a port that was free a
    moment ago may be taken by a connection or by another soak.
    """
    number = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)
    ports = []
    while len(ports) < count:
        number = number + 1 if number < LAST_PORT else FIRST_PORT
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", number))
            ports.append(number)
    return ports


class SoakStore(PlatformStandIn):
    """Store and advice whose ``mode`` is "ok", "busy", "silent", "slow" or "lost".

    Leases end on time, also while the store does not answer.
    """

    def __init__(self, clock, rng, port):
        super().__init__(workers=0)
        self.store = HttpServer(self._store_app, "127.0.0.1", port)
        self.mode = "ok"
        self._clock = clock
        self._rng = rng
        self._ends_at = {}
        self._ttl = {}

    async def expire(self):
        """End leases that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for lease, ends_at in list(self._ends_at.items()):
                if self._clock() > ends_at:
                    del self._ends_at[lease]
                    await self.storage.revoke(lease)

    async def _store_app(self, scope, receive, send):
        mode = self.mode
        if mode == "busy":
            await respond(send, 503, {})
            return
        if mode == "silent":
            await asyncio.sleep(SILENT_S)
        if mode == "slow":
            await asyncio.sleep(0.25)
        if scope["path"].endswith("/advise"):
            body = json.loads(await read(receive))
            await asyncio.sleep(0.02)
            good = [[name, "ticket"] for name in body["workers"]]
            await respond(send, 200, {"good": good, "valid_ms": 2000})
            return
        if mode == "lost" and self._rng.random() < 0.4:
            # Done, or done a little later, and never answered.
            await asyncio.sleep(self._rng.choice([0.0, 1.5]))
            await super()._store_app(scope, receive, _nowhere)
            await asyncio.sleep(SILENT_S)
        await super()._store_app(scope, receive, send)

    async def _call(self, name, query, body):
        status, answer = await super()._call(name, query, body)
        if name == "kv-lease":
            self._ttl[answer["lease"]] = body["ttl_ms"] / 1000
            self._keep(answer["lease"])
        elif name.startswith("kv-keep/") and status == 200:
            self._keep(int(name.rpartition("/")[2]))
        return status, answer

    def _keep(self, lease):
        self._ends_at[lease] = self._clock() + self._ttl[lease]


async def _nowhere(message):
    return


class Entry:
    """Real process; its calls to the store pass a proxy of its own."""

    def __init__(self, name, directory, proxy, ports):
        self.name, self.proxy = name, proxy
        self.url = f"http://127.0.0.1:{ports[0]}"
        self._settings = directory / f"{name}.json"
        self._log = (directory / f"{name}.log").open("ab")
        self.process = None
        self.paused = False
        cfg = {
            "process": name,
            "data_centre": "dc1",
            "listen": {
                "callers": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
                "peers": f"127.0.0.1:{ports[2]}",
                "metrics": f"127.0.0.1:{ports[3]}",
            },
            "store": proxy.address,
            "advice": proxy.address,
            "cpu_share": 1.0,
            "max_hold_ms": 6000,
            "keep_s": 120,
            "grace_s": GRACE_S,
        }
        self._settings.write_text(json.dumps(cfg))

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "poplaryard", "entry", "--config", self._settings],
            env={"PYTHONPATH": str(_SOURCE), "PATH": "/usr/bin:/bin"},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    async def end(self, number):
        """End the process by a signal and return its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(number)
        try:
            return await asyncio.to_thread(self.process.wait, GRACE_S + 1.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return await asyncio.to_thread(self.process.wait)


class System:
    """All parts of one soak; `async with` starts and ends them."""

    def __init__(self, seed, directory, entries=3, workers=6):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.clock = lambda: loop.time() - began
        self.rng = random.Random(f"{seed}-faults")
        self.oracle = Oracle(self.clock)
        ports = own_ports(1 + workers + 4 * entries)
        rng = random.Random(f"{seed}-store")
        self.store = SoakStore(self.clock, rng, ports.pop())
        self.workers = make_workers(
            [ports.pop() for _ in range(workers)], self.oracle, seed, self.clock
        )
        self._entry_ports = ports
        self.worker_proxies = {}
        self.entries = []
        self.version = 1
        self.unplanned = 0
        self.unplanned_until = 0.0
        self._count = entries
        self._directory = directory
        self._tasks = []

    async def __aenter__(self):
        await self.store.start()
        self._tasks.append(asyncio.create_task(self.store.expire()))
        for worker in self.workers:
            await worker.server.start()
            proxy = Proxy(f"127.0.0.1:{worker.server.ports[0]}")
            await proxy.start()
            self.worker_proxies[worker.name] = proxy
            await self.register(worker)
        for number in range(self._count):
            proxy = Proxy(self.store.store_address)
            await proxy.start()
            mine = self._entry_ports[4 * number : 4 * number + 4]
            entry = Entry(f"e{number}", self._directory, proxy, mine)
            entry.start()
            self.entries.append(entry)
        await self.configure()
        return self

    async def __aexit__(self, *exc_info):
        for entry in self.entries:
            if entry.running:
                entry.process.kill()
                entry.process.wait()
            await entry.proxy.stop()
        for task in self._tasks:
            task.cancel()
        for proxy in self.worker_proxies.values():
            await proxy.stop()

    async def watch(self):
        """Notice entry processes that end by themselves, until cancelled."""
        while True:
            await asyncio.sleep(0.5)
            for entry in self.entries:
                code = entry.process.poll()
                if code is not None and code > 0:
                    self.oracle.violate("CRASH", f"{entry.name}: code {code}")
                    entry.start()

    def broken_off(self, entry, began, what):
        """Check an answer that ended early: only unplanned faults may do that."""
        if not self.unplanned and began > self.unplanned_until + STABLE_S:
            self.oracle.violate("LOST", f"{what} broken off by {entry.name}")

    async def register(self, worker):
        address = self.worker_proxies[worker.name].address
        await self.store.put(f"servers/{worker.name}", worker.entry(address))

    async def unregister(self, worker):
        key = f"servers/{worker.name}"
        await self.store.storage.commit(Transaction(removes=[key]))

    async def configure(self):
        """Write a new version of the configuration; one queue needs advice."""
        advice = {"decide_ms": 20, "each_ms": 1, "valid_ms": 2000}
        cfg = config(self.version)
        cfg["routes"].append(
            {**cfg["routes"][0], "name": "vision", "prefix": "/vision/"}
            | {"advice": advice, "priority": 1}
        )
        self.version += self.rng.randint(1, 3)
        await self.store.put("op/config", cfg)


__all__ = ["Entry", "SoakStore", "System"]
