"""Commands that run a process until it is told to stop."""

import asyncio
import pathlib
import signal

import click

from . import tickets
from .app import Application
from .configuration import Configuration
from .settings import settings_or_exit

__all__ = ["serve"]


@click.command()
@click.option("--config", "path", required=True, type=click.Path())
@click.option("--ticket", type=click.Path(exists=True))
def serve(path: str, ticket: str) -> None:
    """Run one entry process until SIGTERM."""
    settings = settings_or_exit(path)
    found = tickets.parse(pathlib.Path(ticket).read_bytes())
    configuration = tickets.apply(Configuration(), 1, found)
    asyncio.run(_serve(Application(settings, configuration)))


async def _serve(app: Application) -> None:
    await app.start()
    click.echo(f"listening on {app.address}")
    await stopped()
    await app.stop()


async def stopped() -> None:
    """Return when the process is told to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
