"""Base of the ASGI applications: answers every error with a result code."""

import typing as t

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .api import error_response
from .codes import Code
from .logs import logger

__all__ = ["new_starlette"]

_CODES_BY_STATUS = {404: Code.NO_ROUTE, 405: Code.METHOD_NOT_ALLOWED}


def new_starlette(routes: t.Sequence[Route]) -> Starlette:
    """Return an application that answers every error with a result code."""
    handlers: t.Any = {HTTPException: _http_error, Exception: _internal_error}
    return Starlette(routes=list(routes), exception_handlers=handlers)


async def _http_error(request: Request, exc: Exception) -> Response:
    status = exc.status_code if isinstance(exc, HTTPException) else 500
    return error_response(_CODES_BY_STATUS.get(status, Code.INTERNAL))


async def _internal_error(request: Request, exc: Exception) -> Response:
    logger.error("call failed", exc_info=exc, extra={"path": request.url.path})
    return error_response(Code.INTERNAL)
