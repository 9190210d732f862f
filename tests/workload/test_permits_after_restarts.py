"""Permits of the advice service for workers that restart under their ids.

A ticket is valid only during the life of the worker for which it was issued. A start
with a ticket of an earlier one is rejected, has a price, and stops its gang.
"""

from poplaryard.workload.partition import StartOrder
from tests.workload.builders import ADVICE, job, step
from tests.workload.fakes import SimulatedGroup, wanted_advice

JOB = "a" * 16
# Time for which tickets are valid, and time after which a run is not suspected to have
# crashed its worker, in seconds.
VALID_S = 60.0
SETTLED_S = 11.0


def group_with_waiting_task():
    """Return a group whose only worker has room for one of two tasks."""
    group = SimulatedGroup(workers=1)
    group.run(0.5)
    group.submit(job(JOB, step(2, cpu=4000, estimate_s=30.0), advice=ADVICE))
    return group


def answer(group, request):
    """Answer a call for advice with tickets of the workers' present lives."""
    tickets = {
        name: f"{name}@{group.sims[name].info.born_ms}" for name in request.workers
    }
    group.partition.advice_answered(request, tickets, group.now + VALID_S, group.now)


def restart(group):
    """Restart the worker; the owner learns of it from its entry and its report."""
    [sim] = group.sims.values()
    worker = group.partition.workers[sim.info.worker_id]
    group.renew_leases(worker, sim)
    sim.restart(group.now)
    group.partition.worker_listed(sim.info)
    for _ in range(2):
        group.now += 0.05
        group.renew_leases(worker, sim)
    group.partition.progress_written(group.partition.take_progress())


def tickets_of_starts(group):
    group.partition.orders = []
    group.partition.advance(group.now)
    return {o.ticket for o in group.partition.orders if isinstance(o, StartOrder)}


def test_permit_of_an_earlier_instance_of_a_worker_is_not_used():
    """Guards against starts that a restarted worker rejects for their ticket."""
    group = group_with_waiting_task()
    answer(group, wanted_advice(group.partition, group.now))
    assert tickets_of_starts(group) == {"w0@1000"}
    group.carry_out_orders()
    group.now += SETTLED_S
    restart(group)
    assert tickets_of_starts(group) == set()
    answer(group, wanted_advice(group.partition, group.now))
    assert tickets_of_starts(group) == {f"w0@{group.sims['w0'].info.born_ms}"}


def test_advice_that_was_asked_for_before_a_restart_gives_no_permit():
    """Guards against tickets that were issued while the worker restarted."""
    group = group_with_waiting_task()
    request = wanted_advice(group.partition, group.now)
    late = {"w0": "w0@1000"}
    restart(group)
    group.partition.advice_answered(request, late, group.now + VALID_S, group.now)
    assert tickets_of_starts(group) == set()
    answer(group, wanted_advice(group.partition, group.now))
    assert tickets_of_starts(group) == {f"w0@{group.sims['w0'].info.born_ms}"}


def test_restarted_worker_that_was_not_permitted_is_asked_about_again():
    """Guards against a task that never starts on a sound worker of another kind.

    A worker that restarts under its id may get another answer from the service.
    """
    group = group_with_waiting_task()
    request = wanted_advice(group.partition, group.now)
    group.partition.advice_answered(request, {}, group.now + VALID_S, group.now)
    assert wanted_advice(group.partition, group.now) is None
    restart(group)
    answer(group, wanted_advice(group.partition, group.now))
    assert tickets_of_starts(group) == {f"w0@{group.sims['w0'].info.born_ms}"}


def test_advice_on_an_earlier_instance_tells_nothing_of_the_present_one():
    """Guards against the same if the worker restarts during the call."""
    group = group_with_waiting_task()
    request = wanted_advice(group.partition, group.now)
    restart(group)
    group.partition.advance(group.now)
    group.partition.advice_answered(request, {}, group.now + VALID_S, group.now)
    answer(group, wanted_advice(group.partition, group.now))
    assert tickets_of_starts(group) == {f"w0@{group.sims['w0'].info.born_ms}"}
