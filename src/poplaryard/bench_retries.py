"""Retry benchmark: clients retry through an outage, with or without retry budgets."""

import heapq
import random
import typing as t
from collections import Counter
from dataclasses import dataclass

from .limits import RetryBudget, backoff_s

__all__ = ["rows"]

_SPAN_S = 60.0
_RATE_PER_S = 1000.0
_CAPACITY_PER_S = 1600.0
_DOWN_FROM_S = 10.0
_DOWN_UNTIL_S = 20.0
_DEADLINE_S = 10.0
# Longest queueing delay; requests that would wait longer are refused.
_QUEUE_S = 0.5
# Number of entry processes, each with its own retry budget.
_ENTRIES = 6
# Width of the time bins in which the peak load is measured.
_BIN_S = 0.1
# Delay of the policies with a fixed delay.
_FIXED_S = 0.1


@dataclass(slots=True)
class _Request:
    """A request, its arrival time in seconds and the entry process that retries it."""

    arrived: float
    entry: int
    attempts: int = 0


# Returns the delay in seconds after the given attempt, counted from 1.
Delay: t.TypeAlias = t.Callable[[random.Random, int], float]

# Policy name to delay function and whether retries are limited by a budget.
_POLICIES: dict[str, tuple[Delay, bool]] = {
    "fixed wait": (lambda rng, attempt: _FIXED_S, False),
    "doubling": (lambda rng, attempt: min(5.0, 0.05 * 2.0 ** (attempt - 1)), False),
    "full jitter": (backoff_s, False),
    "fixed wait, budget": (lambda rng, attempt: _FIXED_S, True),
    "full jitter, budget": (backoff_s, True),
}


def rows(seed: int) -> list[dict[str, t.Any]]:
    """Return the load that each retry policy puts on the service."""
    return [
        _simulate(name, random.Random(seed), *policy)
        for name, policy in _POLICIES.items()
    ]


def _simulate(
    name: str, rng: random.Random, delay: Delay, with_budget: bool
) -> dict[str, t.Any]:
    budgets = [RetryBudget() for _ in range(_ENTRIES)]
    events = _arrivals(rng)
    order = len(events)
    attempts_by_bin: Counter[int] = Counter()
    free_at, served, served_after = 0.0, 0, 0
    while events:
        now, _, req = heapq.heappop(events)
        req.attempts += 1
        attempts_by_bin[int(now / _BIN_S)] += 1
        budget = budgets[req.entry]
        if req.attempts == 1:
            budget.record_attempt(now)
        down = _DOWN_FROM_S <= now < _DOWN_UNTIL_S
        if not down and free_at - now <= _QUEUE_S:
            free_at = max(free_at, now) + 1.0 / _CAPACITY_PER_S
            served += 1
            served_after += now >= _DOWN_UNTIL_S
            continue
        retry_at = now + delay(rng, req.attempts)
        if retry_at >= req.arrived + _DEADLINE_S or (
            with_budget and not budget.take(now)
        ):
            continue
        order += 1
        heapq.heappush(events, (retry_at, order, req))
    first_bin, last_bin = (int(at / _BIN_S) for at in (_DOWN_FROM_S, _DOWN_UNTIL_S))
    attempts_in_outage = sum(
        attempts_by_bin[number] for number in range(first_bin, last_bin)
    )
    return {
        "case": "outage of 10 s",
        "strategy": name,
        "load_in_outage": round(
            attempts_in_outage / (_DOWN_UNTIL_S - _DOWN_FROM_S) / _RATE_PER_S, 6
        ),
        "peak_load": round(max(attempts_by_bin.values()) / _BIN_S / _RATE_PER_S, 6),
        "tries": sum(attempts_by_bin.values()),
        "served": round(served / (_RATE_PER_S * _SPAN_S), 6),
        "served_after_per_s": round(served_after / (_SPAN_S - _DOWN_UNTIL_S), 6),
    }


def _arrivals(rng: random.Random) -> list[tuple[float, int, _Request]]:
    events: list[tuple[float, int, _Request]] = []
    now = 0.0
    while (now := now + rng.expovariate(_RATE_PER_S)) < _SPAN_S:
        events.append((now, len(events), _Request(now, rng.randrange(_ENTRIES))))
    return events
