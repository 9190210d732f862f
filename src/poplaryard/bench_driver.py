"""Discrete-event simulator that runs a workload under a scheduling strategy.

It models VM capacity only: no network, no lost messages, no worker start-up time.
"""

import heapq
import itertools
import math
import random
import typing as t
from dataclasses import dataclass, field

from .messages import AttemptState, Work
from .resources import ZERO, Resources

__all__ = ["Cluster", "Host", "Job", "Run", "Strategy", "run"]

_TICK_S = 0.1
# Time to write a checkpoint.
_CHECKPOINT_S = 0.2
_MAX_ATTEMPTS = 3
# Delay before the driver submits a failed job again.
_RETRY_S = 0.05


@dataclass(slots=True)
class Job:
    """One job of a workload and its outcome; times are in seconds of virtual time.

    Attributes
    ----------
    run_s : float
        True run time of each task; `work.declared_s` is the declared one.
    label : str
        Group of jobs whose figures are reported together.
    fails : bool
        Whether the job fails on every VM.
    sequence : int
        Position of the job in the workload.
    ok : bool
        Whether all tasks succeeded.
    remaining_s : float
        Run time left after the last checkpoint, or 0 if there was none.
    """

    work: Work
    run_s: float
    arrived: float
    label: str = "all"
    fails: bool = False
    cancel_at: float = math.inf
    sequence: int = 0
    started: float | None = None
    ended: float | None = None
    ok: bool = False
    attempts: int = 0
    remaining_s: float = 0.0
    preemptions: int = 0
    succeeded_tasks: int = 0


@dataclass(slots=True)
class Host:
    """One VM: its capacity and, for a limited time, a fault.

    Attributes
    ----------
    slowdown : float
        Factor on the run times of tasks started during the fault.
    fails_after_s : float or None
        Time after which tasks started during the fault fail, or None if they do not.
    fault_from, fault_until : float
        Times at which the fault begins and ends.
    """

    name: str
    capacity: Resources
    free: Resources = ZERO
    slowdown: float = 1.0
    fails_after_s: float | None = None
    fault_from: float = math.inf
    fault_until: float = math.inf


@dataclass(slots=True)
class Run:
    """One task on a VM.

    Attributes
    ----------
    succeeds : bool
        Whether the task succeeds, as decided at its start.
    key : str
        Identifier set and read by the strategy only.
    stopping : bool
        Whether a checkpoint is being written.
    """

    job: Job
    host: Host
    started: float
    succeeds: bool
    number: int
    key: str = ""
    stopping: bool = False


class Strategy(t.Protocol):
    """Scheduling strategy under test.

    Attributes
    ----------
    requeues : bool
        Whether the strategy itself requeues or drops checkpointed and failed jobs;
        otherwise the driver submits them again.
    """

    requeues: bool

    def arrive(self, now: float, job: Job) -> None:
        """Accept a new or resubmitted job."""

    def cancel(self, now: float, job: Job) -> None:
        """Cancel a job that has not started."""

    def task_ended(self, now: float, run: Run, state: AttemptState) -> None:
        """Handle the end of one task, whose capacity is already free again."""

    def step(self, now: float, tick: bool) -> None:
        """Start, drop or preempt jobs; called after each event.

        `tick` tells whether the event is the periodic tick.
        """


@dataclass(slots=True)
class Cluster:
    """VMs, running tasks and pending events of a simulation.

    Attributes
    ----------
    waiting : int
        Number of waiting jobs.
    dropped : dict of str to int
        Number of dropped jobs by reason.
    usage_by_team : dict of str to float
        Integral of the used dominant share over time, by team.
    waiting_s : float
        Total time in seconds during which at least one job waits.
    used_share_s : float
        Integral of the used dominant share over that time.
    """

    hosts: list[Host]
    total: Resources = ZERO
    used: Resources = ZERO
    waiting: int = 0
    runs: dict[int, Run] = field(default_factory=dict)
    dropped: dict[str, int] = field(default_factory=dict)
    usage_by_team: dict[str, float] = field(default_factory=dict)
    used_share_s: float = 0.0
    waiting_s: float = 0.0
    _accounted_until: float = 0.0
    _events: list[tuple[float, int, str, t.Any]] = field(default_factory=list)
    _counter: t.Iterator[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        for host in self.hosts:
            host.free = host.capacity
            self.total = self.total + host.capacity

    def start(self, now: float, job: Job, hosts: t.Sequence[Host]) -> list[Run]:
        """Start one task of a job on each of `hosts` and return their runs.

        Raises
        ------
        AssertionError
            If a task does not fit in the free capacity of its VM.
        """
        if job.started is None:
            job.started = now
        job.attempts += 1
        self.waiting -= 1
        return [self._start_task(now, job, host) for host in hosts]

    def _start_task(self, now: float, job: Job, host: Host) -> Run:
        need = job.work.need
        if not need.fits_in(host.free):
            raise AssertionError(f"{host.name} has no room for {need}")
        host.free = host.free - need
        self.used = self.used + need
        run_s, succeeds = self._outcome(now, job, host)
        run = Run(job, host, now, succeeds, next(self._counter))
        self.runs[run.number] = run
        self.schedule(now + run_s, "end", run)
        return run

    def drop(self, job: Job, reason: str) -> None:
        """Record that a waiting job was dropped and for what reason."""
        self.waiting -= 1
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def preempt(self, now: float, run: Run) -> None:
        """Begin a checkpoint; the task ends once it is written and must run again."""
        if run.number in self.runs and not run.stopping:
            run.stopping = True
            run.job.preemptions += 1
            self.schedule(now + _CHECKPOINT_S, "checkpointed", run)

    def schedule(self, at: float, kind: str, item: t.Any) -> None:
        """Add an event at the time `at`."""
        heapq.heappush(self._events, (at, next(self._counter), kind, item))

    def pop(self) -> tuple[float, str, t.Any] | None:
        """Remove and return the next event, or None, and account the time up to it."""
        if not self._events:
            return None
        at, _, kind, item = heapq.heappop(self._events)
        self._account(at)
        return at, kind, item

    def busy(self) -> bool:
        """Return whether any job waits, any task runs or any event is pending."""
        return self.waiting > 0 or bool(self.runs or self._events)

    def release(self, now: float, run: Run) -> bool:
        """Free the capacity of a run; return False if the run has already ended."""
        if self.runs.pop(run.number, None) is None:
            return False
        need, team = run.job.work.need, run.job.work.team
        run.host.free = run.host.free + need
        self.used = self.used - need
        amount = need.dominant_share(self.total) * (now - run.started)
        self.usage_by_team[team] = self.usage_by_team.get(team, 0.0) + amount
        return True

    def _outcome(self, now: float, job: Job, host: Host) -> tuple[float, bool]:
        """Return the run time of a task started now and whether it succeeds."""
        run_s = job.remaining_s or job.run_s
        if not host.fault_from <= now < host.fault_until:
            return run_s, not job.fails
        if host.fails_after_s is not None:
            return host.fails_after_s, False
        return run_s * host.slowdown, not job.fails

    def _account(self, at: float) -> None:
        if self.waiting:
            self.used_share_s += self.used.dominant_share(self.total) * (
                at - self._accounted_until
            )
            self.waiting_s += at - self._accounted_until
        self._accounted_until = at


def run(
    jobs: t.Sequence[Job],
    hosts: list[Host],
    make_strategy: t.Callable[[Cluster, random.Random], Strategy],
    seed: int,
    until: float = math.inf,
) -> Cluster:
    """Run a workload until its end or the time `until`, and return the cluster."""
    cluster = Cluster(hosts)
    strategy = make_strategy(cluster, random.Random(seed))
    for sequence, job in enumerate(jobs):
        job.sequence = sequence
        cluster.schedule(job.arrived, "arrive", job)
        if job.cancel_at < math.inf:
            cluster.schedule(job.cancel_at, "cancel", job)
    cluster.schedule(_TICK_S, "tick", None)
    while (event := cluster.pop()) and event[0] <= until:
        now, kind, item = event
        _handle_event(cluster, strategy, now, kind, item)
        strategy.step(now, kind == "tick")
        if kind == "tick" and cluster.busy():
            cluster.schedule(now + _TICK_S, "tick", None)
    return cluster


def _handle_event(
    cluster: Cluster, strategy: Strategy, now: float, kind: str, item: t.Any
) -> None:
    if kind == "arrive":
        cluster.waiting += 1
        strategy.arrive(now, item)
    elif kind == "cancel" and item.started is None:
        strategy.cancel(now, item)
    elif kind == "end" and cluster.release(now, item):
        _handle_end(cluster, strategy, now, item)
    elif kind == "checkpointed" and cluster.release(now, item):
        _handle_checkpoint(cluster, strategy, now, item)


def _handle_end(cluster: Cluster, strategy: Strategy, now: float, run: Run) -> None:
    job = run.job
    state = AttemptState.SUCCEEDED if run.succeeds else AttemptState.FAILED
    # Such a strategy queues the failed job again in `task_ended`.
    cluster.waiting += strategy.requeues and not run.succeeds
    strategy.task_ended(now, run, state)
    job.succeeded_tasks += run.succeeds
    if job.succeeded_tasks == job.work.tasks:
        job.ended, job.ok = now, True
    elif not (run.succeeds or strategy.requeues) and job.attempts < _MAX_ATTEMPTS:
        cluster.schedule(now + _RETRY_S, "arrive", job)


def _handle_checkpoint(
    cluster: Cluster, strategy: Strategy, now: float, run: Run
) -> None:
    job = run.job
    # Writing the checkpoint takes time but makes no progress.
    job.remaining_s = (
        (job.remaining_s or job.run_s) - (now - run.started) + _CHECKPOINT_S
    )
    if strategy.requeues:
        cluster.waiting += 1
    else:
        cluster.schedule(now, "arrive", job)
    strategy.task_ended(now, run, AttemptState.CHECKPOINTED)
