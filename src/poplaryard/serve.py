"""Command that runs one entry process until a signal stops it."""

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
# Allocations between two runs of the garbage collector. With the default of 700, it
# would traverse the ledgers and answers, tens of thousands of objects, many times per
# second under load.
COLLECT_AFTER = 50_000


class StopSignal:
    """Waits for SIGTERM or SIGINT; a second one ends the process at once.

    Parameters
    ----------
    unfinished_work : callable
        Returns a text that counts what is lost if the process ends now.
    """

    def __init__(self, unfinished_work: t.Callable[[], str]):
        self._unfinished_work = unfinished_work
        self._stop_requested = asyncio.Event()

    async def wait(self) -> None:
        """Wait until the first signal arrives."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._signalled)
        await self._stop_requested.wait()

    def _signalled(self) -> None:
        if not self._stop_requested.is_set():
            self._stop_requested.set()
            return
        click.echo(f"stopped at once, left: {self._unfinished_work()}", err=True)
        sys.stderr.flush()
        os._exit(EXIT_FORCED)


def _tune_collector() -> None:
    """Exclude the objects that exist now from garbage collection; run it less often."""
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
