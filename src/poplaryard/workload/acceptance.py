"""Storage of submitted jobs, batched into transactions."""

import asyncio
import enum
import random
import typing as t
from collections import Counter, deque
from dataclasses import dataclass

from ..exceptions import LeaseLost, StoreDown, StoreReplyLost
from ..limits import backoff_s
from ..logs import log_failure, logger
from . import records
from .calls import MAX_CALL_DELAY_S
from .model import JobSpec
from .storage import MAX_TRANSACTION_ENTRIES, Item, Storage, Transaction
from .tenancy import is_accessible

__all__ = ["Acceptance", "SubmitOutcome"]

# Number of jobs that fill a transaction: each takes an expectation and two writes.
BATCH_JOBS = 10
# Maximum number of concurrent transactions: one that waits for the store must not delay
# the jobs after it.
MAX_COMMITS = 4
# Maximum number of jobs that wait for a transaction; more are refused immediately.
MAX_WAITING = 512
# Exponential backoff of a write whose reply was lost: initial and maximum limit of the
# pause, in seconds. The pause is drawn uniformly from zero to the limit, so that
# processes don't retry at the same time.
REPEAT_PAUSE_S = 0.1
REPEAT_PAUSE_MAX_S = 0.8


OnStored: t.TypeAlias = t.Callable[[list[JobSpec], int], None]


class SubmitOutcome(enum.Enum):
    """Outcome of the submission of a job.

    With `CONFLICT` the id is that of another tenant's job, and nothing was stored. With
    `WITHDRAWN` the job was cancelled before it was stored, and is not stored.
    """

    STORED = "stored"
    REFUSED = "refused"
    CONFLICT = "conflict"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class _Submission:
    parts: tuple[JobSpec, ...]
    fut: "asyncio.Future[SubmitOutcome]"
    retry_until: float
    lost_replies: int = 0

    @property
    def in_doubt(self) -> bool:
        """Whether the job may have been stored."""
        return self.lost_replies > 0

    @property
    def key(self) -> str:
        return records.home_key(self.parts[0].job_id)

    @property
    def tenant(self) -> str:
        """Name of the job's tenant; empty for none."""
        return self.parts[0].tenant

    @property
    def homes(self) -> bytes:
        """Value of the key of the job's homes."""
        return records.encode_homes((part.group for part in self.parts), self.tenant)

    @property
    def entry_count(self) -> int:
        """Number of entries in a transaction: an expectation and the writes."""
        return 2 + len(self.parts)

    def writes(self) -> list[tuple[str, bytes, int]]:
        """Return the entries that store the job, and its homes, in a transaction."""
        return [
            (self.key, self.homes, 0),
            *(
                (records.job_key(part.group, part.job_id), records.encode(part), 0)
                for part in self.parts
            ),
        ]

    def stored_as(self, item: Item) -> bool:
        """Return whether the stored job has the homes that were chosen here."""
        return item.value == self.homes

    def conflicts_with(self, item: Item) -> bool:
        """Return whether the stored job belongs to another tenant."""
        return not is_accessible(records.decode_home_tenant(item.value), self.tenant)


class Acceptance:
    """Writes submitted jobs to the store; a job is accepted once it is stored.

    A write whose reply was lost may have taken effect. It is repeated while the caller
    waits. That is safe: a write requires that the key of the job's home does not exist,
    so only one of the two can succeed.

    Parameters
    ----------
    storage : Storage
    on_stored : callable
        Called with the jobs of a committed transaction and its revision.

    Attributes
    ----------
    isolated : bool
        Whether the process reaches neither the store nor other data centres: new jobs
        are refused and lost writes are not repeated, so that callers can turn to
        another process.
    """

    def __init__(self, storage: Storage, on_stored: OnStored):
        self._storage = storage
        self._on_stored = on_stored
        self.isolated = False
        self._rng = random.Random()
        self._waiting: deque[_Submission] = deque()
        self._commits: set[asyncio.Task[None]] = set()
        # Submissions that have no outcome yet, by the key of their homes.
        self._open: Counter[str] = Counter()
        # Time until which writes without an answer may take effect, by the same key.
        self._in_doubt_until: dict[str, float] = {}

    def refusal(self, job_id: str) -> SubmitOutcome:
        """Return the outcome of a submission that is not tried.

        It is no refusal if another one of the same id may still be stored.
        """
        return self._refusal(records.home_key(job_id), 0)

    def _refusal(self, key: str, open_count: int) -> SubmitOutcome:
        now = asyncio.get_running_loop().time()
        if self._open[key] > open_count or self._in_doubt_until.get(key, now) > now:
            return SubmitOutcome.UNKNOWN
        return SubmitOutcome.REFUSED

    async def submit(
        self, *parts: JobSpec, retry_window_s: float = 0.0
    ) -> SubmitOutcome:
        """Store a job; an id that is stored already counts as the same job.

        Parameters
        ----------
        *parts : JobSpec
            The job, or its parts in several partitions. They are stored together.
        retry_window_s : float
            Time for which a write whose reply was lost may be repeated, in seconds.
        """
        if self.isolated or len(self._waiting) >= MAX_WAITING:
            return self.refusal(parts[0].job_id)
        loop = asyncio.get_running_loop()
        submission = _Submission(
            parts, loop.create_future(), loop.time() + retry_window_s
        )
        self._open[submission.key] += 1
        self._waiting.append(submission)
        self._start_commits()
        return await submission.fut

    def _start_commits(self) -> None:
        while self._waiting and len(self._commits) < MAX_COMMITS:
            # While a transaction is in progress, wait for a full batch.
            if self._commits and len(self._waiting) < BATCH_JOBS:
                return
            task = asyncio.create_task(self._commit(self._next_batch()))
            self._commits.add(task)
            task.add_done_callback(self._commit_finished)

    def _next_batch(self) -> list[_Submission]:
        """Take as many waiting submissions as a transaction has room for."""
        batch = [self._waiting.popleft()]
        entries = batch[0].entry_count
        while self._waiting:
            entries += self._waiting[0].entry_count
            if entries > MAX_TRANSACTION_ENTRIES:
                break
            batch.append(self._waiting.popleft())
        return batch

    def _commit_finished(self, task: "asyncio.Task[None]") -> None:
        self._commits.discard(task)
        log_failure(task)
        self._start_commits()

    async def _commit(self, batch: list[_Submission]) -> None:
        try:
            while batch:
                batch = await self._write(batch)
        except StoreDown as exc:
            for submission in batch:
                if not submission.in_doubt:
                    outcome = self._refusal(submission.key, 1)
                    self._resolve([submission], outcome, exc)
            self._retry(
                [submission for submission in batch if submission.in_doubt], exc
            )
        except (StoreReplyLost, LeaseLost) as exc:
            for submission in batch:
                submission.lost_replies += 1
            self._note_doubt(batch)
            self._retry(batch, exc)
        except BaseException:
            self._note_doubt(batch)
            for submission in batch:
                self._close(submission)
                if not submission.fut.done():
                    submission.fut.set_result(SubmitOutcome.UNKNOWN)
            raise

    def _note_doubt(self, batch: list[_Submission]) -> None:
        """Note that the writes of a batch may take effect later."""
        now = asyncio.get_running_loop().time()
        for key, until in list(self._in_doubt_until.items()):
            if until > now:
                break
            del self._in_doubt_until[key]
        for submission in batch:
            # The entries stay sorted by time.
            self._in_doubt_until.pop(submission.key, None)
            self._in_doubt_until[submission.key] = now + MAX_CALL_DELAY_S

    def _close(self, submission: _Submission) -> None:
        self._open[submission.key] -= 1
        if not self._open[submission.key]:
            del self._open[submission.key]

    def _retry(self, batch: list[_Submission], exc: Exception) -> None:
        """Schedule another write of jobs in doubt whose callers still wait."""
        if not batch:
            return
        tries = max(submission.lost_replies for submission in batch)
        pause_s = backoff_s(self._rng, tries, REPEAT_PAUSE_S, REPEAT_PAUSE_MAX_S)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + pause_s
        retried = (
            []
            if self.isolated
            else [
                submission for submission in batch if submission.retry_until > ends_at
            ]
        )
        given_up = [submission for submission in batch if submission not in retried]
        self._resolve(given_up, SubmitOutcome.UNKNOWN, exc)
        if retried:
            loop.call_later(pause_s, self._requeue, retried)

    def _requeue(self, batch: list[_Submission]) -> None:
        self._waiting.extendleft(reversed(batch))
        self._start_commits()

    async def _write(self, batch: list[_Submission]) -> list[_Submission]:
        """Write a batch of jobs in one transaction; return those still to be written.

        Nothing is written if some of the jobs are stored already; the others are then
        returned. Submissions of one id by several tenants are written one by one.
        """
        unique: dict[str, _Submission] = {}
        later = []
        for submission in batch:
            same = unique.get(submission.key, submission)
            if same.tenant == submission.tenant:
                unique[submission.key] = submission
            else:
                later.append(submission)
        transaction = Transaction(
            expected=dict.fromkeys(unique, 0),
            puts=[
                entry for submission in unique.values() for entry in submission.writes()
            ],
        )
        found = await self._storage.commit(transaction)
        if isinstance(found, int):
            stored = [part for item in unique.values() for part in item.parts]
            self._on_stored(stored, found)
            written = [submission for submission in batch if submission not in later]
            self._resolve(written, SubmitOutcome.STORED, None)
            return later
        present = {item.key: item for item in found if isinstance(item, Item)}
        known: list[_Submission] = []
        others: list[_Submission] = []
        withdrawn: list[_Submission] = []
        for submission in batch:
            item = present.get(submission.key)
            if item is None:
                continue
            if records.is_withdrawn(item.value):
                withdrawn.append(submission)
            elif submission.conflicts_with(item):
                others.append(submission)
            else:
                known.append(submission)
        for submission in known:
            item = present[submission.key]
            if submission.in_doubt and submission.stored_as(item):
                self._on_stored(list(submission.parts), item.revision)
        self._resolve(known, SubmitOutcome.STORED, None)
        self._resolve(others, SubmitOutcome.CONFLICT, None)
        self._resolve(withdrawn, SubmitOutcome.WITHDRAWN, None)
        return [submission for submission in batch if submission.key not in present]

    def _resolve(
        self, batch: list[_Submission], outcome: SubmitOutcome, exc: Exception | None
    ) -> None:
        """Give the outcome to the callers that wait, and log it."""
        for submission in batch:
            self._close(submission)
            if submission.fut.done():
                continue
            submission.fut.set_result(outcome)
            extra: dict[str, t.Any] = {
                "request": submission.parts[0].job_id,
                "queue": submission.parts[0].queue,
            }
            if submission.lost_replies:
                extra["lost_replies"] = submission.lost_replies
            if exc is not None:
                extra["reason"] = str(exc)
            logger.info(f"job {outcome.value}", extra=extra)
