"""HTTP routes for health, readiness and metrics."""

import typing as t

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .dispatch import Dispatcher
from .metrics import Metrics, Sample

__all__ = ["Monitor", "MonitorSource"]


class MonitorSource(t.Protocol):
    """State of a process that is exposed for monitoring."""

    process: str
    state: str
    dispatcher: Dispatcher

    def ready(self) -> bool:
        """Return whether the load balancer may send requests."""

    def counts(self) -> dict[str, float]:
        """Return counters and gauges by metric name."""

    def ticket(self) -> int:
        """Return the number of the ticket in force."""


class Monitor:
    """Serves ``/healthz``, ``/readyz`` and ``/metrics``."""

    def __init__(self, source: MonitorSource):
        self._source = source
        self.metrics = Metrics(self._collect)

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/healthz", self._healthz, methods=["GET"]),
            Route("/readyz", self._readyz, methods=["GET"]),
            self.metrics.route(),
        ]

    async def _healthz(self, request: Request) -> Response:
        source = self._source
        return JSONResponse({"state": source.state, "process": source.process})

    async def _readyz(self, request: Request) -> Response:
        ready = self._source.ready()
        body = {
            "ready": ready,
            "state": self._source.state,
            "ticket": self._source.ticket(),
            "shards": sorted(self._source.dispatcher.shards),
        }
        return JSONResponse(body, 200 if ready else 503)

    def _collect(self) -> list[Sample]:
        source = self._source
        samples = [
            Sample("poplaryard_ready", float(source.ready())),
            Sample("poplaryard_ticket_number", source.ticket()),
            Sample("poplaryard_shards_owned", len(source.dispatcher.shards)),
            Sample(
                "poplaryard_open_requests", source.dispatcher.requests.open_requests
            ),
        ]
        samples += [Sample(name, value) for name, value in source.counts().items()]
        for shard, task in source.dispatcher.shards.items():
            snapshot = task.scheduler.snapshot()
            labels = {"shard": shard}
            samples += [
                Sample("poplaryard_shard_queued", snapshot.queued, labels),
                Sample("poplaryard_shard_attempts", snapshot.running, labels),
                Sample("poplaryard_shard_workers", snapshot.usable, labels),
            ]
        return samples
