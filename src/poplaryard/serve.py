"""Command that runs one entry process until it is told to stop."""

import asyncio
import gc
import os
import signal
import sys
import typing as t

import click

from .app import Application
from .settings import settings_or_exit

__all__ = ["StopSignal", "serve"]

EXIT_FORCED = 1
# Allocations between two runs of the collector. The default of 700 walks the ledgers
# and answers, tens of thousands of objects, many times per second under load.
COLLECT_AFTER = 50_000


class StopSignal:
    """Waits for SIGTERM or SIGINT; a second one ends the process at once.

    Parameters
    ----------
    unfinished_work : callable
        Returns what is lost if the process ends now.
    """

    def __init__(self, unfinished_work: t.Callable[[], str]):
        self._unfinished_work = unfinished_work
        self._asked = asyncio.Event()

    async def wait(self) -> None:
        """Return when the process is told to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._signalled)
        await self._asked.wait()

    def _signalled(self) -> None:
        if not self._asked.is_set():
            self._asked.set()
            return
        click.echo(f"stopped at once, left: {self._unfinished_work()}", err=True)
        sys.stderr.flush()
        os._exit(EXIT_FORCED)


def _tune_collector() -> None:
    """Leave what was loaded at start to itself, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 20, 20)


@click.command()
@click.option("--config", "path", required=True, type=click.Path(), help="Settings.")
def serve(path: str) -> None:
    """Run one entry process until SIGTERM."""
    asyncio.run(_serve(Application(settings_or_exit(path))))


async def _serve(app: Application) -> None:
    await app.start()
    _tune_collector()
    click.echo(f"listening on {app.address}")
    await StopSignal(app.unfinished_work).wait()
    await app.stop()
