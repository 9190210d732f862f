"""Minimal store with leases and compare-and-swap, for simulations."""

import random
import typing as t

from .ownership_messages import (
    GrantLease,
    LeaseFailed,
    LeaseGranted,
    LeaseRenewed,
    ReadRecord,
    RecordConflict,
    RecordFailed,
    RecordSeen,
    RecordUnknown,
    RecordWritten,
    RenewLease,
    RevokeLease,
    WriteRecord,
)
from .record import Record

__all__ = ["FakeStore", "failure", "time_out"]


class FakeStore:
    """Assignment record of one data centre and its leases.

    Attributes
    ----------
    rate : float
        Rate of the store's clock relative to true time.
    down : bool
        Whether the store refuses calls; the caller of `handle` checks it.
    calls : int
        Number of calls carried out.
    """

    def __init__(self, rng: random.Random):
        self.rate = rng.uniform(0.955, 1.045)
        self.down = False
        self.record = Record()
        self.version = 0
        self.calls = 0
        self._leases: dict[str, float] = {}

    def live(self, true_time: float) -> frozenset[str]:
        """Drop the leases that have ended; return the ids of the others."""
        now = true_time * self.rate
        ended = [k for k, until in self._leases.items() if until <= now]
        for lease in ended:
            del self._leases[lease]
        return frozenset(self._leases)

    def seen(self, true_time: float) -> RecordSeen:
        """Return the record and the live leases, as a watch reports them."""
        return RecordSeen(self.record, self.version, self.live(true_time))

    def handle(self, true_time: float, message: t.Any, sent_at: float) -> t.Any:
        """Execute a call; return its reply, or None if it has none.

        Parameters
        ----------
        true_time : float
            Simulated time in seconds.
        sent_at : float
            Time of sending on the caller's clock; lease replies repeat it.
        """
        self.calls += 1
        live = self.live(true_time)
        now = true_time * self.rate
        if isinstance(message, GrantLease):
            lease = f"lease{self.calls}"
            self._leases[lease] = now + message.ttl_s
            return LeaseGranted(lease, sent_at)
        if isinstance(message, RenewLease):
            if message.lease not in live:
                return LeaseFailed(message.lease, lapsed=True)
            self._leases[message.lease] = now + 6.0
            return LeaseRenewed(message.lease, sent_at)
        if isinstance(message, RevokeLease):
            self._leases.pop(message.lease, None)
            return None
        if isinstance(message, ReadRecord):
            return self.seen(true_time)
        return self._write(message)

    def _write(self, message: WriteRecord) -> t.Any:
        if message.version != self.version:
            return RecordConflict()
        self.version += 1
        self.record = message.record
        return RecordWritten(self.version)


def failure(message: t.Any) -> t.Any:
    """Return the result of a call that did not reach the store."""
    if isinstance(message, RenewLease):
        return LeaseFailed(message.lease)
    return LeaseFailed() if isinstance(message, GrantLease) else RecordFailed()


def time_out(message: t.Any) -> t.Any:
    """Return the result of a call that got no reply in time."""
    return RecordUnknown() if isinstance(message, WriteRecord) else failure(message)
