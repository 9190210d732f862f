"""The application: settings, life-cycle hooks, tasks and routes of one process."""

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
from .centres import AskOwners, Centres, OwnerNotice, OwnersView
from .client import HttpClient
from .clock import Clock, SystemClock
from .codes import Code
from .compaction import Compactor
from .config_io import PEER_MESSAGES, ConfigTask
from .context import CallerContext
from .dispatch import Dispatcher
from .exceptions import PoplaryardError
from .logs import logger
from .lookup import Finder, Lookup, LookupReply
from .messages import Answer, AuditEvent, Authority, Configure
from .monitoring import Monitor
from .operator_context import OperatorDesk
from .operators import operator_routes
from .ownership import Ownership
from .ownership_io import OwnershipTask
from .ownership_messages import (
    Heartbeat,
    HeartbeatReply,
    ShardReleased,
    ShardsConfigured,
    ShardTaken,
)
from .peers import Envelope, PeerTable, peer_routes
from .rollout import Members, Rollout
from .server import HttpServer
from .settings import Settings
from .shards import ShardTask
from .store_http import HttpStore
from .takeover import EpochRefused, VmListRead
from .upkeep import UpkeepTask
from .vmlist import VmListTask
from .web import new_starlette
from .workers_http import HttpWorkers

__all__ = ["Application"]

PEER_CONNECTIONS = 256
WORKER_CONNECTIONS = 1024
STORE_CONNECTIONS = 32
# Time for which a process that stops still takes requests, until the platform's load
# balancer has seen that it is no longer ready.
NOT_READY_S = 1.0
# Time given to the hand-over; a store that is down must not hold up a planned stop.
LEAVE_S = 5.0
LIST_RETRY_S = 1.0

Hook: t.TypeAlias = t.Callable[[], t.Awaitable[None]]


class Application:
    """One entry process.

    Parameters
    ----------
    settings : Settings
    """

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
        self._make_parts()
        logs.configure(self.process, settings.log_level, self.ticket)
        self.monitor = Monitor(self)
        self.desk = self._new_desk()
        self._asgi = self._new_starlette()
        self._starts: list[Hook] = []
        self._stops: list[Hook] = []
        self.on_start(self._start_tasks)
        self.on_stop(self._close_clients)
        self.on_stop(self._stop_tasks)
        self.on_stop(self._hand_over)

    def on_start(self, hook: Hook) -> None:
        """Add a call that runs when the process listens; the first added runs first."""
        self._starts.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Add a call that runs when the process stops; the last added runs first."""
        self._stops.append(hook)

    async def start(self) -> None:
        """Listen, then run the start hooks in order."""
        await self._server.start()
        for hook in self._starts:
            await hook()
        self.state = "running"
        logger.info("started", extra={"address": self.address})

    async def stop(self) -> None:
        """Hand over, finish the requests in progress, and close everything."""
        self.state = "stopping"
        logger.info("stopping", extra={"left": self.left_over()})
        for hook in reversed(self._stops):
            await hook()
        self.state = "stopped"
        logger.info("stopped")

    def left_over(self) -> str:
        """Return what would be lost if the process ended now."""
        open_requests = self.dispatcher.entry.open_requests
        shards = len(self.dispatcher.shards)
        return f"{open_requests} open requests and {shards} shards"

    def refusal(self) -> Code | None:
        """Return why no requests are taken at the moment, or None."""
        if self.state in ("draining", "stopped"):
            return Code.SHUTTING_DOWN
        return None if self.config_task.rollout.ready else Code.NOT_READY

    def ready(self) -> bool:
        """Tell whether the load balancer may send requests."""
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

    # Parts

    def _make_parts(self) -> None:
        peer_client, worker_client, store_client = self._clients
        limits = self.settings.limits
        self.store = HttpStore(store_client, self.settings.platform)
        self.peers = PeerTable(
            self.process,
            self.address,
            peer_client,
            self._receive,
            self._undelivered,
            limits.peer_in_flight,
        )
        self.dispatcher = Dispatcher(
            self.process,
            self.settings.data_centre,
            HttpWorkers(worker_client),
            self._owner_of,
            self._send,
            self._shard_notice,
            limits.requests_in_flight,
            lambda: self.ownership_task.ownership.state == "held",
        )
        self.finder = Finder(
            self.process,
            self.peers,
            self._may_know,
            self.dispatcher.look_up,
        )
        self.centres = Centres(
            self.listed_peers,
            self.peers,
            self.clock,
            self.dispatcher.entry.owners_changed,
        )
        self._make_tasks()

    def _make_tasks(self) -> None:
        data_centre = self.settings.data_centre
        ownership = Ownership(self.process, self.address, random.Random())
        self.ownership_task = OwnershipTask(
            ownership,
            data_centre,
            self.store,
            self.peers,
            self.clock,
            self._ownership_notice,
            self._record_seen,
        )
        self.acceptance = Acceptance(self.store, self.clock)
        loader = self.acceptance.loader
        self.config_task = ConfigTask(
            Rollout(self.process, data_centre),
            loader,
            self.store,
            self.peers,
            self.clock,
            self._apply,
        )
        self.vm_list = VmListTask(
            self.store,
            data_centre,
            self.dispatcher.vm_leaving,
            self.dispatcher.vm_gone,
        )
        self.audit_log = AuditLog()
        self.audit_writer = AuditWriter(
            self.store, self.clock, self.audit_log, data_centre, self.process
        )
        self.upkeep = UpkeepTask(
            self.audit_writer,
            Compactor(self.store, loader),
            lambda: (self.process,) == self.config_task.rollout.watchers[:1],
        )
        self._notices: dict[str, OwnerNotice] = {}
        self._members: Members | None = None
        self._releases: set[asyncio.Task[None]] = set()

    # Messages between the parts

    def _may_know(self, request_id: str) -> tuple[set[str], bool]:
        """Return who may know a request, and whether these are all."""
        owners, complete = self.dispatcher.owners_of(request_id)
        return owners | set(self.ownership_task.live_members()), complete

    def _owner_of(self, shard: str) -> str | Code:
        if shard.rpartition("/")[0] != self.settings.data_centre:
            return self.centres.owner_of(shard)
        entry = self.ownership_task.ownership.record.shards.get(shard)
        notice = self._notices.get(shard)
        if notice is not None and (entry is None or notice.epoch > entry.epoch):
            return notice.owner
        return (entry.owner if entry else "") or Code.NOT_OWNER

    def _receive(self, sender: str, envelope: Envelope) -> t.Sequence[t.Any] | None:
        """Take a message from a peer; return what goes back with the reply."""
        msg = envelope.message
        if isinstance(msg, Heartbeat | HeartbeatReply):
            self.config_task.peer_number(msg.sender, msg.config_number)
            return self.ownership_task.handle(msg)
        if isinstance(msg, PEER_MESSAGES):
            self.config_task.handle(msg)
        elif isinstance(msg, AskOwners):
            return self._owners_view(msg)
        elif isinstance(msg, OwnersView):
            self.centres.receive(msg)
        elif isinstance(msg, OwnerNotice):
            self._owner_notice(msg)
        elif isinstance(msg, Lookup):
            return self.dispatcher.look_up(msg)
        elif isinstance(msg, LookupReply):
            self.finder.receive(msg)
        else:
            self.ownership_task.check_pause()
            self.dispatcher.receive(sender, envelope)
        return None

    def _send(self, process: str, envelope: Envelope) -> None:
        answer = isinstance(envelope.message, Answer)
        if not (answer and self.peers.reply(process, envelope.message)):
            self.peers.send(process, envelope)

    def _undelivered(self, process: str, envelope: Envelope, code: Code) -> None:
        self.centres.doubt(process)
        self.dispatcher.undelivered(process, envelope, code)

    def _owners_view(self, question: AskOwners) -> list[OwnersView]:
        if question.data_centre != self.settings.data_centre:
            return []
        record = self.ownership_task.ownership.record
        found = {shard: self._owner_of(shard) for shard in record.shards}
        owners = {k: v for k, v in found.items() if not isinstance(v, Code)}
        addresses = {name: item.address for name, item in record.members.items()}
        return [OwnersView(question.data_centre, owners, addresses)]

    def _owner_notice(self, notice: OwnerNotice) -> None:
        known = self._notices.get(notice.shard)
        if known is None or known.epoch < notice.epoch:
            self._notices[notice.shard] = notice
            self.dispatcher.entry.owners_changed()

    def _shard_notice(self, notice: t.Any) -> None:
        if isinstance(notice, EpochRefused):
            self.ownership_task.handle(notice)
        elif isinstance(notice, AuditEvent):
            self._audit(notice)

    def _ownership_notice(self, notice: t.Any) -> None:
        if isinstance(notice, Authority):
            self.dispatcher.authority(notice)
        elif isinstance(notice, ShardTaken):
            self._take(notice)
        elif isinstance(notice, ShardReleased):
            logger.info("shard released", extra={"shard": notice.shard})
            self._spawn(self.dispatcher.release(notice.shard))

    def _take(self, taken: ShardTaken) -> None:
        logger.info("shard taken", extra={"shard": taken.shard, "epoch": taken.epoch})
        task = self.dispatcher.take(taken)
        self._spawn(self._read_list_for(task))
        notice = OwnerNotice(taken.shard, self.process, taken.epoch)
        self._owner_notice(notice)
        for name in self.ownership_task.live_members():
            if name != self.process:
                self.peers.send(name, Envelope(notice))

    async def _read_list_for(self, task: ShardTask) -> None:
        """Read configuration and VM list after a take-over, which then is complete.

        The old owner may have used a VM that this process did not know of yet.
        """
        while self.dispatcher.shards.get(task.shard) is task:
            try:
                await self.config_task.refresh()
                await self.vm_list.read()
            except PoplaryardError:
                await asyncio.sleep(LIST_RETRY_S * random.uniform(1.0, 2.0))
            else:
                task.post(VmListRead())
                return

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(call)
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def _record_seen(self) -> None:
        live = tuple(self.ownership_task.live_members())
        ready = self.config_task.rollout.ready
        remote = {
            name: tuple(found)
            for name, found in self.listed_peers.items()
            if name != self.settings.data_centre
        }
        if not ready:
            # The listed peers here serve a process that starts during a store outage.
            remote[""] = tuple(self.listed_peers.get(self.settings.data_centre, ()))
        members = Members(live or (self.process,), remote)
        if members != self._members:
            self._members = members
            self.config_task.set_members(members)
        self.dispatcher.entry.owners_changed()

    def _apply(self, configure: Configure) -> None:
        self.dispatcher.configure(configure.config)
        shards = self.dispatcher.local_shards()
        number = configure.config.number
        logger.info("ticket in force", extra={"number": number})
        self.ownership_task.handle(ShardsConfigured(shards, number))
        if number:
            self._record_seen()

    def _audit(self, event: AuditEvent) -> None:
        self.audit_log.add(self.clock.now(), event)

    # Life cycle

    async def _start_tasks(self) -> None:
        for addresses in self.listed_peers.values():
            for address in addresses:
                if address != self.address:
                    self.peers.learn(address, address)
        self._record_seen()
        self.dispatcher.entry.start()
        self.ownership_task.start()
        self.config_task.start()
        self.vm_list.start()
        self.upkeep.start()

    async def _hand_over(self) -> None:
        """Leave the data centre's record, then wait for the open requests."""
        until = self.clock.now() + self.settings.limits.shutdown_s
        await asyncio.sleep(NOT_READY_S)
        self.state = "draining"
        await self.ownership_task.leave(LEAVE_S)
        await self.dispatcher.entry.drained(until - self.clock.now())
        await self.peers.drain(max(0.0, until - self.clock.now()))
        await self._server.stop()

    async def _stop_tasks(self) -> None:
        await self.upkeep.stop()
        await self.vm_list.stop()
        await self.config_task.stop()
        await self.ownership_task.stop()
        await self.centres.stop()
        await self.dispatcher.entry.stop()
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
            *operator_routes(self.desk),
        ]
        return new_starlette(routes)

    def _new_desk(self) -> OperatorDesk:
        return OperatorDesk(
            self.settings.keys.operators,
            self.store,
            self.clock,
            self.acceptance,
            self.config_task.rollout,
            self.config_task.handle,
            self.audit_log,
            self.audit_writer,
            self._facts,
        )

    def _facts(self) -> dict[str, t.Any]:
        """Return what the status screen shows besides the rollout."""
        record = self.ownership_task.ownership.record
        local = self.dispatcher.local_shards()
        shown = [task.scheduler.snapshot() for task in self.dispatcher.shards.values()]
        return {
            "suspected": self.ownership_task.ownership.membership.suspects(),
            "ownerless": tuple(
                shard
                for shard in local
                if shard not in record.shards or not record.shards[shard].owner
            ),
            "vms": sum(item.vms for item in shown),
            "queued": sum(item.queued for item in shown),
        }

    def _peer_allowed(self, request: Request) -> bool:
        return bearer_allowed(request, [self.settings.keys.peer])


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
