"""Requests that callers have open at this process, and where they are sent."""

import asyncio
import typing as t
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from .clock import SystemClock
from .codes import Code, Outcome
from .limits import RetryBudget
from .messages import Answer, Cancel, Submit, Work

__all__ = ["Entry", "Router"]

_clock = SystemClock()

# Time after the deadline in which the owner's own answer may still arrive.
ANSWER_GRACE_S = 0.5
# Interval after which an unanswered request is sent again with the same id: its owner
# or the answer may be lost, and an owner that knows the id does not run it twice.
RESEND_S = 2.0
RETRY_WAIT_S = 0.05
CHECK_PERIOD_S = 0.25
ANSWERS_KEPT = 20_000
# Requests handed in elsewhere whose answers are awaited here; the oldest are dropped.
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
    """Finds owners and sends messages to them."""

    def route(self, work: Work) -> tuple[str, str] | Code:
        """Return the shard and its owner for work, or why there is none."""

    def submit(self, process: str, shard: str, msg: Submit, again: bool) -> None:
        """Send work to an owner; failures come back to `Entry.undelivered`."""

    def cancel(self, process: str, shard: str, msg: Cancel) -> None:
        """Send a cancellation to an owner."""


@dataclass(slots=True, eq=False)
class _Pending:
    """Request without an answer.

    Attributes
    ----------
    unresolved : Counter of str
        Processes that may have taken the request and have not answered, with the
        number of times that it was sent to them.
    attempt : int
        Shared by the copies sent until one is refused; see `Submit`.
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
    last: Code = Code.NOT_OWNER


class Entry:
    """Open requests of callers, by request id.

    Parameters
    ----------
    process : str
        Id of this process, to which answers are sent.
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
        """Start the task that watches deadlines and sends again."""
        self._check_task = asyncio.create_task(self._run_checks())

    async def stop(self) -> None:
        """End the task."""
        if self._check_task is not None:
            self._check_task.cancel()
            await asyncio.gather(self._check_task, return_exceptions=True)

    async def wait_until_answered(self, timeout_s: float) -> bool:
        """Wait until all open requests are answered; False if that took too long."""
        futures = [pending.fut for pending in self._open.values()]
        if futures:
            await asyncio.wait(futures, timeout=max(0.0, timeout_s))
        return not self._open

    @property
    def open_requests(self) -> int:
        """Number of requests without an answer."""
        return len(self._open)

    def watch_answer(self, request_id: str) -> "asyncio.Future[Answer]":
        """Return a future of the answer to a request handed in elsewhere."""
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
        """Return whether a request waits here for its answer."""
        return request_id in self._open

    def work_of(self, request_id: str) -> tuple[Work, str, str] | None:
        """Return an open request with its shard and owner."""
        found = self._open.get(request_id)
        return (found.work, found.shard, found.owner) if found else None

    def submit(self, work: Work, digest: str) -> "asyncio.Future[Answer] | Answer":
        """Take a request; return its answer or a future of it.

        A request whose id is open or answered here is not sent again.
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
        self._budget.first(now)
        self._send(pending, now)
        return pending.fut

    def answer_future(self, request_id: str) -> "asyncio.Future[Answer] | None":
        """Return the future of an open request."""
        pending = self._open.get(request_id)
        return pending.fut if pending else None

    def cancel(self, request_id: str) -> bool:
        """Pass on a cancellation; False if the request is not open here."""
        pending = self._open.get(request_id)
        if pending is None:
            return False
        if pending.owner:
            self._router.cancel(pending.owner, pending.shard, Cancel(request_id))
        else:
            self._finish(pending, Code.CANCELLED)
        return True

    def on_answer(self, source: str, answer: Answer) -> None:
        """Take the answer that a process gave."""
        watched = self._watched.pop(answer.request_id, None)
        if watched is not None and not watched.done():
            watched.set_result(answer)
        pending = self._open.get(answer.request_id)
        if pending is None:
            return
        self._resolve(pending, source, answer.code)
        if answer.outcome is not Outcome.NOT_RUN:
            self._settle(pending, answer)
        elif answer.code in _REROUTED:
            self._retry_later(pending, answer.code)
        elif pending.unresolved:
            # Another process may have run it, so that "not run" would not be true.
            self._finish(pending, Code.UNKNOWN_OUTCOME)
        else:
            self._settle(pending, answer)

    def undelivered(self, process: str, work: Work, code: Code) -> None:
        """Note that a request did not reach an owner, or perhaps not."""
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
        """Send every open request whose shard has a new owner to that owner."""
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
        pending.last, pending.owner = code, ""
        pending.attempt = _next_attempt(pending.attempt)
        if code in _REROUTED and now + RETRY_WAIT_S < pending.work.deadline:
            pending.retry_at = now + RETRY_WAIT_S
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_WAIT_S, self._retry, pending)
        else:
            self._finish(pending, code)

    def _retry(self, pending: _Pending) -> None:
        if pending.fut.done() or not pending.retry_at:
            return
        now = _clock.now()
        if now >= pending.work.deadline:
            self._finish(pending, pending.last)
        elif self._budget.take(now):
            self._send(pending, now)
        else:
            self._retry_later(pending, pending.last)

    def _resolve(self, pending: _Pending, process: str, code: Code) -> None:
        """Note that a process has said what became of a request.

        A refusal of one message says nothing about the same request sent before, which
        the process may have taken while it still owned the shard.
        """
        if code in _REROUTED:
            pending.unresolved[process] -= 1
            pending.unresolved += Counter()  # drops the counts that are zero
        else:
            pending.unresolved.pop(process, None)

    def _finish(self, pending: _Pending, code: Code) -> None:
        """Answer a request here; never "not run" if an owner may have taken it."""
        if pending.unresolved and code.outcome is Outcome.NOT_RUN:
            code = Code.UNKNOWN_OUTCOME
        self._settle(pending, _refusal(pending.work, code, 1.0))

    def _settle(self, pending: _Pending, answer: Answer) -> None:
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
            self._finish(pending, Code.EXPIRED)
        elif not pending.retry_at and now >= pending.sent_at + RESEND_S:
            self._send(pending, now)


_MISMATCH = Code.DUPLICATE_MISMATCH


def _refusal(work: Work, code: Code, retry_after_s: float = 0.0) -> Answer:
    return Answer(work.request_id, code, code.outcome, (), code.meaning, retry_after_s)


def _next_attempt(last: int) -> int:
    """Return a number above `last` that also grows from one entry process to another.

    The wall clock gives it; a caller that turns to an entry process whose clock is
    behind gets the old answer until that clock has caught up.
    """
    return max(last + 1, int(_clock.wall() * 1000))
