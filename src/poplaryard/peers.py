"""Messages between entry processes: batched calls out, one route in."""

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

__all__ = ["CallResult", "Envelope", "PeerTable", "peer_routes"]

BATCH_MESSAGES = 256
BATCH_WAIT_S = 0.002
# Calls open at once to one peer; a batch gathers while these are under way.
CALLS_PER_PEER = 4
CALL_TIMEOUT_S = 2.0
# A batch of full requests: 256 messages of 256 KB would not be bounded.
BATCH_BYTES_LIMIT = 8 * 1024 * 1024

_clock = SystemClock()


class CallResult(enum.Enum):
    """What is known about a call to a peer.

    `DEAD` means that its address refuses connections or belongs to another process,
    which proves that the process has ended.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Envelope:
    """Message on its way between processes.

    Attributes
    ----------
    shard : str
        Shard that the message is for; empty if it is for the process.
    again : bool
        Whether the message may have been delivered before.
    """

    message: t.Any
    shard: str = ""
    again: bool = False


Receive: t.TypeAlias = t.Callable[[str, Envelope], t.Sequence[t.Any] | None]
Failed: t.TypeAlias = t.Callable[[str, Envelope, Code], None]


class _Outbox:
    """Messages that wait for one peer."""

    def __init__(self, limit: int):
        self.waiting: deque[Envelope] = deque()
        self.limit = limit
        self.in_flight = 0
        self.calls = 0

    def take(self) -> list[Envelope]:
        count = min(BATCH_MESSAGES, len(self.waiting))
        return [self.waiting.popleft() for _ in range(count)]


class PeerTable:
    """Sends messages to peers, many per call.

    Parameters
    ----------
    process, address : str
        Id and address of this process, sent with each batch.
    receive : callable
        Takes the sender's id and an envelope, and may return messages that go back
        with the reply to the call.
    failed : callable
        Takes the peer's id, the envelope and the code of each message that was not
        delivered (`PEER_UNREACHABLE`) or may have been (`PEER_TIMEOUT`).
    limit : int
        Most messages in flight to one peer; more are refused at once, so that a slow
        peer holds up nothing else.
    """

    def __init__(
        self,
        process: str,
        address: str,
        client: HttpClient,
        receive: Receive,
        failed: Failed,
        limit: int = 2048,
    ):
        self._process = process
        self._address = address
        self._client = client
        self.receive = receive
        self._failed = failed
        self._limit = limit
        self._addresses: dict[str, str] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent_batches = 0
        self.sent_messages = 0

    def learn(self, process: str, address: str) -> None:
        """Note the address of a process."""
        self._addresses[process] = address

    def address_of(self, process: str) -> str:
        """Return the address of a process; empty if unknown."""
        return self._addresses.get(process, "")

    def send(self, process: str, envelope: Envelope) -> None:
        """Queue a message for a peer; it leaves within 2 ms or with 256 messages."""
        if process not in self._addresses:
            self._failed(process, envelope, Code.PEER_UNREACHABLE)
            return
        outbox = self._outboxes.setdefault(process, _Outbox(self._limit))
        if len(outbox.waiting) + outbox.in_flight >= outbox.limit:
            self._failed(process, envelope, Code.PEER_UNREACHABLE)
            return
        outbox.waiting.append(envelope)
        if outbox.calls < CALLS_PER_PEER and self._worth_a_call(outbox):
            outbox.calls += 1
            task = asyncio.create_task(self._flush(process, outbox))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def drain(self, timeout_s: float) -> None:
        """Wait until all messages have left, at most `timeout_s` seconds."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)

    async def close(self) -> None:
        """Give up what has not left."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @staticmethod
    def _worth_a_call(outbox: _Outbox) -> bool:
        """Tell whether a call should start: the first one, or one for a full batch."""
        return outbox.calls == 0 or len(outbox.waiting) >= BATCH_MESSAGES

    async def _flush(self, process: str, outbox: _Outbox) -> None:
        try:
            await asyncio.sleep(BATCH_WAIT_S)
            while batch := outbox.take():
                outbox.in_flight += len(batch)
                try:
                    await self._send(process, batch)
                finally:
                    outbox.in_flight -= len(batch)
        finally:
            outbox.calls -= 1

    async def call(
        self, process: str, batch: t.Sequence[Envelope], timeout_s: float
    ) -> CallResult:
        """Send messages at once, past those that wait, and take the replies."""
        address = self._addresses.get(process, "")
        url = f"http://{address}/peer/v1/batch"
        self.sent_batches += 1
        self.sent_messages += len(batch)
        try:
            reply = await self._client.post(
                url, self._encoded(process, batch), timeout_s
            )
        except PoplaryardError as exc:
            return _result_of(exc)
        if reply.status == Code.STALE_EPOCH.status:
            return CallResult.DEAD
        if reply.status != 200:
            return CallResult.NOT_SENT
        self._take_replies(process, reply.body)
        return CallResult.DELIVERED

    async def _send(self, process: str, batch: list[Envelope]) -> None:
        result = await self.call(process, batch, CALL_TIMEOUT_S)
        if result is CallResult.DELIVERED:
            return
        lost = result is CallResult.UNKNOWN
        code = Code.PEER_TIMEOUT if lost else Code.PEER_UNREACHABLE
        for envelope in batch:
            self._failed(process, envelope, code)

    def _encoded(self, process: str, batch: t.Sequence[Envelope]) -> dict[str, t.Any]:
        now = _clock.now()
        return {
            "from": self._process,
            "address": self._address,
            "to": process,
            "messages": [_encode(envelope, now) for envelope in batch],
        }

    def _take_replies(self, process: str, body: t.Any) -> None:
        now = _clock.now()
        for item in body.get("messages", ()) if isinstance(body, dict) else ():
            self.receive(process, _decode(item, now))

    def is_me(self, process: str) -> bool:
        """Tell whether a batch is for this process and not for one before it."""
        return process in (self._process, self._address)


def _result_of(exc: PoplaryardError) -> CallResult:
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return CallResult.DEAD
    unsent = exc.code is Code.PEER_UNREACHABLE
    return CallResult.NOT_SENT if unsent else CallResult.UNKNOWN


def peer_routes(peers: PeerTable, allowed: t.Callable[[Request], bool]) -> list[Route]:
    """Return the route that takes batches.

    Parameters
    ----------
    allowed : callable
        Tells whether a request carries the peer key.
    """

    async def batch(request: Request) -> Response:
        if not allowed(request):
            return Response(status_code=Code.UNAUTHENTICATED.status)
        try:
            found = await _read(request)
            envelopes = _envelopes(found)
        except (PoplaryardError, ValueError, KeyError, TypeError):
            return Response(status_code=Code.MALFORMED.status)
        if not peers.is_me(found["to"]):
            return Response(status_code=Code.STALE_EPOCH.status)
        peers.learn(found["from"], found["address"])
        return _replies(peers, found["from"], envelopes)

    return [Route("/peer/v1/batch", batch, methods=["POST"])]


def _replies(peers: PeerTable, sender: str, envelopes: list[Envelope]) -> Response:
    replies = [msg for item in envelopes for msg in peers.receive(sender, item) or ()]
    now = _clock.now()
    body = {"messages": [wire.encode(msg, now) for msg in replies]} if replies else {}
    data = json.dumps(body, separators=(",", ":")).encode()
    return Response(data, media_type="application/json")


async def _read(request: Request) -> dict[str, t.Any]:
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > BATCH_BYTES_LIMIT:
            raise PoplaryardError(Code.TOO_LARGE)
    found = json.loads(data)
    if not all(isinstance(found[key], str) for key in ("from", "address", "to")):
        raise PoplaryardError(Code.INVALID)
    return found


def _envelopes(found: dict[str, t.Any]) -> list[Envelope]:
    now = _clock.now()
    return [_decode(item, now) for item in found["messages"]]


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
