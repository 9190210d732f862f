"""Pauses between the trials of a task that seems to crash its workers.

The scheduler cannot tell a task that crashes each worker on which it starts from one
whose workers crashed by chance, so neither is given up. What protects the workers is
the time between two trials, which grows with each worker that fell silent at once.
"""

__all__ = ["pause_after_s"]

# Pause after the first sudden crash in seconds, its growth with each further one, and
# its longest duration. By the users' requirements, work that can run does so 14 s after
# the last fault. A sound task keeps that bound if it has lost two workers at once. A
# task that crashes every worker may be started twice more after three crashes.
FIRST_PAUSE_S = 2.0
GROWTH = 5.0
LONGEST_PAUSE_S = 600.0


def pause_after_s(sudden_crashes: int) -> float:
    """Return the time between the last sudden crash and the next trial, in seconds."""
    if sudden_crashes <= 0:
        return 0.0
    # The exponent is limited, as a large power of a float is an error.
    exponent = min(sudden_crashes - 1, 10)
    return min(FIRST_PAUSE_S * GROWTH**exponent, LONGEST_PAUSE_S)
