"""Figures of a benchmark run: waits, packing, goodput, preemptions and fairness."""

import math
import typing as t

from .bench_driver import Cluster, Job

__all__ = ["figures", "jain_index", "percentile", "table"]

_DIGITS = 6


def percentile(values: t.Sequence[float], fraction: float) -> float:
    """Return the nearest-rank percentile for a fraction in [0, 1]; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)]


def jain_index(values: t.Sequence[float]) -> float:
    """Return Jain's fairness index: 1 if all values are equal, 1/n if one has all."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def figures(
    jobs: t.Sequence[Job],
    cluster: Cluster,
    span: tuple[float, float],
    label: str = "",
) -> dict[str, t.Any]:
    """Return the figures of the jobs with `label`, or of all jobs if it is empty.

    A job is served if it succeeds by its deadline. Waits are those of started jobs, in
    seconds. Goodput is the number of served jobs that ended in `span`, per second.
    Packing is the mean used share while work waits. Fairness is Jain's index of the
    served share of each team's jobs.
    """
    chosen = [job for job in jobs if label in ("", job.label)]
    waits = [job.started - job.arrived for job in chosen if job.started is not None]
    served = [job for job in chosen if _is_served(job)]
    in_span = [job for job in served if span[0] <= t.cast(float, job.ended) < span[1]]
    packing = cluster.used_share_s / cluster.waiting_s if cluster.waiting_s else 0.0
    return {
        "jobs": len(chosen),
        "started": len(waits),
        "wait_p50_s": round(percentile(waits, 0.5), _DIGITS),
        "wait_p99_s": round(percentile(waits, 0.99), _DIGITS),
        "wait_p999_s": round(percentile(waits, 0.999), _DIGITS),
        "packing": round(packing, _DIGITS),
        "goodput_per_s": round(len(in_span) / (span[1] - span[0]), _DIGITS),
        "served": round(len(served) / len(chosen), _DIGITS) if chosen else 0.0,
        "preemptions": sum(job.preemptions for job in chosen),
        "fairness": round(_fairness(chosen), _DIGITS),
    }


def table(rows: t.Sequence[t.Mapping[str, t.Any]]) -> str:
    """Return rows as a Markdown table with a column for each name in any row."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names, ["---"] * len(names)]
    lines += [[_cell(row.get(name, "")) for name in names] for row in rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _is_served(job: Job) -> bool:
    return job.ok and job.ended is not None and job.ended <= job.work.deadline


def _fairness(jobs: t.Sequence[Job]) -> float:
    counts: dict[str, list[int]] = {}
    for job in jobs:
        count = counts.setdefault(job.work.team, [0, 0])
        count[0] += _is_served(job)
        count[1] += 1
    return jain_index([served / offered for served, offered in counts.values()])


def _cell(value: t.Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
