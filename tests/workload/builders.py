"""Builders of jobs, workers and reports for tests, with default values."""

from poplaryard.resources import Resources
from poplaryard.workload.model import (
    AdviceCost,
    EndedRun,
    HoldReport,
    JobSpec,
    RunningRun,
    RunOutcome,
    StepSpec,
    Tenant,
    WorkerInfo,
)

ADVICE = AdviceCost(base_s=0.02, per_worker_s=0.001, valid_s=2.0)


def step(count=1, cpu=1000, **fields):
    fields.setdefault("need", Resources(cpu, 100, fields.pop("gpus", 0)))
    fields.setdefault("estimate_s", 1.0)
    return StepSpec(count=count, **fields)


def job(job_id="a" * 16, *steps, **fields):
    fields.setdefault("queue", "checks")
    fields.setdefault("group", "desk")
    fields.setdefault("payload", "text")
    fields.setdefault("attempts", 3)
    return JobSpec(job_id=job_id, steps=steps or (step(),), **fields)


def worker_info(number=0, *, cpu=4000, gpus=0, **fields):
    fields.setdefault("worker_id", f"w{number}")
    fields.setdefault("group", "desk")
    fields.setdefault("address", f"10.0.0.{number}:80")
    fields.setdefault("data_centre", "dc1")
    fields.setdefault("labels", ("a", f"r{number // 2}"))
    fields.setdefault("born_ms", 1000)
    return WorkerInfo(capacity=Resources(cpu, 8000, gpus), **fields)


def report(clock_s, *, running=(), ended=(), born_ms=1000, complete=True):
    return HoldReport(clock_s, born_ms, tuple(running), tuple(ended), complete)


def running(task, run=1, percent=10.0, checkpoint=""):
    return RunningRun(task, run, checkpoint, percent)


def end(seq, task, run=1, outcome=RunOutcome.DONE, checkpoint=""):
    return EndedRun(seq, task, run, outcome, checkpoint)


def tenants(**weights):
    return {name: Tenant(name, weight) for name, weight in weights.items()}
