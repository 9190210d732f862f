"""Baseline strategies: first fit in arrival order, random feasible, least loaded."""

import random
import typing as t
from collections import OrderedDict

from .bench_driver import Cluster, Host, Job, Run
from .messages import AttemptState
from .resources import Resources

__all__ = ["BASELINES", "FirstFit", "LeastLoaded", "RandomFeasible"]

_Shape: t.TypeAlias = tuple[Resources, int]


class FirstFit:
    """Jobs in arrival order, each on the first VM with room.

    A job that does not fit is passed over; queues have no bound, and expired work is
    run.
    """

    requeues = False

    def __init__(self, cluster: Cluster, rng: random.Random):
        self._cluster = cluster
        self._rng = rng
        self._queues: dict[_Shape, OrderedDict[str, Job]] = {}

    def arrive(self, now: float, job: Job) -> None:
        """Queue a job behind the others of its shape."""
        shape = (job.work.need, job.work.tasks)
        self._queues.setdefault(shape, OrderedDict())[job.work.request_id] = job

    def cancel(self, now: float, job: Job) -> None:
        """Drop a job if it waits."""
        shape = (job.work.need, job.work.tasks)
        if self._queues[shape].pop(job.work.request_id, None):
            self._cluster.drop(job, "cancelled")

    def ended(self, now: float, run: Run, state: AttemptState) -> None:
        """Ignore the end of a task."""

    def step(self, now: float, tick: bool) -> None:
        """Start jobs until none fits."""
        blocked: set[_Shape] = set()
        while (shape := self._next_shape(blocked)) is not None:
            hosts = self._hosts(*shape)
            if len(hosts) < shape[1]:
                blocked.add(shape)
                continue
            job = self._take(shape)
            self._cluster.start(now, job, hosts)

    def _next_shape(self, blocked: set[_Shape]) -> _Shape | None:
        heads = (
            (next(iter(queue.values())).sequence, shape)
            for shape, queue in self._queues.items()
            if queue and shape not in blocked
        )
        return min(heads, key=lambda head: head[0], default=(0, None))[1]

    def _take(self, shape: _Shape) -> Job:
        return self._queues[shape].popitem(last=False)[1]

    def _hosts(self, need: Resources, tasks: int) -> list[Host]:
        """Return one VM per task, fewer if they do not all fit."""
        chosen: list[Host] = []
        for host in self._order(need):
            room = _room(host, need)
            chosen += [host] * min(room, tasks - len(chosen))
            if len(chosen) == tasks:
                break
        return chosen

    def _order(self, need: Resources) -> t.Iterable[Host]:
        return self._cluster.hosts


class LeastLoaded(FirstFit):
    """Jobs in arrival order, each on the VM with the smallest used share."""

    def _order(self, need: Resources) -> t.Iterable[Host]:
        return sorted(self._cluster.hosts, key=_used_share)


class RandomFeasible(FirstFit):
    """A random waiting job that fits, on random VMs with room."""

    def __init__(self, cluster: Cluster, rng: random.Random):
        super().__init__(cluster, rng)
        self._keys: dict[_Shape, list[str]] = {}

    def arrive(self, now: float, job: Job) -> None:
        """Queue a job."""
        super().arrive(now, job)
        shape = (job.work.need, job.work.tasks)
        self._keys.setdefault(shape, []).append(job.work.request_id)

    def _next_shape(self, blocked: set[_Shape]) -> _Shape | None:
        shapes = [s for s, q in self._queues.items() if q and s not in blocked]
        if not shapes:
            return None
        weights = [len(self._queues[shape]) for shape in shapes]
        return self._rng.choices(shapes, weights)[0]

    def _take(self, shape: _Shape) -> Job:
        keys, queue = self._keys[shape], self._queues[shape]
        while True:
            index = self._rng.randrange(len(keys))
            keys[index], keys[-1] = keys[-1], keys[index]
            job = queue.pop(keys.pop(), None)
            if job is not None:
                return job

    def _order(self, need: Resources) -> t.Iterable[Host]:
        hosts = [host for host in self._cluster.hosts if need.fits_in(host.free)]
        self._rng.shuffle(hosts)
        return hosts


def _room(host: Host, need: Resources) -> int:
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
