"""JSON lines on the error stream, with the ids of process, ticket and request."""

import asyncio
import collections
import contextlib
import contextvars
import logging
import sys
import threading
import time
import typing as t

from pythonjsonlogger.json import JsonFormatter

__all__ = [
    "BackgroundStream",
    "configure",
    "log_failure",
    "logger",
    "request_id",
    "bind_request_id",
]

logger = logging.getLogger("poplaryard")

request_id: contextvars.ContextVar[str] = contextvars.ContextVar("request", default="")

_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level"}


# Lines that wait for a reader, at most; about 1 MB.
MAX_WAITING_LINES = 4000
# Lines of this long are written together, in seconds: each write wakes the reader.
WRITE_EVERY_S = 0.05
# Lines in one write: readers that take only what a pipe holds cut longer ones.
LINES_PER_WRITE = 16


class BackgroundStream:
    """Text stream that never blocks its writers.

    A thread writes the lines. Lines that come while too many wait for a reader are
    dropped, and a line says how many.

    Parameters
    ----------
    stream : text stream

    Attributes
    ----------
    dropped : int
        Lines dropped so far.
    """

    def __init__(self, stream: t.TextIO, limit: int = MAX_WAITING_LINES):
        self._stream = stream
        self._limit = limit
        self._lines: collections.deque[str] = collections.deque()
        self._filled = threading.Event()
        self._reported = 0
        self.dropped = 0
        threading.Thread(target=self._run, daemon=True, name="log writer").start()

    def write(self, text: str) -> int:
        """Take a line, or drop it if too many wait."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
        else:
            self._lines.append(text)
            self._filled.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes."""

    def close(self, timeout_s: float = 0.5) -> None:
        """Wait until the lines are written, for at most `timeout_s` seconds."""
        end = time.monotonic() + timeout_s
        while self._lines and time.monotonic() < end:
            time.sleep(0.01)

    def _run(self) -> None:
        while True:
            self._filled.wait()
            time.sleep(WRITE_EVERY_S)
            self._filled.clear()
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            if self.dropped > self._reported:
                count, self._reported = self.dropped - self._reported, self.dropped
                lines.append(
                    f'{{"level": "WARNING", "message": "log lines dropped", '
                    f'"count": {count}}}\n'
                )
            for begin in range(0, len(lines), LINES_PER_WRITE):
                self._write(lines[begin : begin + LINES_PER_WRITE])

    def _write(self, lines: list[str]) -> None:
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads any more; there is nowhere left to report it.
            self.dropped += len(lines)


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
    stream: t.TextIO | BackgroundStream | None = None,
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
def bind_request_id(value: str) -> t.Iterator[None]:
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
