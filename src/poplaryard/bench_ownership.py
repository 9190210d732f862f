"""Shard ownership benchmark in virtual time: recovery times and store calls."""

import functools
import heapq
import itertools
import json
import random
import typing as t
from collections import Counter

import click

from .fuzz_store import FakeStore, failure
from .messages import Authority, ClaimReply, ClaimWorker, Tick
from .ownership import Ownership
from .ownership_messages import (
    GrantLease,
    HeartbeatReply,
    Leave,
    PeerMissed,
    ProvenDead,
    ReadRecord,
    RenewLease,
    RevokeLease,
    SendHeartbeat,
    ShardReleased,
    ShardsConfigured,
    ShardTaken,
    WatchRecord,
    WriteRecord,
)
from .routing import shard_names
from .takeover import Takeover

__all__ = ["Cell", "measure", "ownership"]

# One-way latency between processes, and round trip of a store call.
PEER_S = 0.0015
STORE_S = 0.005
TICK_S = 0.1
WATCH_WAIT_S = 20.0
# Number of workers of each shard.
WORKERS = 7

# Store calls per command. A grant also writes the member key, and a read also scans
# the member keys.
_CALLS: dict[type, int] = {
    GrantLease: 2,
    ReadRecord: 2,
    RenewLease: 1,
    RevokeLease: 1,
    WriteRecord: 1,
}


class _Process:
    """Simulated entry process: its ownership state and the take-overs in progress."""

    def __init__(self, cell: "Cell", name: str, dc: str, shards: tuple[str, ...]):
        self.cell = cell
        self.name = name
        self.dc = dc
        self.alive = True
        self.watching = False
        self.watch_ends = 0.0
        self.last_seen: t.Any = None
        self.takeovers: dict[str, Takeover] = {}
        self.ownership = Ownership(name, name, random.Random(name))
        self.deliver(ShardsConfigured(shards))

    def deliver(self, message: t.Any) -> None:
        if not self.alive:
            return
        for out in self.ownership.handle(self.cell.now, message):
            self._handle_output(out)

    def _handle_output(self, out: t.Any) -> None:
        cell = self.cell
        if type(out) in _CALLS:
            cell.store_call(self, out)
        elif isinstance(out, SendHeartbeat):
            cell.sent["heartbeats"] += 1
            cell.after(PEER_S, lambda: self._deliver_heartbeat(out))
        elif isinstance(out, HeartbeatReply):
            peer = cell.processes[out.to]
            cell.after(PEER_S, lambda: peer.deliver(out))
        elif isinstance(out, ShardTaken):
            self._start_takeover(out)
        elif isinstance(out, ShardReleased):
            self.takeovers.pop(out.shard, None)
        elif isinstance(out, WatchRecord):
            self.watching = out.on
            self.last_seen = None
        elif isinstance(out, Authority):
            cell.exclusive[self.name, out.shard] = out.exclusive

    def _deliver_heartbeat(self, out: SendHeartbeat) -> None:
        peer = self.cell.processes[out.to]
        if out.to in self.cell.silent:
            self.cell.after(1.0, lambda: self.deliver(PeerMissed(out.to)))
        elif not peer.alive:
            self.deliver(ProvenDead(out.to))
        else:
            peer.deliver(out.heartbeat)

    def _start_takeover(self, out: ShardTaken) -> None:
        vms = [f"{out.shard}-vm{index}" for index in range(WORKERS)]
        now = self.cell.now
        takeover = Takeover(
            out.shard, out.epoch, now, now, vms, known=out.known, wait_s=out.wait_s
        )
        self.takeovers[out.shard] = takeover
        for command in takeover.handle(now, Tick()):
            self._send_claim(takeover, command)

    def _send_claim(self, takeover: Takeover, command: ClaimWorker) -> None:
        reply = ClaimReply(command.vm, command.epoch, True)
        self.cell.after(2 * PEER_S, lambda: self._receive_claim(takeover, reply))

    def _receive_claim(self, takeover: Takeover, reply: ClaimReply) -> None:
        takeover.handle(self.cell.now, reply)
        if takeover.state == "complete" and self.alive:
            self.cell.placing_since[takeover.shard] = self.cell.now


class Cell:
    """Simulated entry processes of several data centres, each with its own store.

    Parameters
    ----------
    data_centres, members, shards : int
        Number of data centres, of processes in each, and of shards in each.

    Attributes
    ----------
    sent : Counter of str
        Number of messages sent by kind: "heartbeats" and "store" calls.
    placing_since : dict of str to float
        Time at which the latest take-over of each shard was complete.
    exclusive : dict of (str, str) to bool
        Whether a process may start exclusive work on a shard.
    silent : set of str
        Processes that do not answer heartbeats.
    """

    def __init__(self, data_centres: int, members: int, shards: int, seed: int):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.sent: Counter[str] = Counter()
        self.placing_since: dict[str, float] = {}
        self.exclusive: dict[tuple[str, str], bool] = {}
        self.silent: set[str] = set()
        self.processes: dict[str, _Process] = {}
        self.stores: dict[str, FakeStore] = {}
        self._events: list[tuple[float, int, t.Callable[[], None]]] = []
        self._sequence = itertools.count()
        for index in range(data_centres):
            self._add(f"dc{index}", members, shards)

    def _add(self, dc: str, members: int, shards: int) -> None:
        self.stores[dc] = FakeStore(self.rng)
        # The store's clock has no drift here.
        self.stores[dc].rate = 1.0
        names = tuple(shard_names(dc, shards))
        for index in range(members):
            process = _Process(self, f"{dc}p{index:03d}#1", dc, names)
            self.processes[process.name] = process
            self.after(
                self.rng.uniform(0.0, TICK_S), functools.partial(self._tick, process)
            )

    def after(self, seconds: float, action: t.Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        event = self.now + seconds, next(self._sequence), action
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Advance the time by `seconds` and run the actions due by then."""
        end = self.now + seconds
        while self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _tick(self, process: _Process) -> None:
        process.deliver(Tick())
        self._watch(process)
        if process.alive:
            self.after(TICK_S, lambda: self._tick(process))

    def _watch(self, process: _Process) -> None:
        store = self.stores[process.dc]
        if not process.watching or store.down:
            return
        state = store.version, store.live(self.now)
        if state != process.last_seen:
            # A change ends the watch: a read of two calls and a new watch follow.
            process.last_seen = state
            self.sent["store"] += 3
            process.deliver(store.seen(self.now))
            process.watch_ends = self.now + WATCH_WAIT_S
        elif self.now >= process.watch_ends:
            self.sent["store"] += 1
            process.watch_ends = self.now + WATCH_WAIT_S

    def store_call(self, process: _Process, message: t.Any) -> None:
        """Carry out a store call of a process and deliver the reply."""
        self.sent["store"] += _CALLS[type(message)]
        store = self.stores[process.dc]
        sent_at = self.now

        def carry_out() -> None:
            if store.down:
                reply = failure(message)
            else:
                reply = store.handle(self.now, message, sent_at)
            self.after(STORE_S / 2, lambda: process.deliver(reply) if reply else None)

        self.after(STORE_S / 2, carry_out)

    def rate(self, what: str, seconds: float) -> float:
        """Run for `seconds` and return the messages of a kind sent per second."""
        before = self.sent[what]
        self.run(seconds)
        return (self.sent[what] - before) / seconds

    def owners(self, dc: str) -> set[str]:
        """Return the processes that own shards of a data centre."""
        shards = self.stores[dc].record.shards.values()
        return {entry.owner for entry in shards}


def _measure_recovery(cell: Cell, kind: str) -> dict[str, float]:
    """End one owner and measure the time until its shards place work again.

    With the kind "leave" the owner hands its shards over; otherwise it dies. The
    measurement takes 12 s of virtual time.
    """
    owner = sorted(cell.owners("dc0"))[0]
    process = cell.processes[owner]
    shards = list(process.ownership.owned)
    ended_at = cell.now
    calls_before = cell.sent["store"]
    cell.placing_since.clear()
    if kind == "leave":
        process.deliver(Leave())
    else:
        process.alive = False
    cell.run(12.0)
    times = [cell.placing_since.get(shard, float("inf")) - ended_at for shard in shards]
    return {
        "shards": len(shards),
        "first_s": round(min(times), 3),
        "last_s": round(max(times), 3),
        "store_calls_per_s": round((cell.sent["store"] - calls_before) / 12.0, 1),
    }


def _measure_outage(cell: Cell) -> dict[str, float]:
    """Stop all stores for 10 minutes; measure kept authority and later store calls."""
    for store in cell.stores.values():
        store.down = True
    cell.run(30.0)
    heartbeat_rate = cell.rate("heartbeats", 10.0)
    cell.run(560.0)
    owned = [
        (name, shard)
        for name, process in cell.processes.items()
        for shard in process.ownership.owned
        if process.alive
    ]
    kept = sum(cell.exclusive[item] for item in owned)
    for store in cell.stores.values():
        store.down = False
    call_rates = [cell.rate("store", 1.0) for _ in range(20)]
    return {
        "shards": len(owned),
        "with_full_authority": kept,
        "heartbeats_per_s_and_process": round(heartbeat_rate / len(cell.processes), 1),
        "peak_store_calls_per_s": max(call_rates),
    }


def measure(
    data_centres: int, members: int, shards: int, seed: int
) -> dict[str, t.Any]:
    """Return the figures of one deployment size."""
    cell = Cell(data_centres, members, shards, seed)
    start_rates = [cell.rate("store", 1.0) for _ in range(10)]
    cell.run(60.0)
    results: dict[str, t.Any] = {
        "processes": data_centres * members,
        "start_peak_store_calls_per_s": max(start_rates),
        "rest_store_calls_per_s": round(cell.rate("store", 60.0), 1),
        "rest_heartbeats_per_s_and_process": round(
            cell.rate("heartbeats", 60.0) / (data_centres * members), 1
        ),
        "outage": _measure_outage(cell),
    }
    for kind in ("death", "leave"):
        cell = Cell(data_centres, members, shards, seed)
        cell.run(60.0)
        results[kind] = _measure_recovery(cell, kind)
    return results


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the random source.")
@click.option(
    "--size",
    multiple=True,
    default=["3x2", "6x5", "15x8", "1x30", "1x120"],
    show_default=True,
    help="Data centres x processes in each.",
)
@click.option("--shards", default=4, show_default=True, help="Shards per data centre.")
def ownership(seed: int, size: tuple[str, ...], shards: int) -> None:
    """Measure recovery times and store calls under a virtual clock."""
    for item in size:
        data_centres, _, members = item.partition("x")
        figures = measure(int(data_centres), int(members), shards, seed)
        click.echo(json.dumps({"size": item, **figures}))
