"""HTTP routes of the platform stand-in."""

import asyncio
import dataclasses
import json
import time
import typing as t

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .exceptions import StoreConflict
from .server import HttpServer
from .standin_platform import (
    VALUE_LIMIT,
    MemoryStore,
    PlatformFaults,
    VmRecord,
)
from .store import Entry

__all__ = ["PlatformHost"]

# Delay of a reply that counts as lost; no caller waits this long.
HANG_S = 30.0
EXPIRY_PERIOD_S = 0.1
WATCH_WAIT_LIMIT_S = 30.0
_WRITES = frozenset({"put_if", "delete_if", "grant", "keep_alive", "revoke"})


class PlatformHost:
    """HTTP server of the platform stand-in: store, VM list and fault injection."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.faults = PlatformFaults()
        self.vms: dict[str, VmRecord] = {}
        self._rate_windows: dict[str, tuple[int, int]] = {}
        self._server: HttpServer | None = None
        self._expiry_task: asyncio.Task[None] | None = None
        self.app = Starlette(
            routes=[
                Route("/store/v1/{name}", self._call, methods=["POST"]),
                Route("/standin/fault", self._set_faults, methods=["POST"]),
                Route("/standin/vm", self._set_vm, methods=["POST"]),
                Route("/standin/counts", self._counts, methods=["GET"]),
            ]
        )

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start serving and return the address."""
        self._server = HttpServer(self.app, host, port, graceful_s=0.1)
        await self._server.start()
        self._expiry_task = asyncio.create_task(self._expire_leases())
        return f"{host}:{self._server.ports[0]}"

    async def stop(self) -> None:
        """Stop serving."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._server is not None:
            await self._server.stop()

    def list_vms(self) -> list[dict[str, t.Any]]:
        """Return the VM list as it was `list_lag_s` ago."""
        limit = time.monotonic() - self.faults.list_lag_s
        for vm in self.vms.values():
            if vm.since <= limit:
                vm.listed = _encode_vm(vm)
        return [vm.listed for vm in self.vms.values() if vm.listed]

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.store.expire()

    async def _call(self, request: Request) -> Response:
        name = request.path_params["name"]
        if self.faults.outage:
            return _error(503, "The store is down.")
        if not self._within_rate(name):
            return _error(429, "The call rate is above the limit.")
        body = json.loads(await request.body())
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        handler = getattr(self, f"_do_{name}", None)
        if handler is None:
            return _error(404, f"There is no call {name!r}.")
        self.store.calls[name] += 1
        return await self._reply(name, handler, body)

    async def _reply(
        self, name: str, handler: t.Callable[[t.Any], t.Any], body: t.Any
    ) -> Response:
        try:
            found = await handler(body)
        except StoreConflict as exc:
            return _error(409, exc.detail)
        except (KeyError, TypeError, ValueError) as exc:
            return _error(400, f"The call is malformed: {exc!r}")
        if name in _WRITES and self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await asyncio.sleep(HANG_S)
        return JSONResponse(found)

    def _within_rate(self, name: str) -> bool:
        write = name in _WRITES
        kind = "write" if write else "read"
        limit = self.faults.writes_per_s if write else self.faults.reads_per_s
        second = int(time.monotonic())
        started, count = self._rate_windows.get(kind, (second, 0))
        count = count + 1 if started == second else 1
        self._rate_windows[kind] = (second, count)
        return count <= limit

    async def _do_get(self, body: t.Any) -> t.Any:
        entry = self.store.get(body["key"])
        return {"entry": _encode_entry(entry) if entry else None}

    async def _do_scan(self, body: t.Any) -> t.Any:
        return {
            "entries": [
                _encode_entry(entry) for entry in self.store.scan(body["prefix"])
            ]
        }

    async def _do_put_if(self, body: t.Any) -> t.Any:
        if len(json.dumps(body["value"])) > VALUE_LIMIT:
            raise ValueError("The value is larger than 1 MB.")
        entry = self.store.put_if(
            body["key"], body["value"], body["version"], body.get("lease", "")
        )
        return {"entry": _encode_entry(entry)}

    async def _do_delete_if(self, body: t.Any) -> t.Any:
        self.store.delete_if(body["key"], body["version"])
        return {}

    async def _do_grant(self, body: t.Any) -> t.Any:
        return {"lease": self.store.grant(float(body["ttl_s"]))}

    async def _do_keep_alive(self, body: t.Any) -> t.Any:
        return {"alive": self.store.keep_alive(body["lease"])}

    async def _do_revoke(self, body: t.Any) -> t.Any:
        self.store.revoke(body["lease"])
        return {}

    async def _do_watch(self, body: t.Any) -> t.Any:
        wait_s = min(float(body["wait_s"]), WATCH_WAIT_LIMIT_S)
        found = await self.store.watch(body["prefix"], int(body["after"]), wait_s)
        return {"entries": [_encode_entry(entry) for entry in found]}

    async def _do_vms(self, body: t.Any) -> t.Any:
        wanted = body.get("data_centre")
        listed = self.list_vms()
        return {"vms": [vm for vm in listed if wanted in (None, vm["data_centre"])]}

    async def _set_faults(self, request: Request) -> Response:
        body = json.loads(await request.body())
        self.faults = dataclasses.replace(self.faults, **body)
        return JSONResponse(dataclasses.asdict(self.faults))

    async def _set_vm(self, request: Request) -> Response:
        """Add or change a VM of the list; ``{"name": …, "gone": true}`` removes it."""
        body = json.loads(await request.body())
        if body.pop("gone", False):
            self.vms.pop(body["name"], None)
        else:
            self.vms[body["name"]] = VmRecord(**body, since=time.monotonic())
        return JSONResponse({"vms": len(self.vms)})

    async def _counts(self, request: Request) -> Response:
        return JSONResponse(dict(self.store.calls))


def _encode_vm(vm: VmRecord) -> dict[str, t.Any]:
    return {
        "name": vm.name,
        "data_centre": vm.data_centre,
        "address": vm.address,
        "leaving": vm.leaving,
    }


def _encode_entry(entry: Entry) -> dict[str, t.Any]:
    return {
        "key": entry.key,
        "value": entry.value,
        "version": entry.version,
        "lease": entry.lease,
    }


def _error(status: int, detail: str) -> Response:
    return JSONResponse({"error": detail}, status)
