import asyncio
import json

import msgspec

from poplaryard.client import HttpClient
from poplaryard.clock import SystemClock
from poplaryard.platform import front
from poplaryard.platform.codec import (
    CONFIG_KEY,
    WORKER_PREFIX,
    DecodeFailed,
    decode_config,
    decode_worker,
)
from poplaryard.platform.front import PlatformFrontend
from poplaryard.platform.services import AdviceClient, WorkerClient
from poplaryard.platform.store import PlatformStore
from poplaryard.server import HttpServer
from poplaryard.workload import directory, layout
from poplaryard.workload.node import Node, NodeConfig, StoreSchema
from poplaryard.workload.owner import OwnerLimits
from poplaryard.workload.records import home_key, progress_key
from poplaryard.workload.storage import Transaction
from tests.platform.standin import PlatformStandIn, config, entry
from tests.platform.test_codec import ODD_FIELDS, odd_entry

SCHEMA = StoreSchema(
    CONFIG_KEY, WORKER_PREFIX, decode_config, decode_worker, DecodeFailed
)
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 1000, "estimate_ms": 100}]}


class ProcessFixture:
    """Process under test, served on the loopback interface."""

    def __init__(self, platform, name, strength=1.0, revoke_s=None):
        self.client = HttpClient(connections=64)
        self.store = PlatformStore(self.client, platform.store_address)
        self.server = HttpServer(self._app, "127.0.0.1", 0)
        address = f"127.0.0.1:{self.server.ports[0]}"
        self.url = f"http://{address}"
        self.node = Node(
            NodeConfig(
                name, "dc1", address, strength, OwnerLimits(6.0, 120.0), revoke_s
            ),
            self.store,
            WorkerClient(self.client, 0.7),
            AdviceClient(self.client, platform.store_address),
            self.client,
            SCHEMA,
            SystemClock(),
        )
        self.frontend = PlatformFrontend(self.node, lambda: None)

    async def _app(self, scope, receive, send):
        await self.frontend(scope, receive, send)

    async def start(self):
        await self.server.start()
        await self.node.start()

    async def stop(self):
        await self.node.hand_over()
        await self.server.stop()
        await self.node.stop()

    async def call(self, method, path, body=None, host="desk.example", key=None):
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        url = f"{self.url}{path}"
        headers = {"host": host} if key is None else {"host": host, "x-api-key": key}
        reply = await self.client.request_raw(method, url, data, 3.0, headers)
        return reply.status, json.loads(reply.content) if reply.content else None


def run_with_processes(scenario, count=2, strength=1.0, workers=2, revoke_s=None):
    strengths = strength if isinstance(strength, tuple) else [strength] * count

    async def run():
        platform = PlatformStandIn(workers)
        await platform.start()
        processes = [
            ProcessFixture(platform, f"p{number}", strengths[number], revoke_s)
            for number in range(count)
        ]
        try:
            for process in processes:
                await process.start()
            status, _ = await processes[0].call("GET", "/poplaryard/readyz")
            assert status == 503
            await platform.put(CONFIG_KEY, config())
            await until(processes[0], "/poplaryard/readyz", 200)
            await scenario(platform, *processes)
        finally:
            for process in processes:
                await process.stop()
            await platform.stop()
            for process in processes:
                await process.client.close()

    asyncio.run(run())


async def until(process, path, wanted, seconds=8.0):
    for _ in range(int(seconds / 0.02)):
        status, body = await process.call("GET", path)
        if wanted in (status, (body or {}).get("state")):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{path} is not {wanted}: {status} {body}")


async def until_equal(call, wanted, seconds=8.0):
    for _ in range(int(seconds / 0.02)):
        if call() == wanted:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{call()} is not {wanted}")


def test_job_is_accepted_at_one_process_and_shown_at_another():
    async def scenario(platform, first, second):
        path = "/checks/" + "a" * 16
        assert (await first.call("POST", path, JOB))[0] == 200
        await until(second, path, "done")
        assert (await second.call("GET", "/checks/"))[1] == {"pending": 0}
        assert (await second.call("GET", "/checks/" + "b" * 16))[0] == 410
        assert (await second.call("DELETE", "/checks/" + "b" * 16))[0] == 410

    run_with_processes(scenario)


def test_jobs_of_a_divided_group_are_found_through_any_process(monkeypatch):
    """Guards against jobs that run twice or are lost in a group with several owners.

    Pattern: a group that is too large for one owner; callers use all processes.
    """
    monkeypatch.setattr(layout, "MIN_PARTITION_WORKERS", 2)

    async def scenario(platform, *processes):
        first = processes[0]
        await until_owned(processes, 3)
        # A worker has room for one of these tasks at a time, so that each job needs
        # both workers of its partition.
        step = {"count": 2, "cpu": 3000, "estimate_ms": 1000}
        for number in range(12):
            path = f"/checks/{number:016x}"
            body = {"spec": "text", "steps": [step]}
            for process in (processes[number % 3], processes[(number + 1) % 3]):
                assert (await process.call("POST", path, body))[0] == 200
        for number in range(12):
            path = f"/checks/{number:016x}"
            await until(processes[(number + 2) % 3], path, "done")
        assert (await first.call("GET", "/checks/"))[1] == {"pending": 0}
        assert (await first.call("GET", "/checks/" + "b" * 16))[0] == 410
        long = {"steps": [{"count": 1, "estimate_ms": 60_000}]}
        path = "/checks/" + "c" * 16
        assert (await first.call("POST", path, long))[0] == 200
        await until(processes[1], path, "running")
        assert (await processes[2].call("DELETE", path))[0] == 200
        await until(first, path, "cancelled")
        started = [run for sim, _ in platform.sims.values() for run in sim.started]
        assert len(started) == len(set(started)) == 25
        assert all(sim.started for sim, _ in platform.sims.values())

    run_with_processes(scenario, count=3, workers=6)


def test_parts_of_a_wide_lasting_job_are_one_job_to_callers(monkeypatch):
    """Guards against tasks that have no run, or go on after the job was cancelled.

    Pattern: a job with more lasting tasks than one partition has room for.
    """
    for module in (layout, directory):
        monkeypatch.setattr(module, "MIN_PARTITION_WORKERS", 2)

    async def scenario(platform, *processes):
        first, second, third = processes
        await until_owned(processes, 3)
        await until_equal(lambda: [usable_workers(p) for p in processes], [2, 2, 2])
        path = "/checks/" + "a" * 16
        step = {"count": 6, "cpu": 3000, "daemon": True}
        body = {"spec": "text", "steps": [step]}
        for process in (first, second):
            assert (await process.call("POST", path, body))[0] == 200
        await until(third, path, "running")
        sims = {name: sim for name, (sim, _) in platform.sims.items()}
        tasks = {f"{'a' * 16}.0.0.{index}" for index in range(6)}

        def started(*names):
            return {task for name in names for task, _ in sims[name].started}

        await until_equal(lambda: started(*sims), tasks)
        for process in processes:
            [owner] = process.node.owners.values()
            assert len(started(*owner.partition.workers)) == 2
        assert (await third.call("GET", "/checks/"))[1] == {"pending": 0}
        assert (await second.call("DELETE", path))[0] == 200
        for process in processes:
            await until(process, path, "cancelled")
        runs = sum(len(sim.started) for sim in sims.values())
        await asyncio.sleep(0.5)
        assert runs == sum(len(sim.started) for sim in sims.values())

    run_with_processes(scenario, count=3, workers=6)


def usable_workers(process):
    """Return the number of usable workers of the only partition of a process."""
    [owner] = process.node.owners.values()
    return owner.load().workers


def test_partitions_of_a_stopped_owner_are_taken_over(monkeypatch):
    """Guards against a partition without an owner, or workers without a partition.

    Pattern: one of several owners of a group leaves while jobs run, and a rack joins.
    """
    monkeypatch.setattr(layout, "MIN_PARTITION_WORKERS", 2)

    async def scenario(platform, first, second, third):
        await until_owned((first, second, third), 3)
        body = {"steps": [{"count": 8, "cpu": 1000, "estimate_ms": 300}]}
        for number in range(6):
            path = f"/checks/{number:016x}"
            assert (await second.call("POST", path, body))[0] == 200
        await first.stop()
        await until_owned((second, third), 3)
        for number in range(6):
            await until(second, f"/checks/{number:016x}", "done")
        sim, server = next(iter(platform.sims.values()))
        added = entry(sim, server.ports[0]) | {"labels": ["a", "r9"]}
        await platform.put("servers/new", added)
        for _ in range(100):
            found = platform.storage.items["owner/desk.layout"].value
            if "r9" in json.loads(found)["racks"]:
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the new rack has no partition")

    run_with_processes(scenario, count=3, workers=6)


def test_process_without_authority_answers_for_no_group():
    """Guards against stale figures of a process that was cut off or frozen."""

    async def scenario(platform, process):
        await until(process, "/checks/", 200)
        process.node._lease._valid_until = float("-inf")
        assert (await process.call("GET", "/checks/"))[0] == 503

    run_with_processes(scenario, count=1)


def test_unreadable_progress_is_no_answer():
    """Guards against a broken connection, or "no such job", for a damaged record."""

    async def scenario(platform, process):
        await until_owned([process], 1)
        path = "/checks/" + "d" * 16
        await platform.storage.commit(
            Transaction(
                puts=[
                    (home_key("d" * 16), b"desk", 0),
                    (progress_key("desk", "d" * 16), b"{", 0),
                ]
            )
        )
        assert (await process.call("GET", path))[0] == 503

    run_with_processes(scenario, count=1)


async def until_owned(processes, count, seconds=8.0, spread=True):
    """Wait until the processes own `count` partitions, spread evenly if wanted."""
    for _ in range(int(seconds / 0.02)):
        owned = [
            len([o for o in p.node.owners.values() if o.loaded]) for p in processes
        ]
        if sum(owned) == count and (not spread or max(owned) - min(owned) <= 1):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"partitions by process: {owned}")


def test_owner_that_may_have_been_replaced_counts_no_waiting_jobs():
    """Guards against counts without the jobs that a later owner has got.

    Pattern: the data centre of an owner is cut off, another process takes over, and
    callers ask the earlier owner once the cut is over. Seen on chanta-yard trouble-1.
    """

    async def scenario(platform, first, second):
        await until_owned([first, second], 1, spread=False)
        owner = first if first.node.owners else second
        path = "/checks/" + "e" * 16
        long = {"steps": [{"count": 1, "estimate_ms": 60_000}]}
        assert (await owner.call("POST", path, long))[0] == 200
        await until(owner, path, "running")
        for asked in (first, second):
            owner.node._lease._valid_until = SystemClock().now() - 1.0
            assert owner.node._lease.has_authority()
            assert (await asked.call("GET", "/checks/"))[0] == 503
        owner.node._lease._valid_until = SystemClock().now() - 1.0
        assert (await owner.call("GET", path))[1] == {"state": "running"}

    run_with_processes(scenario)


def test_bad_input_is_refused_and_nothing_is_stored():
    """Guards against malformed, oversized or deeply nested bodies."""

    async def scenario(platform, process):
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
            assert (await process.call("POST", path, body))[0] == 400
        big = {"spec": "x" * 3000, "steps": [{"count": 1, "label": "y" * 300_000}]}
        assert (await process.call("POST", path, big))[0] == 413
        assert (await process.call("POST", "/unknown/" + "a" * 16, JOB))[0] == 404
        assert (await process.call("POST", path, JOB, host="other"))[0] == 404
        assert not [key for key in platform.storage.items if key.startswith("job/")]

    run_with_processes(scenario, count=1)


def test_cancelled_job_is_shown_as_cancelled():
    async def scenario(platform, first, second):
        path = "/checks/" + "a" * 16
        lasting = {"spec": "s", "steps": [{"count": 1, "cpu": 1000, "daemon": True}]}
        assert (await first.call("POST", path, lasting))[0] == 200
        await until(second, path, "running")
        assert (await second.call("DELETE", path))[0] == 200
        await until(first, path, "cancelled")

    run_with_processes(scenario)


def test_unreadable_worker_entries_are_skipped():
    """Guards against a scheduler that fails on a malformed entry."""

    async def scenario(platform, process):
        for number, value in enumerate((b"\xff\x00", b"{}", b'{"service": 7}')):
            await platform.put(f"servers/x{number}", value)
        path = "/checks/" + "a" * 16
        assert (await process.call("POST", path, JOB))[0] == 200
        await until(process, path, "done")

    run_with_processes(scenario, count=1)


def test_process_follows_the_workers_beside_odd_entries():
    """Guards against a process that ends, or calls workers that do not exist.

    Pattern: another writer leaves odd entries among those of the workers.
    """

    async def scenario(platform, process):
        for number, (name, value) in enumerate(ODD_FIELDS):
            await platform.put(f"servers/odd{number}", odd_entry(name, value))
        sim, _ = next(iter(platform.sims.values()))
        await platform.put("servers/later", entry(sim, 9))
        path = "/checks/" + "a" * 16
        assert (await process.call("POST", path, JOB))[0] == 200
        await until(process, path, "done")
        await until_equal(lambda: "later" in process.node._workers, True)
        assert set(process.node._workers) == {*platform.sims, "later"}

    run_with_processes(scenario, count=1)


def test_worker_that_listens_late_keeps_its_runs_when_its_entry_is_removed():
    """Guards against second runs beside a draining worker that once refused a call."""

    async def scenario(platform, process):
        late = platform.add_worker(0)
        sim, _ = platform.sims["w0"]
        sim.slowness = 30.0
        await platform.put("servers/w0", entry(sim, late.ports[0]))
        await until_equal(lambda: len(process.node.owners), 1)
        owner = process.node.owners["desk"]
        # The owner has no partition before it has read the group from the store.
        await until_equal(lambda: owner.loaded, True)
        await until_equal(lambda: "w0" in owner.partition.workers, True)
        await asyncio.sleep(0.4)
        await late.start()
        path = "/checks/" + "a" * 16
        assert (await process.call("POST", path, JOB))[0] == 200
        await until_equal(lambda: len(sim.started), 2)
        other = platform.add_worker(1)
        await other.start()
        await platform.put("servers/w1", entry(platform.sims["w1"][0], other.ports[0]))
        draining = entry(sim, late.ports[0]) | {"state": "draining"}
        await platform.put("servers/w0", draining)
        await asyncio.sleep(0.6)
        await platform.storage.commit(Transaction(removes=["servers/w0"]))
        await until(process, path, "done")
        assert [len(sim.started) for sim, _ in platform.sims.values()] == [2, 0]

    run_with_processes(scenario, count=1, workers=0)


def test_metrics_are_served():
    async def scenario(platform, process):
        reply = await process.client.request_raw(
            "GET", f"{process.url}/metrics", None, 2.0
        )
        assert b"poplaryard_jobs_total" in reply.content

    run_with_processes(scenario, count=1)


def test_isolated_process_is_not_ready():
    """Guards against callers that are still sent to an isolated data centre."""

    async def scenario(platform, first, second):
        # To the first process, the second looks like an unreachable peer in another
        # data centre.
        await asyncio.sleep(0.3)
        member = first.node._members["p1"]
        first.node._members["p1"] = msgspec.structs.replace(
            member, data_centre="dc2", address="127.0.0.1:9"
        )
        platform.store_refuses = True
        await until(first, "/poplaryard/readyz", 503)
        # The second knows only peers of its own data centre, so it cannot tell
        # isolation from an outage of the store.
        assert (await second.call("GET", "/poplaryard/readyz"))[0] == 200
        platform.store_refuses = False
        await until(first, "/poplaryard/readyz", 200)

    run_with_processes(scenario)


def test_group_moves_from_a_weak_process_to_a_strong_one_that_joins():
    """Guards against a group that stays with a process whose link is too slow."""

    async def scenario(platform, weak):
        strong = ProcessFixture(platform, "strong", strength=1.0)
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

    run_with_processes(scenario, count=1, strength=0.1)


def test_strong_process_claims_before_weak_ones():
    async def scenario(platform, *weak):
        assert not any(process.node.owners for process in weak[1:])

    run_with_processes(scenario, count=3, strength=(1.0, 0.1, 0.1))


async def submit_when_store_is_back(process, path):
    """Submit a job; a process that has not noticed the store's return refuses it.

    It must accept the job by the time at which it asks callers to come back.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + front.RETRY_S
    status = 0
    while status != 200:
        assert loop.time() < until_s, status
        status, _ = await process.call("POST", path, JOB)
        assert status in (200, 503)
        await asyncio.sleep(0.02)


def test_owner_stopped_during_an_outage_schedules_until_it_can_hand_over():
    """Guards against a pause in scheduling: no process can claim a group meanwhile."""

    async def scenario(platform, first, second):
        await until_owned((first, second), 1)
        owner, other = (first, second) if first.node.owners else (second, first)
        platform.store_refuses = True
        hand_over_task = asyncio.create_task(owner.node.hand_over(5.0))
        await asyncio.sleep(0.8)
        assert owner.node.owners["desk"].partition.accepts_starts
        platform.store_refuses = False
        await hand_over_task
        path = "/checks/" + "a" * 16
        await submit_when_store_is_back(other, path)
        await until(other, path, "done")

    run_with_processes(scenario)


def test_stop_during_an_outage_ends_in_time():
    """Guards against a stop that waits for unanswered calls until SIGKILL."""

    async def scenario(platform, first, second):
        await until_owned((first, second), 1)
        owner = first if first.node.owners else second
        platform.store_silent = True
        began = asyncio.get_running_loop().time()
        await owner.node.hand_over(1.0)
        # The timeout for the store, starts in flight, the end of the lease, and slack.
        assert asyncio.get_running_loop().time() - began < 1.0 + 0.5 + 0.5 + 0.3

    run_with_processes(scenario)
