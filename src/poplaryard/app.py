"""Application of an entry process: components, tasks, lifecycle hooks and routes."""

import asyncio
import random
import secrets
import typing as t

from starlette.applications import Starlette
from starlette.requests import Request

from . import logs
from .acceptance import Acceptance
from .api import api_routes, bearer_allowed
from .audit import AuditLog, AuditWriter
from .centres import RemoteOwners
from .client import HttpClient
from .clock import Clock, SystemClock
from .codes import Code
from .compaction import Compactor
from .config_io import ConfigTask
from .context import CallerContext
from .dispatch import Dispatcher
from .exchange import Exchange
from .logs import logger
from .lookup import Finder
from .monitoring import Monitor
from .operator_context import OperatorService
from .operators import operator_routes
from .ownership import Ownership
from .ownership_io import OwnershipTask
from .peers import PeerTable, peer_routes
from .rollout import Rollout
from .server import HttpServer
from .settings import Settings
from .store_http import HttpStore
from .upkeep import UpkeepTask
from .vmlist import VmListPoller
from .web import new_starlette
from .workers_http import HttpWorkers

__all__ = ["Application"]

PEER_CONNECTIONS = 256
WORKER_CONNECTIONS = 1024
STORE_CONNECTIONS = 32
# Time for which a stopping process still accepts requests, so that the platform's load
# balancer can see that it is no longer ready.
NOT_READY_S = 1.0
# Timeout of the hand-over; a store that is down must not block a planned stop.
LEAVE_S = 5.0

Hook: t.TypeAlias = t.Callable[[], t.Awaitable[None]]


class Application:
    """An entry process: its components, and hooks that run when it starts and stops."""

    def __init__(self, settings: Settings, clock: Clock | None = None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.process = f"{settings.process}#{secrets.token_hex(5)}"
        self.state = "starting"
        self.listed_peers = dict(settings.peers)
        self._server = HttpServer(self._serve_asgi, *_host_and_port(settings.listen))
        host = settings.listen.rpartition(":")[0]
        self.address = settings.advertise or f"{host}:{self._server.ports[0]}"
        self._clients = (
            HttpClient(PEER_CONNECTIONS, settings.keys.peer),
            HttpClient(WORKER_CONNECTIONS),
            HttpClient(STORE_CONNECTIONS),
        )
        self.exchange = Exchange(self)
        self._create_components()
        logs.configure(self.process, settings.log_level, self.ticket)
        self.monitor = Monitor(self)
        self.operator_service = self._new_operator_service()
        self._asgi = self._new_starlette()
        self._starts: list[Hook] = []
        self._stops: list[Hook] = []
        self.on_start(self._start_tasks)
        self.on_start(self.operator_service.start)
        self.on_stop(self.operator_service.stop)
        self.on_stop(self._close_clients)
        self.on_stop(self._stop_tasks)
        self.on_stop(self._hand_over)

    def on_start(self, hook: Hook) -> None:
        """Add a hook that runs once the process listens; the first added runs first."""
        self._starts.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Add a hook that runs when the process stops; the last added runs first."""
        self._stops.append(hook)

    async def start(self) -> None:
        """Start to listen, then run the start hooks in order."""
        await self._server.start()
        for hook in self._starts:
            await hook()
        self.state = "running"
        logger.info("started", extra={"address": self.address})

    async def stop(self) -> None:
        """Run the stop hooks: hand over, finish open requests, close everything."""
        self.state = "stopping"
        logger.info("stopping", extra={"left": self.unfinished_work()})
        for hook in reversed(self._stops):
            await hook()
        self.state = "stopped"
        logger.info("stopped")

    def unfinished_work(self) -> str:
        """Return a text that counts what would be lost if the process ended now."""
        open_requests = self.dispatcher.requests.open_requests
        shards = len(self.dispatcher.shards)
        return f"{open_requests} open requests and {shards} shards"

    def refusal(self) -> Code | None:
        """Return the code with which all requests are refused now, or None."""
        if self.state in ("draining", "stopped"):
            return Code.SHUTTING_DOWN
        return None if self.config_task.rollout.ready else Code.NOT_READY

    def ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        return self.state == "running" and self.config_task.rollout.ready

    def ticket(self) -> int:
        """Return the number of the ticket in force."""
        return self.config_task.rollout.number

    def counts(self) -> dict[str, float]:
        """Return counters and gauges by metric name."""
        return {
            "poplaryard_store_calls_total": self.store.calls,
            "poplaryard_peer_batches_total": self.peers.sent_batches,
            "poplaryard_peer_messages_total": self.peers.sent_messages,
            "poplaryard_audit_lost_total": self.audit_log.lost,
        }

    # Components

    def _create_components(self) -> None:
        peer_client, worker_client, store_client = self._clients
        limits = self.settings.limits
        self.store = HttpStore(store_client, self.settings.platform)
        self.peers = PeerTable(
            self.process,
            self.address,
            peer_client,
            self.exchange.receive,
            self.exchange.undelivered,
            limits.peer_in_flight,
        )
        self.dispatcher = Dispatcher(
            self.process,
            self.settings.data_centre,
            HttpWorkers(worker_client),
            self.exchange.owner_of,
            self.exchange.send,
            self.exchange.on_shard_notice,
            limits.requests_in_flight,
            lambda: self.ownership_task.ownership.state == "held",
        )
        self.finder = Finder(
            self.process,
            self.peers,
            self.exchange.lookup_candidates,
            self.dispatcher.look_up,
        )
        self.remote_owners = RemoteOwners(
            self.listed_peers,
            self.peers,
            self.clock,
            self.dispatcher.requests.owners_changed,
        )
        self._create_tasks()

    def _create_tasks(self) -> None:
        data_centre = self.settings.data_centre
        ownership = Ownership(self.process, self.address, random.Random())
        self.ownership_task = OwnershipTask(
            ownership,
            data_centre,
            self.store,
            self.peers,
            self.clock,
            self.exchange.on_ownership_notice,
            self.exchange.on_record_seen,
        )
        self.acceptance = Acceptance(self.store, self.clock)
        loader = self.acceptance.loader
        self.config_task = ConfigTask(
            Rollout(self.process, data_centre),
            loader,
            self.store,
            self.peers,
            self.clock,
            self.exchange.apply_configuration,
        )
        self.vm_list = VmListPoller(
            self.store,
            data_centre,
            self.dispatcher.vm_leaving,
            self.dispatcher.vm_gone,
        )
        self.audit_log = AuditLog()
        self.audit_writer = AuditWriter(
            self.store, self.clock, self.audit_log, data_centre, self.process
        )
        # The first watcher of the store writes the snapshots of the data centre.
        self.upkeep = UpkeepTask(
            self.audit_writer,
            Compactor(self.store, loader),
            lambda: (self.process,) == self.config_task.rollout.watchers[:1],
        )

    # Lifecycle

    async def _start_tasks(self) -> None:
        for addresses in self.listed_peers.values():
            for address in addresses:
                if address != self.address:
                    self.peers.set_address(address, address)
        self.exchange.on_record_seen()
        self.dispatcher.requests.start()
        self.ownership_task.start()
        self.config_task.start()
        self.vm_list.start()
        self.upkeep.start()

    async def _hand_over(self) -> None:
        """Hand over the shards and the lease, then wait for the open requests."""
        deadline = self.clock.now() + self.settings.limits.shutdown_s
        await asyncio.sleep(NOT_READY_S)
        self.state = "draining"
        await self.ownership_task.leave(LEAVE_S)
        await self.dispatcher.requests.wait_until_answered(deadline - self.clock.now())
        # Shards that could not be handed over still serve requests of other processes.
        await self.dispatcher.wait_until_idle(deadline - self.clock.now())
        await self.peers.drain(max(0.0, deadline - self.clock.now()))
        await self._server.stop()

    async def _stop_tasks(self) -> None:
        await self.upkeep.stop()
        await self.vm_list.stop()
        await self.config_task.stop()
        await self.ownership_task.stop()
        await self.remote_owners.stop()
        await self.dispatcher.requests.stop()
        await self.dispatcher.close()
        await self.peers.close()

    async def _close_clients(self) -> None:
        for client in self._clients:
            await client.close()

    # Routes

    async def _serve_asgi(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        await self._asgi(scope, receive, send)

    def _new_starlette(self) -> Starlette:
        context = CallerContext(
            self.settings,
            self.dispatcher,
            self.finder,
            self.refusal,
            self.monitor.metrics.answered,
        )
        routes = [
            *api_routes(context),
            *peer_routes(self.peers, self._peer_allowed),
            *self.monitor.routes(),
            *operator_routes(self.operator_service),
        ]
        return new_starlette(routes)

    def _new_operator_service(self) -> OperatorService:
        return OperatorService(
            self.settings.keys.operators,
            self.store,
            self.clock,
            self.acceptance,
            self.config_task.rollout,
            self.config_task.handle,
            self.audit_log,
            self.audit_writer,
            self._status_fields,
        )

    def _status_fields(self) -> dict[str, t.Any]:
        """Return the fields of the status that do not come from the rollout."""
        record = self.ownership_task.ownership.record
        local = self.dispatcher.local_shards()
        snapshots = [
            task.scheduler.snapshot() for task in self.dispatcher.shards.values()
        ]
        return {
            "suspected": self.ownership_task.ownership.membership.suspects(),
            "ownerless": tuple(
                shard
                for shard in local
                if shard not in record.shards or not record.shards[shard].owner
            ),
            "vms": sum(item.vms for item in snapshots),
            "queued": sum(item.queued for item in snapshots),
        }

    def _peer_allowed(self, request: Request) -> bool:
        return bearer_allowed(request, [self.settings.keys.peer])


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
