"""State of the platform stand-in: key-value store, VM list and injected faults."""

import asyncio
import itertools
import time
import typing as t
from collections import Counter, deque
from dataclasses import dataclass, field

from .exceptions import StoreConflict
from .store import Entry
from .waiting import wait_until_set

__all__ = ["MemoryStore", "PlatformFaults", "VmRecord"]

# Maximum length of a value in characters of JSON.
VALUE_LIMIT = 1_000_000
# Number of changes that a watch can look back on.
WATCH_LOG_KEPT = 10_000


@dataclass(slots=True)
class PlatformFaults:
    """Faults that the platform stand-in injects until they are changed.

    Attributes
    ----------
    outage : bool
        Whether every call is refused with status 503.
    delay_s : float
        Seconds added to each call.
    lose_replies : int
        Number of further writes that take effect but whose replies are withheld.
    writes_per_s, reads_per_s : float
        Calls allowed per second; more are refused with status 429.
    list_lag_s : float
        Seconds after which a change appears in the VM list.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    list_lag_s: float = 2.0


@dataclass(slots=True)
class VmRecord:
    """VM and its entry in the VM list.

    Attributes
    ----------
    since : float
        Monotonic time of the last change, in seconds.
    listed : dict
        Entry in the VM list, which lags behind the other fields; empty at first.
    """

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
        self._versions = itertools.count(1)
        self._lease_numbers = itertools.count(1)
        self._change_log: deque[Entry] = deque(maxlen=WATCH_LOG_KEPT)
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
        """Write a value if the key has the given version, 0 for a key that is absent.

        Raises
        ------
        StoreConflict
            If the key has another version or the lease has lapsed.
        """
        self._check_version(key, version)
        if lease and lease not in self._leases:
            raise StoreConflict("The lease has lapsed.")
        entry = Entry(key, value, next(self._versions), lease)
        self._entries[key] = entry
        if lease:
            self._leases[lease].keys.add(key)
        self._publish(entry)
        return entry

    def delete_if(self, key: str, version: int) -> None:
        """Delete a key if it has the given version.

        Raises
        ------
        StoreConflict
            If the key has another version.
        """
        self._check_version(key, version)
        if self._entries.pop(key, None) is not None:
            self._publish(Entry(key, None, next(self._versions)))

    def grant(self, ttl_s: float) -> str:
        """Return the id of a new lease that lapses after `ttl_s` seconds."""
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease

    def keep_alive(self, lease: str) -> bool:
        """Renew a lease; return False if it has lapsed."""
        self.expire()
        found = self._leases.get(lease)
        if found is None:
            return False
        found.until = self._clock() + found.ttl_s
        return True

    def revoke(self, lease: str) -> None:
        """End a lease and delete the keys written with it."""
        found = self._leases.pop(lease, None)
        for key in sorted(found.keys) if found else ():
            entry = self._entries.get(key)
            if entry is not None and entry.lease == lease:
                self.delete_if(key, entry.version)

    def expire(self) -> None:
        """End every lease that has lapsed."""
        now = self._clock()
        for lease in [
            name for name, granted in self._leases.items() if granted.until <= now
        ]:
            self.revoke(lease)

    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Return the entries under a prefix with a version above `after`.

        Waits up to `wait_s` seconds for a first one. A deleted key has the value None.
        """
        until = self._clock() + wait_s
        while not (found := self._entries_after(prefix, after)):
            remaining_s = until - self._clock()
            if remaining_s <= 0:
                return []
            await self._wait_for_change(remaining_s)
        return found

    def _entries_after(self, prefix: str, after: int) -> list[Entry]:
        """Return the newest entry of each key changed after a version."""
        found: dict[str, Entry] = {}
        for entry in reversed(self._change_log):
            if entry.version <= after:
                break
            if entry.key.startswith(prefix):
                found.setdefault(entry.key, entry)
        return sorted(found.values(), key=lambda entry: entry.version)

    async def _wait_for_change(self, wait_s: float) -> None:
        await wait_until_set(self._changed, wait_s)

    def _publish(self, entry: Entry) -> None:
        self._change_log.append(entry)
        # A task that waits keeps the old event, which stays set, so that it sees this
        # write. Later waits use the new event.
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_version(self, key: str, version: int) -> None:
        entry = self._entries.get(key)
        if (entry.version if entry else 0) != version:
            raise StoreConflict
