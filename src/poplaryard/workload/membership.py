"""A process's lease in the store, and how long it may act on it."""

import asyncio
import typing as t

from ..clock import Clock
from ..exceptions import LeaseLost, StoreDown, StoreReplyLost
from ..logs import logger
from . import records
from .storage import Storage, Transaction

__all__ = ["LEASE_TTL_S", "ProcessLease"]

# Longer leases delay the take-over from a dead process, shorter ones are lost in short
# outages of the store.
LEASE_TTL_S = 3.0
RENEW_S = 0.8
RETRY_S = 0.25
# Left unused of every lease: an order sent at its end still has to arrive.
AUTHORITY_SLACK_S = 0.2
# An owner goes on for this long after its lease may have lapsed, unless it learns of
# another owner. A new owner fences every worker it reaches and waits this long for the
# others, so short outages of the store interrupt nothing.
GRACE_S = 4.0


class ProcessLease:
    """Keeps one lease and the process's membership entry.

    Parameters
    ----------
    storage : Storage
    clock : Clock
    member : records.Member
        Entry that peers find the process by.
    on_change : callable
        Called when a lease was granted or lost.

    Attributes
    ----------
    lease : int
        Present lease; 0 for none.
    generation : int
        Number of leases that were lost.
    """

    def __init__(
        self,
        storage: Storage,
        clock: Clock,
        member: records.Member,
        on_change: t.Callable[[], None] = lambda: None,
    ):
        self._storage = storage
        self._on_change = on_change
        self._clock = clock
        self._member = member
        self.lease = 0
        self.generation = 0
        self._valid_until = float("-inf")
        self._store_answers = True
        self.changed = asyncio.Event()

    def has_lease(self) -> bool:
        """Whether the lease is certainly valid now."""
        return bool(self.lease) and self._clock.now() < self._valid_until

    def has_authority(self) -> bool:
        """Whether an owner may still give orders."""
        return bool(self.lease) and self._clock.now() < self._valid_until + GRACE_S

    async def run(self) -> None:
        """Grant and renew the lease until cancelled."""
        while True:
            sent_at = self._clock.now()
            try:
                await (self._renew(sent_at) if self.lease else self._grant(sent_at))
            except (StoreDown, StoreReplyLost) as exc:
                self._note_store(False, exc.detail)
                await asyncio.sleep(RETRY_S)
                continue
            self._note_store(True, "")
            await asyncio.sleep(RENEW_S if self.lease else 0.0)

    async def _grant(self, sent_at: float) -> None:
        lease = await self._storage.grant(LEASE_TTL_S)
        key = records.member_key(self._member.process)
        entry = (key, records.encode(self._member), lease)
        try:
            await self._storage.commit(Transaction(puts=[entry]))
        except LeaseLost:
            return
        self.lease = lease
        self._valid_until = sent_at + LEASE_TTL_S - AUTHORITY_SLACK_S
        logger.info("lease granted", extra={"lease": lease})
        self.changed.set()
        self._on_change()

    async def _renew(self, sent_at: float) -> None:
        if await self._storage.renew(self.lease):
            self._valid_until = sent_at + LEASE_TTL_S - AUTHORITY_SLACK_S
            return
        logger.warning("lease lost", extra={"lease": self.lease})
        self.drop()

    async def check(self) -> bool:
        """Whether the store answers; renews the lease."""
        if not self.lease:
            return True
        sent_at = self._clock.now()
        try:
            await self._renew(sent_at)
        except (StoreDown, StoreReplyLost) as exc:
            self._note_store(False, exc.detail)
            return False
        return True

    def drop(self) -> None:
        """Act without the lease from now on."""
        self.lease = 0
        self.generation += 1
        self._valid_until = float("-inf")
        self._on_change()

    async def end(self) -> None:
        """End the lease, which removes the process's keys."""
        lease, self.lease = self.lease, 0
        if lease:
            try:
                await self._storage.revoke(lease)
            except (StoreDown, StoreReplyLost) as exc:
                logger.warning("lease not ended", extra={"reason": exc.detail})

    def _note_store(self, answers: bool, detail: str) -> None:
        if answers != self._store_answers:
            self._store_answers = answers
            message = "store answers again" if answers else "store does not answer"
            logger.warning(message, extra={"reason": detail} if detail else {})
