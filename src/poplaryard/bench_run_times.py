"""Run-time benchmark: orders by learned run times against baselines, in virtual time.

The workers are those of the tests (`tests.workload.fakes`), so that it runs in a
checkout only.
"""

import importlib
import json
import logging
import math
import random
import time
import typing as t
from dataclasses import dataclass, field

import click

from .bench_figures import table
from .logs import logger
from .resources import Resources
from .workload.model import JobSpec, StepSpec, WorkerInfo
from .workload.run_times import NO_RUN_TIME_USES, RunTimeUses

__all__ = ["rows", "run_times"]

STRATEGIES = ("arrival", "declared", "mean", "learned", "oracle")
_GROUP = "bench"
_WORKERS = 12
_CORES = 4
_TICK_S = 0.1
# Time after the last arrival in which jobs may still end, in seconds.
_DRAIN_S = 60.0
_STRETCH, _SLACK_S = 3.0, 2.0
# Spread of true times of the jobs of a queue and of the tasks of a step, share and
# factor of the tail, and speeds of workers, by the users' requirements.
_JOB_SPREAD, _TASK_SPREAD = 0.5, 0.2
_TAIL_SHARE, _TAIL_FACTOR = 0.05, 7.0
_SPEEDS = (0.55, 1.25)
_MEAN_SPEED = sum(_SPEEDS) / 2


@dataclass(frozen=True, slots=True)
class _Kind:
    """Queue: typical time in seconds, error of declared times, and share of the work.

    `bias` is added to the logarithm of declared times; true times are multiplied by
    `change` in the second half.
    """

    typical_s: float
    error: float
    share: float
    bias: float = 0.0
    tails: bool = False
    change: float = 1.0


_USUAL = {
    "exact": _Kind(1.0, 0.2, 0.3),
    "rough": _Kind(4.0, 0.9, 0.4),
    "tails": _Kind(2.0, 0.9, 0.3, tails=True),
}


@dataclass(frozen=True, slots=True)
class _Case:
    """Load: queues, offered load, and time span of the arrivals in seconds."""

    kinds: dict[str, _Kind]
    load: float
    span_s: float


_CASES = {
    "usual": _Case(_USUAL, 0.9, 200.0),
    "wrong by 10": _Case(
        _USUAL | {"tenth": _Kind(6.0, 0.2, 0.3, bias=-math.log(10))}, 0.9, 200.0
    ),
    "change": _Case(
        {"exact": _USUAL["exact"], "grows": _Kind(1.0, 0.2, 0.5, change=4.0)},
        0.65,
        200.0,
    ),
    "cold start": _Case(_USUAL, 1.6, 30.0),
}


@dataclass(slots=True)
class _Job:
    job_id: str
    kind: str
    at: float
    true_s: float
    declared_s: float
    count: int


@dataclass(slots=True)
class _Mean:
    """Mean of the logarithms of the run times that have ended."""

    pending: list[tuple[float, float]] = field(default_factory=list)
    total: float = 0.0
    count: int = 0

    def value_s(self, now: float) -> float | None:
        ended = [log_s for ends_at, log_s in self.pending if ends_at <= now]
        self.pending = [entry for entry in self.pending if entry[0] > now]
        self.total += sum(ended)
        self.count += len(ended)
        return math.exp(self.total / self.count) if self.count else None


def _jobs(case: _Case, rng: random.Random) -> list[_Job]:
    found = []
    for name, kind in case.kinds.items():
        counts = (1, 1, 2, 4, 8)
        tails = 1 + _TAIL_SHARE * (_TAIL_FACTOR - 1) if kind.tails else 1.0
        change = (1 + kind.change) / 2
        work_s = kind.typical_s * math.exp(_JOB_SPREAD**2 / 2) * tails * change
        work_s *= sum(counts) / len(counts) / _MEAN_SPEED
        total = sum(other.share for other in case.kinds.values())
        rate = case.load * _WORKERS * _CORES * kind.share / total / work_s
        at = 0.0
        while (at := at + rng.expovariate(rate)) < case.span_s:
            late = at > case.span_s / 2
            usual_s = kind.typical_s * rng.lognormvariate(0, _JOB_SPREAD)
            declared_s = usual_s * rng.lognormvariate(kind.bias, kind.error)
            true_s = usual_s * (kind.change if late else 1)
            count = rng.choice(counts)
            found.append(_Job("", name, at, true_s, declared_s, count))
    found.sort(key=lambda job: job.at)
    for number, job in enumerate(found):
        job.job_id = f"{number:016x}"
    return found


def _run(case: _Case, strategy: str, seed: int) -> list[dict[str, t.Any]]:
    fakes = importlib.import_module("tests.workload.fakes")
    uses = RunTimeUses.all() if strategy == "learned" else NO_RUN_TIME_USES
    group = fakes.SimulatedGroup(workers=0, run_time_uses=uses)
    rng = random.Random(seed)
    size = Resources(1000 * _CORES, 8000, 0)
    for number in range(_WORKERS):
        labels = (f"r{number // 4}",)
        address = f"10.0.0.{number}:80"
        name = f"w{number}"
        group.add_worker(
            WorkerInfo(name, _GROUP, address, "dc", size, labels, born_ms=1000)
        )
        group.sims[name].slowness = 1 / rng.uniform(*_SPEEDS)
    jobs = _jobs(case, rng)
    by_id = {job.job_id: job for job in jobs}
    means = {name: _Mean() for name in case.kinds}

    def run_time_s(run: t.Any) -> float:
        job = by_id[run.task.step.job.spec.job_id]
        own = random.Random(f"{seed}.{run.task.name}.{run.number}")
        run_s = job.true_s * own.lognormvariate(0, _TASK_SPREAD)
        if case.kinds[job.kind].tails and own.random() < _TAIL_SHARE:
            run_s *= _TAIL_FACTOR
        means[job.kind].pending.append((group.now + run_s, math.log(run_s)))
        return run_s

    def estimate_s(job: _Job) -> float:
        if strategy == "arrival":
            return 1.0
        if strategy == "oracle":
            return job.true_s
        if strategy == "mean":
            return means[job.kind].value_s(group.now) or job.declared_s
        return job.declared_s

    group.run_time_s = run_time_s
    group.run(0.2)
    began = group.now
    decided_s = 0.0
    advance = group.partition.advance

    def timed_advance(now: float) -> None:
        nonlocal decided_s
        since = time.thread_time()
        advance(now)
        decided_s += time.thread_time() - since

    group.partition.advance = timed_advance
    waiting = list(reversed(jobs))
    until = began + case.span_s + _DRAIN_S
    while group.now < until:
        while waiting and began + waiting[-1].at <= group.now:
            job = waiting.pop()
            step = StepSpec(
                job.count,
                Resources(1000, 100, 0),
                estimate_s(job),
                speculative=case.kinds[job.kind].tails,
            )
            group.submit(
                JobSpec(
                    job.job_id,
                    job.kind,
                    _GROUP,
                    "",
                    (step,),
                    stretch=_STRETCH,
                    slack_s=_SLACK_S,
                )
            )
        group.step()
        group.now += _TICK_S
    cost_us = 1e6 * decided_s / max(1, len(group.starts()))
    return [
        {**_figures(group, jobs, kind), "us_per_start": round(cost_us)}
        for kind in ("all", *case.kinds)
    ]


def _figures(group: t.Any, jobs: list[_Job], kind: str) -> dict[str, t.Any]:
    """Return waits and share of jobs in time of a queue.

    The objective that counts here is that of the true run time.
    """
    waits, in_time = [], 0
    chosen = [job for job in jobs if kind in ("all", job.kind)]
    for job in chosen:
        run = group.partition.jobs[job.job_id]
        waits.append((run.first_start_at or group.now) - run.arrived_at)
        finished_at = run.progress.finished_at
        age_s = finished_at - 1_000_000.0 - run.arrived_at
        in_time += bool(finished_at) and age_s <= _STRETCH * job.true_s + _SLACK_S
    waits.sort()
    return {
        "kind": kind,
        "jobs": len(chosen),
        "wait_p50_s": round(waits[len(waits) // 2], 2),
        "wait_p99_s": round(waits[int(0.99 * (len(waits) - 1))], 2),
        "in_time": round(in_time / len(chosen), 3),
    }


def rows(
    seed: int, cases: t.Iterable[str] = tuple(_CASES), repeats: int = 1
) -> list[dict[str, t.Any]]:
    """Return the figures of each case, strategy and queue, as means of some seeds."""
    found = []
    for case in cases:
        for strategy in STRATEGIES:
            runs = [_run(_CASES[case], strategy, seed + n) for n in range(repeats)]
            for same in zip(*runs, strict=True):
                means = {
                    name: round(sum(row[name] for row in same) / repeats, 3)
                    for name in same[0]
                    if name != "kind"
                }
                kind = same[0]["kind"]
                found.append(
                    {"case": case, "strategy": strategy, "kind": kind, **means}
                )
    return found


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--repeats", type=int, default=1, show_default=True, help="Seeds.")
@click.option(
    "--case",
    "cases",
    type=click.Choice(list(_CASES)),
    multiple=True,
    help="Only these.",
)
@click.option(
    "--json", "output", type=click.File("w"), help="Write the result as JSON."
)
def run_times(
    seed: int, repeats: int, cases: tuple[str, ...], output: t.TextIO | None
) -> None:
    """Compare orders by learned, declared, mean and true run times."""
    logger.setLevel(logging.ERROR)
    found = rows(seed, cases or tuple(_CASES), repeats)
    if output is None:
        click.echo(table(found))
        return
    json.dump(found, output, indent=1)
    output.write("\n")
