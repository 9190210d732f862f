"""Scheduler of one shard: decides alone and in memory."""

import random
import typing as t
from collections import OrderedDict, deque
from dataclasses import dataclass

from .codes import Code, Outcome
from .configuration import Configuration, ServiceSpec
from .fleet import Fleet, Vm
from .jobs import Attempt, Job
from .messages import (
    Answer,
    AttemptReport,
    AttemptState,
    Authority,
    Cancel,
    ClaimReply,
    ClaimWorker,
    Configure,
    Message,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
    Submit,
    Tick,
    VmGone,
    VmUpdate,
    Work,
    WorkerUnreachable,
    WorkKind,
)
from .resources import Resources
from .services import Replica, ReplicaPool

__all__ = ["ShardScheduler", "Snapshot"]

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05
ANSWERS_KEPT = 20_000


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Counts for status and metrics."""

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
    """Decisions for one shard.

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
        self._rng = rng
        self._config = Configuration()
        self._authority = Authority(shard, 0, 0.0, False)
        self._fleet = Fleet()
        self._pools: dict[str, ReplicaPool] = {}
        self._jobs: dict[str, Job] = {}
        self._queues: dict[str, deque[str]] = {}
        self._attempts: dict[str, Attempt] = {}
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._counter = 0
        self._out: list[Message] = []
        self._handlers: dict[type, t.Callable[[float, t.Any], None]] = {
            Authority: self._on_authority,
            Cancel: self._on_cancel,
            ClaimReply: self._on_claim_reply,
            Configure: self._on_configure,
            PollReply: self._on_poll_reply,
            StartReply: self._on_start_reply,
            Submit: self._on_submit,
            Tick: self._on_tick,
            VmGone: self._on_vm_gone,
            VmUpdate: self._on_vm_update,
            WorkerUnreachable: self._on_unreachable,
        }

    def handle(self, now: float, msg: Message) -> list[Message]:
        """Take one message and return the messages that follow from it."""
        self._out = []
        handler = self._handlers.get(type(msg))
        if handler is not None:
            handler(now, msg)
            self._reconcile(now)
            self._place(now)
        return self._out

    def explain(self, request_id: str) -> str:
        """Return one sentence that says where a request stands."""
        if request_id in self._answers:
            answer = self._answers[request_id]
            return f"The request was answered: {answer.code.meaning}"
        job = self._jobs.get(request_id)
        if job is None:
            return "No request with this id is known here."
        if not job.pending:
            return f"All {job.work.tasks} tasks are placed; the request is running."
        if job.work.kind is WorkKind.REQUEST:
            return f"All executors of {job.work.target} in {self.shard} are busy."
        return f"No usable VM in {self.shard} has room for {job.work.need}."

    def snapshot(self) -> Snapshot:
        """Return counts for status and metrics."""
        vms = self._fleet.vms.values()
        return Snapshot(
            shard=self.shard,
            epoch=self._authority.epoch,
            queued=sum(bool(job.pending) for job in self._jobs.values()),
            running=len(self._attempts),
            vms=len(vms),
            usable=sum(vm.usable for vm in vms),
            claimed=sum(vm.claimed for vm in vms),
            leaving=sum(vm.leaving for vm in vms),
            replicas=sum(len(pool.replicas) for pool in self._pools.values()),
            used=self._fleet.used(),
            total=self._fleet.total(),
        )

    def _on_configure(self, now: float, msg: Configure) -> None:
        if msg.config.number < self._config.number:
            return
        self._config = msg.config
        for name, spec in msg.config.services.items():
            pool = self._pools.setdefault(name, ReplicaPool(spec))
            pool.spec = spec

    def _on_authority(self, now: float, msg: Authority) -> None:
        if msg.epoch < self._authority.epoch:
            return
        risen = msg.epoch > self._authority.epoch
        self._authority = msg
        if risen:
            for vm in self._fleet.vms.values():
                vm.claimed = False
                self._claim(vm)

    def _on_vm_update(self, now: float, msg: VmUpdate) -> None:
        known = msg.vm.name in self._fleet.vms
        vm = self._fleet.update(msg.vm, msg.leaving)
        if not known:
            self._claim(vm)

    def _on_vm_gone(self, now: float, msg: VmGone) -> None:
        for attempt in [a for a in self._attempts.values() if a.vm == msg.vm]:
            self._lose(now, attempt)
        self._fleet.remove(msg.vm)

    def _claim(self, vm: Vm) -> None:
        if self._authority.epoch:
            self._out.append(ClaimWorker(vm.spec.name, self._authority.epoch))

    def _on_claim_reply(self, now: float, msg: ClaimReply) -> None:
        vm = self._fleet.vms.get(msg.vm)
        if vm is None or not msg.accepted or msg.epoch != self._authority.epoch:
            return
        vm.claimed = True
        vm.clock_ms, vm.clock_at = msg.clock_ms, now
        for report in msg.attempts:
            self._adopt(now, vm, report)
            self._on_report(now, report)

    def _adopt(self, now: float, vm: Vm, report: AttemptReport) -> None:
        if report.attempt_id in self._attempts:
            return
        if report.state is not AttemptState.RUNNING:
            return
        work = Work(
            request_id=report.request_id,
            kind=report.kind,
            team=report.team,
            target=report.target,
            need=report.need,
            exclusive_key=report.exclusive_key,
        )
        attempt = Attempt(
            report.attempt_id, work, report.task, vm.spec.name, report.executor
        )
        self._register(attempt)

    def _register(self, attempt: Attempt) -> None:
        work = attempt.work
        self._attempts[attempt.attempt_id] = attempt
        self._fleet.charge(attempt.vm, attempt.attempt_id, work.need)
        pool = self._pools.get(work.target)
        if pool is None:
            return
        if attempt.is_replica:
            slots = pool.spec.slots
            pool.add(Replica(attempt.attempt_id, attempt.vm, slots))
        elif attempt.executor in pool.replicas:
            pool.take(pool.replicas[attempt.executor])

    def _on_poll_reply(self, now: float, msg: PollReply) -> None:
        vm = self._fleet.vms.get(msg.vm)
        if vm is None or msg.epoch != self._authority.epoch:
            return
        vm.clock_ms, vm.clock_at = msg.clock_ms, now
        vm.leaving = vm.leaving or msg.leaving
        for report in msg.attempts:
            self._on_report(now, report)

    def _on_start_reply(self, now: float, msg: StartReply) -> None:
        attempt = self._attempts.get(msg.attempt_id)
        if attempt is None:
            return
        if msg.code in (Code.OK, Code.ATTEMPT_REPEATED):
            self._confirm(attempt)
        elif msg.code.outcome is Outcome.NOT_RUN:
            self._finish(attempt)
            self._retry(now, attempt)

    def _confirm(self, attempt: Attempt) -> None:
        attempt.running = True
        pool = self._pools.get(attempt.work.target)
        if pool is not None and attempt.attempt_id in pool.replicas:
            pool.replicas[attempt.attempt_id].ready = True
            pool.refresh(attempt.attempt_id)

    def _on_report(self, now: float, report: AttemptReport) -> None:
        attempt = self._attempts.get(report.attempt_id)
        if attempt is None:
            return
        if report.state is AttemptState.RUNNING:
            self._confirm(attempt)
            return
        self._finish(attempt)
        job = self._jobs.get(attempt.work.request_id)
        if job is None:
            return
        if report.state is AttemptState.SUCCEEDED:
            job.parts[attempt.task] = report.body
            if len(job.parts) == job.work.tasks:
                parts = tuple(job.parts[task] for task in range(job.work.tasks))
                self._answer(job, Code.OK, parts)
        elif report.state is AttemptState.CHECKPOINTED:
            self._requeue(now, job, attempt.task)
        else:
            self._answer(job, Code.FAILED, (report.body,))

    def _finish(self, attempt: Attempt) -> None:
        """Release all that an ended attempt held."""
        if self._attempts.pop(attempt.attempt_id, None) is None:
            return
        self._fleet.release(attempt.vm, attempt.attempt_id)
        pool = self._pools.get(attempt.work.target)
        if pool is not None and attempt.is_replica:
            pool.remove(attempt.attempt_id)
        elif pool is not None:
            pool.give_back(attempt.executor)
        job = self._jobs.get(attempt.work.request_id)
        if job is not None:
            job.attempts.discard(attempt.attempt_id)

    def _retry(self, now: float, attempt: Attempt) -> None:
        """Queue the task of an attempt that has not run."""
        job = self._jobs.get(attempt.work.request_id)
        if job is not None:
            job.retry_at = now + RETRY_DELAY_S
            self._requeue(now, job, attempt.task)

    def _lose(self, now: float, attempt: Attempt) -> None:
        """Handle an attempt whose worker is lost."""
        self._finish(attempt)
        job = self._jobs.get(attempt.work.request_id)
        if job is None:
            return
        job.failures += 1
        if job.work.idempotent and job.failures < MAX_ATTEMPTS:
            self._requeue(now, job, attempt.task)
        else:
            self._answer(job, Code.WORKER_LOST)

    def _on_unreachable(self, now: float, msg: WorkerUnreachable) -> None:
        vm = self._fleet.vms.get(msg.vm)
        if vm is not None:
            vm.claimed = False
            self._claim(vm)

    def _on_submit(self, now: float, msg: Submit) -> None:
        work = msg.work
        if work.request_id in self._answers:
            self._out.append(self._answers[work.request_id])
            return
        if work.request_id in self._jobs:
            self._jobs[work.request_id].reply_to = msg.reply_to
            return
        job = Job(work, msg.reply_to, deque(range(work.tasks)))
        self._jobs[work.request_id] = job
        if work.kind is WorkKind.REQUEST and work.target not in self._pools:
            self._answer(job, Code.UNKNOWN_TARGET)
        else:
            self._enqueue(job)

    def _requeue(self, now: float, job: Job, task: int) -> None:
        job.pending.append(task)
        self._enqueue(job)

    def _enqueue(self, job: Job) -> None:
        queue = self._queues.setdefault(job.work.target, deque())
        if job.work.request_id not in queue:
            queue.append(job.work.request_id)

    def _on_cancel(self, now: float, msg: Cancel) -> None:
        job = self._jobs.get(msg.request_id)
        if job is None:
            return
        for attempt_id in sorted(job.attempts):
            vm = self._attempts[attempt_id].vm
            self._out.append(StopAttempt(vm, attempt_id, self._authority.epoch))
        self._answer(job, Code.STOPPED if job.started else Code.CANCELLED)

    def _on_tick(self, now: float, msg: Tick) -> None:
        for job in [j for j in self._jobs.values() if j.work.deadline <= now]:
            self._answer(job, Code.TIMED_OUT if job.started else Code.EXPIRED)

    def _answer(self, job: Job, code: Code, parts: tuple[t.Any, ...] = ()) -> None:
        request_id = job.work.request_id
        answer = Answer(
            request_id, code, code.outcome, parts, code.meaning, 0.0, job.reply_to
        )
        del self._jobs[request_id]
        self._answers[request_id] = answer
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        self._out.append(answer)

    def _reconcile(self, now: float) -> None:
        """Start the replicas that the ticket asks for."""
        for name in sorted(self._pools):
            pool = self._pools[name]
            for _ in range(pool.missing()):
                if not self._start(now, self._replica_work(pool.spec), 0):
                    break

    def _replica_work(self, spec: ServiceSpec) -> Work:
        return Work(
            request_id=f"service/{spec.name}",
            kind=WorkKind.SERVICE,
            team=spec.team,
            target=spec.name,
            group=spec.group,
            need=spec.need,
        )

    def _place(self, now: float) -> None:
        for queue in self._queues.values():
            for _ in range(len(queue)):
                request_id = queue.popleft()
                job = self._jobs.get(request_id)
                if job is None:
                    continue
                if not self._place_job(now, job):
                    queue.appendleft(request_id)
                    break

    def _place_job(self, now: float, job: Job) -> bool:
        if job.retry_at > now:
            return False
        while job.pending:
            if not self._start(now, job.work, job.pending[0], job):
                return False
            job.pending.popleft()
        return True

    def _start(self, now: float, work: Work, task: int, job: Job | None = None) -> bool:
        """Start one task if it has room; charge before the start is sent."""
        if now >= self._authority.until:
            return False
        executor = ""
        if work.kind is WorkKind.REQUEST:
            replica = self._pools[work.target].choose(self._rng)
            vm = self._fleet.vms.get(replica.vm) if replica else None
            executor = replica.attempt_id if replica else ""
        else:
            vm = self._fleet.first_fit(work.need, work.group)
        if vm is None:
            return False
        attempt = Attempt(self._attempt_id(), work, task, vm.spec.name, executor)
        attempt.started_at = now
        self._register(attempt)
        if job is not None:
            job.started = True
            job.attempts.add(attempt.attempt_id)
        self._out.append(self._start_message(vm, attempt))
        return True

    def _start_message(self, vm: Vm, attempt: Attempt) -> StartAttempt:
        return StartAttempt(
            vm=vm.spec.name,
            attempt_id=attempt.attempt_id,
            epoch=self._authority.epoch,
            valid_until_ms=vm.valid_until_ms(self._authority.until),
            work=attempt.work,
            task=attempt.task,
            executor=attempt.executor,
        )

    def _attempt_id(self) -> str:
        """Return an id unique over processes and restarts: the epoch is."""
        self._counter += 1
        return f"{self.shard}/{self._authority.epoch}/{self._counter}"
