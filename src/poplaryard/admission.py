"""Admission of work: bounded queues, deadlines, load shedding, retry-after."""

import typing as t
from collections import OrderedDict

from .codes import Code
from .configuration import Policy
from .messages import Work
from .queues import class_of

__all__ = ["Admission", "Decision"]

# Largest part of a queue that one team may fill.
_TEAM_SHARE = 1 / 3
# Share of the time to its deadline that work may be expected to wait. The rest covers
# its run time and the error of the estimate.
_WAIT_SHARE = 0.5
# A team is small if it has less than this fraction of an equal share of the queue. Its
# work is not shed for the expected wait of the class, because that is the wait of the
# teams that fill the queue.
_SMALL_PART = 0.5
# A team counts as active for this time after it submitted work.
_ACTIVE_TEAM_S = 2.0
_RATE_WINDOW_S = 0.25
# The highest rate decays slowly: at low load, starts are only as frequent as arrivals,
# which does not tell how fast a queue would drain.
_RATE_HALF_LIFE_S = 10.0
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 30.0


class Decision(t.NamedTuple):
    """Result of an admission check; `retry_after_s` is 0 if a retry is pointless."""

    code: Code
    retry_after_s: float = 0.0


class Admission:
    """Decides whether work may join its queue.

    Parameters
    ----------
    policy : Policy
        Current scheduling policy.
    """

    def __init__(self, policy: Policy):
        self._policy = policy
        self._rates: dict[str, _StartRate] = {}
        self._teams: dict[str, _RecentTeams] = {}

    def configure(self, policy: Policy) -> None:
        """Apply a new policy."""
        self._policy = policy

    def admit(
        self,
        now: float,
        work: Work,
        depth: int,
        team_depth: int = 0,
        limit: int | None = None,
    ) -> Decision:
        """Decide whether `work` is accepted.

        Parameters
        ----------
        depth : int
            Entries that wait in the class of the work.
        team_depth : int
            Entries of the work's team in that class.
        limit : int or None
            Largest number of entries of the class; the policy's limit if None.
        """
        if work.deadline <= now:
            return Decision(Code.EXPIRED)
        bound = self._policy.queue_limit if limit is None else limit
        if depth >= bound or team_depth >= max(1, int(bound * _TEAM_SHARE)):
            return Decision(Code.QUEUE_FULL, self._retry_after_s(now, work, depth))
        teams = self._teams.setdefault(class_of(work), _RecentTeams()).add(
            now, work.team
        )
        if team_depth * teams < _SMALL_PART * depth:
            return Decision(Code.ACCEPTED)
        expected_s = self.expected_wait_s(now, work, depth)
        if expected_s > _WAIT_SHARE * (work.deadline - now):
            return Decision(Code.QUEUE_FULL, self._retry_after_s(now, work, depth))
        return Decision(Code.ACCEPTED)

    def started(self, now: float, work: Work) -> None:
        """Record that work left its queue to run."""
        self._rates.setdefault(class_of(work), _StartRate()).add(now)

    def expected_wait_s(self, now: float, work: Work, depth: int) -> float:
        """Return the expected wait from the recent start rate; 0 if that is unknown."""
        rate = self._rates.get(class_of(work))
        per_s = rate.per_s(now) if rate else 0.0
        return depth / per_s if per_s else 0.0

    def _retry_after_s(self, now: float, work: Work, depth: int) -> float:
        expected_s = self.expected_wait_s(now, work, depth)
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, expected_s))


class _RecentTeams:
    """Teams of a class that submitted work recently."""

    def __init__(self) -> None:
        self._last_submit: OrderedDict[str, float] = OrderedDict()

    def add(self, now: float, team: str) -> int:
        """Add a team and return the number of recent teams."""
        self._last_submit[team] = now
        self._last_submit.move_to_end(team)
        while next(iter(self._last_submit.values())) < now - _ACTIVE_TEAM_S:
            self._last_submit.popitem(last=False)
        return len(self._last_submit)


class _StartRate:
    """Highest recent rate of starts, measured over short windows."""

    def __init__(self) -> None:
        self._window = 0
        self._count = 0
        self._per_s = 0.0

    def add(self, now: float) -> None:
        self._advance_window(now)
        self._count += 1

    def per_s(self, now: float) -> float:
        self._advance_window(now)
        return self._per_s

    def _advance_window(self, now: float) -> None:
        window = int(now / _RATE_WINDOW_S)
        if window == self._window:
            return
        self._per_s = max(self._per_s, self._count / _RATE_WINDOW_S)
        idle_s = (window - self._window) * _RATE_WINDOW_S
        self._per_s *= 0.5 ** (idle_s / _RATE_HALF_LIFE_S)
        self._window, self._count = window, 0
