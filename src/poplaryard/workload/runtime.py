"""In-memory state of jobs, runs and workers at the owner of a group of workers."""

import enum
import math
import typing as t
from dataclasses import dataclass, field

from ..resources import ZERO, Resources
from .calls import (
    CLOCK_DRIFT,
    LAPSE_SLACK_S,
    MAX_CALL_DELAY_S,
    MAX_TRANSIT_S,
    OpenCalls,
    SentCall,
)
from .model import JobSpec, JobState, Progress, StepSpec, WorkerInfo
from .run_times import NO_RUN_TIME_USES, Expectation, RunTimeUses
from .trial_pauses import pause_after_s

if t.TYPE_CHECKING:
    from .strays import Stray

__all__ = ["JobRun", "Permit", "Run", "RunPhase", "StepRun", "Task", "Worker"]

# Workers state their clocks in whole milliseconds.
CLOCK_ROUNDING_S = 0.002
# A job that misses its objective by more than this many times the objective is of no
# use to its caller: the users' requirements accept results within three times the
# objective.
MAX_LATENESS_FACTOR = 2.0
# Minimum progress, in percentage points, for a run's end to be extrapolated from its
# speed. Workers report whole percentages, so the speed is too inaccurate before; the
# end is then computed from the estimate.
MIN_PROGRESS_PERCENT = 5


# Weight of one run in the moving average of its worker's slowness, and the limit of its
# deviation (a logarithm): run times within a step vary by about a sixth, and some are
# seven times as long.
SLOWNESS_WEIGHT = 0.15
MAX_SLOWNESS_DEVIATION = 1.0
# Minimum run time that enters the mean, in seconds; shorter ones are raised to it. They
# consist mostly of the time of the calls to the worker.
MIN_RUN_S = 0.05
# A run that its worker still reports this long after its start is settled, in seconds.
SETTLED_S = 1.0
# Number of starts of a lasting task that one worker may leave without an answer before
# the task waits until none can be carried out any more, and starts elsewhere.
MAX_RETRIES_ON_WORKER = 3


class RunPhase(enum.Enum):
    """State of a run as known to its owner.

    A run is in doubt if the order to start it was not answered; it is then stopped.
    """

    SENDING = "sending"
    RUNNING = "running"
    IN_DOUBT = "in doubt"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Permit:
    """Ticket of the advice service, valid until a time on the owner's clock."""

    ticket: str
    until: float


@dataclass(slots=True, eq=False)
class Worker:
    """Worker, its lease state and the runs that it holds.

    Attributes
    ----------
    listed : bool
        Whether its entry is in the store.
    synced : bool
        Whether it has reported its runs to this owner.
    reachable : bool
        Whether the last renewal of its leases succeeded.
    gone : bool
        Whether it certainly holds no runs any more.
    silent_since : float
        Time of the first failed renewal since it last answered.
    seen_seq, acked_seq, forgotten_seq : int
        Sequence numbers of its ended runs: the highest that was processed, the highest
        that may be acknowledged, because all results up to it are stored, and the
        highest whose acknowledgement was answered.
    clock_s, clock_at : float
        Its monotonic clock, and the owner's time at which it was read, in seconds.
    asked_at : float
        Time of the call that its last report answers.
    latest_deadline_s : float
        Latest lease deadline that it may have been given, on its own clock.
    strays_lapsed_at : float
        Time by which leases have lapsed that calls meant for an earlier instance gave.
    open_calls : OpenCalls
        Calls that may still be carried out, by this instance or a later one.
    unproven_grant_at : float
        Time of the last answer to a call that gave leases and that a later instance may
        have answered; minus infinity if there is none.
    later_seen_at : float
        Time at which the answer to a start showed that a later instance than the one
        that has reported gave it; infinity if none did.
    disproved_born_ms : int
        Start time in an entry that a later report of an earlier instance disproves.
    used : Resources
        Resources charged for its runs.
    rejected_runs : set of tuple
        Keys of runs that it reported, and that this owner did not adopt but ordered it
        to stop.
    strays : dict of tuple to Stray
        Starts without an answer, by the key of the run, that this instance or a later
        one may carry out although they were ordered to be stopped.
    slowness : float
        Logarithm of its run times relative to other workers'.
    paused_until : float
        Time before which nothing is started on it.
    failed_jobs : list of str
        Jobs whose runs failed on it since its last success.
    ejected_until : float
        Time before which nothing is started on it after failed runs.
    ejections : int
        Number of times that it was ejected.
    trial : Task or None
        Task that is on trial here, or is to be; see `poplaryard.workload.crashes`.
    held_until : float
        Time until which the worker is held for a trial that has not begun.
    worker_id : str
        Id of the worker, as in `info`, which is replaced with each of its entries.
    """

    info: WorkerInfo
    listed: bool = True
    synced: bool = False
    reachable: bool = False
    gone: bool = False
    silent_since: float = float("-inf")
    born_ms: int = 0
    seen_seq: int = 0
    acked_seq: int = 0
    forgotten_seq: int = 0
    clock_s: float = 0.0
    clock_at: float = 0.0
    asked_at: float = float("-inf")
    latest_deadline_s: float = 0.0
    strays_lapsed_at: float = float("-inf")
    open_calls: OpenCalls = field(default_factory=OpenCalls)
    unproven_grant_at: float = float("-inf")
    later_seen_at: float = float("inf")
    disproved_born_ms: int = 0
    runs: dict[tuple[str, int], "Run"] = field(default_factory=dict)
    used: Resources = ZERO
    rejected_runs: set[tuple[str, int]] = field(default_factory=set)
    strays: "dict[tuple[str, int], Stray]" = field(default_factory=dict)
    slowness: float = 0.0
    paused_until: float = 0.0
    failed_jobs: list[str] = field(default_factory=list)
    ejected_until: float = 0.0
    ejections: int = 0
    trial: "Task | None" = None
    held_until: float = 0.0
    worker_id: str = field(init=False)

    def __post_init__(self) -> None:
        self.worker_id = self.info.worker_id

    def clock_now(self, now: float) -> float:
        """Return an estimate of the worker's monotonic clock now, in seconds."""
        return self.clock_s + now - self.clock_at

    @property
    def restart_suspected(self) -> bool:
        """Whether it seems to have restarted since its last report.

        A later start time in its entry is no proof: the entry may have another writer.
        """
        disproved_ms = max(self.born_ms, self.disproved_born_ms)
        listed_later = self.info.born_ms > disproved_ms > 0
        return listed_later or not math.isinf(self.later_seen_at)

    def start_call(
        self, run: "Run", now: float, window_s: float, has_ticket: bool = False
    ) -> SentCall:
        """Return the call that starts a run; it has to arrive within `window_s`."""
        deadline_s = self.clock_now(now) + window_s
        call = SentCall(now, deadline_s, 0, self.info.born_ms, run.key, has_ticket)
        self._add_call(call)
        run.call = call
        return call

    def renewal_call(self, now: float, lease_s: float | None) -> SentCall:
        """Return the call that renews the leases, and acknowledges ends.

        Parameters
        ----------
        lease_s : float or None
            Duration of the lease in seconds; None to renew none.
        """
        deadline_s = None if lease_s is None else self.clock_now(now) + lease_s
        # A worker that comes back may be a later instance, which counts ends anew.
        same_instance = self.reachable and not self.restart_suspected
        has_new = self.acked_seq > self.forgotten_seq
        acknowledged = self.acked_seq if same_instance and has_new else 0
        call = SentCall(now, deadline_s, acknowledged, self.info.born_ms)
        self._add_call(call)
        return call

    def waiting_call(self, now: float) -> SentCall:
        """Return a call for which the worker may wait until a run ends.

        It renews and acknowledges nothing: it is often unanswered when its worker
        restarts, and would then be taken to reach the next instance.
        """
        return SentCall(now, listed_born_ms=self.info.born_ms)

    def _add_call(self, call: SentCall) -> None:
        if call.has_effect:
            self.open_calls.add(call)
        if call.deadline_s is not None:
            self.latest_deadline_s = max(self.latest_deadline_s, call.deadline_s)

    def start_call_answered(
        self, call: SentCall, clock_s: float | None, now: float
    ) -> bool:
        """Process the answer to the start of a run.

        Returns whether the instance that has last reported certainly answered.

        Parameters
        ----------
        clock_s : float or None
            The worker's clock when it answered, in seconds; None if not known.
        """
        self.open_calls.discard(call)
        # Time since the last report, at most: no later instance has run for longer, so
        # that it cannot show more if its clock began at 0.
        elapsed_s = now - self.asked_at
        if clock_s is not None and self.clock_at:
            if not self._may_show(clock_s, call.sent_at, elapsed_s):
                self.later_seen_at = now
            elif clock_s > elapsed_s:
                return True
        self.unproven_grant_at = now
        return False

    def _may_show(self, clock_s: float, sent_at: float, elapsed_s: float) -> bool:
        """Return whether the clock of the instance that has reported may show a time.

        Each instance has a clock of its own, which may begin anywhere.

        Parameters
        ----------
        clock_s : float
            Time on the clock in seconds, read at most `elapsed_s` after the report.
        sent_at : float
            Time before the reading.
        """
        since_report_s = sent_at - self.clock_at
        if since_report_s > 0:
            since_report_s *= 1 - CLOCK_DRIFT
        earliest_s = self.clock_s + since_report_s - CLOCK_ROUNDING_S
        return earliest_s <= clock_s <= self.clock_s + elapsed_s + CLOCK_ROUNDING_S

    def leases_expired_at(self) -> float:
        """Return the time by which all leases that it may hold have expired.

        They are those of the instance that has last reported.
        """
        remaining_s = max(0.0, self.latest_deadline_s - self.clock_s)
        expired_at = self.clock_at + remaining_s / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S
        return max(expired_at, self.strays_lapsed_at)

    def later_grant_at(self, now: float) -> float:
        """Return the latest time at which a later instance may be given leases.

        That is by calls that are sent already. Without a sign of a restart they are
        expected to arrive without delay.
        """
        delay_s = MAX_CALL_DELAY_S if self.restart_suspected else MAX_TRANSIT_S
        unanswered_at = self.open_calls.last_grant_sent_at(now) + delay_s
        return max(self.unproven_grant_at, unanswered_at)

    def usable(self, now: float) -> bool:
        """Return whether tasks may be started on the worker."""
        return now >= self.ejected_until and self.usable_if_not_ejected(now)

    def usable_if_not_ejected(self, now: float) -> bool:
        """Return whether tasks may be started on the worker unless it is ejected."""
        return (
            self.synced
            and self.reachable
            and self.listed
            and not self.gone
            and not self.info.draining
            and not self.rejected_runs
            and not (self.strays and self.has_unsettled_strays)
            and not self.restart_suspected
            and self.described
            and now >= self.paused_until
        )

    @property
    def has_unsettled_strays(self) -> bool:
        """Whether its present instance may run a start that was to be stopped."""
        return any(not stray.settled for stray in self.strays.values())

    @property
    def described(self) -> bool:
        """Whether `info` is of the present instance of the worker.

        A worker that has restarted under its id may be of another kind.
        """
        return not self.info.born_ms or self.info.born_ms == self.born_ms

    @property
    def instance(self) -> str:
        """Name that differs from those of later instances with the same id."""
        return f"{self.worker_id}@{self.born_ms}"

    @property
    def runs_settled(self) -> bool:
        """Whether all of its runs are settled."""
        return all(run.settled for run in self.runs.values())

    def accepts_others(self, now: float) -> bool:
        """Return whether no trial keeps tasks from being started."""
        if self.trial is None:
            return True
        running = any(run.task is self.trial for run in self.runs.values())
        return not running and now >= self.held_until

    def free(self) -> Resources:
        """Return the capacity that is not charged for any run."""
        return self.info.capacity - self.used

    def ending_room(self, until: float, now: float) -> Resources:
        """Return the resources that runs are expected to release by a time."""
        ending = (run.need for run in self.runs.values() if run.ends_at(now) <= until)
        return sum(ending, ZERO)

    def add(self, run: "Run") -> None:
        """Add a run and charge its resources."""
        self.runs[run.key] = run
        self.used = self.used + run.need

    def release(self, run: "Run") -> bool:
        """Remove a run and release its resources; return False if it is not known."""
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
        Time at which the worker was first known to run it; infinity until then.
    stop_acked_at : float
        Time at which the worker confirmed a stop; infinity until then.
    stop_sent_at : float
        Time of the last order to stop it; minus infinity before.
    call : SentCall or None
        Call that starts it, unless an earlier owner made it.
    held_by : int or None
        Start time (`born_ms`) of the instance of its worker that is known to hold it.
        None while its start may have been taken by a later instance.
    crashed_instance : str
        Instance of its worker that its start may have crashed; empty for none.
    crashed_suddenly : bool
        Whether that instance crashed before the run had settled.
    progressed_at : float
        Time at which its percentage last changed.
    seen_at : float
        Time of the last report that listed it.
    from_start : bool
        Whether this owner started it, and not from a checkpoint.
    load : float
        Load in the worker's last report of the run; no decision depends on it.
    first_percent : float
        First percentage that the worker reported: a run that was adopted, or resumed
        from a checkpoint, does not start at 0.
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
    call: SentCall | None = None
    held_by: int | None = None
    crashed_instance: str = ""
    crashed_suddenly: bool = False
    percent: float = 0.0
    progressed_at: float = 0.0
    load: float = 0.0
    first_percent: float = 0.0
    seen_at: float = float("-inf")
    from_start: bool = True

    @property
    def settled(self) -> bool:
        """Whether its worker is known to have run it for `SETTLED_S`."""
        return self.seen_at - self.sent_at >= SETTLED_S

    @property
    def last_seen_at(self) -> float:
        """Time at which its worker was last known to run it; infinity if never."""
        return max(self.confirmed_at, self.seen_at)

    @property
    def key(self) -> tuple[str, int]:
        """Task name and run number, which identify the run."""
        return self.task.name, self.number

    def ends_at(self, now: float) -> float:
        """Return the time at which the run is expected to end, in seconds."""
        if self.phase is RunPhase.STOPPING:
            return now
        spec = self.task.step.spec
        if spec.lasting:
            return float("inf")
        progress = self.percent - self.first_percent
        if progress >= MIN_PROGRESS_PERCENT:
            elapsed_s = self.seen_at - self.confirmed_at
            return self.seen_at + elapsed_s * (100 - self.percent) / progress
        expectation = self.task.step.expectation
        if expectation is not None and self.task.step.uses.ends:
            scale = math.exp(self.worker.slowness)
            return now + scale * expectation.remaining_s((now - self.sent_at) / scale)
        return now + max(0.0, self.sent_at + spec.estimate_s - now)


@dataclass(slots=True, eq=False)
class Task:
    """Task in one occurrence of a step.

    Attributes
    ----------
    runs : list of Run
        Runs that may be in progress; more than one only for speculative copies.
    last_run_number : int
        Highest run number used so far.
    strays : list of Stray
        Starts without an answer that a worker may carry out although they were ordered
        to be stopped, as it has restarted or may do so.
    late_starts : int
        Number of starts that were added to `strays` since these were last empty.
    avoid : set of str
        Workers on which it failed or stalled.
    not_before : float
        Time before which it must not start.
    idle_since : float
        Time since which it has had no run, if it has none.
    suspected : bool
        Whether it may have crashed a worker by its start.
    next_trial_at : float
        Time before which it must not start after sudden crashes.
    crash_stored : bool
        Whether all crashes that count against it are stored.
    trial_host : Worker or None
        Worker that is held for its trial, or runs it on trial.
    trial_at : str
        Instance of the worker of its last trial, unless that has survived.
    trial_began : float
        Time of its last start on trial; infinity while its worker is held for one.
    waiting_since : float
        Last time at which one of its former runs was known to be at work; before the
        first, the time of its creation. No decision depends on it.
    """

    name: str
    step: "StepRun"
    index: int
    last_run_number: int = 0
    done: bool = False
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    strays: "list[Stray]" = field(default_factory=list)
    late_starts: int = 0
    avoid: set[str] = field(default_factory=set)
    not_before: float = 0.0
    idle_since: float = 0.0
    suspected: bool = False
    next_trial_at: float = 0.0
    crash_stored: bool = True
    trial_host: Worker | None = None
    trial_at: str = ""
    trial_began: float = 0.0
    waiting_since: float = field(init=False)

    def __post_init__(self) -> None:
        self.waiting_since = self.idle_since

    @property
    def trial_has_begun(self) -> bool:
        """Whether its last trial was started, and its worker not only held for it."""
        return not math.isinf(self.trial_began)

    @property
    def finished(self) -> bool:
        """Whether the task is not to be run any more."""
        return self.done or self.step.job.progress.state.final

    @property
    def retry_worker(self) -> Worker | None:
        """The only worker on which it may start while it has late starts, else None.

        A late start that the next instance of this worker carries out does not overlap
        a run there, which has ended with the instance before.
        """
        return self.strays[0].worker if self.strays else None

    @property
    def is_held(self) -> bool:
        """Whether its late starts keep it from being started anywhere.

        A task that ends could be done before a late start of it is carried out.
        """
        spec = self.step.spec
        return (
            not spec.lasting
            or spec.gang
            or self.late_starts > MAX_RETRIES_ON_WORKER
            or not all(stray.settled for stray in self.strays)
        )

    @property
    def crash_count(self) -> int:
        """Number of workers that crashed under it, without one where it is on trial."""
        crashes = self.step.job.progress.crashes.get(self.name, ())
        host = self.trial_host
        return len(crashes) - (host is not None and host.instance in crashes)

    @property
    def sudden_crash_count(self) -> int:
        """Number of workers that crashed before its run had settled, in a row.

        Only trials and starts of gangs count.
        """
        return len(self.step.job.progress.sudden_crashes.get(self.name, ()))

    @property
    def crash_pause_s(self) -> float:
        """Time from its last start to the next after sudden crashes, in seconds.

        The first crash under a gang may have another cause, since it has no trials.
        """
        excused = 1 if self.step.spec.gang else 0
        return pause_after_s(self.sudden_crash_count - excused)

    def remove_run(self, run: Run, now: float) -> None:
        """Remove a run that has ended or was lost."""
        self.runs.remove(run)
        self.idle_since = now
        if run.confirmed_at <= now:
            self.waiting_since = max(self.waiting_since, run.last_seen_at)


@dataclass(slots=True)
class RunTimeMean:
    """Mean logarithm of the run times of a step, scaled to a worker of usual speed."""

    count: int = 0
    mean: float = 0.0

    def add(self, worker: Worker, run_s: float) -> None:
        """Add a run time, and update the worker's slowness from the earlier ones.

        The tasks of a step are identical. Comparing them with each other, not with the
        estimate, keeps errors of the estimate out of the workers' slowness.
        """
        log_s = math.log(max(run_s, MIN_RUN_S))
        if self.count:
            error = log_s - self.mean - worker.slowness
            error = max(-MAX_SLOWNESS_DEVIATION, min(MAX_SLOWNESS_DEVIATION, error))
            worker.slowness += SLOWNESS_WEIGHT * error
        self.count += 1
        self.mean += (log_s - worker.slowness - self.mean) / self.count


@dataclass(slots=True, eq=False)
class StepRun:
    """One occurrence of a step.

    Attributes
    ----------
    remaining : int
        Number of tasks that are not done.
    may_run : dict of str to bool
        Whether a worker may run the step, for the workers that the advice service was
        asked about.
    permits : dict of str to Permit
        Tickets of the advice service by worker.
    asking : bool
        Whether a call to the advice service is in progress.
    asked : tuple of str
        Workers named in the last call.
    ask_after : float
        Time before which the advice service is not asked again.
    critical_path_s : float
        Estimated run time from the start of this step to the job's end, in seconds.
    uses : RunTimeUses
        Decisions that use `expectation` in place of the declared run time.
    expectation : Expectation or None
        Expected run time of its tasks; None if the declared one is used.
    expected_path_s : float
        Like `critical_path_s`, but always from the expected run times, in seconds.
    short_of_time : bool
        Whether its job would miss its objective on a slow worker.
    rank : tuple
        Sort key among the waiting steps when they were last sorted; the lowest comes
        first.
    starved : bool
        Whether its job has had nothing running for long while much of the group was
        idle.
    run_times : RunTimeMean
        Run times of its tasks that have ended.
    plan_after : float
        Time before which no room is sought to reserve for it.
    reserved_since, reserved_until : float
        Time since which, and last time at which, room was reserved for it.
    preemptions : int
        Number of times that runs were preempted for it.
    preempts_after : float
        Time before which no runs are preempted for it again.
    tenant : str
        Tenant of its job; empty without one.
    name : str
        Job id, occurrence and step number, joined by dots.
    need : Resources
        Resources charged for each task.
    """

    job: "JobRun"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    remaining: int = 0
    may_run: dict[str, bool] = field(default_factory=dict)
    permits: dict[str, Permit] = field(default_factory=dict)
    asking: bool = False
    asked: tuple[str, ...] = ()
    ask_after: float = 0.0
    critical_path_s: float = 0.0
    uses: RunTimeUses = NO_RUN_TIME_USES
    expectation: Expectation | None = None
    expected_path_s: float = 0.0
    short_of_time: bool = False
    rank: tuple[int, int, int, float] = (0, 0, 0, 0.0)
    starved: bool = False
    run_times: RunTimeMean = field(default_factory=RunTimeMean)
    plan_after: float = float("-inf")
    reserved_since: float = float("-inf")
    reserved_until: float = float("-inf")
    preemptions: int = 0
    preempts_after: float = float("-inf")
    tenant: str = field(init=False)
    name: str = field(init=False)
    need: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.tenant = self.job.spec.tenant
        self.name = f"{self.job.spec.job_id}.{self.occurrence}.{self.number}"
        need = self.spec.need
        self.need = Resources(0, need.mem_mb, need.gpus) if self.spec.fills else need

    @property
    def key(self) -> str:
        """Occurrence and step number, the key of the step in the job's progress."""
        return f"{self.occurrence}.{self.number}"

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of a task's run time on a worker of usual speed.

        Without an expectation it is the declared time.
        """
        if self.expectation is None:
            return self.spec.estimate_s
        return self.expectation.quantile_s(quantile)

    def waiting(self, now: float) -> list[Task]:
        """Return the tasks that may be started now."""
        return [
            task
            for task in self.tasks
            if not task.done
            and not task.runs
            and not (task.strays and task.is_held)
            and task.crash_stored
            and now >= max(task.not_before, task.next_trial_at)
        ]

    @property
    def paused_until(self) -> float:
        """Time before which not all of its tasks may start after sudden crashes."""
        return max(task.next_trial_at for task in self.tasks)

    def may_start_by(self, until: float) -> bool:
        """Return whether it has a task without a run that is not paused until then."""
        return any(
            not task.done and not task.runs and task.next_trial_at <= until
            for task in self.tasks
        )

    def on_worker(self, worker: Worker) -> int:
        """Return the number of the step's tasks on a worker."""
        return sum(
            1 for task in self.tasks for run in task.runs if run.worker is worker
        )


@dataclass(slots=True, eq=False)
class JobRun:
    """Job and its occurrences, in the memory of the group's owner.

    Attributes
    ----------
    fresh : bool
        Whether no earlier owner can have started any of its tasks.
    occurrences : dict of int to list of StepRun
        Steps of the occurrences that are due.
    occurrences_left, next_occurrence : int
        Number of occurrences that are not done, and index of the next one to become
        due.
    ordered : bool
        Whether this owner has ever ordered a task of it to start.
    started : bool
        Whether a task of it is known to have run. An order that was refused or has not
        been answered is no start.
    due_at : float
        Time by which it should be done, on the owner's clock.
    stored_state : JobState or None
        Final state, once it is stored. It is shown to callers only then.
    first_start_at : float
        Time at which a task that this owner started was first known to run; 0 until
        then.
    lost_runs : int
        Number of runs that ended other than as done.
    active_at : float
        Time at which one of its tasks last started or ended.
    objective_s : float
        Time within which it should be done, in seconds.
    """

    spec: JobSpec
    fresh: bool
    arrived_at: float
    progress: Progress = field(default_factory=Progress)
    occurrences: dict[int, list[StepRun]] = field(default_factory=dict)
    occurrences_left: int = 0
    next_occurrence: int = 0
    cancelled: bool = False
    ordered: bool = False
    started: bool = False
    due_at: float = 0.0
    stored_state: JobState | None = None
    first_start_at: float = 0.0
    lost_runs: int = 0
    active_at: float = 0.0
    objective_s: float = field(init=False)

    def __post_init__(self) -> None:
        self.objective_s = self.spec.objective_s()

    def set_objective(self, objective_s: float) -> None:
        """Change the objective, and the due time with it."""
        self.due_at += objective_s - self.objective_s
        self.objective_s = objective_s

    @property
    def state(self) -> JobState:
        """Stored final state; otherwise running or queued."""
        if self.stored_state is not None:
            return self.stored_state
        return JobState.RUNNING if self.started else JobState.QUEUED

    def rank(
        self, remaining_s: float, now: float, level: int = 0
    ) -> tuple[int, int, int, float]:
        """Return the sort key of a step among the waiting ones; the lowest comes first.

        Jobs that can still meet their objective come before those that can't: under
        overload, serving the oldest first would make every job late. Jobs so late that
        their callers have given up come last.

        Parameters
        ----------
        remaining_s : float
            Estimated remaining run time of the job, in seconds.
        level : int
            How far its tenant is above its fair share; see `tenancy.Shares.level`.
        """
        if now + remaining_s <= self.due_at:
            lateness = 0
        elif now + remaining_s <= self.due_at + MAX_LATENESS_FACTOR * self.objective_s:
            lateness = 1
        else:
            lateness = 2
        return self.spec.priority, level, lateness, self.due_at

    def idle(self) -> bool:
        """Return whether none of the job's tasks has a run."""
        return not any(
            task.runs
            for steps in self.occurrences.values()
            for step in steps
            for task in step.tasks
        )
