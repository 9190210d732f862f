"""Simulated workers of the soak, with the rules for runs, leases and fencing."""

import asyncio
import json
import random

from poplaryard.server import HttpServer
from tests.platform.standin import read, respond
from tests.workload.fakes import LISTED_ENDS

# Lowest rate of a worker's clock that the requirements allow, relative to real time.
SLOWEST_CLOCK = 0.98
# Time for which a silent party withholds its answer, longer than any caller waits, in
# seconds.
SILENT_S = 60.0


class SoakWorker:
    """Simulated worker with a clock that may be slow.

    Attributes
    ----------
    cpu : int
        Capacity in millicores.
    up : bool
        Whether the worker answers.
    late_probability : float
        Probability that an order is executed seconds later and never answered.
    runs : dict
        End of each run by the soak's clock, its CPU and its result, by (task, run).
    """

    def __init__(self, name, rack, oracle, rng, clock, port):
        self.name, self.rack = name, rack
        self.cpu = 4000
        self.up = True
        self.late_probability = 0.0
        self._oracle = oracle
        self._rng = rng
        self._clock = clock
        self._clock_rate = rng.uniform(SLOWEST_CLOCK, 1.0)
        self.server = HttpServer(self._app, "127.0.0.1", port)
        self.restart()

    def restart(self):
        """Start a new instance, which knows nothing of earlier runs."""
        # The constructor calls this method before `runs` exists.
        for task, run in list(getattr(self, "runs", ())):
            self._oracle.ended(self, task, run, "lost")
        # Never 0, which stands for an unknown start time.
        self.born_ms = int(self._clock() * 1000) + 1
        self._started_at = self._clock()
        self.runs = {}
        self._ended = []
        self._seq = 0
        self._highest_fence = 0
        self._deadline = 0.0
        self._highest_runs = {}
        self.up = True

    def stop(self):
        """Lose all runs and stop answering, as a machine without power."""
        self.restart()
        self.up = False

    @property
    def used(self):
        return sum(cpu for _, cpu, _ in self.runs.values())

    def entry(self, address):
        """Return the worker's record in the store."""
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
        """Return the time since the start of this instance by the worker's clock."""
        return (self._clock() - self._started_at) * self._clock_rate

    def advance(self):
        """End the runs that are due, or all of them if the lease has lapsed."""
        now = self._clock()
        if self.runs and self.clock() > self._deadline:
            for key in list(self.runs):
                self._end(key, "lapsed")
        for key, (ends_at, _, result) in list(self.runs.items()):
            if now >= ends_at:
                self._end(key, result)

    def _end(self, key, result):
        del self.runs[key]
        self._seq += 1
        task, run = key
        self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
        self._ended.append((self._seq, task, run, result, "", self._clock()))
        self._oracle.ended(self, task, run, result)

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
        elif self._rng.random() < self.late_probability:
            born_ms = self.born_ms
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            # A restarted worker does not execute orders that it got before.
            if self.up and self.born_ms == born_ms:
                self.advance()
                self._order(call, body)
            await asyncio.sleep(SILENT_S)
            return
        else:
            status, answer = self._order(call, body)
        await respond(send, status, {"clock_ms": int(self.clock() * 1000), **answer})

    def _order(self, call, body):
        """Execute a start or stop order; return status and answer."""
        fence, task, run = body["fencing_token"], body["task"], body["run"]
        if fence < self._highest_fence:
            return 409, {"reason": "fence"}
        self._highest_fence = fence
        if call == "run-stop":
            if (task, run) in self.runs:
                self._end((task, run), "stopped")
            self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
            return 200, {}
        deadline = body["deadline_ms"] / 1000
        if (task, run) in self.runs:
            self._deadline = max(self._deadline, deadline)
            return 200, {}
        if run <= self._highest_runs.get(task, 0):
            return 409, {"reason": "old"}
        if self.clock() > deadline:
            return 409, {"reason": "late"}
        self._deadline = max(self._deadline, deadline)
        self._oracle.started(self, task, run, body["spec"])
        job = self._oracle.jobs.get(task.partition(".")[0])
        if job is not None:
            step = job.step_of(task)
            # A daemon runs until it is stopped.
            took_s = 1e9 if step.get("daemon") else step["estimate_ms"] / 1000
            result = "failed" if self._rng.random() < 0.03 else "done"
            self.runs[task, run] = (self._clock() + took_s, step["cpu"], result)
        return 200, {}

    async def _hold(self, body):
        """Extend the lease and answer once a run has ended or the wait is over."""
        if body["fencing_token"] < self._highest_fence:
            return 409, {"reason": "fence"}
        self._highest_fence = body["fencing_token"]
        self._deadline = max(self._deadline, body.get("deadline_ms", 0) / 1000)
        for seq, task, _, result, _, ended_at in self._ended:
            if seq <= body["ack_seq"]:
                self._oracle.acknowledged(task, result, ended_at)
        self._ended = [end for end in self._ended if end[0] > body["ack_seq"]]
        until = self._clock() + body.get("wait_ms", 0) / 1000
        while not self._ended and self._clock() < until:
            await asyncio.sleep(0.01)
            self.advance()
        # As in `RunningRun`: no checkpoint, and a progress of 10 percent.
        running = [[task, run, "", 10] for task, run in self.runs]
        finished = [list(end[:5]) for end in self._ended[:LISTED_ENDS]]
        return 200, {"born": self.born_ms, "running": running, "finished": finished}


def make_workers(ports, oracle, seed, clock):
    """Return a worker for each port, two in each rack, each with its own seed."""
    workers = []
    for number, port in enumerate(ports):
        rng = random.Random(f"{seed}-w{number}")
        name, rack = f"w{number}", f"r{number // 2}"
        workers.append(SoakWorker(name, rack, oracle, rng, clock, port))
    return workers
