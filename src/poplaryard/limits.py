"""Retry budgets, in-flight limits and exponential back-off."""

import random

__all__ = ["InFlight", "RetryBudget", "backoff_s"]

_BASE_S = 0.05
_CAP_S = 5.0


def backoff_s(
    rng: random.Random, attempt: int, base_s: float = _BASE_S, cap_s: float = _CAP_S
) -> float:
    """Return the wait in seconds before retry number `attempt`, counted from 1.

    The wait has full jitter: it is uniform between 0 and a bound that doubles with each
    attempt up to `cap_s`. This spreads the retries of callers that failed together.
    """
    bound = min(cap_s, base_s * 2.0 ** min(attempt - 1, 30))
    return rng.uniform(0.0, bound)


class RetryBudget:
    """Token bucket that limits retries to a fraction of the first attempts.

    Parameters
    ----------
    ratio : float
        Retries added to the budget by each first attempt.
    floor_per_s : float
        Retries added per second, whether or not there are first attempts.
    burst : float
        Largest number of retries in the budget; it starts full.
    """

    def __init__(
        self, ratio: float = 0.1, floor_per_s: float = 1.0, burst: float = 10.0
    ):
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._burst = burst
        self._tokens = burst
        self._at: float | None = None

    def record_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._earn(now, self._ratio)

    def take(self, now: float) -> bool:
        """Take one retry from the budget and return True; False if it is used up."""
        self._earn(now, 0.0)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _earn(self, now: float, tokens: float) -> None:
        elapsed_s = 0.0 if self._at is None else max(0.0, now - self._at)
        self._at = now
        earned = tokens + elapsed_s * self._floor_per_s
        self._tokens = min(self._burst, self._tokens + earned)


class InFlight:
    """Limit on the number of calls in flight for each key.

    Parameters
    ----------
    limit : int
        Largest number of calls in flight for one key.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._counts: dict[str, int] = {}

    def take(self, key: str) -> bool:
        """Count a call and return True; False if the key is at its limit."""
        count = self._counts.get(key, 0)
        if count >= self._limit:
            return False
        self._counts[key] = count + 1
        return True

    def release(self, key: str) -> None:
        """Count the end of a call."""
        count = self._counts[key] - 1
        if count:
            self._counts[key] = count
        else:
            del self._counts[key]

    def count(self, key: str) -> int:
        """Return the number of calls in flight for a key."""
        return self._counts.get(key, 0)
