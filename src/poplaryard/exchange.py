"""Routing of messages between the components of a process and its peers."""

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

# Minimum pause after a failed read of the configuration or the VM list; up to twice
# this, at random.
LIST_RETRY_S = 1.0


class Exchange:
    """Passes each message or notice to the component that handles it.

    Parameters
    ----------
    app : Application
        Holder of the components. They may be created after this object, so they are
        looked up on each call.
    """

    def __init__(self, app: "Application"):
        self._app = app
        self._data_centre = app.settings.data_centre
        self._owner_notices: dict[str, OwnerNotice] = {}
        self._members: Members | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def lookup_candidates(self, request_id: str) -> tuple[set[str], bool]:
        """Return the processes that may know a request, and whether these are all."""
        owners, complete = self._app.dispatcher.owner_candidates(request_id)
        return owners | set(self._app.ownership_task.live_members()), complete

    def owner_of(self, shard: str) -> str | Code:
        """Return the owner of a shard, or the reason why none is known."""
        if shard.rpartition("/")[0] != self._data_centre:
            return self._app.remote_owners.owner_of(shard)
        entry = self._app.ownership_task.ownership.record.shards.get(shard)
        notice = self._owner_notices.get(shard)
        if notice is not None and (entry is None or notice.epoch > entry.epoch):
            return notice.owner
        return (entry.owner if entry else "") or Code.NOT_OWNER

    def receive(self, sender: str, envelope: Envelope) -> t.Sequence[t.Any] | None:
        """Handle a message from a peer; return the messages to reply with."""
        msg = envelope.message
        if isinstance(msg, Heartbeat | HeartbeatReply):
            self._app.config_task.peer_number(msg.sender, msg.config_number)
            return self._app.ownership_task.handle(msg)
        if isinstance(msg, PEER_MESSAGES):
            self._app.config_task.handle(msg)
        elif isinstance(msg, AskOwners):
            return self._owners_view(msg)
        elif isinstance(msg, OwnersView):
            self._app.remote_owners.receive(msg)
        elif isinstance(msg, OwnerNotice):
            self._on_owner_notice(msg)
        elif isinstance(msg, Lookup):
            return self._app.dispatcher.look_up(msg)
        elif isinstance(msg, LookupReply):
            self._app.finder.receive(msg)
        else:
            self._app.ownership_task.check_pause()
            self._app.dispatcher.receive(sender, envelope)
        return None

    def send(self, process: str, envelope: Envelope) -> None:
        """Send a message to a peer; answers use a held reply to it if there is one."""
        answer = isinstance(envelope.message, Answer)
        if not (answer and self._app.peers.send_with_reply(process, envelope.message)):
            self._app.peers.send(process, envelope)

    def undelivered(self, process: str, envelope: Envelope, code: Code) -> None:
        """Handle a message that did not reach a peer, or may not have."""
        self._app.remote_owners.invalidate(process)
        self._app.dispatcher.undelivered(process, envelope, code)

    def _owners_view(self, request: AskOwners) -> list[OwnersView]:
        if request.data_centre != self._data_centre:
            return []
        record = self._app.ownership_task.ownership.record
        found = {shard: self.owner_of(shard) for shard in record.shards}
        owners = {k: v for k, v in found.items() if not isinstance(v, Code)}
        addresses = {name: item.address for name, item in record.members.items()}
        return [OwnersView(request.data_centre, owners, addresses)]

    def _on_owner_notice(self, notice: OwnerNotice) -> None:
        known = self._owner_notices.get(notice.shard)
        if known is None or known.epoch < notice.epoch:
            self._owner_notices[notice.shard] = notice
            self._app.dispatcher.requests.owners_changed()

    def on_shard_notice(self, notice: t.Any) -> None:
        """Handle what a shard reports besides answers."""
        if isinstance(notice, EpochRefused):
            self._app.ownership_task.handle(notice)
        elif isinstance(notice, AuditEvent):
            self._app.audit_log.add(self._app.clock.now(), notice)

    def on_ownership_notice(self, notice: t.Any) -> None:
        """Handle a change of the shards that this process owns or of its authority."""
        if isinstance(notice, Authority):
            self._app.dispatcher.update_authority(notice)
        elif isinstance(notice, ShardTaken):
            self._take_shard(notice)
        elif isinstance(notice, ShardReleased):
            logger.info("shard released", extra={"shard": notice.shard})
            self._spawn(self._app.dispatcher.release_shard(notice.shard))

    def _take_shard(self, taken: ShardTaken) -> None:
        logger.info("shard taken", extra={"shard": taken.shard, "epoch": taken.epoch})
        task = self._app.dispatcher.take_shard(taken)
        self._spawn(self._confirm_vm_list(task))
        notice = OwnerNotice(taken.shard, self._app.process, taken.epoch)
        self._on_owner_notice(notice)
        for name in self._app.ownership_task.live_members():
            if name != self._app.process:
                self._app.peers.send(name, Envelope(notice))

    async def _confirm_vm_list(self, task: ShardTask) -> None:
        """Read configuration and VM list, without which a take-over is not complete.

        The old owner may have used a VM that this process did not know of yet.
        """
        while self._app.dispatcher.shards.get(task.shard) is task:
            try:
                await self._app.config_task.refresh()
                await self._app.vm_list.poll_once()
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

    def on_record_seen(self) -> None:
        """Apply the members and owners of the record as last read."""
        live = tuple(self._app.ownership_task.live_members())
        ready = self._app.config_task.rollout.ready
        remote = {
            name: tuple(found)
            for name, found in self._app.listed_peers.items()
            if name != self._data_centre
        }
        if not ready:
            # A process that starts during a store outage cannot read the members; it
            # gets the configuration from the peers that the settings list for this data
            # centre.
            remote[""] = tuple(self._app.listed_peers.get(self._data_centre, ()))
        members = Members(live or (self._app.process,), remote)
        if members != self._members:
            self._members = members
            self._app.config_task.set_members(members)
        self._app.dispatcher.requests.owners_changed()

    def apply_configuration(self, configure: Configure) -> None:
        """Put a configuration in force."""
        self._app.dispatcher.configure(configure.config)
        shards = self._app.dispatcher.local_shards()
        number = configure.config.number
        logger.info("ticket in force", extra={"number": number})
        self._app.ownership_task.handle(ShardsConfigured(shards, number))
        if number:
            self.on_record_seen()
