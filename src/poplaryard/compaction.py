"""Snapshots of the configuration, and deletion of the values that they replace."""

import typing as t
from dataclasses import replace

from .config_loader import Loader, read_head, split_snapshot
from .exceptions import StoreConflict, StoreReplyLost
from .head import (
    HEAD_KEY,
    MAX_VALUE_BYTES,
    Head,
    object_key,
    snapshot_key,
    ticket_number,
)
from .store import Entry, Store

__all__ = ["SNAPSHOT_EVERY", "Compactor"]

# Tickets between two snapshots. Limits the objects that a starting process must read in
# addition to the snapshot.
SNAPSHOT_EVERY = 128
# Most deletions per run. With a run per snapshot, this is more than the values written
# between two runs if each ticket changes one object.
_DELETIONS = 400
# Attempts of a write that fails by conflicts or lost replies.
_ROUNDS = 20


class Compactor:
    """Writes snapshots and deletes the values that they replace.

    Several processes may do so at the same time.

    Parameters
    ----------
    every : int
        Number of tickets between two snapshots.
    """

    def __init__(self, store: Store, loader: Loader, every: int = SNAPSHOT_EVERY):
        self._every = every
        self._store = store
        self._loader = loader

    async def run(self) -> bool:
        """Write a snapshot if one is due, and return whether the head refers to it.

        Raises
        ------
        StoreDown, StoreReplyLost
            If the store does not answer. Parts written so far are not referred to by
            the head and are deleted with a later snapshot.
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
        await self._delete_stale()
        return True

    async def _put_part(self, key: str, part: dict[str, t.Any]) -> bool:
        """Write one part and return whether the store holds it."""
        for _ in range(_ROUNDS):
            try:
                await self._store.put_if(key, part, 0)
                return True
            except (StoreConflict, StoreReplyLost):
                held = await self._store.get(key)
                if held is not None:
                    # Another process has written this part. It may run another version
                    # and have encoded it differently.
                    return bool(held.value == part)
        return False

    async def _put_in_force(self, number: int, parts: int) -> bool:
        """Let the head refer to a snapshot, and return whether it does."""
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

    async def _delete_stale(self) -> None:
        """Delete values that are not needed to load the configuration in force.

        No value that a later head refers to is lost. A process that has written values
        under a planned number up to the snapshot's number writes them again if it has
        read a head with this snapshot; with an older head its swap cannot succeed.
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
    if ticket_number(suffix) > head.snapshot:
        return False
    ref = head.objects.get(key)
    # A ticket accepted after the snapshot may refer to a value that was written under
    # an earlier planned number. The snapshot lacks this value.
    in_force = ref is not None and object_key(key, ref) == entry.key
    return not (in_force and ticket_number(t.cast(str, ref)) > head.snapshot)


def _snapshot_is_stale(entry: Entry, head: Head) -> bool:
    return int(entry.key.split("/")[2]) < head.snapshot
