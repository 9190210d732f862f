"""Clocks; the scheduling logic is passed the time and never reads a clock."""

import time
import typing as t

__all__ = ["Clock", "SystemClock", "VirtualClock"]


class Clock(t.Protocol):
    """Source of monotonic and wall-clock time, both in seconds."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class VirtualClock:
    """Clock that advances only by calls of `advance`, for simulations and tests.

    Parameters
    ----------
    start : float
        Initial monotonic time in seconds.
    wall_offset : float
        Wall-clock time minus monotonic time, in seconds.
    """

    def __init__(self, start: float = 0.0, wall_offset: float = 1_700_000_000.0):
        self._now = start
        self._wall_offset = wall_offset

    def now(self) -> float:
        """Return virtual monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return virtual wall-clock time in seconds since the Unix epoch."""
        return self._now + self._wall_offset

    def advance(self, seconds: float) -> float:
        """Advance the clock and return the new monotonic time."""
        self._now += seconds
        return self._now
