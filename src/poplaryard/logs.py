"""JSON lines on the error stream, with the ids of process, ticket and request."""

import asyncio
import contextlib
import contextvars
import logging
import sys
import time
import typing as t

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure", "log_failure", "logger", "request_id", "requests_id"]

logger = logging.getLogger("poplaryard")

request_id: contextvars.ContextVar[str] = contextvars.ContextVar("request", default="")

_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level"}


class _Ids(logging.Filter):
    """Adds the ids that hold at the time of a record."""

    def __init__(self, process: str, ticket: t.Callable[[], int]):
        super().__init__()
        self._process = process
        self._ticket = ticket

    def filter(self, record: logging.LogRecord) -> bool:
        record.__dict__["process"] = self._process
        record.ticket = self._ticket()
        if not hasattr(record, "request") and request_id.get():
            record.request = request_id.get()
        return True


def configure(
    process: str,
    level: str,
    ticket: t.Callable[[], int] = lambda: 0,
    stream: t.TextIO | None = None,
) -> None:
    """Write the package's records as JSON lines.

    Parameters
    ----------
    process : str
        Process id with its incarnation.
    ticket : callable
        Returns the number of the ticket in force.
    stream : text stream, optional
        Standard error by default.
    """
    formatter = JsonFormatter(_FIELDS, rename_fields=_RENAMED, reserved_attrs=_RESERVED)
    formatter.converter = time.gmtime
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03dZ"
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    handler.addFilter(_Ids(process, ticket))
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


@contextlib.contextmanager
def requests_id(value: str) -> t.Iterator[None]:
    """Give the records of a block the id of a request."""
    token = request_id.set(value)
    try:
        yield
    finally:
        request_id.reset(token)


def log_failure(task: "asyncio.Task[t.Any]") -> None:
    """Log the error that ended a task; a callback for tasks that nobody awaits."""
    if not task.cancelled() and task.exception() is not None:
        logger.critical("task ended by an error", exc_info=task.exception())


# `process` is left out of the attributes that the formatter drops: ours replaces the
# operating system's process number.
_RESERVED = [
    name
    for name in logging.LogRecord("", 0, "", 0, "", None, None).__dict__
    if name != "process"
] + ["message", "asctime"]
