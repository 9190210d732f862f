"""Load generator that sends requests at a given rate, independent of the answers."""

import asyncio
import json
import random
import secrets
import typing as t
from collections import Counter

import click
from hdrh.histogram import HdrHistogram

from .client import HttpClient
from .clock import SystemClock
from .codes import Code
from .exceptions import PoplaryardError

__all__ = ["LoadResult", "load", "run_load"]

_clock = SystemClock()

# Largest latency that the histogram can hold; longer ones are counted as this.
LARGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_S = 30.0
# Requests due within this time are sent together, without a sleep between them.
STEP_S = 0.001


class LoadResult:
    """Latencies and codes of one run.

    Latency is measured from the time at which a request was due. So a generator or
    server that falls behind does not hide the waiting time (coordinated omission).

    Attributes
    ----------
    latency : HdrHistogram
        Latencies in microseconds.
    codes : Counter
        Number of answers by code.
    incomplete : int
        Number of answers that are not complete or belong to another request.
    """

    def __init__(self) -> None:
        self.latency = HdrHistogram(1, LARGEST_US, SIGNIFICANT_DIGITS)
        self.codes: Counter[int] = Counter()
        self.incomplete = 0

    def record(self, due: float, code: int, complete: bool) -> None:
        """Record one answer; `due` is the time at which its request was due."""
        elapsed_us = int((_clock.now() - due) * 1e6)
        self.latency.record_value(min(max(elapsed_us, 1), LARGEST_US))
        self.codes[code] += 1
        self.incomplete += not complete

    def summary(self, rate: float, duration_s: float) -> dict[str, t.Any]:
        """Return the results as a JSON object; latencies are in milliseconds."""
        percentiles = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}
        done = sum(self.codes.values())
        figures: dict[str, t.Any] = {
            "rate": rate,
            "done_per_s": round(done / duration_s, 1),
            "codes": {str(code): count for code, count in sorted(self.codes.items())},
            "incomplete": self.incomplete,
        }
        for name, percentile in percentiles.items():
            latency_ms = self.latency.get_value_at_percentile(percentile) / 1000
            figures[f"{name}_ms"] = round(latency_ms, 2)
        return figures


async def run_load(
    targets: t.Sequence[str],
    key: str,
    *,
    rate: float,
    duration_s: float,
    service: str = "booking",
    run_ms: float = 5.0,
    seed: int = 1,
    connections: int = 1024,
) -> LoadResult:
    """Send requests to the targets in turn, with exponentially distributed gaps.

    Returns when every request has been answered or has timed out.

    Parameters
    ----------
    targets : sequence of str
        Addresses of entry processes, ``host:port``.
    key : str
        Caller key.
    rate : float
        Mean number of requests per second.
    duration_s : float
        Time in seconds during which requests become due.
    service : str
        Target named in each request.
    run_ms : float
        Time in milliseconds for which an executor works on each request.
    seed : int
        Seed of the gaps between requests.
    connections : int
        Limit of connections of the HTTP client.
    """
    client = HttpClient(connections, key)
    rng = random.Random(seed)
    result = LoadResult()
    prefix = secrets.token_hex(4)
    tasks: set[asyncio.Task[None]] = set()
    start = _clock.now()
    due, number = start, 0
    while due < start + duration_s:
        now = _clock.now()
        while due <= now + STEP_S and due < start + duration_s:
            url = f"http://{targets[number % len(targets)]}/v1/requests"
            body = _body(f"{prefix}-{number}", service, run_ms, number)
            task = asyncio.create_task(_send(client, url, body, due, result))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - _clock.now()))
    if tasks:
        await asyncio.wait(tasks)
    await client.close()
    return result


def _body(
    request_id: str, service: str, run_ms: float, number: int
) -> dict[str, t.Any]:
    payload = {"run_ms": run_ms, "echo": number}
    return {"id": request_id, "target": service, "payload": payload}


async def _send(
    client: HttpClient, url: str, body: dict[str, t.Any], due: float, result: LoadResult
) -> None:
    try:
        reply = await client.post(url, body, REQUEST_TIMEOUT_S)
    except PoplaryardError as exc:
        result.record(due, int(exc.code), True)
        return
    code = int(reply.body["code"])
    result.record(due, code, code != Code.OK or _is_complete(body, reply.body))


def _is_complete(body: dict[str, t.Any], answer: dict[str, t.Any]) -> bool:
    """Return whether an answer has the request's id and echoes its number."""
    parts = answer.get("parts") or [{}]
    same_id = answer.get("id") == body["id"]
    return same_id and parts[0].get("echo") == body["payload"]["echo"]


@click.command()
@click.option("--target", "targets", multiple=True, required=True, help="Address.")
@click.option("--key", required=True, help="Caller key.")
@click.option("--rate", default=500.0, help="Requests per second.")
@click.option("--duration", "duration_s", default=10.0, help="Seconds.")
@click.option("--service", default="booking")
@click.option("--run-ms", default=5.0, help="Execution time of each request in ms.")
@click.option("--seed", default=1)
def load(targets: tuple[str, ...], key: str, **options: t.Any) -> None:
    """Send requests at a given mean rate; print the results as JSON."""
    result = asyncio.run(run_load(targets, key, **options))
    summary = result.summary(options["rate"], options["duration_s"])
    click.echo(json.dumps(summary))
