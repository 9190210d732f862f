"""Stand-in for the platform: key-value store and VM list over HTTP, with faults."""

import asyncio
import itertools
import time
import typing as t
from collections import Counter, deque
from dataclasses import dataclass, field

from .exceptions import StoreConflict
from .store import Entry

__all__ = ["MemoryStore", "PlatformFaults", "VmRecord"]

VALUE_LIMIT = 1_000_000
WATCH_LOG_KEPT = 10_000


@dataclass(slots=True)
class PlatformFaults:
    """Faults that the platform shows until told otherwise.

    Attributes
    ----------
    delay_s : float
        Time added to each call.
    lose_replies : int
        Replies of writes still to be withheld after the write took effect.
    writes_per_s, reads_per_s : float
        Calls allowed per second; more are refused with status 429.
    list_lag_s : float
        Time by which the VM list lags behind.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    list_lag_s: float = 2.0


@dataclass(slots=True)
class VmRecord:
    """VM as the platform lists it."""

    name: str
    data_centre: str
    address: str
    leaving: bool = False
    since: float = 0.0
    listed: dict[str, t.Any] = field(default_factory=dict)


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    until: float
    keys: set[str] = field(default_factory=set)


class MemoryStore:
    """Key-value store with compare-and-swap, leases and watches.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, _Lease] = {}
        self._version = itertools.count(1)
        self._lease_number = itertools.count(1)
        self._log: deque[Entry] = deque(maxlen=WATCH_LOG_KEPT)
        self._changed = asyncio.Event()
        self.calls: Counter[str] = Counter()

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""
        return self._entries.get(key)

    def scan(self, prefix: str) -> list[Entry]:
        """Return the entries under a prefix, in key order."""
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._entries[key] for key in keys]

    def put_if(self, key: str, value: t.Any, version: int, lease: str = "") -> Entry:
        """Write if the key's version is `version`; raises `StoreConflict`."""
        self._check_version(key, version)
        if lease and lease not in self._leases:
            raise StoreConflict("The lease has lapsed.")
        entry = Entry(key, value, next(self._version), lease)
        self._entries[key] = entry
        if lease:
            self._leases[lease].keys.add(key)
        self._publish(entry)
        return entry

    def delete_if(self, key: str, version: int) -> None:
        """Delete if the key's version is `version`; raises `StoreConflict`."""
        self._check_version(key, version)
        if self._entries.pop(key, None) is not None:
            self._publish(Entry(key, None, next(self._version)))

    def grant(self, ttl_s: float) -> str:
        """Return the id of a new lease."""
        lease = f"lease-{next(self._lease_number)}"
        self._leases[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease

    def keep_alive(self, lease: str) -> bool:
        """Renew a lease; False if it has lapsed."""
        self.expire()
        found = self._leases.get(lease)
        if found is None:
            return False
        found.until = self._clock() + found.ttl_s
        return True

    def revoke(self, lease: str) -> None:
        """End a lease and delete the keys bound to it."""
        found = self._leases.pop(lease, None)
        for key in sorted(found.keys) if found else ():
            entry = self._entries.get(key)
            if entry is not None and entry.lease == lease:
                self.delete_if(key, entry.version)

    def expire(self) -> None:
        """End every lease that was not renewed in time."""
        now = self._clock()
        for lease in [name for name, one in self._leases.items() if one.until <= now]:
            self.revoke(lease)

    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Wait for entries under a prefix with a version above `after`."""
        until = self._clock() + wait_s
        while not (found := self._newer(prefix, after)):
            left = until - self._clock()
            if left <= 0:
                return []
            await self._wait(left)
        return found

    def _newer(self, prefix: str, after: int) -> list[Entry]:
        """Return the last entry of each key changed after a version."""
        found: dict[str, Entry] = {}
        for entry in reversed(self._log):
            if entry.version <= after:
                break
            if entry.key.startswith(prefix):
                found.setdefault(entry.key, entry)
        return sorted(found.values(), key=lambda entry: entry.version)

    async def _wait(self, wait_s: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return

    def _publish(self, entry: Entry) -> None:
        self._log.append(entry)
        # Waiters hold the old event, so that a write between two waits is not missed.
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_version(self, key: str, version: int) -> None:
        entry = self._entries.get(key)
        if (entry.version if entry else 0) != version:
            raise StoreConflict
