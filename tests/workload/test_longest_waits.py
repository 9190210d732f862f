"""Longest times for which a task may not start; see docs/design/waits.md.

Pattern: orders are left without an answer, and workers are lost for good soon after
they have been given a task, or have restarted.
"""

import pytest

from poplaryard.workload.calls import MAX_CALL_DELAY_S
from tests.workload.builders import ADVICE
from tests.workload.fakes import SimulatedGroup
from tests.workload.test_restarted_workers import (
    TASK,
    run_alone,
    start_without_answer,
)

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
