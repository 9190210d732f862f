"""The package's own policy objects, composed as a strategy for the bench."""

import random
import typing as t

from .admission import Admission
from .bench_driver import Cluster, Host, Job
from .codes import Code
from .configuration import Policy, TeamSpec
from .ejection import Ejector
from .lanes import Lane, Pending
from .queues import WaitQueues
from .quota import Quotas

__all__ = ["Subject"]

_BATCH = 16


class Subject:
    """Admission, wait queues, quotas and ejection with best-fit placement.

    Parameters
    ----------
    teams : mapping of str to TeamSpec
        Teams in force.
    fair : bool
        Whether quotas bound what a team may start.
    """

    def __init__(
        self,
        cluster: Cluster,
        rng: random.Random,
        policy: Policy,
        teams: t.Mapping[str, TeamSpec] | None = None,
        fair: bool = False,
    ):
        self._cluster = cluster
        self._rng = rng
        self._fair = fair
        self.quotas = Quotas()
        self.quotas.configure(teams or {}, cluster.total)
        self.queues = WaitQueues(policy, self.quotas.share if fair else _no_share)
        self.queues.configure(policy, {"": cluster.total})
        self.admission = Admission(policy)
        self.ejector = Ejector()
        for host in cluster.hosts:
            self.ejector.add(host.name, "all")
        self._jobs: dict[str, Job] = {}

    def arrive(self, now: float, job: Job) -> None:
        """Admit or drop a job."""
        work = job.work
        if job.started is None:
            depth = self.queues.depth(work)
            team_depth = self.queues.team_depth(work)
            verdict = self.admission.admit(now, work, depth, team_depth)
            if verdict.code is not Code.ACCEPTED:
                self._cluster.drop(job, verdict.code.name.lower())
                return
        self._jobs[work.request_id] = job
        self.queues.push(now, Pending(work, job.arrived, job.sequence))
        if self._fair:
            self.quotas.waits(work.team)

    def cancel(self, now: float, job: Job) -> None:
        """Drop a job if it waits."""
        if self.queues.remove(job.work.request_id, now):
            self._dequeued(job)
            self._cluster.drop(job, "cancelled")

    def ended(
        self, now: float, job: Job, host: Host, ok: bool, elapsed_s: float
    ) -> None:
        """Account the end of a task."""
        self.queues.ended(now, job.work.request_id)
        self.ejector.record(now, host.name, ok, elapsed_s)
        if self._fair:
            self.quotas.release(job.work.team, job.work.need)

    def step(self, now: float) -> None:
        """Drop expired work and start jobs until none fits."""
        for entry in self.queues.expire(now):
            job = self._jobs[entry.work.request_id]
            self._dequeued(job)
            self._cluster.drop(job, "expired")
        while self._round(now):
            pass
        for attempt_id in self.queues.to_yield(now):
            self._cluster.preempt(now, self._jobs[attempt_id])

    def _round(self, now: float) -> bool:
        blocked: set[t.Hashable] = set()
        entries = self.queues.candidates(now, _BATCH)
        return any([self._try(now, entry, blocked) for entry in entries])  # noqa: C419

    def _try(self, now: float, entry: Pending, blocked: set[t.Hashable]) -> bool:
        work, lane = entry.work, t.cast(Lane, entry.lane)
        if lane in blocked or (lane, work.team) in blocked:
            return False
        if not self.queues.may_start(now, entry):
            blocked.add(lane)
            return False
        if self._fair and not self.quotas.allowed(work.team, work.need):
            blocked.add((lane, work.team))
            return False
        host = self._choose(now, entry)
        if host is None:
            blocked.add(lane)
            return False
        job = self._jobs[work.request_id]
        self.queues.remove(work.request_id, now)
        self.queues.started(now, work.request_id, entry, work.need)
        self._dequeued(job)
        self.admission.started(now, work)
        if self._fair:
            self.quotas.charge(work.team, work.need)
        self._cluster.start(now, job, [host])
        return True

    def _choose(self, now: float, entry: Pending) -> Host | None:
        """Return the fullest VM with room, each with its ejection weight."""
        need, best = entry.work.need, None
        for host in self._cluster.hosts:
            if not need.fits_in(host.free):
                continue
            if best is not None and _free_key(host) >= _free_key(best):
                continue
            weight = self.ejector.weight(now, host.name)
            if weight < 1.0 and self._rng.random() >= weight:
                continue
            best = host
        return best

    def _dequeued(self, job: Job) -> None:
        if self._fair:
            self.quotas.left(job.work.team)


def _no_share(team: str) -> float:
    return 0.0


def _free_key(host: Host) -> tuple[int, int, int]:
    return host.free.gpus, host.free.cpu_m, host.free.mem_mb
