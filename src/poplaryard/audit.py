"""Audit trail: a bounded ring in memory, flushed to the store in groups."""

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

FLUSH_S = 10.0
FLUSH_ENTRIES = 500
# A group of this many entries of at most 400 bytes stays below the 1 MB value limit.
GROUP_ENTRIES = 2000
RING_ENTRIES = 20_000
# At this interval per process, 120 processes make at most 120 writes/s.
MIN_FLUSH_S = 1.0
RETENTION_S = 7 * 86_400.0
# Groups of one hour share a lease; the store deletes them when it lapses.
LEASE_SPAN_S = 3600.0
_MAX_TEXT = 200


@dataclass(frozen=True, slots=True)
class AuditFilter:
    """Which events to return; empty fields match all.

    Attributes
    ----------
    since : float
        Earliest time, seconds since the Unix epoch.
    job : str
        Request id of a job.
    """

    since: float = 0.0
    ticket: int = 0
    vm: str = ""
    job: str = ""
    limit: int = 1000

    def matches(self, event: AuditEvent) -> bool:
        """Tell whether an event is wanted."""
        return (
            event.at >= self.since
            and self.ticket in (0, event.ticket)
            and self.vm in ("", event.vm)
            and self.job in ("", event.request_id)
        )


class AuditLog:
    """Ring of the last events of this process.

    Parameters
    ----------
    capacity : int
        Events kept; the oldest are dropped first.

    Attributes
    ----------
    recorded, flushed, lost : int
        Counts of events; `lost` were dropped before they were flushed.
    """

    def __init__(self, capacity: int = RING_ENTRIES):
        self._ring: collections.deque[AuditEvent] = collections.deque(maxlen=capacity)
        self._waiting: collections.deque[AuditEvent] = collections.deque()
        self._capacity = capacity
        self._last_flush = float("-inf")
        self._oldest: float | None = None
        self.recorded = 0
        self.flushed = 0
        self.lost = 0

    @property
    def waiting(self) -> int:
        """Number of events not yet flushed."""
        return len(self._waiting)

    def add(self, now: float, event: AuditEvent) -> None:
        """Record an event; `now` is monotonic time in seconds."""
        self.recorded += 1
        self._ring.append(event)
        if len(self._waiting) >= self._capacity:
            self._waiting.popleft()
            self.lost += 1
        if not self._waiting:
            self._oldest = now
        self._waiting.append(event)

    def due(self, now: float) -> bool:
        """Tell whether a group should be flushed now."""
        if not self._waiting or now - self._last_flush < MIN_FLUSH_S:
            return False
        waited = now - (self._oldest if self._oldest is not None else now)
        return len(self._waiting) >= FLUSH_ENTRIES or waited >= FLUSH_S

    def group(self, now: float) -> list[AuditEvent]:
        """Return the oldest events for one group; they stay until `flushed_group`."""
        self._last_flush = now
        return list(itertools.islice(self._waiting, GROUP_ENTRIES))

    def flushed_group(self, now: float, group: t.Sequence[AuditEvent]) -> None:
        """Forget the events of a group that the store has taken."""
        held = set(map(id, group))
        while self._waiting and id(self._waiting[0]) in held:
            self._waiting.popleft()
        self.flushed += len(group)
        self._oldest = now if self._waiting else None

    def search(self, wanted: AuditFilter) -> list[AuditEvent]:
        """Return the newest matching events, oldest first."""
        found = (event for event in reversed(self._ring) if wanted.matches(event))
        return list(itertools.islice(found, wanted.limit))[::-1]


class AuditWriter:
    """Writes the groups of a log to the store.

    Parameters
    ----------
    process : str
        Process id with its incarnation, so that a restart starts new keys.
    """

    def __init__(
        self, store: Store, clock: Clock, log: AuditLog, data_centre: str, process: str
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._data_centre = data_centre
        self._prefix = f"audit/{data_centre}/{process}"
        self._next = 1
        self._lease = RetentionLease(store, clock, RETENTION_S, LEASE_SPAN_S)
        self.failures = 0

    async def flush_if_due(self, *, force: bool = False) -> bool:
        """Write one group if it is due; return whether one was written."""
        now = self._clock.now()
        if not (self._log.due(now) or (force and self._log.waiting)):
            return False
        group = self._log.group(now)
        try:
            await self._write(group)
        except (StoreDown, StoreReplyLost):
            self.failures += 1
            return False
        self._log.flushed_group(self._clock.now(), group)
        return True

    async def _write(self, group: list[AuditEvent]) -> None:
        lease = await self._lease.current()
        value = {
            "format": 1,
            "lost": self._log.lost,
            "events": [_brief(event) for event in group],
        }
        try:
            await self._store.put_if(self._key(), value, 0, lease)
        except StoreConflict:
            await self._resolve(value, lease)
        self._next += 1

    async def _resolve(self, value: dict[str, t.Any], lease: str) -> None:
        """Handle a key that an earlier write with a lost reply has taken."""
        held = await self._store.get(self._key())
        if held is None:
            self._lease.invalidate()
            raise StoreDown("The retention lease has lapsed.")
        if held.value != value:
            # The earlier write took effect with fewer events; write the whole again.
            await self._store.put_if(self._key(), value, held.version, lease)

    def _key(self) -> str:
        return f"{self._prefix}/{self._next:08d}"

    async def search(self, wanted: AuditFilter) -> list[AuditEvent]:
        """Return matching events of the whole data centre, oldest first.

        Events that were not flushed yet are found only on the process that holds them.
        """
        entries = await self._store.scan(f"audit/{self._data_centre}/")
        found = {event for entry in entries for event in _events(entry.value)}
        found.update(self._log.search(wanted))
        matching = sorted(filter(wanted.matches, found), key=lambda event: event.at)
        return matching[-wanted.limit :]


def _brief(event: AuditEvent) -> dict[str, t.Any]:
    """Return an event as JSON, without empty fields and with bounded texts."""
    return {
        key: value[:_MAX_TEXT] if isinstance(value, str) else value
        for key, value in asdict(event).items()
        if value
    }


def _events(value: t.Mapping[str, t.Any]) -> t.Iterator[AuditEvent]:
    for item in value["events"]:
        yield AuditEvent(**{"action": "", "at": 0.0, **item})
