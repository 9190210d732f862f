"""Weighted dominant-resource fairness between the tenants of one partition.

Source: Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.

`poplaryard.quota.Quotas` is not used here. It decides whether an attempt of a team may
borrow, keeps part of the capacity free for that, and follows waiting jobs one by one.
Here shares order the steps of a pass and refuse nothing. Both compute dominant shares
by `Resources.dominant_share`.
"""

import typing as t
from heapq import heapify, heappop, heapreplace

from ...resources import ZERO, Resources

__all__ = ["ShareOrder", "Shares", "Step"]

# Width of the levels above the fair share, as a fraction of the fair share. Within a
# level, lateness decides; narrower levels leave it no effect, wider ones let a tenant
# with a long queue get this much more than the others that are above their shares.
LEVEL_WIDTH = 0.25
# Weight of a tenant that is not configured while no tenant is.
DEFAULT_WEIGHT = 1.0

Rank: t.TypeAlias = tuple[int, int, int, float]


class Step(t.Protocol):
    """Waiting step; the second item of its rank is the level of its tenant."""

    rank: Rank

    @property
    def tenant(self) -> str:
        """Name of its tenant; empty without one."""


_S = t.TypeVar("_S", bound=Step)


class Shares:
    """Share of each tenant in a partition, compared with its fair share.

    The fair share of a tenant is its weight divided by the weights of all tenants that
    run or wait in the partition.

    Parameters
    ----------
    weights : mapping of str to float
        Weights of the configured tenants. Others count with the smallest of them.
    total : Resources
        Capacity of the partition.
    used : mapping of str to Resources
        Needs of the runs of each tenant.
    waiting : iterable of str
        Tenants with waiting tasks.

    Attributes
    ----------
    changes : int
        Number of times that the level of a tenant has changed.
    """

    def __init__(
        self,
        weights: t.Mapping[str, float],
        total: Resources,
        used: t.Mapping[str, Resources],
        waiting: t.Iterable[str],
    ):
        self._total = total
        self._used = dict(used)
        lowest = min(weights.values(), default=DEFAULT_WEIGHT)
        active = {*used, *waiting} - {""}
        self._weights = {tenant: weights.get(tenant, lowest) for tenant in active}
        self._sum = sum(self._weights.values())
        self._levels: dict[str, int] = {}
        self.changes = 0

    def copy(self) -> "Shares":
        """Return shares that are charged independently of these."""
        other = Shares({}, self._total, self._used, ())
        other._weights, other._sum = self._weights, self._sum
        other._levels = dict(self._levels)
        return other

    def charge(self, tenant: str, need: Resources) -> None:
        """Count resources that a tenant has got."""
        if tenant:
            level = self.level(tenant)
            self._used[tenant] = self._used.get(tenant, ZERO) + need
            del self._levels[tenant]
            self.changes += self.level(tenant) != level

    def share(self, tenant: str) -> float:
        """Return the largest fraction of any resource that a tenant uses."""
        return self._used.get(tenant, ZERO).dominant_share(self._total)

    def fair_share(self, tenant: str) -> float:
        """Return the fair share of a tenant; 1 if it neither runs nor waits."""
        weight = self._weights.get(tenant)
        return weight / self._sum if weight else 1.0

    def level(self, tenant: str) -> int:
        """Return 0 below the fair share, and more the further above it.

        A tenant that has just its fair share counts as above, since what it starts
        next exceeds the share.
        """
        if not tenant:
            return 0
        level = self._levels.get(tenant)
        if level is None:
            ratio = self.share(tenant) / self.fair_share(tenant)
            level = 1 + int((ratio - 1.0) / LEVEL_WIDTH) if ratio >= 1.0 else 0
            self._levels[tenant] = level
        return level

    def missing(self, tenant: str) -> Resources:
        """Return what a tenant may use beyond now until it has its fair share."""
        fair = self.fair_share(tenant)
        due = Resources(
            int(fair * self._total.cpu_m),
            int(fair * self._total.mem_mb),
            int(fair * self._total.gpus),
        )
        return (due - self._used.get(tenant, ZERO)).maximum(ZERO)

    def is_above(self, tenant: str) -> bool:
        """Return whether a tenant has its fair share or more."""
        return self.level(tenant) > 0

    def may_preempt(self, tenant: str, other: str) -> bool:
        """Return whether a run of another tenant may be preempted for a tenant.

        Jobs without a tenant are never above a fair share.
        """
        return self.is_above(other) or not self.is_above(tenant)


class ShareOrder(t.Generic[_S]):
    """Iterates over waiting steps in the order of their ranks.

    The level of a step's tenant is determined anew when the step is due, since steps
    before it may have been given resources. Until a level changes, this is the given
    order. From then on, a step costs time of order log k with k tenants.

    Parameters
    ----------
    steps : sequence of Step
        Waiting steps, sorted by rank.
    shares : Shares
        Charged by the caller while it iterates.
    """

    def __init__(self, steps: t.Sequence[_S], shares: Shares):
        self._steps = steps
        self._next = 0
        self._shares = shares
        self._changes = shares.changes
        self._queues: dict[str, list[_S]] | None = None
        self._heap: list[tuple[Rank, str]] = []
        self._tenant = ""

    def __iter__(self) -> t.Iterator[_S]:
        return self

    def __next__(self) -> _S:
        """Return the next step; its rank has the present level of its tenant."""
        if self._queues is not None:
            return self._pop(self._queues)
        if self._changes != self._shares.changes:
            return self._pop(self._divide())
        if self._next == len(self._steps):
            raise StopIteration
        self._next += 1
        return self._steps[self._next - 1]

    def postpone(self, step: _S) -> None:
        """Return the last step to the queue, since its tenant's level has risen."""
        queues = self._divide() if self._queues is None else self._queues
        queues.setdefault(step.tenant, []).append(step)

    def _divide(self) -> dict[str, list[_S]]:
        """Divide the steps that are left by tenant."""
        queues: dict[str, list[_S]] = {}
        for step in reversed(self._steps[self._next :]):
            queues.setdefault(step.tenant, []).append(step)
        self._queues = queues
        self._tenant = self._steps[self._next - 1].tenant if self._next else ""
        # The queue of the last tenant enters the heap with the next step.
        self._heap = [
            (self._rank(queue), tenant)
            for tenant, queue in queues.items()
            if tenant != self._tenant
        ]
        heapify(self._heap)
        return queues

    def _pop(self, queues: dict[str, list[_S]]) -> _S:
        """Return the step with the lowest rank among the heads of the queues."""
        queue = queues.get(self._tenant)
        if queue:
            entry = self._rank(queue), self._tenant
            if self._heap and self._heap[0] < entry:
                self._tenant = heapreplace(self._heap, entry)[1]
        elif self._heap:
            self._tenant = heappop(self._heap)[1]
        else:
            raise StopIteration
        return queues[self._tenant].pop()

    def _rank(self, queue: list[_S]) -> Rank:
        """Return the rank of the first step of a queue, with its present level."""
        step = queue[-1]
        level = self._shares.level(step.tenant)
        if level != step.rank[1]:
            priority, _, lateness, due_at = step.rank
            step.rank = priority, level, lateness, due_at
        return step.rank
