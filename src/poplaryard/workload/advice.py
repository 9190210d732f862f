"""Spreads calls for advice over the processes.

The advice service handles the calls of one process one after the other, and some take
half a second. Slow calls therefore go through peers that own no group, and a call that
is answered quickly never waits behind one.
"""

import typing as t
from dataclasses import dataclass

from ..exceptions import PoplaryardError
from ..logs import logger

__all__ = ["SLOW_S", "AdviceLines", "Advisor", "Line", "OwnLine"]

# Calls expected to take longer than this are slow, in seconds. Quick calls are asked
# for short tasks, whose callers notice every tenth of a second.
SLOW_S = 0.1
# Quick calls that may wait at the advice service for each other.
QUICK_CALLS = 3
# An owner uses its own line for slow calls if it made no quick one for this long, in
# seconds.
QUICK_IDLE_S = 5.0
# Pauses of a line that failed, and of one that another owner uses, in seconds.
FAILED_PAUSE_S = 1.0
BUSY_PAUSE_S = 0.05
# Time that an answer may take beyond the expected cost, in seconds.
TIMEOUT_SLACK_S = 0.6


class Advisor(t.Protocol):
    """Calls to the advice service."""

    async def ask(
        self, step: str, workers: list[str], timeout_s: float, slow: bool = False
    ) -> tuple[dict[str, str], float] | None:
        """Return tickets by worker and their life in seconds; None if refused."""


class OwnLine:
    """Line of the process, shared by its owners and its peers.

    Refuses a call that would wait behind a slow one, so that the caller can use
    another line.

    Parameters
    ----------
    advisor : Advisor
    """

    def __init__(self, advisor: Advisor):
        self._advisor = advisor
        self._slow = 0
        self._quick = 0

    async def ask(
        self, step: str, workers: list[str], timeout_s: float, slow: bool = False
    ) -> tuple[dict[str, str], float] | None:
        """Return tickets by worker and their life in seconds; None if refused."""
        if self._slow or (slow and self._quick > QUICK_CALLS):
            return None
        self._slow += slow
        self._quick += not slow
        try:
            return await self._advisor.ask(step, workers, timeout_s)
        finally:
            self._slow -= slow
            self._quick -= not slow


@dataclass(slots=True, eq=False)
class Line:
    """Queue that the advice service keeps for one process.

    Attributes
    ----------
    name : str
        Process whose line it is.
    owns : bool
        Whether that process owns groups and needs its line for their quick calls.
    """

    name: str
    advisor: Advisor
    owns: bool = False
    slow: int = 0
    quick: int = 0
    paused_until: float = 0.0
    used_at: float = 0.0
    quick_at: float = float("-inf")

    def take(self, slow: bool, now: float) -> None:
        """Count a call from the decision to make it on.

        A line would otherwise be picked again before its first call has begun.
        """
        self.used_at = now
        if slow:
            self.slow += 1
        else:
            self.quick += 1

    def release(self, slow: bool) -> None:
        """Count a call as ended."""
        if slow:
            self.slow -= 1
        else:
            self.quick -= 1


class AdviceLines:
    """Lines that an owner may use.

    Parameters
    ----------
    own : Advisor
        Calls in the name of this process.
    """

    def __init__(self, own: Advisor):
        self._own = Line("", own)
        self._peers: dict[str, Line] = {}

    def set_peers(self, peers: dict[str, tuple[Advisor, bool]]) -> None:
        """Use the lines of these processes, and whether each owns groups."""
        for name in [name for name in self._peers if name not in peers]:
            del self._peers[name]
        for name, (advisor, owns) in peers.items():
            line = self._peers.setdefault(name, Line(name, advisor))
            line.advisor, line.owns = advisor, owns

    def pick(self, slow: bool, now: float) -> Line | None:
        """Return a line for a call, or None if all are taken."""
        return self._slow_line(now) if slow else self._quick_line(now)

    def take(self, line: Line, slow: bool, now: float) -> None:
        """Use a line for a call; `Line.release` follows when the call has ended."""
        line.take(slow, now)
        if not slow:
            self._own.quick_at = now

    def _slow_line(self, now: float) -> Line | None:
        peers = [line for line in self._peers.values() if now >= line.paused_until]
        candidates = [line for line in peers if not line.owns] or peers or [self._own]
        if now > self._own.quick_at + QUICK_IDLE_S and self._own not in candidates:
            candidates = [*candidates, self._own]
        free = [line for line in candidates if not line.slow and not line.quick]
        return min(free, key=lambda line: line.used_at, default=None)

    def _quick_line(self, now: float) -> Line | None:
        lines = [self._own, *self._peers.values()]
        free = [
            line
            for line in lines
            if not line.slow and line.quick < QUICK_CALLS and now >= line.paused_until
        ]
        # Its own line first: a peer's adds a network round trip.
        return min(
            free,
            key=lambda line: (line.quick, line is not self._own, line.owns),
            default=None,
        )

    async def ask(
        self,
        line: Line,
        step: str,
        workers: list[str],
        cost_s: float,
        clock: t.Callable[[], float],
    ) -> tuple[dict[str, str], float] | None:
        """Ask through a line; None if no advice was given."""
        slow = cost_s > SLOW_S
        timeout_s = cost_s * (1 + line.quick) + TIMEOUT_SLACK_S
        answer = None
        pause_s = BUSY_PAUSE_S
        try:
            answer = await line.advisor.ask(step, workers, timeout_s, slow)
        except PoplaryardError as exc:
            extra = {"line": line.name, "step": step, "reason": exc.detail}
            logger.warning("no advice", extra=extra)
            pause_s = FAILED_PAUSE_S
        if answer is None:
            line.paused_until = clock() + pause_s
        return answer
