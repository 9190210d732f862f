"""Ledger of one shard: the attempts, results and answer of each request."""

import enum
import typing as t
from collections import deque
from dataclasses import dataclass, field, replace

from .codes import Code, Outcome
from .messages import Answer, AttemptReport, AttemptState, Work

__all__ = ["Ledger", "Registered", "RequestStatus"]

# Time for which answers to idempotent requests are kept. Running such a request again
# does no harm, and at 500 requests/s the answers of 10 min would exceed the memory
# limit of 64 MB.
IDEMPOTENT_RETENTION_S = 30.0


class RequestStatus(enum.Enum):
    """Status of a request in the ledger when it is submitted."""

    NEW = "new"
    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Registered:
    """Result of `Ledger.register`.

    `answer` is set if the request was answered before, `code` if it is refused.
    """

    status: RequestStatus
    answer: Answer | None = None
    code: Code | None = None


@dataclass(slots=True)
class _Entry:
    """Ledger entry of one request."""

    request_id: str
    # Number of tasks; 0 after a take-over until the request itself is submitted, as
    # reports of its attempts do not give the number.
    tasks: int = 0
    # Hash of the request, to detect another request under the same id.
    digest: int | None = None
    idempotent: bool = False
    exclusive_key: str = ""
    # Highest number of a submission; None if the caller gives no numbers.
    attempt_number: int | None = None
    # Task of each attempt in progress, by attempt id.
    attempts: dict[str, int] = field(default_factory=dict)
    # Attempts that have ended. A late report that one is running must not reopen it.
    closed: set[str] = field(default_factory=set)
    # Tasks of non-idempotent work that may have run and must not be started again.
    not_restartable: set[int] = field(default_factory=set)
    # Final state and result of each ended task.
    parts: dict[int, tuple[AttemptState, t.Any]] = field(default_factory=dict)
    # Whether any attempt may have run, even if its task may be started again.
    may_have_run: bool = False
    answer: Answer | None = None


class Ledger:
    """Maps each request id to its attempts and its answer, and deduplicates requests.

    Methods that complete a request return its `Answer`; each request is answered once.

    Parameters
    ----------
    retention_s : float
        Time in seconds for which workers and the ledger keep an id.
    skew_s : float
        Largest difference between two wall clocks in seconds.
    limit : int
        Largest number of requests kept.
    """

    def __init__(
        self, retention_s: float = 600.0, skew_s: float = 5.0, limit: int = 100_000
    ):
        self._retention_s = retention_s
        self._skew_s = skew_s
        self._limit = limit
        self._entries: dict[str, _Entry] = {}
        self._by_attempt: dict[str, str] = {}
        self._keys: dict[str, set[str]] = {}
        # Scheduled removals (time, request id, answer), in the order of time. Requests
        # that are idempotent have a queue of their own, as they are kept for less time.
        self._removals: deque[tuple[float, str, Answer | None]] = deque()
        self._early_removals: deque[tuple[float, str, Answer | None]] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def register(
        self,
        now: float,
        wall: float,
        work: Work,
        *,
        attempt: int | None = None,
        may_run_unreported: bool = True,
    ) -> Registered:
        """Record a request, or return the status of the request recorded under its id.

        Parameters
        ----------
        attempt : int, optional
            Number of the submission. A request answered "not run" is accepted again
            only under a higher number; without numbers, it is accepted again unless it
            was cancelled.
        may_run_unreported : bool
            Result of `Takeover.may_run_unreported` for this id.
        """
        self.expire(now)
        entry = self._entries.get(work.request_id)
        if entry is not None:
            return self._register_known(now, entry, work, attempt, may_run_unreported)
        self._evict_oldest()
        code = self._refusal(wall, work, may_run_unreported)
        if code is not None:
            return Registered(RequestStatus.REFUSED, code=code)
        self._entries[work.request_id] = entry = _Entry(work.request_id)
        _set_request(entry, work, attempt)
        return Registered(RequestStatus.NEW)

    def may_start(self, request_id: str, task: int = 0) -> bool:
        """Return whether an attempt of a task may be sent to a worker now."""
        entry = self._entries.get(request_id)
        if entry is None or entry.answer is not None or task in entry.parts:
            return False
        if task in entry.not_restartable or task in entry.attempts.values():
            return False
        return not entry.exclusive_key or not self._keys.get(entry.exclusive_key)

    def started(self, now: float, request_id: str, attempt_id: str, task: int) -> None:
        """Record an attempt; to be called before the start is sent."""
        entry = self._entries[request_id]
        self._open(entry, attempt_id, task)
        if not entry.idempotent:
            entry.not_restartable.add(task)

    def refused(self, now: float, attempt_id: str) -> None:
        """Record that the worker refused an attempt, which has not run."""
        entry, task = self._close(attempt_id)
        if entry is not None:
            entry.not_restartable.discard(task)

    def report(self, now: float, report: AttemptReport) -> Answer | None:
        """Process a worker's report; return the answer if it completes the request.

        A checkpointed task, and a stopped task of an idempotent request, may be started
        again. To answer the request instead, call `end`.
        """
        entry = self._entries.get(report.request_id)
        if entry is None or report.state is AttemptState.RUNNING:
            return None
        self._close(report.attempt_id)
        entry.closed.add(report.attempt_id)
        entry.may_have_run = True
        if report.state is AttemptState.CHECKPOINTED:
            entry.not_restartable.discard(report.task)
            return None
        if report.state is AttemptState.STOPPED and entry.idempotent:
            return None
        entry.parts.setdefault(report.task, (report.state, report.body))
        return self._settle(now, entry)

    def lost(self, now: float, attempt_id: str) -> Answer | None:
        """Record that the worker of an attempt is lost and the task lease has lapsed.

        A task of an idempotent request may be started again; a non-idempotent request
        is answered "unknown outcome".
        """
        entry, _ = self._close(attempt_id)
        if entry is None:
            return None
        entry.may_have_run = True
        return self._settle(now, entry)

    def not_run(self, now: float, request_id: str, code: Code) -> Answer | None:
        """Answer a request that has not run and will not be started.

        Returns None if it is already answered, has an attempt in progress or may have
        run. In the last two cases the reports of its attempts decide the answer.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.answer is not None:
            return None
        if entry.attempts or entry.may_have_run:
            return None
        return self._answer(now, entry, code)

    def conclude(
        self, now: float, request_id: str, *, not_run: Code, ran: Code
    ) -> Answer | None:
        """Answer a request of which nothing more will be started.

        The code is `ran` if it may have run, else `not_run`. Returns None while it has
        attempts in progress, which must be stopped first.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.attempts:
            return None
        return self.end(now, request_id, ran if entry.may_have_run else not_run)

    def mark_uncertain(self, now: float, request_id: str) -> Answer | None:
        """Record that tasks without an attempt may have run under an earlier owner.

        None of them may be started any more. Returns the answer "unknown outcome"
        unless attempts are in progress.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.answer is not None:
            return None
        entry.not_restartable.update(range(entry.tasks))
        entry.may_have_run = True
        return self._settle(now, entry)

    def end(self, now: float, request_id: str, code: Code) -> Answer | None:
        """Answer a request with `code`, even if it has attempts in progress."""
        entry = self._entries.get(request_id)
        if entry is None or entry.answer is not None:
            return None
        return self._answer(now, entry, code)

    def adopt(self, now: float, report: AttemptReport) -> Answer | None:
        """Process a report of an attempt that an earlier owner started."""
        entry = self._entries.get(report.request_id)
        if entry is None:
            entry = _Entry(report.request_id, exclusive_key=report.exclusive_key)
            self._entries[report.request_id] = entry
        if report.state is not AttemptState.RUNNING:
            return self.report(now, report)
        if report.attempt_id not in entry.closed:
            self._open(entry, report.attempt_id, report.task)
            entry.may_have_run = True
            if not entry.idempotent:
                entry.not_restartable.add(report.task)
        return None

    def attempts(self, request_id: str) -> dict[str, int]:
        """Return the task of each attempt of a request that is in progress."""
        entry = self._entries.get(request_id)
        return dict(entry.attempts) if entry else {}

    def open_tasks(self, request_id: str) -> list[int]:
        """Return the tasks of a request that wait for an attempt."""
        entry = self._entries.get(request_id)
        if entry is None or entry.answer is not None:
            return []
        taken = (
            entry.not_restartable | set(entry.attempts.values()) | entry.parts.keys()
        )
        return [task for task in range(entry.tasks) if task not in taken]

    def holder(self, exclusive_key: str) -> str | None:
        """Return the id of a request that runs under an exclusive key, or None."""
        return min(self._keys.get(exclusive_key, ()), default=None)

    def answer(self, request_id: str) -> Answer | None:
        """Return the answer of a request if it is known."""
        entry = self._entries.get(request_id)
        return entry.answer if entry else None

    def expire(self, now: float) -> None:
        """Remove entries whose retention time has ended."""
        for removals in (self._removals, self._early_removals):
            while removals and removals[0][0] <= now:
                _, request_id, answer = removals.popleft()
                self._evict(request_id, answer)

    def _evict_oldest(self) -> None:
        """Evict the oldest answers to idempotent requests if the ledger is full."""
        while len(self._entries) >= self._limit and self._early_removals:
            _, request_id, answer = self._early_removals.popleft()
            self._evict(request_id, answer)

    def _evict(self, request_id: str, answer: Answer | None) -> None:
        entry = self._entries.get(request_id)
        if entry is None or entry.answer is not answer or entry.attempts:
            return
        del self._entries[request_id]

    def _refusal(
        self, wall: float, work: Work, may_run_unreported: bool
    ) -> Code | None:
        if len(self._entries) >= self._limit:
            return Code.QUEUE_FULL
        if work.idempotent:
            return None
        if work.issued_at <= 0:
            return Code.INVALID
        if work.issued_at > wall + self._skew_s:
            return Code.ID_IN_FUTURE
        # The clocks that issue and check an id may differ, and the id must be refused
        # before any worker can have dropped it.
        if wall - work.issued_at > self._retention_s - 2 * self._skew_s:
            return Code.ID_EXPIRED
        return None if may_run_unreported else Code.UNKNOWN_OUTCOME

    def _register_known(
        self,
        now: float,
        entry: _Entry,
        work: Work,
        attempt: int | None,
        may_run_unreported: bool,
    ) -> Registered:
        """Register a submission whose id already has an entry in the ledger."""
        if entry.digest is None:
            _set_request(entry, work, attempt)
            if not work.idempotent and not may_run_unreported:
                entry.not_restartable.update(range(work.tasks))
                entry.may_have_run = True
            self._settle(now, entry)
        elif entry.digest != _digest(work):
            return Registered(RequestStatus.REFUSED, code=Code.DUPLICATE_MISMATCH)
        if entry.answer is None:
            if attempt is not None:
                entry.attempt_number = max(attempt, entry.attempt_number or 0)
            return Registered(RequestStatus.PENDING)
        if _may_reopen(entry, attempt):
            entry.answer = None
            entry.attempt_number = attempt
            return Registered(RequestStatus.NEW)
        return Registered(RequestStatus.ANSWERED, answer=entry.answer)

    def _open(self, entry: _Entry, attempt_id: str, task: int) -> None:
        entry.attempts[attempt_id] = task
        self._by_attempt[attempt_id] = entry.request_id
        if entry.exclusive_key:
            self._keys.setdefault(entry.exclusive_key, set()).add(entry.request_id)

    def _close(self, attempt_id: str) -> tuple[_Entry | None, int]:
        request_id = self._by_attempt.pop(attempt_id, None)
        entry = self._entries.get(request_id) if request_id else None
        if entry is None:
            return None, 0
        task = entry.attempts.pop(attempt_id)
        entry.closed.add(attempt_id)
        if not entry.attempts:
            self._release(entry)
        return entry, task

    def _release(self, entry: _Entry) -> None:
        holders = self._keys.get(entry.exclusive_key)
        if holders is not None:
            holders.discard(entry.request_id)
            if not holders:
                del self._keys[entry.exclusive_key]

    def _settle(self, now: float, entry: _Entry) -> Answer | None:
        """Answer a request if all its tasks have ended, or if a result is lost.

        The second case is a non-idempotent request without attempts in progress, one
        task of which may have run but has no result. Its answer is "unknown outcome".
        """
        if entry.tasks == 0:
            if not entry.attempts:
                self._schedule_removal(now, entry, None)
            return None
        if len(entry.parts) == entry.tasks:
            return self._complete(now, entry)
        if entry.idempotent or entry.attempts or entry.answer is not None:
            return None
        if entry.not_restartable <= entry.parts.keys():
            return None
        return self._answer(now, entry, Code.UNKNOWN_OUTCOME)

    def _complete(self, now: float, entry: _Entry) -> Answer | None:
        states = {state for state, _ in entry.parts.values()}
        parts = tuple(entry.parts[task][1] for task in sorted(entry.parts))
        code = _code_of(states)
        if entry.answer is None:
            return self._answer(now, entry, code, parts)
        if not entry.answer.parts:
            # Results that arrive after "unknown outcome" replace the stored answer.
            # Later submissions of the request get the new one.
            entry.answer = replace(
                entry.answer, code=code, outcome=code.outcome, parts=parts
            )
            self._schedule_removal(now, entry, entry.answer)
        return None

    def _answer(
        self, now: float, entry: _Entry, code: Code, parts: tuple[t.Any, ...] = ()
    ) -> Answer:
        answer = Answer(entry.request_id, code, code.outcome, parts, code.meaning)
        entry.answer = answer
        self._schedule_removal(now, entry, answer)
        return answer

    def _schedule_removal(
        self, now: float, entry: _Entry, answer: Answer | None
    ) -> None:
        if entry.idempotent and entry.tasks:
            until = now + min(IDEMPOTENT_RETENTION_S, self._retention_s)
            self._early_removals.append((until, entry.request_id, answer))
        else:
            until = now + self._retention_s + 2 * self._skew_s
            self._removals.append((until, entry.request_id, answer))


def _set_request(entry: _Entry, work: Work, attempt: int | None) -> None:
    entry.digest = _digest(work)
    entry.tasks = work.tasks
    entry.idempotent = work.idempotent
    entry.attempt_number = attempt
    entry.exclusive_key = entry.exclusive_key or work.exclusive_key
    if work.idempotent:
        entry.not_restartable.clear()
        stopped = [
            task
            for task, (state, _) in entry.parts.items()
            if state is AttemptState.STOPPED
        ]
        for task in stopped:
            del entry.parts[task]


def _digest(work: Work) -> int:
    body = repr((work.payload, work.need, work.tasks, work.idempotent))
    return hash((work.kind, work.target, work.team, work.exclusive_key, body))


def _may_reopen(entry: _Entry, attempt: int | None) -> bool:
    if entry.answer is None or entry.answer.outcome is not Outcome.NOT_RUN:
        return False
    if attempt is None or entry.attempt_number is None:
        return entry.answer.code is not Code.CANCELLED
    return attempt > entry.attempt_number


def _code_of(states: set[AttemptState]) -> Code:
    if AttemptState.FAILED in states:
        return Code.FAILED
    return Code.STOPPED if AttemptState.STOPPED in states else Code.OK
