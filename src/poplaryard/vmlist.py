"""Platform's list of live and leaving VMs, which lags behind reality."""

import asyncio
import contextlib
import typing as t
from dataclasses import dataclass

from .exceptions import PoplaryardError

__all__ = ["ListedVm", "VmList", "VmListPoller"]

# P6 allows 3 s from the list to the last placement.
POLL_S = 2.0


@dataclass(frozen=True, slots=True)
class ListedVm:
    """VM as the platform lists it."""

    name: str
    leaving: bool = False


class VmList(t.Protocol):
    """Call of the platform that lists VMs; counts against its rate limits."""

    async def vms(self, data_centre: str) -> list[ListedVm]:
        """Return the VMs of one data centre; raises `StoreDown` if it is down."""


class VmListPoller:
    """Polls the list and tells what has changed.

    Every process polls, also one that owns no shard: it may take one over, and then has
    to know when a VM last left.

    Parameters
    ----------
    changed : callable
        Takes the name of a VM and whether it is leaving.
    gone : callable
        Takes the name of a VM that was listed before and no longer is.
    """

    def __init__(
        self,
        source: VmList,
        data_centre: str,
        changed: t.Callable[[str, bool], None],
        gone: t.Callable[[str], None],
    ):
        self._source = source
        self._data_centre = data_centre
        self._changed = changed
        self._gone = gone
        self._listed: dict[str, ListedVm] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def leaving(self, name: str) -> bool:
        """Tell whether the last list said that a VM is leaving."""
        found = self._listed.get(name)
        return found is not None and found.leaving

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(PoplaryardError):
                await self.read()
            await asyncio.sleep(POLL_S)

    async def read(self) -> None:
        """Read the list now; raises `PoplaryardError` if it cannot be read."""
        found = await self._source.vms(self._data_centre)
        before, self._listed = self._listed, {vm.name: vm for vm in found}
        for vm in found:
            if before.get(vm.name) != vm:
                self._changed(vm.name, vm.leaving)
        for name in sorted(before.keys() - self._listed.keys()):
            self._gone(name)
