"""Capacity kept free of long work for the short work that is likely to come."""

from dataclasses import dataclass

from .configuration import Policy
from .resources import ZERO, Resources

__all__ = ["Reserve"]

_PEAK_HALF_LIFE_S = 60.0
_MARGIN = 1.2
_LONG_MIN = 0.1


@dataclass(frozen=True, slots=True)
class _Held:
    charge: Resources
    long: bool


class Reserve:
    """Long work's bound in one place (a target or a VM group).

    Long work may hold what the recent peak demand of short work leaves, but at least
    a tenth of the place and at most all but the policy's share for short work. A fixed
    share alone fails when short work's demand exceeds it: long work fills the rest and
    does not give it back for a long time.
    """

    def __init__(self, policy: Policy, total: Resources):
        self.policy = policy
        self.total = total
        self._attempts: dict[str, _Held] = {}
        self._long = ZERO
        self._short = ZERO
        self._waiting = ZERO
        self._peak = 0.0
        self._peak_at = 0.0

    def waits(self, now: float, need: Resources, count: int) -> None:
        """Count `count` more (or fewer) short tasks that wait."""
        self._waiting = self._waiting + need.times(count)
        self._note(now)

    def started(
        self, now: float, attempt_id: str, charge: Resources, long: bool
    ) -> None:
        """Account a started attempt; a repeated call changes nothing."""
        if attempt_id in self._attempts:
            return
        self._attempts[attempt_id] = _Held(charge, long)
        self._add(now, charge, long)

    def ended(self, now: float, attempt_id: str) -> None:
        """Account an ended attempt; a repeated call changes nothing."""
        held = self._attempts.pop(attempt_id, None)
        if held is not None:
            self._add(now, ZERO - held.charge, held.long)

    def long_allowed(self, now: float, need: Resources) -> bool:
        """Tell whether one more long task may start."""
        if self.total == ZERO:
            return True
        after = (self._long + need).dominant_share(self.total)
        return self._long == ZERO or after <= self.long_bound(now)

    def long_bound(self, now: float) -> float:
        """Return the share of the place that long work may hold."""
        kept = max(self.policy.short_share, _MARGIN * self._peak_now(now))
        return max(_LONG_MIN, 1.0 - kept)

    def _add(self, now: float, charge: Resources, long: bool) -> None:
        if long:
            self._long = self._long + charge
        else:
            self._short = self._short + charge
            self._note(now)

    def _note(self, now: float) -> None:
        demand = (self._short + self._waiting).dominant_share(self.total)
        self._peak = max(min(1.0, demand), self._peak_now(now))
        self._peak_at = now

    def _peak_now(self, now: float) -> float:
        age_s = max(0.0, now - self._peak_at)
        return self._peak * 0.5 ** (age_s / _PEAK_HALF_LIFE_S)
