"""HTTP API for the platform's clients, probes and peers."""

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
from ..workload.refusals import retry_after_s
from ..workload.relay import RELAY_PATH, answer_relayed
from ..workload.tenancy import KeyOutcome, Verdict
from ..workload.withdrawals import WITHDRAWN_S
from .codec import DecodeFailed, decode_submission

__all__ = ["PlatformFrontend", "Response"]

READY_PATH = "/poplaryard/readyz"
# Time after which a refused client should retry, in seconds. By then the platform's
# load balancer has noticed a process that is not ready, or a short outage is over.
RETRY_S = 1.0
# Part of the client's deadline that is reserved to send the response, in seconds.
RESPONSE_RESERVE_S = 0.2
# Deadline of a request that has no header x-deadline-ms, in seconds.
DEFAULT_DEADLINE_S = 3.0
METRICS_PATH = "/metrics"
# Limit of a peer's request: a transaction of 16 jobs of the largest size.
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024
KEY_HEADER = b"x-api-key"
# Clients name a job by 16 hexadecimal digits.
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")

Scope: t.TypeAlias = dict[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[dict[str, t.Any]]]
Send: t.TypeAlias = t.Callable[[dict[str, t.Any]], t.Awaitable[None]]


class Response(t.NamedTuple):
    """HTTP response; `body` is sent as JSON, `raw` as it is.

    `retry_after_s` tells a refused client when to retry; 0 for no such header.
    """

    status: int
    body: t.Any = None
    retry_after_s: float = 0.0
    raw: bytes = b""


class _Refused(Exception):
    """Raised for a request that is not served for its key."""

    def __init__(self, verdict: Verdict):
        super().__init__(verdict.reason)
        self.response = Response(401)
        if verdict.outcome is KeyOutcome.UNCERTAIN:
            self.response = Response(503, retry_after_s=RETRY_S)


class _BodyTooLarge(Exception):
    """Raised for a request body that exceeds its limit."""


class PlatformFrontend:
    """ASGI application for clients, readiness probes and peers.

    Parameters
    ----------
    node : Node
    update_gauges : callable
        Called to update the gauges before metrics are rendered.
    for_peers : bool
        Whether this is the address for peers. Their calls need no key and show jobs of
        all tenants, so other addresses serve them only where no key is required.
    """

    def __init__(
        self,
        node: Node,
        update_gauges: t.Callable[[], None],
        for_peers: bool = True,
    ):
        self._node = node
        self._update_gauges = update_gauges
        self._for_peers = for_peers

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; ignores scopes other than HTTP."""
        if scope["type"] != "http":
            return
        try:
            response = await self._route(scope, receive)
        except _BodyTooLarge:
            response = Response(413)
        except _Refused as exc:
            response = exc.response
        except PoplaryardError as exc:
            logger.info("request not answered", extra={"reason": exc.detail})
            response = Response(503, retry_after_s=RETRY_S)
        close = self._node.stopping or self._node.isolated
        await _respond(response, send, close)

    async def _route(self, scope: Scope, receive: Receive) -> Response:
        path, method = scope["path"], scope["method"]
        if path == READY_PATH:
            return Response(200 if self._node.ready else 503)
        if path == METRICS_PATH:
            self._update_gauges()
            return Response(200, raw=self._node.meters.text())
        if path.startswith("/peer/v1/") and self._serves_peers():
            return await self._handle_peer(path, receive)
        if not self._node.queues.version:
            # No configuration has been read yet.
            return Response(503, retry_after_s=RETRY_S)
        queue = self._node.queues.find(_host(scope), path)
        if queue is None:
            return Response(404)
        tenant = self._check_key(scope, queue)
        job_id = path[len(queue.prefix) :]
        if not job_id:
            return await self._get_pending(queue, method, scope)
        if not _JOB_ID.match(job_id):
            return Response(404)
        if method == "POST":
            limit = self._node.queues.max_body_bytes
            retry_window_s = (
                min(_deadline_s(scope), queue.timeout_s) - RESPONSE_RESERVE_S
            )
            body = await _read_body(receive, limit)
            # The configuration may have changed while the body was received.
            tenant = self._check_key(scope, queue)
            return await self._post_job(queue, job_id, tenant, body, retry_window_s)
        if method == "GET":
            response = await self._get_state(queue, job_id, tenant)
            self._check_key(scope, queue)
            return response
        if method == "DELETE":
            cancelled = await self._node.cancel(queue, job_id, tenant)
            return Response(200, {}) if cancelled else Response(410)
        return Response(405)

    def _serves_peers(self) -> bool:
        queues = self._node.queues
        return self._for_peers or (queues.version > 0 and queues.keys is None)

    def _check_key(self, scope: Scope, queue: Queue) -> str | None:
        """Return the tenant of a request; raise `_Refused` if it is not served.

        See `Verdict.tenant`. The key never leaves this method and the policy.
        """
        keys = [value for name, value in scope["headers"] if name == KEY_HEADER]
        verdict = self._node.check_key(queue, keys[0] if len(keys) == 1 else None)
        if not verdict.accepted:
            raise _Refused(verdict)
        return verdict.tenant

    async def _handle_peer(self, path: str, receive: Receive) -> Response:
        if path == "/peer/v1/ping":
            return Response(200)
        body = await _read_body(receive, MAX_PEER_BODY_BYTES)
        try:
            if path == RELAY_PATH:
                return Response(
                    200, raw=await answer_relayed(self._node.direct_storage, body)
                )
            if path == "/peer/v1/stored":
                self._node.jobs_stored(body)
                return Response(200)
            if path == "/peer/v1/give-up":
                return Response(200, {"given_up": self._node.give_up(body)})
            query = json.loads(body)
        except (ValueError, msgspec.MsgspecError):
            return Response(400)
        if not isinstance(query, dict):
            return Response(400)
        if path == "/peer/v1/reach":
            process = str(query.get("process"))
            return Response(200, {"reached": await self._node.monitor.reaches(process)})
        if path != "/peer/v1/advise":
            return Response(200, self._node.answer_peer(query))
        try:
            advice = await self._node.advise(query)
        except (KeyError, TypeError, ValueError):
            return Response(400)
        return Response(503) if advice is None else Response(200, advice)

    async def _get_pending(self, queue: Queue, method: str, scope: Scope) -> Response:
        if method != "GET":
            return Response(405)
        pending = await self._node.lookup.pending(queue)
        self._check_key(scope, queue)
        return Response(200, {"pending": pending})

    async def _post_job(
        self,
        queue: Queue,
        job_id: str,
        tenant: str | None,
        body: bytes,
        retry_window_s: float,
    ) -> Response:
        try:
            spec = decode_submission(body, job_id, queue, time.time(), tenant or "")
        except DecodeFailed as exc:
            extra = {"request": job_id, "reason": str(exc)}
            logger.info("job malformed", extra=extra)
            return Response(400)
        if self._node.never_fits(spec):
            return Response(429)
        outcome = await self._node.submit(spec, retry_window_s)
        if outcome is SubmitOutcome.STORED:
            return Response(200, {})
        if outcome is SubmitOutcome.REFUSED:
            return Response(503, retry_after_s=retry_after_s(spec))
        if outcome is SubmitOutcome.WITHDRAWN:
            return Response(503, retry_after_s=WITHDRAWN_S)
        if outcome is SubmitOutcome.CONFLICT:
            return Response(409)
        # The job may have been stored; the client has to send it again.
        return Response(504)

    async def _get_state(
        self, queue: Queue, job_id: str, tenant: str | None
    ) -> Response:
        state: JobState | None = await self._node.lookup.state(queue, job_id, tenant)
        if state is None:
            return Response(410)
        return Response(200, {"state": str(state)})


async def _read_body(receive: Receive, limit: int) -> bytes:
    """Return the request body; empty if the client has disconnected."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b""
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            raise _BodyTooLarge
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def _respond(response: Response, send: Send, close: bool) -> None:
    content = response.raw
    if response.body is not None:
        content = json.dumps(response.body).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(content)).encode()),
    ]
    if response.retry_after_s:
        headers.append(
            (b"retry-after", str(max(1, round(response.retry_after_s))).encode())
        )
    if close:
        headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": content})


def _header(scope: Scope, header: bytes) -> str:
    for name, value in scope["headers"]:
        if name == header:
            return value.decode("latin-1")
    return ""


def _host(scope: Scope) -> str:
    return _header(scope, b"host").partition(":")[0]


def _deadline_s(scope: Scope) -> float:
    """Return how long the client waits for the response, in seconds."""
    value = _header(scope, b"x-deadline-ms")
    return int(value) / 1000 if value.isdecimal() else DEFAULT_DEADLINE_S
