"""Withdrawal of the ids of jobs that are cancelled before they are stored.

A caller may give up and cancel a job while the write that stores it is still waiting at
another process, or on its way. "No such job" would then become false later. The id is
therefore marked as withdrawn: the key that names a job's homes gets an empty value, on
the condition that there is no job, and jobs are only stored where this key does not
exist. The mark is bound to a lease and disappears once no earlier write can arrive.
"""

import asyncio
import typing as t

from ..clock import Clock
from ..exceptions import LeaseLost, PoplaryardError, StoreDown
from ..logs import log_failure, logger
from . import records
from .meters import Meters
from .storage import MAX_TRANSACTION_ENTRIES, Item, Storage, Transaction

__all__ = ["WITHDRAWN_S", "Withdrawals"]

# Time for which an id is withdrawn at least, in seconds. A write is carried out up to
# 12 s after it was sent, and a process may be paused before it sends one.
WITHDRAWN_S = 60.0
# Duration of the lease that the marks of a process share, in seconds: one lease serves
# all ids that are withdrawn in the difference.
LEASE_S = 120.0
# Ids in one transaction: each takes an expectation and a write.
BATCH_IDS = MAX_TRANSACTION_ENTRIES // 2
# Pause between two transactions of a process, in seconds, and longest queue of ids.
# Callers that cancel unknown ids must not use up the calls that the store admits.
PAUSE_S = 0.2
MAX_WAITING = 256

Waiter: t.TypeAlias = "asyncio.Future[Item | None]"


class Withdrawals:
    """Withdraws ids of jobs, several in one transaction.

    Parameters
    ----------
    storage : Storage
    clock : Clock
    meters : Meters
    """

    def __init__(self, storage: Storage, clock: Clock, meters: Meters):
        self._storage = storage
        self._clock = clock
        self._meters = meters
        self._waiting: dict[str, Waiter] = {}
        self._task: asyncio.Task[None] | None = None
        self._lease = 0
        self._lease_until = float("-inf")

    async def withdraw(self, job_id: str) -> Item | None:
        """Withdraw an id, or return the key of its homes if there is such a job.

        Raises
        ------
        StoreDown
            If the store does not answer, or too many ids are to be withdrawn.
        StoreReplyLost, LeaseLost
            If the id may not be withdrawn.
        """
        fut = self._waiting.get(job_id)
        if fut is None:
            if len(self._waiting) >= MAX_WAITING:
                raise StoreDown("Too many unknown jobs are being cancelled.")
            fut = asyncio.get_running_loop().create_future()
            self._waiting[job_id] = fut
            if self._task is None:
                self._start()
        # Other callers may wait for the same id.
        return await asyncio.shield(fut)

    def close(self) -> None:
        """Cancel the call in progress; callers that still wait get an error."""
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._run_ended)

    async def _run(self) -> None:
        while self._waiting:
            batch = list(self._waiting)[:BATCH_IDS]
            try:
                await self._write(batch)
            except PoplaryardError as exc:
                self._fail(batch, exc)
            await asyncio.sleep(PAUSE_S)

    def _run_ended(self, task: "asyncio.Task[None]") -> None:
        self._task = None
        log_failure(task)
        if task.cancelled() or task.exception() is not None:
            self._fail(list(self._waiting), StoreDown("The id was not withdrawn."))
        elif self._waiting:
            self._start()

    async def _write(self, batch: list[str]) -> None:
        """Withdraw those ids of a batch that have no job, and answer for all."""
        expected = {records.home_key(job_id): 0 for job_id in batch}
        ids = dict(zip(expected, batch, strict=True))
        while expected:
            lease = await self._present_lease()
            puts = [(key, records.WITHDRAWN, lease) for key in expected]
            try:
                found = await self._storage.commit(Transaction(dict(expected), puts))
            except LeaseLost:
                self._lease_until = float("-inf")
                raise
            if isinstance(found, int):
                for key in expected:
                    self._answer(ids[key], None)
                return
            for key, item in zip(list(expected), found, strict=True):
                if item is not None and not records.is_withdrawn(item.value):
                    self._answer(ids[key], item)
                    del expected[key]
                else:
                    # Written again under a lease that lasts for long enough.
                    expected[key] = item.revision if item is not None else 0

    async def _present_lease(self) -> int:
        """Return a lease that lasts for `WITHDRAWN_S` more."""
        now = self._clock.now()
        if now + WITHDRAWN_S > self._lease_until:
            self._lease = await self._storage.grant(LEASE_S)
            self._lease_until = now + LEASE_S
        return self._lease

    def _answer(self, job_id: str, item: Item | None) -> None:
        fut = self._waiting.pop(job_id)
        if not fut.done():
            fut.set_result(item)
        if item is None:
            self._meters.count("poplaryard_ids_withdrawn_total")
            logger.info("job id withdrawn", extra={"request": job_id})

    def _fail(self, batch: list[str], exc: PoplaryardError) -> None:
        for job_id in batch:
            fut = self._waiting.pop(job_id, None)
            if fut is not None and not fut.done():
                fut.set_exception(exc)
                # The caller may have left.
                fut.exception()
