"""Queue policies weighed against the reserve: by size, and multi-level feedback."""

import heapq
import random

from .bench_driver import Cluster, Host, Job

__all__ = ["VARIANTS", "MultiLevelFeedback", "ShortestFirst"]

_QUANTUM_S = 8.0


class ShortestFirst:
    """Shortest declared run time first, on the fullest VM."""

    def __init__(self, cluster: Cluster, rng: random.Random):
        self._cluster = cluster
        self._heap: list[tuple[float, int, Job]] = []

    def arrive(self, now: float, job: Job) -> None:
        """Queue a job."""
        heapq.heappush(self._heap, (self._key(job), job.sequence, job))

    def _key(self, job: Job) -> float:
        return job.work.declared_s

    def cancel(self, now: float, job: Job) -> None:
        """Ignore cancellations, which the workload does not have."""

    def ended(
        self, now: float, job: Job, host: Host, ok: bool, elapsed_s: float
    ) -> None:
        """Ignore the end of a task."""

    def step(self, now: float) -> None:
        """Start jobs until none fits."""
        while self._heap:
            job = self._heap[0][2]
            fits = [h for h in self._cluster.hosts if job.work.need.fits_in(h.free)]
            if not fits:
                break
            heapq.heappop(self._heap)
            host = min(fits, key=lambda host: host.free.gpus)
            self._cluster.start(now, job, [host])


class MultiLevelFeedback(ShortestFirst):
    """New work first; work that outruns its quantum is checkpointed and demoted.

    The quantum of each level is twice that of the one before. A demoted job is stopped
    only if other work waits.
    """

    def __init__(self, cluster: Cluster, rng: random.Random):
        super().__init__(cluster, rng)
        self._levels: dict[int, int] = {}

    def _key(self, job: Job) -> float:
        return self._levels.get(job.sequence, 0)

    def step(self, now: float) -> None:
        """Start jobs, then demote those that outran their quantum."""
        super().step(now)
        if not self._heap:
            return
        for run in self._cluster.runs.values():
            job = run.job
            level = self._levels.get(job.sequence, 0)
            outran = now - run.at >= _QUANTUM_S * 2**level
            if outran and job.work.checkpointable and not run.stopping:
                self._levels[job.sequence] = level + 1
                self._cluster.preempt(now, job)


VARIANTS = {"shortest first": ShortestFirst, "multi-level": MultiLevelFeedback}
