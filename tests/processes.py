"""Real processes on free ports, and callers that retry with their request ids."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from poplaryard.client import HttpClient
from poplaryard.clock import SystemClock
from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError
from tests.ports import reserve_ports

CALLER_KEY = "caller-key-1"
OPERATOR_KEY = "operator-key-1"
WORKERS = 4
# A test that reaches this timeout or `ANSWER_TIMEOUT_S` fails; none passes by waiting
# for one of them to end.
READY_TIMEOUT_S = 30.0
SUBMIT_INTERVAL_S = 0.025
ANSWER_TIMEOUT_S = 60.0

_clock = SystemClock()
_SOURCE = pathlib.Path(__file__).parent.parent / "src"


class Processes:
    """Subprocesses of one data centre.

    They are stand-ins for the platform and four workers, and the entry processes.
    """

    def __init__(self, entries=3, shards=3):
        self.directory = tempfile.TemporaryDirectory()
        ports = reserve_ports(1 + entries + 1)
        self.platform = f"127.0.0.1:{ports[0]}"
        self.addresses = [f"127.0.0.1:{port}" for port in ports[1:-1]]
        self.shards = shards
        self.workers = {}
        self.running = {}
        self.client = HttpClient(256, CALLER_KEY)
        self.operator = HttpClient(4, OPERATOR_KEY)
        self._standins = []

    async def __aenter__(self):
        port = self.platform.rpartition(":")[2]
        self._standins.append(self._spawn("standin", "platform", "--port", port))
        worker = self._spawn("standin", "worker", "--count", str(WORKERS), pipe=True)
        self._standins.append(worker)
        for _ in range(WORKERS):
            name, address = worker.stdout.readline().split()
            self.workers[name] = address
        for index in range(len(self.addresses)):
            self.start(index)
        await self.wait_until_listening(0)
        await self.file(self.first_ticket())
        await self.wait_until_owned()
        return self

    async def __aexit__(self, *exc_info):
        for process in [*self.running.values(), *self._standins]:
            process.kill()
            process.wait()
        await self.client.close()
        await self.operator.close()
        self.directory.cleanup()

    def start(self, index):
        """Start an entry process at its address."""
        path = pathlib.Path(self.directory.name) / f"entry-{index}.json"
        path.write_text(json.dumps(self._settings(index)))
        self.running[index] = self._spawn("serve", "--config", str(path))

    def signal(self, index, number):
        """Send a signal to an entry process."""
        os.kill(self.running[index].pid, number)

    def kill(self, index):
        """Kill an entry process."""
        process = self.running.pop(index)
        process.kill()
        process.wait()

    async def replace(self, indexes):
        """Stop entry processes gracefully and start new ones; return the exit codes."""
        for index in indexes:
            self.signal(index, signal.SIGTERM)
        codes = []
        for index in indexes:
            process = self.running.pop(index)
            codes.append(await asyncio.to_thread(process.wait, READY_TIMEOUT_S))
        for index in indexes:
            self.start(index)
        await self.wait_until_owned()
        return codes

    async def file(self, ticket, index=0):
        """File a ticket at an entry process."""
        url = f"http://{self.addresses[index]}/v1/tickets"
        deadline = _clock.now() + READY_TIMEOUT_S
        while True:
            reply = await self.operator.post(url, ticket, 10.0)
            # As an operator would, files a ticket again that was not accepted because
            # the store did not answer.
            refused = reply.body.get("code") == Code.TICKET_NOT_ACCEPTED
            if not refused or _clock.now() > deadline:
                assert reply.status == 200, reply
                return reply.body
            await asyncio.sleep(1.0)

    def first_ticket(self):
        vms = [
            {"name": name, "data_centre": "dc1", "rack": "r1", "address": address}
            for name, address in self.workers.items()
        ]
        group = {"kind": "vm_group", "name": "booking", "vms": vms}
        service = {"kind": "service", "name": "booking", "team": "booking"}
        policy = {"kind": "policy", "shards_per_data_centre": self.shards}
        objects = [
            {**group, "cpu": "16 cores", "memory": "32 GB"},
            {**service, "replicas": 8, "cpu": "8 cores", "memory": "8 GB"},
            policy,
        ]
        return {"format": 1, "uid": "first", "author": "ops", "objects": objects}

    async def wait_until_listening(self, index):
        """Wait until an entry process answers."""
        url = f"http://{self.addresses[index]}/healthz"
        await self._wait_for(lambda: self._get(url))

    async def wait_until_owned(self):
        """Wait until all entry processes are ready and all shards have owners."""
        await self._wait_for(self._all_owned)

    async def shards_of(self, index):
        """Return the shards of an entry process; None if it is not ready."""
        found = await self._get(f"http://{self.addresses[index]}/readyz")
        return found["shards"] if found and found["ready"] else None

    async def owner(self):
        """Return the index of an entry process that owns a shard."""
        for index in self.running:
            if await self.shards_of(index):
                return index
        raise AssertionError("no entry process owns a shard")

    def log(self):
        """Return what all processes have written."""
        return (pathlib.Path(self.directory.name) / "log").read_text()

    async def fault(self, address, **fault):
        """Set the faults of the stand-in at `address`."""
        await self.client.post(f"http://{address}/standin/fault", fault, 5.0)

    async def records(self):
        """Return the workers' run records and how many starts exceeded a capacity."""
        address = next(iter(self.workers.values()))
        found = await self.client.get(f"http://{address}/standin/record", 10.0)
        return found.body["records"], found.body["overcommits"]

    async def _all_owned(self):
        found = [await self.shards_of(index) for index in self.running]
        if None in found:
            return False
        return sum(map(len, found)) == self.shards

    async def _get(self, url):
        try:
            return (await self.client.get(url, 1.0)).body
        except PoplaryardError:
            return None

    async def _wait_for(self, condition):
        deadline = _clock.now() + READY_TIMEOUT_S
        while not await condition():
            assert _clock.now() < deadline, "the processes did not become ready"
            await asyncio.sleep(0.05)

    def _settings(self, index):
        others = [item for item in self.addresses if item != self.addresses[index]]
        return {
            "process": f"entry-{index}",
            "cell": "booking",
            "data_centre": "dc1",
            "listen": self.addresses[index],
            "platform": self.platform,
            "peers": {"dc1": others},
            "keys": {
                "callers": {"app": CALLER_KEY},
                "operators": {"ops": OPERATOR_KEY},
                "peer": "peer-key-1",
            },
        }

    def _spawn(self, *args, pipe=False):
        log = open(pathlib.Path(self.directory.name) / "log", "ab")  # noqa: SIM115
        environment = {**os.environ, "PYTHONPATH": str(_SOURCE)}
        process = subprocess.Popen(
            [sys.executable, "-m", "poplaryard", *args],
            env=environment,
            stdout=subprocess.PIPE if pipe else log,
            stderr=log,
            text=True,
        )
        log.close()
        return process


class Callers:
    """Callers that repeat a request until an answer says other than "not run"."""

    def __init__(self, processes):
        self.processes = processes
        self.answers = {}
        self._tasks = []

    def start_caller(self, number, run_ms=20):
        """Start one caller; every third request must run at most once."""
        body = {
            "id": f"r{number}",
            "target": "booking",
            "payload": {"run_ms": run_ms, "echo": number},
            "timeout_s": ANSWER_TIMEOUT_S,
        }
        if number % 3 == 0:
            key = f"pass-{number % 7}"
            issued_at = _clock.wall()
            body |= {"idempotent": False, "issued_at": issued_at, "exclusive_key": key}
        self._tasks.append(asyncio.create_task(self._ask(number, body)))

    async def run(self, first, count, run_ms=20):
        """Start `count` callers, one every `SUBMIT_INTERVAL_S` seconds."""
        for number in range(first, first + count):
            self.start_caller(number, run_ms)
            await asyncio.sleep(SUBMIT_INTERVAL_S)

    async def finish(self):
        """Wait for all callers."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, number, body):
        addresses = self.processes.addresses
        deadline = _clock.now() + ANSWER_TIMEOUT_S
        index = number
        while _clock.now() < deadline:
            url = f"http://{addresses[index % len(addresses)]}/v1/requests"
            index += 1
            try:
                # A short timeout, so that a caller leaves an entry process that is
                # paused.
                reply = await self.processes.client.post(url, body, 10.0)
            except PoplaryardError:
                await asyncio.sleep(0.1)
                continue
            self.answers[number] = reply.body
            if reply.body["outcome"] != "not_run":
                return
            await asyncio.sleep(0.1)


def find_violations(answers, records, overcommits, expected):
    """Return the violated guarantees, found from the answers and the run records.

    P1: no worker is filled beyond its capacity. P2: work with the same exclusive key
    does not run in two places at once. P3: every request gets one complete answer.
    P4: no request that ran is answered "not run". P5: work that is not idempotent runs
    at most once.
    """
    found = []
    if overcommits:
        found.append(f"P1: {overcommits} starts would have overfilled a worker")
    spans = {}
    runs = {}
    for item in records:
        runs[item["request_id"]] = runs.get(item["request_id"], 0) + 1
        if item["exclusive_key"]:
            end = item["ended"] or float("inf")
            spans.setdefault(item["exclusive_key"], []).append((item["started"], end))
    for key, times in spans.items():
        times.sort()
        overlaps = zip(times, times[1:], strict=False)
        if any(one[1] > other[0] for one, other in overlaps):
            found.append(f"P2: {key} ran in two places at once")
    for number in range(expected):
        found += _check_answer(number, answers.get(number), runs.get(f"r{number}", 0))
    return found


def _check_answer(number, answer, runs):
    at_most_once = number % 3 == 0
    if answer is None:
        return [f"P3: {number} has no answer"]
    if answer["code"] == Code.OK:
        whole = [part["echo"] for part in answer["parts"]] == [number]
        found = [] if whole else [f"P3: {number} has a wrong answer: {answer}"]
    elif answer["outcome"] == "not_run":
        found = [f"P4: {number} ran but was answered as not run"] if runs else []
        found.append(f"{number} was never served: {answer}")
    else:
        # Only work that may not run twice may end with an unknown outcome.
        found = [] if at_most_once else [f"{number} could be retried: {answer}"]
    if at_most_once and runs > 1:
        found.append(f"P5: {number} ran {runs} times")
    return found
