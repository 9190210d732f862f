"""Starts the system's processes and the stand-ins of one case, and records events."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import store as store_module
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST, PREFIX, SERVICE = "desk.example", "/checks/", "booking-desk"
# Figures of the sheet and the site file of haddad-yard.
BOUNDS = {
    "stable_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_hold_ms": 10000,
    "stop_ms": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
}


class CannotRun(Exception):
    """Raised if the case could not be played."""


class Scene:
    """One small deployment on loopback addresses.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, for `record.txt`.
    delay_task : str
        Task whose first order is left unanswered; a later life of the executor, with
        the same id, carries it out when it starts.
    """

    def __init__(self, folder, entries=3, workers=8, per_rack=2, delay_task=""):
        self.began = time.time()
        self.rows = []
        self.runs = []
        self._folder = folder
        self._processes = {}
        self._tasks = []
        self._server = None
        self._temp = tempfile.TemporaryDirectory()
        self._count = entries, workers, per_rack
        self._delay_task = delay_task
        self.delayed = pathlib.Path(self._temp.name) / "delayed-order.json"
        # One entry more than at the start may be added.
        sockets = [socket.socket() for _ in range(1 + 4 * (entries + 1) + workers)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        self._ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        self.store_address = f"127.0.0.1:{self._ports.pop()}"
        self.store = store_module.Store(self.record)
        self.entries, self.workers = {}, {}

    def now(self):
        """Return seconds since the start of the scene."""
        return time.time() - self.began

    def record(self, who, text, at=None, **fields):
        moment = (time.time() if at is None else at) - self.began
        tail = " ".join(f"{k}={v}" for k, v in fields.items())
        self.rows.append((moment, f"{moment:8.3f}  {who:<12} {text} {tail}".rstrip()))

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            # `async with` does not call `__aexit__` then.
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        port = int(self.store_address.rpartition(":")[2])
        self._server = await store_module.start(self.store, port)
        self._tasks.append(asyncio.create_task(self.store.run()))
        entries, workers, per_rack = self._count
        config = {
            "version": 7,
            "routes": [
                {
                    "name": "checks",
                    "host": HOST,
                    "prefix": PREFIX,
                    "service": SERVICE,
                    "timeout_ms": 3000,
                    "priority": 0,
                    "attempts": 4,
                    "stretch": 1.5,
                    "target_duration_ms": 250,
                    "kind": "non_idempotent",
                }
            ],
            "services": [{"name": SERVICE, "admission_check": False}],
            "limits": {"max_body_bytes": 262144},
        }
        value = base64.b64encode(json.dumps(config).encode()).decode()
        self.store.put("op/config", value)
        for number in range(workers):
            zone, rack = "abc"[number % 3], number // per_rack
            self.workers[number] = {
                "port": self._ports.pop(),
                "zone": f"ajloun-{zone}",
                "rack": f"r{rack}",
                "life": 0,
            }
            await self.start_worker(number)
        for number in range(entries):
            self._start_entry(number)
        await self._wait_until_ready()

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        if self._server is not None:
            self._server.close()
        self._temp.cleanup()
        lines = [text for _, text in sorted(self.rows)]
        (self._folder / "record.txt").write_text("\n".join(lines) + "\n")

    # Processes

    async def start_worker(self, number, same_id=False):
        """Start an executor; a later life has a new id unless `same_id` is set."""
        info = self.workers[number]
        if not same_id or not info["life"]:
            info["life"] += 1
        info["id"] = f"i-{number}-{info['life']}"
        delay = ["--delay-task", self._delay_task, "--delayed", str(self.delayed)]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(LIB / "worker.py"),
            *("--id", info["id"], "--port", str(info["port"])),
            *("--store", self.store_address, "--service", SERVICE),
            *("--zone", info["zone"], "--rack", info["rack"]),
            *("--machine", f"m-{number}"),
            *(delay if self._delay_task else ()),
            stdout=subprocess.PIPE,
        )
        self._processes[f"worker {number}"] = process
        self._tasks.append(asyncio.create_task(self._read_worker(process, number)))

    async def _read_worker(self, process, number):
        while line := await process.stdout.readline():
            row = json.loads(line)
            if row["event"] == "start":
                run = {"worker": number, "life": row["who"], "from": row["at"]}
                self.runs.append(
                    {**run, "task": row["task"], "run": row["run"], "how": ""}
                )
            elif row["event"] == "end":
                for run in self.runs:
                    same = (run["task"], run["run"]) == (row["task"], row["run"])
                    if same and run["life"] == row["who"] and not run["how"]:
                        run["how"], run["to"] = row["how"], row["at"]
            fields = {k: v for k, v in row.items() if k not in ("at", "who", "event")}
            self.record(row["who"], row["event"], row["at"], **fields)

    async def kill_worker(self, number):
        """Kill an executor; its runs end with it."""
        info = self.workers[number]
        process = self._processes[f"worker {number}"]
        process.kill()
        await process.wait()
        at = time.time()
        self.record(info["id"], "killed (SIGKILL)", at)
        for run in self.runs:
            if run["life"] == info["id"] and not run["how"]:
                run["how"], run["to"] = "gone", at

    def cut_worker(self, number, cut):
        """Cut an executor off from all others, or end the cut; it runs on."""
        signum = signal.SIGUSR1 if cut else signal.SIGUSR2
        self._processes[f"worker {number}"].send_signal(signum)

    def add_entry(self):
        """Start an entry on a machine with a new name and address."""
        self._start_entry(len(self.entries))

    def _start_entry(self, number):
        name = f"edge-ajloun-{'abc'[number % 3]}-{number // 3 + 1}"
        front, ready, peers, metrics = (self._ports.pop() for _ in range(4))
        settings = {
            "process": name,
            "data_centre": f"ajloun-{'abc'[number % 3]}",
            "listen": {
                "callers": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "peers": f"127.0.0.1:{peers}",
                "metrics": f"127.0.0.1:{metrics}",
            },
            "store": self.store_address,
            "advice": self.store_address,
            "cpu_share": 0.537,
            "core_speed": 2,
            "link_mbps": 1000.0,
            "max_hold_ms": BOUNDS["max_hold_ms"],
            "keep_s": BOUNDS["status_s"],
            "early_ms": BOUNDS["early_ms"],
            "grace_s": BOUNDS["grace_s"],
            "bounds": BOUNDS,
            "log_level": "info",
        }
        path = pathlib.Path(self._temp.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(pathlib.Path(self._temp.name) / f"{name}.log", "wb")
        self.entries[number] = {
            "name": name,
            "front": f"127.0.0.1:{front}",
            "ready": f"127.0.0.1:{ready}",
            "log": log.name,
        }
        # The run line of deploy/system.toml, with target/deps on Python's path.
        process = subprocess.Popen(
            ["python3", "-m", "poplaryard", "entry"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": self._temp.name,
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "POPLARYARD_BOOT": str(path),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self._processes[name] = _Popen(process)
        self.record(name, "started")

    def signal_entry(self, number, signum):
        name = self.entries[number]["name"]
        self._processes[name].send_signal(signum)
        self.record(name, f"gets {signal.Signals(signum).name}")

    async def _wait_until_ready(self):
        """Wait until all entries are ready and the service has an owner."""
        deadline = time.monotonic() + 25
        for entry in self.entries.values():
            while True:
                path = "/poplaryard/readyz"
                status, _ = await wire.call(entry["ready"], "GET", path, timeout_s=1.0)
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f"{entry['name']} is not ready")
                await asyncio.sleep(0.1)
        while time.monotonic() < deadline:
            if self.store.get(f"owner/{SERVICE}") and self._all_served():
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the service has no owner")

    def _all_served(self):
        text = self.store.get(f"workers/{SERVICE}")
        return text is not None and len(json.loads(text)) >= len(self.workers)

    async def kill_entry(self, number):
        """Kill an entry for good."""
        name = self.entries[number]["name"]
        self._processes[name].kill()
        await self._processes[name].wait()
        self.record(name, "killed (SIGKILL), and does not come back")

    def owner(self):
        """Return the number of the entry that owns the service."""
        claim = json.loads(self.store.get(f"owner/{SERVICE}"))
        names = {entry["name"]: n for n, entry in self.entries.items()}
        return names[claim["process"]]

    # Clients

    async def request(self, entry, method, job_id, body=None, timeout_s=3.0):
        """Make a client's call; return status and body (status 0: no answer)."""
        info = self.entries[entry]
        label = f"{method} {job_id} at {info['name']}"
        self.record("client", f"sends {label}")
        headers = {"host": HOST, "x-deadline-ms": str(int(timeout_s * 1000))}
        status, answer = await wire.call(
            info["front"], method, PREFIX + job_id, body, headers, timeout_s
        )
        self.record("client", f"{status or 'no answer'} for {label}", body=answer)
        return status, answer

    async def submit(self, job_id, steps, work_s, entry=0, tries=4):
        """Hand a job in as a client does, with retries at other entries."""
        body = {"spec": json.dumps({"work_s": work_s}), "steps": steps}
        for number in range(tries):
            target = (entry + number) % len(self.entries)
            status, _ = await self.request(target, "POST", job_id, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job_id, entry=0):
        for number in range(8):
            target = (entry + number) % len(self.entries)
            status, answer = await self.request(target, "GET", job_id)
            if status in (200, 410):
                return answer["state"] if status == 200 else "410"
            await asyncio.sleep(0.3)
        return "no answer"

    def runs_of(self, job_id):
        return [run for run in self.runs if run["task"].startswith(job_id)]


class _Popen:
    """Entry process with the methods that `Scene` uses of its other processes."""

    def __init__(self, process):
        self._process = process

    @property
    def returncode(self):
        return self._process.poll()

    def send_signal(self, signum):
        self._process.send_signal(signum)

    def kill(self):
        self._process.kill()

    async def wait(self):
        return await asyncio.to_thread(self._process.wait)


def play(case):
    """Run `case(TROUBLE)` and exit with its verdict: 0 held, 1 broken, 2 cannot run."""

    async def limited():
        async with asyncio.timeout(115):
            return await case(TROUBLE)

    try:
        verdict = asyncio.run(limited())
    except (CannotRun, TimeoutError) as exc:
        print(f"cannot run: {exc!r}")
        sys.exit(CANNOT_RUN)
    sys.exit(verdict)
