"""Demonstration of a cell in one process: the command ``demo``."""

import asyncio
import sys
import typing as t
from collections import Counter

import click

from .clock import SystemClock
from .codes import Code
from .demo_cell import Cell, ServiceShape, service, ticket
from .exceptions import PoplaryardError
from .resources import Resources

__all__ = ["demo"]

DATA_CENTRES = ("dc1", "dc2", "dc3")
# Entry applications in each data centre.
ENTRIES = 2
# Shards in each data centre.
SHARDS = 1
# Requests to each service.
ROUNDS = 25
# Gap between the requests to a service, so that requests are sent before, between and
# after the second ticket and the failure of a worker.
GAP_S = 0.12
# Rounds after which the second ticket is filed and a worker fails.
TICKET_ROUND = 6
FAILURE_ROUND = 12
EXIT_FAILED = 1

SHAPES = (
    ServiceShape("booking", 2, Resources(16_000, 32_768), 9, Resources(4000, 4096)),
    ServiceShape(
        "gate-imaging", 2, Resources(32_000, 65_536, 8), 6, Resources(4000, 8192, 2), 3
    ),
    ServiceShape(
        "report-handling", 2, Resources(32_000, 131_072), 6, Resources(8000, 16_384)
    ),
    ServiceShape(
        "evidence-checking",
        2,
        Resources(128_000, 262_144, 8),
        6,
        Resources(16_000, 32_768, 2),
        3,
    ),
)


class _Results:
    """Counts of requests and complete answers by service, and problems found."""

    def __init__(self) -> None:
        self.requests: Counter[str] = Counter()
        self.complete: Counter[str] = Counter()
        self.problems: list[str] = []

    def record(self, name: str, body: dict[str, t.Any], reply: t.Any) -> None:
        """Count a request; an incomplete answer is a problem."""
        self.requests[name] += 1
        if _is_complete(body, reply):
            self.complete[name] += 1
        else:
            self.problems.append(f"{name} {body['id']}: {reply}")


def _is_complete(body: dict[str, t.Any], reply: t.Any) -> bool:
    """Return whether every task answered, with the payload of this request."""
    if not isinstance(reply, dict) or reply.get("code") != Code.OK:
        return False
    parts = reply["parts"]
    echoes = [part["echo"] for part in parts]
    return echoes == [body["payload"]["echo"]] * body.get("tasks", 1)


async def _send(
    cell: Cell, results: _Results, name: str, path: str, body: dict[str, t.Any]
) -> None:
    app = cell.apps[_id_hash(body["id"]) % len(cell.apps)]
    try:
        reply = (await cell.post(app, path, body)).body
    except PoplaryardError as exc:
        reply = exc.detail
    results.record(name, body, reply)


def _id_hash(text: str) -> int:
    """Return a number by which requests are spread over the entries."""
    return sum(text.encode())


def _request(shape: ServiceShape, number: int) -> dict[str, t.Any]:
    body: dict[str, t.Any] = {
        "id": f"{shape.name}-{number}",
        "target": shape.name,
        "payload": {"run_ms": 20, "echo": f"{shape.name}/{number}"},
    }
    if shape.name == "booking" and number % 3 == 0:
        # A pass confirmation runs at most once, and one at a time for each pass.
        body["idempotent"] = False
        body["issued_at"] = SystemClock().wall()
        body["exclusive_key"] = f"pass-{number % 4}"
    return body


def _job(number: int) -> dict[str, t.Any]:
    """Return a batch job; every second one is a gang."""
    return {
        "id": f"season-pricing-{number}",
        "kind": "gang" if number % 2 else "batch",
        "tasks": 4,
        "need": {"cpu_m": 1000, "mem_mb": 1024},
        "group": "report-handling",
        "declared_s": 0.3,
        "payload": {"run_ms": 300, "echo": number},
    }


async def _call_service(cell: Cell, results: _Results, shape: ServiceShape) -> None:
    """Send the requests to one service and wait for their answers."""
    calls = []
    for number in range(ROUNDS):
        body = _request(shape, number)
        call = _send(cell, results, shape.name, "/v1/requests", body)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*calls)


async def _submit_jobs(cell: Cell, results: _Results) -> None:
    bodies = [_job(number) for number in range(4)]
    calls = (_send(cell, results, "batch jobs", "/v1/jobs", body) for body in bodies)
    await asyncio.gather(*calls)


async def _run_events(cell: Cell, lines: list[str]) -> None:
    """File the second ticket and fail a worker while requests are sent."""
    await asyncio.sleep(TICKET_ROUND * GAP_S)
    clock = SystemClock()
    filed_at = clock.now()
    booking = service(SHAPES[0], SHAPES[0].replicas + 3)
    reply = await cell.file(cell.apps[-1], ticket("second-ticket", [booking]))
    number = reply.body.get("number", 0)
    in_force = await cell.wait_ready(number) if number else False
    took_ms = (clock.now() - filed_at) * 1000
    state = "in force on every entry" if in_force else "NOT in force on every entry"
    lines.append(
        f"Ticket {number} (booking: 9 to 12 replicas): {state}, {took_ms:.0f} ms."
    )
    await asyncio.sleep((FAILURE_ROUND - TICKET_ROUND) * GAP_S)
    failed = "dc1-gate-imaging-0"
    cell.fail(failed)
    lines.append(f"Worker {failed} stopped answering while it had work.")


async def run_demo() -> tuple[bool, list[str]]:
    """Return whether all answers of a demonstration were complete, and a summary."""
    cell = Cell(DATA_CENTRES, ENTRIES, SHAPES, SHARDS)
    lines: list[str] = []
    results = _Results()
    await cell.start()
    try:
        lines.append(_describe_cell(cell))
        reply = await cell.file(cell.apps[0], cell.first_ticket())
        if reply.status != 200 or not await cell.wait_ready(1):
            return False, [*lines, f"The first ticket is not in force: {reply.body}"]
        calls = [_call_service(cell, results, shape) for shape in SHAPES]
        await asyncio.gather(
            *calls, _submit_jobs(cell, results), _run_events(cell, lines)
        )
    finally:
        await cell.stop()
    lines += _summary(cell, results)
    return _all_complete(results), lines


def _describe_cell(cell: Cell) -> str:
    return (
        f"{len(DATA_CENTRES)} data centres, {len(cell.apps)} entry applications, "
        f"{len(cell.workers())} workers, {len(SHAPES)} services."
    )


def _all_complete(results: _Results) -> bool:
    expected = len(SHAPES) * ROUNDS + 4
    total, complete = sum(results.requests.values()), sum(results.complete.values())
    return total == complete == expected


def _summary(cell: Cell, results: _Results) -> list[str]:
    lines = [
        f"{name}: {results.complete[name]} of {total} callers got their whole answer."
        for name, total in sorted(results.requests.items())
    ]
    records = [record for vm in cell.workers() for record in vm.records]
    by_request = Counter(
        record.request_id for record in records if record.exclusive_key
    )
    repeated = sum(count > 1 for count in by_request.values())
    overcommits = sum(vm.overcommits for vm in cell.workers())
    lines.append(
        f"{len(by_request)} pass confirmations ran, {repeated} of them more than once."
    )
    lines.append(f"Starts that would have overfilled a worker: {overcommits}.")
    return lines + results.problems


@click.command()
def demo() -> None:
    """Run a cell of three data centres in this process.

    A ticket changes a service and a worker fails while callers are served. Exits with 0
    only if every caller got its whole answer.
    """
    complete, lines = asyncio.run(run_demo())
    for line in lines:
        click.echo(line)
    click.echo("Every caller got its whole answer." if complete else "FAILED.")
    sys.exit(0 if complete else EXIT_FAILED)
