"""Longest times for which a task may not start; see docs/design/waits.md.

Pattern: orders are left without an answer, and workers are lost for good soon after
they have been given a task, or have restarted.
"""

import pytest

from poplaryard.workload.calls import MAX_CALL_DELAY_S
from tests.workload.builders import ADVICE, job, step, worker_info
from tests.workload.fakes import RUN_LEASE_S, SimulatedGroup
from tests.workload.test_restarted_workers import (
    JOB,
    LONG_S,
    TASK,
    accept,
    deadline_of,
    ordered,
    restarted,
    run_alone,
    start_without_answer,
    starts_once_more,
)

# Time from a task's last run until it has to run again, if nothing else is lost, in
# seconds: `finish_s` and 3 s for a job, 6 s and 3 s for a task that lasts.
JOB_S = 17.0
LASTING_S = 9.0
known_red = pytest.mark.xfail(strict=True, reason="issue 55; see KNOWN-RED.txt")
tickets = pytest.mark.parametrize("advice", [None, ADVICE])


def idle_s(group, limit_s=60.0):
    """Return the time until the next start of the task in seconds, or infinity."""
    began, starts = group.now, len(group.starts(TASK))
    while group.now < began + limit_s:
        run_alone(group, 0.05)
        if len(group.starts(TASK)) > starts:
            return group.now - began
    return float("inf")


def lose_start(group, **fields):
    """Order a start that is lost, on a worker that confirms no order to stop it."""
    run, _ = start_without_answer(group, **fields)
    sim = group.sims[run.worker.worker_id]
    sim.stop = lambda run, fence: False
    return sim


@tickets
def test_start_that_can_no_longer_arrive_is_not_waited_for(advice):
    """Guards against a task that waits for ever for a stop that nobody confirms."""
    group = SimulatedGroup()
    sim = lose_start(group, advice=advice)
    assert idle_s(group) < MAX_CALL_DELAY_S + 0.5
    [(worker_id, _, _)] = group.starts(TASK)
    assert worker_id != sim.info.worker_id


def lose_after_restart(group, before_restart=lambda worker: None, up_s=30.0):
    """Give a task that lasts to a worker that has restarted, and lose the worker.

    Another worker is free from then on.

    Parameters
    ----------
    before_restart : callable
        Called with the worker at the last moment of the instance before.
    up_s : float
        Time for which that instance is up, in seconds.
    """
    sim = group.sims["w0"]
    sim.restart(group.now)
    group.partition.worker_listed(sim.info)
    group.run(up_s)
    before_restart(group.partition.workers["w0"])
    sim.unreachable = True
    group.run(0.5)
    sim.restart(group.now)
    sim.unreachable = False
    group.partition.worker_listed(sim.info)
    group.submit(job(JOB, step(lasting=True), advice=ADVICE))
    group.run(0.5)
    assert group.starts(TASK)
    group.add_worker(worker_info(1))
    group.run(0.2)
    sim.unreachable = True


def test_worker_is_expected_to_hold_usual_leases_if_no_call_was_open_at_its_restart():
    """Guards against tasks that wait for leases that no call can have given."""
    group = SimulatedGroup(workers=1)
    lose_after_restart(group)
    assert idle_s(group) < LASTING_S


def test_open_call_gives_no_lease_beyond_its_deadline_on_the_clock_of_a_new_instance():
    """Guards against tasks that wait for leases on workers that restart often."""
    group = SimulatedGroup(workers=1)
    renew = lambda worker: worker.renewal_call(group.now, RUN_LEASE_S)  # noqa: E731
    lose_after_restart(group, renew, up_s=2.0)
    assert idle_s(group) < LASTING_S


def restart_unheard(group, sim):
    """Restart a worker whose owner has just missed a report."""
    sim.restart(group.now)
    group.partition.hold_failed(group.partition.workers["w0"], group.now)


def test_call_of_an_earlier_owner_may_give_a_long_lease_after_a_restart():
    """Guards against a second run beside one that an earlier owner's call prolongs."""
    group = SimulatedGroup(workers=1, quarantine_until=110.0)
    group.run(1.0)
    sim = group.sims["w0"]
    restart_unheard(group, sim)
    sim.grant(LONG_S, group.now)
    check_only_run_on_lost_worker(group, sim)


def test_open_call_may_give_a_long_lease_after_a_restart():
    """Guards against a second run beside one that a late renewal prolongs."""
    group = SimulatedGroup(workers=1)
    group.run(1.0)
    sim = group.sims["w0"]
    group.partition.workers["w0"].renewal_call(group.now, RUN_LEASE_S)
    restart_unheard(group, sim)
    check_only_run_on_lost_worker(group, sim, late_grant=True)


def test_call_that_arrived_late_gives_a_long_lease_after_a_restart():
    """Guards against a second run beside one that a call of 12 s ago prolongs."""
    group = SimulatedGroup(workers=1)
    group.run(1.0)
    sim = group.sims["w0"]
    group.partition.workers["w0"].renewal_call(group.now, RUN_LEASE_S)
    restart_unheard(group, sim)
    sim.unreachable = True
    group.run(12.0)
    sim.grant(LONG_S, group.now)
    group.run(0.6)
    sim.unreachable = False
    check_only_run_on_lost_worker(group, sim)


def test_answered_start_may_give_a_long_lease_after_a_restart():
    """Guards against a second run beside one that the answer to a start prolongs."""
    group = SimulatedGroup(workers=1)
    run = ordered(group)
    deadline = deadline_of(group, run)
    sim = group.sims["w0"]
    restart_unheard(group, sim)
    accept(group, run, deadline)
    check_only_run_on_lost_worker(group, sim)


def check_only_run_on_lost_worker(group, sim, late_grant=False):
    """Check that a long task on a worker that is lost starts only once more.

    Parameters
    ----------
    late_grant : bool
        Whether the worker gets the longest lease just before it is lost.
    """
    group.run(0.5)
    group.partition.worker_listed(sim.info)
    group.submit(job(JOB, step(estimate_s=LONG_S)))
    group.run(0.2)
    assert group.starts(TASK)
    group.add_worker(worker_info(1))
    group.run(0.2)
    if late_grant:
        sim.grant(LONG_S, group.now)
    sim.unreachable = True
    run_alone(group, 30.0)
    assert starts_once_more(group, "w0")


@pytest.mark.parametrize("is_listed_again", [False, True])
def test_start_with_a_ticket_is_waited_for_as_long_as_leases_last(is_listed_again):
    """Guards against a wait for instances that refuse the ticket of a lost start."""
    group = SimulatedGroup()
    sim = lose_start(group, advice=ADVICE, lasting=True)
    group.run(0.5)
    sim.unreachable = True
    if is_listed_again:
        sim.restart(group.now)
        group.partition.worker_listed(sim.info)
    assert idle_s(group) < LASTING_S


def test_start_with_a_ticket_may_be_held_by_an_instance_that_has_not_reported():
    """Guards against a second run where a ticket is of an instance not known yet."""
    group = SimulatedGroup()
    run = ordered(group, advice=ADVICE)
    deadline = deadline_of(group, run)
    sim = restarted(group, run)
    accept(group, run, deadline)
    sim.unreachable = True
    run_alone(group, 30.0)
    assert starts_once_more(group, sim.info.worker_id)


@known_red
@pytest.mark.parametrize(
    ("advice", "lasting", "allowed_s"),
    [(ADVICE, True, LASTING_S), (None, True, LASTING_S), (None, False, JOB_S)],
)
def test_start_on_a_worker_that_is_lost_with_it_is_repeated_in_time(
    advice, lasting, allowed_s
):
    """Guards against a task that waits for a start that can arrive nowhere."""
    group = SimulatedGroup()
    run, _ = start_without_answer(group, advice=advice, lasting=lasting)
    group.sims[run.worker.worker_id].unreachable = True
    assert idle_s(group) < allowed_s


@known_red
def test_start_on_a_worker_that_is_lost_after_a_restart_is_repeated_in_time():
    """Guards against a job that waits for an instance that is lost at once."""
    group = SimulatedGroup()
    run, _ = start_without_answer(group, advice=ADVICE)
    sim = group.sims[run.worker.worker_id]
    sim.unreachable = True
    sim.restart(group.now)
    group.partition.worker_listed(sim.info)
    assert idle_s(group) < JOB_S


@known_red
def test_leases_that_an_open_call_may_have_given_end_in_time():
    """Guards against a job that waits for leases of a call from before a restart."""
    group = SimulatedGroup(workers=1)
    lose_after_restart(group, lambda worker: worker.renewal_call(group.now, 6.0))
    assert idle_s(group) < JOB_S


def eject(group, *worker_ids):
    """Eject workers for the longest time, for failures of other jobs."""
    for number in range(12):
        for worker_id in worker_ids:
            worker = group.partition.workers[worker_id]
            group.partition._count_worker_failure(worker, f"{number:016x}", group.now)


@tickets
def test_task_with_no_other_workers_starts_on_an_ejected_one(advice):
    """Guards against a task that waits beside empty workers that are ejected."""
    group = SimulatedGroup()
    eject(group, "w0", "w1")
    group.run(0.1)
    group.submit(job(JOB, step(lasting=True), advice=advice))
    assert idle_s(group) < LASTING_S


@tickets
def test_task_starts_on_an_ejected_worker_if_others_have_reached_their_limit(advice):
    """Guards against a task that waits since all other permitted workers run one."""
    group = SimulatedGroup(workers=4)
    group.permitted = {"w0", "w1", "w2"} if advice else None
    eject(group, "w2")
    if not advice:
        eject(group, "w3")
    tasks = step(3, lasting=True, max_per_worker=1, estimate_s=LONG_S)
    group.submit(job(JOB, tasks, advice=advice))
    group.run(LASTING_S)
    assert len(group.starts()) == 3


def test_ejection_does_not_end_while_another_worker_has_room():
    """Guards against starts on a worker that fails, beside free ones that don't."""
    group = SimulatedGroup()
    eject(group, "w0")
    group.submit(job(JOB, step(2, lasting=True, estimate_s=LONG_S)))
    group.run(LASTING_S)
    assert {worker_id for worker_id, _, _ in group.starts()} == {"w1"}


def test_ejection_does_not_end_for_tasks_whose_failures_count():
    """Guards against a job that loses its attempts on workers that fail."""
    group = SimulatedGroup()
    eject(group, "w0", "w1")
    group.run(0.1)
    group.submit(job(JOB, step()))
    assert LASTING_S < idle_s(group) < JOB_S


@known_red
def test_worker_that_may_forget_ends_starts_a_task_that_has_no_other_worker():
    """Guards against a wait of all tasks for an acknowledgement on its way."""
    group = SimulatedGroup(workers=1)
    group.submit(job("b" * 16, step(estimate_s=0.1)))
    group.run(1.0)
    worker, sim = group.partition.workers["w0"], group.sims["w0"]
    worker.forgotten_seq = 0
    worker.renewal_call(group.now, None)
    restart_unheard(group, sim)
    group.partition.worker_listed(sim.info)
    group.submit(job(JOB, step(lasting=True)))
    assert idle_s(group) < LASTING_S


def test_restarted_worker_is_not_ejected_for_runs_of_the_instance_before():
    """Guards against evidence of an earlier instance that keeps tasks from the next."""
    group = SimulatedGroup(workers=1)
    group.run(0.2)
    [worker] = group.partition.workers.values()
    worker.ejections = 5
    for name in ("a", "b"):
        group.partition._count_worker_failure(worker, name * 16, group.now)
    [sim] = group.sims.values()
    sim.restart(group.now)
    group.partition.worker_listed(sim.info)
    group.submit(job("c" * 16, step()))
    group.run(1.0)
    assert len(group.starts()) == 1
    assert not worker.ejections
