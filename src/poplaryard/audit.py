"""Audit trail: a bounded buffer in memory, flushed to the store in groups."""

import collections
import itertools
import typing as t
from dataclasses import asdict, dataclass

from .clock import Clock
from .exceptions import StoreConflict, StoreDown, StoreReplyLost
from .messages import AuditEvent
from .retention import RetentionLease
from .store import Store

__all__ = ["AuditFilter", "AuditLog", "AuditWriter"]

# A group is flushed when its oldest event is this old or this many events wait.
FLUSH_S = 10.0
FLUSH_ENTRIES = 500
# A group of this many entries of at most 400 bytes stays below the 1 MB value limit.
GROUP_ENTRIES = 2000
# Capacity of the ring buffer of a process, in events.
RING_ENTRIES = 20_000
# Minimum interval between the flushes of a process, so that 120 processes make at
# most 120 writes/s.
MIN_FLUSH_S = 1.0
RETENTION_S = 7 * 86_400.0
# The groups of one hour share a lease; the store deletes them when the lease lapses.
LEASE_SPAN_S = 3600.0
_MAX_TEXT_CHARS = 200


@dataclass(frozen=True, slots=True)
class AuditFilter:
    """Criteria for events; a field with its default value matches every event.

    Attributes
    ----------
    since : float
        Earliest time, seconds since the Unix epoch.
    ticket : int
        Number of a ticket.
    vm : str
        Name of a VM.
    job : str
        Request id of a job.
    limit : int
        Maximum number of events returned; the newest are kept.
    """

    since: float = 0.0
    ticket: int = 0
    vm: str = ""
    job: str = ""
    limit: int = 1000

    def matches(self, event: AuditEvent) -> bool:
        """Return whether an event meets the criteria; `limit` is not considered."""
        return (
            event.at >= self.since
            and self.ticket in (0, event.ticket)
            and self.vm in ("", event.vm)
            and self.job in ("", event.request_id)
        )


class AuditLog:
    """Ring buffer of the newest events of this process.

    Parameters
    ----------
    capacity : int
        Maximum number of events kept; the oldest are dropped first.

    Attributes
    ----------
    recorded, flushed, lost : int
        Counts of events; lost events were dropped before they were flushed.
    """

    def __init__(self, capacity: int = RING_ENTRIES):
        self._recent: collections.deque[AuditEvent] = collections.deque(maxlen=capacity)
        self._unflushed: collections.deque[AuditEvent] = collections.deque()
        self._capacity = capacity
        self._last_flush = float("-inf")
        self._unflushed_since: float | None = None
        self.recorded = 0
        self.flushed = 0
        self.lost = 0

    @property
    def unflushed(self) -> int:
        """Number of events not yet flushed."""
        return len(self._unflushed)

    def add(self, now: float, event: AuditEvent) -> None:
        """Record an event; `now` is monotonic time in seconds."""
        self.recorded += 1
        self._recent.append(event)
        if len(self._unflushed) >= self._capacity:
            self._unflushed.popleft()
            self.lost += 1
        if not self._unflushed:
            self._unflushed_since = now
        self._unflushed.append(event)

    def flush_due(self, now: float) -> bool:
        """Return whether a group should be flushed now."""
        if not self._unflushed or now - self._last_flush < MIN_FLUSH_S:
            return False
        waited = now - (
            self._unflushed_since if self._unflushed_since is not None else now
        )
        return len(self._unflushed) >= FLUSH_ENTRIES or waited >= FLUSH_S

    def next_group(self, now: float) -> list[AuditEvent]:
        """Return the oldest unflushed events; they are kept until `mark_flushed`."""
        self._last_flush = now
        return list(itertools.islice(self._unflushed, GROUP_ENTRIES))

    def mark_flushed(self, now: float, group: t.Sequence[AuditEvent]) -> None:
        """Remove the events of a stored group from the unflushed events."""
        flushed = set(map(id, group))
        while self._unflushed and id(self._unflushed[0]) in flushed:
            self._unflushed.popleft()
        self.flushed += len(group)
        self._unflushed_since = now if self._unflushed else None

    def search(self, criteria: AuditFilter) -> list[AuditEvent]:
        """Return the newest matching events, oldest first."""
        matching = (
            event for event in reversed(self._recent) if criteria.matches(event)
        )
        return list(itertools.islice(matching, criteria.limit))[::-1]


class AuditWriter:
    """Writes the events of an audit log to the store in groups.

    Parameters
    ----------
    process : str
        Process id with its incarnation, so that a restarted process uses new keys.

    Attributes
    ----------
    failures : int
        Count of failed writes.
    """

    def __init__(
        self, store: Store, clock: Clock, log: AuditLog, data_centre: str, process: str
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._data_centre = data_centre
        self._prefix = f"audit/{data_centre}/{process}"
        self._next_number = 1
        self._retention = RetentionLease(store, clock, RETENTION_S, LEASE_SPAN_S)
        self.failures = 0

    async def flush_if_due(self, *, force: bool = False) -> bool:
        """Write one group if it is due; return whether one was written."""
        now = self._clock.now()
        if not (self._log.flush_due(now) or (force and self._log.unflushed)):
            return False
        group = self._log.next_group(now)
        try:
            await self._write(group)
        except (StoreDown, StoreReplyLost):
            self.failures += 1
            return False
        self._log.mark_flushed(self._clock.now(), group)
        return True

    async def _write(self, group: list[AuditEvent]) -> None:
        lease = await self._retention.current()
        value = {
            "format": 1,
            "lost": self._log.lost,
            "events": [_encode_event(event) for event in group],
        }
        try:
            await self._store.put_if(self._key(), value, 0, lease)
        except StoreConflict:
            await self._resolve_conflict(value, lease)
        self._next_number += 1

    async def _resolve_conflict(self, value: dict[str, t.Any], lease: str) -> None:
        """Handle a key that exists because the reply to an earlier write was lost.

        A conflict without an entry means that the retention lease has lapsed.
        """
        stored = await self._store.get(self._key())
        if stored is None:
            self._retention.invalidate()
            raise StoreDown("The retention lease has lapsed.")
        if stored.value != value:
            # The earlier write stored fewer events, so the whole group replaces it.
            await self._store.put_if(self._key(), value, stored.version, lease)

    def _key(self) -> str:
        return f"{self._prefix}/{self._next_number:08d}"

    async def search(self, criteria: AuditFilter) -> list[AuditEvent]:
        """Return matching events of the whole data centre, oldest first.

        Unflushed events of other processes are not found.
        """
        entries = await self._store.scan(f"audit/{self._data_centre}/")
        found = {event for entry in entries for event in _decode_events(entry.value)}
        found.update(self._log.search(criteria))
        matching = sorted(filter(criteria.matches, found), key=lambda event: event.at)
        return matching[-criteria.limit :]


def _encode_event(event: AuditEvent) -> dict[str, t.Any]:
    """Return an event as JSON, without empty fields and with texts cut to length."""
    return {
        key: value[:_MAX_TEXT_CHARS] if isinstance(value, str) else value
        for key, value in asdict(event).items()
        if value
    }


def _decode_events(value: t.Mapping[str, t.Any]) -> t.Iterator[AuditEvent]:
    for item in value["events"]:
        yield AuditEvent(**{"action": "", "at": 0.0, **item})
