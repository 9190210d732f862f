"""Pauses between the trials of a task that seems to crash its workers.

The scheduler cannot tell a task that crashes each worker on which it starts from one
whose workers crashed by chance, so neither is given up. What protects the workers is
the time between two trials, which grows with each worker that crashed under one.
"""

__all__ = ["pause_after_s"]

# Time from the start of a run that ended with a sudden crash to the next start in
# seconds, by the number of sudden crashes; the last one holds for all further ones. By
# the users'
# requirements, lasting tasks that can run do so within 9 s and others 14 s after the
# last fault, which holds after two sudden crashes by chance. A task that crashes every
# worker may be started twice more after three crashes.
PAUSES_S = (0.0, 2.0, 6.0, 30.0, 150.0, 600.0)


def pause_after_s(sudden_crashes: int) -> float:
    """Return the time from the last start to the next, in seconds."""
    return PAUSES_S[max(0, min(sudden_crashes, len(PAUSES_S) - 1))]
