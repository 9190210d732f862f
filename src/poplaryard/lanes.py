"""Queue of one lane: its teams in order of share, each in order of arrival."""

import heapq
import math
import typing as t
from collections import OrderedDict
from dataclasses import dataclass, field

from .messages import Priority, Work, WorkKind
from .resources import Resources

__all__ = [
    "SLOT",
    "Lane",
    "LaneQueue",
    "QueueEntry",
    "class_of",
    "lane_of",
    "latest_start",
    "resource_pool_of",
    "task_usage",
]

# One executor slot, counted as a resource.
SLOT = Resources(cpu_m=1)
# Declared run times are up to this factor too long. Without the allowance, a sixth of
# the short work would be classified as long.
_DECLARED_ERROR = 3.0
# Part of the expected run time that must remain before the deadline when work starts.
_RUN_SHARE = 1.0
# Limit of that part, as a share of the time from arrival to deadline: work must not be
# dropped on arrival because its expected run time is too high.
_MAX_RUN_SHARE = 0.5


class Lane(t.NamedTuple):
    """Key of queued work that competes for the same VMs with the same need.

    If the head of a lane cannot be placed now, nothing behind it in the lane can.

    Attributes
    ----------
    long : bool
        Whether the work runs longer than the policy's limit for short work.
    resource_pool : str
        Name of the target or VM group; empty if the work names neither.
    """

    priority: Priority
    long: bool
    resource_pool: str
    need: Resources
    checkpointable: bool = False


@dataclass(slots=True)
class QueueEntry:
    """One job that waits for capacity.

    Attributes
    ----------
    arrived : float
        Monotonic time of arrival in seconds.
    sequence : int
        Position in the order of arrival.
    next_task : int
        First task that has not been started yet.
    expected_s : float
        Expected run time of one task in seconds; 0 stands for the declared one.
    reason : str
        Why the work waits, as one sentence for `explain`.
    lane, waiting, latest
        Lane, number of waiting tasks and latest useful time to start, set by
        `WaitQueues.push`.
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
    waiting: int = 1
    latest: float = math.inf


def resource_pool_of(work: Work) -> str:
    """Return the target or VM group for whose capacity `work` competes."""
    return work.target or work.group


def task_usage(work: Work) -> Resources:
    """Return what one task uses of its resource pool: an executor slot or its need."""
    return SLOT if work.kind is WorkKind.REQUEST else work.need


def class_of(work: Work) -> str:
    """Return the class of work, by kind and pool; each class has one queue limit."""
    return f"{work.kind}:{resource_pool_of(work)}"


def lane_of(entry: QueueEntry, short_s: float) -> Lane:
    """Return the lane of an entry by priority, run time, resource pool and need.

    Work is long if the learned run time of its class is long, or if the shortest run
    time that its declaration allows is. The declaration counts even in a class of short
    work, because such a class has stragglers.
    """
    work = entry.work
    learned_s = entry.expected_s if entry.expected_s != work.declared_s else 0.0
    return Lane(
        work.priority,
        max(learned_s, work.declared_s / _DECLARED_ERROR) > short_s,
        resource_pool_of(work),
        task_usage(work),
        work.checkpointable,
    )


def latest_start(entry: QueueEntry) -> float:
    """Return the time after which a start would most likely miss the deadline."""
    work = entry.work
    expected_s = entry.expected_s or work.declared_s
    allowed_s = _MAX_RUN_SHARE * (work.deadline - entry.arrived)
    return work.deadline - min(_RUN_SHARE * expected_s, allowed_s)


class LaneQueue:
    """Queue of the entries of one lane.

    Teams come in order of their share, then of their oldest entry. Outdated items stay
    in the heap until they are popped, so that a change of share costs O(log teams).

    Parameters
    ----------
    share : callable
        Current weighted share of a team.
    """

    def __init__(self, share: t.Callable[[str], float]):
        self._share = share
        self._teams: dict[str, OrderedDict[str, QueueEntry]] = {}
        self._heap: list[tuple[float, int, str]] = []

    def __bool__(self) -> bool:
        return bool(self._teams)

    def add(self, entry: QueueEntry) -> None:
        """Add an entry; one older than its team's head goes to the front."""
        team, request_id = entry.work.team, entry.work.request_id
        entries = self._teams.setdefault(team, OrderedDict())
        is_head = not entries or _head(entries).sequence > entry.sequence
        entries[request_id] = entry
        if is_head:
            entries.move_to_end(request_id, last=False)
            self.reorder(team)

    def discard(self, entry: QueueEntry) -> None:
        """Remove an entry, which must be in this lane."""
        team, request_id = entry.work.team, entry.work.request_id
        entries = self._teams[team]
        was_head = _head(entries) is entry
        del entries[request_id]
        if not entries:
            del self._teams[team]
        elif was_head:
            self.reorder(team)

    def reorder(self, team: str) -> None:
        """Move a team to its new position after its share or head has changed."""
        entries = self._teams.get(team)
        if entries:
            item = (self._share(team), _head(entries).sequence, team)
            heapq.heappush(self._heap, item)

    def walk(self) -> t.Iterator[QueueEntry]:
        """Yield the entries in the order to try them: one of each team in turn."""
        visited: list[tuple[float, int, str]] = []
        walks: list[t.Iterator[QueueEntry]] = []
        try:
            while item := self._pop(visited):
                visited.append(item)
                walk = iter(self._teams[item[2]].values())
                walks.append(walk)
                yield next(walk)
        finally:
            for item in visited:
                heapq.heappush(self._heap, item)
        while walks:
            next_entries = [(walk, next(walk, None)) for walk in walks]
            yield from (entry for _, entry in next_entries if entry is not None)
            walks = [walk for walk, entry in next_entries if entry is not None]

    def _pop(
        self, visited: list[tuple[float, int, str]]
    ) -> tuple[float, int, str] | None:
        while self._heap:
            item = heapq.heappop(self._heap)
            entries = self._teams.get(item[2])
            if not entries or item[1] != _head(entries).sequence:
                continue
            share = self._share(item[2])
            if share != item[0]:
                heapq.heappush(self._heap, (share, item[1], item[2]))
            elif item not in visited[-1:]:
                return item
        return None


def _head(entries: OrderedDict[str, QueueEntry]) -> QueueEntry:
    return next(iter(entries.values()))
