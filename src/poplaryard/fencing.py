"""Time limits by which a worker refuses calls of an owner whose authority has ended."""

import math

__all__ = [
    "DRIFT",
    "REMEMBERED_S",
    "TASK_LEASE_S",
    "lease_wait_s",
    "shorten_for_drift",
    "valid_until_ms",
]

# Largest relative difference in rate between two monotonic clocks.
DRIFT = 0.1

# Time for which a worker lets a task run after the last renewal of its lease.
TASK_LEASE_S = 4.0

# Time for which a worker keeps the record of an attempt after its end; see guarantees
# G3 and G5 of the design page.
REMEMBERED_S = 600.0


def shorten_for_drift(seconds: float, drift: float = DRIFT) -> float:
    """Return how much of a remotely granted time is safe to use on the local clock."""
    return seconds * (1.0 - drift)


def lease_wait_s(task_lease_s: float = TASK_LEASE_S, drift: float = DRIFT) -> float:
    """Return the time on the local clock after which an unrenewed task has ended."""
    return task_lease_s * (1.0 + drift)


def valid_until_ms(
    worker_clock_ms: int, received_at: float, authority_until: float
) -> int:
    """Return the end of an authority on the worker's monotonic clock.

    Parameters
    ----------
    worker_clock_ms : int
        Last reading of the worker's clock that the owner received, in milliseconds.
    received_at : float
        Time on the owner's clock at which it received the reading, in seconds.
    authority_until : float
        End of the owner's authority on its own clock, in seconds.

    Returns
    -------
    int
        Milliseconds on the worker's clock, rounded down. The result is early by the
        network delay of the reading and by the largest drift of the two clocks since.
    """
    if authority_until <= received_at:
        return worker_clock_ms - 1
    usable = shorten_for_drift(authority_until - received_at)
    return worker_clock_ms + math.floor(usable * 1000.0)
