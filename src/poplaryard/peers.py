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
from .messages import Submit

__all__ = ["CallResult", "Envelope", "PeerTable", "peer_routes"]

BATCH_MESSAGES = 256
BATCH_WAIT_S = 0.002
# Calls open at once to one peer; beyond these, messages wait for the next call.
CALLS_PER_PEER = 24
# Time for which the reply to a call is held for the answers to its requests. An answer
# that comes with the reply saves a call of its own, which costs more than half a
# millisecond of processor time on both sides together.
HOLD_S = 0.02
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
        self.gathering = False

    def take(self) -> list[Envelope]:
        count = min(BATCH_MESSAGES, len(self.waiting))
        return [self.waiting.popleft() for _ in range(count)]


class _Held:
    """Reply to a call that waits for answers."""

    def __init__(self, count: int):
        self.messages: list[t.Any] = []
        self.done = asyncio.Event()
        self._count = count

    def add(self, message: t.Any) -> None:
        """Take an answer; the reply leaves when all are there, or soon."""
        self.messages.append(message)
        if len(self.messages) >= self._count:
            self.done.set()
        elif len(self.messages) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_WAIT_S, self.done.set)


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
        self._held: dict[str, deque[_Held]] = {}
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
        if not outbox.gathering and outbox.calls < CALLS_PER_PEER:
            outbox.calls += 1
            self._spawn(self._flush(process, outbox))

    def reply(self, process: str, message: t.Any) -> bool:
        """Send a message with the reply to a call of a peer that is being held."""
        held = self._held.get(process)
        if not held:
            return False
        held[0].add(message)
        return True

    async def hold(self, process: str, count: int) -> list[t.Any]:
        """Hold the reply to a call until its answers are there.

        It is held for the answers to `count` requests, for at most `HOLD_S`, and for
        no longer than `BATCH_WAIT_S` after the first one.
        """
        held = _Held(count)
        calls = self._held.setdefault(process, deque())
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
        """Wait until all messages have left, at most `timeout_s` seconds."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)

    async def close(self) -> None:
        """Give up what has not left."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _flush(self, process: str, outbox: _Outbox) -> None:
        """Gather messages for a call and send them; then those that have waited."""
        try:
            outbox.gathering = True
            await asyncio.sleep(BATCH_WAIT_S)
            outbox.gathering = False
            while batch := outbox.take():
                outbox.in_flight += len(batch)
                try:
                    await self._send(process, batch)
                finally:
                    outbox.in_flight -= len(batch)
                if outbox.gathering:
                    return
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
        """Return whether a batch is for this process and not for one before it."""
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
        Returns whether a request carries the peer key.
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
        replies = _received(peers, found["from"], envelopes)
        requests = sum(isinstance(item.message, Submit) for item in envelopes)
        if requests:
            replies += await peers.hold(found["from"], requests)
        return _reply(replies)

    return [Route("/peer/v1/batch", batch, methods=["POST"])]


def _received(peers: PeerTable, sender: str, envelopes: list[Envelope]) -> list[t.Any]:
    """Take the messages of a batch; return what goes back at once."""
    return [msg for item in envelopes for msg in peers.receive(sender, item) or ()]


def _reply(messages: list[t.Any]) -> Response:
    now = _clock.now()
    body = {"messages": [wire.encode(msg, now) for msg in messages]} if messages else {}
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
