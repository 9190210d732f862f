"""View of the assignment record, and the one write of it that is in flight."""

import random
import typing as t
from dataclasses import dataclass

from . import acquisition
from .lease import RETRY_S
from .ownership_messages import (
    ReadRecord,
    RecordSeen,
    RecordWritten,
    ShardTaken,
    WriteRecord,
)
from .record import Record

__all__ = ["Assignment", "Write"]

# Interval at which every process reads the record, should both watchers fail silently.
READ_S = 10.0

# Wait before a release is tried again. It is short because the shard's tasks end with
# their leases of 4 s unless a successor claims their workers.
RELEASE_RETRY_S = (0.1, 0.3)

# Waits after conflicts are drawn from a time that doubles between these bounds.
BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 3.0


@dataclass(slots=True)
class Write:
    """Write of the record that is in flight.

    Attributes
    ----------
    takes : tuple of ShardTaken
        Notices for the shards that the write takes.
    releases : bool
        Whether the write releases shards, whose tasks nobody renews meanwhile.
    victim : str
        Owner whose shard the write takes. It gets no promise until the write is
        resolved, because the write may take effect after the promise was given.
    doubtful : bool
        Whether a copy of the write was sent whose outcome is unknown.
    """

    record: Record
    version: int
    takes: tuple[ShardTaken, ...] = ()
    releases: bool = False
    victim: str = ""
    doubtful: bool = False


class Assignment:
    """Record as last seen, ended leases, and reads and writes.

    Attributes
    ----------
    write : Write or None
        Write in flight.
    write_at : float
        Time before which nothing is written.
    """

    def __init__(self, process: str, rng: random.Random):
        self.view = RecordSeen(Record(), -1, frozenset())
        self.ended_leases: set[str] = set()
        self.write: Write | None = None
        self.write_at = 0.0
        self._process = process
        self._rng = rng
        self._reading = False
        self._read_at = 0.0
        # Version that a conflict has shown to be out of date.
        self._stale = -1
        self._conflicts = 0

    @property
    def record(self) -> Record:
        """Record as last seen."""
        return self.view.record

    def live_members(self) -> list[str]:
        """Return the members whose lease has not been seen to end."""
        return acquisition.live_members(self.record, self.ended_leases)

    def last_owner_if_free(self, shard: str) -> str | None:
        """Return the last owner of a shard that may be taken, else None."""
        return acquisition.last_owner_if_free(self.record, shard, self.ended_leases)

    def read_due(self, now: float) -> bool:
        """Return whether the record is to be read again."""
        return now >= self._read_at

    def may_write(self, now: float) -> bool:
        """Return whether a write may be sent."""
        fresh = self.view.version > self._stale
        return self.write is None and now >= self.write_at and fresh

    def read(self, now: float) -> list[t.Any]:
        """Return the command to read, unless a read is under way."""
        if self._reading:
            return []
        self._reading = True
        self._read_at = now + READ_S * self._rng.uniform(0.8, 1.2)
        return [ReadRecord()]

    def read_ended(self) -> None:
        """Note that a read has been answered or has failed."""
        self._reading = False

    def learn(self, seen: RecordSeen) -> Write | None:
        """Take a record; return the write in flight if this record resolves it."""
        leases = {member.lease for member in seen.record.members.values()}
        self.ended_leases = (self.ended_leases & leases) | (leases - seen.live)
        # A peer may pass on a view that is older than what is known of the leases here.
        live = frozenset(leases - self.ended_leases)
        self.view = RecordSeen(seen.record, seen.version, live)
        write = self.write
        if write is None or seen.version <= write.version:
            return None
        self.write = None
        self._conflicts = 0
        return write

    def written(self, message: RecordWritten, lease: str) -> RecordSeen | None:
        """Return the record as written, or None if a later one was seen."""
        if self.write is None or message.version <= self.view.version:
            return None
        live = self.view.live | {lease}
        return RecordSeen(self.write.record, message.version, live)

    def again(self) -> list[t.Any]:
        """Repeat a write of unknown outcome once a read shows no effect of it.

        Whichever copy lands first makes the others fail.
        """
        write = self.write
        if write is None or not write.doubtful or self.view.version != write.version:
            return []
        return [WriteRecord(write.record, write.version)]

    def conflicted(self, now: float) -> list[t.Any]:
        """Note a conflict; the winner may be an earlier copy of the same write."""
        write = self.write
        if write is not None:
            self._stale = max(self._stale, write.version)
        if write is not None and not write.doubtful:
            self.write = None
        # The record is read only when the next write is due: many members that start
        # at once would otherwise each read it after every conflict.
        self._conflicts += 1
        wait = min(LONGEST_BACKOFF_S, BACKOFF_S * 2.0**self._conflicts)
        self.write_at = now + self._rng.uniform(0.0, wait)
        self._read_at = min(self._read_at, self.write_at)
        return []

    def failed(self, now: float) -> list[t.Any]:
        """Note that the store was not reached."""
        self._reading = False
        write = self.write
        if write is None:
            self._read_at = now + self._rng.uniform(*RETRY_S)
            return []
        self._retry_later(now)
        if write.releases:
            self.write_at = now + self._rng.uniform(*RELEASE_RETRY_S)
        if not write.doubtful:
            self.write = None
        return []

    def unknown(self, now: float) -> list[t.Any]:
        """Note that the write may or may not take effect."""
        if self.write is not None:
            self.write.doubtful = True
        self._retry_later(now)
        return []

    def send(
        self,
        record: Record,
        takes: tuple[ShardTaken, ...] = (),
        victim: str = "",
        releases: bool = False,
    ) -> list[t.Any]:
        """Return the command to write a record."""
        record = self._tidied(record)
        version = self.view.version
        self.write = Write(record, version, takes, releases, victim)
        return [WriteRecord(record, version)]

    def _retry_later(self, now: float) -> None:
        self.write_at = now + self._rng.uniform(*RETRY_S)
        self._read_at = min(self._read_at, self.write_at)

    def _tidied(self, record: Record) -> Record:
        """Leave out members whose lease has ended and that own nothing."""
        owners = {entry.owner for entry in record.shards.values()}
        gone = [
            name
            for name, member in record.members.items()
            if member.lease in self.ended_leases
            and name not in owners
            and name != self._process
        ]
        return record.without_members(gone) if gone else record
