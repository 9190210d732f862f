"""Demonstration of a whole cell in one process; see `demo` for what it shows."""

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
ENTRIES = 2
SHARDS = 1
ROUNDS = 25
# Gap between the rounds of each service, which spreads the run over the events.
GAP_S = 0.12
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
    """Answers by service."""

    def __init__(self) -> None:
        self.asked: Counter[str] = Counter()
        self.whole: Counter[str] = Counter()
        self.problems: list[str] = []

    def record(self, name: str, body: dict[str, t.Any], reply: t.Any) -> None:
        """Count an answer; one that is not whole is a problem."""
        self.asked[name] += 1
        if _whole(body, reply):
            self.whole[name] += 1
        else:
            self.problems.append(f"{name} {body['id']}: {reply}")


def _whole(body: dict[str, t.Any], reply: t.Any) -> bool:
    if not isinstance(reply, dict) or reply.get("code") != Code.OK:
        return False
    parts = reply["parts"]
    echoes = [part["echo"] for part in parts]
    return echoes == [body["payload"]["echo"]] * body.get("tasks", 1)


async def _ask(
    cell: Cell, results: _Results, name: str, path: str, body: dict[str, t.Any]
) -> None:
    app = cell.apps[hash_of(body["id"]) % len(cell.apps)]
    try:
        reply = (await cell.post(app, path, body)).body
    except PoplaryardError as exc:
        reply = exc.detail
    results.record(name, body, reply)


def hash_of(text: str) -> int:
    """Return a number that spreads ids over the entries."""
    return sum(text.encode())


def _request(shape: ServiceShape, number: int) -> dict[str, t.Any]:
    body: dict[str, t.Any] = {
        "id": f"{shape.name}-{number}",
        "target": shape.name,
        "payload": {"run_ms": 20, "echo": f"{shape.name}/{number}"},
    }
    if shape.name == "booking" and number % 3 == 0:
        # A pass confirmation: at most once, and one at a time per pass.
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


async def _callers(cell: Cell, results: _Results, shape: ServiceShape) -> None:
    calls = []
    for number in range(ROUNDS):
        body = _request(shape, number)
        call = _ask(cell, results, shape.name, "/v1/requests", body)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*calls)


async def _jobs(cell: Cell, results: _Results) -> None:
    bodies = [_job(number) for number in range(4)]
    calls = (_ask(cell, results, "batch jobs", "/v1/jobs", body) for body in bodies)
    await asyncio.gather(*calls)


async def _events(cell: Cell, lines: list[str]) -> None:
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
    """Run the demonstration; return whether every answer was whole, and a summary."""
    cell = Cell(DATA_CENTRES, ENTRIES, SHAPES, SHARDS)
    lines: list[str] = []
    results = _Results()
    await cell.start()
    try:
        lines.append(_sizes(cell))
        reply = await cell.file(cell.apps[0], cell.first_ticket())
        if reply.status != 200 or not await cell.wait_ready(1):
            return False, [*lines, f"The first ticket is not in force: {reply.body}"]
        calls = [_callers(cell, results, shape) for shape in SHAPES]
        await asyncio.gather(*calls, _jobs(cell, results), _events(cell, lines))
    finally:
        await cell.stop()
    lines += _summary(cell, results)
    return _complete(results), lines


def _sizes(cell: Cell) -> str:
    return (
        f"{len(DATA_CENTRES)} data centres, {len(cell.apps)} entry applications, "
        f"{len(cell.workers())} workers, {len(SHAPES)} services."
    )


def _complete(results: _Results) -> bool:
    expected = len(SHAPES) * ROUNDS + 4
    asked, whole = sum(results.asked.values()), sum(results.whole.values())
    return asked == whole == expected


def _summary(cell: Cell, results: _Results) -> list[str]:
    lines = [
        f"{name}: {results.whole[name]} of {asked} callers got their whole answer."
        for name, asked in sorted(results.asked.items())
    ]
    records = [record for vm in cell.workers() for record in vm.records]
    by_request = Counter(
        record.request_id for record in records if record.exclusive_key
    )
    twice = sum(count > 1 for count in by_request.values())
    overcommits = sum(vm.overcommits for vm in cell.workers())
    lines.append(
        f"{len(by_request)} pass confirmations ran, {twice} of them more than once."
    )
    lines.append(f"Starts that would have overfilled a worker: {overcommits}.")
    return lines + results.problems


@click.command()
def demo() -> None:
    """Show a cell of three data centres at work, in this process alone.

    A ticket is changed and a worker fails while callers are served. Exits with 0 only
    if every caller got its whole answer.
    """
    complete, lines = asyncio.run(run_demo())
    for line in lines:
        click.echo(line)
    click.echo("Every caller got its whole answer." if complete else "FAILED.")
    sys.exit(0 if complete else EXIT_FAILED)
