"""Simulated processes, workers, stores and network of the fuzzer."""

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

# Safety mechanisms that the fuzzer can disable, to show that it detects their absence:
# name on the command line, and rule that no longer holds.
MECHANISMS = {
    "epoch": "workers refuse lower epochs (G1)",
    "valid_until": "workers refuse starts after valid_until_ms (G2)",
    "attempt_id": "workers refuse an attempt id seen before (G3)",
    "renewal_limit": "workers refuse renewals after the authority's end",
    "exclusive_renewal": "exclusive attempts need exclusive authority for renewal",
    "lease_wait": "exclusive work waits until the old owner's tasks have ended",
    "claim": "nothing is placed on a worker that is not claimed",
    "duplicate": "the ledger recognizes the ids of known requests",
    "unknown_outcome": "requests issued before the take-over have an unknown outcome"
    " while a worker is not claimed",
    "charge": "a VM is charged before the start is sent",
    "ticket_order": "only a higher ticket number is applied",
    "promises": "no take-over while a promise to the owner lasts",
    "promise_in_flight": "no promise to an owner during a take-over from it",
    "list_read": "claims are complete only after the VM list was read again",
    "claims_new": "new VMs are claimed only while the store lease holds",
    "departed": "requests issued before the last VM removal have an unknown outcome",
    "copy_age": "requests older than the retention of answers are ignored",
    "known": "a process that the old owner did not know waits for the claims",
    "lease_end": "take-over only after the owner's lease has ended",
}

# Wall-clock time at true time 0, in seconds since the Unix epoch.
WALL = 1_700_000_000.0
VM_CAPACITY = Resources(4000, 4000, 0)

# Limit of undelivered messages; above it the oldest quarter is dropped, as by a full
# buffer.
POOL_LIMIT = 400

# Number of actions and deliveries kept for the report of a failure.
TRACE_LIMIT = 20_000


@dataclass(slots=True, eq=False)
class _Item:
    """Undelivered message.

    Attributes
    ----------
    call_id : int
        Id of a store call, to which the reply refers; 0 in other messages.
    sent_at : float
        Time on the sender's monotonic clock; set in store calls only.
    """

    sender: str
    to: str
    message: t.Any
    call_id: int = 0
    sent_at: float = 0.0

    def __str__(self) -> str:
        return f"{self.sender} -> {self.to}: {self.message}"


class World:
    """State of one episode: clock, processes, workers, stores and network.

    Parameters
    ----------
    without : frozenset of str
        Names from `MECHANISMS` that are disabled.
    small : bool
        Whether to build one data centre with one shard and few processes.
    real_scheduler : bool
        Whether shards are owned by `ShardScheduler` and not by `FuzzShard`.

    Attributes
    ----------
    true_time : float
        Simulated time in seconds; the clocks of processes, workers and stores drift
        from it.
    list_up : bool
        Whether the platform's VM list can be read.
    slow_store : bool
        Whether `Fuzzer.flush` leaves most messages of the stores undelivered.
    data_centres : dict
        Number of processes at the start, by data centre.
    pool : list of _Item
        Undelivered messages, oldest first.
    cuts : set of frozenset of str
        Pairs of endpoints that cannot reach each other. A process is named without
        its incarnation, a store ``store/`` and its data centre.
    accepted : Ticket
        Last accepted ticket.
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
        self.true_time = 0.0
        self.list_up = True
        self.slow_store = False
        self.pool: list[_Item] = []
        self._trace: deque[tuple[float, str, t.Any]] = deque(maxlen=TRACE_LIMIT)
        self.nodes: dict[str, Node] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.cuts: set[frozenset[str]] = set()
        self.accepted = Ticket(1, "content 1")
        self._ids = 0
        # VMs of the platform's list, each with whether it is leaving.
        self._vms: dict[str, tuple[VmSpec, bool]] = {}
        # Entry process and work by token, for submissions that are not answered yet.
        self._callers: dict[str, tuple[str, Work]] = {}
        dc_count = 1 if small else rng.choice((1, 1, 2))
        max_nodes = 3 if small else 4
        self.data_centres = {
            f"dc{i + 1}": rng.randint(1, max_nodes) for i in range(dc_count)
        }
        self.shard_count = 1 if small else rng.randint(1, 2)
        self.stores = {dc: FakeStore(rng) for dc in self.data_centres}
        self.oracle.ticket_accepted(1, "content 1")
        for dc, node_count in self.data_centres.items():
            for index in range(rng.randint(1, 4)):
                self.add_worker(f"{dc}-vm{index}", dc)
            for index in range(node_count):
                self.add_node(f"{dc}-p{index}#1", dc)

    # Names

    def wall(self) -> float:
        """Return the exact wall-clock time."""
        return WALL + self.true_time

    def next_id(self) -> int:
        """Return a number that was not used before."""
        self._ids += 1
        return self._ids

    def disables(self, mechanism: str) -> bool:
        """Return whether a mechanism is disabled."""
        return mechanism in self.without

    def shards(self, dc: str) -> tuple[str, ...]:
        """Return the names of the shards of a data centre."""
        return tuple(shard_names(dc, self.shard_count))

    def all_shards(self) -> list[str]:
        """Return the names of all shards."""
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
        """Return the listed VMs of a data centre and whether each is leaving."""
        vms = self._vms.items()
        return {vm: item for vm, item in vms if item[0].data_centre == dc}

    # Processes and workers

    def add_worker(self, name: str, dc: str) -> None:
        """Add a worker and list its VM."""
        worker = FakeWorker(name, VM_CAPACITY, self.rng, self.oracle, self.without)
        self.workers[name] = worker
        spec = VmSpec(name, dc, "r", name, VM_CAPACITY)
        self._vms[name] = spec, False

    def add_node(self, name: str, dc: str) -> None:
        """Start a process and send it the last accepted ticket."""
        node = Node(name, dc, self, self.rng)
        self.nodes[name] = node
        node.deliver("store", self.accepted)

    def patch_ownership(self, node: Node) -> None:
        """Patch a process's ownership object to disable mechanisms."""
        ownership = t.cast(t.Any, node.ownership)
        if self.disables("promises"):
            ownership.promises.given_until = lambda owner: float("-inf")
        if self.disables("promise_in_flight"):
            heartbeats = ownership._heartbeats
            heartbeats.reply = functools.partial(_promise_always, heartbeats)
        if self.disables("known"):
            ownership._is_known = lambda old, before: True
        if self.disables("lease_end"):
            ownership._assignment.last_owner_if_free = ownership.owner_of

    def patch_takeover(self, takeover: Takeover) -> None:
        """Patch a take-over to disable mechanisms."""
        patched = t.cast(t.Any, takeover)
        if self.disables("claim"):
            patched.may_place = lambda vm: True
        if self.disables("unknown_outcome"):
            patched.may_run_unreported = lambda issued_at: True

    def patch_ledger(self, ledger: Ledger) -> None:
        """Patch a ledger to disable its check for known ids."""
        if self.disables("duplicate"):
            patched = t.cast(t.Any, ledger)
            patched._register_known = functools.partial(_always_new, ledger)

    # Messages

    def note(self, action: str, detail: t.Any) -> None:
        """Add an action to the trace."""
        self._trace.append((self.true_time, action, detail))

    def trace_lines(self) -> list[str]:
        """Return the trace as text."""
        return [
            f"{true_time:9.3f} {action} {detail}"
            for true_time, action, detail in self._trace
        ]

    def send(self, sender: str, to: str, message: t.Any) -> None:
        """Add a message to the undelivered ones."""
        self.pool.append(_Item(sender, to, message))
        if len(self.pool) > POOL_LIMIT:
            del self.pool[: POOL_LIMIT // 4]

    def send_store(self, node: Node, call_id: int, message: t.Any) -> None:
        """Add a store call to the undelivered messages."""
        item = _Item(node.name, f"store/{node.dc}", message, call_id, node.now())
        self.pool.append(item)

    def deliver(self, item: "_Item", keep_copy: bool = False) -> None:
        """Deliver a message, or lose it at a cut; `keep_copy` leaves it in the pool."""
        node = self.nodes.get(item.to)
        if node is not None and node.paused:
            return
        if not keep_copy:
            self.pool.remove(item)
        self.note("repeat" if keep_copy else "deliver", item)
        if frozenset((_endpoint(item.sender), _endpoint(item.to))) in self.cuts:
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
            reply = store.handle(self.true_time, item.message, item.sent_at)
        self.pool.append(_Item(item.to, item.sender, _StoreReply(reply), item.call_id))

    def _deliver_worker(self, item: _Item) -> None:
        worker = self.workers[item.to]
        if worker.gone:
            return
        for reply in worker.handle(self.true_time, item.message):
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
        """Submit work to an entry process, which forwards it; return the token."""
        token = f"{entry.name}!{self.next_id()}!{attempt}"
        self.oracle.submitted(token, work)
        self._callers[token] = entry.name, work
        owner = entry.owner_for(work)
        message = Submit(work, token, entry.wall(), attempt)
        if not owner:
            entry.answer(self.not_owner(message))
        else:
            self.send(entry.name, owner, message)
        return token

    def not_owner(self, message: Submit, handled: bool = False) -> Answer:
        """Return the answer of a process that does not own the work's shard.

        If the process has `handled` the request before, its outcome is unknown.
        """
        code = Code.UNKNOWN_OUTCOME if handled else Code.NOT_OWNER
        request_id = message.work.request_id
        return Answer(request_id, code, code.outcome, reply_to=message.reply_to)

    def deliver_answer(self, node: Node, answer: Answer) -> None:
        """Pass an answer on to its caller, unless the caller has one already."""
        if self._callers.pop(answer.reply_to, None) is not None:
            self.oracle.answer_received(answer.reply_to, answer)

    # VMs

    def mark_leaving(self, name: str) -> None:
        """Mark a VM as leaving in the platform's list."""
        spec, _ = self._vms[name]
        self._vms[name] = spec, True

    def unlist_worker(self, name: str) -> None:
        """Remove a VM from the platform's list."""
        del self._vms[name]


@dataclass(frozen=True, slots=True)
class _StoreReply:
    """Reply of a store; `reply` is None if it refused the connection."""

    reply: t.Any


def _endpoint(name: str) -> str:
    """Return an endpoint's name in `World.cuts`, without the incarnation."""
    return name.partition("#")[0]


def _always_new(
    ledger: t.Any, now: float, entry: t.Any, work: Work, *_: t.Any
) -> Registered:
    """Register a known request as if it were new."""
    del ledger._entries[work.request_id]
    for attempt_id in entry.attempts:
        del ledger._by_attempt[attempt_id]
    return ledger.register(now, now, work)


def _promise_always(
    heartbeats: t.Any, now: float, message: Heartbeat, view: t.Any, _: str
) -> HeartbeatReply:
    """Reply to a heartbeat as if no take-over were in flight."""
    return Heartbeats.reply(heartbeats, now, message, view, "")
