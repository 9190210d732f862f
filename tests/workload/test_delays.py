"""Reasons for which tasks wait, their log lines and metrics."""

import asyncio
import io
import itertools
import json
import logging
import pathlib
from dataclasses import replace

import pytest
from click.testing import CliRunner

from poplaryard import logs
from poplaryard.cli import main
from poplaryard.workload.delays import DelayReason as Why
from poplaryard.workload.model import StartOutcome, Suspect
from poplaryard.workload.obstacles import worker_obstacle
from poplaryard.workload.runtime import RunPhase
from tests.workload.builders import ADVICE, job, step, worker_info
from tests.workload.fakes import FixedCaps, SimulatedGroup
from tests.workload.test_owner import JOB as OWNED_JOB
from tests.workload.test_owner import OwnerFixture, until

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
# Run time of a task that outlasts every wait here, in seconds.
LONG_S = 60.0
# Time for which the tasks wait, in seconds.
WAIT_S = 3.5


def report(group, caplog, **fields):
    """Return the figures of a report, and its log lines by reason."""
    caplog.clear()
    with caplog.at_level(logging.INFO, "poplaryard"):
        figures = group.partition.report_delays(group.now, **fields)
    lines = [line for line in caplog.records if line.message == "task does not start"]
    assert {line.reason for line in lines} <= set(figures)
    return figures, {line.reason: line for line in lines}


def submit(group, *steps, job_id=JOB, **fields):
    """Submit a job after a second, in which the workers have reported."""
    group.run(1.0)
    return group.submit(job(job_id, *(steps or (step(estimate_s=LONG_S),)), **fields))


def task_of(group):
    return group.partition._tasks[TASK]


def without_certain_lease():
    group = SimulatedGroup()
    group.partition.sole_owner = False
    submit(group)
    group.run(WAIT_S)
    return group


def without_starts():
    group = SimulatedGroup()
    group.partition.accepts_starts = False
    submit(group)
    group.run(WAIT_S)
    return group


def with_suspect(tasks):
    suspects = {"w0": Suspect(tasks=tasks)}
    group = SimulatedGroup(suspects=suspects, quarantine_until=112.0)
    group.sims["w0"].unreachable = True
    group.submit(job(JOB), fresh=False)
    group.run(WAIT_S)
    return group


def on_silent_worker():
    group = SimulatedGroup()
    submit(group)
    group.run(1.0)
    for sim in group.sims.values():
        sim.unreachable = True
    group.run(WAIT_S)
    return group


def without_answer():
    group = SimulatedGroup()
    submit(group)
    group.partition.advance(group.now)
    for sim in group.sims.values():
        sim.unreachable = True
    group.run(WAIT_S)
    return group


def stopping():
    group = SimulatedGroup()
    submit(group)
    group.run(1.0)
    task_of(group).runs[0].phase = RunPhase.STOPPING
    group.now += WAIT_S
    return group


def with_late_start(lasting):
    group = SimulatedGroup()
    submit(group, step(estimate_s=LONG_S, lasting=lasting))
    group.deliver_start = lambda run, deadline: StartOutcome.IN_DOUBT
    group.run(WAIT_S)
    del group.deliver_start
    return group


def with_late_start_on_paused_worker():
    group = SimulatedGroup()
    submit(group, step(estimate_s=LONG_S, lasting=True))
    group.deliver_start = lambda run, deadline: StartOutcome.IN_DOUBT
    while not group.partition.workers["w0"].strays:
        group.step()
        group.now += 0.05
    group.partition.workers["w0"].paused_until = group.now + LONG_S
    group.run(WAIT_S)
    return group


def with_task(**fields):
    group = SimulatedGroup()
    submit(group)
    for name, value in fields.items():
        setattr(task_of(group), name, value)
    group.now += WAIT_S
    return group


def paused():
    return with_task(not_before=110.0)


def full(**fields):
    """Return a group whose workers are full, with a task that waits for room."""
    group = SimulatedGroup()
    submit(group, step(2, cpu=4000, estimate_s=LONG_S), job_id="b" * 16)
    group.run(1.0)
    group.submit(job(JOB))
    for name, value in fields.items():
        setattr(task_of(group), name, value)
    group.run(WAIT_S)
    return group


def suspected():
    return full(suspected=True)


def suspected_beside_unsettled_run():
    group = SimulatedGroup(workers=1)
    submit(group)
    task_of(group).suspected = True
    group.submit(job("b" * 16))
    group.partition.workers["w0"].paused_until = group.now + 0.2
    group.run(0.2)
    group.now += WAIT_S
    group.partition.advance(group.now)
    return group


def gang_with_silent_member():
    group = SimulatedGroup()
    submit(group, step(2, cpu=3000, gang=True, estimate_s=LONG_S))
    group.run(1.0)
    group.sims["w0"].unreachable = group.sims["w1"].failing = True
    for run in group.sims["w1"].runs.values():
        run[1] = group.now
    group.run(WAIT_S)
    return group


def at_cap():
    group = SimulatedGroup()
    group.partition.caps = FixedCaps(a=worker_info(cpu=500).capacity)
    submit(group, tenant="a")
    group.run(WAIT_S)
    return group


def with_step(**fields):
    group = SimulatedGroup()
    submit(group, step(estimate_s=LONG_S, **fields))
    group.run(WAIT_S)
    return group


def with_label():
    return with_step(label="gpu")


def too_large():
    return with_step(cpu=5000, gang=True)


def beyond_worker_limit():
    return with_step(count=3, max_per_worker=1)


def draining():
    group = SimulatedGroup()
    for sim in group.sims.values():
        group.partition.worker_listed(replace(sim.info, draining=True))
    submit(group)
    group.run(WAIT_S)
    return group


def ejected():
    group = SimulatedGroup()
    submit(group)
    for number, worker in enumerate(group.partition.workers.values()):
        worker.ejected_until = 110.0 + number
    group.run(WAIT_S)
    return group


def not_permitted():
    group = SimulatedGroup()
    group.permitted = []
    submit(group, advice=ADVICE)
    group.run(WAIT_S)
    return group


def without_advice(**fields):
    group = SimulatedGroup()
    group.advise = lambda: None
    [current] = submit(group, advice=ADVICE).occurrences[0]
    for name, value in fields.items():
        setattr(current, name, value)
    group.run(WAIT_S)
    return group


def asking():
    return without_advice(asking=True, asked=("w0",))


def refused_call():
    return without_advice(ask_after=110.0)


def reserved():
    """Return a group whose room an urgent step takes once a run has ended."""
    group = SimulatedGroup(workers=1)
    submit(group, step(cpu=3000, estimate_s=8.0), job_id="b" * 16)
    group.run(0.5)
    group.submit(job("c" * 16, step(cpu=4000)))
    group.run(4.3)
    group.submit(job(JOB, step(cpu=1000), priority=1))
    group.run(3.1)
    return group


def held_for_trial():
    group = SimulatedGroup(workers=1)
    submit(group)
    worker = group.partition.workers["w0"]
    worker.trial, worker.held_until = task_of(group), group.now + LONG_S
    group.run(WAIT_S)
    return group


def without_obstacle():
    return with_task()


@pytest.mark.parametrize(
    ("build", "reason", "ends_in_s", "detail"),
    [
        (without_certain_lease, Why.OWNER_LEASE, None, "new jobs"),
        (without_starts, Why.OWNER_ENDS, None, ""),
        (lambda: with_suspect(None), Why.EARLIER_RUNS, 12.0 - WAIT_S, "w0"),
        (lambda: with_suspect((TASK,)), Why.EARLIER_RUNS, 12.0 - WAIT_S, "w0"),
        (on_silent_worker, Why.SILENT_WORKER, 3.0, "run 1 at w"),
        (without_answer, Why.START_UNANSWERED, 19.7, "silent for 3.5 s"),
        (stopping, Why.RUN_STOPPING, None, "run 1 at w"),
        (lambda: with_late_start(False), Why.LATE_START, 9.0, "w"),
        (lambda: with_late_start(True), Why.LATE_START, 9.0, "w"),
        (
            with_late_start_on_paused_worker,
            Why.LATE_START,
            8.9,
            "may start only on w0, which is paused",
        ),
        (lambda: with_task(crash_stored=False), Why.CRASH_NOT_STORED, None, ""),
        (lambda: with_task(next_trial_at=110.0), Why.CRASH_PAUSE, 5.5, TASK),
        (paused, Why.TASK_PAUSED, 5.5, TASK),
        (suspected, Why.TRIAL, None, "no room: needs 1000m/100MB/0"),
        (suspected_beside_unsettled_run, Why.TRIAL, None, "w0 is held, has runs not"),
        (gang_with_silent_member, Why.GANG_MEMBERS, None, "1 of 2 members"),
        (gang_with_silent_member, Why.SILENT_WORKER, 3.0, "run 1 at w0"),
        (at_cap, Why.TENANT_CAP, None, "a uses 0m/0MB/0, needs 1000m/100MB/0"),
        (with_label, Why.NO_FIT, None, "with label gpu"),
        (too_large, Why.NO_FIT, None, "needs 5000m/100MB/0 for each of 1 together"),
        (draining, Why.UNUSABLE, None, "0 of 2 workers usable, 2 draining"),
        (ejected, Why.UNUSABLE, 5.5, "0 of 2 workers usable, 2 ejected"),
        (not_permitted, Why.ADVICE_REFUSED, None, "0 of 2 permitted"),
        (asking, Why.ADVICE_UNANSWERED, None, "1 workers asked for"),
        (refused_call, Why.ADVICE_NOT_ASKED, 5.5, "the last call failed"),
        (without_advice, Why.ADVICE_NOT_ASKED, None, "no room is expected"),
        (beyond_worker_limit, Why.WORKER_LIMIT, None, "1 on each, 2 with room"),
        (full, Why.NO_ROOM, None, "2 of 2 workers usable"),
        (reserved, Why.RESERVED, None, "w0"),
        (held_for_trial, Why.HELD_FOR_TRIAL, None, "w0"),
        (without_obstacle, Why.NOT_KNOWN, None, ""),
    ],
)
def test_reason_of_a_wait_is_told(build, reason, ends_in_s, detail, caplog):
    """Guards against a task that waits without a line that says why."""
    figures, lines = report(build(), caplog)
    line = lines[reason]
    assert figures[reason].tasks == line.tasks == 1
    assert figures[reason].longest_s == pytest.approx(line.waited_s, abs=0.001)
    assert 3.0 <= line.waited_s < 6.0
    assert getattr(line, "ends_in_s", None) == pytest.approx(ends_in_s, abs=0.7)
    assert detail in getattr(line, "detail", "")


@pytest.mark.parametrize(
    ("build", "reason"),
    [
        (lambda: with_suspect(None), Why.EARLIER_RUNS),
        (lambda: with_suspect((TASK,)), Why.EARLIER_RUNS),
        (on_silent_worker, Why.SILENT_WORKER),
        (without_answer, Why.START_UNANSWERED),
        (lambda: with_late_start(False), Why.LATE_START),
        (paused, Why.TASK_PAUSED),
    ],
)
def test_reason_ends_at_the_time_that_is_told(build, reason, caplog):
    """Guards against a time that differs from the one by which the owner decides."""
    group = build()
    left_s = report(group, caplog)[1][reason].ends_in_s
    group.run(left_s - 0.2)
    assert reason in report(group, caplog)[0]
    group.run(0.4)
    assert reason not in report(group, caplog)[0]


@pytest.mark.parametrize(
    ("build", "fields", "reason", "detail"),
    [
        (full, {"has_authority": False}, Why.OWNER_LEASE, "no orders are sent"),
        (
            without_advice,
            {"can_call": lambda cost_s: False},
            Why.ADVICE_NOT_ASKED,
            "no channel is free for a call of 0.02 s",
        ),
    ],
)
def test_reason_that_the_owner_knows_is_told(build, fields, reason, detail, caplog):
    figures, lines = report(build(), caplog, **fields)
    assert figures[reason].tasks == 1
    assert lines[reason].detail == detail
    assert list(figures) == [reason]


@pytest.mark.parametrize("reason", Why)
def test_operators_can_look_up_each_reason(reason):
    page = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
    assert f"`{reason.value}`" in page.read_text()


def test_tasks_that_run_or_are_not_ready_do_not_wait(caplog):
    group = SimulatedGroup()
    submit(group, step(2, estimate_s=8.0), step(after=(0,)))
    group.run(8.5)
    assert report(group, caplog) == ({}, {})


@pytest.mark.parametrize(
    "change",
    [
        {},
        {"gone": True},
        {"listed": False},
        {"reachable": False},
        {"synced": False},
        {"rejected_runs": {(TASK, 1)}},
        {"later_seen_at": 100.0},
        {"born_ms": 999},
        {"paused_until": 200.0},
        {"ejected_until": 200.0},
        {"worker_id": "other"},
        {"info": worker_info(0, draining=True)},
    ],
)
def test_obstacle_is_named_for_exactly_the_workers_that_are_not_used(change):
    """Guards against a rule for workers that the reasons don't know."""
    group = SimulatedGroup(workers=1)
    group.run(1.0)
    partition = group.partition
    worker = partition.workers["w0"]
    for name, value in change.items():
        setattr(worker, name, value)
    obstacle = worker_obstacle(worker, {"w0"}, group.now)
    assert (obstacle is None) == (worker in partition._usable(group.now))
    assert (obstacle is None) == (not change)


def waiting_jobs(count):
    """Return a full group with jobs that have waited for 4 s to 3 s."""
    group = full()
    for number in range(count - 1):
        group.submit(job(f"{number:016}"))
        group.now += 1.0 / count
    group.now += 3.0
    return group


def test_lines_of_a_report_are_bounded_and_not_repeated_soon(caplog):
    """Guards against a backlog that floods the log."""
    group = waiting_jobs(30)
    logged = []
    for _ in range(7):
        caplog.clear()
        report(group, caplog)
        logged.append([line.request for line in caplog.records])
        group.now += 2.0
    assert [len(lines) for lines in logged] == [20, 10, 0, 0, 0, 20, 10]
    assert logged[0][0] == JOB
    assert len({*logged[0], *logged[1]}) == 30


def test_workers_are_searched_for_a_bounded_number_of_steps(caplog):
    """Guards against a report that takes longer the more steps wait."""
    group = waiting_jobs(70)
    figures, lines = report(group, caplog)
    assert figures[Why.NO_ROOM].tasks == 50
    assert figures[Why.NOT_EXAMINED].tasks == 20
    assert Why.NOT_EXAMINED not in lines


def test_time_of_the_present_reason_is_told_besides_the_whole_wait(caplog):
    group = full()
    report(group, caplog)
    group.run(2.0)
    group.partition.accepts_starts = False
    assert report(group, caplog)[1][Why.OWNER_ENDS].reason_s == 0.0
    group.run(10.0)
    line = report(group, caplog)[1][Why.OWNER_ENDS]
    assert line.reason_s == pytest.approx(10.0, abs=0.1)
    assert line.waited_s == pytest.approx(WAIT_S + 12.0, abs=0.2)


def test_starts_that_are_lost_again_and_again_are_one_wait(caplog):
    """Guards against a wait that seems to begin anew with each attempt."""
    group = SimulatedGroup()
    submit(group, step(estimate_s=LONG_S, speculative=True))
    group.deliver_start = lambda run, deadline: StartOutcome.IN_DOUBT
    group.run(6.0)
    figures, _ = report(group, caplog)
    [entry] = figures.values()
    assert entry.longest_s == pytest.approx(6.0, abs=0.1)


def test_report_changes_no_decision(caplog):
    """Guards against a report that counts as an attempt to start something."""
    starts = []
    for reports in (False, True):
        group = waiting_jobs(10)
        for number in itertools.count(1):
            if reports:
                report(group, caplog)
            group.run(0.5)
            if number == 20:
                break
        starts.append(sorted(group.starts()))
    assert starts[0] == starts[1]


def test_line_is_part_of_the_trace_of_its_job(tmp_path, monkeypatch):
    stream = io.StringIO()
    monkeypatch.setattr(logs.logger, "handlers", [])
    group = on_silent_worker()
    logs.configure("p1", "info", stream=stream)
    group.partition.report_delays(group.now)
    log = tmp_path / "entry.log"
    log.write_text(stream.getvalue())
    [line] = CliRunner().invoke(main, ["trace", JOB, str(log)]).output.splitlines()
    time = json.loads(stream.getvalue())["time"]
    assert line.startswith(
        f"{time} p1: task does not start (step {JOB}.0.0, tasks 1, "
        "reason run on a silent worker may go on, waited_s 3."
    )
    assert "ends_in_s" in line


def test_owner_goes_on_if_a_report_of_delays_fails(caplog):
    """Guards against a group that is given up for want of a report."""

    async def run():
        fixture = OwnerFixture()
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        owner.partition.report_delays = None
        await until(lambda: "delays not reported" in caplog.messages, 8.0)
        assert not owner.closed.is_set()
        fixture.close()

    asyncio.run(run())


def test_owner_shows_the_waits_until_it_gives_the_group_up():
    """Guards against figures of a partition at a process that no longer owns it."""

    async def run():
        fixture = OwnerFixture()
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        await fixture.store(job(OWNED_JOB, step(2, label="none")))
        labels = 'group="desk",reason="no worker fits"'
        text = owner._meters.text
        tasks = f"poplaryard_waiting_tasks{{{labels}}} 2"
        await until(lambda: tasks in text().decode(), 8.0)
        assert f"poplaryard_longest_wait_seconds{{{labels}}}" in text().decode()
        fixture.close()
        assert labels not in text().decode()

    asyncio.run(run())
