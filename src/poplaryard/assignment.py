"""Local view of the assignment record, its reads, and the one write in flight."""

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

# Interval at which each process reads the record, in case both members that watch it
# fail unnoticed.
READ_S = 10.0

# Shortest and longest wait before a failed release is retried. It is short because the
# tasks of the shard end with their leases of 4 s unless a successor claims the workers.
RELEASE_RETRY_S = (0.1, 0.3)

# The wait after a conflict is uniform between 0 and a bound. The bound is twice
# `BACKOFF_S` at first and doubles with each further conflict up to `LONGEST_BACKOFF_S`.
BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 3.0


@dataclass(slots=True)
class Write:
    """Write of the record that is in flight.

    Attributes
    ----------
    record : Record
        Record to be written.
    version : int
        Store version that the write replaces.
    takes : tuple of ShardTaken
        Notices for the shards that the write acquires.
    releases : bool
        Whether the write releases shards. No owner renews their tasks meanwhile.
    previous_owner : str
        Owner from which the write takes a shard. It gets no promise until the write is
        resolved, because the write may take effect after the promise was given.
    outcome_unknown : bool
        Whether the outcome of a sent copy of the write is unknown.
    """

    record: Record
    version: int
    takes: tuple[ShardTaken, ...] = ()
    releases: bool = False
    previous_owner: str = ""
    outcome_unknown: bool = False


class Assignment:
    """Latest known assignment record, and the reads and writes of it.

    Attributes
    ----------
    view : RecordSeen
        Record as last seen, with its store version and the live leases.
    ended_leases : set of str
        Leases of members that have been seen to end.
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
        # Highest version that a conflict has shown to be out of date.
        self._stale_version = -1
        self._conflicts = 0

    @property
    def record(self) -> Record:
        """Assignment record as last seen."""
        return self.view.record

    def live_members(self) -> list[str]:
        """Return the members whose lease is not known to have ended, sorted."""
        return acquisition.live_members(self.record, self.ended_leases)

    def last_owner_if_free(self, shard: str) -> str | None:
        """Return the last owner of a shard if the shard is free, else None."""
        return acquisition.last_owner_if_free(self.record, shard, self.ended_leases)

    def read_due(self, now: float) -> bool:
        """Return whether the record is to be read again."""
        return now >= self._read_at

    def may_write(self, now: float) -> bool:
        """Return whether a write may be sent."""
        fresh = self.view.version > self._stale_version
        return self.write is None and now >= self.write_at and fresh

    def read(self, now: float) -> list[t.Any]:
        """Return the command to read the record, unless a read is in progress."""
        if self._reading:
            return []
        self._reading = True
        self._read_at = now + READ_S * self._rng.uniform(0.8, 1.2)
        return [ReadRecord()]

    def read_ended(self) -> None:
        """Record that a read has been answered or has failed."""
        self._reading = False

    def update(self, seen: RecordSeen) -> Write | None:
        """Update the view; return the write in flight if this record resolves it.

        A record of a higher version shows whether the write has succeeded.
        """
        leases = {member.lease for member in seen.record.members.values()}
        self.ended_leases = (self.ended_leases & leases) | (leases - seen.live)
        # A peer may pass on a view that still lists leases already known to have ended.
        live = frozenset(leases - self.ended_leases)
        self.view = RecordSeen(seen.record, seen.version, live)
        write = self.write
        if write is None or seen.version <= write.version:
            return None
        self.write = None
        self._conflicts = 0
        return write

    def on_written(self, message: RecordWritten, lease: str) -> RecordSeen | None:
        """Return the record as written, or None if this or a later one was seen."""
        if self.write is None or message.version <= self.view.version:
            return None
        live = self.view.live | {lease}
        return RecordSeen(self.write.record, message.version, live)

    def repeat_unknown(self) -> list[t.Any]:
        """Repeat a write of unknown outcome after a read that shows no effect of it.

        All copies expect the same version, so that at most one of them succeeds.
        """
        write = self.write
        if (
            write is None
            or not write.outcome_unknown
            or self.view.version != write.version
        ):
            return []
        return [WriteRecord(write.record, write.version)]

    def on_conflict(self, now: float) -> list[t.Any]:
        """Process a conflict, and schedule the next write and a read before it.

        A write of unknown outcome is kept, because an earlier copy of it may have
        caused the conflict.
        """
        write = self.write
        if write is not None:
            self._stale_version = max(self._stale_version, write.version)
        if write is not None and not write.outcome_unknown:
            self.write = None
        # The record is read only when the next write is due. Otherwise many members
        # that start at once would each read it after every conflict.
        self._conflicts += 1
        wait = min(LONGEST_BACKOFF_S, BACKOFF_S * 2.0**self._conflicts)
        self.write_at = now + self._rng.uniform(0.0, wait)
        self._read_at = min(self._read_at, self.write_at)
        return []

    def on_failure(self, now: float) -> list[t.Any]:
        """Process a read or write that did not reach the store."""
        self._reading = False
        write = self.write
        if write is None:
            self._read_at = now + self._rng.uniform(*RETRY_S)
            return []
        self._retry_later(now)
        if write.releases:
            self.write_at = now + self._rng.uniform(*RELEASE_RETRY_S)
        if not write.outcome_unknown:
            self.write = None
        return []

    def on_unknown_outcome(self, now: float) -> list[t.Any]:
        """Process a write that may or may not have taken effect."""
        if self.write is not None:
            self.write.outcome_unknown = True
        self._retry_later(now)
        return []

    def send(
        self,
        record: Record,
        takes: tuple[ShardTaken, ...] = (),
        previous_owner: str = "",
        releases: bool = False,
    ) -> list[t.Any]:
        """Return the command to write a record, and keep it as the write in flight."""
        record = self._without_dead_members(record)
        version = self.view.version
        self.write = Write(record, version, takes, releases, previous_owner)
        return [WriteRecord(record, version)]

    def _retry_later(self, now: float) -> None:
        self.write_at = now + self._rng.uniform(*RETRY_S)
        self._read_at = min(self._read_at, self.write_at)

    def _without_dead_members(self, record: Record) -> Record:
        """Return the record without other members that are dead and own no shard."""
        owners = {entry.owner for entry in record.shards.values()}
        gone = [
            name
            for name, member in record.members.items()
            if member.lease in self.ended_leases
            and name not in owners
            and name != self._process
        ]
        return record.without_members(gone) if gone else record
