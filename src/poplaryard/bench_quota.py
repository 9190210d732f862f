"""Quota benchmark: one team asks for the whole capacity beside many small teams."""

import random
import sys
import time
import typing as t

from .bench_baselines import BASELINES
from .bench_driver import Host, Job, run
from .bench_figures import figures
from .bench_shard import shard_strategy
from .configuration import Configuration, TeamSpec
from .messages import Work, WorkKind
from .quota import Quotas
from .resources import Resources

__all__ = ["decision_us", "rows"]

_SPAN_S = 30.0
_HOSTS = 20
_CAPACITY = Resources(16_000, 32_768, 0)
_NEED = Resources(1000, 2048, 0)
_DEADLINE_S = 5.0
_TEAM_COUNTS = (10, 100, 950)
# Loads offered by the one large team and by all small teams together.
_GREEDY_LOAD = 1.0
_SMALL_LOAD = 0.5
_DECISIONS = 50_000


def rows(seed: int) -> list[dict[str, t.Any]]:
    """Return the figures of the large and the small teams for each team count.

    The time of a quota decision is printed to standard error and left out of the
    result, which must be reproducible.
    """
    results = []
    for count in _TEAM_COUNTS:
        print(f"{count} teams: {decision_us(count, seed):.2f} us", file=sys.stderr)
        teams = {f"team{number}": TeamSpec(f"team{number}") for number in range(count)}
        poplaryard: t.Any = shard_strategy(Configuration(number=1, teams=teams))
        for name, make_strategy in {"poplaryard": poplaryard, **BASELINES}.items():
            jobs = _jobs(random.Random(seed), count)
            hosts = [Host(f"vm{n:03d}", _CAPACITY) for n in range(_HOSTS)]
            cluster = run(jobs, hosts, make_strategy, seed)
            common = {"case": f"{count} teams", "strategy": name}
            for label in ("small", "greedy"):
                row = figures(jobs, cluster, (0.0, _SPAN_S), label)
                results.append({**common, "work": label, **row})
    return results


def decision_us(count: int, seed: int) -> float:
    """Return the mean time of one quota decision in microseconds.

    A decision adds a waiting job, checks the quota, finds the next team, and charges
    and releases the job. Every team has a charge, and half of them have waiting jobs.
    """
    rng, quotas = random.Random(seed), Quotas()
    names = [f"team{number}" for number in range(count)]
    total = _CAPACITY.times(10 * count)
    quotas.configure({name: TeamSpec(name) for name in names}, total)
    for number, name in enumerate(names):
        quotas.charge(name, _NEED.times(1 + number % 7))
        if number % 2:
            quotas.add_waiting(name)
    chosen = [rng.choice(names) for _ in range(_DECISIONS)]
    started = time.perf_counter()
    for name in chosen:
        quotas.add_waiting(name)
        quotas.allowed(name, _NEED)
        quotas.least_waiting()
        quotas.remove_waiting(name)
        quotas.charge(name, _NEED)
        quotas.release(name, _NEED)
    return (time.perf_counter() - started) / _DECISIONS * 1e6


def _jobs(rng: random.Random, teams: int) -> list[Job]:
    load = _GREEDY_LOAD + _SMALL_LOAD
    per_s = load * _HOSTS * _CAPACITY.cpu_m / _NEED.cpu_m
    jobs: list[Job] = []
    now = 0.0
    while (now := now + rng.expovariate(per_s)) < _SPAN_S:
        greedy = rng.random() < _GREEDY_LOAD / load
        work = Work(
            request_id=f"j{len(jobs)}",
            kind=WorkKind.BATCH,
            team="team0" if greedy else f"team{rng.randrange(1, teams)}",
            need=_NEED,
            deadline=now + _DEADLINE_S,
        )
        label = "greedy" if greedy else "small"
        jobs.append(Job(work, rng.uniform(0.5, 1.5), now, label))
    return jobs
