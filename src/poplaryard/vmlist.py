"""Polling of the platform's list of live and leaving VMs, which may be out of date."""

import asyncio
import contextlib
import typing as t
from dataclasses import dataclass

from .exceptions import PoplaryardError

__all__ = ["ListedVm", "VmList", "VmListPoller"]

# Time between two reads of the list, in seconds. Placements on a leaving VM are allowed
# for 3 s after it was listed as leaving (P6).
POLL_S = 2.0


@dataclass(frozen=True, slots=True)
class ListedVm:
    """Entry of the platform's list of VMs."""

    name: str
    leaving: bool = False


class VmList(t.Protocol):
    """Platform call that lists VMs; it counts against the platform's rate limits."""

    async def vms(self, data_centre: str) -> list[ListedVm]:
        """Return the VMs of one data centre.

        Raises
        ------
        StoreDown
            If the platform's store, which serves the list, is down.
        """


class VmListPoller:
    """Polls the list of VMs and reports changes.

    Processes that own no shard poll too: if one takes over a shard, it has to know
    which VMs have left.

    Parameters
    ----------
    on_change : callable
        Called with the name of a VM and whether it is leaving, when the VM is new or
        has changed.
    on_gone : callable
        Called with the name of a VM that is no longer listed.
    """

    def __init__(
        self,
        source: VmList,
        data_centre: str,
        on_change: t.Callable[[str, bool], None],
        on_gone: t.Callable[[str], None],
    ):
        self._source = source
        self._data_centre = data_centre
        self._on_change = on_change
        self._on_gone = on_gone
        self._listed: dict[str, ListedVm] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start polling."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def leaving(self, name: str) -> bool:
        """Return whether a VM is leaving according to the last list."""
        vm = self._listed.get(name)
        return vm is not None and vm.leaving

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(PoplaryardError):
                await self.poll_once()
            await asyncio.sleep(POLL_S)

    async def poll_once(self) -> None:
        """Read the list and report changes; raises `PoplaryardError` on failure."""
        vms = await self._source.vms(self._data_centre)
        previous, self._listed = self._listed, {vm.name: vm for vm in vms}
        for vm in vms:
            if previous.get(vm.name) != vm:
                self._on_change(vm.name, vm.leaving)
        for name in sorted(previous.keys() - self._listed.keys()):
            self._on_gone(name)
