"""Finds the owner of work and passes messages between entry, shards and peers."""

import random
import typing as t

from . import routing
from .codes import Code
from .configuration import Configuration
from .entry import Entry
from .messages import Answer, AuditEvent, Authority, Cancel, Message, Submit, Work
from .peers import Envelope, PeerTable
from .shards import ShardTask
from .workers import Workers

__all__ = ["Dispatcher"]

OwnerOf: t.TypeAlias = t.Callable[[str], str]


class Dispatcher:
    """Shards that this process owns, and the way to the owners of all others.

    Parameters
    ----------
    process, data_centre : str
    owner_of : callable
        Returns the process id of a shard's owner; empty if it has none.
    audit : callable
        Takes audit events.
    """

    def __init__(
        self,
        process: str,
        data_centre: str,
        workers: Workers,
        owner_of: OwnerOf,
        audit: t.Callable[[AuditEvent], None],
        requests_limit: int,
    ):
        self.process = process
        self.data_centre = data_centre
        self.config = Configuration()
        self.shards: dict[str, ShardTask] = {}
        self.entry = Entry(process, self, requests_limit)
        self.peers: PeerTable | None = None
        self._workers = workers
        self._owner_of = owner_of
        self._audit = audit
        self._rng = random.Random()
        self._names: dict[str, list[str]] = {}
        self._cell: list[str] = []

    def configure(self, config: Configuration) -> None:
        """Apply a newer configuration."""
        self.config = config
        count = config.policy.shards_per_data_centre
        centres = sorted({*config.data_centres(), self.data_centre})
        self._names = {dc: routing.shard_names(dc, count) for dc in centres}
        self._cell = [name for names in self._names.values() for name in names]
        for task in self.shards.values():
            self._configure_shard(task)

    def local_shards(self) -> list[str]:
        """Return the names of the shards of this data centre."""
        return self._names.get(self.data_centre, [])

    def take(self, authority: Authority) -> ShardTask:
        """Start to serve a shard."""
        shard = authority.shard
        task = ShardTask(
            shard, self.process, self._workers, self.deliver, self._audit, self._rng
        )
        self.shards[shard] = task
        task.post(authority)
        self._configure_shard(task)
        task.start()
        return task

    async def release(self, shard: str) -> None:
        """Stop serving a shard."""
        task = self.shards.pop(shard, None)
        if task is not None:
            await task.stop()

    async def close(self) -> None:
        """Stop serving all shards."""
        for shard in list(self.shards):
            await self.release(shard)

    def route(self, work: Work) -> tuple[str, str] | Code:
        """Return the shard and the owner of work, or why there is none."""
        shard = self._shard_of(work)
        owner = self._owner_of(shard) if shard else ""
        return (shard, owner) if owner else Code.NOT_OWNER

    def submit(self, process: str, shard: str, msg: Submit, again: bool) -> None:
        """Send work to an owner."""
        self._send(process, Envelope(msg, shard, again))

    def cancel(self, process: str, shard: str, msg: Cancel) -> None:
        """Send a cancellation to an owner."""
        self._send(process, Envelope(msg, shard))

    def deliver(self, process: str, msg: Message) -> None:
        """Send a message to a process."""
        self._send(process, Envelope(msg))

    def receive(self, sender: str, envelope: Envelope) -> None:
        """Take a message from a peer or from this process."""
        msg = envelope.message
        if isinstance(msg, Answer):
            self.entry.on_answer(sender, msg)
        elif isinstance(msg, Submit):
            self._receive_submit(envelope, msg)
        elif isinstance(msg, Cancel) and envelope.shard in self.shards:
            self.shards[envelope.shard].post(msg)

    def undelivered(self, process: str, envelope: Envelope, code: Code) -> None:
        """Take back a message that did not reach a peer, or perhaps not."""
        if isinstance(envelope.message, Submit):
            self.entry.undelivered(process, envelope.message.work, code)

    def explain(self, request_id: str) -> str:
        """Return one sentence that says where a request stands."""
        found = self.entry.work_of(request_id)
        if found is None or found[1] not in self.shards:
            return "No request with this id is known here."
        return self.shards[found[1]].scheduler.explain(request_id)

    def _shard_of(self, work: Work) -> str:
        key = routing.key_of(work)
        if key:
            return routing.home_shard(key, self._cell) if self._cell else ""
        # Chosen by the id, so that a caller that asks again at another entry process
        # of the data centre reaches the owner that knows the request.
        local = self.local_shards()
        return routing.home_shard(work.request_id, local) if local else ""

    def _send(self, process: str, envelope: Envelope) -> None:
        if process == self.process:
            self.receive(process, envelope)
        elif self.peers is not None:
            self.peers.send(process, envelope)

    def _receive_submit(self, envelope: Envelope, msg: Submit) -> None:
        shard = self.shards.get(envelope.shard)
        if shard is not None:
            shard.submit(msg, envelope.again)
            return
        code = Code.NOT_OWNER
        answer = Answer(msg.work.request_id, code, code.outcome, (), code.meaning)
        self.deliver(msg.reply_to, answer)

    def _configure_shard(self, task: ShardTask) -> None:
        names = self.local_shards()
        own = {
            vm.name: vm
            for vm in self.config.vms(self.data_centre)
            if routing.shard_of_vm(vm.name, names) == task.shard
        }
        task.configure(self.config, own)
