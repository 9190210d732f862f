"""HTTP routes for callers: authentication, validation and responses."""

import asyncio
import dataclasses
import hashlib
import hmac
import json
import math
import typing as t

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .clock import SystemClock
from .codes import Code
from .exceptions import CallError, PoplaryardError
from .logs import bind_request_id
from .messages import Answer, Priority, Work, WorkKind
from .resources import Resources

__all__ = ["ApiContext", "api_routes", "bearer_allowed", "error_response", "read_json"]

_clock = SystemClock()

TASKS_LIMIT = 4096
WAIT_LIMIT_S = 60.0
_PRIORITIES = {
    "low": Priority.LOW,
    "normal": Priority.NORMAL,
    "urgent": Priority.URGENT,
}

Id: t.TypeAlias = t.Annotated[
    str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
]
Label: t.TypeAlias = t.Annotated[str, Field(max_length=128)]
Seconds: t.TypeAlias = t.Annotated[float, Field(gt=0, le=86_400, allow_inf_nan=False)]
Amount: t.TypeAlias = t.Annotated[int, Field(ge=0, le=100_000_000)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _Need(_Model):
    """Resources that one task needs."""

    cpu_m: Amount = 0
    mem_mb: Amount = 0
    gpus: Amount = 0


class _Common(_Model):
    id: Id
    team: Label = "default"
    job_class: Label = ""
    timeout_s: Seconds | None = None
    idempotent: bool | None = None
    exclusive_key: Label = ""
    issued_at: float = Field(default=0.0, ge=0, allow_inf_nan=False)
    priority: t.Literal["low", "normal", "urgent"] = "normal"
    wait: bool = True
    payload: t.Any = None


class _RequestBody(_Common):
    """Body of ``POST /v1/requests``."""

    target: t.Annotated[str, Field(min_length=1, max_length=128)]


class _JobBody(_Common):
    """Body of ``POST /v1/jobs``."""

    kind: t.Literal["batch", "gang"] = "batch"
    group: Label = ""
    tasks: int = Field(default=1, ge=1, le=TASKS_LIMIT)
    need: _Need
    declared_s: Seconds = 1.0
    checkpointable: bool = False


class ApiContext(t.Protocol):
    """Interface of the application to the caller routes.

    Attributes
    ----------
    body_limit : int
        Largest request body in bytes.
    depth_limit : int
        Deepest nesting of a request body.
    """

    body_limit: int
    depth_limit: int

    def caller_allowed(self, request: Request) -> bool:
        """Return whether a request carries a caller's key."""

    def refusal(self) -> Code | None:
        """Return the code with which all requests are refused now, or None."""

    def defaults(self, work: Work, timeout_s: float | None) -> tuple[Work, float]:
        """Return work with the defaults of its class, and its timeout in seconds."""

    def submit(self, work: Work, digest: str) -> "asyncio.Future[Answer] | Answer":
        """Submit a request; return its answer or a future of it.

        `digest` is a hash of the body, by which a repeated request is recognized.
        """

    def record_answer(self, answer: Answer, seconds: float) -> None:
        """Record an answer that took `seconds`."""

    async def find(self, request_id: str) -> "asyncio.Future[Answer] | Answer | None":
        """Return a request's answer or a future of it; None if it is not known."""

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request; return False if it is not known."""

    async def explain(self, request_id: str) -> str:
        """Return one sentence that describes the state of a request."""


def api_routes(context: ApiContext) -> list[Route]:
    """Return the routes for callers."""
    api = _CallerRoutes(context)
    return [
        Route("/v1/requests", api.authenticated(api.post_request), methods=["POST"]),
        Route("/v1/jobs", api.authenticated(api.post_job), methods=["POST"]),
        Route("/v1/requests/{id}", api.authenticated(api.get), methods=["GET"]),
        Route("/v1/requests/{id}", api.authenticated(api.delete), methods=["DELETE"]),
        Route("/v1/requests/{id}/wait", api.authenticated(api.wait), methods=["GET"]),
        Route("/v1/explain/{id}", api.authenticated(api.explain), methods=["GET"]),
    ]


Handler: t.TypeAlias = t.Callable[[Request], t.Awaitable[Response]]


class _CallerRoutes:
    """Handlers of the caller routes."""

    def __init__(self, context: ApiContext):
        self._context = context

    def authenticated(self, handler: Handler) -> Handler:
        """Wrap a handler in the key check and turn its errors into responses."""

        async def call(request: Request) -> Response:
            if not self._context.caller_allowed(request):
                return error_response(Code.UNAUTHENTICATED)
            try:
                return await handler(request)
            except PoplaryardError as exc:
                return error_response(exc.code, exc.detail)

        return call

    async def post_request(self, request: Request) -> Response:
        data = await self._body(request)
        body = _validated(_RequestBody, self._parsed(data))
        work = dataclasses.replace(self._to_work(body), target=body.target)
        return await self._submit(work, body.wait, data)

    async def post_job(self, request: Request) -> Response:
        data = await self._body(request)
        body = _validated(_JobBody, self._parsed(data))
        need = Resources(body.need.cpu_m, body.need.mem_mb, body.need.gpus)
        work = dataclasses.replace(
            self._to_work(body),
            kind=WorkKind(body.kind),
            group=body.group,
            tasks=body.tasks,
            need=need,
            declared_s=body.declared_s,
            checkpointable=body.checkpointable,
        )
        return await self._submit(work, body.wait, data)

    async def get(self, request: Request) -> Response:
        found = await self._lookup(request)
        if isinstance(found, Answer):
            return answer_response(found)
        return _state_response(request.path_params["id"], Code.ACCEPTED)

    async def wait(self, request: Request) -> Response:
        found = await self._lookup(request)
        if isinstance(found, Answer):
            return answer_response(found)
        done, _ = await asyncio.wait([found], timeout=WAIT_LIMIT_S)
        if done:
            return answer_response(found.result())
        return _state_response(request.path_params["id"], Code.ACCEPTED)

    async def delete(self, request: Request) -> Response:
        request_id = request.path_params["id"]
        if not await self._context.cancel(request_id):
            return error_response(Code.NOT_FOUND)
        return _state_response(request_id, Code.ACCEPTED)

    async def explain(self, request: Request) -> Response:
        request_id = request.path_params["id"]
        sentence = await self._context.explain(request_id)
        return _json_response({"id": request_id, "explanation": sentence})

    async def _lookup(self, request: Request) -> "asyncio.Future[Answer] | Answer":
        found = await self._context.find(request.path_params["id"])
        if found is None:
            raise CallError(Code.NOT_FOUND)
        return found

    async def _submit(self, work: Work, wait: bool, data: bytes) -> Response:
        refusal = self._context.refusal()
        if refusal is not None:
            return error_response(refusal)
        received = _clock.now()
        digest = hashlib.blake2b(data, digest_size=16).hexdigest()
        with bind_request_id(work.request_id):
            found = self._context.submit(work, digest)
        if not isinstance(found, Answer) and not wait:
            return _state_response(work.request_id, Code.ACCEPTED)
        if not isinstance(found, Answer):
            # Shielded, so that the request continues when its caller disconnects.
            found = await asyncio.shield(found)
        self._context.record_answer(found, _clock.now() - received)
        return answer_response(found)

    def _to_work(self, body: _Common) -> Work:
        work = Work(
            request_id=body.id,
            team=body.team,
            job_class=body.job_class or "default",
            idempotent=body.idempotent is not False,
            exclusive_key=body.exclusive_key,
            issued_at=body.issued_at,
            priority=_PRIORITIES[body.priority],
            payload=body.payload,
        )
        work, timeout_s = self._context.defaults(work, body.timeout_s)
        if not work.idempotent and not work.issued_at:
            detail = 'Work that is not idempotent needs its issue time in "issued_at".'
            raise CallError(Code.INVALID, detail)
        return dataclasses.replace(work, deadline=_clock.now() + timeout_s)

    async def _body(self, request: Request) -> bytes:
        return await read_body(request, self._context.body_limit)

    def _parsed(self, data: bytes) -> t.Any:
        return read_json(data, self._context.depth_limit)


async def read_body(request: Request, limit: int) -> bytes:
    """Return a request's body; raise `CallError` if it exceeds `limit` bytes."""
    declared = request.headers.get("content-length", "")
    if declared.isdecimal() and int(declared) > limit:
        raise CallError(Code.TOO_LARGE)
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > limit:
            raise CallError(Code.TOO_LARGE)
    return bytes(data)


def read_json(data: bytes, depth_limit: int) -> t.Any:
    """Return the value of a JSON text.

    Raises
    ------
    CallError
        If it is not valid JSON, has a non-finite number or is nested too deeply.
    """
    try:
        found = json.loads(
            data, parse_constant=_reject_constant, parse_float=_parse_finite
        )
    except (ValueError, RecursionError) as exc:
        if isinstance(exc, RecursionError):
            raise CallError(Code.TOO_DEEP) from exc
        raise CallError(Code.MALFORMED, f"The body is not valid JSON: {exc}") from exc
    if data.count(b"[") + data.count(b"{") > depth_limit:
        _check_depth(found, depth_limit)
    return found


def _check_depth(value: t.Any, levels_left: int) -> None:
    if not isinstance(value, dict | list):
        return
    if levels_left == 0:
        raise CallError(Code.TOO_DEEP)
    for item in value.values() if isinstance(value, dict) else value:
        _check_depth(item, levels_left - 1)


def _reject_constant(text: str) -> t.NoReturn:
    raise CallError(Code.NON_FINITE, f"The number {text} is not finite.")


def _parse_finite(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        raise CallError(Code.NON_FINITE, f"The number {text[:40]} is not finite.")
    return value


_ModelT = t.TypeVar("_ModelT", bound=BaseModel)


def _validated(model: type[_ModelT], found: t.Any) -> _ModelT:
    try:
        return model.model_validate(found)
    except ValidationError as exc:
        errors = exc.errors(include_url=False)
        error = errors[0]
        where = ".".join(str(part) for part in error["loc"]) or "body"
        detail = f'"{where}": {error["msg"]}.'
        raise CallError(Code.INVALID, detail) from exc


def bearer_allowed(request: Request, keys: t.Iterable[str]) -> bool:
    """Return whether a request carries one of the keys as its bearer token.

    All keys are compared, each in constant time, so that the time taken shows neither
    a partial match nor which key matches.
    """
    given = request.headers.get("authorization", "").removeprefix("Bearer ").encode()
    matches = [hmac.compare_digest(given, key.encode()) for key in keys]
    return any(matches)


def error_response(code: Code, detail: str = "") -> Response:
    """Return the response to a refused call."""
    body = {
        "code": int(code),
        "outcome": code.outcome,
        "message": detail or code.meaning,
    }
    headers = {"retry-after": "1"} if code.status == 503 else None
    return _json_response(body, code.status, headers)


def answer_response(answer: Answer) -> Response:
    """Return the response that carries the answer to a request."""
    body: dict[str, t.Any] = {
        "id": answer.request_id,
        "code": int(answer.code),
        "outcome": answer.outcome,
        "message": answer.detail or answer.code.meaning,
        "parts": list(answer.parts),
    }
    headers = None
    if answer.retry_after_s:
        body["retry_after_s"] = answer.retry_after_s
        headers = {"retry-after": str(math.ceil(answer.retry_after_s))}
    return _json_response(body, answer.code.status, headers)


def _state_response(request_id: str, code: Code) -> Response:
    body = {
        "id": request_id,
        "code": int(code),
        "outcome": code.outcome,
        "message": code.meaning,
    }
    return _json_response(body, code.status)


def _json_response(
    body: t.Any, status: int = 200, headers: t.Mapping[str, str] | None = None
) -> Response:
    data = json.dumps(body, separators=(",", ":")).encode()
    return Response(data, status, headers, "application/json")
