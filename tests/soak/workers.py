"""Workers of the soak: the platform's rules for runs, leases and fences."""

import asyncio
import json
import random

from poplaryard.server import HttpServer
from tests.platform.standin import read, respond

# The slowest steady clock that the pages allow.
SLOWEST_CLOCK = 0.98
# Longer than any caller waits, in seconds.
SILENT_S = 60.0


class SoakWorker:
    """Worker behind one address.

    ``late`` is the share of orders that are carried out seconds later, unanswered.
    """

    def __init__(self, name, rack, oracle, rng, clock, port):
        self.name, self.rack = name, rack
        self.cpu = 4000
        self.up = True
        self.late = 0.0
        self._oracle = oracle
        self._rng = rng
        self._clock = clock
        self._rate = rng.uniform(SLOWEST_CLOCK, 1.0)
        self.server = HttpServer(self._app, "127.0.0.1", port)
        self.restart()

    def restart(self):
        """Begin a new life: nothing of before is known."""
        for task, run in list(getattr(self, "runs", ())):
            self._oracle.ended(self, task, run, "lost")
        self.born_ms = int(self._clock() * 1000) + 1
        self._boot = self._clock()
        self.runs = {}
        self._ended = []
        self._seq = 0
        self._fence = 0
        self._deadline = 0.0
        self._highest = {}
        self.up = True

    def stop(self):
        """Fall silent for good, as a machine without power."""
        self.restart()
        self.up = False

    @property
    def used(self):
        return sum(cpu for _, cpu, _ in self.runs.values())

    def entry(self, address):
        """Return what the worker writes of itself in the store."""
        return {
            "service": "desk",
            "address": address,
            "zone": "dc1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "room": {"cpu": self.cpu, "mem_mb": 8000, "gpu": 0},
            "labels": ["a", self.rack],
            "seq": 1,
            "born": self.born_ms,
        }

    def clock(self):
        return (self._clock() - self._boot) * self._rate

    def advance(self):
        """End what has run out, and everything once the lease has lapsed."""
        now = self._clock()
        if self.runs and self.clock() > self._deadline:
            for key in list(self.runs):
                self._end(key, "lapsed")
        for key, (ends_at, _, how) in list(self.runs.items()):
            if now >= ends_at:
                self._end(key, how)

    def _end(self, key, how):
        del self.runs[key]
        self._seq += 1
        task, run = key
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._ended.append((self._seq, task, run, how, "", self._clock()))
        self._oracle.ended(self, task, run, how)

    async def _app(self, scope, receive, send):
        body = json.loads(await read(receive))
        call = scope["path"].rpartition("/")[2]
        headers = dict(scope["headers"])
        if not self.up:
            await asyncio.sleep(SILENT_S)
        if headers.get(b"x-expect-instance", b"").decode() != self.name:
            await respond(send, 421, {})
            return
        self.advance()
        if call == "hold":
            status, answer = await self._hold(body)
        elif self._rng.random() < self.late:
            life = self.born_ms
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            # A worker that crashed meanwhile carries nothing of before out.
            if self.up and self.born_ms == life:
                self.advance()
                self._order(call, body)
            await asyncio.sleep(SILENT_S)
            return
        else:
            status, answer = self._order(call, body)
        await respond(send, status, {"clock_ms": int(self.clock() * 1000), **answer})

    def _order(self, call, body):
        fence, task, run = body["fencing_token"], body["task"], body["run"]
        if fence < self._fence:
            return 409, {"reason": "fence"}
        self._fence = fence
        if call == "run-stop":
            if (task, run) in self.runs:
                self._end((task, run), "stopped")
            self._highest[task] = max(run, self._highest.get(task, 0))
            return 200, {}
        deadline = body["deadline_ms"] / 1000
        if (task, run) in self.runs:
            self._deadline = max(self._deadline, deadline)
            return 200, {}
        if run <= self._highest.get(task, 0):
            return 409, {"reason": "old"}
        if self.clock() > deadline:
            return 409, {"reason": "late"}
        self._deadline = max(self._deadline, deadline)
        self._oracle.started(self, task, run, body["spec"])
        job = self._oracle.jobs.get(task.partition(".")[0])
        if job is not None:
            step = job.step_of(task)
            took_s = 1e9 if step.get("daemon") else step["estimate_ms"] / 1000
            how = "failed" if self._rng.random() < 0.03 else "done"
            self.runs[task, run] = (self._clock() + took_s, step["cpu"], how)
        return 200, {}

    async def _hold(self, body):
        if body["fencing_token"] < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body["fencing_token"]
        self._deadline = max(self._deadline, body.get("deadline_ms", 0) / 1000)
        for seq, task, _, how, _, ended_at in self._ended:
            if seq <= body["ack_seq"]:
                self._oracle.noted(task, how, ended_at)
        self._ended = [end for end in self._ended if end[0] > body["ack_seq"]]
        until = self._clock() + body.get("wait_ms", 0) / 1000
        while not self._ended and self._clock() < until:
            await asyncio.sleep(0.01)
            self.advance()
        running = [[task, run, "", 10] for task, run in self.runs]
        finished = [list(end[:5]) for end in self._ended]
        return 200, {"born": self.born_ms, "running": running, "finished": finished}


def make_workers(ports, oracle, seed, clock):
    """Return a worker for each port, two a rack, each with its own source of chance."""
    workers = []
    for number, port in enumerate(ports):
        rng = random.Random(f"{seed}-w{number}")
        name, rack = f"w{number}", f"r{number // 2}"
        workers.append(SoakWorker(name, rack, oracle, rng, clock, port))
    return workers
