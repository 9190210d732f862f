"""Capacity kept free of long work for the short work that is likely to come."""

from dataclasses import dataclass

from .configuration import Policy
from .resources import ZERO, Resources

__all__ = ["Reserve"]

_PEAK_HALF_LIFE_S = 60.0
_MARGIN = 1.2
_LONG_MIN = 0.1
_SLACK = 0.15
# Long work starts only above this, or it would be stopped again at once.
_START_SLACK = 0.25


@dataclass(slots=True)
class _Held:
    charge: Resources
    long: bool
    checkpointable: bool
    yielding: bool = False

    @property
    def rigid(self) -> bool:
        return self.long and not self.checkpointable


class Reserve:
    """Bounds of long work in one place (a target or a VM group).

    Long work that cannot be checkpointed may hold what the recent peak demand of short
    work leaves, but at least a tenth of the place and at most all but the policy's
    share for short work. A fixed share alone fails when short work's demand exceeds
    it: long work fills the rest and does not give it back for a long time.

    Long work that can be checkpointed may use the rest down to a slack of free
    capacity, and yields when the slack is used.
    """

    def __init__(self, policy: Policy, total: Resources):
        self.policy = policy
        self.total = total
        self._attempts: dict[str, _Held] = {}
        self._held = ZERO
        self._rigid = ZERO
        self._long = ZERO
        self._waiting = ZERO
        self._yielding = ZERO
        self._peak = 0.0
        self._peak_at = 0.0

    def waits(self, now: float, need: Resources, count: int) -> None:
        """Count `count` more (or fewer) short tasks that wait."""
        self._waiting = self._waiting + need.times(count)
        self._note(now)

    def started(
        self,
        now: float,
        attempt_id: str,
        charge: Resources,
        long: bool,
        checkpointable: bool,
    ) -> None:
        """Account a started attempt; a repeated call changes nothing."""
        if attempt_id not in self._attempts:
            held = self._attempts[attempt_id] = _Held(charge, long, checkpointable)
            self._add(now, held, charge)

    def ended(self, now: float, attempt_id: str) -> None:
        """Account an ended attempt; a repeated call changes nothing."""
        held = self._attempts.pop(attempt_id, None)
        if held is not None:
            self._add(now, held, ZERO - held.charge)
            if held.yielding:
                self._yielding = self._yielding - held.charge

    def long_allowed(self, now: float, need: Resources, checkpointable: bool) -> bool:
        """Tell whether one more long task may start."""
        if self.total == ZERO or self._long == ZERO:
            return True
        if self._free() < _START_SLACK + need.dominant_share(self.total):
            return False
        after = (self._rigid + need).dominant_share(self.total)
        return checkpointable or after <= self.rigid_bound(now)

    def rigid_bound(self, now: float) -> float:
        """Return the share that long work without checkpoints may hold."""
        kept = max(self.policy.short_share, _MARGIN * self._peak_now(now))
        return max(_LONG_MIN, 1.0 - kept)

    def to_yield(self) -> list[str]:
        """Return long attempts to checkpoint so that the slack is free again.

        The attempts started last yield first, so that the oldest come to their end.
        """
        chosen: list[str] = []
        if self._long == ZERO or self._free() >= _SLACK:
            return chosen
        for attempt_id, held in reversed(self._attempts.items()):
            if held.long and held.checkpointable and not held.yielding:
                held.yielding = True
                self._yielding = self._yielding + held.charge
                chosen.append(attempt_id)
                if self._free() >= _SLACK:
                    break
        return chosen

    def _free(self) -> float:
        """Return the share free once waiting short work runs and yielding work ends."""
        used = self._held + self._waiting - self._yielding
        return 1.0 - used.dominant_share(self.total)

    def _add(self, now: float, held: _Held, charge: Resources) -> None:
        self._held = self._held + charge
        if held.long:
            self._long = self._long + charge
        if held.rigid:
            self._rigid = self._rigid + charge
        self._note(now)

    def _note(self, now: float) -> None:
        short = self._held - self._long + self._waiting
        demand = min(1.0, short.dominant_share(self.total))
        self._peak = max(demand, self._peak_now(now))
        self._peak_at = now

    def _peak_now(self, now: float) -> float:
        age_s = max(0.0, now - self._peak_at)
        peak: float = self._peak * 0.5 ** (age_s / _PEAK_HALF_LIFE_S)
        return peak
