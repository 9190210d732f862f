"""HTTP interface to the platform's clients, and its answers."""

import json
import re
import time
import typing as t

import msgspec

from ..exceptions import PoplaryardError
from ..logs import logger
from ..workload.acceptance import SubmitOutcome
from ..workload.model import JobState, Queue
from ..workload.node import Node
from ..workload.relay import RELAY_PATH, answer_relayed
from .codec import DecodeFailed, decode_submission

__all__ = ["Front", "PlatformFront"]

READY_PATH = "/poplaryard/readyz"
# Seconds after which a refused client should return: by then the platform's balancer
# has noticed a process that is not ready, or a short outage is over.
RETRY_S = 1.0
# Kept of a client's time for the way of the answer, in seconds.
ANSWER_S = 0.2
# Time that a client waits if it does not say, in seconds.
DEADLINE_S = 3.0
METRICS_PATH = "/metrics"
# Largest call of a peer: a transaction of 16 jobs of the largest size.
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024
# Clients name a job by 16 hexadecimal digits.
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")

Scope: t.TypeAlias = dict[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[dict[str, t.Any]]]
Send: t.TypeAlias = t.Callable[[dict[str, t.Any]], t.Awaitable[None]]


class Front(t.NamedTuple):
    """Response to one request; `retry_s` says when a refused client may return."""

    status: int
    body: t.Any = None
    retry_s: float = 0.0
    raw: bytes = b""


class _TooLarge(Exception):
    """Body above the configured limit."""


class PlatformFront:
    """ASGI application for clients, readiness probes and peers.

    Parameters
    ----------
    node : Node
    read_gauges : callable
        Brings the gauges up to date before metrics are read.
    """

    def __init__(self, node: Node, read_gauges: t.Callable[[], None]):
        self._node = node
        self._read_gauges = read_gauges

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        try:
            answer = await self._answer(scope, receive)
        except _TooLarge:
            answer = Front(413)
        except PoplaryardError as exc:
            logger.info("question not answered", extra={"reason": exc.detail})
            answer = Front(503, retry_s=RETRY_S)
        close = self._node.stopping or self._node.isolated
        await _respond(answer, send, close)

    async def _answer(self, scope: Scope, receive: Receive) -> Front:
        path, method = scope["path"], scope["method"]
        if path == READY_PATH:
            return Front(200 if self._node.ready else 503)
        if path == METRICS_PATH:
            self._read_gauges()
            return Front(200, raw=self._node.meters.text())
        if path.startswith("/peer/v1/"):
            return await self._answer_peer(path, receive)
        if not self._node.queues.version:
            return Front(503, retry_s=RETRY_S)
        queue = self._node.queues.find(_host(scope), path)
        if queue is None:
            return Front(404)
        name = path[len(queue.prefix) :]
        if not name:
            return await self._pending(queue, method)
        if not _JOB_ID.match(name):
            return Front(404)
        if method == "POST":
            limit = self._node.queues.max_body_bytes
            patience_s = min(_deadline_s(scope), queue.timeout_s) - ANSWER_S
            body = await _body(receive, limit)
            return await self._submit(queue, name, body, patience_s)
        if method == "GET":
            return await self._state(queue, name)
        if method == "DELETE":
            cancelled = await self._node.cancel(queue, name)
            return Front(200, {}) if cancelled else Front(410)
        return Front(405)

    async def _answer_peer(self, path: str, receive: Receive) -> Front:
        if path == "/peer/v1/ping":
            return Front(200)
        body = await _body(receive, MAX_PEER_BODY_BYTES)
        try:
            if path == RELAY_PATH:
                return Front(
                    200, raw=await answer_relayed(self._node.direct_storage, body)
                )
            if path == "/peer/v1/stored":
                self._node.jobs_stored(body)
                return Front(200)
            question = json.loads(body)
        except (ValueError, msgspec.MsgspecError):
            return Front(400)
        if not isinstance(question, dict):
            return Front(400)
        if path != "/peer/v1/advise":
            return Front(200, self._node.answer_peer(question))
        try:
            advice = await self._node.advise(question)
        except (KeyError, TypeError, ValueError):
            return Front(400)
        return Front(503) if advice is None else Front(200, advice)

    async def _pending(self, queue: Queue, method: str) -> Front:
        if method != "GET":
            return Front(405)
        return Front(200, {"pending": await self._node.pending(queue)})

    async def _submit(
        self, queue: Queue, job_id: str, body: bytes, patience_s: float
    ) -> Front:
        try:
            spec = decode_submission(body, job_id, queue, time.time())
        except DecodeFailed as exc:
            extra = {"request": job_id, "reason": str(exc)}
            logger.info("job malformed", extra=extra)
            return Front(400)
        accepted = await self._node.submit(spec, patience_s)
        if accepted is SubmitOutcome.STORED:
            return Front(200, {})
        if accepted is SubmitOutcome.REFUSED:
            return Front(503, retry_s=RETRY_S)
        # The job may have been stored: the client has to send it again.
        return Front(504)

    async def _state(self, queue: Queue, job_id: str) -> Front:
        state: JobState | None = await self._node.state(queue, job_id)
        if state is None:
            return Front(410)
        return Front(200, {"state": str(state)})


async def _body(receive: Receive, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b""
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            raise _TooLarge
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def _respond(answer: Front, send: Send, close: bool) -> None:
    content = answer.raw
    if answer.body is not None:
        content = json.dumps(answer.body).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(content)).encode()),
    ]
    if answer.retry_s:
        headers.append((b"retry-after", str(max(1, round(answer.retry_s))).encode()))
    if close:
        headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": content})


def _header(scope: Scope, wanted: bytes) -> str:
    for name, value in scope["headers"]:
        if name == wanted:
            return value.decode("latin-1")
    return ""


def _host(scope: Scope) -> str:
    return _header(scope, b"host").partition(":")[0]


def _deadline_s(scope: Scope) -> float:
    """Return how long the client waits for the response, in seconds."""
    value = _header(scope, b"x-deadline-ms")
    return int(value) / 1000 if value.isdigit() else DEADLINE_S
