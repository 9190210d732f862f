"""Limits on long work that keep capacity free for short work likely to arrive."""

from dataclasses import dataclass

from .configuration import Policy
from .resources import ZERO, Resources

__all__ = ["Reserve"]

# Time in which the remembered peak demand of short work halves.
_PEAK_HALF_LIFE_S = 60.0
# Capacity kept for short work, as a multiple of its peak demand.
_PEAK_MARGIN = 1.2
# Share of the pool that long work may always hold.
_MIN_LONG_SHARE = 0.1
# Share of the pool to keep free; below it, checkpointable long work yields.
_MIN_FREE = 0.15
# Share of the pool that a start of long work must leave free. It is larger than
# `_MIN_FREE`, or the work would be stopped again at once.
_MIN_FREE_AFTER_START = 0.25


@dataclass(slots=True)
class _AttemptUsage:
    """Amount that one attempt holds, and whether it was asked to yield it."""

    charge: Resources
    long: bool
    checkpointable: bool
    yielding: bool = False

    @property
    def uncheckpointable(self) -> bool:
        """Whether it is long work that cannot be checkpointed."""
        return self.long and not self.checkpointable


class Reserve:
    """Limits on long work in one resource pool (a target or a VM group).

    For long work that cannot be checkpointed, the larger of two shares is kept free:
    the policy's share for short work, and the recent peak demand of short work with a
    margin. It may always hold a tenth of the pool. The policy's fixed share alone fails
    when the demand of short work exceeds it: long work then fills the rest and does not
    release it for a long time.

    Long work that can be checkpointed may use the rest except for a small free share.
    It is checkpointed when short work needs that share.
    """

    def __init__(self, policy: Policy, total: Resources):
        self.policy = policy
        self.total = total
        self._attempts: dict[str, _AttemptUsage] = {}
        self._held = ZERO
        self._uncheckpointable = ZERO
        self._long = ZERO
        self._waiting = ZERO
        self._yielding = ZERO
        self._peak = 0.0
        self._peak_at = 0.0

    def add_waiting(self, now: float, need: Resources, count: int) -> None:
        """Add `count` waiting short tasks; a negative count removes them."""
        self._waiting = self._waiting + need.times(count)
        self._update_peak(now)

    def started(
        self,
        now: float,
        attempt_id: str,
        charge: Resources,
        long: bool,
        checkpointable: bool,
    ) -> None:
        """Account for a started attempt; a repeated call changes nothing."""
        if attempt_id not in self._attempts:
            usage = self._attempts[attempt_id] = _AttemptUsage(
                charge, long, checkpointable
            )
            self._adjust(now, usage, charge)

    def ended(self, now: float, attempt_id: str) -> None:
        """Account for an ended attempt; a repeated call changes nothing."""
        usage = self._attempts.pop(attempt_id, None)
        if usage is not None:
            self._adjust(now, usage, ZERO - usage.charge)
            if usage.yielding:
                self._yielding = self._yielding - usage.charge

    def long_allowed(self, now: float, need: Resources, checkpointable: bool) -> bool:
        """Return whether one more long task may start."""
        if self.total == ZERO or self._long == ZERO:
            return True
        if self._free_share() < _MIN_FREE_AFTER_START + need.dominant_share(self.total):
            return False
        after = (self._uncheckpointable + need).dominant_share(self.total)
        return checkpointable or after <= self.uncheckpointable_limit(now)

    def uncheckpointable_limit(self, now: float) -> float:
        """Return the share of the pool that uncheckpointable long work may hold."""
        kept = max(self.policy.short_share, _PEAK_MARGIN * self._decayed_peak(now))
        return max(_MIN_LONG_SHARE, 1.0 - kept)

    def to_yield(self) -> list[str]:
        """Return the long attempts to checkpoint so that `_MIN_FREE` is free again.

        The attempts started last yield first, so that the oldest can finish. Each
        attempt is returned once.
        """
        chosen: list[str] = []
        if self._long == ZERO or self._free_share() >= _MIN_FREE:
            return chosen
        for attempt_id, usage in reversed(self._attempts.items()):
            if usage.long and usage.checkpointable and not usage.yielding:
                usage.yielding = True
                self._yielding = self._yielding + usage.charge
                chosen.append(attempt_id)
                if self._free_share() >= _MIN_FREE:
                    break
        return chosen

    def _free_share(self) -> float:
        """Return the free share after waiting short work starts and yielding ends."""
        used = self._held + self._waiting - self._yielding
        return 1.0 - used.dominant_share(self.total)

    def _adjust(self, now: float, usage: _AttemptUsage, charge: Resources) -> None:
        self._held = self._held + charge
        if usage.long:
            self._long = self._long + charge
        if usage.uncheckpointable:
            self._uncheckpointable = self._uncheckpointable + charge
        self._update_peak(now)

    def _update_peak(self, now: float) -> None:
        short = self._held - self._long + self._waiting
        demand = min(1.0, short.dominant_share(self.total))
        self._peak = max(demand, self._decayed_peak(now))
        self._peak_at = now

    def _decayed_peak(self, now: float) -> float:
        age_s = max(0.0, now - self._peak_at)
        peak: float = self._peak * 0.5 ** (age_s / _PEAK_HALF_LIFE_S)
        return peak
