import contextlib
import io
import pathlib

import pytest

from . import fault_matrix as matrix
from . import fault_matrix_tickets as tickets

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "fault-matrix.md"


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("step", list(matrix.STEPS))
def test_request_survives_each_fault(step, idempotent):
    """Guards against a broken promise, or a request that never ends, after a fault."""
    for cell_step, fault in matrix.cells():
        if cell_step == step:
            outcome, after = matrix.run_cell(step, fault, idempotent)
            allowed = matrix.expected(step, fault, idempotent)
            assert outcome in allowed, (step, fault, outcome)
            assert after == matrix.RAN, (step, fault, after)


@pytest.mark.parametrize("rival", [False, True])
def test_filing_survives_each_fault(rival):
    """Guards against a lost, doubled or wrongly reported ticket."""
    for step, fault in tickets.filing_cells():
        tickets.check_filing(step, fault, rival)


@pytest.mark.parametrize("step", list(tickets.ROLLOUT_STEPS))
def test_rollout_survives_each_fault(step):
    """Guards against a process that keeps an older ticket or goes back to one."""
    for cell_step, fault in tickets.rollout_cells():
        if cell_step == step:
            tickets.check_rollout(step, fault)


def test_page_is_up_to_date():
    """Guards against a page whose outcomes differ from those that the tests check."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        matrix.main()
    assert PAGE.read_text() == output.getvalue()
