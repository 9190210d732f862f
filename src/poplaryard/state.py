"""State of one shard, shared by the components of its scheduler."""

import heapq
import random
import typing as t
from dataclasses import dataclass, field

from .attempts import AttemptTable
from .configuration import Configuration
from .fencing import valid_until_ms
from .fleet import Fleet, Vm
from .jobs import Attempt, Job
from .messages import (
    AuditEvent,
    Authority,
    Message,
    StartAttempt,
    StopAttempt,
    StopMode,
    Work,
    WorkKind,
)
from .quota import Quotas
from .resources import Resources
from .services import ReplicaPool
from .takeover import Takeover

__all__ = ["ShardState", "Start"]

# Time for which a start is valid: a worker refuses one that it reads later. It is short
# so that a lost start is soon sent again.
START_VALID_S = 2.0

# A new owner learns of running replicas from the claim replies. It waits this long for
# them before it starts replicas that seem to be missing.
CLAIMS_WAIT_S = 1.0

# Largest assumed difference between the wall clocks of two processes.
SKEW_S = 5.0


class Start(t.NamedTuple):
    """One task with the VM and executor chosen for it."""

    vm: Vm
    work: Work
    task: int
    charge: Resources
    executor: str = ""


@dataclass(slots=True)
class ShardState:
    """Fleet, attempts, jobs and outgoing messages of one shard.

    Attributes
    ----------
    takeover : Takeover or None
        Take-over that began the current epoch; None if it is not tracked.
    awaiting_first_claim : set of str
        VMs that have not been claimed since the current epoch began.
    out : list of Message
        Messages to send as the result of the current call.
    room_freed : bool
        Whether capacity or slots became free since the last placement pass.
    owned_since : float
        Time at which the current epoch began.
    on_end : callable
        Called with the time and an attempt that has ended.
    on_close : callable
        Called with the time and a job that starts no more tasks.
    """

    shard: str
    rng: random.Random
    config: Configuration = field(default_factory=Configuration)
    authority: Authority = Authority("", 0, float("-inf"), False)
    fleet: Fleet = field(default_factory=Fleet)
    pools: dict[str, ReplicaPool] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    quotas: Quotas = field(default_factory=Quotas)
    takeover: Takeover | None = None
    awaiting_first_claim: set[str] = field(default_factory=set)
    out: list[Message] = field(default_factory=list)
    room_freed: bool = False
    owned_since: float = float("-inf")
    on_end: t.Callable[[float, Attempt], None] = lambda now, attempt: None
    on_close: t.Callable[[float, Job], None] = lambda now, job: None
    attempts: AttemptTable = field(init=False)
    _attempt_count: int = 0
    _deadlines: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.attempts = AttemptTable(self.fleet, self.pools, self.quotas)

    def serves_exclusive(self) -> bool:
        """Return whether exclusive and non-idempotent work may be started.

        Without a `Takeover`, every VM of the shard must have been claimed.
        """
        if self.takeover is not None:
            return self.authority.exclusive and self.takeover.serves_exclusive()
        all_claimed = bool(self.fleet.vms) and not self.awaiting_first_claim
        return self.authority.exclusive and all_claimed

    def excludes_earlier_run(self, now: float, wall: float, work: Work) -> bool:
        """Return whether no earlier owner can have run work that no worker reports.

        That holds for ids issued after the current epoch began, and for every id once
        all workers of the shard were claimed.
        """
        owned_since_wall = wall - (now - self.owned_since)
        if work.issued_at > owned_since_wall + SKEW_S:
            return True
        if self.takeover is not None:
            return self.takeover.state == "complete"
        return not self.awaiting_first_claim

    def may_run_unreported(self, issued_at: float) -> bool:
        """Return whether a non-idempotent request that no worker reports may be run.

        Parameters
        ----------
        issued_at : float
            Wall-clock time at which the request's id was issued.
        """
        if self.takeover is None or not self.serves_exclusive():
            # The work waits until `serves_exclusive`, and is checked again before it
            # is started.
            return True
        return self.takeover.may_run_unreported(issued_at)

    def start(self, now: float, start: Start) -> Attempt | None:
        """Charge a VM and send it a start; return None if the authority has lapsed."""
        latest = min(self.authority.until, now + START_VALID_S)
        if now >= latest:
            return None
        vm, work = start.vm, start.work
        attempt = Attempt(self._attempt_id(), work, start.task, vm.name, start.executor)
        attempt.sent_at = now
        attempt.latest_start = latest
        attempt.valid_until_ms = valid_until_ms(vm.clock_ms, vm.clock_at, latest)
        self.attempts.add(vm, attempt, start.charge)
        self.out.append(
            StartAttempt(
                vm=vm.name,
                attempt_id=attempt.attempt_id,
                epoch=self.authority.epoch,
                valid_until_ms=attempt.valid_until_ms,
                work=work,
                task=start.task,
                executor=start.executor,
            )
        )
        self.audit_attempt("placed", attempt)
        return attempt

    def audit_attempt(self, action: str, attempt: Attempt, cause: str = "") -> None:
        """Emit an audit event for an attempt; requests are too many to be audited."""
        if attempt.work.kind is not WorkKind.REQUEST:
            self.audit_vm(action, attempt.vm, cause, attempt.work.request_id)

    def audit_vm(
        self, action: str, vm: str, cause: str = "", request_id: str = ""
    ) -> None:
        """Emit an audit event for a VM; `ShardTask` sets its time."""
        number = self.config.number
        self.out.append(AuditEvent(action, 0.0, number, vm, request_id, cause))

    def stop(self, now: float, attempt: Attempt, mode: StopMode) -> None:
        """Ask a worker to end one attempt."""
        attempt.stop_sent_at = now
        attempt.stop_mode = mode
        epoch = self.authority.epoch
        self.out.append(StopAttempt(attempt.vm, attempt.attempt_id, epoch, mode))
        self.audit_attempt(mode.value, attempt)

    def end(self, now: float, attempt: Attempt) -> Job | None:
        """Release what an ended attempt held; return its job unless it is answered."""
        self.attempts.end(attempt.attempt_id)
        self.on_end(now, attempt)
        self.room_freed = True
        job = self.jobs.get(attempt.work.request_id)
        if job is not None:
            job.attempts.discard(attempt.attempt_id)
        return job

    def hold(self, job: Job, task: int, vm: Vm, amount: Resources) -> None:
        """Hold capacity on a VM for a task of a job."""
        self.fleet.hold(vm, _hold_id(job, task), amount)
        job.held[task] = vm.name

    def release_hold(self, job: Job, task: int) -> Resources:
        """Release the capacity held for a task and return its amount."""
        vm = job.held.pop(task)
        self.room_freed = True
        return self.fleet.release_hold(vm, _hold_id(job, task))

    def release_holds(self, job: Job) -> None:
        """Release the capacity held for all tasks of a job."""
        for task in list(job.held):
            self.release_hold(job, task)

    def drop_pending(self, job: Job, task: int) -> None:
        """Stop waiting to start a task, because an attempt of it exists already."""
        if task in job.pending:
            job.pending.remove(task)
        if task in job.held:
            self.release_hold(job, task)

    def close(self, now: float, job: Job) -> None:
        """Release the holds and the queue entry of a job that starts no more tasks."""
        self.release_holds(job)
        self.on_close(now, job)

    def add_job(self, job: Job) -> None:
        """Add a job and watch its deadline."""
        self.jobs[job.request_id] = job
        if job.work.deadline != float("inf"):
            heapq.heappush(self._deadlines, (job.work.deadline, job.request_id))

    def overdue(self, now: float) -> list[Job]:
        """Return the unanswered jobs whose deadline has passed since the last call."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            job = self.jobs.get(request_id)
            if job is not None and job.work.deadline <= now:
                found.append(job)
        return found

    def _attempt_id(self) -> str:
        """Return an id that is unique across processes and restarts, as epochs are."""
        self._attempt_count += 1
        return f"{self.shard}/{self.authority.epoch}/{self._attempt_count}"


def _hold_id(job: Job, task: int) -> str:
    return f"{job.request_id}/{task}"
