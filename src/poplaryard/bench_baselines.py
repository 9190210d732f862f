"""Baseline strategies: first fit in arrival order, random feasible, least loaded."""

import random
import typing as t
from collections import OrderedDict

from .bench_driver import Cluster, Host, Job, Run
from .messages import AttemptState
from .resources import Resources

__all__ = ["BASELINES", "FirstFit", "LeastLoaded", "RandomFeasible"]

# Resources of each task and number of tasks of a job.
_JobShape: t.TypeAlias = tuple[Resources, int]


class FirstFit:
    """Starts jobs in arrival order, each on the first VM with room.

    A job that does not fit is skipped until capacity is free. Queues are unbounded, and
    jobs run even after their deadline.
    """

    requeues = False

    def __init__(self, cluster: Cluster, rng: random.Random):
        self._cluster = cluster
        self._rng = rng
        self._queues: dict[_JobShape, OrderedDict[str, Job]] = {}

    def arrive(self, now: float, job: Job) -> None:
        """Queue a job behind the others of its shape."""
        shape = (job.work.need, job.work.tasks)
        self._queues.setdefault(shape, OrderedDict())[job.work.request_id] = job

    def cancel(self, now: float, job: Job) -> None:
        """Drop a job if it is waiting."""
        shape = (job.work.need, job.work.tasks)
        if self._queues[shape].pop(job.work.request_id, None):
            self._cluster.drop(job, "cancelled")

    def task_ended(self, now: float, run: Run, state: AttemptState) -> None:
        """Do nothing; the next step uses the freed capacity."""

    def step(self, now: float, tick: bool) -> None:
        """Start waiting jobs until none fits."""
        blocked: set[_JobShape] = set()
        while (shape := self._next_shape(blocked)) is not None:
            hosts = self._choose_hosts(*shape)
            if len(hosts) < shape[1]:
                blocked.add(shape)
                continue
            job = self._take(shape)
            self._cluster.start(now, job, hosts)

    def _next_shape(self, blocked: set[_JobShape]) -> _JobShape | None:
        heads = (
            (next(iter(queue.values())).sequence, shape)
            for shape, queue in self._queues.items()
            if queue and shape not in blocked
        )
        return min(heads, key=lambda head: head[0], default=(0, None))[1]

    def _take(self, shape: _JobShape) -> Job:
        return self._queues[shape].popitem(last=False)[1]

    def _choose_hosts(self, need: Resources, tasks: int) -> list[Host]:
        """Return one VM per task, or fewer if not all tasks fit."""
        chosen: list[Host] = []
        for host in self._candidates(need):
            room = _tasks_that_fit(host, need)
            chosen += [host] * min(room, tasks - len(chosen))
            if len(chosen) == tasks:
                break
        return chosen

    def _candidates(self, need: Resources) -> t.Iterable[Host]:
        """Return the VMs in the order in which they are tried."""
        return self._cluster.hosts


class LeastLoaded(FirstFit):
    """Starts jobs in arrival order, each on the VM with the smallest used share."""

    def _candidates(self, need: Resources) -> t.Iterable[Host]:
        return sorted(self._cluster.hosts, key=_used_share)


class RandomFeasible(FirstFit):
    """Starts random waiting jobs that fit, on random VMs with room."""

    def __init__(self, cluster: Cluster, rng: random.Random):
        super().__init__(cluster, rng)
        self._request_ids: dict[_JobShape, list[str]] = {}

    def arrive(self, now: float, job: Job) -> None:
        """Queue a job."""
        super().arrive(now, job)
        shape = (job.work.need, job.work.tasks)
        self._request_ids.setdefault(shape, []).append(job.work.request_id)

    def _next_shape(self, blocked: set[_JobShape]) -> _JobShape | None:
        shapes = [s for s, q in self._queues.items() if q and s not in blocked]
        if not shapes:
            return None
        weights = [len(self._queues[shape]) for shape in shapes]
        return self._rng.choices(shapes, weights)[0]

    def _take(self, shape: _JobShape) -> Job:
        request_ids, queue = self._request_ids[shape], self._queues[shape]
        # Cancelled jobs are still listed here but no longer queued.
        while True:
            index = self._rng.randrange(len(request_ids))
            request_ids[index], request_ids[-1] = request_ids[-1], request_ids[index]
            job = queue.pop(request_ids.pop(), None)
            if job is not None:
                return job

    def _candidates(self, need: Resources) -> t.Iterable[Host]:
        hosts = [host for host in self._cluster.hosts if need.fits_in(host.free)]
        self._rng.shuffle(hosts)
        return hosts


def _tasks_that_fit(host: Host, need: Resources) -> int:
    """Return how many tasks of the given size fit in the free capacity."""
    pairs = (
        (host.free.cpu_m, need.cpu_m),
        (host.free.mem_mb, need.mem_mb),
        (host.free.gpus, need.gpus),
    )
    return min((free // part for free, part in pairs if part), default=0)


def _used_share(host: Host) -> float:
    return (host.capacity - host.free).dominant_share(host.capacity)


BASELINES: dict[str, t.Callable[[Cluster, random.Random], FirstFit]] = {
    "first fit": FirstFit,
    "random feasible": RandomFeasible,
    "least loaded": LeastLoaded,
}
