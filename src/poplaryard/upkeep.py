"""Periodic background writes to the store: audit events and snapshots."""

import asyncio
import typing as t

from .audit import AuditWriter
from .compaction import Compactor
from .exceptions import PoplaryardError
from .logs import logger

__all__ = ["UpkeepTask"]

AUDIT_PERIOD_S = 1.0
SNAPSHOT_PERIOD_S = 30.0


class UpkeepTask:
    """Flushes the audit log, and writes snapshots if this process is chosen for them.

    Parameters
    ----------
    writes_snapshots : callable
        Returns whether this process writes the snapshots of its data centre.
    """

    def __init__(
        self,
        writer: AuditWriter,
        compactor: Compactor,
        writes_snapshots: t.Callable[[], bool],
    ):
        self._writer = writer
        self._compactor = compactor
        self._writes_snapshots = writes_snapshots
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks."""
        self._tasks = [
            asyncio.create_task(self._flush()),
            asyncio.create_task(self._compact()),
        ]

    async def stop(self) -> None:
        """Stop the tasks, then flush the audit log a last time."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._writer.flush_if_due(force=True)

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(AUDIT_PERIOD_S)
            await self._writer.flush_if_due()

    async def _compact(self) -> None:
        while True:
            await asyncio.sleep(SNAPSHOT_PERIOD_S)
            if not self._writes_snapshots():
                continue
            try:
                await self._compactor.run()
            except PoplaryardError as exc:
                logger.warning("snapshot not written: %s", exc.detail)
