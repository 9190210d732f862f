"""Scheduler of one shard: decides in memory, without any I/O."""

import random
import typing as t
from collections import deque
from dataclasses import dataclass, replace

from .backlog import Backlog
from .claims import Claims
from .codes import Code
from .estimate import Estimator
from .fleet import Vm
from .health import Health
from .jobs import Job
from .messages import (
    Answer,
    Authority,
    Cancel,
    ClaimReply,
    Configure,
    Message,
    PollReply,
    StartReply,
    StopMode,
    Submit,
    Tick,
    VmGone,
    VmUpdate,
    WorkerRestarted,
    WorkerUnreachable,
    WorkKind,
)
from .replicas import Replicas
from .resources import Resources
from .results import Results
from .state import ShardState
from .takeover import Takeover, VmListRead

__all__ = ["ShardScheduler", "Snapshot"]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Counts for status and metrics.

    Attributes
    ----------
    queued : int
        Jobs with a task to start.
    running : int
        Attempts in progress, service replicas included.
    """

    shard: str
    epoch: int
    queued: int
    running: int
    vms: int
    usable: int
    claimed: int
    leaving: int
    replicas: int
    used: Resources
    total: Resources


class ShardScheduler:
    """Decides where and when the tasks of one shard run.

    Parameters
    ----------
    shard : str
        Name of the shard.
    process : str
        Id of this process, with its incarnation number.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, shard: str, process: str, rng: random.Random):
        self.shard = shard
        self.process = process
        self._state = ShardState(shard, rng)
        self._estimator = Estimator()
        self._results = Results(self._state, self._estimator, self._requeue)
        self._backlog = Backlog(self._state, self._results, self._estimator)
        self._replicas = Replicas(self._state, self._backlog.preemptor)
        self._health = Health(self._state, self._estimator)
        self._claims = Claims(
            self._state, self._results, self._health, self._on_leaving
        )
        self._capacity_changed = False
        self._handlers: dict[type, t.Callable[[float, t.Any], None]] = {
            Authority: self._claims.authority,
            Cancel: self._on_cancel,
            ClaimReply: self._claims.claim_reply,
            Configure: self._on_configure,
            PollReply: self._claims.poll_reply,
            StartReply: self._claims.start_reply,
            Submit: self._on_submit,
            Tick: self._on_tick,
            VmGone: self._claims.vm_gone,
            # Only the take-over uses it; see `handle`.
            VmListRead: lambda now, msg: None,
            VmUpdate: self._on_vm_update,
            WorkerRestarted: self._on_restarted,
            WorkerUnreachable: self._on_unreachable,
        }

    def handle(self, now: float, msg: Message | VmListRead) -> list[Message]:
        """Process one message and return the messages to send as a result."""
        handler = self._handlers.get(type(msg))
        if handler is None:
            return []
        state = self._state
        state.out = []
        # `Claims.vm_update` forwards a `VmUpdate` itself, once the VM is in the fleet.
        if type(msg) is not VmUpdate:
            self._claims.forward_to_takeover(now, msg)
        handler(now, msg)
        self._results.send_stops(now)
        if self._capacity_changed:
            self._capacity_changed = False
            self._replicas.update_wanted()
            self._backlog.configure()
        self._replicas.reconcile(now, type(msg) is Tick)
        self._backlog.run(now)
        return state.out

    def take_over(self, now: float, takeover: Takeover) -> None:
        """Use a take-over to decide which workers to claim and what may be served.

        Call this before the first `Authority` of its epoch. Without a take-over,
        exclusive work waits until every VM of the shard was claimed.
        """
        self._claims.take_over(now, takeover)

    def explain(self, request_id: str) -> str:
        """Return the state of a request as one sentence."""
        answer = self._results.ledger.answer(request_id)
        if answer is not None:
            return f"The request was answered: {answer.detail}"
        job = self._state.jobs.get(request_id)
        if job is None:
            return "No request with this id is known here."
        if job.cancelled:
            return "The request is cancelled and its tasks are being stopped."
        if not job.pending:
            return "All tasks of the request are running."
        return job.reason or f"The request waits for its turn in shard {self.shard}."

    def snapshot(self) -> Snapshot:
        """Return counts for status and metrics."""
        state = self._state
        vms = state.fleet.vms.values()
        return Snapshot(
            shard=self.shard,
            epoch=state.authority.epoch,
            queued=self._backlog.waiting(),
            running=len(state.attempts),
            vms=len(vms),
            usable=sum(vm.usable for vm in vms),
            claimed=sum(vm.claimed for vm in vms),
            leaving=sum(vm.leaving for vm in vms),
            replicas=sum(len(pool.replicas) for pool in state.pools.values()),
            used=state.fleet.used,
            total=state.fleet.total,
        )

    def _requeue(self, now: float, job: Job) -> None:
        self._backlog.requeue(now, job)

    def _on_configure(self, now: float, msg: Configure) -> None:
        if msg.config.number >= self._state.config.number:
            self._state.config = msg.config
            self._replicas.configure(msg.config)
            self._state.room_freed = True
            self._capacity_changed = True

    def _on_vm_update(self, now: float, msg: VmUpdate) -> None:
        self._claims.vm_update(now, msg)
        self._capacity_changed = True

    def _on_restarted(self, now: float, msg: WorkerRestarted) -> None:
        self._claims.worker_restarted(now, msg.vm)

    def _on_unreachable(self, now: float, msg: WorkerUnreachable) -> None:
        self._claims.worker_unreachable(now, msg.vm)
        vm = self._state.fleet.vms.get(msg.vm)
        if vm is not None:
            self._backlog.gangs.vm_lost(vm)

    def _on_leaving(self, now: float, vm: Vm) -> None:
        """Move replicas away and checkpoint what can be; the rest runs to its end."""
        self._replicas.vm_leaving(now, vm)
        self._backlog.gangs.vm_lost(vm)
        for attempt in self._state.attempts.on_vm(vm):
            work = attempt.work
            stoppable = work.idempotent and not work.exclusive_key
            if work.checkpointable and stoppable and attempt.stop_mode is None:
                self._state.stop(now, attempt, StopMode.CHECKPOINT)
        self._state.room_freed = True

    def _on_submit(self, now: float, msg: Submit) -> None:
        work, state = msg.work, self._state
        may_run = work.idempotent or state.may_run_unreported(work.issued_at)
        found = self._results.ledger.register(
            now,
            msg.wall,
            work,
            attempt=msg.attempt or None,
            may_run_unreported=may_run,
        )
        if found.answer is not None:
            state.out.append(replace(found.answer, reply_to=msg.reply_to))
        elif found.code is not None:
            state.out.append(_refusal(msg, found.code))
        elif work.request_id in state.jobs:
            state.jobs[work.request_id].reply_to = msg.reply_to
        else:
            self._create_job(now, msg)

    def _create_job(self, now: float, msg: Submit) -> None:
        work, state = msg.work, self._state
        open_tasks = self._results.ledger.open_tasks(work.request_id)
        job = Job(work, msg.reply_to, now, deque(open_tasks))
        job.may_have_run = not state.excludes_earlier_run(now, msg.wall, work)
        state.add_job(job)
        self._results.attach_running(job)
        if work.deadline <= now:
            self._results.expire(now)
        elif work.kind is WorkKind.REQUEST and work.target not in state.pools:
            self._results.refuse(now, job, Code.UNKNOWN_TARGET)
        elif job.pending:
            self._backlog.submit(now, job)

    def _on_cancel(self, now: float, msg: Cancel) -> None:
        job = self._state.jobs.get(msg.request_id)
        if job is not None:
            self._results.cancel(now, job)

    def _on_tick(self, now: float, msg: Tick) -> None:
        self._results.expire(now)
        count = len(self._state.fleet.vms)
        self._claims.tick(now)
        self._capacity_changed |= len(self._state.fleet.vms) != count
        self._health.tick(now)
        self._backlog.tick(now)


def _refusal(msg: Submit, code: Code) -> Answer:
    return Answer(
        msg.work.request_id,
        code,
        code.outcome,
        detail=code.meaning,
        reply_to=msg.reply_to,
    )
