"""Reports of the tasks of a group that wait for long: log lines and figures."""

import typing as t
from dataclasses import dataclass

from ..logs import logger
from .delays import DelayReason, GroupView, StepDelay, find_delays

__all__ = ["DelayFigures", "DelayTracker"]

# Maximum number of log lines of one report.
MAX_LINES = 20
# Time between two log lines on a step that waits for the same reason, in seconds.
LINE_PERIOD_S = 10.0


@dataclass(slots=True)
class DelayFigures:
    """Number of tasks that wait for a reason, and their longest wait in seconds."""

    tasks: int = 0
    longest_s: float = 0.0


@dataclass(slots=True)
class _Spell:
    """Time in which a step waits for one reason.

    Attributes
    ----------
    since, logged_at : float
        Time at which it was first seen, and time of the last log line on it.
    """

    since: float
    logged_at: float = float("-inf")


_Key: t.TypeAlias = tuple[str, DelayReason]


class DelayTracker:
    """Remembers since when steps wait for which reasons."""

    def __init__(self) -> None:
        self._spells: dict[_Key, _Spell] = {}

    def report(self, view: GroupView) -> dict[DelayReason, DelayFigures]:
        """Log the delays of a group, and return their figures by reason."""
        found = find_delays(view)
        self._remember(found, view.now)
        self._log(found, view.now)
        figures: dict[DelayReason, DelayFigures] = {}
        for delay in found:
            entry = figures.setdefault(delay.delay.reason, DelayFigures())
            entry.tasks += delay.tasks
            entry.longest_s = max(entry.longest_s, view.now - delay.waiting_since)
        return figures

    def _remember(self, found: list[StepDelay], now: float) -> None:
        """Set since when the reasons hold, and forget those that hold no more."""
        unknown = {
            delay.step.name
            for delay in found
            if delay.delay.reason is DelayReason.NOT_EXAMINED
        }
        earlier = self._spells
        self._spells = {k: spell for k, spell in earlier.items() if k[0] in unknown}
        for delay in found:
            if delay.delay.reason is DelayReason.NOT_EXAMINED:
                continue
            key = delay.step.name, delay.delay.reason
            self._spells[key] = spell = earlier.get(key) or _Spell(now)
            delay.reason_since = spell.since

    def _log(self, found: list[StepDelay], now: float) -> None:
        """Log the longest waits that were not logged lately."""
        lines = 0
        for delay in found:
            if delay.delay.reason is DelayReason.NOT_EXAMINED:
                continue
            spell = self._spells[delay.step.name, delay.delay.reason]
            if now < spell.logged_at + LINE_PERIOD_S:
                continue
            if lines == MAX_LINES:
                return
            lines += 1
            spell.logged_at = now
            logger.info("task does not start", extra=_line(delay, now))


def _line(delay: StepDelay, now: float) -> dict[str, t.Any]:
    """Return the fields of a log line."""
    fields = {
        "request": delay.step.job.spec.job_id,
        "step": delay.step.name,
        "tasks": delay.tasks,
        "reason": delay.delay.reason.value,
        "waited_s": round(now - delay.waiting_since, 3),
        "reason_s": round(now - delay.reason_since, 3),
    }
    if delay.delay.until is not None:
        fields["ends_in_s"] = round(max(0.0, delay.delay.until - now), 3)
    if delay.delay.detail:
        fields["detail"] = delay.delay.detail
    return fields
