"""Metrics of a process in the Prometheus text format."""

import os
import pathlib
import typing as t

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = ["Metrics", "Sample"]

LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 30.0]
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

# Metrics whose values are collected on each request, with their types and help texts.
_COLLECTED: dict[str, tuple[type[Counter] | type[Gauge], str]] = {
    "poplaryard_open_requests": (Gauge, "Requests of callers without an answer."),
    "poplaryard_ticket_number": (Gauge, "Number of the ticket in force."),
    "poplaryard_ready": (Gauge, "1 if the process takes requests."),
    "poplaryard_shards_owned": (Gauge, "Shards that this process owns."),
    "poplaryard_shard_queued": (Gauge, "Jobs of a shard that wait to start."),
    "poplaryard_shard_attempts": (Gauge, "Attempts of a shard in progress."),
    "poplaryard_shard_workers": (Gauge, "Workers of a shard that take work."),
    "poplaryard_store_calls_total": (Counter, "Calls to the platform's store."),
    "poplaryard_peer_batches_total": (Counter, "Calls to peers."),
    "poplaryard_peer_messages_total": (Counter, "Messages sent to peers."),
    "poplaryard_audit_lost_total": (Counter, "Audit events lost before a flush."),
    "process_resident_memory_bytes": (Gauge, "Resident memory."),
    "process_cpu_seconds_total": (Counter, "Processor time used."),
}


class Sample(t.NamedTuple):
    """Value of one metric, collected on request."""

    name: str
    value: float
    labels: dict[str, str] = {}


class Metrics:
    """Metrics of one process.

    Parameters
    ----------
    collect : callable
        Returns the current samples.
    """

    def __init__(self, collect: t.Callable[[], t.Iterable[Sample]]):
        self._registry = Registry()
        self._collect = collect
        self._collected_metrics = {
            name: kind(name, doc, registry=self._registry)
            for name, (kind, doc) in _COLLECTED.items()
        }
        self._answers = Counter(
            "poplaryard_answers_total",
            "Answers to callers by result code.",
            registry=self._registry,
        )
        self._latency = Histogram(
            "poplaryard_answer_seconds",
            "Time from receipt of a request to its answer.",
            registry=self._registry,
            buckets=[*LATENCY_BUCKETS_S, float("inf")],
        )

    def answered(self, code: int, seconds: float) -> None:
        """Count an answer to a caller.

        Parameters
        ----------
        code : int
            Result code.
        seconds : float
            Time from receipt of the request to the answer.
        """
        self._answers.inc({"code": str(code)})
        self._latency.observe({}, seconds)

    def text(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the text format, and the headers of the response."""
        for metric in self._collected_metrics.values():
            metric.values.clear()
        for sample in [*self._collect(), *_process_samples()]:
            self._collected_metrics[sample.name].set(sample.labels, sample.value)
        return render(self._registry, [])

    def route(self) -> Route:
        """Return the route ``/metrics``."""

        async def metrics(request: Request) -> Response:
            content, headers = self.text()
            return Response(content, headers=headers)

        return Route("/metrics", metrics, methods=["GET"])


def _process_samples() -> list[Sample]:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    times = os.times()
    return [
        Sample("process_resident_memory_bytes", pages * _PAGE_BYTES),
        Sample("process_cpu_seconds_total", times.user + times.system),
    ]
