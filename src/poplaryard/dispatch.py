"""Dispatch of work to shard owners and of messages to shards, peers and callers."""

import asyncio
import random
import typing as t

from .clock import SystemClock
from .codes import Code
from .configuration import Configuration
from .entry import RequestTracker
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
    """Shards that this process owns, and routing to the owners of all others.

    Parameters
    ----------
    process, data_centre : str
        Id of this process and name of its data centre.
    owner_of : callable
        Returns the process id of a shard's owner, or the reason why none is known.
    send : callable
        Sends an envelope to the peer with a process id.
    on_notice : callable
        Called with what the shards report besides answers: audit events, refused
        epochs.
    requests_limit : int
        Maximum number of open requests of callers.
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
        on_notice: t.Callable[[t.Any], None],
        requests_limit: int,
        holds_lease: t.Callable[[], bool] = lambda: True,
    ):
        self.process = process
        self.map = ShardMap(data_centre)
        self.shards: dict[str, ShardTask] = {}
        self.requests = RequestTracker(process, self, requests_limit)
        self._workers = workers
        self._owner_of = owner_of
        self._send_peer = send
        self._on_notice = on_notice
        self._holds_lease = holds_lease
        self._rng = random.Random()
        # Last wall-clock time at which this process saw a VM leave each shard.
        self._vm_left_at: dict[str, float] = {}
        self._started_at = _clock.wall()

    def configure(self, config: Configuration) -> None:
        """Apply a newer configuration."""
        before = {shard: set(self.map.vms_of(shard)) for shard in self.map.local()}
        self.map.configure(config)
        for shard, vms in before.items():
            if vms - set(self.map.vms_of(shard)):
                self._vm_left_at[shard] = _clock.wall()
        for task in self.shards.values():
            self._configure_shard(task)

    def local_shards(self) -> tuple[str, ...]:
        """Return the names of the shards of this data centre."""
        return self.map.local()

    def take_shard(self, taken: ShardTaken) -> ShardTask:
        """Start serving a shard; it places no work until it is given authority."""
        shard = taken.shard
        task = ShardTask(
            shard,
            self.process,
            self._workers,
            self.deliver,
            self._on_notice,
            self._rng,
            self._holds_lease,
        )
        self.shards[shard] = task
        vms = self.map.vms_of(shard)
        task.take_over(taken, vms, self._vm_left_at.get(shard, self._started_at))
        self._configure_shard(task)
        task.start()
        return task

    async def release_shard(self, shard: str) -> None:
        """Stop serving a shard."""
        task = self.shards.pop(shard, None)
        if task is not None:
            await task.stop()

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Wait until the shards here have answered all their requests, or a timeout."""
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
            await self.release_shard(shard)

    def update_authority(self, msg: Authority) -> None:
        """Pass a new authority to its shard."""
        if msg.shard in self.shards:
            self.shards[msg.shard].post(msg)

    def vm_leaving(self, name: str, leaving: bool) -> None:
        """Tell the shards whether the platform's list marks a VM as leaving."""
        for task in self.shards.values():
            task.vm_leaving(name, leaving)

    def vm_gone(self, name: str) -> None:
        """Tell the shards that the platform no longer lists a VM."""
        for shard in self.map.local():
            if name in self.map.vms_of(shard):
                self._vm_left_at[shard] = _clock.wall()
        for task in self.shards.values():
            task.vm_gone(name)

    def route(self, work: Work) -> tuple[str, str] | Code:
        """Return the shard for work and its owner, or the reason why there is none."""
        shard = self.map.shard_for(work)
        owner = self._owner_of(shard) if shard else Code.NOT_OWNER
        return owner if isinstance(owner, Code) else (shard, owner)

    def submit(self, process: str, shard: str, msg: Submit, again: bool) -> None:
        """Send work to an owner; `again` as in `Router.submit`."""
        self._send(process, Envelope(msg, shard, again))

    def cancel(self, process: str, shard: str, msg: Cancel) -> None:
        """Send a cancellation to an owner."""
        self._send(process, Envelope(msg, shard))

    def deliver(self, process: str, msg: Message) -> None:
        """Send a message to a process."""
        self._send(process, Envelope(msg))

    def receive(self, sender: str, envelope: Envelope) -> None:
        """Handle a message from a peer or from this process."""
        msg = envelope.message
        if isinstance(msg, Answer):
            self.requests.on_answer(sender, msg)
        elif isinstance(msg, Submit):
            self._receive_submit(envelope, msg)
        elif isinstance(msg, Cancel):
            self._receive_cancel(envelope.shard, msg)

    def undelivered(self, process: str, envelope: Envelope, code: Code) -> None:
        """Handle a message that did not reach a peer, or may not have."""
        if isinstance(envelope.message, Submit):
            self.requests.undelivered(process, envelope.message.work, code)

    def look_up(self, query: Lookup) -> list[LookupReply]:
        """Return the state of a request, from the shards and open requests here."""
        request_id, reply_to = query.request_id, query.reply_to
        found = [task.look_up(request_id, reply_to) for task in self.shards.values()]
        found.append(self._look_up_open(request_id, reply_to))
        return [LookupReply(request_id, text) for text in found if text is not None]

    def _look_up_open(self, request_id: str, reply_to: str) -> str | None:
        """Return the state of a request open here; None if it is not open.

        The process `reply_to` gets the answer when there is one, and no explanation if
        it is this process.
        """
        fut = self.requests.answer_future(request_id)
        if fut is None or reply_to == self.process:
            return None
        if reply_to:
            fut.add_done_callback(lambda done: self.deliver(reply_to, done.result()))
        return "The request waits until its shard has an owner that answers."

    def owner_candidates(self, request_id: str) -> tuple[set[str], bool]:
        """Return the owners that may know a request, and whether these are all."""
        shards = {*self.local_shards(), self.map.home(request_id)} - {""}
        found = [self._owner_of(shard) for shard in shards]
        owners = {owner for owner in found if not isinstance(owner, Code)}
        return owners, Code.NOT_OWNER not in found

    def send_cancel(self, processes: t.Iterable[str], request_id: str) -> None:
        """Send a cancellation to `processes`, for whatever shard holds the request."""
        for process in processes:
            self.cancel(process, "", Cancel(request_id))

    def _receive_cancel(self, shard: str, msg: Cancel) -> None:
        """Cancel a request in `shard`; if empty, in all shards and where it is open."""
        if shard:
            tasks = [self.shards[shard]] if shard in self.shards else []
        else:
            tasks = list(self.shards.values())
            self.requests.cancel(msg.request_id)
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
