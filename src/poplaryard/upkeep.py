"""Periodic store work that nothing waits for: audit groups and snapshots."""

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
    """Flushes the audit log, and writes snapshots in one process per data centre.

    Parameters
    ----------
    compacts : callable
        Returns whether this process is the one that writes snapshots.
    """

    def __init__(
        self,
        writer: AuditWriter,
        compactor: Compactor,
        compacts: t.Callable[[], bool],
    ):
        self._writer = writer
        self._compactor = compactor
        self._compacts = compacts
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks."""
        self._tasks = [
            asyncio.create_task(self._flush()),
            asyncio.create_task(self._compact()),
        ]

    async def stop(self) -> None:
        """End the tasks after a last flush."""
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
            if not self._compacts():
                continue
            try:
                await self._compactor.run()
            except PoplaryardError as exc:
                logger.warning("snapshot not written: %s", exc.detail)
