"""Store leases whose end deletes old records, so that no deletes are written."""

from .clock import Clock
from .store import Store

__all__ = ["RetentionLease"]


class RetentionLease:
    """Lease for records that the store deletes after a retention time.

    A lease is used for `span_s` seconds, then a new one is granted. The store deletes
    the records of a lease when it lapses.

    Parameters
    ----------
    keep_s : float
        Minimum time for which a record is kept, in seconds.
    span_s : float
        Time for which new records share one lease, in seconds.
    """

    def __init__(self, store: Store, clock: Clock, keep_s: float, span_s: float):
        self._store = store
        self._clock = clock
        self._keep_s = keep_s
        self._span_s = span_s
        self._lease = ""
        self._until = float("-inf")

    async def current(self) -> str:
        """Return the lease for a record written now.

        Raises
        ------
        StoreDown, StoreReplyLost
            If a new lease is needed and the store does not answer.
        """
        now = self._clock.now()
        if now >= self._until:
            self._lease = await self._store.grant(self._keep_s + self._span_s)
            self._until = now + self._span_s
        return self._lease

    def invalidate(self) -> None:
        """Discard the cached lease, which may have lapsed."""
        self._until = float("-inf")
