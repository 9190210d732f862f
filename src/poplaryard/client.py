"""HTTP client for JSON calls between processes."""

import asyncio
import collections
import contextlib
import json
import socket
import typing as t

import aiosonic
import aiosonic.exceptions
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig, SmartPool
from aiosonic.timeout import Timeouts
from aiosonic.utils import connection_key

from .codes import Code
from .exceptions import PoplaryardError

__all__ = ["HttpClient", "RawReply", "Reply"]

# Longest time to open a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Idle timeout of a pooled connection in ms. Shorter than the servers' keep-alive time,
# so that no call is sent over a connection that the server is about to close.
IDLE_TIMEOUT_MS = 30_000


class Reply(t.NamedTuple):
    """Status and decoded body of a response."""

    status: int
    body: t.Any


class RawReply(t.NamedTuple):
    """Status and undecoded body of a response."""

    status: int
    content: bytes


class _Connection(Connection):
    """Connection that is closed when a call over it fails or is cancelled.

    aiosonic 1.3.3 returns such a connection to its pool while the response is still
    outstanding, so that the next call would receive the response to another request.
    """

    def __init__(self, pool: t.Any):
        super().__init__(pool)
        self._unsent: list[bytes] = []

    def reuse(self, urlparsed: t.Any, verify: bool) -> bool:
        """Return whether the connection can be used for a request.

        asyncio keeps a connection writable after the server has closed its side. A
        call over it would count as one without an answer, which may have taken effect.
        """
        if self.reader is not None and self.reader.at_eof():
            self.close()
        return super().reuse(urlparsed, verify)

    async def connect(self, urlparsed: t.Any, *args: t.Any, **kwargs: t.Any) -> None:
        """Connect within `CONNECT_TIMEOUT_S`, unless the connection is open."""
        connecting = super().connect(urlparsed, *args, **kwargs)
        if self.writer is not None:
            await connecting
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connecting
        except TimeoutError as exc:
            raise aiosonic.exceptions.ConnectTimeout from exc

    async def _connection_made(self) -> None:
        # asyncio leaves Nagle's algorithm on for the sockets that aiosonic opens, and
        # the second write of a call would wait 40 ms for a delayed acknowledgement.
        writer: t.Any = self.writer
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await super()._connection_made()

    def write(self, data: bytes) -> None:
        """Join the writes of one iteration of the event loop in one packet."""
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(data)

    def _flush(self) -> None:
        data = b"".join(self._unsent)
        self._unsent.clear()
        # The connection may have been lost since `write`.
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(data)

    async def __aexit__(
        self, exc_type: t.Any, exc: BaseException | None, tb: t.Any
    ) -> None:
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


class _Pool(SmartPool):
    """Pool that opens connections on demand and evicts the least recently used one.

    ``SmartPool`` allocates its connections at the start. Once all of them are bound to
    a host it takes the one that was used last for the next host, so that busy hosts
    have to connect for nearly every call.
    """

    def _init_pool(self, connection_cls: t.Any) -> None:
        self.pool: dict[str | None, collections.deque[_Connection]] = {}
        self.sem = asyncio.Semaphore(self.pool_size)
        self._connection_cls = connection_cls
        self._free_count = 0

    async def acquire(self, urlparsed: t.Any = None) -> _Connection:
        """Return an idle connection to the host, a closed one or a new one."""
        await self.sem.acquire()
        for key in (connection_key(urlparsed), None):
            if key in self.pool:
                conn = self._take(key, newest=True)
                if self._is_connection_idle(conn):
                    conn.close()
                return conn
        if len(self._connections) < self.pool_size:
            return self._new_connection(self._connection_cls)
        conn = self._take(min(self.pool, key=self._released_at), newest=False)
        conn.close()
        return conn

    def _released_at(self, key: str | None) -> float:
        """Return when the connection of a host that is idle for longest was used."""
        return self.pool[key][0].last_released_time

    def _take(self, key: str | None, newest: bool) -> _Connection:
        bucket = self.pool[key]
        conn = bucket.pop() if newest else bucket.popleft()
        if not bucket:
            del self.pool[key]
        self._free_count -= 1
        return conn


# Each timeout of aiosonic would cost a task per call, and `asyncio.wait_for`, which it
# uses, can lose a cancellation.
_NO_TIMEOUTS = Timeouts(
    sock_connect=None, sock_read=None, pool_acquire=None, request_timeout=None
)


class HttpClient:
    """HTTP client that distinguishes calls that were not sent from lost replies.

    Parameters
    ----------
    connections : int
        Most connections that are open at once.
    key : str
        API key that is sent as bearer token; empty for none.
    """

    def __init__(self, connections: int = 64, key: str = ""):
        pool = PoolConfig(
            size=connections, max_conn_requests=None, max_conn_idle_ms=IDLE_TIMEOUT_MS
        )
        connector = TCPConnector(
            pool_configs={":default": pool}, connection_cls=_Connection, pool_cls=_Pool
        )
        self._client = aiosonic.HTTPClient(connector)
        self._headers = {"content-type": "application/json"}
        if key:
            self._headers["authorization"] = f"Bearer {key}"

    async def post(self, url: str, body: t.Any, timeout_s: float) -> Reply:
        """Send `body` as JSON and return the reply.

        Raises
        ------
        PoplaryardError
            With `Code.PEER_UNREACHABLE` if the call was not sent, and with
            `Code.PEER_TIMEOUT` if it may have taken effect.
        ValueError
            If `body` contains NaN or infinity.
        """
        data = json.dumps(body, separators=(",", ":"), allow_nan=False).encode()
        return await self.request("POST", url, data, timeout_s)

    async def get(self, url: str, timeout_s: float) -> Reply:
        """Send a GET request; raises like `post`."""
        return await self.request("GET", url, None, timeout_s)

    async def request(
        self,
        method: str,
        url: str,
        data: bytes | None,
        timeout_s: float,
        stall_timeout_s: float | None = None,
    ) -> Reply:
        """Send a request and decode the JSON response; see `request_raw`."""
        reply = await self.request_raw(
            method, url, data, timeout_s, stall_timeout_s=stall_timeout_s
        )
        try:
            return Reply(reply.status, _decode(reply.content))
        except ValueError as exc:
            detail = f"{url} sent a malformed answer: {exc}"
            raise PoplaryardError(Code.PEER_TIMEOUT, detail) from exc

    async def request_raw(
        self,
        method: str,
        url: str,
        data: bytes | None,
        timeout_s: float,
        headers: t.Mapping[str, str] | None = None,
        stall_timeout_s: float | None = None,
    ) -> RawReply:
        """Send a request and return the undecoded response; raises like `post`.

        Parameters
        ----------
        timeout_s : float
            Time for the whole call, in seconds.
        stall_timeout_s : float, optional
            If given, `timeout_s` is the time until the first part of the response's
            body, and this the longest time between two parts, in seconds. A large
            response may then take as long as the link needs.
        """
        all_headers = {**self._headers, **headers} if headers else self._headers
        content = bytearray()
        try:
            async with asyncio.timeout(timeout_s) as limit:
                response = await self._client.request(
                    url,
                    method,
                    headers=all_headers,
                    data=data,
                    timeouts=_NO_TIMEOUTS,
                    stream=stall_timeout_s is not None,
                )
                if stall_timeout_s is None:
                    return RawReply(response.status_code, await response.content())
                loop = asyncio.get_running_loop()
                async with contextlib.aclosing(response.iter_bytes()) as parts:
                    async for part in parts:
                        content += part
                        limit.reschedule(loop.time() + stall_timeout_s)
                return RawReply(response.status_code, bytes(content))
        except _NOT_SENT as exc:
            detail = f"{url} cannot be reached: {exc or type(exc).__name__}"
            raise PoplaryardError(Code.PEER_UNREACHABLE, detail) from exc
        except _REPLY_LOST as exc:
            failure = str(exc) or type(exc).__name__
            detail = f"{url} did not answer: {failure}"
            if content:
                detail = f"{url} stopped after {len(content)} bytes: {failure}"
            raise PoplaryardError(Code.PEER_TIMEOUT, detail) from exc

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()
        await self._client.connector.cleanup()


_NOT_SENT = (
    aiosonic.exceptions.ConnectTimeout,
    aiosonic.exceptions.ConnectionPoolAcquireTimeout,
    ConnectionRefusedError,
)
_REPLY_LOST = (
    aiosonic.exceptions.BaseTimeout,
    aiosonic.exceptions.ConnectionDisconnected,
    aiosonic.exceptions.HttpParsingError,
    asyncio.IncompleteReadError,
    OSError,
    ValueError,
)


def _decode(content: bytes) -> t.Any:
    return json.loads(content) if content else None
