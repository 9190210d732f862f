"""Short seeded soak, regression seeds, and tests of the oracle."""

import asyncio
import pathlib
import subprocess
import sys
from types import SimpleNamespace

import pytest

from tests.soak.__main__ import soak
from tests.soak.callers import Callers
from tests.soak.oracle import Oracle, SoakJob
from tests.soak.workers import make_workers

# Duration in seconds of each seed that failed once, with the cause of the failure.
REGRESSIONS = {
    # A worker stand-in executed a delayed order after its restart.
    6: 15.0,
}


def run_soak(seed, seconds, directory):
    oracle, faults = asyncio.run(soak(seed, seconds, directory))
    assert oracle.broken == [], faults.injected
    assert oracle.starts > 50
    assert any(job.accepted_at for job in oracle.jobs.values())


def test_short_soak_breaks_no_promise(tmp_path):
    run_soak(1, 10.0, tmp_path)


@pytest.mark.parametrize(("seed", "seconds"), REGRESSIONS.items())
def test_seed_that_failed_once_breaks_no_promise(seed, seconds, tmp_path):
    run_soak(seed, seconds, tmp_path)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def simulation():
    """Return an oracle that knows one job of two steps, two workers and a clock."""

    async def build():
        clock = Clock()
        oracle = Oracle(clock)
        steps = [
            {"count": 1, "cpu": 3000, "estimate_ms": 500},
            {"count": 1, "cpu": 3000, "estimate_ms": 500, "after": [0]},
        ]
        oracle.jobs["a"] = SoakJob("a", "text", steps)
        return oracle, make_workers([0, 0], oracle, 1, clock), clock

    return asyncio.run(build())


def start(worker, task, run=1, spec="text"):
    body = {"task": task, "run": run, "spec": spec, "fencing_token": 1}
    return worker._order("run-start", {**body, "deadline_ms": 60_000})


def rules(oracle):
    return [line.split()[1].rstrip(":") for line in oracle.broken]


def test_second_run_beside_the_first_is_reported(simulation):
    oracle, (first, second), _ = simulation
    start(first, "a.0.0.0")
    start(second, "a.0.0.0", run=2)
    assert rules(oracle) == ["TWICE"]


def test_start_after_an_acknowledged_end_is_reported(simulation):
    oracle, (first, second), clock = simulation
    start(first, "a.0.0.0")
    first.runs["a.0.0.0", 1] = (1.0, 3000, "done")
    clock.now = 2.0
    first.advance()
    hold = {"fencing_token": 1, "ack_seq": 1}
    asyncio.run(first._hold(hold))
    start(second, "a.0.0.0", run=2)
    assert rules(oracle) == ["TWICE"]


def test_step_out_of_order_and_exceeded_capacity_are_reported(simulation):
    oracle, (first, _), _ = simulation
    start(first, "a.0.0.0")
    start(first, "a.0.1.0")
    assert rules(oracle) == ["ORDER", "LIMIT"]


def test_starts_that_nobody_asked_for_are_reported(simulation):
    oracle, (first, second), clock = simulation
    start(first, "b.0.0.0")
    start(first, "a.0.0.0", spec="other text")
    oracle.jobs["a"].cancelled_at = 1.0
    clock.now = 10.0
    start(second, "a.0.0.0")
    assert rules(oracle) == ["UNASKED"] * 3


def test_false_states_are_reported(simulation):
    oracle, _, clock = simulation
    job = oracle.jobs["a"]
    job.accepted_at = 1.0
    clock.now = 10.0
    oracle.state_answered(job, 410, "")
    oracle.state_answered(job, 200, "done")
    job.state = "running"
    oracle.finish()
    assert rules(oracle) == ["LOST", "MIXED", "LOST"]


def test_cancellation_without_an_answer_may_have_been_carried_out(simulation):
    """Guards against a soak that fails because its caller forgot a cancellation.

    Seed 407 of soaks with processes of two builds: all tries of a cancellation got
    errors, and one of them had been carried out.
    """
    oracle, _, _ = simulation
    job = oracle.jobs["a"]
    oracle.state_answered(job, 200, "cancelled")
    assert rules(oracle) == ["LOST"]

    async def refuse(method, path, body):
        return 504, {}

    callers = Callers(SimpleNamespace(oracle=oracle), 1)
    callers._call = refuse
    asyncio.run(callers._cancel(job, "/checks/a"))
    oracle.state_answered(job, 200, "cancelled")
    assert rules(oracle) == ["LOST"]


def test_ports_are_reserved_for_one_run():
    """Guards against two soaks whose processes listen on the same port."""
    script = "from tests.ports import reserve_ports; print(*reserve_ports(20))"
    root = pathlib.Path(__file__).parents[2]
    command = [sys.executable, "-c", script + "; input()"]
    runs = [
        subprocess.Popen(
            command,
            cwd=root,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={"PYTHONPATH": str(root)},
        )
        for _ in range(3)
    ]
    ports = [run.stdout.readline().split() for run in runs]
    for run in runs:
        run.communicate(b"\n")
    assert len({port for found in ports for port in found}) == 60
