"""Retry storm: callers retry through an outage, with and without budget and jitter."""

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
# Requests that the service queues; more are refused.
_QUEUE_S = 0.5
_ENTRIES = 6
_BIN_S = 0.1
_FIXED_S = 0.1


@dataclass(slots=True)
class _Request:
    arrived: float
    entry: int
    attempts: int = 0


Wait: t.TypeAlias = t.Callable[[random.Random, int], float]

_WAYS: dict[str, tuple[Wait, bool]] = {
    "fixed wait": (lambda rng, attempt: _FIXED_S, False),
    "doubling": (lambda rng, attempt: min(5.0, 0.05 * 2.0 ** (attempt - 1)), False),
    "full jitter": (backoff_s, False),
    "fixed wait, budget": (lambda rng, attempt: _FIXED_S, True),
    "full jitter, budget": (backoff_s, True),
}


def rows(seed: int) -> list[dict[str, t.Any]]:
    """Return the load that each way of retrying puts on the service."""
    return [_run(name, random.Random(seed), *way) for name, way in _WAYS.items()]


def _run(name: str, rng: random.Random, wait: Wait, bounded: bool) -> dict[str, t.Any]:
    budgets = [RetryBudget() for _ in range(_ENTRIES)]
    events = _arrivals(rng)
    order = len(events)
    tries: Counter[int] = Counter()
    free_at, good, after = 0.0, 0, 0
    while events:
        now, _, req = heapq.heappop(events)
        req.attempts += 1
        tries[int(now / _BIN_S)] += 1
        budget = budgets[req.entry]
        if req.attempts == 1:
            budget.record_attempt(now)
        down = _DOWN_FROM_S <= now < _DOWN_UNTIL_S
        if not down and free_at - now <= _QUEUE_S:
            free_at = max(free_at, now) + 1.0 / _CAPACITY_PER_S
            good += 1
            after += now >= _DOWN_UNTIL_S
            continue
        again = now + wait(rng, req.attempts)
        if again >= req.arrived + _DEADLINE_S or (bounded and not budget.take(now)):
            continue
        order += 1
        heapq.heappush(events, (again, order, req))
    first_bin, last_bin = (int(at / _BIN_S) for at in (_DOWN_FROM_S, _DOWN_UNTIL_S))
    during = sum(tries[number] for number in range(first_bin, last_bin))
    return {
        "case": "outage of 10 s",
        "strategy": name,
        "load_in_outage": round(
            during / (_DOWN_UNTIL_S - _DOWN_FROM_S) / _RATE_PER_S, 6
        ),
        "peak_load": round(max(tries.values()) / _BIN_S / _RATE_PER_S, 6),
        "tries": sum(tries.values()),
        "served": round(good / (_RATE_PER_S * _SPAN_S), 6),
        "served_after_per_s": round(after / (_SPAN_S - _DOWN_UNTIL_S), 6),
    }


def _arrivals(rng: random.Random) -> list[tuple[float, int, _Request]]:
    events: list[tuple[float, int, _Request]] = []
    now = 0.0
    while (now := now + rng.expovariate(_RATE_PER_S)) < _SPAN_S:
        events.append((now, len(events), _Request(now, rng.randrange(_ENTRIES))))
    return events
