"""The application: settings, life-cycle hooks, tasks and routes of one process."""

import asyncio
import time
import typing as t

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from . import routing
from .api import api_routes, bearer_allowed, error_response
from .client import HttpClient
from .codes import Code
from .configuration import Configuration
from .dispatch import Dispatcher
from .messages import Answer, AuditEvent, Authority, Work
from .peers import PeerTable, peer_routes
from .server import HttpServer
from .settings import Settings
from .workers_http import HttpWorkers

__all__ = ["Application"]

PEER_CONNECTIONS = 256
WORKER_CONNECTIONS = 1024

Hook: t.TypeAlias = t.Callable[[], t.Awaitable[None]]


class Application:
    """One entry process.

    Parameters
    ----------
    settings : Settings
    """

    def __init__(self, settings: Settings, configuration: Configuration):
        self.settings = settings
        self._bootstrap = configuration
        host, port = settings.listen.rsplit(":", 1)
        self._server = HttpServer(self._dispatch_http, host, int(port))
        self.address = settings.advertise or f"{host}:{self._server.ports[0]}"
        self.process = self.address
        self._peer_client = HttpClient(PEER_CONNECTIONS, settings.keys.peer)
        self._worker_client = HttpClient(WORKER_CONNECTIONS)
        self.dispatcher = self._new_dispatcher()
        self.peers = PeerTable(
            self.process,
            self.address,
            self._peer_client,
            self.dispatcher.undelivered,
            settings.limits.peer_in_flight,
        )
        self.dispatcher.peers = self.peers
        self._asgi = self._new_starlette()
        self._starts: list[Hook] = [self._start_shards]
        self._stops: list[Hook] = [self._close_clients, self._stop_tasks]

    def on_start(self, hook: Hook) -> None:
        """Add a call that runs before requests are taken."""
        self._starts.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Add a call that runs when the process stops; the last added runs first."""
        self._stops.append(hook)

    async def start(self) -> None:
        """Listen, then run the start hooks in order."""
        await self._server.start()
        for hook in self._starts:
            await hook()

    async def stop(self) -> None:
        """Finish the requests in progress, then run the stop hooks."""
        await self._server.stop()
        for hook in reversed(self._stops):
            await hook()

    # What the routes for callers need.

    @property
    def body_limit(self) -> int:
        """Largest request body in bytes."""
        return self.settings.limits.body_kb * 1024

    @property
    def depth_limit(self) -> int:
        """Deepest nesting of a request body."""
        return self.settings.limits.json_depth

    @property
    def default_timeout_s(self) -> float:
        """Time given to requests without a deadline."""
        return self.settings.limits.default_timeout_s

    def caller_allowed(self, request: Request) -> bool:
        """Tell whether a request carries a caller's key."""
        return bearer_allowed(request, self.settings.keys.callers.values())

    def refusal(self) -> Code | None:
        """Return why no requests are taken at the moment, or None."""
        return None if self.dispatcher.config.number else Code.NOT_READY

    def defaults(self, work: Work) -> Work:
        """Return work with the defaults of its class."""
        return work

    def submit(self, work: Work, digest: str) -> "asyncio.Future[Answer] | Answer":
        """Take a request; return its answer or a future of it."""
        return self.dispatcher.entry.submit(work, digest)

    async def find(self, request_id: str) -> "asyncio.Future[Answer] | Answer | None":
        """Return a request's answer or a future of it; None if it is not known."""
        entry = self.dispatcher.entry
        return entry.answer_of(request_id) or entry.wait_for(request_id)

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request; False if it is not known."""
        return self.dispatcher.entry.cancel(request_id)

    async def explain(self, request_id: str) -> str:
        """Return one sentence that says where a request stands."""
        return self.dispatcher.explain(request_id)

    def _peer_allowed(self, request: Request) -> bool:
        return bearer_allowed(request, [self.settings.keys.peer])

    async def _dispatch_http(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        await self._asgi(scope, receive, send)

    def _new_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            self.process,
            self.settings.data_centre,
            HttpWorkers(self._worker_client),
            self._owner_of,
            self._audit,
            self.settings.limits.requests_in_flight,
        )

    def _new_starlette(self) -> Starlette:
        receive = self.dispatcher.receive
        routes = [
            *api_routes(self),
            *peer_routes(self.peers, receive, self._peer_allowed),
        ]
        handlers: t.Any = {HTTPException: _http_error, Exception: _internal_error}
        return Starlette(routes=routes, exception_handlers=handlers)

    def _owner_of(self, shard: str) -> str:
        members = sorted({self.address, *self.settings.peers})
        return routing.ranked(shard, members)[0]

    def _audit(self, event: AuditEvent) -> None:
        return

    async def _start_shards(self) -> None:
        for address in self.settings.peers:
            self.peers.learn(address, address)
        self.dispatcher.configure(self._bootstrap)
        self.dispatcher.entry.start()
        for shard in self.dispatcher.local_shards():
            if self._owner_of(shard) == self.process:
                self.dispatcher.take(Authority(shard, 1, time.monotonic() + 1e9))

    async def _stop_tasks(self) -> None:
        await self.dispatcher.entry.stop()
        await self.dispatcher.close()
        await self.peers.close()

    async def _close_clients(self) -> None:
        await self._peer_client.close()
        await self._worker_client.close()


async def _http_error(request: Request, exc: Exception) -> Response:
    status = exc.status_code if isinstance(exc, HTTPException) else 500
    codes = {404: Code.NO_ROUTE, 405: Code.METHOD_NOT_ALLOWED}
    return error_response(codes.get(status, Code.INTERNAL))


async def _internal_error(request: Request, exc: Exception) -> Response:
    return error_response(Code.INTERNAL)
