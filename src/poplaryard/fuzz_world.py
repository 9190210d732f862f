"""Processes, workers, stores and undelivered messages of the fuzzer."""

import functools
import random
import typing as t
from collections import deque
from dataclasses import dataclass

from .codes import Code
from .configuration import VmSpec
from .fuzz_node import Node, Ticket
from .fuzz_store import FakeStore
from .fuzz_worker import FakeWorker
from .heartbeats import Heartbeats
from .messages import (
    Answer,
    Submit,
    Work,
)
from .oracle import Oracle
from .outcome import Ledger, Registered
from .ownership_messages import Heartbeat, HeartbeatReply, ProvenDead
from .resources import Resources
from .routing import home_shard, routing_key, shard_names, shard_of_vm
from .takeover import Takeover

__all__ = ["MECHANISMS", "World"]

# Safety mechanisms that can be taken out one at a time.
MECHANISMS = {
    "epoch": "workers refuse lower epochs (G1)",
    "valid_until": "workers refuse starts after valid_until_ms (G2)",
    "attempt_id": "workers refuse an attempt id seen before (G3)",
    "renewal_limit": "workers refuse renewals after the authority's end",
    "exclusive_renewal": "renewals of exclusive attempts end with full authority",
    "lease_wait": "wait for the old owner's tasks before exclusive work",
    "claim": "claim of a worker before placing on it",
    "duplicate": "the ledger's check for a known id",
    "unknown_outcome": "old ids are unknown while a worker is missing",
    "charge": "charge of a VM before the start is sent",
    "ticket_order": "only a higher ticket number is applied",
    "promises": "no take-over while a promise lasts",
    "promise_in_flight": "no promise while a take-over is in flight",
    "list_read": "claims are complete only for a list read after the take-over",
    "claims_new": "new VMs are claimed only while the store lease holds",
    "departed": "ids older than the last departure of a VM are unknown",
    "copy_age": "copies of a request older than answers are kept are ignored",
    "known": "a member that joined later waits for the claims",
    "lease_end": "take-over only after the owner's lease has ended",
}

WALL = 1_700_000_000.0
VM_CAPACITY = Resources(4000, 4000, 0)

# Most undelivered messages; beyond it the oldest are dropped, as full buffers would.
POOL_LIMIT = 400

# Actions and messages kept for the report of a failure.
TRACE_LIMIT = 20_000


@dataclass(slots=True, eq=False)
class _Item:
    sender: str
    to: str
    message: t.Any
    call_id: int = 0
    sent_at: float = 0.0

    def __str__(self) -> str:
        return f"{self.sender} -> {self.to}: {self.message}"


class World:
    """State of one episode.

    Parameters
    ----------
    without : frozenset of str
        Names from `MECHANISMS` that are taken out.
    small : bool
        Whether to build one data centre with one shard and few processes.
    real_scheduler : bool
        Whether shards are owned by `ShardScheduler` and not by `FuzzShard`.
    """

    def __init__(
        self,
        rng: random.Random,
        without: frozenset[str],
        small: bool = False,
        real_scheduler: bool = False,
    ):
        self.rng = rng
        self.without = without
        self.real_scheduler = real_scheduler
        self.oracle = Oracle()
        self.real = 0.0
        self.list_up = True
        self.slow_store = False
        self.pool: list[_Item] = []
        self._trace: deque[tuple[float, str, t.Any]] = deque(maxlen=TRACE_LIMIT)
        self.nodes: dict[str, Node] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.cuts: set[frozenset[str]] = set()
        self.accepted = Ticket(1, "content 1")
        self._ids = 0
        self._vms: dict[str, tuple[VmSpec, bool]] = {}
        self._callers: dict[str, tuple[str, Work]] = {}
        count = 1 if small else rng.choice((1, 1, 2))
        most = 3 if small else 4
        self.data_centres = {f"dc{i + 1}": rng.randint(1, most) for i in range(count)}
        self.shard_count = 1 if small else rng.randint(1, 2)
        self.stores = {dc: FakeStore(rng) for dc in self.data_centres}
        self.oracle.ticket(1, "content 1")
        for dc, count in self.data_centres.items():
            for index in range(rng.randint(1, 4)):
                self.add_worker(f"{dc}-vm{index}", dc)
            for index in range(count):
                self.add_node(f"{dc}-p{index}#1", dc)

    # Names

    def wall(self) -> float:
        """Return true wall-clock time."""
        return WALL + self.real

    def next_id(self) -> int:
        """Return a number that was not used before."""
        self._ids += 1
        return self._ids

    def lacks(self, mechanism: str) -> bool:
        """Tell whether a mechanism is taken out."""
        return mechanism in self.without

    def shards(self, dc: str) -> tuple[str, ...]:
        """Return the shards of a data centre."""
        return tuple(shard_names(dc, self.shard_count))

    def all_shards(self) -> list[str]:
        """Return the shards of the cell."""
        return [shard for dc in self.data_centres for shard in self.shards(dc)]

    def shard_of(self, vm: str) -> str:
        """Return the shard of a worker."""
        return shard_of_vm(vm, self.shards(vm.partition("-")[0]))

    def shard_for(self, work: Work, node: Node) -> str:
        """Return the shard that an entry process chooses for work."""
        key = routing_key(work)
        if key:
            return home_shard(key, self.all_shards())
        return home_shard(work.request_id, self.shards(node.dc))

    def listed(self, dc: str) -> dict[str, tuple[VmSpec, bool]]:
        """Return the VMs of a data centre as the platform lists them, with flags."""
        found = self._vms.items()
        return {vm: item for vm, item in found if item[0].data_centre == dc}

    # Population

    def add_worker(self, name: str, dc: str) -> None:
        """Add a worker VM and tell every process of its data centre."""
        worker = FakeWorker(name, VM_CAPACITY, self.rng, self.oracle, self.without)
        self.workers[name] = worker
        spec = VmSpec(name, dc, "r", name, VM_CAPACITY)
        self._vms[name] = spec, False

    def add_node(self, name: str, dc: str) -> None:
        """Start a process."""
        node = Node(name, dc, self, self.rng)
        self.nodes[name] = node
        node.deliver("store", self.accepted)

    def weaken(self, node: Node) -> None:
        """Take mechanisms out of a process's ownership."""
        ownership = t.cast(t.Any, node.ownership)
        if self.lacks("promises"):
            ownership.promises.given_until = lambda owner: float("-inf")
        if self.lacks("promise_in_flight"):
            heartbeats = ownership._heartbeats
            heartbeats.reply = functools.partial(_promise_always, heartbeats)
        if self.lacks("known"):
            ownership._is_known = lambda old, before: True
        if self.lacks("lease_end"):
            ownership._assignment.last_owner_if_free = ownership.owner_of

    def weaken_takeover(self, takeover: Takeover) -> None:
        """Take mechanisms out of a take-over."""
        weak = t.cast(t.Any, takeover)
        if self.lacks("claim"):
            weak.may_place = lambda vm: True
        if self.lacks("unknown_outcome"):
            weak.may_run_unreported = lambda issued_at: True

    def weaken_ledger(self, ledger: Ledger) -> None:
        """Take the check for known ids out of a ledger."""
        if self.lacks("duplicate"):
            weak = t.cast(t.Any, ledger)
            weak._register_known = functools.partial(_always_new, ledger)

    # Messages

    def note(self, action: str, detail: t.Any) -> None:
        """Add an action to the trace."""
        self._trace.append((self.real, action, detail))

    def lines(self) -> list[str]:
        """Return the trace as text."""
        return [f"{real:9.3f} {action} {what}" for real, action, what in self._trace]

    def send(self, sender: str, to: str, message: t.Any) -> None:
        """Put a message among the undelivered ones."""
        self.pool.append(_Item(sender, to, message))
        if len(self.pool) > POOL_LIMIT:
            del self.pool[: POOL_LIMIT // 4]

    def send_store(self, node: Node, call_id: int, message: t.Any) -> None:
        """Put a store call among the undelivered messages."""
        item = _Item(node.name, f"store/{node.dc}", message, call_id, node.now())
        self.pool.append(item)

    def deliver(self, item: "_Item", again: bool = False) -> None:
        """Deliver an undelivered message, and keep a copy if `again`."""
        node = self.nodes.get(item.to)
        if node is not None and node.paused:
            return
        if not again:
            self.pool.remove(item)
        self.note("repeat" if again else "deliver", item)
        if frozenset((_place(item.sender), _place(item.to))) in self.cuts:
            return
        if item.to.startswith("store/"):
            self._deliver_store(item)
        elif item.to in self.workers:
            self._deliver_worker(item)
        elif node is not None:
            self._deliver_node(node, item)

    def _deliver_store(self, item: _Item) -> None:
        store = self.stores[item.to.partition("/")[2]]
        if store.down:
            reply = None
        else:
            reply = store.handle(self.real, item.message, item.sent_at)
        self.pool.append(_Item(item.to, item.sender, _StoreReply(reply), item.call_id))

    def _deliver_worker(self, item: _Item) -> None:
        worker = self.workers[item.to]
        if worker.gone:
            return
        for reply in worker.handle(self.real, item.message):
            self.send(item.to, item.sender, reply)

    def _deliver_node(self, node: Node, item: _Item) -> None:
        message = item.message
        if not node.alive or node.left:
            if isinstance(message, Heartbeat):
                self.send(item.to, message.sender, ProvenDead(item.to))
            return
        if isinstance(message, _StoreReply):
            node.store_reply(item.call_id, message.reply)
        else:
            node.deliver(item.sender, message)

    # Callers

    def submit(self, work: Work, entry: Node, attempt: int) -> str:
        """Hand a request to an entry process, which forwards it to the owner."""
        token = f"{entry.name}!{self.next_id()}!{attempt}"
        self.oracle.submitted(token, work)
        self._callers[token] = entry.name, work
        owner = entry.entry_for(work)
        message = Submit(work, token, entry.wall(), attempt)
        if not owner:
            entry.answer(self.not_owner(message))
        else:
            self.send(entry.name, owner, message)
        return token

    def not_owner(self, message: Submit, handled: bool = False) -> Answer:
        """Return the answer of a process that does not own the work's shard."""
        code = Code.UNKNOWN_OUTCOME if handled else Code.NOT_OWNER
        request_id = message.work.request_id
        return Answer(request_id, code, code.outcome, reply_to=message.reply_to)

    def answered(self, node: Node, answer: Answer) -> None:
        """Hand an answer to its caller, unless the entry has given it one."""
        if self._callers.pop(answer.reply_to, None) is not None:
            self.oracle.received(answer.reply_to, answer)

    # VMs

    def leave_worker(self, name: str) -> None:
        """Let the platform's list say that a VM is leaving."""
        spec, _ = self._vms[name]
        self._vms[name] = spec, True

    def unlist_worker(self, name: str) -> None:
        """Let the list drop a VM that has failed."""
        del self._vms[name]


@dataclass(frozen=True, slots=True)
class _StoreReply:
    reply: t.Any


def _place(name: str) -> str:
    """Return the name by which cuts know a process, without its incarnation."""
    return name.partition("#")[0]


def _always_new(
    ledger: t.Any, now: float, entry: t.Any, work: Work, *_: t.Any
) -> Registered:
    del ledger._entries[work.request_id]
    for attempt_id in entry.attempts:
        del ledger._by_attempt[attempt_id]
    return ledger.register(now, now, work)


def _promise_always(
    heartbeats: t.Any, now: float, message: Heartbeat, view: t.Any, _: str
) -> HeartbeatReply:
    return Heartbeats.reply(heartbeats, now, message, view, "")
