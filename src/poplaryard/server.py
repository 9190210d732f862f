"""HTTP server of a process: uvicorn without its signal handling."""

import asyncio
import contextlib
import logging
import socket
import typing as t

import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

__all__ = ["HttpServer"]

# Idle time after which the server closes a connection, in seconds. Longer than the
# idle timeout of `poplaryard.client`, so that clients close first.
KEEP_ALIVE_S = 75
# Connections that may wait to be accepted.
BACKLOG = 1024

# The applications log their errors themselves.
logging.getLogger("uvicorn").addHandler(logging.NullHandler())
logging.getLogger("uvicorn").propagate = False


class _Server(uvicorn.Server):
    """Server without signal handlers, which the process has, and without a timer.

    uvicorn wakes ten times a second to look for a signal, a limit of requests and the
    time for the header "date", none of which is used.

    Attributes
    ----------
    stopping : asyncio.Event
        Set when the server is to stop.
    """

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.stopping = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield

    async def main_loop(self) -> None:
        """Wait until the server is to stop."""
        await self.stopping.wait()


class _CoalescingTransport:
    """Transport that joins the writes of one iteration of the event loop.

    uvicorn writes the headers and the body of a response separately, and each write
    would be a system call and a packet.
    """

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self._unsent: list[bytes] = []

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(data)

    def close(self) -> None:
        self._flush()
        self._transport.close()

    def _flush(self) -> None:
        data = b"".join(self._unsent)
        self._unsent.clear()
        if data and not self._transport.is_closing():
            self._transport.write(data)


class _Protocol(H11Protocol):
    """HTTP/1.1 with coalesced writes."""

    def connection_made(self, transport: t.Any) -> None:
        super().connection_made(t.cast(t.Any, _CoalescingTransport(transport)))


class HttpServer:
    """Serves an ASGI application on one or more ports of an IP address.

    Parameters
    ----------
    app : ASGI application
    host : str
        IP address to listen on.
    port : int
        First port; 0 for free ports.
    count : int
        Number of consecutive ports to listen on.
    graceful_s : float
        Time for requests in progress when the server stops, in seconds.

    Attributes
    ----------
    ports : list of int
        Ports that the server listens on.
    """

    def __init__(
        self,
        app: t.Any,
        host: str,
        port: int,
        count: int = 1,
        graceful_s: float = 5.0,
    ):
        port_numbers = [port + index if port else 0 for index in range(count)]
        self._sockets = [
            _bind_socket(host, port_number) for port_number in port_numbers
        ]
        self.ports: list[int] = [sock.getsockname()[1] for sock in self._sockets]
        config = uvicorn.Config(
            app,
            interface="asgi3",
            http=_Protocol,
            loop="asyncio",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=graceful_s,  # type: ignore[arg-type]
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve until `stop`; returns when connections are accepted."""
        self._task = asyncio.create_task(self._server.serve(self._sockets))
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Close the listening sockets and wait for the requests in progress."""
        self._server.should_exit = True
        self._server.stopping.set()
        if self._task is not None:
            await self._task


def _bind_socket(host: str, port: int) -> socket.socket:
    # asyncio disables Nagle's algorithm only for sockets whose protocol is given as
    # IPPROTO_TCP. Otherwise the second write of a response waits 40 ms for a delayed
    # acknowledgement.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock
