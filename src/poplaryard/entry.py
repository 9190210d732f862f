"""Open requests of the callers of this process: sending, retries and answers."""

import asyncio
import typing as t
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from .clock import SystemClock
from .codes import Code, Outcome
from .limits import RetryBudget
from .messages import Answer, Cancel, Submit, Work

__all__ = ["RequestTracker", "Router"]

_clock = SystemClock()

# Time after the deadline for which the entry still waits for the owner's answer.
ANSWER_GRACE_S = 0.5
# Interval after which an unanswered request is resent with the same id: the owner may
# have failed or its answer may be lost. An owner that knows the id does not rerun it.
RESEND_S = 2.0
# Pause before a rejected request is sent to the owner then known.
RETRY_WAIT_S = 0.05
# Interval of the checks of deadlines and unanswered requests.
CHECK_PERIOD_S = 0.25
# Number of latest answers kept for callers that ask again with the same id.
ANSWERS_KEPT = 20_000
# Maximum number of requests submitted at other entry processes whose answers are
# awaited here; beyond it the oldest are dropped.
WATCHED_LIMIT = 10_000

# Codes after which the request may be sent to another owner.
_REROUTED = frozenset(
    {
        Code.NOT_OWNER,
        Code.NO_AUTHORITY,
        Code.NOT_READY,
        Code.PEER_UNREACHABLE,
        Code.SHUTTING_DOWN,
        Code.STALE_EPOCH,
        Code.WORKER_UNREACHABLE,
    }
)


class Router(t.Protocol):
    """Finds shard owners and sends messages to them."""

    def route(self, work: Work) -> tuple[str, str] | Code:
        """Return the shard for work and its owner, or the reason why there is none."""

    def submit(self, process: str, shard: str, msg: Submit, again: bool) -> None:
        """Send work to an owner; report failures to `RequestTracker.undelivered`.

        `again` says that the owner may have received the request before.
        """

    def cancel(self, process: str, shard: str, msg: Cancel) -> None:
        """Send a cancellation to an owner."""


@dataclass(slots=True, eq=False)
class _Pending:
    """Request without an answer.

    Attributes
    ----------
    attempt : int
        Attempt number, shared by all copies sent until one is refused; see `Submit`.
    owner : str
        Process that the request was last sent to; empty while it waits for a retry.
    unresolved : Counter of str
        Processes that may have accepted the request and have not answered, with the
        number of copies sent to them.
    sent_at, retry_at : float
        Time of the last send, 0 to resend at the next check; and of the next retry, 0
        if none is scheduled.
    last_code : Code
        Reason for the last failure to send the request or to get it accepted.
    """

    work: Work
    digest: str
    fut: asyncio.Future[Answer]
    attempt: int = 0
    shard: str = ""
    owner: str = ""
    unresolved: Counter[str] = field(default_factory=Counter)
    sent_at: float = 0.0
    retry_at: float = 0.0
    last_code: Code = Code.NOT_OWNER


class RequestTracker:
    """Sends callers' requests to shard owners and keeps them until they are answered.

    Parameters
    ----------
    process : str
        Id of this process, to which answers are sent.
    limit : int
        Maximum number of open requests; further ones get `QUEUE_FULL`.
    """

    def __init__(self, process: str, router: Router, limit: int):
        self._process = process
        self._router = router
        self._limit = limit
        self._open: dict[str, _Pending] = {}
        self._answers: OrderedDict[str, tuple[str, Answer]] = OrderedDict()
        self._watched: OrderedDict[str, asyncio.Future[Answer]] = OrderedDict()
        self._budget = RetryBudget(floor_per_s=20.0, burst=100.0)
        self._check_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that enforces deadlines and resends requests."""
        self._check_task = asyncio.create_task(self._run_checks())

    async def stop(self) -> None:
        """Stop the task."""
        if self._check_task is not None:
            self._check_task.cancel()
            await asyncio.gather(self._check_task, return_exceptions=True)

    async def wait_until_answered(self, timeout_s: float) -> bool:
        """Wait until all open requests are answered; return False on a timeout."""
        futures = [pending.fut for pending in self._open.values()]
        if futures:
            await asyncio.wait(futures, timeout=max(0.0, timeout_s))
        return not self._open

    @property
    def open_requests(self) -> int:
        """Number of requests without an answer."""
        return len(self._open)

    def watch_answer(self, request_id: str) -> "asyncio.Future[Answer]":
        """Return a future of the answer to a request submitted at another process."""
        fut = self._watched.get(request_id)
        if fut is None:
            fut = asyncio.get_running_loop().create_future()
            self._watched[request_id] = fut
            if len(self._watched) > WATCHED_LIMIT:
                self._watched.popitem(last=False)
        return fut

    def answer_of(self, request_id: str) -> Answer | None:
        """Return the answer to a request if it was given here."""
        found = self._answers.get(request_id)
        return found[1] if found else None

    def is_open(self, request_id: str) -> bool:
        """Return whether a request of this process has no answer yet."""
        return request_id in self._open

    def work_of(self, request_id: str) -> tuple[Work, str, str] | None:
        """Return an open request's work, shard and owner; None if it is not open."""
        found = self._open.get(request_id)
        return (found.work, found.shard, found.owner) if found else None

    def submit(self, work: Work, digest: str) -> "asyncio.Future[Answer] | Answer":
        """Send a request to its owner; return its answer or a future of it.

        A request whose id is open or answered here is not sent again; `digest` of the
        body shows whether it is the same request.
        """
        known = self._answers.get(work.request_id)
        if known is not None:
            return known[1] if known[0] == digest else _refusal(work, _MISMATCH)
        pending = self._open.get(work.request_id)
        if pending is not None:
            same = pending.digest == digest
            return pending.fut if same else _refusal(work, _MISMATCH)
        if len(self._open) >= self._limit:
            return _refusal(work, Code.QUEUE_FULL, 1.0)
        pending = _Pending(work, digest, asyncio.get_running_loop().create_future())
        pending.attempt = _next_attempt(0)
        self._open[work.request_id] = pending
        now = _clock.now()
        self._budget.record_attempt(now)
        self._send(pending, now)
        return pending.fut

    def answer_future(self, request_id: str) -> "asyncio.Future[Answer] | None":
        """Return the future of an open request's answer; None if it is not open."""
        pending = self._open.get(request_id)
        return pending.fut if pending else None

    def cancel(self, request_id: str) -> bool:
        """Forward a cancellation; return False if the request is not open here."""
        pending = self._open.get(request_id)
        if pending is None:
            return False
        if pending.owner:
            self._router.cancel(pending.owner, pending.shard, Cancel(request_id))
        else:
            self._complete_with_code(pending, Code.CANCELLED)
        return True

    def on_answer(self, source: str, answer: Answer) -> None:
        """Handle the answer of the process `source`."""
        watched = self._watched.pop(answer.request_id, None)
        if watched is not None and not watched.done():
            watched.set_result(answer)
        pending = self._open.get(answer.request_id)
        if pending is None:
            return
        self._resolve(pending, source, answer.code)
        if answer.outcome is not Outcome.NOT_RUN:
            self._complete(pending, answer)
        elif answer.code in _REROUTED:
            self._retry_later(pending, answer.code)
        elif pending.unresolved:
            # Another process may have run it, so "not run" could be wrong.
            self._complete_with_code(pending, Code.UNKNOWN_OUTCOME)
        else:
            self._complete(pending, answer)

    def undelivered(self, process: str, work: Work, code: Code) -> None:
        """Handle a request that did not reach an owner, or may not have.

        With `PEER_UNREACHABLE` it certainly did not and goes to another owner. With any
        other code it may have, and is resent to the same owner at the next check.
        """
        pending = self._open.get(work.request_id)
        if pending is None:
            return
        if code is not Code.PEER_UNREACHABLE:
            pending.sent_at = 0.0
            return
        self._resolve(pending, process, code)
        if process == pending.owner:
            self._retry_later(pending, code)

    def owners_changed(self) -> None:
        """Resend every open request whose shard has a new owner to that owner."""
        now = _clock.now()
        for pending in list(self._open.values()):
            found = self._router.route(pending.work)
            if not isinstance(found, Code) and found[1] != pending.owner:
                self._send(pending, now)

    def _send(self, pending: _Pending, now: float) -> None:
        found = self._router.route(pending.work)
        if isinstance(found, Code):
            self._retry_later(pending, found)
            return
        pending.shard, pending.owner = found
        again = pending.owner in pending.unresolved
        pending.unresolved[pending.owner] += 1
        pending.sent_at, pending.retry_at = now, 0.0
        msg = Submit(pending.work, self._process, _clock.wall(), pending.attempt)
        self._router.submit(pending.owner, pending.shard, msg, again)

    def _retry_later(self, pending: _Pending, code: Code) -> None:
        now = _clock.now()
        pending.last_code, pending.owner = code, ""
        pending.attempt = _next_attempt(pending.attempt)
        if code in _REROUTED and now + RETRY_WAIT_S < pending.work.deadline:
            pending.retry_at = now + RETRY_WAIT_S
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_WAIT_S, self._retry, pending)
        else:
            self._complete_with_code(pending, code)

    def _retry(self, pending: _Pending) -> None:
        if pending.fut.done() or not pending.retry_at:
            return
        now = _clock.now()
        if now >= pending.work.deadline:
            self._complete_with_code(pending, pending.last_code)
        elif self._budget.take(now):
            self._send(pending, now)
        else:
            self._retry_later(pending, pending.last_code)

    def _resolve(self, pending: _Pending, process: str, code: Code) -> None:
        """Update `unresolved` for a process that has answered or was not reached.

        A code that reroutes the request settles one copy only: the process may have
        accepted an earlier copy while it still owned the shard.
        """
        if code in _REROUTED:
            pending.unresolved[process] -= 1
            pending.unresolved += Counter()  # removes counts of zero
        else:
            pending.unresolved.pop(process, None)

    def _complete_with_code(self, pending: _Pending, code: Code) -> None:
        """Answer with `code`, or "unknown" if an owner may have run the request."""
        if pending.unresolved and code.outcome is Outcome.NOT_RUN:
            code = Code.UNKNOWN_OUTCOME
        self._complete(pending, _refusal(pending.work, code, 1.0))

    def _complete(self, pending: _Pending, answer: Answer) -> None:
        request_id = pending.work.request_id
        if self._open.pop(request_id, None) is None:
            return
        self._answers[request_id] = (pending.digest, answer)
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        if not pending.fut.done():
            pending.fut.set_result(answer)

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now = _clock.now()
            for pending in list(self._open.values()):
                self._check(pending, now)

    def _check(self, pending: _Pending, now: float) -> None:
        if now >= pending.work.deadline + ANSWER_GRACE_S:
            self._complete_with_code(pending, Code.EXPIRED)
        elif not pending.retry_at and now >= pending.sent_at + RESEND_S:
            self._send(pending, now)


_MISMATCH = Code.DUPLICATE_MISMATCH


def _refusal(work: Work, code: Code, retry_after_s: float = 0.0) -> Answer:
    return Answer(work.request_id, code, code.outcome, (), code.meaning, retry_after_s)


def _next_attempt(last: int) -> int:
    """Return an attempt number above `last`, from the wall clock in milliseconds.

    The wall clock makes the number grow also when a caller resubmits a request at
    another entry process. If that process's clock is behind, the caller gets the old
    answer until the clock has caught up.
    """
    return max(last + 1, int(_clock.wall() * 1000))
