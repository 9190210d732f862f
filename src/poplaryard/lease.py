"""Store lease of a process: its renewal, and the time until which it surely holds."""

import random
import typing as t

from .fencing import shorten_for_drift
from .ownership_messages import (
    GrantLease,
    LeaseFailed,
    LeaseGranted,
    LeaseRenewed,
    RenewLease,
    RevokeLease,
)

__all__ = ["LEASE_TTL_S", "RETRY_S", "SPREAD_S", "Lease"]

# Time after the last renewal at which the store ends the lease.
LEASE_TTL_S = 6.0

# Interval between renewals.
RENEW_S = 2.0

# Shortest and longest wait before a call to a store that did not answer is repeated.
RETRY_S = (0.5, 2.5)

# Time over which the requests for new leases are spread after an outage of the store.
# All members request one then; without the spread, 120 processes make 1,000 calls in
# one second. Owners keep their authority by promises meanwhile.
SPREAD_S = 3.0


class Lease:
    """Store lease of this process: at most one, with at most one call in flight.

    Attributes
    ----------
    name : str
        Id of the lease; empty if there is none.
    until : float
        Local time until which the lease surely holds: counted from the send time of the
        last confirmed call, and shortened by the allowance for clock drift.
    confirmed_at : float
        Send time of the last confirmed call.
    """

    def __init__(self, rng: random.Random):
        self.name = ""
        self.until = float("-inf")
        self.confirmed_at = float("-inf")
        self._rng = rng
        self._calling = False
        self._call_at = float("-inf")

    def due_calls(self, now: float) -> list[t.Any]:
        """Return the call to the store that is due, if any, and mark it as sent."""
        if self._calling or now < self._call_at:
            return []
        self._calling = True
        return [RenewLease(self.name) if self.name else GrantLease(LEASE_TTL_S)]

    def granted(self, message: LeaseGranted) -> None:
        """Process the grant of a new lease."""
        self.name = message.lease
        self._confirm(message.sent_at)

    def renewed(self, message: LeaseRenewed) -> None:
        """Process a renewal; one of an earlier lease is ignored."""
        if message.lease == self.name:
            self._confirm(message.sent_at)

    def failed(self, now: float, message: LeaseFailed, spread_s: float) -> None:
        """Process a failed call; a new lease is requested if this one has ended.

        Parameters
        ----------
        spread_s : float
            Longest wait before the new lease is requested.
        """
        if message.lease not in ("", self.name):
            return
        self._calling = False
        self._call_at = now + self._rng.uniform(*RETRY_S)
        if message.lapsed:
            self.name = ""
            self.until = float("-inf")
            self._call_at = now + self._rng.uniform(0.0, spread_s)

    def revoke(self) -> list[t.Any]:
        """End the lease, and return the call that revokes it in the store."""
        name, self.name = self.name, ""
        self.until = float("-inf")
        return [RevokeLease(name)] if name else []

    def _confirm(self, sent_at: float) -> None:
        self._calling = False
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.until = max(self.until, sent_at + shorten_for_drift(LEASE_TTL_S))
        self._call_at = sent_at + RENEW_S * self._rng.uniform(0.95, 1.05)
