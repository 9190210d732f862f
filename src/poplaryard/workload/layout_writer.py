"""Writes the layouts of groups, which assign racks to partitions."""

import asyncio
import typing as t

import msgspec

from ..clock import Clock
from ..exceptions import LeaseLost, StoreDown, StoreReplyLost
from ..logs import logger
from . import records
from .layout import Layout, assign_racks
from .model import WorkerInfo
from .storage import Change, Item, Storage, Transaction

__all__ = ["LayoutWriter"]

# The layout is written once no further worker of the group has appeared for this time,
# and after the longest wait at the latest, in seconds. Workers of a new cell register
# within a second or two, and a rack keeps the partition that it is given.
LAYOUT_SETTLE_S = 1.0
LAYOUT_WAIT_MAX_S = 5.0


class LayoutWriter:
    """Gives racks without a partition one.

    Parameters
    ----------
    storage : Storage
    clock : Clock
    workers : mapping of str to WorkerInfo
        Workers of all groups, as this process knows them at present.
    on_written : callable
        Called with the change of a layout that is in force after a write.
    """

    def __init__(
        self,
        storage: Storage,
        clock: Clock,
        workers: t.Mapping[str, WorkerInfo],
        on_written: t.Callable[[Change], None],
    ):
        self._storage = storage
        self._clock = clock
        self._workers = workers
        self._on_written = on_written
        self._reserved: set[str] = set()

    def reserve(self, group: str) -> bool:
        """Reserve a group for a call of `extend`; return False if one is running."""
        if group in self._reserved:
            return False
        self._reserved.add(group)
        return True

    async def extend(self, group: str, claim_revision: int) -> None:
        """Assign the racks of all known workers of a reserved group to partitions.

        Parameters
        ----------
        claim_revision : int
            Revision of the claim of the group's first partition; nothing is written if
            it has changed.
        """
        try:
            await self._wait_for_workers(group)
            await self._write(group, claim_revision)
        except (StoreDown, StoreReplyLost, LeaseLost) as exc:
            extra = {"group": group, "reason": exc.detail}
            logger.warning("layout not written", extra=extra)
        except msgspec.DecodeError as exc:
            extra = {"group": group, "reason": str(exc)}
            logger.error("unreadable layout", extra=extra)
        finally:
            self._reserved.discard(group)

    def _workers_of(self, group: str) -> list[WorkerInfo]:
        return [info for info in self._workers.values() if info.group == group]

    async def _wait_for_workers(self, group: str) -> None:
        """Wait until the number of known workers of a group has settled."""
        give_up_at = self._clock.now() + LAYOUT_WAIT_MAX_S
        before = -1
        while self._clock.now() < give_up_at:
            count = len(self._workers_of(group))
            if count == before:
                return
            before = count
            await asyncio.sleep(LAYOUT_SETTLE_S)

    async def _write(self, group: str, claim_revision: int) -> None:
        key = records.layout_key(group)
        item = await self._storage.get(key)
        layout = records.decode_layout(item.value) if item is not None else Layout()
        workers = self._workers_of(group)
        if item is None and await self._storage.get(records.workers_key(group)):
            # An owner without a layout may have started tasks on any of the workers.
            layout = Layout(1, {info.rack: 0 for info in workers})
        extended = assign_racks(layout, workers)
        revision = item.revision if item is not None else 0
        if item is None or extended != layout:
            transaction = Transaction(
                expected={records.claim_key(group): claim_revision, key: revision},
                puts=[(key, records.encode(extended), 0)],
            )
            result = await self._storage.commit(transaction)
            if not isinstance(result, int):
                logger.warning("layout changed meanwhile", extra={"group": group})
                return
            revision = result
        value = records.encode(extended)
        self._on_written(Change(key, revision, Item(key, value, revision)))
