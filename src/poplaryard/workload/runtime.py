"""What the owner of a group of workers knows of jobs, runs and workers."""

import enum
import math
from dataclasses import dataclass, field

from ..resources import ZERO, Resources
from .model import JobSpec, JobState, Progress, StepSpec, WorkerInfo

__all__ = ["JobRun", "Permit", "Run", "RunPhase", "StepRun", "Task", "Worker"]

# A worker's steady clock may run this share too slow.
CLOCK_DRIFT = 0.02
# A job that ends after its objective is late, and of no use to its caller once this
# many further objectives have passed: the users' pages count up to three in all.
LATE_FACTOR = 2.0
# Added to the moment at which a worker's leases must have lapsed: it checks them, and
# listing the ends takes, a little later.
LAPSE_SLACK_S = 0.5
# Percent points from which on a run's speed says more than its estimate. Percentages
# are whole numbers.
LEAST_PROGRESS = 5


# Weight of one run in the slowness of its worker, and the most that it may differ: run
# times within a step vary by about a sixth, and some are seven times as long.
SLOWNESS_SHARE = 0.15
SLOWNESS_STEP_MAX = 1.0
# Run times below this are mostly the time of the calls, in seconds.
LEAST_RUN_S = 0.05


class RunPhase(enum.Enum):
    """Where a run stands, as far as its owner knows."""

    SENDING = "sending"
    RUNNING = "running"
    IN_DOUBT = "in doubt"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Permit:
    """Ticket of the advice service; `until` is in seconds of the owner's clock."""

    ticket: str
    until: float


@dataclass(slots=True, eq=False)
class Worker:
    """Worker and what it holds.

    Attributes
    ----------
    listed : bool
        Whether its entry is in the store.
    synced : bool
        Whether it has reported its runs to this owner.
    seen_seq, acked_seq : int
        Highest number of its ends that was taken in, and that is kept in the store.
    clock_s, clock_at : float
        Its steady clock, and the owner's time at which it was read, in seconds.
    granted_s : float
        Latest lease deadline that it may have been given, on its own clock.
    slowness : float
        Logarithm of its run times relative to other workers'.
    paused_until : float
        Time before which nothing is started on it.
    failed_jobs : list of str
        Jobs whose runs failed on it since its last success.
    """

    info: WorkerInfo
    listed: bool = True
    synced: bool = False
    reachable: bool = False
    gone: bool = False
    refused: bool = False
    born_ms: int = 0
    seen_seq: int = 0
    acked_seq: int = 0
    clock_s: float = 0.0
    clock_at: float = 0.0
    granted_s: float = 0.0
    runs: dict[tuple[str, int], "Run"] = field(default_factory=dict)
    used: Resources = ZERO
    foreign: set[tuple[str, int]] = field(default_factory=set)
    slowness: float = 0.0
    paused_until: float = 0.0
    failed_jobs: list[str] = field(default_factory=list)
    ejections: int = 0

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.info.worker_id

    def clock_now(self, now: float) -> float:
        """Return its steady clock as of now, in seconds."""
        return self.clock_s + now - self.clock_at

    def lapsed_at(self) -> float:
        """Return the time by which all leases it may hold have lapsed, in seconds."""
        left = max(0.0, self.granted_s - self.clock_s)
        return self.clock_at + left / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S

    def usable(self, now: float) -> bool:
        """Whether tasks may be started on it."""
        return (
            self.synced
            and self.reachable
            and self.listed
            and not self.gone
            and not self.info.draining
            and not self.foreign
            and now >= self.paused_until
        )

    def free(self) -> Resources:
        """Return the capacity that no run uses."""
        return self.info.capacity - self.used

    def ending_room(self, until: float, now: float) -> Resources:
        """Return the room that runs are expected to give back by a time."""
        ending = (run.need for run in self.runs.values() if run.ends_at(now) <= until)
        return sum(ending, ZERO)

    def add(self, run: "Run") -> None:
        """Charge a run."""
        self.runs[run.key] = run
        self.used = self.used + run.need

    def release(self, run: "Run") -> bool:
        """Take a run's charge back; False if it was not charged."""
        if self.runs.pop(run.key, None) is None:
            return False
        self.used = self.used - run.need
        return True


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    Attributes
    ----------
    confirmed_at : float
        Time at which the worker was known to run it; infinity before.
    stop_acked_at : float
        Time at which the worker confirmed a stop; infinity before.
    expires_at : float
        Time after which a start without an answer can't take effect any more.
    moved_at : float
        Time at which its percentage last changed.
    seen_at : float
        Time of the last report that listed it.
    whole : bool
        Whether this owner started it from the beginning of its task.
    first_percent : float
        Percentage that its worker reported first: a run that was adopted, or resumed
        from a checkpoint, does not begin at 0.
    """

    task: "Task"
    number: int
    worker: Worker
    need: Resources
    sent_at: float
    phase: RunPhase = RunPhase.SENDING
    confirmed_at: float = float("inf")
    stop_acked_at: float = float("inf")
    stop_sent_at: float = float("-inf")
    expires_at: float = float("-inf")
    percent: float = 0.0
    moved_at: float = 0.0
    load: float = 0.0
    first_percent: float = 0.0
    seen_at: float = float("-inf")
    whole: bool = True

    @property
    def key(self) -> tuple[str, int]:
        """Task name and run number."""
        return self.task.name, self.number

    def ends_at(self, now: float) -> float:
        """Return the time at which the run is expected to end, in seconds."""
        if self.phase is RunPhase.STOPPING:
            return now
        spec = self.task.step.spec
        if spec.lasting:
            return float("inf")
        progress = self.percent - self.first_percent
        if progress >= LEAST_PROGRESS:
            took_s = self.seen_at - self.confirmed_at
            return self.seen_at + took_s * (100 - self.percent) / progress
        return now + max(0.0, self.sent_at + spec.estimate_s - now)


@dataclass(slots=True, eq=False)
class Task:
    """Task of one occurrence of a step.

    Attributes
    ----------
    runs : list of Run
        Runs that may be in progress; more than one only for speculative copies.
    run : int
        Highest run number used so far.
    avoid : set of str
        Workers on which it has failed.
    """

    name: str
    step: "StepRun"
    index: int
    run: int = 0
    done: bool = False
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)
    not_before: float = 0.0


@dataclass(slots=True)
class WorkMean:
    """Mean logarithm of the run times of a step's tasks, on a worker of usual speed."""

    count: int = 0
    mean: float = 0.0

    def take(self, worker: Worker, took_s: float) -> None:
        """Take in a run time, and learn how slow the worker is from earlier ones.

        Tasks of one step are alike, so a step tells the speed of its workers apart from
        the error of its estimate.
        """
        log_s = math.log(max(took_s, LEAST_RUN_S))
        if self.count:
            error = log_s - self.mean - worker.slowness
            error = max(-SLOWNESS_STEP_MAX, min(SLOWNESS_STEP_MAX, error))
            worker.slowness += SLOWNESS_SHARE * error
        self.count += 1
        self.mean += (log_s - worker.slowness - self.mean) / self.count


@dataclass(slots=True, eq=False)
class StepRun:
    """One occurrence of a step.

    Attributes
    ----------
    verdicts : dict of str to bool
        Whether a worker may run the step, as far as the advice service was asked.
    asking : bool
        Whether a call for advice is in progress.
    rest_s : float
        Estimated run time from this step to the job's end, in seconds.
    rank : tuple
        Place among waiting steps at the last look; the lowest comes first.
    neglected : bool
        Whether its job has long had nothing running while much of the group was idle.
    work : WorkMean
        Run time of its tasks, as far as they have ended.
    held_at, held_until : float
        Time since which, and at which last, room was held for it.
    """

    job: "JobRun"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    remaining: int = 0
    verdicts: dict[str, bool] = field(default_factory=dict)
    permits: dict[str, Permit] = field(default_factory=dict)
    asking: bool = False
    ask_after: float = 0.0
    rest_s: float = 0.0
    rank: tuple[int, int, float] = (0, 0, 0.0)
    neglected: bool = False
    work: WorkMean = field(default_factory=WorkMean)
    held_at: float = float("-inf")
    held_until: float = float("-inf")

    @property
    def name(self) -> str:
        """Name of the step: ID.K.STEP."""
        return f"{self.job.spec.job_id}.{self.occurrence}.{self.number}"

    @property
    def key(self) -> str:
        """Occurrence and step, as the job's progress names them."""
        return f"{self.occurrence}.{self.number}"

    @property
    def need(self) -> Resources:
        """Amount charged for each task."""
        if self.spec.fills:
            return Resources(0, self.spec.need.mem_mb, self.spec.need.gpus)
        return self.spec.need

    def waiting(self, now: float) -> list[Task]:
        """Return the tasks that may be started now."""
        return [
            task
            for task in self.tasks
            if not task.done and not task.runs and now >= task.not_before
        ]

    def on_worker(self, worker: Worker) -> int:
        """Return the number of the step's tasks on a worker."""
        return sum(
            1 for task in self.tasks for run in task.runs if run.worker is worker
        )


@dataclass(slots=True, eq=False)
class JobRun:
    """Job until its final state is kept in the store.

    Attributes
    ----------
    fresh : bool
        Whether no earlier owner can have started any of its tasks.
    due_at : float
        Time by which it should be done, on the owner's clock.
    stored_state : JobState or None
        Final state that the store keeps; shown to callers only then.
    first_start_at : float
        Time of its first start by this owner; 0 before.
    lost_runs : int
        Runs that ended in another way than done.
    active_at : float
        Time at which one of its tasks last began or ended.
    """

    spec: JobSpec
    fresh: bool
    arrived_at: float
    progress: Progress = field(default_factory=Progress)
    occurrences: dict[int, list[StepRun]] = field(default_factory=dict)
    occurrences_left: int = 0
    next_occurrence: int = 0
    cancelled: bool = False
    started: bool = False
    due_at: float = 0.0
    stored_state: JobState | None = None
    first_start_at: float = 0.0
    lost_runs: int = 0
    active_at: float = 0.0

    @property
    def state(self) -> JobState:
        """State as kept in the store, or as far as its tasks have come."""
        if self.stored_state is not None:
            return self.stored_state
        return JobState.RUNNING if self.started else JobState.QUEUED

    def rank(self, rest_s: float, now: float) -> tuple[int, int, float]:
        """Return the place of a step among waiting ones; the lowest comes first.

        Jobs that can still be done in time come before those that can't: under
        overload, serving the oldest first would make every job late. Those whose
        callers have long given up come last.

        Parameters
        ----------
        rest_s : float
            Estimated run time that is left, in seconds.
        """
        if now + rest_s <= self.due_at:
            lateness = 0
        elif now + rest_s <= self.due_at + LATE_FACTOR * self.spec.objective_s():
            lateness = 1
        else:
            lateness = 2
        return self.spec.priority, lateness, self.due_at

    def idle(self) -> bool:
        """Whether none of its tasks runs."""
        return not any(
            task.runs
            for steps in self.occurrences.values()
            for step in steps
            for task in step.tasks
        )
