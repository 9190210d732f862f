"""Virtual-time driver that feeds arrivals and end times to a scheduling strategy.

It models capacity slots only: no network, no lost messages, no worker start-up time.
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
_CHECKPOINT_S = 0.2
_MAX_ATTEMPTS = 3
_RETRY_S = 0.05


@dataclass(slots=True)
class Job:
    """One job of a workload, with its true run time and what became of it.

    Attributes
    ----------
    run_s : float
        True run time of each task in seconds; `work.declared_s` is the declared one.
    label : str
        Group of jobs whose figures are reported together.
    fails : bool
        Whether the job fails wherever it runs.
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
    left_s: float = 0.0
    preempted: int = 0
    ended_tasks: int = 0


@dataclass(slots=True)
class Host:
    """Capacity of one VM, with the fault it has.

    Attributes
    ----------
    slowdown : float
        Factor on run times.
    fails_after_s : float or None
        Time after which every task fails, or None for a healthy VM.
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
    """One task on a VM; `key` is for the strategy's use."""

    job: Job
    host: Host
    at: float
    ok: bool
    number: int
    key: str = ""
    stopping: bool = False


class Strategy(t.Protocol):
    """Scheduling strategy under test.

    Attributes
    ----------
    requeues : bool
        Whether it queues checkpointed and failed jobs itself, or drops them; if not,
        they arrive again.
    """

    requeues: bool

    def arrive(self, now: float, job: Job) -> None:
        """Take a job that arrives or returns."""

    def cancel(self, now: float, job: Job) -> None:
        """Take the cancellation of a job."""

    def ended(self, now: float, run: Run, state: AttemptState) -> None:
        """Take the end of one task on a VM, whose capacity is free again."""

    def step(self, now: float, tick: bool) -> None:
        """Start, drop or preempt jobs through the cluster."""


@dataclass(slots=True)
class Cluster:
    """VMs and running jobs; refuses to exceed a VM's capacity.

    Attributes
    ----------
    dropped : dict of str to int
        Jobs dropped by reason.
    used_area, waiting_s : float
        Integral of the used share over the time in which work waits, and that time.
    """

    hosts: list[Host]
    total: Resources = ZERO
    used: Resources = ZERO
    waiting: int = 0
    runs: dict[int, Run] = field(default_factory=dict)
    dropped: dict[str, int] = field(default_factory=dict)
    service: dict[str, float] = field(default_factory=dict)
    used_area: float = 0.0
    waiting_s: float = 0.0
    _at: float = 0.0
    _events: list[tuple[float, int, str, t.Any]] = field(default_factory=list)
    _counter: t.Iterator[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        for host in self.hosts:
            host.free = host.capacity
            self.total = self.total + host.capacity

    def start(self, now: float, job: Job, hosts: t.Sequence[Host]) -> list[Run]:
        """Start one task of a job on each of `hosts` and return their runs."""
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
        run_s, ok = self._fate(now, job, host)
        run = Run(job, host, now, ok, next(self._counter))
        self.runs[run.number] = run
        self.schedule(now + run_s, "end", run)
        return run

    def drop(self, job: Job, reason: str) -> None:
        """Answer a waiting job without running it."""
        self.waiting -= 1
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def preempt(self, now: float, run: Run) -> None:
        """Checkpoint a task; it ends shortly and is to be queued again."""
        if run.number in self.runs and not run.stopping:
            run.stopping = True
            run.job.preempted += 1
            self.schedule(now + _CHECKPOINT_S, "checkpointed", run)

    def schedule(self, at: float, kind: str, item: t.Any) -> None:
        """Add an event."""
        heapq.heappush(self._events, (at, next(self._counter), kind, item))

    def pop(self) -> tuple[float, str, t.Any] | None:
        """Take the next event and account the time until it."""
        if not self._events:
            return None
        at, _, kind, item = heapq.heappop(self._events)
        self._account(at)
        return at, kind, item

    def busy(self) -> bool:
        """Tell whether anything waits, runs or is still to come."""
        return self.waiting > 0 or bool(self.runs or self._events)

    def release(self, now: float, run: Run) -> bool:
        """Free what a run held; return False if it has ended before."""
        if self.runs.pop(run.number, None) is None:
            return False
        need, team = run.job.work.need, run.job.work.team
        run.host.free = run.host.free + need
        self.used = self.used - need
        amount = need.dominant_share(self.total) * (now - run.at)
        self.service[team] = self.service.get(team, 0.0) + amount
        return True

    def _fate(self, now: float, job: Job, host: Host) -> tuple[float, bool]:
        run_s = job.left_s or job.run_s
        if not host.fault_from <= now < host.fault_until:
            return run_s, not job.fails
        if host.fails_after_s is not None:
            return host.fails_after_s, False
        return run_s * host.slowdown, not job.fails

    def _account(self, at: float) -> None:
        if self.waiting:
            self.used_area += self.used.dominant_share(self.total) * (at - self._at)
            self.waiting_s += at - self._at
        self._at = at


def run(
    jobs: t.Sequence[Job],
    hosts: list[Host],
    make: t.Callable[[Cluster, random.Random], Strategy],
    seed: int,
    until: float = math.inf,
) -> Cluster:
    """Run a workload to its end, or to the time `until`, and return the cluster."""
    cluster = Cluster(hosts)
    strategy = make(cluster, random.Random(seed))
    for sequence, job in enumerate(jobs):
        job.sequence = sequence
        cluster.schedule(job.arrived, "arrive", job)
        if job.cancel_at < math.inf:
            cluster.schedule(job.cancel_at, "cancel", job)
    cluster.schedule(_TICK_S, "tick", None)
    while (event := cluster.pop()) and event[0] <= until:
        now, kind, item = event
        _apply(cluster, strategy, now, kind, item)
        strategy.step(now, kind == "tick")
        if kind == "tick" and cluster.busy():
            cluster.schedule(now + _TICK_S, "tick", None)
    return cluster


def _apply(
    cluster: Cluster, strategy: Strategy, now: float, kind: str, item: t.Any
) -> None:
    if kind == "arrive":
        cluster.waiting += 1
        strategy.arrive(now, item)
    elif kind == "cancel" and item.started is None:
        strategy.cancel(now, item)
    elif kind == "end" and cluster.release(now, item):
        _end(cluster, strategy, now, item)
    elif kind == "checkpointed" and cluster.release(now, item):
        _checkpointed(cluster, strategy, now, item)


def _end(cluster: Cluster, strategy: Strategy, now: float, run: Run) -> None:
    job = run.job
    state = AttemptState.SUCCEEDED if run.ok else AttemptState.FAILED
    cluster.waiting += strategy.requeues and not run.ok
    strategy.ended(now, run, state)
    job.ended_tasks += run.ok
    if job.ended_tasks == job.work.tasks:
        job.ended, job.ok = now, True
    elif not (run.ok or strategy.requeues) and job.attempts < _MAX_ATTEMPTS:
        cluster.schedule(now + _RETRY_S, "arrive", job)


def _checkpointed(cluster: Cluster, strategy: Strategy, now: float, run: Run) -> None:
    job = run.job
    job.left_s = (job.left_s or job.run_s) - (now - run.at) + _CHECKPOINT_S
    if strategy.requeues:
        cluster.waiting += 1
    else:
        cluster.schedule(now, "arrive", job)
    strategy.ended(now, run, AttemptState.CHECKPOINTED)
