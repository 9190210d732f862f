"""Store lease of a process: when it is renewed, and until when it certainly holds."""

import random
import typing as t

from .fencing import shortened
from .ownership_messages import (
    GrantLease,
    LeaseFailed,
    LeaseGranted,
    LeaseRenewed,
    RenewLease,
    RevokeLease,
)

__all__ = ["LEASE_TTL_S", "RETRY_S", "SPREAD_S", "Lease"]

LEASE_TTL_S = 6.0
RENEW_S = 2.0

# Shortest and longest wait before a call to a store that did not answer is repeated.
RETRY_S = (0.5, 2.5)

# All members ask for a new lease after an outage, and owners keep their authority by
# promises meanwhile. Without a spread, 120 processes make 1,000 calls in one second.
SPREAD_S = 3.0


class Lease:
    """At most one lease, with at most one call in flight.

    Attributes
    ----------
    name : str
        Id of the lease; empty if there is none.
    until : float
        Time up to which it certainly holds, counted from the send time of the last
        confirmed call, less the allowance for drift.
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

    def calls(self, now: float) -> list[t.Any]:
        """Return the call that is due."""
        if self._calling or now < self._call_at:
            return []
        self._calling = True
        return [RenewLease(self.name) if self.name else GrantLease(LEASE_TTL_S)]

    def granted(self, message: LeaseGranted) -> None:
        """Take a new lease."""
        self.name = message.lease
        self._confirm(message.sent_at)

    def renewed(self, message: LeaseRenewed) -> None:
        """Take a renewal, unless it is of an earlier lease."""
        if message.lease == self.name:
            self._confirm(message.sent_at)

    def failed(self, now: float, message: LeaseFailed, spread_s: float) -> None:
        """Take a failed call; ask for a new lease if the store said that it ended.

        Parameters
        ----------
        spread_s : float
            Longest wait before the new lease is asked for.
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
        """End the lease."""
        name, self.name = self.name, ""
        self.until = float("-inf")
        return [RevokeLease(name)] if name else []

    def _confirm(self, sent_at: float) -> None:
        self._calling = False
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.until = max(self.until, sent_at + shortened(LEASE_TTL_S))
        self._call_at = sent_at + RENEW_S * self._rng.uniform(0.95, 1.05)
