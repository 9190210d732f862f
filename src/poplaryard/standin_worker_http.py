"""HTTP server of the worker stand-ins."""

import asyncio
import dataclasses
import json
import typing as t
from collections import Counter

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from . import wire
from .clock import SystemClock
from .messages import StartAttempt, StopAttempt
from .server import HttpServer
from .standin_worker import WorkerVm
from .workers import Renewal

__all__ = ["WorkerHost"]

_clock = SystemClock()

# Time for which a dropped reply is withheld; longer than any caller waits for one.
HANG_S = 30.0
EXPIRY_PERIOD_S = 0.25


class WorkerHost:
    """HTTP server of many workers, each on a port of its own.

    Parameters
    ----------
    vms : sequence of WorkerVm

    Attributes
    ----------
    calls : Counter
        POST calls received, by the last segment of their path.
    """

    def __init__(self, vms: t.Sequence[WorkerVm]):
        self.vms = {vm.name: vm for vm in vms}
        self.calls: Counter[str] = Counter()
        self.app = Starlette(routes=self._routes())
        self._server: HttpServer | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> dict[str, str]:
        """Serve each worker on a port of its own; return the addresses by name."""
        self._server = HttpServer(self.app, host, port, len(self.vms), graceful_s=0.1)
        await self._server.start()
        self._expiry = asyncio.create_task(self._expire_leases())
        ports = self._server.ports
        return {
            name: f"{host}:{number}"
            for name, number in zip(self.vms, ports, strict=True)
        }

    async def stop(self) -> None:
        """Stop serving."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self._server is not None:
            await self._server.stop()

    def _routes(self) -> list[Route]:
        handlers = {
            "/worker/v1/claim": self._claim,
            "/worker/v1/start": self._start,
            "/worker/v1/stop": self._stop,
            "/worker/v1/poll": self._poll,
            "/standin/fault": self._fault,
        }
        routes = [
            Route(path, handler, methods=["POST"]) for path, handler in handlers.items()
        ]
        return [*routes, Route("/standin/record", self._record, methods=["GET"])]

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            for vm in self.vms.values():
                if not vm.faults.paused:
                    vm.expire()

    async def _claim(self, request: Request) -> Response:
        body = await self._body(request)
        vm = await self._unpaused_vm(body["vm"])
        if vm is None:
            return _no_such_vm(body["vm"])
        reply = vm.claim(int(body["epoch"]))
        return await self._respond(vm, wire.encode(reply, _clock.now()))

    async def _start(self, request: Request) -> Response:
        body = await self._body(request)
        now = _clock.now()
        starts = [wire.decode_as(StartAttempt, item, now) for item in body["starts"]]
        vm = await self._unpaused_vm(starts[0].vm) if starts else None
        if vm is None:
            return _no_such_vm(starts[0].vm if starts else "")
        replies = [wire.encode(vm.start(start), now) for start in starts]
        return await self._respond(vm, {"replies": replies})

    async def _stop(self, request: Request) -> Response:
        body = await self._body(request)
        now = _clock.now()
        stops = [wire.decode_as(StopAttempt, item, now) for item in body["stops"]]
        vm = await self._unpaused_vm(stops[0].vm) if stops else None
        if vm is None:
            return _no_such_vm(stops[0].vm if stops else "")
        for stop in stops:
            vm.stop(stop)
        return await self._respond(vm, {})

    async def _poll(self, request: Request) -> Response:
        body = await self._body(request)
        vm = await self._unpaused_vm(body["vm"])
        if vm is None:
            return _no_such_vm(body["vm"])
        reply, number = await vm.poll(
            int(body["epoch"]),
            int(body["seen"]),
            float(body["wait_s"]),
            Renewal(int(body["valid_until_ms"]), int(body["exclusive_until_ms"])),
        )
        # A worker that was paused during the poll replies only after the pause.
        await self._unpaused_vm(vm.name)
        encoded = wire.encode(reply, _clock.now())
        return await self._respond(vm, {"reply": encoded, "number": number})

    async def _fault(self, request: Request) -> Response:
        """Change faults of one worker, or of all if no name is given."""
        body = await self._body(request)
        name = body.pop("vm", "")
        chosen = [self.vms[name]] if name else list(self.vms.values())
        for vm in chosen:
            vm.set_faults(dataclasses.replace(vm.faults, **body))
        return JSONResponse({"vms": len(chosen)})

    async def _record(self, request: Request) -> Response:
        """Return the run records, overcommits and calls of all workers."""
        records = [
            dataclasses.asdict(r) for vm in self.vms.values() for r in vm.records
        ]
        overcommits = sum(vm.overcommits for vm in self.vms.values())
        return JSONResponse(
            {"records": records, "overcommits": overcommits, "calls": self.calls}
        )

    async def _body(self, request: Request) -> t.Any:
        """Count the call and return its decoded JSON body."""
        self.calls[request.url.path.rpartition("/")[2]] += 1
        return json.loads(await request.body())

    async def _unpaused_vm(self, name: str) -> WorkerVm | None:
        """Return a worker once it is not paused, or None if there is none."""
        vm = self.vms.get(name)
        if vm is not None:
            await vm.resumed.wait()
        return vm

    async def _respond(self, vm: WorkerVm, body: t.Any) -> Response:
        """Return the response, after `HANG_S` if the reply is to be dropped."""
        if vm.faults.drop_replies > 0:
            vm.faults.drop_replies -= 1
            await asyncio.sleep(HANG_S)
        data = json.dumps(body, separators=(",", ":")).encode()
        return Response(data, media_type="application/json")


def _no_such_vm(name: str) -> Response:
    return JSONResponse({"error": f"There is no worker {name!r} here."}, 404)
