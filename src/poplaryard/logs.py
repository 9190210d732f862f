"""Logging as JSON lines, each with the ids of its process, ticket and request."""

import asyncio
import collections
import contextlib
import contextvars
import logging
import os
import sys
import threading
import time
import typing as t

from pythonjsonlogger.json import JsonFormatter

__all__ = [
    "BackgroundStream",
    "bind_request_id",
    "configure",
    "log_failure",
    "logger",
    "request_id",
]

logger = logging.getLogger("poplaryard")

request_id: contextvars.ContextVar[str] = contextvars.ContextVar("request", default="")

_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_RENAMED_FIELDS = {"asctime": "time", "levelname": "level"}


# Maximum number of buffered lines; about 1 MB.
MAX_WAITING_LINES = 4000
# Time for which lines are collected before they are written, in seconds. One write for
# each line would wake the process that reads the stream each time.
WRITE_EVERY_S = 0.05
# Lines in one write. A longer write may exceed the capacity of a pipe, and some readers
# would then cut a line in two.
LINES_PER_WRITE = 16


def _file_descriptor(stream: t.TextIO) -> int | None:
    """Return the file descriptor of a stream, or None if it has none."""
    try:
        return stream.fileno()
    except (AttributeError, OSError, ValueError):
        return None


class BackgroundStream:
    """Text stream that never blocks its writers.

    A thread writes the lines. While the buffer is full, new lines are dropped; a line
    with their number is written later.

    Parameters
    ----------
    stream : text stream
    limit : int
        Most lines that are buffered.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
    """

    def __init__(self, stream: t.TextIO, limit: int = MAX_WAITING_LINES):
        self._stream = stream
        self._descriptor = _file_descriptor(stream)
        self._limit = limit
        self._lines: collections.deque[str] = collections.deque()
        self._has_lines = threading.Event()
        self._reported_drops = 0
        self._closing = False
        self.dropped = 0
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="log writer"
        )
        self._thread.start()

    def write(self, text: str) -> int:
        """Add a line to the buffer, or drop it if the buffer is full."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
        else:
            self._lines.append(text)
            self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread writes and flushes."""

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is left and end the thread, within `timeout_s` seconds."""
        self._closing = True
        self._has_lines.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._closing or self._lines:
            self._has_lines.wait()
            if not self._closing:
                time.sleep(WRITE_EVERY_S)
                self._has_lines.clear()
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            if self.dropped > self._reported_drops:
                count, self._reported_drops = (
                    self.dropped - self._reported_drops,
                    self.dropped,
                )
                lines.append(
                    f'{{"level": "WARNING", "message": "log lines dropped", '
                    f'"count": {count}}}\n'
                )
            for begin in range(0, len(lines), LINES_PER_WRITE):
                self._write(lines[begin : begin + LINES_PER_WRITE])

    def _write(self, lines: list[str]) -> None:
        try:
            if self._descriptor is None:
                self._stream.write("".join(lines))
                self._stream.flush()
                return
            # A buffered stream holds its lock while a write blocks, and an interpreter
            # that ends meanwhile aborts because it cannot flush the stream.
            data = memoryview("".join(lines).encode("utf-8", "backslashreplace"))
            while data:
                data = data[os.write(self._descriptor, data) :]
        except (OSError, ValueError):
            # The reader has closed the stream, so the error cannot be logged either.
            self.dropped += len(lines)


class _ContextFilter(logging.Filter):
    """Adds the ids of process, configuration ticket and request to log records."""

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
    """Log the package's records as JSON lines.

    Parameters
    ----------
    process : str
        Process id with its incarnation.
    level : str
        Lowest level that is logged, in upper or lower case.
    ticket : callable
        Returns the number of the configuration ticket in force.
    stream : text stream, optional
        Standard error by default.
    """
    formatter = JsonFormatter(
        _FIELDS, rename_fields=_RENAMED_FIELDS, reserved_attrs=_RESERVED_ATTRS
    )
    formatter.converter = time.gmtime
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03dZ"
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    handler.addFilter(_ContextFilter(process, ticket))
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


@contextlib.contextmanager
def bind_request_id(value: str) -> t.Iterator[None]:
    """Set the request id of all records that are logged in the `with` block."""
    token = request_id.set(value)
    try:
        yield
    finally:
        request_id.reset(token)


def log_failure(task: "asyncio.Task[t.Any]") -> None:
    """Log the exception that ended a task.

    This is a done callback for tasks that are not awaited.
    """
    if not task.cancelled() and task.exception() is not None:
        logger.critical("task ended by an error", exc_info=task.exception())


# Attributes that the formatter leaves out. `process` is not among them: the filter
# replaces the operating system's process id by the process name.
_RESERVED_ATTRS = [
    name
    for name in logging.LogRecord("", 0, "", 0, "", None, None).__dict__
    if name != "process"
] + ["message", "asctime"]
