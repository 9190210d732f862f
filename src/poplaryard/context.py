"""Caller requests: submission, lookup, cancellation and explanation."""

import asyncio
import dataclasses
import typing as t

from starlette.requests import Request

from .api import bearer_allowed
from .codes import Code
from .dispatch import Dispatcher
from .logs import logger
from .lookup import Finder
from .messages import Answer, Work
from .settings import Settings

__all__ = ["CallerContext"]


class CallerContext:
    """Implementation of `poplaryard.api.ApiContext` in an entry process.

    Parameters
    ----------
    refusal : callable
        Returns the code with which all requests are refused at the moment, or None.
    record_answer : callable
        Called with the code of each answer and the time that it took in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        finder: Finder,
        refusal: t.Callable[[], Code | None],
        record_answer: t.Callable[[int, float], None],
    ):
        self.body_limit = settings.limits.body_kb * 1024
        self.depth_limit = settings.limits.json_depth
        self.default_timeout_s = settings.limits.default_timeout_s
        self.refusal = refusal
        self._record_answer = record_answer
        self._keys = tuple(settings.keys.callers.values())
        self._dispatcher = dispatcher
        self._finder = finder

    def caller_allowed(self, request: Request) -> bool:
        """Return whether a request carries a caller's key."""
        return bearer_allowed(request, self._keys)

    def defaults(self, work: Work, timeout_s: float | None) -> tuple[Work, float]:
        """Return work with its job class defaults, and its timeout in seconds."""
        spec = self._dispatcher.map.config.work_kinds.get(work.job_class)
        if spec is None:
            return work, timeout_s or self.default_timeout_s
        work = dataclasses.replace(
            work,
            target=work.target or spec.target,
            idempotent=work.idempotent and spec.idempotent,
        )
        return work, timeout_s or spec.timeout_s

    def submit(self, work: Work, digest: str) -> "asyncio.Future[Answer] | Answer":
        """Submit a request; return its answer or a future of it."""
        return self._dispatcher.requests.submit(work, digest)

    def record_answer(self, answer: Answer, seconds: float) -> None:
        """Record an answer that took `seconds`."""
        self._record_answer(int(answer.code), seconds)
        logger.debug(
            "answered", extra={"request": answer.request_id, "code": int(answer.code)}
        )

    async def find(self, request_id: str) -> "asyncio.Future[Answer] | Answer | None":
        """Return a request's answer or a future of it; None if it is not known."""
        requests = self._dispatcher.requests
        found = requests.answer_of(request_id) or requests.answer_future(request_id)
        if found is not None:
            return found
        watched = requests.watch_answer(request_id)
        explanation = await self._finder.explain(request_id, watch=True)
        return watched if explanation is not None else None

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request; return False if it is not known."""
        if self._dispatcher.requests.cancel(request_id):
            return True
        known = await self._finder.explain(request_id) is not None
        if known:
            self._dispatcher.send_cancel(
                self._finder.candidates(request_id), request_id
            )
        return known

    async def explain(self, request_id: str) -> str:
        """Return one sentence that describes the state of a request."""
        explanation = await self._finder.explain(request_id)
        if explanation is not None:
            return explanation
        answer = self._dispatcher.requests.answer_of(request_id)
        if answer is not None:
            return f"The request was answered: {answer.detail or answer.code.meaning}"
        if self._dispatcher.requests.is_open(request_id):
            return "The request waits until its shard has an owner that answers."
        return "No request with this id is known here."
