"""Stand-in of one executor, a process of its own (PROTOCOL.md, "Running tasks").

The text `spec` of a job is JSON here: {"work_s": [...]}, the run time of a task by step.
Every start and end of a run goes to standard output as a line of JSON.
"""

import argparse
import asyncio
import base64
import json
import pathlib
import signal
import sys
import time

import wire

LISTED_ENDS = 500
BEAT_S = 1.5
STOP_S = 0.05


class Worker:
    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self._started = time.monotonic()
        self.runs = {}
        self.ended = []
        self.seq = 0
        self.fence = 0
        self.deadline = 0.0
        self.highest = {}
        self.cut = False
        self._changed = asyncio.Event()

    def clock(self):
        """Return the time since the start on a clock that is 1% slow."""
        return (time.monotonic() - self._started) * 0.99

    def clock_ms(self):
        return int(self.clock() * 1000)

    def log(self, event, **fields):
        row = {"at": time.time(), "who": self.args.id, "event": event, **fields}
        print(json.dumps(row), flush=True)

    def grant(self, deadline_ms):
        most = self.clock() + self.args.max_hold_s
        self.deadline = max(self.deadline, min(deadline_ms / 1000, most))

    def end(self, key, how):
        del self.runs[key]
        self.seq += 1
        task, run = key
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended.append([self.seq, task, run, how, ""])
        self.log("end", task=task, run=run, how=how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for key, run in list(self.runs.items()):
                if self.clock() > self.deadline:
                    self.end(key, "lapsed")
                elif time.monotonic() >= run["ends"]:
                    self.end(key, "done")

    async def beat(self):
        """Register in the store under a lease of three heartbeat intervals."""
        lease, seq = 0, 0
        while True:
            seq += 1
            if lease:
                status, _ = await self._store(f"kv-keep/{lease}", {})
                lease = 0 if status == 404 else lease
            if not lease:
                ttl_ms = int(3000 * BEAT_S)
                status, body = await self._store("kv-lease", {"ttl_ms": ttl_ms})
                lease = body["lease"] if status == 200 else 0
            if lease:
                text = json.dumps(self.entry(seq)).encode()
                value = base64.b64encode(text).decode()
                key = f"servers/{self.args.id}"
                puts = [{"key": key, "value": value, "lease": lease}]
                await self._store("kv-txn", {"puts": puts})
            await asyncio.sleep(BEAT_S)

    async def _store(self, name, body):
        if self.cut:
            return 0, None
        path = f"/poplaryard/{name}"
        return await wire.call(self.args.store, "POST", path, body, timeout_s=1.0)

    def entry(self, seq):
        args = self.args
        return {
            "service": args.service,
            "address": f"127.0.0.1:{args.port}",
            "zone": args.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "remaining_cold_ms": 0,
            "seq": seq,
            "room": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", args.rack],
            "machine": args.machine,
            "clock_ms": self.clock_ms(),
            "born": self.born,
        }

    def set_cut(self, cut):
        """Begin or end a cut: calls get no answer, and heartbeats stop."""
        self.cut = cut
        self.log("is cut off" if cut else "is reached again")

    async def handle(self, req):
        answer = None if self.cut else await self.carry_out(req)
        return None if self.cut else answer

    async def carry_out(self, req):
        name = req.path.removeprefix("/poplaryard/")
        body = req.json()
        if req.headers.get("x-expect-instance") not in (None, self.args.id):
            return 421, {}
        if body["fencing_token"] < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body["fencing_token"]
        if name == "run-start":
            if self.delays(body):
                return None
            return self.start(body)
        if name == "run-stop":
            return self.stop(body)
        if name == "hold":
            return await self.hold(body)
        return 404, {}

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def delays(self, body):
        """Leave the first order for a task unanswered and hand it to a later life."""
        path = self.args.delayed and pathlib.Path(self.args.delayed)
        if not path or body["task"] != self.args.delay_task or path.exists():
            return False
        path.write_text(json.dumps({"to": self.args.id, "body": body}))
        self.log("leaves an order unanswered", task=body["task"], run=body["run"])
        return True

    def take_delayed(self):
        """Carry out the order that was sent to the life before, if it is for this id."""
        path = self.args.delayed and pathlib.Path(self.args.delayed)
        if not path or not path.exists():
            return
        order = json.loads(path.read_text())
        if order["to"] == self.args.id:
            self.log("carries out a delayed order", run=order["body"]["run"])
            self.fence = max(self.fence, order["body"]["fencing_token"])
            self.start(order["body"])

    def start(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            self.grant(body["deadline_ms"])
            return self.answer(200)
        if run <= self.highest.get(task, 0):
            self.grant(body["deadline_ms"])
            return self.answer(409, reason="old")
        if self.clock_ms() > body["deadline_ms"]:
            return self.answer(409, reason="late")
        self.grant(body["deadline_ms"])
        step = int(task.split(".")[2])
        work_s = json.loads(body["spec"])["work_s"][step]
        began = time.monotonic()
        self.runs[task, run] = {"began": began, "ends": began + work_s, "s": work_s}
        self.log("start", task=task, run=run, token=body["fencing_token"])
        return self.answer(200)

    def stop(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            self.end((task, run), "stopped")
        self.highest[task] = max(run, self.highest.get(task, 0))
        return self.answer(200)

    async def hold(self, body):
        self.ended = [row for row in self.ended if row[0] > body["ack_seq"]]
        if "deadline_ms" in body:
            self.grant(body["deadline_ms"])
        until = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int(100 * (now - x["began"]) / x["s"])), 0]
            for (task, run), x in self.runs.items()
        ]
        return self.answer(200, running=running, finished=self.ended[:LISTED_ENDS])


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "store", "service", "zone", "rack", "machine"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--delay-task", default="")
    parser.add_argument("--delayed", default="")
    parser.add_argument("--max-hold-s", type=float, default=10.0)
    worker = Worker(parser.parse_args())
    worker.log("up", born=worker.born)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, worker.set_cut, True)
    loop.add_signal_handler(signal.SIGUSR2, worker.set_cut, False)
    # The delayed order arrives first.
    worker.take_delayed()
    server = await wire.serve(worker.handle, worker.args.port)
    async with server:
        await asyncio.gather(worker.tick(), worker.beat())


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        sys.exit(0)
