"""Scheduler of one shard: decides alone and in memory."""

import random
import typing as t
from collections import OrderedDict, deque
from dataclasses import dataclass, replace

from .attempts import AttemptTable, fate, lost_after
from .codes import Code, Outcome
from .configuration import Configuration
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
    StopMode,
    Submit,
    Tick,
    VmGone,
    VmUpdate,
    Work,
    WorkerUnreachable,
    WorkKind,
)
from .placement import BatchTask, ReplicaTask, choose_vm
from .resources import ZERO, Resources
from .services import CLOSE_AFTER_S, ReplicaPool, split

__all__ = ["ShardScheduler", "Snapshot"]

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05
ANSWERS_KEPT = 20_000

# A start that the worker reads later than this is refused by it. A short time lets a
# lost start be tried again soon.
START_VALID_S = 2.0

# A claim that brings no reply at all is repeated after this time. It is longer than the
# back-off and time-out of a link, which a new claim would restart.
CLAIM_AGAIN_S = 5.0

# Interval at which a worker with attempts in doubt is claimed again.
RECHECK_S = 0.5

# A stop whose effect is not reported is sent again after this time.
STOP_AGAIN_S = 1.0


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
        self._authority = Authority(shard, 0, float("-inf"), False)
        self._fleet = Fleet()
        self._pools: dict[str, ReplicaPool] = {}
        self._attempts = AttemptTable(self._fleet, self._pools)
        self._jobs: dict[str, Job] = {}
        self._queues: dict[str, deque[str]] = {}
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._unclaimed: dict[str, Vm] = {}
        self._doubtful: dict[str, Vm] = {}
        self._gone: set[str] = set()
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
            return f"The request was answered: {self._answers[request_id].detail}"
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
            used=self._fleet.used,
            total=self._fleet.total,
        )

    # Configuration and authority

    def _on_configure(self, now: float, msg: Configure) -> None:
        if msg.config.number < self._config.number:
            return
        self._config = msg.config
        for name, spec in msg.config.services.items():
            self._pools.setdefault(name, ReplicaPool(spec)).configure(spec)
        self._share_replicas()

    def _share_replicas(self) -> None:
        """Compute the part of each service's replicas that this shard runs."""
        own = [vm.spec for vm in self._fleet.vms.values()]
        for name, pool in self._pools.items():
            spec = self._config.services.get(name)
            if spec is None or not own:
                pool.wanted = 0
                continue
            weights = {
                data_centre: len(self._config.vms(data_centre))
                for data_centre in self._config.data_centres()
            }
            pool.wanted = split(spec.replicas, weights).get(own[0].data_centre, 0)

    def _on_authority(self, now: float, msg: Authority) -> None:
        if msg.epoch < self._authority.epoch:
            return
        risen = msg.epoch > self._authority.epoch
        self._authority = msg
        if risen:
            for vm in self._fleet.vms.values():
                self._claim(now, vm)

    def _lose_authority(self) -> None:
        """Start nothing more: a worker has seen a higher epoch."""
        self._authority = replace(self._authority, until=float("-inf"))

    # VMs and their claims

    def _on_vm_update(self, now: float, msg: VmUpdate) -> None:
        known = msg.vm.name in self._fleet.vms
        vm = self._fleet.update(msg.vm)
        self._gone.discard(vm.name)
        vm.listed_leaving = msg.leaving
        if not known:
            self._share_replicas()
            self._claim(now, vm)
        self._note_leaving(now, vm)

    def _note_leaving(self, now: float, vm: Vm) -> None:
        leaving = vm.listed_leaving or vm.says_leaving
        vm.leaving = leaving
        self._fleet.refresh(vm)
        if leaving:
            close_at = now if vm.says_leaving else now + CLOSE_AFTER_S
            for pool in self._pools.values():
                pool.retire(vm.name, close_at)

    def _on_vm_gone(self, now: float, msg: VmGone) -> None:
        """Forget a VM once nothing can run on it any more."""
        vm = self._fleet.vms.get(msg.vm)
        if vm is not None:
            self._gone.add(vm.name)
            self._set_unclaimed(now, vm)

    def _set_unclaimed(self, now: float, vm: Vm) -> None:
        vm.claimed = False
        vm.lost_at = min(vm.lost_at, now)
        self._unclaimed[vm.name] = vm
        self._doubtful.pop(vm.name, None)
        self._fleet.refresh(vm)

    def _claim(self, now: float, vm: Vm) -> None:
        """Claim a worker; nothing is placed there until it has answered."""
        vm.claimed = False
        self._unclaimed[vm.name] = vm
        self._fleet.refresh(vm)
        if self._authority.epoch and vm.name not in self._gone:
            vm.claim_sent_at = now
            self._out.append(ClaimWorker(vm.name, self._authority.epoch))

    def _on_unreachable(self, now: float, msg: WorkerUnreachable) -> None:
        vm = self._fleet.vms.get(msg.vm)
        if vm is None:
            return
        answered = vm.claimed
        self._set_unclaimed(now, vm)
        if answered:
            self._claim(now, vm)
        else:
            # The claim itself failed; the next tick repeats it.
            vm.claim_sent_at = float("-inf")

    def _on_claim_reply(self, now: float, msg: ClaimReply) -> None:
        vm = self._fleet.vms.get(msg.vm)
        if vm is None or vm.name in self._gone:
            return
        if not msg.accepted and msg.epoch > self._authority.epoch:
            self._lose_authority()
        if not msg.accepted or msg.epoch != self._authority.epoch:
            return
        if vm.clock_at > vm.claim_sent_at and msg.clock_ms <= vm.clock_ms:
            # A later report was handled first, so this reply may name ended attempts.
            self._claim(now, vm)
            return
        self._set_claimed(now, vm, msg)

    def _set_claimed(self, now: float, vm: Vm, msg: ClaimReply) -> None:
        vm.claimed = True
        vm.lost_at = float("inf")
        vm.clock_ms, vm.clock_at = msg.clock_ms, now
        self._unclaimed.pop(vm.name, None)
        found = fate(vm, self._attempts.on_vm(vm), msg)
        for report in msg.attempts:
            if report.attempt_id not in self._attempts:
                self._adopt(now, vm, report)
            self._on_report(now, vm, report)
        for attempt in found.not_run:
            self._not_run(now, attempt)
        for attempt in found.lost:
            self._lost(now, attempt)
        if found.in_doubt:
            self._doubtful[vm.name] = vm
        else:
            self._doubtful.pop(vm.name, None)
        self._fleet.refresh(vm)

    def _adopt(self, now: float, vm: Vm, report: AttemptReport) -> None:
        """Take over an attempt that an earlier owner started."""
        if report.state is not AttemptState.RUNNING:
            return
        work = Work(
            request_id=report.request_id,
            kind=report.kind,
            team=report.team,
            target=report.target,
            need=report.need,
            idempotent=False,
            exclusive_key=report.exclusive_key,
        )
        attempt = Attempt(
            report.attempt_id, work, report.task, vm.name, report.executor, now
        )
        self._attempts.add(vm, attempt, report.need)
        job = self._jobs.get(report.request_id)
        if job is not None:
            job.attempts.add(report.attempt_id)

    def _on_poll_reply(self, now: float, msg: PollReply) -> None:
        vm = self._fleet.vms.get(msg.vm)
        if vm is None:
            return
        if msg.epoch > self._authority.epoch:
            self._lose_authority()
        if msg.epoch != self._authority.epoch:
            return
        vm.clock_ms, vm.clock_at = msg.clock_ms, now
        if vm.says_leaving != msg.leaving:
            vm.says_leaving = msg.leaving
            self._note_leaving(now, vm)
        for report in msg.attempts:
            self._on_report(now, vm, report)

    # Attempts

    def _on_start_reply(self, now: float, msg: StartReply) -> None:
        attempt = self._attempts.get(msg.attempt_id)
        if attempt is None:
            return
        if msg.code in (Code.OK, Code.ATTEMPT_REPEATED):
            self._attempts.confirm(now, attempt)
        elif msg.code.outcome is Outcome.NOT_RUN:
            if msg.code is Code.STALE_EPOCH:
                self._lose_authority()
            self._not_run(now, attempt)
        else:
            self._on_unreachable(now, WorkerUnreachable(msg.vm))

    def _on_report(self, now: float, vm: Vm, report: AttemptReport) -> None:
        attempt = self._attempts.get(report.attempt_id)
        if attempt is None:
            if report.state is AttemptState.RUNNING and vm.claimed:
                # Only a claim reply is complete enough to charge it.
                self._claim(now, vm)
            return
        if report.state is AttemptState.RUNNING:
            self._attempts.confirm(now, attempt)
            self._fleet.raise_charge(vm, attempt.attempt_id, report.used)
            return
        self._end(attempt)
        job = self._jobs.get(attempt.work.request_id)
        if job is not None:
            self._settle(now, job, attempt, report)

    def _settle(
        self, now: float, job: Job, attempt: Attempt, report: AttemptReport
    ) -> None:
        if report.state is AttemptState.SUCCEEDED:
            job.parts[attempt.task] = report.body
            if len(job.parts) == job.work.tasks:
                parts = tuple(job.parts[task] for task in range(job.work.tasks))
                self._answer(job, Code.OK, parts)
        elif job.cancelled:
            self._settle_cancelled(job)
        elif report.state is AttemptState.CHECKPOINTED:
            self._requeue(job, attempt.task)
        elif job.work.idempotent and job.failures + 1 < MAX_ATTEMPTS:
            job.failures += not attempt.preempted
            self._retry(now, job, attempt.task)
        elif report.state is AttemptState.FAILED:
            self._answer(job, Code.FAILED, (report.body,))
        else:
            self._answer(job, Code.STOPPED)

    def _end(self, attempt: Attempt) -> None:
        """Release all that an ended attempt held."""
        self._attempts.end(attempt.attempt_id)
        job = self._jobs.get(attempt.work.request_id)
        if job is not None:
            job.attempts.discard(attempt.attempt_id)

    def _not_run(self, now: float, attempt: Attempt) -> None:
        """Queue the task of an attempt that has not run and never will."""
        self._end(attempt)
        job = self._jobs.get(attempt.work.request_id)
        if job is None:
            return
        if job.cancelled:
            self._settle_cancelled(job)
            return
        self._retry(now, job, attempt.task)

    def _lost(self, now: float, attempt: Attempt) -> None:
        """Handle an attempt that has ended with its worker, with unknown effect."""
        self._end(attempt)
        job = self._jobs.get(attempt.work.request_id)
        if job is None:
            return
        job.failures += 1
        if job.cancelled or not job.work.idempotent or job.failures >= MAX_ATTEMPTS:
            self._answer(job, Code.WORKER_LOST)
        else:
            self._requeue(job, attempt.task)

    def _retry(self, now: float, job: Job, task: int) -> None:
        job.retry_at = now + RETRY_DELAY_S
        self._requeue(job, task)

    # Jobs

    def _on_submit(self, now: float, msg: Submit) -> None:
        work = msg.work
        if work.request_id in self._answers:
            answer = self._answers[work.request_id]
            self._out.append(replace(answer, reply_to=msg.reply_to))
            return
        if work.request_id in self._jobs:
            self._jobs[work.request_id].reply_to = msg.reply_to
            return
        job = Job(work, msg.reply_to, now, deque(range(work.tasks)))
        self._jobs[work.request_id] = job
        if work.kind is WorkKind.REQUEST and work.target not in self._pools:
            self._answer(job, Code.UNKNOWN_TARGET)
        else:
            self._enqueue(job)

    def _requeue(self, job: Job, task: int) -> None:
        job.pending.append(task)
        self._enqueue(job)

    def _enqueue(self, job: Job) -> None:
        queue = self._queues.setdefault(job.work.target, deque())
        if job.work.request_id not in queue:
            queue.append(job.work.request_id)

    def _on_cancel(self, now: float, msg: Cancel) -> None:
        job = self._jobs.get(msg.request_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        job.pending.clear()
        if job.work.idempotent:
            for attempt_id in sorted(job.attempts):
                attempt = self._attempts.get(attempt_id)
                if attempt is not None:
                    self._stop(now, attempt, StopMode.STOP)
        self._settle_cancelled(job)

    def _settle_cancelled(self, job: Job) -> None:
        """Answer a cancelled job once it is certain whether it has run."""
        if not job.attempts:
            self._answer(job, Code.STOPPED if job.started else Code.CANCELLED)

    def _stop(self, now: float, attempt: Attempt, mode: StopMode) -> None:
        attempt.stop_sent_at = now
        epoch = self._authority.epoch
        self._out.append(StopAttempt(attempt.vm, attempt.attempt_id, epoch, mode))

    def _answer(self, job: Job, code: Code, parts: tuple[t.Any, ...] = ()) -> None:
        request_id = job.work.request_id
        answer = Answer(
            request_id, code, code.outcome, parts, code.meaning, 0.0, job.reply_to
        )
        self._jobs.pop(request_id, None)
        self._answers[request_id] = answer
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        self._out.append(answer)

    # Time

    def _on_tick(self, now: float, msg: Tick) -> None:
        for job in [j for j in self._jobs.values() if j.work.deadline <= now]:
            self._answer(job, Code.TIMED_OUT if job.started else Code.EXPIRED)
        for vm in list(self._unclaimed.values()):
            self._check_unclaimed(now, vm)
        for vm in list(self._doubtful.values()):
            if now >= vm.claim_sent_at + RECHECK_S:
                self._claim(now, vm)

    def _check_unclaimed(self, now: float, vm: Vm) -> None:
        for attempt in self._attempts.on_vm(vm):
            if now >= lost_after(attempt, vm.lost_at):
                self._lost(now, attempt)
        if vm.name in self._gone:
            if not vm.charges:
                self._forget(vm)
        elif now >= vm.claim_sent_at + CLAIM_AGAIN_S:
            self._claim(now, vm)

    def _forget(self, vm: Vm) -> None:
        self._fleet.remove(vm.name)
        self._unclaimed.pop(vm.name, None)
        self._gone.discard(vm.name)
        self._share_replicas()

    # Placement

    def _reconcile(self, now: float) -> None:
        """Start the replicas that the ticket asks for; drain those it does not."""
        for name in sorted(self._pools):
            pool = self._pools[name]
            for replica in pool.reconcile(now):
                attempt = self._attempts.get(replica.attempt_id)
                if attempt and now >= attempt.stop_sent_at + STOP_AGAIN_S:
                    self._stop(now, attempt, StopMode.DRAIN)
            for _ in range(pool.missing()):
                if not self._start_replica(now, pool):
                    break

    def _start_replica(self, now: float, pool: ReplicaPool) -> bool:
        spec = pool.spec
        vm = choose_vm(
            ReplicaTask(spec.need, spec.group, pool.racks), self._fleet, self._rng
        )
        if vm is None:
            return False
        work = Work(
            request_id=f"service/{spec.name}",
            kind=WorkKind.SERVICE,
            team=spec.team,
            target=spec.name,
            group=spec.group,
            need=spec.need,
        )
        return self._start(now, vm, work, 0, "", spec.need) is not None

    def _place(self, now: float) -> None:
        for queue in self._queues.values():
            for _ in range(len(queue)):
                request_id = queue.popleft()
                job = self._jobs.get(request_id)
                if job is None or not job.pending:
                    continue
                if not self._place_job(now, job):
                    queue.appendleft(request_id)
                    break

    def _place_job(self, now: float, job: Job) -> bool:
        if job.retry_at > now:
            return False
        while job.pending:
            if not self._place_task(now, job, job.pending[0]):
                return False
            job.pending.popleft()
        return True

    def _place_task(self, now: float, job: Job, task: int) -> bool:
        work = job.work
        if work.kind is WorkKind.REQUEST:
            replica = self._pools[work.target].choose(self._rng)
            vm = self._fleet.vms[replica.vm] if replica else None
            executor, charge = replica.attempt_id if replica else "", ZERO
        else:
            vm = choose_vm(BatchTask(work.need, work.group), self._fleet, self._rng)
            executor, charge = "", work.need
        if vm is None:
            return False
        attempt = self._start(now, vm, work, task, executor, charge)
        if attempt is None:
            return False
        job.started = True
        job.attempts.add(attempt.attempt_id)
        return True

    def _start(
        self,
        now: float,
        vm: Vm,
        work: Work,
        task: int,
        executor: str,
        charge: Resources,
    ) -> Attempt | None:
        """Charge a VM and send it one start; None if the authority has lapsed."""
        latest = min(self._authority.until, now + START_VALID_S)
        if now >= latest:
            return None
        attempt = Attempt(self._attempt_id(), work, task, vm.name, executor, now)
        attempt.latest_start = latest
        attempt.valid_until_ms = vm.valid_until_ms(latest)
        self._attempts.add(vm, attempt, charge)
        self._out.append(
            StartAttempt(
                vm=vm.name,
                attempt_id=attempt.attempt_id,
                epoch=self._authority.epoch,
                valid_until_ms=attempt.valid_until_ms,
                work=work,
                task=task,
                executor=executor,
            )
        )
        return attempt

    def _attempt_id(self) -> str:
        """Return an id unique over processes and restarts, since each epoch is."""
        self._counter += 1
        return f"{self.shard}/{self._authority.epoch}/{self._counter}"
