"""Takes jobs into the store, many of them in one transaction."""

import asyncio
import enum
import random
import typing as t
from collections import deque
from dataclasses import dataclass

from ..exceptions import LeaseLost, StoreDown, StoreReplyLost
from ..logs import logger
from . import records
from .model import JobSpec
from .storage import Item, Storage, Transaction

__all__ = ["Acceptance", "SubmitOutcome"]

# A transaction takes 32 entries: an expectation and a write for each job.
BATCH_JOBS = 16
# Transactions in progress at once; one that waits for the store must not hold up the
# jobs that come after it.
MAX_COMMITS = 4
# Jobs that may wait for a transaction; more are refused at once.
MAX_WAITING = 512
# Longest pause before a write without an answer is repeated, in seconds, at first and
# at most; it doubles each time. Pauses are drawn evenly from nothing up to this, so
# that the processes do not return together.
REPEAT_PAUSE_S = 0.1
REPEAT_PAUSE_MAX_S = 0.8


OnStored: t.TypeAlias = t.Callable[[list[JobSpec], int], None]


class SubmitOutcome(enum.Enum):
    """What became of a job that was handed in."""

    STORED = "stored"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class _Waiting:
    spec: JobSpec
    fut: "asyncio.Future[SubmitOutcome]"
    until: float
    lost_replies: int = 0

    @property
    def unsure(self) -> bool:
        """Whether the job may lie in the store."""
        return self.lost_replies > 0

    @property
    def key(self) -> str:
        return records.job_key(self.spec.group, self.spec.job_id)


class Acceptance:
    """Writes jobs to the store; a job is accepted once it lies there.

    A write without an answer may have been carried out. It is repeated while the caller
    waits: a job is only written where there is none, so either copy of the write fails.

    Parameters
    ----------
    storage : Storage
    on_stored : callable
        Called with the jobs of a transaction and its revision.

    Attributes
    ----------
    isolated : bool
        Whether the store is out of reach for long: nothing is begun or repeated, and
        callers can go elsewhere at once.
    """

    def __init__(self, storage: Storage, on_stored: OnStored):
        self._storage = storage
        self._on_stored = on_stored
        self.isolated = False
        self._waiting: deque[_Waiting] = deque()
        self._commits: set[asyncio.Task[None]] = set()

    async def submit(self, spec: JobSpec, retry_for_s: float = 0.0) -> SubmitOutcome:
        """Store a job; one with an id that is stored already is that job.

        Parameters
        ----------
        retry_for_s : float
            Seconds for which a write without an answer may be repeated.
        """
        if self.isolated or len(self._waiting) >= MAX_WAITING:
            return SubmitOutcome.REFUSED
        loop = asyncio.get_running_loop()
        waiting = _Waiting(spec, loop.create_future(), loop.time() + retry_for_s)
        self._waiting.append(waiting)
        self._begin()
        return await waiting.fut

    def _begin(self) -> None:
        while self._waiting and len(self._commits) < MAX_COMMITS:
            # A second transaction runs beside the first only for a full batch.
            if self._commits and len(self._waiting) < BATCH_JOBS:
                return
            count = min(BATCH_JOBS, len(self._waiting))
            batch = [self._waiting.popleft() for _ in range(count)]
            task = asyncio.create_task(self._commit(batch))
            self._commits.add(task)
            task.add_done_callback(self._committed)

    def _committed(self, task: "asyncio.Task[None]") -> None:
        self._commits.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.critical("task ended by an error", exc_info=task.exception())
        self._begin()

    async def _commit(self, batch: list[_Waiting]) -> None:
        try:
            while batch:
                batch = await self._attempt(batch)
        except StoreDown as exc:
            certain = [waiting for waiting in batch if not waiting.unsure]
            self._settle(certain, SubmitOutcome.REFUSED, exc)
            self._repeat([waiting for waiting in batch if waiting.unsure], exc)
        except (StoreReplyLost, LeaseLost) as exc:
            for waiting in batch:
                waiting.lost_replies += 1
            self._repeat(batch, exc)
        except BaseException:
            for waiting in batch:
                if not waiting.fut.done():
                    waiting.fut.set_result(SubmitOutcome.UNKNOWN)
            raise

    def _repeat(self, batch: list[_Waiting], exc: Exception) -> None:
        """Put jobs that may lie in the store back in line, while their callers wait."""
        if not batch:
            return
        tries = max(waiting.lost_replies for waiting in batch)
        longest_s = min(REPEAT_PAUSE_S * 2 ** (tries - 1), REPEAT_PAUSE_MAX_S)
        pause_s = random.uniform(0.0, longest_s)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + pause_s
        left = [] if self.isolated else [one for one in batch if one.until > ends_at]
        over = [waiting for waiting in batch if waiting not in left]
        self._settle(over, SubmitOutcome.UNKNOWN, exc)
        if left:
            loop.call_later(pause_s, self._return, left)

    def _return(self, batch: list[_Waiting]) -> None:
        self._waiting.extendleft(reversed(batch))
        self._begin()

    async def _attempt(self, batch: list[_Waiting]) -> list[_Waiting]:
        """Write a batch; return what is left because others of it were known."""
        unique = {waiting.key: waiting for waiting in batch}
        transaction = Transaction(
            expected=dict.fromkeys(unique, 0),
            puts=[
                (key, records.encode(waiting.spec), 0)
                for key, waiting in unique.items()
            ],
        )
        found = await self._storage.commit(transaction)
        if isinstance(found, int):
            self._on_stored([waiting.spec for waiting in unique.values()], found)
            self._settle(batch, SubmitOutcome.STORED, None)
            return []
        present = {item.key: item for item in found if isinstance(item, Item)}
        known = [waiting for waiting in batch if waiting.key in present]
        for waiting in known:
            if waiting.unsure:
                self._on_stored([waiting.spec], present[waiting.key].revision)
        self._settle(known, SubmitOutcome.STORED, None)
        return [waiting for waiting in batch if waiting.key not in present]

    def _settle(
        self, batch: list[_Waiting], accepted: SubmitOutcome, exc: Exception | None
    ) -> None:
        for waiting in batch:
            if waiting.fut.done():
                continue
            waiting.fut.set_result(accepted)
            extra: dict[str, t.Any] = {
                "request": waiting.spec.job_id,
                "queue": waiting.spec.queue,
            }
            if waiting.lost_replies:
                extra["lost_replies"] = waiting.lost_replies
            if exc is not None:
                extra["reason"] = str(exc)
            logger.info(f"job {accepted.value}", extra=extra)
