"""Black hole: VMs that fail all they start, slow VMs, and work that fails anywhere."""

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
# Failing work is tried three times, so that its case starts from a lower load.
_BAD_WORK_LOAD = 0.4
_FAULTY = (3, 11)
_FAULT_FROM_S = 20.0
_FAULT_UNTIL_S = 80.0
_FAILS_AFTER_S = 0.005
_SLOWDOWN = 5.0
# Share of jobs that fail on any VM, and of one team's jobs in the case "bad work".
_USUAL_FAILURES = 0.01
_BAD_FAILURES = 0.9
_CASES = ("black hole", "slow", "bad work")


def rows(seed: int) -> list[dict[str, t.Any]]:
    """Return the figures of each fault and strategy."""
    strategies = {"poplaryard": shard_strategy(Configuration(number=1)), **BASELINES}
    return [
        _row(case, name, make, seed)
        for case in _CASES
        for name, make in strategies.items()
    ]


def _row(case: str, name: str, make: t.Any, seed: int) -> dict[str, t.Any]:
    jobs, hosts = _jobs(random.Random(seed), case), _hosts(case)
    cluster = run(jobs, hosts, make, seed)
    row = figures(jobs, cluster, (0.0, _SPAN_S), "good")
    chosen = [job for job in jobs if job.label == "good"]
    spans = sorted(job.ended - job.arrived for job in chosen if job.ended and job.ok)
    tries = sum(job.attempts for job in chosen)
    return {
        "case": case,
        "strategy": name,
        **row,
        "answer_p99_s": round(spans[int(0.99 * len(spans))], 6),
        "wasted": round(1.0 - len(spans) / tries, 6),
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
