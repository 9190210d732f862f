"""Store lease, epochs, promises, and acquisition and release of shards."""

import random
import typing as t
from dataclasses import dataclass

from . import acquisition
from .fencing import lease_wait_s, shortened
from .membership import Membership
from .messages import Authority, Tick
from .ownership_messages import (
    GrantLease,
    Heartbeat,
    HeartbeatReply,
    LeaseFailed,
    LeaseGranted,
    LeaseRenewed,
    Leave,
    PeerMissed,
    ProvenDead,
    ReadRecord,
    RecordConflict,
    RecordFailed,
    RecordSeen,
    RecordUnknown,
    RecordWritten,
    RenewLease,
    RevokeLease,
    SendHeartbeat,
    ShardReleased,
    ShardsConfigured,
    ShardTaken,
    WatchRecord,
    WriteRecord,
)
from .promises import Promises
from .record import Record
from .statechart import load_chart
from .takeover import EpochRefused

__all__ = ["LEASE_TTL_S", "Ownership"]

_CHART = load_chart("lease")

LEASE_TTL_S = 6.0
RENEW_S = 2.0

# Shortest and longest wait before a call to a store that did not answer is repeated.
RETRY_S = (0.5, 2.5)

# Wait of a candidate for each candidate that ranks before it.
RANK_WAIT_S = 0.2

# Additional wait of a candidate that the old owner did not know. Its take-over has to
# wait for every claim and knows no VM that left before it started, so that it answers
# more requests "unknown outcome" than that of an older member.
JOINER_WAIT_S = 1.0

# Time between two acquisitions of one process: at most 2 shards per second.
ACQUIRE_S = 0.5

# Time for which others leave a released shard to its named successor.
SUCCESSOR_S = 2.0

# Longest authority given at a time, and renewed with each tick: as long as that of a
# store lease, so that a worker's view of it never depends on the source.
AUTHORITY_S = shortened(LEASE_TTL_S)

# Time between two shards handed over to even out the number that members own.
BALANCE_S = 5.0

# Time without a confirmed renewal after which promises of all members are sought.
AT_RISK_S = 2.5

# Interval at which every process reads the record, should both watchers fail silently.
READ_S = 10.0


@dataclass(slots=True)
class _Write:
    record: Record
    version: int
    before: Record
    # Epochs of the shards that the write takes.
    takes: dict[str, int]
    # Owner whose shard the write takes; it gets no promise until the write is resolved,
    # because the write may take effect after the promise was given.
    victim: str = ""
    # A copy of the write was sent whose outcome is unknown.
    doubtful: bool = False


@dataclass(slots=True)
class _Owned:
    epoch: int
    announced: Authority | None = None


class Ownership:
    """Shards that this process owns in its data centre, and until when.

    It holds at most one store lease and has at most one write of the record in flight.
    The messages are described in `ownership_messages`. Send a `Tick` at least every
    100 ms, and after any pause before other messages are handled.

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
        self._lease = ""
        self._lease_until = float("-inf")
        self._confirmed_at = float("-inf")
        self._awaiting_lease = False
        self._lease_call_at = 0.0
        self._view = RecordSeen(Record(), -1, frozenset())
        self._ended_leases: set[str] = set()
        self._read_at = 0.0
        self._reading = False
        self._write: _Write | None = None
        self._write_at = 0.0
        self._acquire_at = 0.0
        self._balance_at = 0.0
        self._shards: tuple[str, ...] = ()
        self._config_number = 0
        self._owned: dict[str, _Owned] = {}
        self._refused: dict[str, int] = {}
        self._releasing: dict[str, str] = {}
        self._free_since: dict[str, float] = {}
        self._heard_serial: dict[str, int] = {}
        self._promised_serial: dict[str, int] = {}
        self._watching = False
        self._leaving = False
        self.promises = Promises()
        self.membership = Membership(process, rng)
        self.state = _CHART.initial

    @property
    def record(self) -> Record:
        """Assignment record as last seen."""
        return self._view.record

    @property
    def owned(self) -> dict[str, int]:
        """Shards that this process owns and the epoch of each."""
        return {shard: item.epoch for shard, item in self._owned.items()}

    def owner_of(self, shard: str) -> str:
        """Return the process that owns a shard, as last seen; empty if none does."""
        entry = self.record.shards.get(shard)
        return entry.owner if entry else ""

    def handle(self, now: float, message: t.Any) -> list[t.Any]:
        """Take one message and return commands and notices."""
        handler = _HANDLERS[type(message)]
        return handler(self, now, message)

    # Lease

    def _tick(self, now: float, _: Tick) -> list[t.Any]:
        out = self._authorities(now)
        out += self._lease_calls(now)
        out += self._record_calls(now)
        out += self._heartbeats(now)
        return out

    def _lease_calls(self, now: float) -> list[t.Any]:
        if self._awaiting_lease or now < self._lease_call_at or self.state == "left":
            return []
        self._awaiting_lease = True
        if self._lease:
            return [RenewLease(self._lease)]
        return [GrantLease(LEASE_TTL_S)]

    def _lease_granted(self, now: float, message: LeaseGranted) -> list[t.Any]:
        if self.state == "left":
            return [RevokeLease(message.lease)]
        self._lease = message.lease
        self._confirm(now, message.sent_at)
        return self._authorities(now) + self._read(now)

    def _lease_renewed(self, now: float, message: LeaseRenewed) -> list[t.Any]:
        if message.lease != self._lease:
            return []
        self._confirm(now, message.sent_at)
        return self._authorities(now)

    def _confirm(self, now: float, sent_at: float) -> None:
        self._awaiting_lease = False
        self._confirmed_at = max(self._confirmed_at, sent_at)
        until = sent_at + shortened(LEASE_TTL_S)
        self._lease_until = max(self._lease_until, until)
        self._lease_call_at = sent_at + RENEW_S * self._rng.uniform(0.95, 1.05)

    def _lease_failed(self, now: float, message: LeaseFailed) -> list[t.Any]:
        if message.lease not in ("", self._lease):
            return []
        self._awaiting_lease = False
        self._lease_call_at = now + self._rng.uniform(*RETRY_S)
        if message.lapsed:
            self._lease = ""
            self._lease_until = float("-inf")
            self._lease_call_at = now + self._jitter()
        return self._authorities(now)

    def _jitter(self) -> float:
        """Spread the members' calls over a time that grows with their number."""
        return self._rng.uniform(0.0, 0.1 * max(1, len(self.record.members)))

    # Authority

    def _full_until(self) -> float:
        """End of the authority for all kinds of work."""
        others = (name for name in self.record.members if name != self.process)
        promised = self.promises.valid_until(others)
        return max(self._leased_until(), promised)

    def _leased_until(self) -> float:
        """End of the authority by the store lease, once the record names the lease."""
        me = self.record.members.get(self.process)
        if me is None or me.lease != self._lease:
            return float("-inf")
        return self._lease_until

    def _authorities(self, now: float) -> list[t.Any]:
        if not self._owned:
            self._note_state(now, float("-inf"))
            return []
        full = self._full_until()
        self._note_state(now, full)
        out: list[t.Any] = []
        for shard, owned in self._owned.items():
            notice = _authority(now, shard, owned, full)
            if notice is not None:
                owned.announced = notice
                out.append(notice)
        return out

    def _note_state(self, now: float, full: float) -> None:
        if self.state == "left":
            return
        if self._lease_until > now and (not self._owned or self._leased_until() > now):
            event = "confirm"
        elif not self._owned:
            event = "lapse"
        else:
            event = "promise" if full > now else "limit"
        self.state = _CHART.step(self.state, event)

    # Record

    def _read(self, now: float) -> list[t.Any]:
        if self._reading:
            return []
        self._reading = True
        self._read_at = now + READ_S * self._rng.uniform(0.8, 1.2)
        return [ReadRecord()]

    def _record_seen(self, now: float, seen: RecordSeen) -> list[t.Any]:
        self._reading = False
        out = self._learn(now, seen)
        write = self._write
        if write is not None and write.doubtful and self._view.version == write.version:
            # The same write again: whichever copy lands first makes the other fail.
            out.append(WriteRecord(write.record, write.version))
        return out

    def _learn(self, now: float, seen: RecordSeen) -> list[t.Any]:
        if seen.version < self._view.version:
            return []
        leases = {member.lease for member in seen.record.members.values()}
        self._ended_leases = (self._ended_leases & leases) | (leases - seen.live)
        self._view = seen
        self.membership.set_members(seen.record.members)
        self.promises.forget(now, seen.record.members)
        out = self._drop_lost() + self._resolve_write()
        return out + self._authorities(now) + self._watch(now)

    def _resolve_write(self) -> list[t.Any]:
        """Take the shards that the write has won, once a later record is seen."""
        write = self._write
        if write is None or self._view.version <= write.version:
            return []
        self._write = None
        mine = self.record.owned_by(self.process)
        out: list[t.Any] = []
        for shard, epoch in write.takes.items():
            if mine.get(shard) == epoch and self._refused.get(shard) != epoch:
                self._owned[shard] = _Owned(epoch)
                out.append(self._taken(shard, epoch, write.before))
        return out

    def _drop_lost(self) -> list[t.Any]:
        mine = self.record.owned_by(self.process)
        self._releasing = {k: v for k, v in self._releasing.items() if k in mine}
        lost = [k for k, item in self._owned.items() if mine.get(k) != item.epoch]
        return [ShardReleased(shard, self._owned.pop(shard).epoch) for shard in lost]

    def _taken(self, shard: str, epoch: int, before: Record) -> ShardTaken:
        old = before.shards.get(shard)
        wait = lease_wait_s()
        if old is None:
            return ShardTaken(shard, epoch, "", True, 0.0, first=True)
        if not old.owner:
            # A start sent just before the release is valid for up to a lease.
            left = old.successor == self.process
            until = LEASE_TTL_S + wait
            return ShardTaken(shard, epoch, "", True, until, handed_over=left)
        if self.promises.is_dead(old.owner):
            return ShardTaken(shard, epoch, old.owner, True, LEASE_TTL_S + wait)
        known = self._was_known_to(old.owner, before)
        return ShardTaken(shard, epoch, old.owner, known, wait)

    def _was_known_to(self, owner: str, before: Record) -> bool:
        """Tell whether an old owner needed this member's promise."""
        me, old = before.members.get(self.process), before.members.get(owner)
        if me is None:
            return False
        seen = max(self._promised_serial.get(owner, -1), old.joined if old else -1)
        return seen >= me.joined

    def _record_written(self, now: float, message: RecordWritten) -> list[t.Any]:
        write = self._write
        if write is None or message.version <= self._view.version:
            return []
        live = self._view.live | {self._lease}
        return self._learn(now, RecordSeen(write.record, message.version, live))

    def _record_conflict(self, now: float, _: RecordConflict) -> list[t.Any]:
        if self._write is not None and not self._write.doubtful:
            self._write = None
        self._write_at = now + self._jitter()
        return self._read(now)

    def _record_failed(self, now: float, _: RecordFailed) -> list[t.Any]:
        self._reading = False
        if self._write is not None and not self._write.doubtful:
            self._write = None
        return self._retry_later(now)

    def _record_unknown(self, now: float, _: RecordUnknown) -> list[t.Any]:
        if self._write is not None:
            self._write.doubtful = True
        return self._retry_later(now)

    def _retry_later(self, now: float) -> list[t.Any]:
        self._write_at = now + self._rng.uniform(*RETRY_S)
        self._read_at = min(self._read_at, self._write_at)
        return []

    def _watch(self, now: float) -> list[t.Any]:
        """Watch the record if this is one of the two lowest live members."""
        live = acquisition.live_members(self.record, self._ended_leases)
        avoided = self.membership.avoided(now)
        wanted = self.process in [name for name in live if name not in avoided][:2]
        if wanted == self._watching:
            return []
        self._watching = wanted
        return [WatchRecord(wanted)]

    def _record_calls(self, now: float) -> list[t.Any]:
        if now >= self._read_at and self.state != "left":
            return self._read(now)
        if self._write is not None or now < self._write_at or self._view.version < 0:
            return []
        if not self._lease or self._lease_until <= now:
            return []
        me = self.record.members.get(self.process)
        if me is None or me.lease != self._lease:
            return self._join()
        if self._leaving:
            return self._leave_calls()
        return self._release_calls(now) or self._acquire(now) or self._balance(now)

    def _send_write(
        self, record: Record, takes: dict[str, int] | None = None, victim: str = ""
    ) -> list[t.Any]:
        record = self._tidied(record)
        version = self._view.version
        self._write = _Write(record, version, self.record, takes or {}, victim)
        return [WriteRecord(record, version)]

    def _tidied(self, record: Record) -> Record:
        """Leave out members whose lease has ended and that own nothing."""
        owners = {entry.owner for entry in record.shards.values()}
        gone = [
            name
            for name, member in record.members.items()
            if member.lease in self._ended_leases
            and name not in owners
            and name != self.process
        ]
        return record.without_members(gone) if gone else record

    def _join(self) -> list[t.Any]:
        if self._leaving and not self.record.owned_by(self.process):
            return self._revoke()
        record = self.record.with_member(self.process, self._address, self._lease)
        return self._send_write(record)

    def _acquire(self, now: float) -> list[t.Any]:
        self._note_free(now)
        if now < self._acquire_at:
            return []
        live = acquisition.live_members(self.record, self._ended_leases)
        for shard, since in self._free_since.items():
            if now >= since + self._wait(shard, live) and self._may_take(now, shard):
                return self._take(now, shard)
        return []

    def _note_free(self, now: float) -> None:
        free = [s for s in self._shards if self._free(s) is not None]
        self._free_since = {s: self._free_since.get(s, now) for s in free}

    def _free(self, shard: str) -> str | None:
        return acquisition.free_owner(self.record, shard, self._ended_leases)

    def _wait(self, shard: str, live: list[str]) -> float:
        entry = self.record.shards.get(shard)
        successor = entry.successor if entry and not entry.owner else ""
        if successor == self.process:
            return 0.0
        waits = acquisition.rank(shard, self.process, live) * RANK_WAIT_S
        owner = entry.owner if entry else ""
        if owner and not self._was_known_to(owner, self.record):
            waits += JOINER_WAIT_S
        return waits + (SUCCESSOR_S if successor in live else 0.0)

    def _may_take(self, now: float, shard: str) -> bool:
        owner = self._free(shard)
        if owner == self.process:
            return False
        return not owner or self.promises.given_until(owner) <= now

    def _take(self, now: float, shard: str) -> list[t.Any]:
        self._acquire_at = now + ACQUIRE_S
        record = self.record.taken(shard, self.process)
        epoch = record.shards[shard].epoch
        return self._send_write(record, {shard: epoch}, self._free(shard) or "")

    # Release

    def _leave(self, now: float, _: Leave) -> list[t.Any]:
        self._leaving = True
        return self._record_calls(now)

    def _leave_calls(self) -> list[t.Any]:
        mine = self.record.owned_by(self.process)
        if not mine:
            return self._revoke()
        live = acquisition.live_members(self.record, self._ended_leases)
        others = [name for name in live if name != self.process]
        chosen = acquisition.successors(self.record, others, mine)
        return self._give_up(chosen)

    def _give_up(self, chosen: dict[str, str]) -> list[t.Any]:
        """Stop serving shards, and only then write that they are free."""
        out: list[t.Any] = []
        for shard, successor in chosen.items():
            self._releasing[shard] = successor
            owned = self._owned.pop(shard, None)
            if owned is not None:
                out.append(ShardReleased(shard, owned.epoch, successor))
        return out + self._send_write(self.record.released(chosen))

    def _revoke(self) -> list[t.Any]:
        lease, self._lease = self._lease, ""
        self._lease_until = float("-inf")
        self.state = _CHART.step(self.state, "leave")
        return [RevokeLease(lease)] if lease else []

    def _release_calls(self, now: float) -> list[t.Any]:
        mine = self.record.owned_by(self.process)
        old = {
            shard: "" for shard in mine if self._shards and shard not in self._shards
        }
        refused = {k: "" for k, v in mine.items() if self._refused.get(k) == v}
        pending = {**old, **refused, **self._releasing}
        return self._give_up(pending) if pending else []

    def _balance(self, now: float) -> list[t.Any]:
        """Hand one shard to the member with the fewest to even out the numbers."""
        if now < self._balance_at or len(self._owned) < 2 or self._free_since:
            return []
        self._balance_at = now + BALANCE_S * self._rng.uniform(0.8, 1.2)
        live = set(acquisition.live_members(self.record, self._ended_leases))
        usable = live - self.membership.avoided(now)
        shard = min(self._owned)
        successor = acquisition.least_loaded(self.record, usable, shard)
        held = acquisition.counts(self.record, live)
        if not successor or held[successor] > len(self._owned) - 2:
            return []
        return self._give_up({shard: successor})

    def _epoch_refused(self, now: float, message: EpochRefused) -> list[t.Any]:
        owned = self._owned.get(message.shard)
        if owned is None or owned.epoch != message.epoch:
            return []
        del self._owned[message.shard]
        self._refused[message.shard] = message.epoch
        return [ShardReleased(message.shard, message.epoch), *self._read(now)]

    def _configured(self, now: float, message: ShardsConfigured) -> list[t.Any]:
        self._shards = message.shards
        self._config_number = message.config_number
        return self._record_calls(now)

    # Heartbeats

    def _heartbeats(self, now: float) -> list[t.Any]:
        at_risk = bool(self._owned) and now - self._confirmed_at > AT_RISK_S
        targets = self.membership.targets(now, at_risk)
        return [self._send_heartbeat(now, name) for name in targets]

    def _send_heartbeat(self, now: float, name: str) -> SendHeartbeat:
        heartbeat = Heartbeat(
            sender=self.process,
            to=name,
            sent_at=now,
            owner=bool(self._owned),
            record_serial=self.record.serial,
            config_number=self._config_number,
            record=self._news_for(name),
            suspects=self.membership.suspects(),
            refuted=self.membership.refuted,
        )
        return SendHeartbeat(name, self.record.members[name].address, heartbeat)

    def _news_for(self, name: str) -> RecordSeen | None:
        behind = self._heard_serial.get(name, -1) < self.record.serial
        return self._view if behind and self._view.version > 0 else None

    def _heartbeat(self, now: float, message: Heartbeat) -> list[t.Any]:
        if message.to != self.process:
            return []
        out = self._hear(now, message)
        promised = message.owner and self._promise(now, message)
        reply = HeartbeatReply(
            sender=self.process,
            to=message.sender,
            sent_at=message.sent_at,
            promised=promised,
            record_serial=self.record.serial,
            config_number=self._config_number,
            record=self._news_for(message.sender),
            suspects=self.membership.suspects(),
            refuted=self.membership.refuted,
        )
        return [*out, reply]

    def _promise(self, now: float, message: Heartbeat) -> bool:
        owner = message.sender
        if self._write is not None and self._write.victim == owner:
            return False
        self.promises.give(now, owner)
        seen = self._promised_serial.get(owner, -1)
        self._promised_serial[owner] = max(seen, message.record_serial)
        return True

    def _heartbeat_reply(self, now: float, message: HeartbeatReply) -> list[t.Any]:
        if message.to != self.process:
            return []
        if message.promised:
            self.promises.receive(message.sent_at, message.sender)
        return self._hear(now, message) + self._authorities(now)

    def _hear(self, now: float, message: Heartbeat | HeartbeatReply) -> list[t.Any]:
        self.membership.heard(message.sender, message.refuted)
        self.membership.rumours(now, message.suspects)
        seen = self._heard_serial.get(message.sender, -1)
        self._heard_serial[message.sender] = max(seen, message.record_serial)
        return self._learn(now, message.record) if message.record else []

    def _peer_missed(self, now: float, message: PeerMissed) -> list[t.Any]:
        self.membership.missed(now, message.process)
        return self._watch(now)

    def _proven_dead(self, now: float, message: ProvenDead) -> list[t.Any]:
        self.promises.exclude(message.process)
        self.membership.missed(now, message.process)
        return self._authorities(now)


def _authority(now: float, shard: str, owned: _Owned, full: float) -> Authority | None:
    """Return the notice that is due for a shard, or None if the last one holds."""
    last = owned.announced
    if full > now:
        until = min(full, now + AUTHORITY_S)
        exclusive = True
    else:
        until, exclusive = now + AUTHORITY_S, False
    # An unchanged authority without an end is announced once a second.
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
    Tick: Ownership._tick,
}
