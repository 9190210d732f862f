"""Jobs of several steps, and the workers that run their tasks."""

import enum
import typing as t
from dataclasses import dataclass, field

from ..resources import Resources

__all__ = [
    "AdviceCost",
    "RunOutcome",
    "EndedRun",
    "HoldReport",
    "JobSpec",
    "JobState",
    "Progress",
    "Queue",
    "QueueTable",
    "RunningRun",
    "StartOutcome",
    "StepSpec",
    "Suspect",
    "WorkerInfo",
]


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class AdviceCost:
    """Time that the advice service takes for one call, and the life of its tickets.

    Attributes
    ----------
    base_s, per_worker_s : float
        A call takes `base_s` plus `per_worker_s` for each worker named, in seconds.
    valid_s : float
        Seconds for which a ticket admits starts.
    """

    base_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs are handed in, and the policy for them.

    Attributes
    ----------
    group : str
        Group of workers that runs the queue's tasks.
    priority : int
        0 comes first.
    attempts : int
        Failed runs of a task after which its job has failed.
    stretch, slack_s : float
        The objective is `stretch` times the longest chain plus `slack_s` seconds.
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


@dataclass(frozen=True, slots=True)
class QueueTable:
    """Queues of one version of the configuration.

    Attributes
    ----------
    guarded : frozenset of str
        Groups whose workers reject tasks that exceed their capacity.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    groups: tuple[str, ...] = ()
    guarded: frozenset[str] = frozenset()
    max_body_bytes: int = 262144

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, or None."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Step of a job: equal tasks that may start when the steps in `after` are done.

    Attributes
    ----------
    estimate_s : float
        Rough run time of a task in seconds.
    label : str
        Label that a worker must have; empty for any.
    rack : str
        Rack that holds the data; tasks elsewhere take longer. Empty for any.
    same_rack : bool
        Whether tasks on more than one rack take longer.
    max_per_worker : int
        Most tasks of one occurrence of the step on one worker; 0 for no limit.
    lasting : bool
        Whether tasks run until the job is cancelled.
    latency_target_s : float
        Bound of the tail of the response times of a lasting task; 0 for none.
    fills : bool
        Whether tasks only use processor time that others leave.
    may_miss : int
        Lasting tasks that the scheduler may keep from work at the same time.
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


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Job as it was accepted, with the policy of its queue at that time.

    Attributes
    ----------
    payload : str
        Text that every task is started with.
    times : int
        Occurrences; 0 for a job that runs once, at once.
    first_at, interval_s : float
        Due time of the first occurrence in seconds since 1970, and the time between
        occurrences.
    accepted_at : float
        Wall-clock time of acceptance in seconds.
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

    def critical_path_s(self) -> float:
        """Return the estimated run time of the longest chain of steps in seconds."""
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[number] for number in step.after), default=0.0)
            ends.append(begin + step.estimate_s)
        return max(ends, default=0.0)

    def objective_s(self) -> float:
        """Return the time within which the job should be done, in seconds."""
        return self.stretch * self.critical_path_s() + self.slack_s


@dataclass(slots=True)
class Progress:
    """What the store keeps of a job besides its specification.

    Attributes
    ----------
    done : dict of str to list of int
        Indices of finished tasks by occurrence and step ("K.STEP").
    failures : dict of str to list of int
        Numbers of failed runs by task, or by step for a gang. Numbers, not a count: an
        end that a worker lists again counts once.
    run : int
        Highest run number used so far.
    finished_at : float
        Wall-clock time at which the state became final, in seconds.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, list[int]] = field(default_factory=dict)
    failures: dict[str, list[int]] = field(default_factory=dict)
    run: int = 0
    finished_at: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Worker as it describes itself.

    Attributes
    ----------
    born_ms : int
        Start of this life of the worker, in milliseconds since 1970.
    clock_s : float
        The worker's steady clock when it wrote this, in seconds.
    remaining_s : float
        Least time left to a draining worker, in seconds.
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
        """Label that names the rack: the last one."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class Suspect:
    """Worker that may hold runs, as an owner writes it for the next one.

    Attributes
    ----------
    address : str
        Where it can be asked while it is not listed; empty if not known.
    tasks : tuple of str, optional
        All tasks that it may run, for a worker that fell silent and is given no new
        ones; None if they are not known.
    """

    address: str = ""
    draining: bool = False
    tasks: tuple[str, ...] | None = None


class RunOutcome(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRun(t.NamedTuple):
    """Run in progress; `percent` is the share of its work that is done."""

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


class EndedRun(t.NamedTuple):
    """Run that has ended; `seq` numbers the ends of one life of a worker."""

    seq: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """What a worker reports when its leases are renewed."""

    clock_s: float
    born_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class StartOutcome(enum.Enum):
    """Outcome of the order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old run"
    LATE = "late"
    NO_ROOM = "no room"
    BAD_TICKET = "bad ticket"
    UNHEALTHY = "unhealthy"
    WRONG_LIFE = "other life of the worker"
    INVALID = "invalid"
    NOT_SENT = "not sent"
    IN_DOUBT = "in doubt"
