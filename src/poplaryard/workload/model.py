"""Data types for jobs of several steps and the workers that run their tasks."""

import enum
import typing as t
from dataclasses import dataclass, field

from ..resources import ZERO, Resources

if t.TYPE_CHECKING:
    from .tenancy.keys import KeyTable

__all__ = [
    "AdviceCost",
    "EndedRun",
    "HoldReport",
    "JobSpec",
    "JobState",
    "Progress",
    "Queue",
    "QueueTable",
    "RunOutcome",
    "RunningRun",
    "StartOutcome",
    "StartReply",
    "StepSpec",
    "Suspect",
    "Tenant",
    "WorkerInfo",
]


class JobState(enum.StrEnum):
    """State of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state is terminal."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class AdviceCost:
    """Duration of a call to the advice service, and how long its tickets are valid.

    The advice service decides which workers may run a step, and issues a ticket for
    each of them.

    Attributes
    ----------
    base_s, per_worker_s : float
        A call takes `base_s` plus `per_worker_s` for each worker named, in seconds.
    valid_s : float
        Seconds for which a task may be started with the ticket.
    """

    base_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """Tenant that shares the workers of all groups with others.

    Attributes
    ----------
    weight : float
        Weight of its share when all is full.
    cap : Resources
        Most that it may have running on all workers; a resource that is 0 has no limit.
    blocked : bool
        Whether it may run nothing, since its cap is unreadable.
    """

    name: str
    weight: float = 1.0
    cap: Resources = ZERO
    blocked: bool = False


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue to which jobs are submitted, and the policy for them.

    Attributes
    ----------
    host, prefix : str
        Host name and path prefix of the requests that submit jobs to the queue.
    group : str
        Group of workers that runs the queue's tasks.
    priority : int
        0 is the most urgent.
    attempts : int
        Number of failed runs of one task after which its job fails.
    stretch, slack_s : float
        A job should be done within `stretch` times its critical path plus `slack_s`
        seconds.
    timeout_s : float
        Longest time to answer a request, in seconds.
    advice : AdviceCost or None
        Cost of a call to the advice service; None if its permission is not needed.
    public : bool
        Whether calls need no key of a tenant.
    """

    name: str
    host: str
    prefix: str
    group: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_s: float = 1.0
    timeout_s: float = 3.0
    advice: AdviceCost | None = None
    public: bool = False


@dataclass(frozen=True, slots=True)
class QueueTable:
    """Queues and groups in one version of the configuration.

    Attributes
    ----------
    capacity_checked : frozenset of str
        Groups whose workers reject tasks that exceed their capacity.
    tenants : dict of str to Tenant
        Tenants by name.
    keys : KeyTable or None
        Keys of the tenants; None if no key is required.
    problems : tuple of str
        What is invalid in the configuration of tenants, without any key.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    groups: tuple[str, ...] = ()
    capacity_checked: frozenset[str] = frozenset()
    max_body_bytes: int = 262144
    tenants: dict[str, Tenant] = field(default_factory=dict, hash=False)
    keys: "KeyTable | None" = None
    problems: tuple[str, ...] = ()

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path, or None."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Step of a job: identical tasks, started once the steps in `after` are done.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources that each task requests.
    estimate_s : float
        Estimated run time of a task in seconds.
    after : tuple of int
        Indices of the steps that have to be done first.
    checkpointable : bool
        Whether a stopped task can resume from a checkpoint.
    gang : bool
        Whether all tasks have to start, and end, together.
    same_rack : bool
        Whether tasks take longer if they are spread over several racks.
    label : str
        Label that a worker must have; empty for any worker.
    rack : str
        Rack that holds the data; tasks on other racks take longer. Empty for no
        preference.
    max_per_worker : int
        Maximum number of tasks of the step on one worker, for each occurrence of the
        job; 0 for no limit.
    speculative : bool
        Whether a second copy of a slow task may be started.
    lasting : bool
        Whether tasks run until the job is cancelled.
    latency_target_s : float
        Upper bound on the tail response time of a lasting task, in seconds; 0 for none.
    fills : bool
        Whether tasks only use processor time that other tasks leave idle.
    may_miss : int
        Maximum number of the step's lasting tasks that the scheduler may leave without
        a run at the same time.
    first_index : int
        Index of the first task; above 0 in a part of a job whose earlier tasks belong
        to other partitions.
    """

    count: int
    need: Resources
    estimate_s: float = 1.0
    after: tuple[int, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_s: float = 0.0
    fills: bool = False
    may_miss: int = 0
    first_index: int = 0

    @property
    def indices(self) -> range:
        """Indices of the tasks."""
        return range(self.first_index, self.first_index + self.count)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Accepted job, with the policy that its queue had at that time.

    Attributes
    ----------
    payload : str
        Text passed to every task when it starts.
    times : int
        Number of occurrences; 0 for a job that runs once, immediately.
    first_at, interval_s : float
        Due time of the first occurrence in seconds since 1970, and the time between
        occurrences in seconds.
    accepted_at : float
        Wall-clock time of acceptance in seconds.
    tenant : str
        Name of the tenant that submitted the job; empty without tenants, and on public
        queues.
    """

    job_id: str
    queue: str
    group: str
    payload: str
    steps: tuple[StepSpec, ...]
    times: int = 0
    first_at: float = 0.0
    interval_s: float = 0.0
    accepted_at: float = 0.0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_s: float = 1.0
    advice: AdviceCost | None = None
    tenant: str = ""

    def critical_path_s(self) -> float:
        """Return the estimated run time of the critical path in seconds."""
        ends: list[float] = []
        for step in self.steps:
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + step.estimate_s)
        return max(ends, default=0.0)

    def objective_s(self) -> float:
        """Return the time within which the job should be done, in seconds."""
        return self.stretch * self.critical_path_s() + self.slack_s


@dataclass(slots=True)
class Progress:
    """Stored progress of a job, kept next to its specification.

    Attributes
    ----------
    done : dict of str to list of int
        Indices of finished tasks by occurrence and step ("OCCURRENCE.STEP").
    failures : dict of str to list of int
        Run numbers of the failed runs, by task, or by step for a gang. They are kept
        instead of a count because a worker can report the same failed run again, which
        must count only once.
    crashes : dict of str to list of str
        Workers that crashed while the task may have caused it, by task.
    sudden_crashes : dict of str to list of str
        Those of them that crashed, or may have, before a trial of the task had settled.
    next_trials : dict of str to float
        Time before which a task must not start after sudden crashes, by task, on the
        wall clock in seconds since 1970.
    run : int
        Highest run number used so far.
    finished_at : float
        Wall-clock time at which the state became final, in seconds.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, list[int]] = field(default_factory=dict)
    failures: dict[str, list[int]] = field(default_factory=dict)
    crashes: dict[str, list[str]] = field(default_factory=dict)
    sudden_crashes: dict[str, list[str]] = field(default_factory=dict)
    next_trials: dict[str, float] = field(default_factory=dict)
    run: int = 0
    finished_at: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Worker, as described by the entry that it writes to the store.

    Attributes
    ----------
    born_ms : int
        Start time of the worker process, in milliseconds since 1970. It tells a
        restarted worker from the one before it.
    clock_s : float
        The worker's monotonic clock when the entry was written, in seconds.
    remaining_s : float
        Minimum time left until a draining worker goes away, in seconds.
    machine : str
        Machine that the worker runs on; empty if not known.
    """

    worker_id: str
    group: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool = False
    born_ms: int = 0
    clock_s: float = 0.0
    remaining_s: float = 0.0
    machine: str = ""

    @property
    def rack(self) -> str:
        """Name of the worker's rack, which is its last label."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class Suspect:
    """Worker that may hold runs, as recorded in the store for the group's next owner.

    Attributes
    ----------
    address : str
        Address under which an unlisted worker can be queried; empty if not known.
    draining : bool
        Whether the worker was draining.
    tasks : tuple of str, optional
        All tasks that a draining or unresponsive worker may run; it is given no new
        ones. None if they are not known.
    renewed : bool
        Whether the owner that made the record may renew the leases of the worker.
    lapses_in_s : float
        Longest time from the record until all leases that earlier owners gave to the
        worker have lapsed, in seconds; 0 if there are none.
    born_ms : int
        Start time of the worker process, in milliseconds since 1970; 0 if not known.
    """

    address: str = ""
    draining: bool = False
    tasks: tuple[str, ...] | None = None
    renewed: bool = True
    lapses_in_s: float = 0.0
    born_ms: int = 0


class RunOutcome(enum.StrEnum):
    """How a run ended, as reported by its worker.

    The values are defined by the platform. `LAPSED` means that the run's lease expired.
    After any outcome but `DONE` and `FAILED`, the task may be started again and no
    failure is counted for it.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRun(t.NamedTuple):
    """Run in progress, as reported by its worker.

    `percent` is its progress. `load` is 0 if the worker reports none.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


class EndedRun(t.NamedTuple):
    """Ended run; `seq` counts the ended runs of a worker since its start."""

    seq: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """Report of a worker in answer to a hold call, which renews its runs' leases.

    Attributes
    ----------
    clock_s : float
        The worker's monotonic clock, in seconds.
    born_ms : int
        Start time of the worker process, in milliseconds since 1970.
    complete : bool
        Whether `ended` holds all ended runs that are not acknowledged; a worker lists
        a limited number of them at a time.
    """

    clock_s: float
    born_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True


class StartOutcome(enum.Enum):
    """Outcome of an order to start a run.

    With `NOT_SENT` the order certainly had no effect. With `IN_DOUBT` the worker may
    have received it, and may still start the run. The other failures are the worker's
    reasons to refuse; `FENCED` means that it has seen a later owner's token.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old run"
    LATE = "late"
    NO_ROOM = "no room"
    BAD_TICKET = "bad ticket"
    UNHEALTHY = "unhealthy"
    WRONG_INSTANCE = "other life of the worker"
    INVALID = "invalid"
    NOT_SENT = "not sent"
    IN_DOUBT = "in doubt"


@dataclass(frozen=True, slots=True)
class StartReply:
    """What came of an order to start a run.

    Attributes
    ----------
    clock_s : float or None
        The worker's monotonic clock when it answered, in seconds; None if it did not
        answer, or did not state it.
    """

    outcome: StartOutcome
    clock_s: float | None = None
