"""Simulated entry process: production ownership and scheduling over simulated I/O."""

import random
import typing as t
from dataclasses import dataclass, field, replace

from .fencing import valid_until_ms
from .fuzz_scheduler import RealShard
from .fuzz_shard import FuzzShard
from .fuzz_store import failure, timeout
from .fuzz_worker import PollWorker
from .messages import (
    Answer,
    Authority,
    Cancel,
    ClaimReply,
    ClaimWorker,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
    Submit,
    Tick,
    VmGone,
    VmUpdate,
    Work,
    WorkerUnreachable,
)
from .ownership import Ownership
from .ownership_messages import (
    GrantLease,
    Heartbeat,
    HeartbeatReply,
    PeerMissed,
    ProvenDead,
    ReadRecord,
    RenewLease,
    RevokeLease,
    SendHeartbeat,
    ShardReleased,
    ShardsConfigured,
    ShardSettled,
    ShardTaken,
    WatchRecord,
    WriteRecord,
)
from .takeover import EpochRefused, Takeover, VmListRead

if t.TYPE_CHECKING:
    from .fuzz_world import World

__all__ = ["Node", "Ticket"]

STORE_TIMEOUT_S = 1.5
PEER_TIMEOUT_S = 1.0
# Interval between polls of the claimed workers.
POLL_S = 1.0

# Age above which a forwarded request is ignored. The ledger keeps answers for this time
# plus the clock skew. After that it would start a delayed copy of a request that was
# answered "not run".
MAX_REQUEST_AGE_S = 20.0

# Intervals between two reads of the VM list, one of which each process picks. Its copy
# of the list may be that old.
LIST_INTERVALS_S = (1.0, 2.0, 8.0)
# Number of unanswered polls above which a worker is unreachable.
POLLS_MISSED = 3


@dataclass(frozen=True, slots=True)
class Ticket:
    """Accepted configuration, as it is sent to the processes."""

    number: int
    content: str


@dataclass(slots=True)
class _Shard:
    """A shard that the process owns.

    Attributes
    ----------
    settled : bool
        Whether the end of the take-over was reported to the ownership object.
    exclusive_until : float
        Monotonic time at which the last authority for exclusive work lapses.
    polls_missed : dict
        Number of polls since the last reply, by worker.
    readings : dict
        Last reading of a worker's clock in ms and the time of its receipt, by worker.
    """

    scheduler: FuzzShard | RealShard
    takeover: Takeover
    epoch: int
    settled: bool = False
    authority: Authority | None = None
    exclusive_until: float = float("-inf")
    claimed: set[str] = field(default_factory=set)
    polls_missed: dict[str, int] = field(default_factory=dict)
    readings: dict[str, tuple[int, float]] = field(default_factory=dict)


class Node:
    """One incarnation of an entry process.

    Attributes
    ----------
    rate, offset : float
        Rate of the monotonic clock and its reading at true time 0, in seconds.
    wall_error : float
        Difference of the wall clock from the exact one in seconds.
    paused : bool
        Whether the process is paused: it receives no messages and its timers stop.
    watching : bool
        Whether it watches the assignment record.
    left : bool
        Whether it has revoked its lease and left the cell.
    ticket : int
        Number of the ticket applied last.
    """

    def __init__(self, name: str, dc: str, world: "World", rng: random.Random):
        self.name = name
        self.dc = dc
        self.rate = rng.uniform(0.955, 1.045)
        self.offset = rng.uniform(0.0, 1000.0)
        self.wall_error = rng.uniform(-2.0, 2.0)
        self.alive = True
        self.paused = False
        self.watching = False
        self.left = False
        self.ticket = 0
        self.world = world
        self.ownership = Ownership(name, name, rng)
        self.shards: dict[str, _Shard] = {}
        # Time of sending and message of each unanswered store call, by call id.
        self._store_calls: dict[int, tuple[float, t.Any]] = {}
        # Time of sending of each unanswered heartbeat, by receiver and `sent_at`.
        self._heartbeats: dict[tuple[str, float], float] = {}
        # Ids of requests that this process accepted. After it has lost the shard, it
        # may not answer that these did not run.
        self._handled: set[str] = set()
        # VMs that were reported as leaving, by the list or by the worker itself.
        self._leaving: set[str] = set()
        self._poll_at = 0.0
        self._started = self.wall()
        # VM list as this process last read it.
        self._listed = world.listed(dc)
        # Wall-clock time at which this process last saw a VM removed from the list, by
        # shard. Requests issued earlier may have run on that VM.
        self._listed_since: dict[str, float] = {}
        self._list_s = rng.choice(LIST_INTERVALS_S)
        self._list_at = 0.0
        world.patch_ownership(self)
        self.handle_ownership(ShardsConfigured(world.shards(dc), 1))

    def now(self) -> float:
        """Return the reading of the process's monotonic clock."""
        return self.offset + self.world.true_time * self.rate

    def wall(self) -> float:
        """Return the reading of the process's wall clock."""
        return self.world.wall() + self.wall_error

    def tick(self) -> None:
        """Process timeouts, tick ownership and shards, and poll workers when due."""
        now = self.now()
        for call_id, (sent_at, message) in list(self._store_calls.items()):
            if now > sent_at + STORE_TIMEOUT_S:
                del self._store_calls[call_id]
                self.handle_ownership(timeout(message))
        for key, sent_at in list(self._heartbeats.items()):
            if now > sent_at + PEER_TIMEOUT_S:
                del self._heartbeats[key]
                self.handle_ownership(PeerMissed(key[0]))
        self.handle_ownership(Tick())
        # New VMs may be claimed only while the store lease holds, see `Takeover`.
        leased = self.ownership.state == "held" or self.world.disables("claims_new")
        for name, shard in list(self.shards.items()):
            shard.takeover.claims_new = leased
            self.handle_shard(name, Tick())
            if shard.takeover.state == "complete" and not shard.settled:
                shard.settled = True
                self.handle_ownership(ShardSettled(name, shard.epoch))
        if now >= self._list_at and self.world.list_up:
            self._read_list()
        if now >= self._poll_at:
            self._poll_at = now + POLL_S
            self._poll()

    # Ownership

    def handle_ownership(self, message: t.Any) -> None:
        """Pass a message to the ownership object and execute what it returns."""
        for out in self.ownership.handle(self.now(), message):
            self._execute(out)

    def _execute(self, out: t.Any) -> None:
        if isinstance(out, Authority):
            self._update_authority(out)
        elif isinstance(out, SendHeartbeat):
            self._heartbeats[out.to, out.heartbeat.sent_at] = self.now()
            self.world.send(self.name, out.to, out.heartbeat)
        elif isinstance(out, HeartbeatReply):
            self.world.send(self.name, out.to, out)
        elif isinstance(out, ShardTaken):
            self._start_takeover(out)
        elif isinstance(out, ShardReleased):
            self.shards.pop(out.shard, None)
        elif isinstance(out, WatchRecord):
            self.watching = out.on
        else:
            self._send_store_call(out)

    def _send_store_call(self, out: t.Any) -> None:
        assert isinstance(
            out, GrantLease | RenewLease | RevokeLease | ReadRecord | WriteRecord
        )
        if isinstance(out, RevokeLease):
            self.left = True
        else:
            call_id = self.world.next_id()
            self._store_calls[call_id] = self.now(), out
            self.world.send_store(self, call_id, out)
            return
        self.world.send_store(self, 0, out)

    def store_reply(self, call_id: int, reply: t.Any) -> None:
        """Process a reply of the store; None if it refused the connection."""
        call = self._store_calls.pop(call_id, None)
        if call is not None:
            self.handle_ownership(failure(call[1]) if reply is None else reply)

    def _start_takeover(self, out: ShardTaken) -> None:
        listed = self._listed.values()
        vms = [
            item for item in listed if self.world.shard_of(item[0].name) == out.shard
        ]
        takeover = Takeover(
            out.shard,
            out.epoch,
            self.now(),
            self.wall(),
            [vm.name for vm, _ in vms],
            known=out.known,
            first=out.first,
            wait_s=0.0 if self.world.disables("lease_wait") else out.wait_s,
            listed_since=self._listed_since.get(out.shard, self._started),
            list_read=self.world.disables("list_read"),
        )
        self.world.patch_takeover(takeover)
        shard: FuzzShard | RealShard
        if self.world.real_scheduler:
            shard = RealShard(out.shard, self.name, takeover, self.now())
        else:
            shard = FuzzShard(out.shard, self.name, takeover, self.world.without)
        self.world.patch_ledger(shard.ledger)
        self.shards[out.shard] = _Shard(shard, takeover, out.epoch)
        for vm, leaving in vms:
            self.handle_shard(
                out.shard, VmUpdate(vm, leaving or vm.name in self._leaving)
            )
        self._list_at = self.now()
        self.handle_shard(out.shard, Tick())

    def _read_list(self) -> None:
        """Read the platform's VM list and pass its entries and removals on."""
        self._list_at = self.now() + self._list_s
        listed = self.world.listed(self.dc)
        for vm in sorted(self._listed.keys() - listed.keys()):
            self._handle_vm_message(VmGone(vm))
        for spec, leaving in listed.values():
            self._handle_vm_message(VmUpdate(spec, leaving))
        self._listed = listed
        for name in list(self.shards):
            self.handle_shard(name, VmListRead())

    def _update_authority(self, out: Authority) -> None:
        shard = self.shards.get(out.shard)
        if shard is None:
            return
        shard.authority = out
        if out.exclusive:
            shard.exclusive_until = out.until
        self.handle_shard(out.shard, out)

    # Shards

    def handle_shard(self, name: str, message: t.Any) -> None:
        """Pass a message to the owner of a shard and execute what it returns."""
        shard = self.shards.get(name)
        if shard is None:
            return
        for out in shard.scheduler.handle(self.now(), message):
            self._execute_for_shard(name, out)

    def _execute_for_shard(self, name: str, out: t.Any) -> None:
        if isinstance(out, StartAttempt):
            request = out.work.request_id
            self.world.oracle.start_sent(self.name, out.vm, out.attempt_id, request)
            self.world.send(self.name, out.vm, out)
        elif isinstance(out, ClaimWorker | StopAttempt):
            self.world.send(self.name, out.vm, out)
        elif isinstance(out, Answer):
            self.answer(out)
        elif isinstance(out, EpochRefused):
            self.handle_ownership(out)

    def answer(self, out: Answer) -> None:
        """Send an answer to the entry process named in its token."""
        self.world.oracle.answer_sent(self.name, out)
        entry = out.reply_to.partition("!")[0]
        self.world.send(self.name, entry, out)

    def _poll(self) -> None:
        now = self.now()
        for shard in self.shards.values():
            if shard.authority is None or shard.authority.until <= now:
                continue
            for vm in sorted(shard.claimed):
                self._poll_vm(shard, vm)
            self._report_unreachable(shard)

    def _poll_vm(self, shard: _Shard, vm: str) -> None:
        assert shard.authority is not None
        clock_ms, received_at = shard.readings[vm]
        until = valid_until_ms(clock_ms, received_at, shard.authority.until)
        exclusive = valid_until_ms(clock_ms, received_at, shard.exclusive_until)
        shard.polls_missed[vm] = shard.polls_missed.get(vm, 0) + 1
        self.world.send(self.name, vm, PollWorker(vm, shard.epoch, until, exclusive))

    def _report_unreachable(self, shard: _Shard) -> None:
        for vm in sorted(shard.claimed):
            if shard.polls_missed[vm] > POLLS_MISSED:
                shard.claimed.discard(vm)
                shard.polls_missed[vm] = 0
                self.handle_shard(shard.scheduler.shard, WorkerUnreachable(vm))

    # Incoming messages

    def deliver(self, sender: str, message: t.Any) -> None:
        """Process a message from the network."""
        if isinstance(message, Heartbeat | HeartbeatReply):
            self._process_peer_message(sender, message)
        elif isinstance(message, Submit | Cancel):
            self._process_entry_message(message)
        elif isinstance(message, Answer):
            self.world.deliver_answer(self, message)
        elif isinstance(message, Ticket):
            self._apply_ticket(message)
        elif isinstance(message, ProvenDead):
            self.handle_ownership(message)
        else:
            self._process_worker_message(message)

    def _process_peer_message(
        self, sender: str, message: Heartbeat | HeartbeatReply
    ) -> None:
        if isinstance(message, HeartbeatReply):
            self._heartbeats.pop((message.sender, message.sent_at), None)
        self.handle_ownership(message)

    def _process_entry_message(self, message: Submit | Cancel) -> None:
        if isinstance(message, Cancel):
            for name in list(self.shards):
                self.handle_shard(name, message)
            return
        if self.wall() - message.wall > MAX_REQUEST_AGE_S and not self.world.disables(
            "copy_age"
        ):
            return
        shard = self.world.shard_for(message.work, self)
        request = message.work.request_id
        if shard not in self.shards:
            self.answer(self.world.not_owner(message, request in self._handled))
            return
        self._handled.add(request)
        work = replace(message.work, deadline=self.now() + message.work.deadline)
        message = replace(message, work=work)
        self.world.oracle.reached_owner(self.name, message.reply_to, request)
        self.handle_shard(shard, message)

    def _handle_vm_message(self, message: VmUpdate | VmGone) -> None:
        vm = message.vm if isinstance(message, VmGone) else message.vm.name
        shard = self.world.shard_of(vm)
        if isinstance(message, VmGone) and not self.world.disables("departed"):
            self._listed_since[shard] = self.wall()
        if shard not in self.shards:
            return
        if isinstance(message, VmGone):
            self.shards[shard].claimed.discard(vm)
        elif message.leaving or vm in self._leaving:
            # An outdated list does not revoke what the worker itself has reported.
            self._leaving.add(vm)
            self.world.oracle.told_leaving(self.name, vm)
            message = VmUpdate(message.vm, leaving=True)
        self.handle_shard(shard, message)

    def _apply_ticket(self, message: Ticket) -> None:
        if message.number > self.ticket or self.world.disables("ticket_order"):
            self.ticket = message.number
            self.world.oracle.ticket_applied(self.name, message.number, message.content)

    def _process_worker_message(
        self, message: ClaimReply | PollReply | StartReply
    ) -> None:
        name = self.world.shard_of(message.vm)
        shard = self.shards.get(name)
        if shard is None:
            return
        if isinstance(message, ClaimReply | PollReply):
            if message.epoch > shard.epoch:
                self.handle_ownership(EpochRefused(name, shard.epoch))
                return
            self._record_reply(shard, message)
        self.handle_shard(name, message)

    def _record_reply(self, shard: _Shard, message: ClaimReply | PollReply) -> None:
        if message.epoch != shard.epoch:
            return
        last = shard.readings.get(message.vm, (-1, 0.0))
        if message.clock_ms > last[0]:
            shard.readings[message.vm] = message.clock_ms, self.now()
            shard.polls_missed[message.vm] = 0
            if isinstance(message, ClaimReply):
                shard.claimed.add(message.vm)
        if isinstance(message, PollReply) and message.leaving:
            self._leaving.add(message.vm)
            self.world.oracle.told_leaving(self.name, message.vm)

    def owner_for(self, work: Work) -> str:
        """Return the process to which this entry process forwards a request."""
        return self.ownership.owner_of(self.world.shard_for(work, self))
