"""Task that executes the commands of `Ownership`: store calls and heartbeats."""

import asyncio
import typing as t

from . import acquisition, wire
from .clock import Clock
from .exceptions import PoplaryardError, StoreConflict, StoreDown
from .logs import log_failure
from .messages import Authority, Tick
from .ownership import Ownership
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
    ShardTaken,
    WatchRecord,
    WriteRecord,
)
from .peers import CallResult, Envelope, PeerTable
from .record import Member, Record, ShardOwner
from .store import Store
from .waiting import wait_until_set

__all__ = ["OwnershipTask"]

TICK_S = 0.1
# Time without a tick after which the process is considered to have been paused.
MIN_PROCESS_PAUSE_S = 0.5
WATCH_WAIT_S = 20.0
WATCH_RETRY_S = 1.0
# Timeout of a heartbeat, after which it counts as missed. Shorter than the interval
# `membership.HEARTBEAT_S`, so that it ends before the next heartbeat is sent.
HEARTBEAT_TIMEOUT_S = 0.9

Notify: t.TypeAlias = t.Callable[[t.Any], None]

wire.register(Heartbeat, HeartbeatReply, RecordSeen, Record, Member, ShardOwner)


class OwnershipTask:
    """Drives one `Ownership` object with ticks, messages and results of its commands.

    Parameters
    ----------
    notify : callable
        Called with each `ShardTaken`, `ShardReleased` and `Authority`.
    on_record_seen : callable
        Called after the record or the set of live members may have changed.
    """

    def __init__(
        self,
        ownership: Ownership,
        data_centre: str,
        store: Store,
        peers: PeerTable,
        clock: Clock,
        notify: Notify,
        on_record_seen: t.Callable[[], None],
    ):
        self.ownership = ownership
        self._record_key = f"dc/{data_centre}/assignment"
        self._member_prefix = f"dc/{data_centre}/member/"
        self._watch_prefix = f"dc/{data_centre}/"
        self._store = store
        self._peers = peers
        self._clock = clock
        self._notify = notify
        self._on_record_seen = on_record_seen
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch: asyncio.Task[None] | None = None
        self._last_tick = clock.now()
        # Leases in the record whose member keys were missing when it was last read.
        self._ended_leases: set[str] = set()
        self._leave_done = asyncio.Event()

    def start(self) -> None:
        """Start the task."""
        self._spawn(self._tick())

    async def leave(self, timeout_s: float) -> bool:
        """Hand over all shards and end the lease; return False on a timeout."""
        self.handle(Leave())
        return await wait_until_set(self._leave_done, timeout_s)

    async def stop(self) -> None:
        """Stop the task and cancel its calls."""
        tasks = [*self._tasks, *([self._watch] if self._watch else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def live_members(self) -> list[str]:
        """Return the members whose lease is valid and that are not suspected."""
        record = self.ownership.record
        live = acquisition.live_members(record, self._ended_leases)
        suspects = set(self.ownership.membership.suspects())
        return [name for name in live if name not in suspects]

    def handle(self, msg: t.Any) -> list[t.Any]:
        """Handle a message and execute the commands; return replies to its sender."""
        replies: list[t.Any] = []
        for out in self.ownership.handle(self._clock.now(), msg):
            if isinstance(out, HeartbeatReply):
                replies.append(out)
            else:
                self._execute(out)
        if isinstance(msg, RecordSeen | RecordWritten | Heartbeat | HeartbeatReply):
            self._record_changed()
        return replies

    def check_pause(self) -> None:
        """Send a `Tick` if the process was paused, so that lapsed authority ends.

        Call it before messages are handled that need the authority.
        """
        if self._clock.now() - self._last_tick > MIN_PROCESS_PAUSE_S:
            self._last_tick = self._clock.now()
            self.handle(Tick())

    def _record_changed(self) -> None:
        for name, member in self.ownership.record.members.items():
            self._peers.set_address(name, member.address)
        self._on_record_seen()

    async def _tick(self) -> None:
        while True:
            self._last_tick = self._clock.now()
            self.handle(Tick())
            await asyncio.sleep(TICK_S)

    def _execute(self, out: t.Any) -> None:
        handler = _HANDLERS.get(type(out))
        if handler is not None:
            self._spawn(handler(self, out))
        elif isinstance(out, WatchRecord):
            self._set_watch(out.on)
        elif isinstance(out, ShardTaken | ShardReleased | Authority):
            self._notify(out)

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure)

    def _set_watch(self, on: bool) -> None:
        if self._watch is not None:
            self._watch.cancel()
        self._watch = asyncio.create_task(self._watch_record()) if on else None

    async def _grant(self, command: GrantLease) -> None:
        sent_at = self._clock.now()
        try:
            lease = await self._store.grant(command.ttl_s)
            await self._put_member(lease)
        except PoplaryardError:
            self.handle(LeaseFailed())
        else:
            self.handle(LeaseGranted(lease, sent_at))

    async def _put_member(self, lease: str) -> None:
        key = self._member_prefix + self.ownership.process
        value = {"lease": lease}
        try:
            await self._store.put_if(key, value, 0, lease)
        except StoreConflict:
            entry = await self._store.get(key)
            await self._store.put_if(key, value, entry.version if entry else 0, lease)

    async def _renew(self, command: RenewLease) -> None:
        sent_at = self._clock.now()
        try:
            alive = await self._store.keep_alive(command.lease)
        except PoplaryardError:
            self.handle(LeaseFailed(command.lease))
        else:
            renewed = LeaseRenewed(command.lease, sent_at)
            self.handle(renewed if alive else LeaseFailed(command.lease, lapsed=True))

    async def _revoke(self, command: RevokeLease) -> None:
        try:
            await self._store.revoke(command.lease)
        except PoplaryardError:
            return
        finally:
            self._leave_done.set()

    async def _read(self, _: ReadRecord) -> None:
        try:
            self.handle(await self._read_record())
        except PoplaryardError:
            self.handle(RecordFailed())

    async def _read_record(self) -> RecordSeen:
        """Read the record, then the member keys.

        A member key is written before the record names its lease. So if the keys are
        read last, a lease in the record that has no key has ended.
        """
        entry = await self._store.get(self._record_key)
        members = await self._store.scan(self._member_prefix)
        live = frozenset(member.value["lease"] for member in members)
        if entry is None:
            return RecordSeen(Record(), 0, live)
        record = wire.decode_as(Record, entry.value, 0.0)
        self._ended_leases = {m.lease for m in record.members.values()} - live
        return RecordSeen(record, entry.version, live)

    async def _write(self, command: WriteRecord) -> None:
        value = wire.encode(command.record, 0.0)
        try:
            entry = await self._store.put_if(self._record_key, value, command.version)
        except StoreConflict:
            self.handle(RecordConflict())
        except StoreDown:
            self.handle(RecordFailed())
        except PoplaryardError:
            self.handle(RecordUnknown())
        else:
            self.handle(RecordWritten(entry.version))

    async def _watch_record(self) -> None:
        version = 0
        while True:
            try:
                found = await self._store.watch(
                    self._watch_prefix, version, WATCH_WAIT_S
                )
                if found:
                    version = max(entry.version for entry in found)
                    self.handle(await self._read_record())
            except PoplaryardError:
                await asyncio.sleep(WATCH_RETRY_S)

    async def _send_heartbeat(self, command: SendHeartbeat) -> None:
        self._peers.set_address(command.to, command.address)
        envelope = Envelope(command.heartbeat)
        result = await self._peers.call(command.to, [envelope], HEARTBEAT_TIMEOUT_S)
        if result is CallResult.DEAD:
            self.handle(ProvenDead(command.to))
        elif result is not CallResult.DELIVERED:
            self.handle(PeerMissed(command.to))


_HANDLERS: dict[type, t.Callable[[OwnershipTask, t.Any], t.Any]] = {
    GrantLease: OwnershipTask._grant,
    RenewLease: OwnershipTask._renew,
    RevokeLease: OwnershipTask._revoke,
    ReadRecord: OwnershipTask._read,
    WriteRecord: OwnershipTask._write,
    SendHeartbeat: OwnershipTask._send_heartbeat,
}
