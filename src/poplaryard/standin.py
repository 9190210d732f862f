"""Commands that run simulated platforms and workers, called stand-ins."""

import asyncio
import typing as t

import click

from .resources import Resources
from .serve import StopSignal
from .standin_platform_http import PlatformHost
from .standin_worker import WorkerVm
from .standin_worker_http import WorkerHost

__all__ = ["standin"]


@click.group()
def standin() -> None:
    """Run a simulated platform or simulated workers for trials and tests."""


@standin.command()
@click.option("--port", default=0, help="Port; 0 selects a free one.")
def platform(port: int) -> None:
    """Run a stand-in for the store and the VM list of the platform."""
    asyncio.run(_run_platform(port))


@standin.command()
@click.option("--port", default=0, help="First port; 0 selects free ones.")
@click.option("--count", default=1, help="Number of workers.")
@click.option("--data-centre", default="dc1")
@click.option("--group", default="booking", help="First part of the workers' names.")
@click.option("--cpu", "cpu_m", default=16_000, help="Thousandths of a core.")
@click.option("--memory", "mem_mb", default=32_768, help="MB.")
@click.option("--gpus", default=0)
def worker(
    port: int, count: int, data_centre: str, group: str, **capacity: int
) -> None:
    """Run stand-ins for COUNT workers, each on a separate port."""
    names = [f"{data_centre}-{group}-{index:03d}" for index in range(count)]
    vms = [WorkerVm(name, Resources(**capacity)) for name in names]
    asyncio.run(_run_workers(vms, port))


async def _run_platform(port: int) -> None:
    host = PlatformHost()
    click.echo(f"listening on {await host.start(port=port)}")
    # No work is lost if the process ends on a second signal.
    await StopSignal(lambda: "nothing").wait()
    await host.stop()


async def _run_workers(vms: t.Sequence[WorkerVm], port: int) -> None:
    host = WorkerHost(vms)
    for name, address in (await host.start(port=port)).items():
        click.echo(f"{name} {address}")
    await StopSignal(lambda: "nothing").wait()
    await host.stop()
