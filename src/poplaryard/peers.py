"""Messages between entry processes, sent in batches over HTTP."""

import asyncio
import enum
import json
import typing as t
from collections import deque
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from . import wire
from .client import HttpClient
from .clock import SystemClock
from .codes import Code
from .exceptions import PoplaryardError
from .messages import Submit

__all__ = ["CallResult", "Envelope", "PeerTable", "peer_routes"]

BATCH_MESSAGES = 256
BATCH_WAIT_S = 0.002
# Maximum number of concurrent calls to one peer; further messages wait.
CALLS_PER_PEER = 24
# Time for which the reply to a call is held back so that it can carry the answers to
# the requests of the call. Each answer sent so saves a call, which costs more than half
# a millisecond of processor time on both sides together.
HOLD_S = 0.02
CALL_TIMEOUT_S = 2.0
# Largest body of a batch; 256 messages of up to 256 KB each could be far larger.
BATCH_BYTES_LIMIT = 8 * 1024 * 1024

_clock = SystemClock()


class CallResult(enum.Enum):
    """What is known about a call to a peer.

    `NOT_SENT` means that it was not received or was refused, and `UNKNOWN` that it may
    have been received. `DEAD` means that the peer's address refuses connections or
    belongs to another process, which proves that the peer has ended.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Envelope:
    """Message between processes, with its destination.

    Attributes
    ----------
    shard : str
        Shard that the message is for; empty if it is for the process as a whole.
    again : bool
        Whether the message may have been delivered before.
    """

    message: t.Any
    shard: str = ""
    again: bool = False


Receive: t.TypeAlias = t.Callable[[str, Envelope], t.Sequence[t.Any] | None]
OnFailure: t.TypeAlias = t.Callable[[str, Envelope, Code], None]


class _Outbox:
    """Messages queued for one peer.

    Attributes
    ----------
    in_flight : int
        Number of messages in calls without a reply.
    calls : int
        Number of running `PeerTable._flush` tasks, each with at most one open call.
    batching : bool
        Whether one of them waits for further messages before it sends.
    """

    def __init__(self, limit: int):
        self.waiting: deque[Envelope] = deque()
        self.limit = limit
        self.in_flight = 0
        self.calls = 0
        self.batching = False

    def take(self) -> list[Envelope]:
        count = min(BATCH_MESSAGES, len(self.waiting))
        return [self.waiting.popleft() for _ in range(count)]


class _HeldReply:
    """Reply to a call, held back until it can carry the answers to the call."""

    def __init__(self, count: int):
        self.messages: list[t.Any] = []
        self.done = asyncio.Event()
        self._count = count

    def add(self, message: t.Any) -> None:
        """Add an answer; the reply is sent when all are present, or after a delay."""
        self.messages.append(message)
        if len(self.messages) >= self._count:
            self.done.set()
        elif len(self.messages) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_WAIT_S, self.done.set)


class PeerTable:
    """Addresses of peers, and batched sending of messages to them.

    Parameters
    ----------
    process, address : str
        Id and address of this process, sent with each batch.
    receive : callable
        Called with the sender's id and an envelope; may return messages to send back
        with the reply to the call.
    on_failure : callable
        Called with the peer's id, the envelope and the code of each message that was
        not delivered (`PEER_UNREACHABLE`) or may have been (`PEER_TIMEOUT`).
    limit : int
        Maximum number of messages queued or in flight to one peer; further ones fail
        at once, so that a slow peer delays nothing else.
    """

    def __init__(
        self,
        process: str,
        address: str,
        client: HttpClient,
        receive: Receive,
        on_failure: OnFailure,
        limit: int = 2048,
    ):
        self._process = process
        self._address = address
        self._client = client
        self.receive = receive
        self._on_failure = on_failure
        self._limit = limit
        self._addresses: dict[str, str] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._held_replies: dict[str, deque[_HeldReply]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent_batches = 0
        self.sent_messages = 0

    def set_address(self, process: str, address: str) -> None:
        """Record the address of a process."""
        self._addresses[process] = address

    def address_of(self, process: str) -> str:
        """Return the address of a process; empty if unknown."""
        return self._addresses.get(process, "")

    def send(self, process: str, envelope: Envelope) -> None:
        """Queue a message for a peer.

        It is sent with those of the next `BATCH_WAIT_S` seconds, or later if
        `CALLS_PER_PEER` calls are open.
        """
        if process not in self._addresses:
            self._on_failure(process, envelope, Code.PEER_UNREACHABLE)
            return
        outbox = self._outboxes.setdefault(process, _Outbox(self._limit))
        if len(outbox.waiting) + outbox.in_flight >= outbox.limit:
            self._on_failure(process, envelope, Code.PEER_UNREACHABLE)
            return
        outbox.waiting.append(envelope)
        if not outbox.batching and outbox.calls < CALLS_PER_PEER:
            outbox.calls += 1
            self._spawn(self._flush(process, outbox))

    def send_with_reply(self, process: str, message: t.Any) -> bool:
        """Add a message to a held reply to a peer; return False if there is none."""
        held = self._held_replies.get(process)
        if not held:
            return False
        held[0].add(message)
        return True

    async def hold_reply(self, process: str, count: int) -> list[t.Any]:
        """Hold the reply to a call back; return the messages to send with it.

        It is held until there are answers to `count` requests, for at most `HOLD_S`,
        and for at most `BATCH_WAIT_S` after the first answer.
        """
        held = _HeldReply(count)
        calls = self._held_replies.setdefault(process, deque())
        calls.append(held)
        timer = asyncio.get_running_loop().call_later(HOLD_S, held.done.set)
        await held.done.wait()
        timer.cancel()
        calls.remove(held)
        return held.messages

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self, timeout_s: float) -> None:
        """Wait until all queued messages are sent, for at most `timeout_s` seconds."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)

    async def close(self) -> None:
        """Cancel the calls in progress; queued messages are dropped."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _flush(self, process: str, outbox: _Outbox) -> None:
        """Collect messages for `BATCH_WAIT_S`, then send them, one batch per call.

        It ends when the queue is empty or another task collects messages.
        """
        try:
            outbox.batching = True
            await asyncio.sleep(BATCH_WAIT_S)
            outbox.batching = False
            while batch := outbox.take():
                outbox.in_flight += len(batch)
                try:
                    await self._send(process, batch)
                finally:
                    outbox.in_flight -= len(batch)
                if outbox.batching:
                    return
        finally:
            outbox.calls -= 1

    async def call(
        self, process: str, batch: t.Sequence[Envelope], timeout_s: float
    ) -> CallResult:
        """Send messages at once, ahead of queued ones, and handle the replies."""
        address = self._addresses.get(process, "")
        url = f"http://{address}/peer/v1/batch"
        self.sent_batches += 1
        self.sent_messages += len(batch)
        try:
            reply = await self._client.post(
                url, self._batch_body(process, batch), timeout_s
            )
        except PoplaryardError as exc:
            return _call_result(exc)
        if reply.status == Code.STALE_EPOCH.status:
            return CallResult.DEAD
        if reply.status != 200:
            return CallResult.NOT_SENT
        self._handle_replies(process, reply.body)
        return CallResult.DELIVERED

    async def _send(self, process: str, batch: list[Envelope]) -> None:
        result = await self.call(process, batch, CALL_TIMEOUT_S)
        if result is CallResult.DELIVERED:
            return
        lost = result is CallResult.UNKNOWN
        code = Code.PEER_TIMEOUT if lost else Code.PEER_UNREACHABLE
        for envelope in batch:
            self._on_failure(process, envelope, code)

    def _batch_body(
        self, process: str, batch: t.Sequence[Envelope]
    ) -> dict[str, t.Any]:
        now = _clock.now()
        return {
            "from": self._process,
            "address": self._address,
            "to": process,
            "messages": [_encode(envelope, now) for envelope in batch],
        }

    def _handle_replies(self, process: str, body: t.Any) -> None:
        now = _clock.now()
        for item in body.get("messages", ()) if isinstance(body, dict) else ():
            self.receive(process, _decode(item, now))

    def is_addressee(self, process: str) -> bool:
        """Return whether a batch is for this process, not for an earlier one here.

        Senders that know no process id address the batch to the network address.
        """
        return process in (self._process, self._address)


def _call_result(exc: PoplaryardError) -> CallResult:
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return CallResult.DEAD
    unsent = exc.code is Code.PEER_UNREACHABLE
    return CallResult.NOT_SENT if unsent else CallResult.UNKNOWN


def peer_routes(peers: PeerTable, allowed: t.Callable[[Request], bool]) -> list[Route]:
    """Return the route that receives batches.

    Parameters
    ----------
    allowed : callable
        Returns whether a request carries the peer key.
    """

    async def batch(request: Request) -> Response:
        if not allowed(request):
            return Response(status_code=Code.UNAUTHENTICATED.status)
        try:
            body = await _read_batch(request)
            envelopes = _decode_batch(body)
        except (PoplaryardError, ValueError, KeyError, TypeError):
            return Response(status_code=Code.MALFORMED.status)
        if not peers.is_addressee(body["to"]):
            return Response(status_code=Code.STALE_EPOCH.status)
        peers.set_address(body["from"], body["address"])
        replies = _dispatch(peers, body["from"], envelopes)
        requests = sum(isinstance(item.message, Submit) for item in envelopes)
        if requests:
            replies += await peers.hold_reply(body["from"], requests)
        return _replies_response(replies)

    return [Route("/peer/v1/batch", batch, methods=["POST"])]


def _dispatch(peers: PeerTable, sender: str, envelopes: list[Envelope]) -> list[t.Any]:
    """Handle the messages of a batch; return the immediate replies."""
    return [msg for item in envelopes for msg in peers.receive(sender, item) or ()]


def _replies_response(messages: list[t.Any]) -> Response:
    now = _clock.now()
    body = {"messages": [wire.encode(msg, now) for msg in messages]} if messages else {}
    data = json.dumps(body, separators=(",", ":")).encode()
    return Response(data, media_type="application/json")


async def _read_batch(request: Request) -> dict[str, t.Any]:
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > BATCH_BYTES_LIMIT:
            raise PoplaryardError(Code.TOO_LARGE)
    body = json.loads(data)
    if not all(isinstance(body[key], str) for key in ("from", "address", "to")):
        raise PoplaryardError(Code.INVALID)
    return body


def _decode_batch(body: dict[str, t.Any]) -> list[Envelope]:
    now = _clock.now()
    return [_decode(item, now) for item in body["messages"]]


def _encode(envelope: Envelope, now: float) -> dict[str, t.Any]:
    item = wire.encode(envelope.message, now)
    if envelope.shard:
        item["@shard"] = envelope.shard
    if envelope.again:
        item["@again"] = True
    return item


def _decode(item: t.Any, now: float) -> Envelope:
    message = wire.decode(item, now)
    return Envelope(message, item.get("@shard", ""), bool(item.get("@again")))
