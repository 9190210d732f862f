"""Loading of the configuration, or of its changed objects, from the store."""

import asyncio
import typing as t

from . import tickets
from .codes import Code
from .configuration import Configuration
from .exceptions import CallError
from .head import (
    HEAD_KEY,
    AcceptedTicket,
    ConfigState,
    Delta,
    Head,
    history_key,
    object_key,
    snapshot_key,
    ticket_key,
)
from .store import Entry, Store

__all__ = ["Loader", "load", "split_snapshot", "read_head", "read_ticket"]

# From this many objects on, one scan of all objects costs the store less than single
# reads.
_SCAN_MIN_OBJECTS = 24
_CONCURRENT_READS = 8
# Attempts to read the head and its objects. An attempt fails if objects are deleted
# meanwhile, which happens only after the head was replaced.
_ROUNDS = 8

# Object key to its reference and value, as in `Delta.objects`.
_ObjectValues = dict[str, tuple[str, dict[str, t.Any] | None]]


async def load(store: Store) -> Configuration:
    """Return the configuration in force.

    Raises
    ------
    StoreDown, StoreReplyLost
        If the store does not answer.
    """
    return (await Loader(store).refresh()).config


async def read_head(store: Store) -> tuple[Head, Entry | None]:
    """Return the head record and its store entry; an empty head and None if missing."""
    entry = await store.get(HEAD_KEY)
    return (Head() if entry is None else Head.from_json(entry.value)), entry


async def read_ticket(store: Store, number: int) -> dict[str, t.Any] | None:
    """Return the entry and the text of an accepted ticket.

    The result is None if there is no such ticket or its entry has expired. Its item
    ``ticket`` is None if only the text has expired.
    """
    head, _entry = await read_head(store)
    entry = head.entry_by_number(number)
    if entry is None and 0 < number <= head.number:
        block = await store.get(history_key(number))
        items = [] if block is None else block.value["tickets"]
        found = [item for item in items if item["number"] == number]
        entry = AcceptedTicket.from_json(found[0]) if found else None
    if entry is None:
        return None
    record = await store.get(ticket_key(entry.uid))
    text = None if record is None else record.value["ticket"]
    return {**entry.to_json(), "ticket": text}


class Loader:
    """Holds a configuration and reads from the store only what has changed.

    Parameters
    ----------
    state : ConfigState
        State already held, for example from a peer.
    """

    def __init__(self, store: Store, state: ConfigState | None = None):
        self._store = store
        self._lock = asyncio.Lock()
        self.state = state or ConfigState()
        self.head = Head()

    async def refresh(self, head: Head | None = None) -> ConfigState:
        """Update the state to `head`, by default the store's head, and return it.

        Raises
        ------
        CallError
            `TICKET_NOT_ACCEPTED` if objects were deleted during every attempt,
            `TICKET_INVALID` if an object cannot be decoded.
        StoreDown, StoreReplyLost
            If the store does not answer.
        """
        async with self._lock:
            for _ in range(_ROUNDS):
                if head is None:
                    head, _entry = await read_head(self._store)
                if head.number <= self.state.number:
                    return self.state
                delta = await self._read_delta(head)
                if delta is not None:
                    self._apply(head, delta)
                    return self.state
                head = None
            detail = "The configuration changes faster than it can be read."
            raise CallError(Code.TICKET_NOT_ACCEPTED, detail)

    def adopt(self, state: ConfigState) -> None:
        """Replace the state by one received from a peer, if that is newer."""
        if state.number > self.state.number:
            self.state = state

    def _apply(self, head: Head, delta: Delta) -> None:
        try:
            state = self.state.apply_delta(delta)
        except (ValueError, KeyError, TypeError) as exc:
            detail = "The store holds an object that this version cannot read."
            raise CallError(Code.TICKET_INVALID, detail) from exc
        if state is None:
            raise CallError(Code.INTERNAL, "The configuration read has a gap.")
        self.state, self.head = state, head

    async def _read_delta(self, head: Head) -> Delta | None:
        """Return the changes up to a head, or None if one of its objects is missing."""
        held = self.state.refs
        wanted = {key: ref for key, ref in head.objects.items() if held.get(key) != ref}
        found: _ObjectValues = {
            key: (f"{head.last_change(key)}-", None)
            for key in held
            if key not in head.objects
        }
        # Removals of objects that this process never held are included, since the state
        # is the source of deltas for peers that may hold them.
        for key, number in head.removed.items():
            if number > self.state.number:
                found[key] = (f"{number}-", None)
        if head.snapshot > self.state.number:
            found |= await self._read_snapshot(head, wanted)
        wanted = {key: ref for key, ref in wanted.items() if key not in found}
        read = await self._read_objects(wanted)
        if read is None:
            return None
        # The delta comes from a comparison of all references, so it has no gap even if
        # this state is older than the horizon of the head.
        return Delta(self.state.number, head.number, found | read, head.horizon)

    async def _read_snapshot(
        self, head: Head, wanted: t.Mapping[str, str]
    ) -> _ObjectValues:
        """Return the wanted objects that are found in the snapshot of a head."""
        keys = [snapshot_key(head.snapshot, n) for n in range(head.snapshot_parts)]
        parts = await self._get_all(keys)
        found: _ObjectValues = {}
        for part in parts:
            # A part is missing if a newer snapshot replaced it. Its objects are then
            # read singly; if these are deleted too, `refresh` reads the head again.
            if part is None:
                continue
            for key, (ref, value) in part["objects"].items():
                if wanted.get(key) == ref:
                    found[key] = (ref, value)
        return found

    async def _read_objects(self, wanted: t.Mapping[str, str]) -> _ObjectValues | None:
        """Read objects by key and reference; return None if one is missing."""
        keys = {key: object_key(key, ref) for key, ref in wanted.items()}
        if len(keys) >= _SCAN_MIN_OBJECTS:
            entries = await self._store.scan("config/object/")
            stored = {entry.key: entry.value for entry in entries}
            values = [stored.get(key) for key in keys.values()]
        else:
            values = await self._get_all(list(keys.values()))
        if any(value is None for value in values):
            return None
        pairs = zip(wanted.items(), values, strict=True)
        return {key: (ref, value["object"]) for (key, ref), value in pairs if value}

    async def _get_all(self, keys: list[str]) -> list[dict[str, t.Any] | None]:
        semaphore = asyncio.Semaphore(_CONCURRENT_READS)

        async def read(key: str) -> dict[str, t.Any] | None:
            async with semaphore:
                entry = await self._store.get(key)
                return None if entry is None else entry.value

        return await asyncio.gather(*(read(key) for key in keys))


def split_snapshot(state: ConfigState, max_bytes: int) -> list[dict[str, t.Any]]:
    """Return the parts of a snapshot of a state, each of at most `max_bytes` as JSON.

    A single object that is larger makes a part of its own.
    """
    parts: list[dict[str, t.Any]] = [{}]
    size = 0
    for key, ref in sorted(state.refs.items()):
        value = tickets.encode_object(tickets.lookup(state.config, key))
        # The constant allows for the JSON punctuation of an item.
        length = tickets.json_size(value) + len(key) + len(ref) + 16
        if size + length > max_bytes and parts[-1]:
            parts.append({})
            size = 0
        parts[-1][key] = [ref, value]
        size += length
    return [{"format": tickets.FORMAT, "objects": part} for part in parts]
