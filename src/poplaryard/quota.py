"""Dominant-resource fair shares of teams, with borrowing."""

import heapq
import typing as t

from .configuration import TeamSpec
from .resources import ZERO, Resources

__all__ = ["Quotas"]

# Share of the capacity that borrowers leave free while a team below its share waits.
# They may use all other capacity, since that team may wait for something else.
_BORROWING_RESERVE = 0.05


class Quotas:
    """Capacity held by each team against its fair share.

    A team may borrow beyond its fair share. While a team below its own share waits,
    borrowers leave a small share of the capacity free for it.
    """

    def __init__(self) -> None:
        self._teams: dict[str, TeamSpec] = {}
        self._total = ZERO
        self._held: dict[str, Resources] = {}
        self._used = ZERO
        self._waiting: dict[str, int] = {}
        self._active_weight = 0.0
        self._least_heap: list[tuple[float, str]] = []

    def configure(self, teams: t.Mapping[str, TeamSpec], total: Resources) -> None:
        """Set the teams and the capacity that they share."""
        self._teams = dict(teams)
        self._total = total
        self._active_weight = sum(self.weight(team) for team in self._active())
        self._least_heap = [(self.share(team), team) for team in self._waiting]
        heapq.heapify(self._least_heap)

    def weight(self, team: str) -> float:
        """Return the weight of a team; 1 if it is not configured."""
        spec = self._teams.get(team)
        return spec.weight if spec else 1.0

    def charge(self, team: str, need: Resources) -> None:
        """Account for capacity given to a team."""
        self._activate(team)
        self._held[team] = self._held.get(team, ZERO) + need
        self._used = self._used + need

    def release(self, team: str, need: Resources) -> None:
        """Account for capacity that a team released."""
        self._held[team] = self._held[team] - need
        self._used = self._used - need
        if self._held[team] == ZERO:
            del self._held[team]
            self._deactivate(team)
        if team in self._waiting:
            heapq.heappush(self._least_heap, (self.share(team), team))

    def add_waiting(self, team: str) -> None:
        """Count one more waiting job of a team."""
        self._activate(team)
        self._waiting[team] = self._waiting.get(team, 0) + 1
        if self._waiting[team] == 1:
            heapq.heappush(self._least_heap, (self.share(team), team))

    def remove_waiting(self, team: str) -> None:
        """Count one waiting job less of a team."""
        self._waiting[team] -= 1
        if not self._waiting[team]:
            del self._waiting[team]
            self._deactivate(team)

    def held(self, team: str) -> Resources:
        """Return the capacity that a team holds."""
        return self._held.get(team, ZERO)

    def share(self, team: str) -> float:
        """Return the dominant share of a team divided by its weight."""
        return self.held(team).dominant_share(self._total) / self.weight(team)

    def fair_share(self, team: str) -> float:
        """Return the dominant share that a team is due by its weight.

        The active teams, which hold capacity or wait for it, share all the capacity.
        """
        weight = self.weight(team)
        active = self._active_weight + (0.0 if self._is_active(team) else weight)
        return weight / active

    def excess_share(self, team: str) -> float:
        """Return how far a team's dominant share exceeds its fair share; 0 if not."""
        dominant = self.held(team).dominant_share(self._total)
        return max(0.0, dominant - self.fair_share(team))

    def allowed(self, team: str, need: Resources) -> bool:
        """Return whether a team may get `need` now."""
        if need == ZERO:
            return True
        after = self.held(team) + need
        spec = self._teams.get(team)
        limit = spec.limit if spec else None
        if limit is not None and not after.fits_in(limit):
            return False
        if after.dominant_share(self._total) <= self.fair_share(team):
            return True
        used = (self._used + need).dominant_share(self._total)
        if used <= 1.0 - _BORROWING_RESERVE:
            return True
        least = self.least_waiting()
        return least is None or least == team or self.excess_share(least) > 0.0

    def least_waiting(self) -> str | None:
        """Return the waiting team with the smallest share, if any waits."""
        while self._least_heap:
            share, team = self._least_heap[0]
            current = self.share(team)
            if team in self._waiting and share == current:
                return team
            heapq.heappop(self._least_heap)
            if team in self._waiting and share < current:
                heapq.heappush(self._least_heap, (current, team))
        return None

    def _active(self) -> list[str]:
        return sorted({*self._held, *self._waiting})

    def _is_active(self, team: str) -> bool:
        return team in self._held or team in self._waiting

    def _activate(self, team: str) -> None:
        if not self._is_active(team):
            self._active_weight += self.weight(team)

    def _deactivate(self, team: str) -> None:
        if not self._is_active(team):
            self._active_weight -= self.weight(team)
