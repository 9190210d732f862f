"""State of one shard that the parts of its scheduler share."""

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

# A start that the worker reads later than this is refused by it. A short time lets a
# lost start be tried again soon.
START_VALID_S = 2.0

# A new owner learns of running replicas from the claims. It waits for them this long
# before it starts replicas that seem to be missing.
CLAIMS_WAIT_S = 1.0

# Largest difference of two wall clocks.
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
        Progress of the take-over that began the present epoch, if it is known.
    awaiting_first_claim : set of str
        VMs that have not been claimed since the present epoch began.
    out : list of Message
        Messages of the present call.
    room_freed : bool
        Whether capacity or slots became free since the last placement pass.
    owned_since : float
        Time at which the present epoch began.
    on_end : callable
        Takes a time and an attempt that has ended.
    on_close : callable
        Takes a time and a job that starts no more tasks.
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
    _started: int = 0
    _deadlines: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.attempts = AttemptTable(self.fleet, self.pools, self.quotas)

    def serves_exclusive(self) -> bool:
        """Tell whether exclusive and non-idempotent work may be started.

        Without a `Takeover`, every VM of the shard must have been claimed.
        """
        if self.takeover is not None:
            return self.authority.exclusive and self.takeover.serves_exclusive()
        known = bool(self.fleet.vms) and not self.awaiting_first_claim
        return self.authority.exclusive and known

    def all_known(self, now: float, wall: float, work: Work) -> bool:
        """Tell whether no earlier owner can have run work that no worker reports.

        It is so once every worker of the shard was claimed, and for ids issued after
        the present epoch began.
        """
        taken_wall = wall - (now - self.owned_since)
        if work.issued_at > taken_wall + SKEW_S:
            return True
        if self.takeover is not None:
            return self.takeover.state == "complete"
        return not self.awaiting_first_claim

    def may_run_unreported(self, issued_at: float) -> bool:
        """Tell whether a non-idempotent id that no worker reports has never run."""
        if self.takeover is None or not self.serves_exclusive():
            # Decided when it would be started.
            return True
        return self.takeover.may_run_unreported(issued_at)

    def start(self, now: float, start: Start) -> Attempt | None:
        """Charge a VM and send it one start; None if the authority has lapsed."""
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
        """Record what happens to a task; single requests are too many for the trail."""
        if attempt.work.kind is not WorkKind.REQUEST:
            self.audit_vm(action, attempt.vm, cause, attempt.work.request_id)

    def audit_vm(
        self, action: str, vm: str, cause: str = "", request_id: str = ""
    ) -> None:
        """Record what happens to a VM."""
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
        """Release all that an ended attempt held; return its job if it is open."""
        self.attempts.end(attempt.attempt_id)
        self.on_end(now, attempt)
        self.room_freed = True
        job = self.jobs.get(attempt.work.request_id)
        if job is not None:
            job.attempts.discard(attempt.attempt_id)
        return job

    def hold(self, job: Job, task: int, vm: Vm, amount: Resources) -> None:
        """Keep room for a task of a job."""
        self.fleet.hold(vm, _hold_id(job, task), amount)
        job.held[task] = vm.name

    def release_hold(self, job: Job, task: int) -> Resources:
        """Give up the room kept for one task of a job and return its amount."""
        vm = job.held.pop(task)
        self.room_freed = True
        return self.fleet.release_hold(vm, _hold_id(job, task))

    def release_holds(self, job: Job) -> None:
        """Give up the room kept for a job."""
        for task in list(job.held):
            self.release_hold(job, task)

    def drop_pending(self, job: Job, task: int) -> None:
        """Start a task no more, since an attempt of it is known."""
        if task in job.pending:
            job.pending.remove(task)
        if task in job.held:
            self.release_hold(job, task)

    def close(self, now: float, job: Job) -> None:
        """Give up the room and the place in the queue of a job that starts no more."""
        self.release_holds(job)
        self.on_close(now, job)

    def add_job(self, job: Job) -> None:
        """Take up a job and watch its deadline."""
        self.jobs[job.request_id] = job
        if job.work.deadline != float("inf"):
            heapq.heappush(self._deadlines, (job.work.deadline, job.request_id))

    def overdue(self, now: float) -> list[Job]:
        """Return the open jobs whose deadline has passed since the last call."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            job = self.jobs.get(request_id)
            if job is not None and job.work.deadline <= now:
                found.append(job)
        return found

    def _attempt_id(self) -> str:
        """Return an id unique over processes and restarts, since each epoch is."""
        self._started += 1
        return f"{self.shard}/{self.authority.epoch}/{self._started}"


def _hold_id(job: Job, task: int) -> str:
    return f"{job.request_id}/{task}"
