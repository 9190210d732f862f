"""Snapshots of the configuration, and removal of the values that they replace."""

import typing as t
from dataclasses import replace

from .config_loader import Loader, read_head, split_snapshot
from .exceptions import StoreConflict, StoreReplyLost
from .head import HEAD_KEY, MAX_VALUE_BYTES, Head, number_of, object_key, snapshot_key
from .store import Entry, Store

__all__ = ["SNAPSHOT_EVERY", "Compactor"]

# Tickets between two snapshots; bounds what a starting process reads one by one.
SNAPSHOT_EVERY = 128
# Deletions per run; a run per snapshot keeps up with one object per ticket.
_DELETIONS = 400
_ROUNDS = 20


class Compactor:
    """Writes snapshots; any number of processes may run one at the same time.

    Parameters
    ----------
    every : int
        Tickets between two snapshots.
    """

    def __init__(self, store: Store, loader: Loader, every: int = SNAPSHOT_EVERY):
        self._every = every
        self._store = store
        self._loader = loader

    async def run(self) -> bool:
        """Write a snapshot if one is due; return whether one was put in force.

        Raises
        ------
        StoreDown, StoreReplyLost
            If the store does not answer; what was written so far does no harm.
        """
        head, _entry = await read_head(self._store)
        if head.number - head.snapshot < self._every:
            return False
        state = await self._loader.refresh(head)
        if state.number != head.number:
            return False
        parts = split_snapshot(state, MAX_VALUE_BYTES)
        for index, part in enumerate(parts):
            if not await self._put_part(snapshot_key(head.number, index), part):
                return False
        if not await self._put_in_force(head.number, len(parts)):
            return False
        await self._sweep()
        return True

    async def _put_part(self, key: str, part: dict[str, t.Any]) -> bool:
        """Write one part; False if a different value stands under its key."""
        for _ in range(_ROUNDS):
            try:
                await self._store.put_if(key, part, 0)
                return True
            except (StoreConflict, StoreReplyLost):
                held = await self._store.get(key)
                if held is not None:
                    # Another process, perhaps of another version, was here first.
                    return bool(held.value == part)
        return False

    async def _put_in_force(self, number: int, parts: int) -> bool:
        for _ in range(_ROUNDS):
            head, entry = await read_head(self._store)
            if head.snapshot >= number or entry is None:
                return head.snapshot == number
            head = replace(head, snapshot=number, snapshot_parts=parts)
            try:
                await self._store.put_if(HEAD_KEY, head.to_json(), entry.version)
                return True
            except (StoreConflict, StoreReplyLost):
                continue
        return False

    async def _sweep(self) -> None:
        """Delete values that no reader of the present head needs.

        A filer whose values were planned up to the snapshot's number writes them again
        once it has read a head with this snapshot, and with an older head it cannot
        succeed; so nothing that becomes part of a head is deleted.
        """
        head, _entry = await read_head(self._store)
        objects = await self._store.scan("config/object/")
        snapshots = await self._store.scan("config/snapshot/")
        stale = [entry for entry in objects if _object_is_stale(entry, head)]
        stale += [entry for entry in snapshots if _snapshot_is_stale(entry, head)]
        for entry in stale[:_DELETIONS]:
            try:
                await self._store.delete_if(entry.key, entry.version)
            except (StoreConflict, StoreReplyLost):
                continue


def _object_is_stale(entry: Entry, head: Head) -> bool:
    key, suffix = entry.key.removeprefix("config/object/").rsplit("/", 1)
    if number_of(suffix) > head.snapshot:
        return False
    ref = head.objects.get(key)
    # A value written early may belong to a ticket accepted after the snapshot.
    in_force = ref is not None and object_key(key, ref) == entry.key
    return not (in_force and number_of(t.cast(str, ref)) > head.snapshot)


def _snapshot_is_stale(entry: Entry, head: Head) -> bool:
    return int(entry.key.split("/")[2]) < head.snapshot
