"""A process's lease in the store, and the authority that it gives."""

import asyncio
import random
import typing as t

from ..clock import Clock
from ..exceptions import LeaseLost, StoreDown, StoreReplyLost
from ..logs import logger
from . import records
from .storage import Storage, Transaction

__all__ = ["LEASE_TTL_S", "ProcessLease"]

# Duration of a process's lease in seconds. A longer lease delays the takeover from a
# dead process; a shorter one is lost in short outages of the store.
LEASE_TTL_S = 3.0
# Time between renewals, and longest pause after a failed call, in seconds. The pause is
# random: all processes notice an outage of the store at the same time.
RENEW_S = 0.8
RETRY_MAX_S = 0.5
# Time before its end at which a lease is no longer relied on, in seconds: an order sent
# at the last moment still has to arrive.
AUTHORITY_SLACK_S = 0.2
# Time for which an owner continues after its lease may have expired, in seconds, unless
# it learns of another owner. Short outages of the store thus interrupt nothing. It is
# safe because a new owner fences every worker that it reaches, and waits at least this
# long before it restarts tasks that others may run.
GRACE_S = 4.0


class ProcessLease:
    """Keeps a lease in the store, and the process's membership entry under it.

    Parameters
    ----------
    storage : Storage
    clock : Clock
    member : records.Member
        Entry by which peers find the process.
    on_change : callable
        Called after a lease was granted or lost.

    Attributes
    ----------
    lease : int
        Id of the current lease; 0 for none.
    generation : int
        Number of leases that have been lost.
    granted : asyncio.Event
        Set when a lease is granted.
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
        self.granted = asyncio.Event()

    def has_lease(self) -> bool:
        """Return whether the lease is certainly valid now."""
        return bool(self.lease) and self._clock.now() < self._valid_until

    def has_authority(self) -> bool:
        """Return whether an owner may still send orders to workers.

        It may for `GRACE_S` seconds longer than its lease is certainly valid.
        """
        return bool(self.lease) and self._clock.now() < self._valid_until + GRACE_S

    async def run(self) -> None:
        """Obtain and renew the lease until cancelled."""
        while True:
            sent_at = self._clock.now()
            try:
                await (self._renew(sent_at) if self.lease else self._grant(sent_at))
            except (StoreDown, StoreReplyLost) as exc:
                self._log_store_state(False, exc.detail)
                await asyncio.sleep(random.uniform(0.0, RETRY_MAX_S))
                continue
            self._log_store_state(True, "")
            await asyncio.sleep(RENEW_S if self.lease else 0.0)

    async def _grant(self, sent_at: float) -> None:
        lease = await self._storage.grant(LEASE_TTL_S)
        try:
            await self._write_entry(lease)
        except LeaseLost:
            return
        self.lease = lease
        self._valid_until = sent_at + LEASE_TTL_S - AUTHORITY_SLACK_S
        logger.info("lease granted", extra={"lease": lease})
        self.granted.set()
        self._on_change()

    async def _write_entry(self, lease: int) -> None:
        """Write the membership entry under a lease.

        A write without an answer may be carried out seconds later, after that of a
        later lease or incarnation of the process. Each write therefore requires the
        revision of the entry that it replaces.
        """
        key = records.member_key(self._member.process)
        entry = (key, records.encode(self._member), lease)
        revision = 0
        while True:
            transaction = Transaction(expected={key: revision}, puts=[entry])
            found = await self._storage.commit(transaction)
            if isinstance(found, int):
                return
            revision = found[0].revision if found and found[0] is not None else 0

    async def _renew(self, sent_at: float) -> None:
        lease = self.lease
        renewed = await self._storage.renew(lease)
        if self.lease != lease:
            return  # the answer is about an earlier lease
        if renewed:
            self._valid_until = sent_at + LEASE_TTL_S - AUTHORITY_SLACK_S
            return
        logger.warning("lease lost", extra={"lease": lease})
        self.drop()

    async def check(self) -> bool:
        """Renew the lease, if any; return False if the store does not answer."""
        if not self.lease:
            return True
        sent_at = self._clock.now()
        try:
            await self._renew(sent_at)
        except (StoreDown, StoreReplyLost) as exc:
            self._log_store_state(False, exc.detail)
            return False
        return True

    def drop(self) -> None:
        """Give up the lease locally, without a call to the store."""
        self.lease = 0
        self.generation += 1
        self._valid_until = float("-inf")
        self._on_change()

    async def end(self) -> None:
        """Revoke the lease in the store, which removes the process's keys."""
        lease, self.lease = self.lease, 0
        if lease:
            try:
                await self._storage.revoke(lease)
            except (StoreDown, StoreReplyLost) as exc:
                logger.warning("lease not ended", extra={"reason": exc.detail})

    def _log_store_state(self, answers: bool, detail: str) -> None:
        """Log a change between a store that answers and one that does not."""
        if answers != self._store_answers:
            self._store_answers = answers
            message = "store answers again" if answers else "store does not answer"
            logger.warning(message, extra={"reason": detail} if detail else {})
