"""Virtual-time driver that feeds arrivals and end times to a scheduling strategy.

It models capacity slots only: no network, no lost messages, no worker start-up time.
"""

import heapq
import itertools
import math
import random
import typing as t
from dataclasses import dataclass, field

from .messages import Work
from .resources import ZERO, Resources

__all__ = ["Cluster", "Host", "Job", "Strategy", "run"]

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
    """

    work: Work
    run_s: float
    arrived: float
    label: str = "all"
    cancel_at: float = math.inf
    sequence: int = 0
    started: float | None = None
    ended: float | None = None
    ok: bool = False
    attempts: int = 0
    left_s: float = 0.0
    preempted: int = 0


@dataclass(slots=True)
class Host:
    """Capacity of one VM, with the fault it has.

    Attributes
    ----------
    slowdown : float
        Factor on run times.
    fails_after_s : float or None
        Time after which every task fails, or None for a healthy VM.
    fault_until : float
        Time at which the fault ends.
    """

    name: str
    capacity: Resources
    free: Resources = ZERO
    running: int = 0
    slowdown: float = 1.0
    fails_after_s: float | None = None
    fault_until: float = math.inf


class Strategy(t.Protocol):
    """Scheduling strategy under test."""

    def arrive(self, now: float, job: Job) -> None:
        """Take a job that arrives or returns."""

    def cancel(self, now: float, job: Job) -> None:
        """Take the cancellation of a job that waits."""

    def ended(
        self, now: float, job: Job, host: Host, ok: bool, elapsed_s: float
    ) -> None:
        """Take the end of one task on a VM, whose capacity is free again."""

    def step(self, now: float) -> None:
        """Start, drop or preempt jobs through the cluster."""


@dataclass(slots=True)
class _Run:
    job: Job
    hosts: tuple[Host, ...]
    at: float
    ok: bool
    stopping: bool = False


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
    runs: dict[str, _Run] = field(default_factory=dict)
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

    def start(self, now: float, job: Job, hosts: t.Sequence[Host]) -> None:
        """Start all tasks of a job, one per element of `hosts`."""
        for host in hosts:
            if not job.work.need.fits_in(host.free):
                raise AssertionError(f"{host.name} has no room for {job.work.need}")
            host.free = host.free - job.work.need
            host.running += 1
            self.used = self.used + job.work.need
        if job.started is None:
            job.started = now
        job.attempts += 1
        self.waiting -= 1
        run_s, ok = self._fate(now, job, hosts)
        run = _Run(job, tuple(hosts), now, ok)
        self.runs[job.work.request_id] = run
        self.schedule(now + run_s, "end", run)

    def drop(self, job: Job, reason: str) -> None:
        """Answer a waiting job without running it."""
        self.waiting -= 1
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def preempt(self, now: float, job: Job) -> None:
        """Checkpoint a running job; it ends shortly and is to be queued again."""
        run = self.runs[job.work.request_id]
        if run.stopping:
            return
        run.stopping = True
        job.preempted += 1
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

    def is_running(self, run: _Run) -> bool:
        """Tell whether a run has not ended yet."""
        return self.runs.get(run.job.work.request_id) is run

    def release(self, now: float, run: _Run) -> None:
        """Free what an ended run held."""
        del self.runs[run.job.work.request_id]
        need, team = run.job.work.need, run.job.work.team
        for host in run.hosts:
            host.free = host.free + need
            host.running -= 1
            self.used = self.used - need
        amount = need.dominant_share(self.total) * len(run.hosts) * (now - run.at)
        self.service[team] = self.service.get(team, 0.0) + amount

    def _fate(
        self, now: float, job: Job, hosts: t.Sequence[Host]
    ) -> tuple[float, bool]:
        faulty = [host for host in hosts if now < host.fault_until]
        fails = [h.fails_after_s for h in faulty if h.fails_after_s is not None]
        if fails:
            return min(fails), False
        slowdown = max((host.slowdown for host in faulty), default=1.0)
        return (job.left_s or job.run_s) * slowdown, True

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
        strategy.step(now)
        if kind == "tick" and (cluster.waiting or cluster.runs or cluster._events):
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
    elif kind in ("end", "checkpointed") and cluster.is_running(item):
        cluster.release(now, item)
        finish = _end if kind == "end" else _checkpointed
        finish(cluster, strategy, now, item)


def _end(cluster: Cluster, strategy: Strategy, now: float, run: _Run) -> None:
    job = run.job
    for host in run.hosts:
        strategy.ended(now, job, host, run.ok, now - run.at)
    if run.ok:
        job.ended, job.ok = now, True
    elif job.attempts < _MAX_ATTEMPTS:
        cluster.schedule(now + _RETRY_S, "arrive", job)
    else:
        job.ended = now


def _checkpointed(cluster: Cluster, strategy: Strategy, now: float, run: _Run) -> None:
    job = run.job
    job.left_s = (job.left_s or job.run_s) - (now - run.at) + _CHECKPOINT_S
    for host in run.hosts:
        strategy.ended(now, job, host, True, now - run.at)
    cluster.schedule(now, "arrive", job)
