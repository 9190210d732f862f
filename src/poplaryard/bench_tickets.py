"""Change-ticket benchmarks: filing rate, state size, step times and rollout time."""

import asyncio
import json
import random
import statistics
import time
import typing as t
from collections import Counter

import click

from . import tickets
from .acceptance import Acceptance
from .client import HttpClient
from .clock import SystemClock
from .compaction import Compactor
from .config_loader import Loader, read_head, split_snapshot
from .exceptions import PoplaryardError
from .head import HEAD_KEY, MAX_VALUE_BYTES, ConfigState, Head
from .rollout import Loaded, Members, PeerDelta, Rollout, Send
from .standin_platform import MemoryStore
from .store import Entry

__all__ = ["tickets_bench"]

TEAMS = 950
SERVICES = 600
GROUPS = 20
VMS_PER_GROUP = 950
_POLL_S = 0.01
# Longest wait, after the last filing, until each process has the last ticket in force.
_LATE_S = 10.0


class _DelayedStore:
    """In-memory store that delays each call and counts the calls by method."""

    def __init__(self, delay_s: float):
        self._store = MemoryStore()
        self._delay_s = delay_s
        self.calls: Counter[str] = Counter()

    def __getattr__(self, name: str) -> t.Any:
        method = getattr(self._store, name)

        async def call(*args: t.Any) -> t.Any:
            self.calls[name] += 1
            await asyncio.sleep(self._delay_s)
            result = method(*args)
            return await result if asyncio.iscoroutine(result) else result

        return call


def _service(name: str, replicas: int) -> dict[str, t.Any]:
    return {
        "kind": "service",
        "name": name,
        "team": f"team-{replicas % TEAMS:03d}",
        "replicas": replicas,
        "cpu": "2 cores",
        "memory": "4 GB",
    }


def _ticket(uid: str, *objects: t.Any) -> tickets.Ticket:
    value = {"format": 1, "uid": uid, "author": "bench", "objects": list(objects)}
    return tickets.parse(value)


def _group(index: int) -> dict[str, t.Any]:
    centre = f"dc{index % 15 + 1}"
    vms = [
        {
            "name": f"{centre}-g{index:02d}-vm{number:04d}",
            "data_centre": centre,
            "rack": f"{centre}-g{index:02d}-r{number // 5:03d}",
            "address": f"10.{index}.{number // 250}.{number % 250}:7000",
        }
        for number in range(VMS_PER_GROUP)
    ]
    size = {"cpu": "32 cores", "memory": "64 GB", "gpus": 1}
    return {"kind": "vm_group", "name": f"group-{index:02d}", **size, "vms": vms}


async def _file_whole_state(store: t.Any) -> Acceptance:
    """File a state of the size expected in two years and return the `Acceptance`.

    A ticket has at most 100 objects, and each VM group has its own ticket.
    """
    acceptance = Acceptance(store, SystemClock(), 1)
    teams = [
        {"kind": "team", "name": f"team-{number:03d}", "weight": 1.0}
        | {"limit_cpu": "640 cores", "limit_memory": "2 TB", "limit_gpus": 64}
        for number in range(TEAMS)
    ]
    services = [_service(f"service-{number:03d}", 3) for number in range(SERVICES)]
    objects = teams + services
    chunks = [objects[start : start + 100] for start in range(0, len(objects), 100)]
    chunks += [[_group(index)] for index in range(GROUPS)]
    for number, chunk in enumerate(chunks):
        result = await acceptance.file(_ticket(f"whole-{number}", *chunk))
        assert result.ok, result.detail
    return acceptance


@click.group(name="tickets")
def tickets_bench() -> None:
    """Measure change tickets."""


def _print(figures: t.Mapping[str, t.Any]) -> None:
    click.echo(json.dumps(figures, indent=2))


@tickets_bench.command()
@click.option("--count", default=2000, help="Tickets to file.")
@click.option("--filers", default=6, help="Processes that file at the same time.")
@click.option("--rate", default=0.0, help="Tickets per second; 0 files at once.")
@click.option("--burst", default=1, help="Tickets filed at the same moment.")
@click.option("--delay-ms", default=0.0, help="Time of one store call.")
@click.option("--seed", default=1)
def accept(
    count: int, filers: int, rate: float, burst: int, delay_ms: float, seed: int
) -> None:
    """Measure accepted tickets per second and store calls per ticket."""
    _print(asyncio.run(_accept(count, filers, rate, burst, delay_ms / 1000, seed)))


async def _accept(
    count: int, filers: int, rate: float, burst: int, delay_s: float, seed: int
) -> dict[str, t.Any]:
    store: t.Any = _DelayedStore(delay_s)
    rng = random.Random(seed)
    acceptances = [Acceptance(store, SystemClock(), seed + n) for n in range(filers)]
    file_ms: list[float] = []
    codes: Counter[str] = Counter()

    async def file_one(number: int) -> None:
        start = time.perf_counter()
        name = f"service-{rng.randrange(SERVICES):03d}"
        item = _ticket(f"uid-{number}", _service(name, rng.randrange(1, 100)))
        result = await acceptances[number % filers].file(item)
        file_ms.append((time.perf_counter() - start) * 1000)
        codes[result.code.name] += 1

    began = time.perf_counter()
    limit = asyncio.Semaphore(filers if not rate else count)

    async def file_limited(number: int) -> None:
        async with limit:
            await file_one(number)

    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(file_limited(number)))
        if rate and (number + 1) % burst == 0:
            due = began + (number + 1) / rate
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
    await asyncio.gather(*tasks)
    seconds = time.perf_counter() - began
    calls = sum(store.calls.values())
    return {
        "tickets_per_s": round(count / seconds, 1),
        "codes": dict(codes),
        "store_calls_per_ticket": round(calls / count, 2),
        "calls": dict(store.calls),
        **_quantiles(file_ms, "file"),
    }


def _quantiles(values_ms: list[float], name: str) -> dict[str, float]:
    ordered = sorted(values_ms) or [0.0]
    return {
        f"{name}_p50_ms": round(ordered[len(ordered) // 2], 3),
        f"{name}_p99_ms": round(ordered[int(len(ordered) * 0.99)], 3),
        f"{name}_max_ms": round(ordered[-1], 3),
    }


@tickets_bench.command()
@click.option("--rounds", default=200, help="Small tickets to apply.")
@click.option("--seed", default=1)
def state(rounds: int, seed: int) -> None:
    """Measure the size of the whole state and the cost of one more ticket."""
    _print(asyncio.run(_state(rounds, seed)))


async def _state(rounds: int, seed: int) -> dict[str, t.Any]:
    store: t.Any = _DelayedStore(0.0)
    acceptance = await _file_whole_state(store)
    loader = Loader(store)
    began = time.perf_counter()
    whole_state = await loader.refresh()
    load_ms = (time.perf_counter() - began) * 1000
    calls = Counter(store.calls)
    await Compactor(store, loader, 1).run()
    began = time.perf_counter()
    await Loader(store).refresh()
    snapshot_load_ms = (time.perf_counter() - began) * 1000
    began = time.perf_counter()
    parts = split_snapshot(whole_state, MAX_VALUE_BYTES)
    encode_ms = (time.perf_counter() - began) * 1000
    entries = [await store.get(key) for key in (HEAD_KEY,)]
    sizes = [len(json.dumps(part)) for part in parts]
    groups = [len(json.dumps(_group(index))) for index in range(GROUPS)]
    vms = sum(len(group.vms) for group in whole_state.config.vm_groups.values())
    return {
        "vms": vms,
        "teams": len(whole_state.config.teams),
        "services": len(whole_state.config.services),
        "head_bytes": len(json.dumps(entries[0].value)),
        "largest_group_bytes": max(groups),
        "snapshot_parts": len(parts),
        "snapshot_part_max_bytes": max(sizes),
        "whole_bytes": sum(sizes),
        "whole_without_vms_bytes": sum(sizes) - sum(groups),
        "load_ms": round(load_ms, 1),
        "load_snapshot_ms": round(snapshot_load_ms, 1),
        "snapshot_encode_ms": round(encode_ms, 1),
        "store_calls_while_filing": dict(calls),
        **await _step_times(acceptance, whole_state, rounds, seed),
    }


async def _step_times(
    acceptance: Acceptance, whole_state: ConfigState, rounds: int, seed: int
) -> dict[str, float]:
    """Measure the time of each step that a small ticket causes in a process."""
    rng = random.Random(seed)
    times_ms: dict[str, list[float]] = {
        name: [] for name in ("apply", "head", "load", "push", "adopt", "file")
    }
    watcher, follower = Rollout("p0", "dc1"), Rollout("p1", "dc1")
    for rollout in (watcher, follower):
        rollout.handle(0.0, Members(("p0", "p1", "p2", "p3", "p4", "p5")))
        rollout.handle(0.0, Loaded(whole_state))
    loader = Loader(t.cast(t.Any, acceptance)._store, whole_state)
    for number in range(rounds):
        item = _ticket(
            f"more-{number}",
            _service(f"service-{rng.randrange(SERVICES):03d}", rng.randrange(1, 90)),
        )
        stopwatch = _Stopwatch(times_ms)
        tickets.apply(watcher.state.config, watcher.number + 1, item)
        stopwatch.record("apply")
        result = await acceptance.file(item)
        assert result.ok, result.detail
        stopwatch.record("file")
        _head, entry = await read_head(t.cast(t.Any, acceptance)._store)
        text = json.dumps(t.cast(Entry, entry).value)
        stopwatch.restart()
        head = Head.from_json(json.loads(text))
        stopwatch.record("head")
        loaded = await loader.refresh(head)
        stopwatch.record("load")
        out = watcher.handle(float(number), Loaded(loaded))
        sent = next(item for item in out if isinstance(item, Send))
        stopwatch.record("push")
        follower.handle(float(number), t.cast(PeerDelta, sent.msg))
        stopwatch.record("adopt")
        assert follower.state == watcher.state == loaded
    return {
        f"{name}_p50_ms": round(statistics.median(values), 3)
        for name, values in times_ms.items()
    }


class _Stopwatch:
    """Records the times of consecutive steps in milliseconds, by step name."""

    def __init__(self, times_ms: dict[str, list[float]]):
        self._times_ms = times_ms
        self.restart()

    def restart(self) -> None:
        self._last = time.perf_counter()

    def record(self, name: str) -> None:
        now = time.perf_counter()
        self._times_ms[name].append((now - self._last) * 1000)
        self._last = time.perf_counter()


@tickets_bench.command()
@click.option("--servers", required=True, help="Addresses, separated by commas.")
@click.option("--key", required=True, help="Operator key.")
@click.option("--count", default=200, help="Tickets to file.")
@click.option("--rate", default=20.0, help="Tickets per second.")
@click.option("--burst", default=1, help="Tickets filed at the same moment.")
@click.option("--seed", default=1)
def force(
    servers: str, key: str, count: int, rate: float, burst: int, seed: int
) -> None:
    """Measure the time from filing until each process has a ticket in force."""
    _print(
        asyncio.run(
            _RolloutTimer(servers.split(","), key, seed).run(count, rate, burst)
        )
    )


class _RolloutTimer:
    """Measures how long tickets take to be in force at each process.

    It files tickets at a fixed rate and polls the number of the ticket in force.
    """

    def __init__(self, servers: list[str], key: str, seed: int):
        self._servers = servers
        self._client = HttpClient(256, key)
        self._rng = random.Random(seed)
        self._seed = seed
        # Times at which each ticket was sent and accepted, by ticket number.
        self._filed: dict[int, tuple[float, float]] = {}
        # Ticket numbers seen in force and the times of first sight, by server.
        self._observed: dict[str, list[tuple[int, float]]] = {
            name: [] for name in servers
        }
        self._codes: Counter[str] = Counter()
        self._file_ms: list[float] = []

    async def run(self, count: int, rate: float, burst: int) -> dict[str, t.Any]:
        watching = [asyncio.create_task(self._watch(name)) for name in self._servers]
        began = time.perf_counter()
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(self._file(number)))
            if (number + 1) % burst == 0:
                due = began + (number + 1) / rate
                await asyncio.sleep(max(0.0, due - time.perf_counter()))
        await asyncio.gather(*tasks)
        await self._wait_until_all_in_force()
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        await self._client.close()
        return self._figures()

    async def _file(self, number: int) -> None:
        server = self._servers[number % len(self._servers)]
        name = f"service-{self._rng.randrange(SERVICES):03d}"
        item = _service(name, self._rng.randrange(1, 100))
        uid = f"force-{self._seed}-{time.time_ns()}-{number}"
        body = {"format": 1, "uid": uid, "author": "bench", "objects": [item]}
        start = time.perf_counter()
        try:
            reply = await self._client.post(f"http://{server}/v1/tickets", body, 10.0)
        except PoplaryardError as exc:
            self._codes[exc.code.name] += 1
            return
        now = time.perf_counter()
        self._codes[str(reply.body.get("code"))] += 1
        self._file_ms.append((now - start) * 1000)
        if reply.status == 200:
            self._filed[reply.body["number"]] = (start, now)

    async def _watch(self, server: str) -> None:
        last = -1
        while True:
            reply = await self._client.get(f"http://{server}/readyz", 10.0)
            number = reply.body["ticket"]
            if number > last:
                self._observed[server].append((number, time.perf_counter()))
                last = number
            await asyncio.sleep(_POLL_S)

    async def _wait_until_all_in_force(self) -> None:
        give_up_at = time.perf_counter() + _LATE_S
        last = max(self._filed, default=0)
        while time.perf_counter() < give_up_at:
            if all(seen and seen[-1][0] >= last for seen in self._observed.values()):
                return
            await asyncio.sleep(_POLL_S)

    def _figures(self) -> dict[str, t.Any]:
        after_answer, after_filing = [], []
        for number, (start, accepted) in self._filed.items():
            in_force_at = [
                self._in_force_at(seen, number) for seen in self._observed.values()
            ]
            after_answer += [max(0.0, at - accepted) * 1000 for at in in_force_at]
            after_filing += [(at - start) * 1000 for at in in_force_at]
        return {
            "servers": len(self._servers),
            "accepted": len(self._filed),
            "codes": dict(self._codes),
            **_quantiles(self._file_ms, "file"),
            **_quantiles(after_answer, "in_force_after_answer"),
            **_quantiles(after_filing, "in_force_after_filing"),
        }

    @staticmethod
    def _in_force_at(seen: list[tuple[int, float]], number: int) -> float:
        """Return the time at which the ticket was first seen in force, or infinity."""
        return next((at for in_force, at in seen if in_force >= number), float("inf"))
