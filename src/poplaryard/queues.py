"""Wait queues of one shard: priority tiers, lanes, and the reserve for short work."""

import heapq
import itertools
import math
import typing as t
from collections import OrderedDict

from .configuration import Policy
from .lanes import (
    Lane,
    LaneQueue,
    QueueEntry,
    class_of,
    lane_of,
    latest_start,
    task_usage,
)
from .messages import Priority, Work
from .reserve import Reserve
from .resources import ZERO, Resources

__all__ = ["Lane", "QueueEntry", "WaitQueues", "class_of"]

# Negated priority, and whether the work is long; smaller tiers go first.
_Tier: t.TypeAlias = tuple[int, bool]


def _zero_share(team: str) -> float:
    return 0.0


class WaitQueues:
    """Work that waits in one shard.

    Urgent work goes first, then work of normal and low priority; inside a priority,
    short work goes before long work. The lanes of one such tier take turns, so that
    work that fits nowhere does not block work that fits.

    Parameters
    ----------
    policy : Policy
        Current scheduling policy.
    share : callable
        Current weighted share of a team; teams with less go first.
    """

    def __init__(self, policy: Policy, share: t.Callable[[str], float] = _zero_share):
        self._policy = policy
        self._share = share
        self._entries: dict[str, QueueEntry] = {}
        self._tiers: dict[_Tier, OrderedDict[Lane, LaneQueue]] = {}
        self._team_lanes: dict[str, dict[Lane, int]] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._depths: dict[str, int] = {}
        self._team_depths: dict[tuple[str, str], int] = {}
        self._reserves: dict[str, Reserve] = {}
        self._pool_and_team: dict[str, tuple[str, str]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    def configure(self, policy: Policy, capacity: t.Mapping[str, Resources]) -> None:
        """Apply a new policy and the capacity of each resource pool.

        Parameters
        ----------
        capacity : mapping of str to Resources
            Capacity by target (in units of `SLOT`) or VM group; ``""`` stands for
            work that names neither.
        """
        self._policy = policy
        for pool, total in capacity.items():
            self._reserve(pool).total = total
        for reserve in self._reserves.values():
            reserve.policy = policy

    def get(self, request_id: str) -> QueueEntry | None:
        """Return the waiting entry of a request, if any."""
        return self._entries.get(request_id)

    def depth(self, work: Work) -> int:
        """Return the number of entries that wait in the class of `work`."""
        return self._depths.get(class_of(work), 0)

    def team_depth(self, work: Work) -> int:
        """Return the number of entries of the team of `work` in its class."""
        return self._team_depths.get((class_of(work), work.team), 0)

    def push(self, now: float, entry: QueueEntry) -> None:
        """Add an entry; one queued again keeps its sequence and so its position."""
        work = entry.work
        lane = entry.lane = lane_of(entry, self._policy.short_s)
        tier = self._tiers.setdefault(_tier_of(lane), OrderedDict())
        if lane not in tier:
            tier[lane] = LaneQueue(self._share)
        tier[lane].add(entry)
        self._entries[work.request_id] = entry
        entry.waiting = work.tasks - entry.next_task
        self._update_counts(now, entry, lane, 1)
        entry.latest = latest_start(entry) if work.deadline < math.inf else math.inf
        if entry.latest < math.inf:
            item = (entry.latest, entry.sequence, work.request_id)
            heapq.heappush(self._deadlines, item)

    def remove(self, request_id: str, now: float = 0.0) -> QueueEntry | None:
        """Remove and return an entry; return None if it does not wait."""
        entry = self._entries.pop(request_id, None)
        if entry is None or entry.lane is None:
            return None
        tier = self._tiers[_tier_of(entry.lane)]
        queue = tier[entry.lane]
        queue.discard(entry)
        if not queue:
            del tier[entry.lane]
        self._update_counts(now, entry, entry.lane, -1)
        return entry

    def candidates(self, now: float, limit: int) -> list[QueueEntry]:
        """Return at most `limit` live entries in the order to try them.

        The entries stay queued; the caller removes those that it places, and asks
        `may_start` before each start. If one does not fit, no other entry with the
        same `lane` does.
        """
        tiers = [key for key in sorted(self._tiers) if self._tiers[key]]
        found: list[QueueEntry] = []
        for key in tiers:
            # Each tier but the last gets half of what is left of `limit`, so that work
            # that fits nowhere does not fill the whole result.
            rest = limit - len(found)
            budget = rest if key == tiers[-1] else math.ceil(rest / 2)
            found += itertools.islice(self._walk_tier(now, key, budget), budget)
        return found

    def may_start(self, now: float, entry: QueueEntry) -> bool:
        """Return whether one more task of an entry leaves the reserve free.

        Each start of long work changes the answer, so ask before every start.
        """
        lane = entry.lane or lane_of(entry, self._policy.short_s)
        return self._lane_may_start(now, lane)

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return the entries that can no longer meet their deadline."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(request_id)
            if entry is not None and entry.sequence == sequence:
                self.remove(request_id, now)
                expired.append(entry)
        return expired

    def started(
        self,
        now: float,
        attempt_id: str,
        entry: QueueEntry,
        charge: Resources | None = None,
    ) -> None:
        """Account for the capacity that a started task holds.

        Parameters
        ----------
        charge : Resources or None
            Amount charged; an executor slot or the declared need if None.
        """
        charge = task_usage(entry.work) if charge is None else charge
        lane = entry.lane or lane_of(entry, self._policy.short_s)
        reserve = self._reserve(lane.resource_pool)
        reserve.started(now, attempt_id, charge, lane.long, lane.checkpointable)
        self._pool_and_team[attempt_id] = (lane.resource_pool, entry.work.team)
        self.reorder(entry.work.team)

    def ended(self, now: float, attempt_id: str) -> None:
        """Account for the capacity that an ended task released."""
        pool, team = self._pool_and_team.pop(attempt_id, ("", ""))
        if team:
            self._reserve(pool).ended(now, attempt_id)
            self.reorder(team)

    def to_yield(self, now: float) -> list[str]:
        """Return the long attempts to checkpoint to make room for short work.

        Each attempt is returned once.
        """
        return [
            attempt_id
            for reserve in self._reserves.values()
            for attempt_id in reserve.to_yield()
        ]

    def reorder(self, team: str) -> None:
        """Reorder the lanes of a team after a change of its share."""
        for lane in self._team_lanes.get(team, ()):
            self._tiers[_tier_of(lane)][lane].reorder(team)

    def _walk_tier(self, now: float, key: _Tier, budget: int) -> t.Iterator[QueueEntry]:
        """Yield live entries of one tier, taking turns among its lanes.

        At most `budget` lanes are visited, and they then go to the back. So the cost
        of a call does not depend on the number of lanes.
        """
        tier = self._tiers[key]
        lanes = list(itertools.islice(tier, budget))
        if len(tier) > budget:
            for lane in lanes:
                tier.move_to_end(lane)
        walks = [tier[lane].walk() for lane in lanes if self._lane_may_start(now, lane)]
        while walks:
            next_entries = [(walk, _next_live(walk, now)) for walk in walks]
            live = [entry for _, entry in next_entries if entry is not None]
            yield from sorted(live, key=lambda entry: entry.sequence)
            walks = [walk for walk, entry in next_entries if entry is not None]

    def _lane_may_start(self, now: float, lane: Lane) -> bool:
        if not lane.long or lane.priority is Priority.URGENT:
            return True
        reserve = self._reserve(lane.resource_pool)
        return reserve.long_allowed(now, lane.need, lane.checkpointable)

    def _reserve(self, pool: str) -> Reserve:
        if pool not in self._reserves:
            self._reserves[pool] = Reserve(self._policy, ZERO)
        return self._reserves[pool]

    def _update_counts(
        self, now: float, entry: QueueEntry, lane: Lane, step: int
    ) -> None:
        work = entry.work
        name = class_of(work)
        _adjust(self._depths, name, step)
        _adjust(self._team_depths, (name, work.team), step)
        lanes = self._team_lanes.setdefault(work.team, {})
        _adjust(lanes, lane, step)
        if not lanes:
            del self._team_lanes[work.team]
        if not lane.long:
            self._reserve(lane.resource_pool).add_waiting(
                now, lane.need, step * entry.waiting
            )


def _tier_of(lane: Lane) -> _Tier:
    return -int(lane.priority), lane.long


def _next_live(walk: t.Iterator[QueueEntry], now: float) -> QueueEntry | None:
    return next((entry for entry in walk if entry.latest > now), None)


def _adjust(counts: dict[t.Any, int], key: t.Hashable, step: int) -> None:
    counts[key] = counts.get(key, 0) + step
    if not counts[key]:
        del counts[key]
