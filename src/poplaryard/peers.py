"""Messages between entry processes: batched calls out, one route in."""

import asyncio
import json
import time
import typing as t
from collections import deque
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from . import wire
from .client import HttpClient
from .codes import Code
from .exceptions import PoplaryardError

__all__ = ["Envelope", "PeerTable", "peer_routes"]

BATCH_MESSAGES = 256
BATCH_WAIT_S = 0.002
# Calls open at once to one peer; a batch gathers while these are under way.
CALLS_PER_PEER = 4
CALL_TIMEOUT_S = 2.0
# A batch of full requests: 256 messages of 256 KB would not be bounded.
BATCH_BYTES_LIMIT = 8 * 1024 * 1024


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
        failed: Failed,
        limit: int = 2048,
    ):
        self._process = process
        self._address = address
        self._client = client
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

    async def _send(self, process: str, batch: list[Envelope]) -> None:
        url = f"http://{self._addresses[process]}/peer/v1/batch"
        try:
            reply = await self._client.post(url, self._encoded(batch), CALL_TIMEOUT_S)
            code = Code.OK if reply.status == 200 else Code.PEER_UNREACHABLE
        except PoplaryardError as exc:
            code = exc.code
        self.sent_batches += 1
        self.sent_messages += len(batch)
        if code is not Code.OK:
            for envelope in batch:
                self._failed(process, envelope, code)

    def _encoded(self, batch: list[Envelope]) -> dict[str, t.Any]:
        now = time.monotonic()
        return {
            "from": self._process,
            "address": self._address,
            "messages": [_encode(envelope, now) for envelope in batch],
        }


Receive: t.TypeAlias = t.Callable[[str, Envelope], None]


def peer_routes(
    peers: PeerTable, receive: Receive, allowed: t.Callable[[Request], bool]
) -> list[Route]:
    """Return the route that takes batches.

    Parameters
    ----------
    receive : callable
        Takes the sender's process id and each envelope.
    allowed : callable
        Tells whether a request carries the peer key.
    """

    async def batch(request: Request) -> Response:
        if not allowed(request):
            return Response(status_code=Code.UNAUTHENTICATED.status)
        try:
            sender, address, envelopes = await _read(request)
        except (PoplaryardError, ValueError, KeyError, TypeError):
            return Response(status_code=Code.MALFORMED.status)
        peers.learn(sender, address)
        for envelope in envelopes:
            receive(sender, envelope)
        return Response(b"{}", media_type="application/json")

    return [Route("/peer/v1/batch", batch, methods=["POST"])]


async def _read(request: Request) -> tuple[str, str, list[Envelope]]:
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > BATCH_BYTES_LIMIT:
            raise PoplaryardError(Code.TOO_LARGE)
    found = json.loads(data)
    now = time.monotonic()
    envelopes = [_decode(item, now) for item in found["messages"]]
    return found["from"], found["address"], envelopes


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
