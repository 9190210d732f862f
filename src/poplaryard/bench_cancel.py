"""Cancellation benchmark: 10,000 waiting jobs are cancelled at the same moment."""

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

_SPAN_S = 40.0
_HOSTS = 20
_CAPACITY = Resources(16_000, 32_768, 0)
_NEED = Resources(1000, 2048, 0)
_LOAD = 0.5
# Number of jobs in the wave, and the times at which they arrive and are cancelled.
_WAVE = 10_000
_ARRIVES_S = 10.0
_CANCELLED_S = 15.0
_CASES = {"no wave": 0, "wave": _WAVE}


def rows(seed: int) -> list[dict[str, t.Any]]:
    """Return the figures of another team's jobs with and without the cancelled wave."""
    poplaryard: t.Any = shard_strategy(Configuration(number=1))
    results = []
    for case, wave in _CASES.items():
        for name, make_strategy in {"poplaryard": poplaryard, **BASELINES}.items():
            jobs = _jobs(random.Random(seed), wave)
            hosts = [Host(f"vm{n:03d}", _CAPACITY) for n in range(_HOSTS)]
            cluster = run(jobs, hosts, make_strategy, seed)
            row = figures(jobs, cluster, (0.0, _SPAN_S), "steady")
            cancelled = cluster.dropped.get("cancelled", 0)
            common = {"case": case, "strategy": name}
            results.append({**common, **row, "cancelled": cancelled})
    return results


def _jobs(rng: random.Random, wave: int) -> list[Job]:
    per_s = _LOAD * _HOSTS * _CAPACITY.cpu_m / _NEED.cpu_m
    jobs: list[Job] = []
    now = 0.0
    while (now := now + rng.expovariate(per_s)) < _SPAN_S:
        jobs.append(_job(rng, f"s{len(jobs)}", now, "steady"))
    for number in range(wave):
        job = _job(rng, f"w{number}", _ARRIVES_S, "wave")
        job.cancel_at = _CANCELLED_S
        jobs.append(job)
    return jobs


def _job(rng: random.Random, request_id: str, now: float, team: str) -> Job:
    work = Work(
        request_id=request_id,
        kind=WorkKind.BATCH,
        team=team,
        need=_NEED,
        deadline=math.inf,
    )
    return Job(work, rng.uniform(0.5, 1.5), now, team)
