"""HTTP routes for operators: tickets, objects, status and audit trail."""

import asyncio
import dataclasses
import functools
import hashlib
import hmac
import json
import re
import typing as t

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from . import tickets
from .acceptance import FileResult
from .api import error_response, read_body
from .audit import AuditFilter
from .codes import Code
from .configuration import Configuration
from .exceptions import CallError, PoplaryardError, StoreDown, StoreReplyLost
from .head import Head
from .messages import AuditEvent
from .status import Alarm, Health
from .ticket_check import check
from .tickets import Ticket

__all__ = ["OperatorContext", "require_operator_key", "operator_routes"]

# In bytes. A ticket holds whole objects of up to 900 KB, which is more than the body
# limit of callers' requests.
BODY_LIMIT = 1_000_000
WAIT_LIMIT_S = 60.0
_WAIT_POLL_S = 0.05
# The head record lists at most this many tickets.
_LIST_LIMIT = 256
_AUDIT_LIMIT = 10_000


class OperatorContext(t.Protocol):
    """Interface of the application to the operator routes.

    Attributes
    ----------
    operator_keys : mapping
        Name of each operator to the operator's key.
    """

    operator_keys: t.Mapping[str, str]

    def config(self) -> Configuration | None:
        """Return the configuration in force here; None if there is none yet."""

    async def file(self, ticket: Ticket, operator: str) -> FileResult:
        """File a ticket for the holder of an operator key."""

    def missing(self, number: int) -> list[str]:
        """Return the processes and data centres where a ticket is not in force yet."""

    async def head(self) -> Head:
        """Return the head record as the store holds it."""

    async def ticket(self, number: int) -> dict[str, t.Any] | None:
        """Return an accepted ticket, or None if it is not known."""

    async def status(self) -> tuple[Health, list[Alarm], str]:
        """Return the health, the alarms and the status as text."""

    async def audit(self, criteria: AuditFilter) -> list[AuditEvent]:
        """Return matching audit events, oldest first."""


Handler: t.TypeAlias = t.Callable[[Request], t.Awaitable[Response]]
_Method: t.TypeAlias = t.Callable[["_Operators", Request], t.Awaitable[Response]]


def require_operator_key(method: _Method) -> _Method:
    """Wrap a route handler so that it needs an operator key.

    The wrapper also turns the package's exceptions into error responses.
    """

    @functools.wraps(method)
    async def guarded(self: "_Operators", request: Request) -> Response:
        operator = _authenticate(request, self.context.operator_keys)
        if operator is None:
            return error_response(Code.UNAUTHENTICATED)
        request.state.operator = operator
        try:
            return await method(self, request)
        except (StoreDown, StoreReplyLost):
            detail = "The store does not answer, so this cannot be read now."
            return error_response(Code.TICKET_NOT_ACCEPTED, detail)
        except PoplaryardError as exc:
            return error_response(exc.code, exc.detail)

    return guarded


def _authenticate(request: Request, keys: t.Mapping[str, str]) -> str | None:
    """Return the operator whose key a request carries; None if no key matches.

    Every key is compared, by digests of equal length, so that the response time
    reveals neither which key matches nor its length.
    """
    scheme, _, given = request.headers.get("authorization", "").partition(" ")
    operator = None
    for name, key in keys.items():
        if hmac.compare_digest(_sha256(given), _sha256(key)):
            operator = name
    return operator if scheme.lower() == "bearer" else None


def _sha256(text: str) -> bytes:
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).digest()


def operator_routes(context: OperatorContext) -> list[Route]:
    """Return the routes for operators."""
    routes = _Operators(context)
    ticket_path = "/v1/tickets/{number:int}"
    return [
        Route("/v1/tickets", routes.file, methods=["POST"]),
        Route("/v1/tickets/check", routes.check, methods=["POST"]),
        Route("/v1/tickets", routes.list, methods=["GET"]),
        Route(ticket_path, routes.show, methods=["GET"]),
        Route(f"{ticket_path}/wait", routes.wait, methods=["GET"]),
        Route("/v1/objects/{kind}/{name}", routes.object, methods=["GET"]),
        Route("/v1/status", routes.status, methods=["GET"]),
        Route("/v1/audit", routes.audit, methods=["GET"]),
    ]


class _Operators:
    """Handlers of the operator routes."""

    def __init__(self, context: OperatorContext):
        self.context = context
        self._pending_filings: set[asyncio.Future[FileResult]] = set()

    @require_operator_key
    async def file(self, request: Request) -> Response:
        ticket = tickets.parse(await read_body(request, BODY_LIMIT))
        filing = asyncio.ensure_future(
            self.context.file(ticket, request.state.operator)
        )
        self._pending_filings.add(filing)
        filing.add_done_callback(self._pending_filings.discard)
        # A client that disconnects must not cancel a filing in progress.
        result = await asyncio.shield(filing)
        if not result.ok:
            return error_response(result.code, result.detail)
        body = {"number": result.number, "message": result.detail}
        return _json_response({"code": int(result.code), "outcome": "ran", **body})

    @require_operator_key
    async def check(self, request: Request) -> Response:
        ticket = tickets.parse(await read_body(request, BODY_LIMIT))
        result = check(self._config(), ticket)
        return _json_response(dataclasses.asdict(result))

    @require_operator_key
    async def list(self, request: Request) -> Response:
        limit = int(_number_param(request, "limit", 20, _LIST_LIMIT))
        head = await self.context.head()
        shown = [item.to_json() for item in head.tickets[-limit:]] if limit else []
        return _json_response({"number": head.number, "tickets": shown})

    @require_operator_key
    async def show(self, request: Request) -> Response:
        number = request.path_params["number"]
        found = await self.context.ticket(number)
        if found is None:
            detail = f"No accepted ticket with number {number} is kept."
            return error_response(Code.NOT_FOUND, detail)
        return _json_response({**found, "missing": self.context.missing(number)})

    @require_operator_key
    async def wait(self, request: Request) -> Response:
        number = request.path_params["number"]
        left = _number_param(request, "timeout_s", 10.0, WAIT_LIMIT_S)
        while (missing := self.context.missing(number)) and left > 0:
            await asyncio.sleep(_WAIT_POLL_S)
            left -= _WAIT_POLL_S
        return _json_response(
            {"number": number, "in_force": not missing, "missing": missing}
        )

    @require_operator_key
    async def object(self, request: Request) -> Response:
        config = self._config()
        key = f"{request.path_params['kind']}/{request.path_params['name']}"
        spec = dict(tickets.iter_objects(config)).get(key)
        if spec is None:
            return error_response(Code.NOT_FOUND, f"There is no {key} in force.")
        return _json_response(
            {"number": config.number, "object": tickets.encode_object(spec)}
        )

    @require_operator_key
    async def status(self, request: Request) -> Response:
        health, alarms, text = await self.context.status()
        body = {
            "health": dataclasses.asdict(health),
            "alarms": [dataclasses.asdict(alarm) for alarm in alarms],
            "text": text,
        }
        return _json_response(body)

    @require_operator_key
    async def audit(self, request: Request) -> Response:
        query = request.query_params
        criteria = AuditFilter(
            since=_number_param(request, "since", 0.0, 1e12),
            ticket=int(_number_param(request, "ticket", 0, 10**12)),
            vm=query.get("vm", ""),
            job=query.get("job", ""),
            limit=int(_number_param(request, "limit", 1000, _AUDIT_LIMIT)),
        )
        events = await self.context.audit(criteria)
        return _json_response(
            {"events": [dataclasses.asdict(event) for event in events]}
        )

    def _config(self) -> Configuration:
        config = self.context.config()
        if config is None:
            raise CallError(Code.NOT_READY)
        return config


def _number_param(request: Request, name: str, default: float, limit: float) -> float:
    text = request.query_params.get(name)
    if text is None:
        return default
    if not re.fullmatch(r"[0-9]{1,15}(\.[0-9]{1,9})?", text):
        raise CallError(Code.INVALID, f'"{name}" must be a number of at least 0.')
    return min(float(text), limit)


def _json_response(body: t.Any) -> Response:
    data = json.dumps(body, separators=(",", ":"), allow_nan=False).encode()
    return Response(data, media_type="application/json")
