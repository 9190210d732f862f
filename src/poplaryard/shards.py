"""Event loop task of one shard: its scheduler, inbox and links to its workers."""

import asyncio
import dataclasses
import random
import typing as t
from collections import OrderedDict, deque

from .clock import SystemClock
from .codes import Code
from .configuration import Configuration, VmSpec
from .links import CurrentAuthority, WorkerLink
from .logs import log_failure
from .messages import (
    Answer,
    AuditEvent,
    Authority,
    ClaimReply,
    ClaimWorker,
    Configure,
    Message,
    PollReply,
    StartAttempt,
    StopAttempt,
    Submit,
    Tick,
    VmGone,
    VmUpdate,
)
from .ownership_messages import ShardTaken
from .scheduler import ShardScheduler
from .takeover import EpochRefused, Takeover, VmListRead
from .workers import Workers

__all__ = ["ShardTask"]

# Length of the inbox from which new work is refused.
QUEUE_LIMIT = 20_000
# Answers kept for look-ups.
ANSWERS_KEPT = 20_000
# Messages handled before other tasks of the event loop run again.
MESSAGES_PER_BATCH = 128
# Interval of ticks while requests wait or were submitted recently, and otherwise.
BUSY_TICK_S = 0.1
IDLE_TICK_S = 0.5
_BUSY_AFTER_MESSAGE_S = 2.0

_clock = SystemClock()

Deliver: t.TypeAlias = t.Callable[[str, Message], None]


class ShardTask:
    """Runs the scheduler of one shard that this process owns.

    Parameters
    ----------
    shard, process : str
    workers : Workers
    deliver : callable
        Called with a process id and the answer to send to it.
    notice : callable
        Called with audit events, and with `EpochRefused` when a worker knows a higher
        epoch.
    holds_lease : callable
        Returns whether this process holds its store lease, and so may claim new VMs.

    Attributes
    ----------
    idle : asyncio.Event
        Set while no request waits for an answer.
    """

    def __init__(
        self,
        shard: str,
        process: str,
        workers: Workers,
        deliver: Deliver,
        notice: t.Callable[[t.Any], None],
        rng: random.Random,
        holds_lease: t.Callable[[], bool] = lambda: True,
    ):
        self.shard = shard
        self.scheduler = ShardScheduler(shard, process, rng)
        self._process = process
        self._workers = workers
        self._deliver = deliver
        self._notice = notice
        self._inbox: deque[Message | VmListRead] = deque()
        self._wake = asyncio.Event()
        self._authority = CurrentAuthority(shard)
        self._links: dict[str, WorkerLink] = {}
        self._vms: dict[str, tuple[VmSpec, bool]] = {}
        # Processes that wait for an answer, by request id.
        self._waiting: dict[str, set[str]] = {}
        self.idle = asyncio.Event()
        self.idle.set()
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._tasks: list[asyncio.Task[None]] = []
        self._busy_until = 0.0
        self._holds_lease = holds_lease
        self._takeover: Takeover | None = None

    @property
    def authority(self) -> Authority:
        """Authority last posted."""
        return self._authority.value

    @property
    def in_progress(self) -> int:
        """Number of requests that were submitted but not answered."""
        return len(self._waiting)

    def take_over(
        self, taken: ShardTaken, vms: t.Iterable[str], listed_since: float
    ) -> None:
        """Begin the take-over of the shard; call this before `start`.

        Parameters
        ----------
        vms : iterable of str
            Names of the shard's VMs as this process knows them.
        listed_since : float
            Wall-clock time since which no VM is known to have left the shard.
        """
        now = _clock.now()
        self._takeover = Takeover(
            taken.shard,
            taken.epoch,
            now,
            _clock.wall(),
            vms,
            known=taken.known,
            first=taken.first,
            listed_since=listed_since,
            list_read=False,
            wait_s=taken.wait_s,
        )
        self.scheduler.take_over(now, self._takeover)

    def start(self) -> None:
        """Start the task."""
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._tick()),
        ]
        for task in self._tasks:
            task.add_done_callback(log_failure)

    async def stop(self) -> None:
        """End the task and its links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links.values():
            link.close()

    def post(self, msg: Message | VmListRead) -> None:
        """Queue a message that must not be lost: a report, configuration, authority.

        The number of attempts and workers bounds these messages, so they are accepted
        without a limit; only `submit` refuses.
        """
        if isinstance(msg, Authority):
            self._authority.set(msg)
        self._inbox.append(msg)
        self._wake.set()

    def submit(self, msg: Submit, again: bool = False) -> None:
        """Queue work, or answer that the queue is full.

        Parameters
        ----------
        again : bool
            Whether the work was sent before. It may then have run, so it cannot be
            refused as "not run"; it is dropped, and the entry process asks again.
        """
        if len(self._inbox) < QUEUE_LIMIT:
            self.post(msg)
        elif not again:
            self._refuse(msg, Code.QUEUE_FULL)

    def configure(self, config: Configuration, vms: t.Mapping[str, VmSpec]) -> None:
        """Apply a configuration and the VMs of this shard that it names."""
        self.post(Configure(config))
        leaving = {name for g in config.vm_groups.values() for name in g.leaving}
        for name in sorted(self._vms.keys() - vms.keys()):
            del self._vms[name]
            self.post(VmGone(name))
        for name, vm in vms.items():
            self._update_vm(vm, name in leaving)

    def vm_leaving(self, name: str, leaving: bool) -> None:
        """Record whether the platform's list names a VM as leaving."""
        if name in self._vms:
            self._update_vm(self._vms[name][0], leaving)

    def vm_gone(self, name: str) -> None:
        """Record that the platform no longer lists a VM."""
        if self._vms.pop(name, None) is not None:
            self.post(VmGone(name))

    def look_up(self, request_id: str, reply_to: str) -> str | None:
        """Return the state of a request as a sentence, or None if it is not known here.

        If `reply_to` is not empty, the answer is sent to that process, at once or as
        soon as there is one.
        """
        answer = self._answers.get(request_id)
        if answer is None and request_id not in self._waiting:
            return None
        if answer is not None and reply_to:
            self._deliver(reply_to, dataclasses.replace(answer, reply_to=reply_to))
        elif reply_to:
            self._waiting[request_id].add(reply_to)
        return self.scheduler.explain(request_id)

    def _update_vm(self, vm: VmSpec, leaving: bool) -> None:
        if self._vms.get(vm.name) == (vm, leaving):
            return
        self._vms[vm.name] = (vm, leaving)
        self.post(VmUpdate(vm, leaving))

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._inbox:
                for _ in range(min(MESSAGES_PER_BATCH, len(self._inbox))):
                    self._handle(self._inbox.popleft())
                await asyncio.sleep(0)

    async def _tick(self) -> None:
        while True:
            busy = self._waiting or _clock.now() < self._busy_until
            await asyncio.sleep(BUSY_TICK_S if busy else IDLE_TICK_S)
            self.post(Tick())

    def _handle(self, msg: Message | VmListRead) -> None:
        now = _clock.now()
        if self._takeover is not None:
            self._takeover.claims_new = self._holds_lease()
        if isinstance(msg, Submit):
            self._busy_until = now + _BUSY_AFTER_MESSAGE_S
            self._waiting.setdefault(msg.work.request_id, set()).add(msg.reply_to)
            self.idle.clear()
        elif isinstance(msg, VmUpdate):
            self._link(msg.vm)
        elif isinstance(msg, VmGone):
            self._unlink(msg.vm)
        elif isinstance(msg, ClaimReply | PollReply):
            self._check_epoch(msg)
        for out in self.scheduler.handle(now, msg):
            self._dispatch(out)

    def _check_epoch(self, reply: ClaimReply | PollReply) -> None:
        epoch = self.authority.epoch
        if reply.epoch > epoch:
            self._notice(EpochRefused(self.shard, epoch))

    def _dispatch(self, out: t.Any) -> None:
        if isinstance(out, StartAttempt):
            self._links[out.vm].start(out)
        elif isinstance(out, Answer):
            self._answer(out)
        elif isinstance(out, StopAttempt):
            self._links[out.vm].stop_attempt(out)
        elif isinstance(out, ClaimWorker):
            self._links[out.vm].claim(out)
        elif isinstance(out, AuditEvent):
            self._notice(dataclasses.replace(out, at=_clock.wall()))
        elif isinstance(out, EpochRefused):
            self._notice(out)

    def _answer(self, answer: Answer) -> None:
        """Send an answer to every process that has a caller waiting for it."""
        if answer.code is Code.DUPLICATE_MISMATCH:
            # Only the caller that sent the other body is told; the first one still
            # waits for its answer.
            self._deliver(answer.reply_to, answer)
            return
        self._answers[answer.request_id] = answer
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        processes = self._waiting.pop(answer.request_id, set())
        if not self._waiting:
            self.idle.set()
        for process in sorted(processes or {answer.reply_to}):
            if process:
                self._deliver(process, dataclasses.replace(answer, reply_to=process))

    def _refuse(self, msg: Submit, code: Code) -> None:
        answer = Answer(
            msg.work.request_id, code, code.outcome, (), code.meaning, 1.0, msg.reply_to
        )
        self._deliver(msg.reply_to, answer)

    def _link(self, vm: VmSpec) -> None:
        link = self._links.get(vm.name)
        if link is not None and link.address == vm.address:
            return
        if link is not None:
            link.close()
        self._links[vm.name] = WorkerLink(
            vm.name, vm.address, self._workers, self.post, self._authority
        )

    def _unlink(self, name: str) -> None:
        link = self._links.pop(name, None)
        if link is not None:
            link.close()
