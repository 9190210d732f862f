"""Stand-ins for the platform's store, executors and clients, and the entry processes.

Only the standard library is used. Everything listens on loopback addresses, each entry
process on an address of its own, since the metrics port of the deploy file is fixed.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Answer of a handler that never answers.
SILENT = object()
# Answer of a handler that resets the connection.
RESET = object()
# Bounds of kestrel-yard (SYSTEM.md).
BOUNDS = {
    "stable_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_hold_ms": 6000,
    "stop_ms": 400,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "status_s": 120,
    "finish_s": 14,
    "recovery_s": 12,
}
HEARTBEAT_S = 1.5
# Time of an answer of the store, in seconds (SYSTEM.md: 4 ms).
STORE_S = 0.004


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f}  {text}\n")


class Server:
    """HTTP/1.1 server of one address."""

    def __init__(self, handler, host="127.0.0.1", port=0):
        self.handler, self.host, self.port = handler, host, port
        self._writers = set()
        self._tasks = set()
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Refuse connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(method, target, headers, body)
                if answer is SILENT:
                    await asyncio.sleep(3600)
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, value = answer
                content = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


class Store:
    """The platform's store. Each entry process calls it at an address of its own.

    Attributes
    ----------
    modes : dict
        By process: "ok", "busy" (503), "silent" or "reset".
    slow : float
        Factor on the time of an answer.
    """

    def __init__(self, record):
        self._record = record
        self.revision = 1
        self.items = {}
        self._events = []
        self._leases = {}
        self._changed = asyncio.Event()
        self._beats = {}
        self.modes = {}
        self.slow = 1.0
        self.servers = {}
        # Called with (process, method, path, body, status) after each call.
        self.on_call = lambda *call: None

    async def listen(self, process):
        self.modes[process] = "ok"

        async def handler(method, target, headers, body):
            return await self._answer(process, method, target, body)

        server = Server(handler)
        await server.start()
        self.servers[process] = server
        return server.address

    def set_mode(self, mode, *processes):
        for process in processes or list(self.modes):
            self.modes[process] = mode
            if mode == "reset":
                self.servers[process].reset()

    async def expire(self):
        """End leases that were not renewed in time, also while the store is down."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, until) in list(self._leases.items()):
                if now > until:
                    self.end_lease(lease)
            for name, written_at in list(self._beats.items()):
                if now > written_at + 3 * HEARTBEAT_S:
                    self._record(f"store: the entry of {name} expires")
                    del self._beats[name]
                    self.remove(f"servers/{name}")

    def end_lease(self, lease):
        self._leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self._record(f"store: lease {lease} ends; removes {' '.join(gone)}")
            self.revision += 1
            for key in gone:
                del self.items[key]
                self._event({"key": key, "rev": self.revision, "deleted": True})

    def put(self, key, value, lease=0):
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def beat(self, name, entry):
        """Write the entry of an executor, which goes after three heartbeats of silence."""
        self._beats[name] = time.monotonic()
        self.put_json(f"servers/{name}", entry)

    def leave(self, name):
        self._beats.pop(name, None)
        self.remove(f"servers/{name}")

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._event({"key": key, "rev": self.revision, "deleted": True})

    def text(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    def _put(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        item = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._event(item)

    def _event(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _answer(self, process, method, target, body):
        parts = urlsplit(target)
        name = parts.path.removeprefix("/poplaryard/")
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        found = self._check(process)
        if found is not None:
            return found
        await asyncio.sleep(STORE_S * self.slow / 2)
        found = self._check(process)
        if found is not None:
            return found
        value = json.loads(body) if body else {}
        status, answer = await self._call(process, method, name, query, value)
        await asyncio.sleep(STORE_S * self.slow / 2)
        prefix = f" {query['prefix']}" if "prefix" in query else ""
        self.on_call(process, method, name + prefix, value, status)
        # The call was executed: its answer is lost, and never a refusal.
        return (status, answer) if self.modes[process] == "ok" else SILENT

    def _check(self, process):
        return {"busy": (503, {}), "silent": SILENT, "reset": RESET}.get(
            self.modes[process]
        )

    async def _call(self, process, method, name, query, body):
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"at": self.revision})
        if name == "kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            )
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "truncated": more, "at": self.revision}
        if name == "kv-watch":
            return await self._watch(process, query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            lease = random.getrandbits(47)
            ttl_s = body["ttl_ms"] / 1000
            self._leases[lease] = ttl_s, time.monotonic() + ttl_s
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if name.startswith("kv-keep/"):
            lease = int(name.removeprefix("kv-keep/"))
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][0]
            self._leases[lease] = ttl_s, time.monotonic() + ttl_s
            return 200, {}
        if name.startswith("kv-lease-end/") and method == "DELETE":
            lease = int(name.removeprefix("kv-lease-end/"))
            if lease not in self._leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 400, {}

    async def _watch(self, process, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            found = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0 or self.modes[process] != "ok":
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.1))
            except TimeoutError:
                pass

    def _transact(self, body):
        if len(body["expected"]) + len(body["puts"]) + len(body["remove"]) > 32:
            return 400, {}
        present = [(row, self.items.get(row["key"])) for row in body["expected"]]
        if any((item["rev"] if item else 0) != row["rev"] for row, item in present):
            return 412, {"items": [item for _, item in present if item]}
        for row in body["puts"]:
            if row["lease"] and row["lease"] not in self._leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        self.revision += 1
        for row in body["puts"]:
            self._put(row["key"], row["value"], row["lease"])
        for key in body["remove"]:
            if self.items.pop(key, None) is not None:
                self._event({"key": key, "rev": self.revision, "deleted": True})
        return 200, {"rev": self.revision}


class Work:
    """What the executors know of the tasks: how long they take, and how they end."""

    def __init__(self, record):
        self._record = record
        self.seconds = {}
        # (task, run, executor, time, kind of the executor) of each start.
        self.starts = []
        # (task, run, executor, time, how) of each end.
        self.ends = []
        # (task, run) of the ends that a call has acknowledged.
        self.noted = set()

    def started(self, executor, task, run):
        self.starts.append((task, run, executor, self._record.now(), executor.kind))
        self._record(f"{executor.name}: starts {task} run {run} (kind {executor.kind})")

    def ended(self, executor, task, run, how):
        self.ends.append((task, run, executor, self._record.now(), how))
        self._record(f"{executor.name}: {task} run {run} ends: {how}")


class Executor:
    """One executor, with the rules of PROTOCOL.md for runs, leases and fencing."""

    def __init__(self, record, store, work, number, *, kind="a", room=None, service="desk"):
        self._record, self._store, self._work = record, store, work
        self.number, self.kind, self.service = number, kind, service
        self.room = room or {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
        self.rack = f"r{number // 3}"
        self.server = Server(self._handle)
        self.up = False
        self.dark = False
        self.name = ""
        self.state = "ready"
        self._beat_task = None

    async def start(self, name=None):
        """Begin a life; a new id unless one is given."""
        self.name = name or f"x-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._runs = {}
        self._finished = []
        self._seq = 0
        self._fence = 0
        self._deadline = 0.0
        self._highest = {}
        self._beats = 0
        self._ended = asyncio.Event()
        await self.server.start()
        self.up = True
        self._record(f"{self.name}: up at {self.server.address}, kind {self.kind}")
        self._beat_task = asyncio.create_task(self._beat())

    def crash(self):
        """Lose everything; connections are refused until the next start."""
        self._record(f"{self.name}: crashes")
        self.up = False
        self._beat_task.cancel()
        self.server.stop()
        for task, (run, _) in list(self._runs.items()):
            self._work.ended(self, task, run, "gone")
        self._runs = {}

    def drain(self):
        """Say that it will leave."""
        self._record(f"{self.name}: is draining")
        self.state = "draining"
        self._beat_task.cancel()
        self._beat_task = asyncio.create_task(self._beat())

    def leave(self):
        """Exit, with all that runs."""
        self._record(f"{self.name}: leaves")
        self._store.leave(self.name)
        self.crash()

    def cut(self):
        """Reset all connections and refuse new ones; reach nobody, and run on."""
        self._record(f"{self.name}: is cut off, and runs on")
        self._beat_task.cancel()
        self.server.stop()

    async def heal(self):
        self._record(f"{self.name}: is no longer cut off")
        await self.server.start()
        self._beat_task = asyncio.create_task(self._beat())

    def go_dark(self):
        """Lose power for good: nothing runs, and nothing is answered any more."""
        self._record(f"{self.name}: loses power")
        self.up = False
        self.dark = True
        self._beat_task.cancel()
        for task, (run, _) in list(self._runs.items()):
            self._work.ended(self, task, run, "gone")
        self._runs = {}

    async def _beat(self):
        """Write the entry at the start and every heartbeat; it goes after three."""
        while True:
            self._beats += 1
            entry = {
                "service": self.service,
                "address": self.server.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "remaining_cold_ms": 0,
                "seq": self._beats,
                "room": self.room,
                "labels": [self.kind, self.rack],
                "born": self.born,
                "machine": f"m{self.number}",
            }
            if self.state == "draining":
                entry["remaining_ms"] = BOUNDS["drain_ms"]
            self._store.beat(self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def running(self):
        self._advance()
        return dict(self._runs)

    def _clock_ms(self):
        return int((time.monotonic() - self._began) * 1000)

    def _advance(self):
        now = time.monotonic()
        if self._runs and self._clock_ms() > self._deadline:
            for task in list(self._runs):
                self._end(task, "lapsed")
        for task, (_, ends_at) in list(self._runs.items()):
            if now >= ends_at:
                self._end(task, "done")

    def _end(self, task, how):
        run, _ = self._runs.pop(task)
        self._seq += 1
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._finished.append([self._seq, task, run, how, ""])
        self._work.ended(self, task, run, how)
        self._ended.set()

    async def _handle(self, method, target, headers, body):
        if self.dark:
            return SILENT
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        self._advance()
        value = json.loads(body)
        if value["fencing_token"] < self._fence:
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        self._fence = value["fencing_token"]
        call = target.removeprefix("/poplaryard/")
        if call == "run-start":
            status, answer = self._start(value)
        elif call == "run-stop":
            status, answer = self._stop(value)
        elif call == "hold":
            status, answer = await self._hold(value)
        else:
            return 404, {}
        if self.dark:
            return SILENT
        return status, {"clock_ms": self._clock_ms(), "born": self.born} | answer

    def _lease(self, deadline_ms):
        longest = self._clock_ms() + BOUNDS["max_hold_ms"]
        self._deadline = max(self._deadline, min(deadline_ms, longest))

    def _start(self, value):
        task, run = value["task"], value["run"]
        if task in self._runs and self._runs[task][0] == run:
            self._lease(value["deadline_ms"])
            return 200, {}
        if run <= self._highest.get(task, 0) or task in self._runs:
            self._lease(value["deadline_ms"])
            return 409, {"reason": "old"}
        if self._clock_ms() > value["deadline_ms"]:
            return 409, {"reason": "late"}
        self._lease(value["deadline_ms"])
        seconds = self._work.seconds.get(task.split(".")[0], 1.0)
        self._runs[task] = run, time.monotonic() + seconds
        self._work.started(self, task, run)
        return 200, {}

    def _stop(self, value):
        task, run = value["task"], value["run"]
        if task in self._runs and self._runs[task][0] == run:
            self._end(task, "stopped")
        self._highest[task] = max(run, self._highest.get(task, 0))
        return 200, {}

    async def _hold(self, value):
        born = self.born
        if "deadline_ms" in value:
            self._lease(value["deadline_ms"])
        for row in self._finished:
            if row[0] <= value["ack_seq"]:
                self._work.noted.add((row[1], row[2]))
        self._finished = [row for row in self._finished if row[0] > value["ack_seq"]]
        until = time.monotonic() + value.get("wait_ms", 0) / 1000
        while not (self._finished or self.dark) and time.monotonic() < until and born == self.born:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), 0.01)
            except TimeoutError:
                pass
            self._advance()
        now = time.monotonic()
        running = []
        for task, (run, ends_at) in self._runs.items():
            seconds = self._work.seconds.get(task.split(".")[0], 1.0)
            left = max(0.0, ends_at - now)
            percent = 100 if seconds > 1000 else int(100 - 100 * left / seconds)
            running.append([task, run, "", percent, 0])
        return 200, {"running": running, "finished": self._finished[:500]}


class Entry:
    """An entry process, started as the deploy file says."""

    def __init__(self, record, store, folder, number, zones, host_prefix):
        self._record = record
        self.name = f"edge-{zones[number % len(zones)]}-{number}"
        self.zone = zones[number % len(zones)]
        self._zones = zones
        self._store, self._folder = store, folder
        self.host = f"{host_prefix}.{number + 1}"
        self.process = None

    async def prepare(self):
        store = await self._store.listen(self.name)
        ports = free_ports(self.host, 6)
        self.front, self.ready = ports[0], ports[1]
        fields = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.host,
            "listen_addrs": {
                "front": f"{self.host}:{ports[0]}",
                "ready": f"{self.host}:{ports[1]}",
            },
            "port_range": [ports[2], ports[2] + 15],
            "platform": {"address": store},
            "advice": store,
            "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        self.peer_address = f"{self.host}:{ports[2]}"
        template = (ROOT / "deploy/settings.json.in").read_text()
        self.settings = self._folder / f"{self.name}.json"
        self.settings.write_text(render(template, fields))

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        words = role["run"].split()
        words[0] = shutil.which(words[0])
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                "HOME": str(self._folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "POPLARYARD_BOOT": str(self.settings),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self._record(f"{self.name}: started, process {self.process.pid}")

    def signal(self, signum):
        self._record(f"{self.name}: gets {signal.Signals(signum).name}")
        self.process.send_signal(signum)
        if signum == signal.SIGKILL:
            self.process.wait()

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    async def call(self, method, path, body=None, timeout=3.0):
        """Send a client's request; return (status, body), or (0, reason)."""
        try:
            status, value = await asyncio.wait_for(
                self._send(self.front, method, path, body, timeout), timeout
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            status, value = 0, type(exc).__name__
        self._record(f"client: {method} {path} to {self.name}: {status} {value}")
        return status, value

    async def _send(self, port, method, path, body, timeout):
        reader, writer = await asyncio.open_connection(self.host, port)
        try:
            content = json.dumps(body).encode() if body is not None else b""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
                f"Content-Type: application/json\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode() + content
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            size = re.search(r"content-length: *(\d+)", head, re.I)
            value = await reader.readexactly(int(size.group(1)) if size else 0)
            return status, value.decode()
        finally:
            writer.close()


def free_ports(host, count):
    """Return ports that nobody listens on; the last ones are in a row."""
    while True:
        base = random.randrange(20000, 58000)
        try:
            socks = []
            for port in range(base, base + count):
                sock = socket.socket()
                sock.bind((host, port))
                socks.append(sock)
            return [sock.getsockname()[1] for sock in socks]
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


def render(template, fields):
    """Fill in the placeholders of the settings template (DEPLOY.md)."""

    def value_of(match):
        path, _, form = match.group(1).partition("|")
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, template)


def route(name="checks", prefix="/checks/", **fields):
    return {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "service": "desk",
        "timeout_ms": 3000,
        "kind": "non_idempotent",
        "priority": 0,
        "attempts": 3,
        "stretch": 2.0,
        "target_duration_ms": 250,
    } | fields


def config(version, *routes):
    return {
        "version": version,
        "routes": list(routes) or [route()],
        "services": [{"name": "desk", "admission_check": False}],
        "limits": {"max_body_bytes": 262144},
    }


class Deployment:
    """Store, executors and entry processes of one case."""

    def __init__(self, record, entries=3, executors=7, kinds="a", room=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store(record)
        self.work = Work(record)
        zones = ["z1", "z2", "z3"]
        prefix = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self.entries = [
            Entry(record, self.store, self.folder, number, zones, prefix)
            for number in range(entries)
        ]
        self.executors = [
            Executor(
                record,
                self.store,
                self.work,
                number,
                kind=kinds[number % len(kinds)],
                room=room,
            )
            for number in range(executors)
        ]
        self._tasks = []

    async def __aenter__(self):
        self._tasks.append(asyncio.create_task(self.store.expire()))
        self.store.put_json("op/config", config(1))
        for executor in self.executors:
            await executor.start()
        for entry in self.entries:
            await entry.prepare()
        for entry in self.entries:
            entry.start()
        await asyncio.sleep(5.0)
        return self

    async def __aexit__(self, *exc_info):
        for entry in self.entries:
            if entry.running:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        for task in self._tasks:
            task.cancel()
        if os.environ.get("KEEP"):
            self.record(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def owner(self, group="desk"):
        """Return the entry process whose claim the store holds, or None."""
        text = self.store.text(f"owner/{group}")
        name = json.loads(text)["process"] if text else None
        return next((entry for entry in self.entries if entry.name == name), None)

    async def submit(self, entry, body, seconds=1.0, prefix="/checks/", job_id=None):
        """Hand a job in until it is accepted; return its id, or None."""
        job_id = job_id or f"{random.getrandbits(64):016x}"
        self.work.seconds[job_id] = seconds
        for _ in range(5):
            status, _ = await entry.call("POST", prefix + job_id, body)
            if status == 200:
                return job_id
            await asyncio.sleep(0.3)
        return None

    async def state(self, entry, job_id, prefix="/checks/"):
        status, text = await entry.call("GET", prefix + job_id)
        return json.loads(text).get("state") if status == 200 else f"status {status}"


def main(folder, scenario, trouble, name="record.txt"):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if neither."""
    record = Record(pathlib.Path(folder) / name)
    record(f"trouble: {trouble}")

    async def limited():
        return await asyncio.wait_for(scenario(record, trouble), 110)

    try:
        code = asyncio.run(limited())
    except Exception as exc:  # The case could not run.
        record(f"could not run: {exc!r}")
        code = 2
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[code])
    raise SystemExit(code)
