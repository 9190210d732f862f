"""Shard ownership: store lease, promises, epochs, acquisition and release of shards."""

import random
import typing as t
from dataclasses import dataclass

from . import acquisition
from .assignment import Assignment, Write
from .fencing import lease_wait_s, shorten_for_drift
from .heartbeats import Heartbeats
from .lease import LEASE_TTL_S, SPREAD_S, Lease
from .messages import Authority, Tick
from .ownership_messages import (
    Heartbeat,
    HeartbeatReply,
    LeaseFailed,
    LeaseGranted,
    LeaseRenewed,
    Leave,
    PeerMissed,
    ProvenDead,
    RecordConflict,
    RecordFailed,
    RecordSeen,
    RecordUnknown,
    RecordWritten,
    RevokeLease,
    ShardReleased,
    ShardsConfigured,
    ShardSettled,
    ShardTaken,
    WatchRecord,
)
from .record import Record, ShardOwner
from .statechart import load_chart
from .takeover import EpochRefused

__all__ = ["LEASE_TTL_S", "Ownership"]

_CHART = load_chart("lease")

# Additional wait of a candidate that the old owner did not know. Its take-over has to
# wait for every claim and knows no VM that left before it started, so that it answers
# more requests "unknown outcome" than that of an older member.
JOINER_WAIT_S = 1.0

# Time between two acquisitions of one process: at most 2 shards per second.
ACQUIRE_S = 0.5

# Longest authority announced at a time; ticks renew it. It is as long as the authority
# by a store lease, so that workers see no difference between a lease and promises.
AUTHORITY_S = shorten_for_drift(LEASE_TTL_S)

# Value of `SPREAD_S` for a process that must not wait: it is leaving, releases shards
# or has only limited authority.
SHORT_SPREAD_S = 0.3

# Interval between handovers that even out the number of shards that members own.
BALANCE_S = 5.0

# Time without a confirmed lease renewal after which an owner requests promises from all
# members.
AT_RISK_S = 2.5


@dataclass(slots=True)
class _Owned:
    """Shard that this process owns."""

    epoch: int
    # Authority last announced.
    announced: Authority | None = None
    # Whether every worker is claimed, so that no earlier owner has authority any more.
    settled: bool = False


class Ownership:
    """Decides which shards of its data centre this process owns, and until when.

    It holds at most one store lease and has at most one write of the record in flight.
    The messages are described in `ownership_messages`. A `Tick` is needed at least
    every 100 ms, and after any pause before other messages are handled.

    Authority over all kinds of work comes from the store lease, or from promises of all
    other members. Without both, it is limited to work that is neither exclusive nor
    non-idempotent.

    Parameters
    ----------
    process : str
        Process id with incarnation.
    address : str
        Address at which the process already listens.
    """

    state: str

    def __init__(self, process: str, address: str, rng: random.Random):
        self.process = process
        self._address = address
        self._rng = rng
        self._lease = Lease(rng)
        self._assignment = Assignment(process, rng)
        self._acquire_at = 0.0
        self._balance_at = 0.0
        self._shards: tuple[str, ...] = ()
        self._owned: dict[str, _Owned] = {}
        # Epoch of each owned shard that a worker has refused; the shard is released.
        self._refused: dict[str, int] = {}
        # Successor of each shard whose release is not confirmed yet.
        self._releasing: dict[str, str] = {}
        # Time since which each free shard has been free.
        self._free_since: dict[str, float] = {}
        self._watching = False
        self._leaving = False
        self._heartbeats = Heartbeats(process, rng)
        self.promises = self._heartbeats.promises
        self.membership = self._heartbeats.membership
        self.state = _CHART.initial

    @property
    def record(self) -> Record:
        """Assignment record as last seen."""
        return self._assignment.record

    @property
    def owned(self) -> dict[str, int]:
        """Shards that this process owns and the epoch of each."""
        return {shard: item.epoch for shard, item in self._owned.items()}

    def owner_of(self, shard: str) -> str:
        """Return the process that owns a shard, as last seen; empty if none does."""
        entry = self.record.shards.get(shard)
        return entry.owner if entry else ""

    def handle(self, now: float, message: t.Any) -> list[t.Any]:
        """Process one message; return the resulting commands and notices."""
        handler = _HANDLERS[type(message)]
        return handler(self, now, message)

    # Lease

    def _tick(self, now: float, _: Tick) -> list[t.Any]:
        out = self._authorities(now)
        if self.state != "left":
            out += self._lease.due_calls(now)
        out += self._record_calls(now)
        out += self._send_heartbeats(now)
        return out

    def _lease_granted(self, now: float, message: LeaseGranted) -> list[t.Any]:
        if self.state == "left":
            return [RevokeLease(message.lease)]
        self._lease.granted(message)
        return self._authorities(now) + self._assignment.read(now)

    def _lease_renewed(self, now: float, message: LeaseRenewed) -> list[t.Any]:
        self._lease.renewed(message)
        return self._authorities(now)

    def _lease_failed(self, now: float, message: LeaseFailed) -> list[t.Any]:
        # Shards to be released, or with limited authority, should not wait for a lease.
        urgent = self._leaving or self._releasing or self.state == "limited"
        self._lease.failed(now, message, SHORT_SPREAD_S if urgent else SPREAD_S)
        return self._authorities(now)

    # Authority

    def _full_until(self) -> float:
        """Return the end of the authority over all kinds of work."""
        others = (name for name in self.record.members if name != self.process)
        promised = self.promises.valid_until(others)
        return max(self._leased_until(), promised)

    def _leased_until(self) -> float:
        """Return the end of the authority by the store lease.

        It is minus infinity while the record does not name the lease for this process.
        """
        me = self.record.members.get(self.process)
        if me is None or me.lease != self._lease.name:
            return float("-inf")
        return self._lease.until

    def _authorities(self, now: float) -> list[t.Any]:
        if not self._owned:
            self._update_state(now, float("-inf"))
            return []
        full_until = self._full_until()
        self._update_state(now, full_until)
        out: list[t.Any] = []
        for shard, owned in self._owned.items():
            notice = _authority(now, shard, owned, full_until)
            if notice is not None:
                owned.announced = notice
                out.append(notice)
        return out

    def _update_state(self, now: float, full_until: float) -> None:
        if self.state == "left":
            return
        if self._lease.until > now and (not self._owned or self._leased_until() > now):
            event = "confirm"
        elif not self._owned:
            event = "lapse"
        else:
            event = "promise" if full_until > now else "limit"
        self.state = _CHART.step(self.state, event)

    # Record

    def _record_seen(self, now: float, seen: RecordSeen) -> list[t.Any]:
        self._assignment.read_ended()
        return self._update_view(now, seen) + self._assignment.repeat_unknown()

    def _update_view(self, now: float, seen: RecordSeen) -> list[t.Any]:
        if seen.version < self._assignment.view.version:
            return []
        write = self._assignment.update(seen)
        self._heartbeats.set_members(now, seen.record)
        out = self._drop_lost() + (self._add_acquired(write) if write else [])
        return out + self._authorities(now) + self._watch(now)

    def _add_acquired(self, write: Write) -> list[t.Any]:
        """Add the shards that a resolved write has acquired; return the notices."""
        mine = self.record.owned_by(self.process)
        out: list[t.Any] = []
        for taken in write.takes:
            shard, epoch = taken.shard, taken.epoch
            if mine.get(shard) == epoch and self._refused.get(shard) != epoch:
                self._owned[shard] = _Owned(epoch)
                out.append(taken)
        return out

    def _drop_lost(self) -> list[t.Any]:
        mine = self.record.owned_by(self.process)
        self._releasing = {k: v for k, v in self._releasing.items() if k in mine}
        lost = [k for k, item in self._owned.items() if mine.get(k) != item.epoch]
        return [ShardReleased(shard, self._owned.pop(shard).epoch) for shard in lost]

    def _taken_notice(self, shard: str, epoch: int) -> ShardTaken:
        """Return the notice for the acquisition of a shard.

        It depends on the entry of the shard in the record before the acquisition.
        """
        old = self.record.shards.get(shard)
        if old is None:
            return ShardTaken(shard, epoch, "", True, 0.0, first=True)
        known = self._is_known(old, self.record)
        wait = lease_wait_s()
        if not old.owner or self.promises.is_dead(old.owner):
            # No lease has ended here. A start that the old owner sent just before its
            # end stays valid for up to the lease time.
            wait += LEASE_TTL_S
        to_me = not old.owner and old.successor == self.process
        return ShardTaken(shard, epoch, old.owner, known, wait, handed_over=to_me)

    def _is_known(self, old: ShardOwner, before: Record) -> bool:
        """Return whether all earlier authority over a shard has ended or soon ends."""
        if old.uncertain:
            return False
        if not old.owner or self.promises.is_dead(old.owner):
            return True
        return self._heartbeats.was_known_to(old.owner, before)

    def _record_written(self, now: float, message: RecordWritten) -> list[t.Any]:
        seen = self._assignment.on_written(message, self._lease.name)
        return self._update_view(now, seen) if seen else []

    def _record_conflict(self, now: float, _: RecordConflict) -> list[t.Any]:
        return self._assignment.on_conflict(now)

    def _record_failed(self, now: float, _: RecordFailed) -> list[t.Any]:
        return self._assignment.on_failure(now)

    def _record_unknown(self, now: float, _: RecordUnknown) -> list[t.Any]:
        return self._assignment.on_unknown_outcome(now)

    def _watch(self, now: float) -> list[t.Any]:
        """Start or stop watching the record.

        The first two live members by name watch it; the others learn it from them.
        """
        live = self._assignment.live_members()
        avoided = self.membership.avoided(now)
        wanted = self.process in [name for name in live if name not in avoided][:2]
        if wanted == self._watching:
            return []
        self._watching = wanted
        return [WatchRecord(wanted)]

    def _record_calls(self, now: float) -> list[t.Any]:
        if self._assignment.read_due(now) and self.state != "left":
            return self._assignment.read(now)
        if not self._assignment.may_write(now) or self._lease.until <= now:
            return []
        me = self.record.members.get(self.process)
        if me is None or me.lease != self._lease.name:
            return self._join()
        if self._leaving:
            return self._leave_calls()
        return (
            self._release_calls()
            or self._acquire(now)
            or self._settle()
            or self._balance(now)
        )

    def _join(self) -> list[t.Any]:
        """Return the write that adds this process and its lease to the record.

        A process that is leaving and owns no shard does not join any more: it revokes
        its lease instead.
        """
        if self._leaving and not self.record.owned_by(self.process):
            return self._revoke()
        record = self.record.with_member(self.process, self._address, self._lease.name)
        return self._assignment.send(record)

    def _acquire(self, now: float) -> list[t.Any]:
        self._update_free(now)
        if now < self._acquire_at:
            return []
        live = self._assignment.live_members()
        for shard, since in self._free_since.items():
            if now >= since + self._wait_s(shard, live) and self._may_take(now, shard):
                return self._take(now, shard)
        return []

    def _wait_s(self, shard: str, live: list[str]) -> float:
        wait = acquisition.wait_s(self.record, shard, self.process, live)
        owner = self.owner_of(shard)
        if owner and not self._heartbeats.was_known_to(owner, self.record):
            return wait + JOINER_WAIT_S
        return wait

    def _update_free(self, now: float) -> None:
        free = [
            s
            for s in self._shards
            if self._assignment.last_owner_if_free(s) is not None
        ]
        self._free_since = {s: self._free_since.get(s, now) for s in free}

    def _may_take(self, now: float, shard: str) -> bool:
        owner = self._assignment.last_owner_if_free(shard)
        if owner == self.process:
            return False
        return not owner or self.promises.given_until(owner) <= now

    def _take(self, now: float, shard: str) -> list[t.Any]:
        self._acquire_at = now + ACQUIRE_S
        old = self.record.shards.get(shard)
        uncertain = old is not None and not self._is_known(old, self.record)
        record = self.record.with_owner(shard, self.process, uncertain)
        taken = self._taken_notice(shard, record.shards[shard].epoch)
        previous_owner = self._assignment.last_owner_if_free(shard) or ""
        return self._assignment.send(record, (taken,), previous_owner)

    def _shard_settled(self, now: float, message: ShardSettled) -> list[t.Any]:
        owned = self._owned.get(message.shard)
        if owned is not None and owned.epoch == message.epoch:
            owned.settled = True
        return []

    def _settle(self) -> list[t.Any]:
        """Clear the `uncertain` flag of shards in the record, if one is settled now."""
        done = [
            shard
            for shard, owned in self._owned.items()
            if owned.settled and self.record.shards[shard].uncertain
        ]
        return self._assignment.send(self.record.with_settled(done)) if done else []

    # Release

    def _leave(self, now: float, _: Leave) -> list[t.Any]:
        self._leaving = True
        return self._record_calls(now)

    def _leave_calls(self) -> list[t.Any]:
        mine = self.record.owned_by(self.process)
        if not mine:
            return self._revoke()
        live = self._assignment.live_members()
        others = [name for name in live if name != self.process]
        chosen = acquisition.successors(self.record, others, mine)
        return self._release(chosen)

    def _release(self, chosen: dict[str, str]) -> list[t.Any]:
        """Stop serving shards, and then write that they are released.

        Parameters
        ----------
        chosen : dict
            Successor of each shard; empty for none.
        """
        out: list[t.Any] = []
        for shard, successor in chosen.items():
            self._releasing[shard] = successor
            owned = self._owned.pop(shard, None)
            if owned is not None:
                out.append(ShardReleased(shard, owned.epoch, successor))
        record = self.record.with_released(chosen)
        return out + self._assignment.send(record, releases=True)

    def _revoke(self) -> list[t.Any]:
        self.state = _CHART.step(self.state, "leave")
        return self._lease.revoke()

    def _release_calls(self) -> list[t.Any]:
        mine = self.record.owned_by(self.process)
        old = {
            shard: "" for shard in mine if self._shards and shard not in self._shards
        }
        refused = {k: "" for k, v in mine.items() if self._refused.get(k) == v}
        pending = {**old, **refused, **self._releasing}
        return self._release(pending) if pending else []

    def _balance(self, now: float) -> list[t.Any]:
        """Hand one shard to the member with the fewest, to even out the numbers.

        That member must own at least two shards fewer than this process.
        """
        if now < self._balance_at or len(self._owned) < 2 or self._free_since:
            return []
        self._balance_at = now + BALANCE_S * self._rng.uniform(0.8, 1.2)
        live = set(self._assignment.live_members())
        usable = live - self.membership.avoided(now)
        shard = min(self._owned)
        successor = acquisition.least_loaded(self.record, usable, shard)
        held = acquisition.shard_counts(self.record, live)
        if not successor or held[successor] > len(self._owned) - 2:
            return []
        return self._release({shard: successor})

    def _epoch_refused(self, now: float, message: EpochRefused) -> list[t.Any]:
        owned = self._owned.get(message.shard)
        if owned is None or owned.epoch != message.epoch:
            return []
        del self._owned[message.shard]
        self._refused[message.shard] = message.epoch
        return [
            ShardReleased(message.shard, message.epoch),
            *self._assignment.read(now),
        ]

    def _configured(self, now: float, message: ShardsConfigured) -> list[t.Any]:
        self._shards = message.shards
        self._heartbeats.config_number = message.config_number
        return self._record_calls(now)

    # Heartbeats

    def _send_heartbeats(self, now: float) -> list[t.Any]:
        owner = bool(self._owned)
        at_risk = owner and now - self._lease.confirmed_at > AT_RISK_S
        view = self._assignment.view
        return [*self._heartbeats.due(now, view, owner=owner, everyone=at_risk)]

    def _heartbeat(self, now: float, message: Heartbeat) -> list[t.Any]:
        if message.to != self.process:
            return []
        out = self._process_info(now, message)
        write = self._assignment.write
        previous_owner = write.previous_owner if write else ""
        view = self._assignment.view
        return [*out, self._heartbeats.reply(now, message, view, previous_owner)]

    def _heartbeat_reply(self, now: float, message: HeartbeatReply) -> list[t.Any]:
        if message.to != self.process:
            return []
        return self._process_info(now, message) + self._authorities(now)

    def _process_info(
        self, now: float, message: Heartbeat | HeartbeatReply
    ) -> list[t.Any]:
        self._heartbeats.receive(now, message)
        return self._update_view(now, message.record) if message.record else []

    def _peer_missed(self, now: float, message: PeerMissed) -> list[t.Any]:
        self.membership.missed(now, message.process)
        return self._watch(now)

    def _proven_dead(self, now: float, message: ProvenDead) -> list[t.Any]:
        self.promises.mark_dead(message.process)
        self.membership.missed(now, message.process)
        return self._authorities(now)


def _authority(
    now: float, shard: str, owned: _Owned, full_until: float
) -> Authority | None:
    """Return the authority to announce for a shard, or None if none is due.

    The result is stored in `owned` as the last one announced.
    """
    last = owned.announced
    if full_until > now:
        until = min(full_until, now + AUTHORITY_S)
        exclusive = True
    else:
        until, exclusive = now + AUTHORITY_S, False
    # While the end moves on with each tick, it is announced about once a second only.
    if last and last.exclusive == exclusive and 0.0 <= until - last.until < 1.0:
        return None
    owned.announced = Authority(shard, owned.epoch, until, exclusive)
    return owned.announced


_HANDLERS: dict[type, t.Callable[[t.Any, float, t.Any], list[t.Any]]] = {
    EpochRefused: Ownership._epoch_refused,
    Heartbeat: Ownership._heartbeat,
    HeartbeatReply: Ownership._heartbeat_reply,
    LeaseFailed: Ownership._lease_failed,
    LeaseGranted: Ownership._lease_granted,
    LeaseRenewed: Ownership._lease_renewed,
    Leave: Ownership._leave,
    PeerMissed: Ownership._peer_missed,
    ProvenDead: Ownership._proven_dead,
    RecordConflict: Ownership._record_conflict,
    RecordFailed: Ownership._record_failed,
    RecordSeen: Ownership._record_seen,
    RecordUnknown: Ownership._record_unknown,
    RecordWritten: Ownership._record_written,
    ShardsConfigured: Ownership._configured,
    ShardSettled: Ownership._shard_settled,
    Tick: Ownership._tick,
}
