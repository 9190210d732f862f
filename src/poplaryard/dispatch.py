"""Finds the owner of work and passes messages between entry, shards and peers."""

import asyncio
import random
import typing as t

from .clock import SystemClock
from .codes import Code
from .configuration import Configuration
from .entry import Entry
from .lookup import Lookup, LookupReply
from .messages import Answer, Authority, Cancel, Message, Submit, Work
from .ownership_messages import ShardTaken
from .peers import Envelope
from .shard_map import ShardMap
from .shards import ShardTask
from .workers import Workers

__all__ = ["Dispatcher"]

_clock = SystemClock()

OwnerOf: t.TypeAlias = t.Callable[[str], str | Code]
Send: t.TypeAlias = t.Callable[[str, Envelope], None]


class Dispatcher:
    """Shards that this process owns, and the way to the owners of all others.

    Parameters
    ----------
    process, data_centre : str
    owner_of : callable
        Returns the process id of a shard's owner, or why it has none.
    send : callable
        Takes the process id of a peer and an envelope for it.
    notice : callable
        Takes what the shards report besides answers: audit events, refused epochs.
    holds_lease : callable
        Returns whether this process holds its store lease.
    """

    def __init__(
        self,
        process: str,
        data_centre: str,
        workers: Workers,
        owner_of: OwnerOf,
        send: Send,
        notice: t.Callable[[t.Any], None],
        requests_limit: int,
        holds_lease: t.Callable[[], bool] = lambda: True,
    ):
        self.process = process
        self.map = ShardMap(data_centre)
        self.shards: dict[str, ShardTask] = {}
        self.entry = Entry(process, self, requests_limit)
        self._workers = workers
        self._owner_of = owner_of
        self._send_peer = send
        self._notice = notice
        self._holds_lease = holds_lease
        self._rng = random.Random()
        # Last wall-clock time at which a VM left each shard, as far as is known.
        self._departed: dict[str, float] = {}
        self._started = _clock.wall()

    def configure(self, config: Configuration) -> None:
        """Apply a newer configuration."""
        before = {shard: set(self.map.vms_of(shard)) for shard in self.map.local()}
        self.map.configure(config)
        for shard, vms in before.items():
            if vms - set(self.map.vms_of(shard)):
                self._departed[shard] = _clock.wall()
        for task in self.shards.values():
            self._configure_shard(task)

    def local_shards(self) -> tuple[str, ...]:
        """Return the names of the shards of this data centre."""
        return self.map.local()

    def take(self, taken: ShardTaken) -> ShardTask:
        """Start to serve a shard; it places nothing until it is given authority."""
        shard = taken.shard
        task = ShardTask(
            shard,
            self.process,
            self._workers,
            self.deliver,
            self._notice,
            self._rng,
            self._holds_lease,
        )
        self.shards[shard] = task
        vms = self.map.vms_of(shard)
        task.take_over(taken, vms, self._departed.get(shard, self._started))
        self._configure_shard(task)
        task.start()
        return task

    async def release(self, shard: str) -> None:
        """Stop serving a shard."""
        task = self.shards.pop(shard, None)
        if task is not None:
            await task.stop()

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Wait until the shards here have answered every request they have taken."""
        waits = [
            asyncio.ensure_future(task.idle.wait()) for task in self.shards.values()
        ]
        if not waits:
            return
        await asyncio.wait(waits, timeout=max(0.0, timeout_s))
        for wait in waits:
            wait.cancel()

    async def close(self) -> None:
        """Stop serving all shards."""
        for shard in list(self.shards):
            await self.release(shard)

    def authority(self, msg: Authority) -> None:
        """Pass a new authority on to its shard."""
        if msg.shard in self.shards:
            self.shards[msg.shard].post(msg)

    def vm_leaving(self, name: str, leaving: bool) -> None:
        """Pass on what the platform's list says about a VM."""
        for task in self.shards.values():
            task.vm_leaving(name, leaving)

    def vm_gone(self, name: str) -> None:
        """Pass on that a VM is no longer listed."""
        for shard in self.map.local():
            if name in self.map.vms_of(shard):
                self._departed[shard] = _clock.wall()
        for task in self.shards.values():
            task.vm_gone(name)

    def route(self, work: Work) -> tuple[str, str] | Code:
        """Return the shard and the owner of work, or why there is none."""
        shard = self.map.shard_for(work)
        owner = self._owner_of(shard) if shard else Code.NOT_OWNER
        return owner if isinstance(owner, Code) else (shard, owner)

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
        elif isinstance(msg, Cancel):
            self._receive_cancel(envelope.shard, msg)

    def undelivered(self, process: str, envelope: Envelope, code: Code) -> None:
        """Take back a message that did not reach a peer, or perhaps not."""
        if isinstance(envelope.message, Submit):
            self.entry.undelivered(process, envelope.message.work, code)

    def look_up(self, question: Lookup) -> list[LookupReply]:
        """Return what the shards here know of a request."""
        request_id, reply_to = question.request_id, question.reply_to
        found = [task.look_up(request_id, reply_to) for task in self.shards.values()]
        found.append(self._look_up_entry(request_id, reply_to))
        return [LookupReply(request_id, text) for text in found if text is not None]

    def _look_up_entry(self, request_id: str, reply_to: str) -> str | None:
        """Answer for a request that a caller has open here, if it has no owner yet."""
        fut = self.entry.answer_future(request_id)
        if fut is None or reply_to == self.process:
            return None
        if reply_to:
            fut.add_done_callback(lambda done: self.deliver(reply_to, done.result()))
        return "The request waits until its shard has an owner that answers."

    def owners_of(self, request_id: str) -> tuple[set[str], bool]:
        """Return the owners that may know a request, and whether these are all."""
        shards = {*self.local_shards(), self.map.home(request_id)} - {""}
        found = [self._owner_of(shard) for shard in shards]
        owners = {owner for owner in found if not isinstance(owner, Code)}
        return owners, Code.NOT_OWNER not in found

    def cancel_at(self, processes: t.Iterable[str], request_id: str) -> None:
        """Send a cancellation to processes that may know a request."""
        for process in processes:
            self.cancel(process, "", Cancel(request_id))

    def _receive_cancel(self, shard: str, msg: Cancel) -> None:
        """Cancel a request in one shard, or wherever it is known here."""
        if shard:
            tasks = [self.shards[shard]] if shard in self.shards else []
        else:
            tasks = list(self.shards.values())
            self.entry.cancel(msg.request_id)
        for task in tasks:
            task.post(msg)

    def _send(self, process: str, envelope: Envelope) -> None:
        if process == self.process:
            self.receive(process, envelope)
        else:
            self._send_peer(process, envelope)

    def _receive_submit(self, envelope: Envelope, msg: Submit) -> None:
        shard = self.shards.get(envelope.shard)
        if shard is not None:
            shard.submit(msg, envelope.again)
            return
        code = Code.NOT_OWNER
        answer = Answer(msg.work.request_id, code, code.outcome, (), code.meaning)
        self.deliver(msg.reply_to, answer)

    def _configure_shard(self, task: ShardTask) -> None:
        task.configure(self.map.config, self.map.vms_of(task.shard))
