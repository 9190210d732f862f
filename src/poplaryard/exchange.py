"""Passes messages between the parts of a process and its peers."""

import asyncio
import random
import typing as t

from .centres import AskOwners, OwnerNotice, OwnersView
from .codes import Code
from .config_io import PEER_MESSAGES
from .exceptions import PoplaryardError
from .logs import log_failure, logger
from .lookup import Lookup, LookupReply
from .messages import Answer, AuditEvent, Authority, Configure
from .ownership_messages import (
    Heartbeat,
    HeartbeatReply,
    ShardReleased,
    ShardsConfigured,
    ShardTaken,
)
from .peers import Envelope
from .rollout import Members
from .shards import ShardTask
from .takeover import EpochRefused, VmListRead

if t.TYPE_CHECKING:
    from .app import Application

__all__ = ["Exchange"]

LIST_RETRY_S = 1.0


class Exchange:
    """Knows which part takes which message.

    Parameters
    ----------
    app : Application
        Owner of the parts, which may still be missing when this is made.
    """

    def __init__(self, app: "Application"):
        self._app = app
        self._data_centre = app.settings.data_centre
        self._notices: dict[str, OwnerNotice] = {}
        self._members: Members | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def may_know(self, request_id: str) -> tuple[set[str], bool]:
        """Return who may know a request, and whether these are all."""
        owners, complete = self._app.dispatcher.owners_of(request_id)
        return owners | set(self._app.ownership_task.live_members()), complete

    def owner_of(self, shard: str) -> str | Code:
        """Return the owner of a shard, or why none can be named."""
        if shard.rpartition("/")[0] != self._data_centre:
            return self._app.centres.owner_of(shard)
        entry = self._app.ownership_task.ownership.record.shards.get(shard)
        notice = self._notices.get(shard)
        if notice is not None and (entry is None or notice.epoch > entry.epoch):
            return notice.owner
        return (entry.owner if entry else "") or Code.NOT_OWNER

    def receive(self, sender: str, envelope: Envelope) -> t.Sequence[t.Any] | None:
        """Take a message from a peer; return what goes back with the reply."""
        msg = envelope.message
        if isinstance(msg, Heartbeat | HeartbeatReply):
            self._app.config_task.peer_number(msg.sender, msg.config_number)
            return self._app.ownership_task.handle(msg)
        if isinstance(msg, PEER_MESSAGES):
            self._app.config_task.handle(msg)
        elif isinstance(msg, AskOwners):
            return self._owners_view(msg)
        elif isinstance(msg, OwnersView):
            self._app.centres.receive(msg)
        elif isinstance(msg, OwnerNotice):
            self._owner_notice(msg)
        elif isinstance(msg, Lookup):
            return self._app.dispatcher.look_up(msg)
        elif isinstance(msg, LookupReply):
            self._app.finder.receive(msg)
        else:
            self._app.ownership_task.check_pause()
            self._app.dispatcher.receive(sender, envelope)
        return None

    def send(self, process: str, envelope: Envelope) -> None:
        """Send a message to a peer; answers go with a held reply if there is one."""
        answer = isinstance(envelope.message, Answer)
        if not (answer and self._app.peers.reply(process, envelope.message)):
            self._app.peers.send(process, envelope)

    def undelivered(self, process: str, envelope: Envelope, code: Code) -> None:
        """Take back a message that did not reach a peer, or perhaps not."""
        self._app.centres.doubt(process)
        self._app.dispatcher.undelivered(process, envelope, code)

    def _owners_view(self, question: AskOwners) -> list[OwnersView]:
        if question.data_centre != self._data_centre:
            return []
        record = self._app.ownership_task.ownership.record
        found = {shard: self.owner_of(shard) for shard in record.shards}
        owners = {k: v for k, v in found.items() if not isinstance(v, Code)}
        addresses = {name: item.address for name, item in record.members.items()}
        return [OwnersView(question.data_centre, owners, addresses)]

    def _owner_notice(self, notice: OwnerNotice) -> None:
        known = self._notices.get(notice.shard)
        if known is None or known.epoch < notice.epoch:
            self._notices[notice.shard] = notice
            self._app.dispatcher.entry.owners_changed()

    def shard_notice(self, notice: t.Any) -> None:
        """Take what a shard reports besides answers."""
        if isinstance(notice, EpochRefused):
            self._app.ownership_task.handle(notice)
        elif isinstance(notice, AuditEvent):
            self._app.audit_log.add(self._app.clock.now(), notice)

    def ownership_notice(self, notice: t.Any) -> None:
        """Take a change of the shards that this process owns."""
        if isinstance(notice, Authority):
            self._app.dispatcher.authority(notice)
        elif isinstance(notice, ShardTaken):
            self._take(notice)
        elif isinstance(notice, ShardReleased):
            logger.info("shard released", extra={"shard": notice.shard})
            self._spawn(self._app.dispatcher.release(notice.shard))

    def _take(self, taken: ShardTaken) -> None:
        logger.info("shard taken", extra={"shard": taken.shard, "epoch": taken.epoch})
        task = self._app.dispatcher.take(taken)
        self._spawn(self._read_list_for(task))
        notice = OwnerNotice(taken.shard, self._app.process, taken.epoch)
        self._owner_notice(notice)
        for name in self._app.ownership_task.live_members():
            if name != self._app.process:
                self._app.peers.send(name, Envelope(notice))

    async def _read_list_for(self, task: ShardTask) -> None:
        """Read configuration and VM list after a take-over, which then is complete.

        The old owner may have used a VM that this process did not know of yet.
        """
        while self._app.dispatcher.shards.get(task.shard) is task:
            try:
                await self._app.config_task.refresh()
                await self._app.vm_list.read()
            except PoplaryardError:
                await asyncio.sleep(LIST_RETRY_S * random.uniform(1.0, 2.0))
            else:
                task.post(VmListRead())
                return

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure)

    def record_seen(self) -> None:
        """Follow the members and owners as last seen."""
        live = tuple(self._app.ownership_task.live_members())
        ready = self._app.config_task.rollout.ready
        remote = {
            name: tuple(found)
            for name, found in self._app.listed_peers.items()
            if name != self._data_centre
        }
        if not ready:
            # The listed peers here serve a process that starts during a store outage.
            remote[""] = tuple(self._app.listed_peers.get(self._data_centre, ()))
        members = Members(live or (self._app.process,), remote)
        if members != self._members:
            self._members = members
            self._app.config_task.set_members(members)
        self._app.dispatcher.entry.owners_changed()

    def apply(self, configure: Configure) -> None:
        """Put a configuration in force."""
        self._app.dispatcher.configure(configure.config)
        shards = self._app.dispatcher.local_shards()
        number = configure.config.number
        logger.info("ticket in force", extra={"number": number})
        self._app.ownership_task.handle(ShardsConfigured(shards, number))
        if number:
            self.record_seen()
