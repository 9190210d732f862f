"""Straggler benchmark: short jobs on GPU VMs beside jobs that run 100 times longer."""

import math
import random
import typing as t

from .bench_baselines import BASELINES
from .bench_driver import Host, Job, run
from .bench_figures import figures
from .bench_shard import shard_strategy
from .configuration import Configuration
from .messages import Work, WorkKind
from .resources import Resources

__all__ = ["rows"]

_SPAN_S = 600.0
_HOSTS = 7
_CAPACITY = Resources(128_000, 262_144, 8)
_NEED = Resources(16_000, 32_768, 1)
_SLOTS = 8 * _HOSTS
_SHORT_S = 1.0
_LONG_S = 100.0
_LONG_SHARE = 0.01
# Shorter waits count as this in ratios; it is about one network hop to a worker.
_FLOOR_S = 0.001
# In the swing cases, for 5 s of each 60 s, jobs arrive at five times the usual rate.
_SWING_EVERY_S = 60.0
_SWING_S = 5.0
_SWING_FACTOR = 5.0
# Case name to load, whether the load swings, and whether long jobs can checkpoint,
# which those of the rigid cases cannot.
_CASES = {
    "load 0.7, rigid": (0.7, False, False),
    "load 0.7": (0.7, False, True),
    "load 0.9, rigid": (0.9, False, False),
    "load 0.9": (0.9, False, True),
    "swing, rigid": (0.7, True, False),
    "swing": (0.7, True, True),
}


def rows(seed: int) -> list[dict[str, t.Any]]:
    """Return the figures of short and long jobs for each case and strategy."""
    strategies = {"poplaryard": shard_strategy(Configuration(number=1)), **BASELINES}
    results = []
    for case in _CASES:
        for name, make_strategy in strategies.items():
            results += _compare(case, name, make_strategy, seed)
    return results


def _compare(
    case: str, name: str, make_strategy: t.Any, seed: int
) -> list[dict[str, t.Any]]:
    with_long = _jobs(random.Random(seed), *_CASES[case])
    short_only = [
        job for job in _jobs(random.Random(seed), *_CASES[case]) if job.label == "short"
    ]
    cluster = run(short_only, _hosts(), make_strategy, seed)
    baseline = figures(short_only, cluster, (0.0, _SPAN_S), "short")
    cluster = run(with_long, _hosts(), make_strategy, seed)
    short = figures(with_long, cluster, (0.0, _SPAN_S), "short")
    long = figures(with_long, cluster, (0.0, _SPAN_S), "long")
    floored = [max(_FLOOR_S, row["wait_p99_s"]) for row in (short, baseline)]
    ratio = round(floored[0] / floored[1], 3)
    common = {"case": case, "strategy": name}
    return [
        {**common, "work": "short alone", **baseline},
        {**common, "work": "short", **short, "p99_ratio": ratio},
        {**common, "work": "long", **long},
    ]


def _hosts() -> list[Host]:
    return [Host(f"vm{number:03d}", _CAPACITY) for number in range(_HOSTS)]


def _jobs(rng: random.Random, load: float, swing: bool, checkpoints: bool) -> list[Job]:
    mean_s = (1 - _LONG_SHARE) * _SHORT_S + _LONG_SHARE * _LONG_S
    per_s = load * _SLOTS / mean_s
    jobs: list[Job] = []
    now = 0.0
    while (now := now + rng.expovariate(per_s)) < _SPAN_S:
        in_swing = swing and now % _SWING_EVERY_S < _SWING_S
        for _ in range(int(_SWING_FACTOR) if in_swing else 1):
            jobs.append(_job(rng, len(jobs), now, checkpoints))
    return jobs


def _job(rng: random.Random, number: int, now: float, checkpoints: bool) -> Job:
    long = rng.random() < _LONG_SHARE
    run_s = rng.uniform(0.5, 1.5) * (_LONG_S if long else _SHORT_S)
    # Declared run times are wrong by a factor of 0.3 to 3.
    error_factor = math.exp(rng.uniform(math.log(0.3), math.log(3.0)))
    work = Work(
        request_id=f"j{number}",
        kind=WorkKind.BATCH,
        team=f"team{number % 4}",
        need=_NEED,
        declared_s=run_s * error_factor,
        checkpointable=long and checkpoints,
    )
    return Job(work, run_s, now, "long" if long else "short")
