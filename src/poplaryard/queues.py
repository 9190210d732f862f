"""Waiting work: priority levels, short and long work, reserved share."""

import heapq
import itertools
import typing as t
from collections import OrderedDict
from dataclasses import dataclass, field

from .configuration import Policy
from .messages import Priority, Work
from .resources import ZERO, Resources

__all__ = ["Lane", "Pending", "WaitQueues", "class_of", "lane_of"]


class Lane(t.NamedTuple):
    """Work that competes for the same VMs with the same need.

    If the head of a lane cannot be placed now, nothing behind it in the lane can.
    """

    priority: Priority
    long: bool
    place: str
    need: Resources


@dataclass(slots=True)
class Pending:
    """One request that waits for a place.

    Attributes
    ----------
    arrived : float
        Monotonic time of arrival in seconds.
    sequence : int
        Order of arrival; ties in time are broken by it.
    next_task : int
        First task that has not been started yet.
    expected_s : float
        Expected run time of one task in seconds.
    reason : str
        Why the work waits, as one sentence for `explain`.
    """

    work: Work
    arrived: float
    sequence: int
    next_task: int = 0
    attempt: int = 0
    expected_s: float = 0.0
    reason: str = ""
    reply_to: str = ""
    lane: Lane | None = field(default=None, repr=False)


def class_of(work: Work) -> str:
    """Return the class of work whose queue is bounded as one."""
    return f"{work.kind}:{work.target or work.group}"


def lane_of(work: Work, expected_s: float, short_s: float) -> Lane:
    """Return the lane of a work by priority, length, place and need."""
    place = work.target or work.group
    return Lane(work.priority, expected_s > short_s, place, work.need)


class WaitQueues:
    """Work that waits in one shard.

    Urgent work goes first, then work of normal and low priority. Inside a priority the
    lanes take turns, so that work that fits nowhere does not block work that does.
    Long work is held back once it holds all but the share reserved for short work.

    Parameters
    ----------
    policy : Policy
        Policy figures in force.
    """

    def __init__(self, policy: Policy):
        self._policy = policy
        self._entries: dict[str, Pending] = {}
        self._lanes: dict[Lane, OrderedDict[str, Pending]] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._depths: dict[str, int] = {}
        self._team_depths: dict[tuple[str, str], int] = {}
        self._total = ZERO
        self._long_held = ZERO

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    def configure(self, policy: Policy, total: Resources) -> None:
        """Take new policy figures and the capacity of the shard."""
        self._policy = policy
        self._total = total

    def get(self, request_id: str) -> Pending | None:
        """Return the waiting entry of a request, if any."""
        return self._entries.get(request_id)

    def depth(self, work: Work) -> int:
        """Return the number of entries that wait in the class of a work."""
        return self._depths.get(class_of(work), 0)

    def team_depth(self, work: Work) -> int:
        """Return the number of entries of the work's team in its class."""
        return self._team_depths.get((class_of(work), work.team), 0)

    def push(self, now: float, entry: Pending) -> None:
        """Add an entry; one that returns keeps its arrival time and its place."""
        work = entry.work
        expected_s = entry.expected_s or work.declared_s
        entry.lane = lane_of(work, expected_s, self._policy.short_s)
        lane = self._lanes.setdefault(entry.lane, OrderedDict())
        behind = lane and next(reversed(lane.values())).sequence > entry.sequence
        lane[work.request_id] = entry
        if behind:
            lane.move_to_end(work.request_id, last=False)
        self._entries[work.request_id] = entry
        self._count(work, 1)
        if work.deadline != float("inf"):
            item = (work.deadline, entry.sequence, work.request_id)
            heapq.heappush(self._deadlines, item)

    def remove(self, request_id: str) -> Pending | None:
        """Take an entry out and return it; None if it does not wait."""
        entry = self._entries.pop(request_id, None)
        if entry is None or entry.lane is None:
            return None
        lane = self._lanes[entry.lane]
        del lane[request_id]
        if not lane:
            del self._lanes[entry.lane]
        self._count(entry.work, -1)
        return entry

    def candidates(self, now: float, limit: int) -> list[Pending]:
        """Return at most `limit` live entries in the order to try them.

        The entries stay queued; the caller removes those that it places.
        """
        found: list[Pending] = []
        for _, lanes in itertools.groupby(self._ordered(), key=lambda item: item[0]):
            walks = [iter(lane.values()) for _, lane in lanes]
            self._take_turns(walks, now, limit, found)
            if len(found) >= limit:
                break
        return found

    def expire(self, now: float) -> list[Pending]:
        """Remove and return the entries whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(request_id)
            if entry is not None and entry.sequence == sequence:
                self.remove(request_id)
                expired.append(entry)
        return expired

    def started(self, entry: Pending, charge: Resources) -> None:
        """Account the capacity that a started task holds."""
        if entry.lane is not None and entry.lane.long:
            self._long_held = self._long_held + charge

    def ended(self, entry: Pending, charge: Resources) -> None:
        """Account the capacity that an ended task gave back."""
        if entry.lane is not None and entry.lane.long:
            self._long_held = self._long_held - charge

    def _ordered(self) -> list[tuple[int, OrderedDict[str, Pending]]]:
        held = self._long_held.dominant_share(self._total)
        long_allowed = held < 1.0 - self._policy.short_share
        lanes = [
            (-int(key.priority), key.long, next(iter(lane.values())).sequence, lane)
            for key, lane in self._lanes.items()
            if not key.long or long_allowed or key.priority is Priority.URGENT
        ]
        lanes.sort(key=lambda item: item[:3])
        return [(priority, lane) for priority, _, _, lane in lanes]

    @staticmethod
    def _take_turns(
        walks: list[t.Iterator[Pending]],
        now: float,
        limit: int,
        found: list[Pending],
    ) -> None:
        while walks and len(found) < limit:
            remaining = []
            for walk in walks:
                entry = next((e for e in walk if e.work.deadline > now), None)
                if entry is None:
                    continue
                found.append(entry)
                if len(found) >= limit:
                    return
                remaining.append(walk)
            walks = remaining

    def _count(self, work: Work, step: int) -> None:
        name = class_of(work)
        _add(self._depths, name, step)
        _add(self._team_depths, (name, work.team), step)


def _add(counts: dict[t.Any, int], key: t.Hashable, step: int) -> None:
    counts[key] = counts.get(key, 0) + step
    if not counts[key]:
        del counts[key]
