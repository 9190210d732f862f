"""Fault benchmark: VMs that fail every task, slow VMs, and jobs that often fail."""

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

_SPAN_S = 120.0
_HOSTS = 20
_CAPACITY = Resources(16_000, 32_768, 0)
_NEED = Resources(1000, 2048, 0)
_LOAD = 0.8
# Failed jobs are tried up to three times, so this case needs a lower offered load.
_BAD_WORK_LOAD = 0.4
# Indices of the faulty VMs.
_FAULTY = (3, 11)
_FAULT_FROM_S = 20.0
_FAULT_UNTIL_S = 80.0
_FAILS_AFTER_S = 0.005
_SLOWDOWN = 5.0
# Share of jobs that fail on every VM, usually and for one team in "bad work".
_USUAL_FAILURES = 0.01
_BAD_FAILURES = 0.9
_CASES = ("black hole", "slow", "bad work")


def rows(seed: int) -> list[dict[str, t.Any]]:
    """Return the figures of the well-behaved jobs for each fault and strategy."""
    strategies = {"poplaryard": shard_strategy(Configuration(number=1)), **BASELINES}
    return [
        _row(case, name, make_strategy, seed)
        for case in _CASES
        for name, make_strategy in strategies.items()
    ]


def _row(case: str, name: str, make_strategy: t.Any, seed: int) -> dict[str, t.Any]:
    jobs, hosts = _jobs(random.Random(seed), case), _hosts(case)
    cluster = run(jobs, hosts, make_strategy, seed)
    row = figures(jobs, cluster, (0.0, _SPAN_S), "good")
    chosen = [job for job in jobs if job.label == "good"]
    response_s = sorted(
        job.ended - job.arrived for job in chosen if job.ended and job.ok
    )
    attempts = sum(job.attempts for job in chosen)
    return {
        "case": case,
        "strategy": name,
        **row,
        "answer_p99_s": round(response_s[int(0.99 * len(response_s))], 6),
        "wasted": round(1.0 - len(response_s) / attempts, 6),
    }


def _hosts(case: str) -> list[Host]:
    hosts = [Host(f"vm{number:03d}", _CAPACITY) for number in range(_HOSTS)]
    for number in _FAULTY if case != "bad work" else ():
        host = hosts[number]
        host.fault_from, host.fault_until = _FAULT_FROM_S, _FAULT_UNTIL_S
        if case == "black hole":
            host.fails_after_s = _FAILS_AFTER_S
        else:
            host.slowdown = _SLOWDOWN
    return hosts


def _jobs(rng: random.Random, case: str) -> list[Job]:
    load = _BAD_WORK_LOAD if case == "bad work" else _LOAD
    per_s = load * _HOSTS * _CAPACITY.cpu_m / _NEED.cpu_m
    jobs: list[Job] = []
    now = 0.0
    while (now := now + rng.expovariate(per_s)) < _SPAN_S:
        jobs.append(_job(rng, len(jobs), now, case))
    return jobs


def _job(rng: random.Random, number: int, now: float, case: str) -> Job:
    bad = case == "bad work" and number % 2 == 0
    work = Work(
        request_id=f"j{number}",
        kind=WorkKind.BATCH,
        team="bad" if bad else "good",
        need=_NEED,
    )
    fails = rng.random() < (_BAD_FAILURES if bad else _USUAL_FAILURES)
    label = "bad" if bad else "good"
    return Job(work, rng.uniform(0.5, 1.5), now, label, fails=fails)
