"""Loading the configuration from the store, whole or by its changed objects."""

import asyncio
import typing as t

from . import tickets
from .codes import Code
from .configuration import Configuration
from .exceptions import CallError
from .head import (
    HEAD_KEY,
    Accepted,
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

# One scan of all objects is cheaper for the store than this many single reads.
_SCAN_FROM = 24
_CONCURRENT_READS = 8
# A head that is replaced while its objects are read is read again this often.
_ROUNDS = 8

_Found = dict[str, tuple[str, dict[str, t.Any] | None]]


async def load(store: Store) -> Configuration:
    """Return the configuration in force.

    Raises
    ------
    StoreDown, StoreReplyLost
        If the store does not answer.
    """
    return (await Loader(store).refresh()).config


async def read_head(store: Store) -> tuple[Head, Entry | None]:
    """Return the head record and its store entry, an empty head if there is none."""
    entry = await store.get(HEAD_KEY)
    return (Head() if entry is None else Head.from_json(entry.value)), entry


async def read_ticket(store: Store, number: int) -> dict[str, t.Any] | None:
    """Return an accepted ticket with its entry, or None if it is no longer kept.

    The ticket itself is None once its text is older than the retention time.
    """
    head, _entry = await read_head(store)
    entry = head.entry(number)
    if entry is None and 0 < number <= head.number:
        block = await store.get(history_key(number))
        items = [] if block is None else block.value["tickets"]
        found = [item for item in items if item["number"] == number]
        entry = Accepted.from_json(found[0]) if found else None
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
        """Bring the state up to `head`, by default the store's, and return it."""
        async with self._lock:
            for _ in range(_ROUNDS):
                if head is None:
                    head, _entry = await read_head(self._store)
                if head.number <= self.state.number:
                    return self.state
                delta = await self._delta(head)
                if delta is not None:
                    self._advance(head, delta)
                    return self.state
                head = None
            detail = "The configuration changes faster than it can be read."
            raise CallError(Code.TICKET_NOT_ACCEPTED, detail)

    def adopt(self, state: ConfigState) -> None:
        """Take over a newer state that came from elsewhere."""
        if state.number > self.state.number:
            self.state = state

    def _advance(self, head: Head, delta: Delta) -> None:
        try:
            state = self.state.after(delta)
        except (ValueError, KeyError, TypeError) as exc:
            detail = "The store holds an object that this version cannot read."
            raise CallError(Code.TICKET_INVALID, detail) from exc
        if state is None:
            raise CallError(Code.INTERNAL, "The configuration read has a gap.")
        self.state, self.head = state, head

    async def _delta(self, head: Head) -> Delta | None:
        """Return the changes up to a head, or None if its objects are gone."""
        held = self.state.refs
        wanted = {key: ref for key, ref in head.objects.items() if held.get(key) != ref}
        found: _Found = {
            key: (f"{head.changed_at(key)}-", None)
            for key in held
            if key not in head.objects
        }
        # Peers are told of every removal, also of objects that this process never held.
        for key, at in head.removed.items():
            if at > self.state.number:
                found[key] = (f"{at}-", None)
        if head.snapshot > self.state.number:
            found |= await self._from_snapshot(head, wanted)
        wanted = {key: ref for key, ref in wanted.items() if key not in found}
        read = await self._read(wanted)
        if read is None:
            return None
        # The references were compared, so the delta leaves no gap whatever its base.
        return Delta(self.state.number, head.number, found | read, head.horizon)

    async def _from_snapshot(self, head: Head, wanted: t.Mapping[str, str]) -> _Found:
        keys = [snapshot_key(head.snapshot, n) for n in range(head.snapshot_parts)]
        parts = await self._gather(keys)
        found: _Found = {}
        for part in parts:
            # A missing part was replaced by a newer snapshot; the head is read again.
            if part is None:
                continue
            for key, (ref, value) in part["objects"].items():
                if wanted.get(key) == ref:
                    found[key] = (ref, value)
        return found

    async def _read(self, wanted: t.Mapping[str, str]) -> _Found | None:
        keys = {key: object_key(key, ref) for key, ref in wanted.items()}
        if len(keys) >= _SCAN_FROM:
            entries = await self._store.scan("config/object/")
            stored = {entry.key: entry.value for entry in entries}
            values = [stored.get(key) for key in keys.values()]
        else:
            values = await self._gather(list(keys.values()))
        if any(value is None for value in values):
            return None
        pairs = zip(wanted.items(), values, strict=True)
        return {key: (ref, value["object"]) for (key, ref), value in pairs if value}

    async def _gather(self, keys: list[str]) -> list[dict[str, t.Any] | None]:
        gate = asyncio.Semaphore(_CONCURRENT_READS)

        async def read(key: str) -> dict[str, t.Any] | None:
            async with gate:
                entry = await self._store.get(key)
                return None if entry is None else entry.value

        return await asyncio.gather(*(read(key) for key in keys))


def split_snapshot(state: ConfigState, max_bytes: int) -> list[dict[str, t.Any]]:
    """Split a state into snapshot parts whose JSON stays below a size."""
    parts: list[dict[str, t.Any]] = [{}]
    size = 0
    for key, ref in sorted(state.refs.items()):
        value = tickets.encode_object(tickets.lookup(state.config, key))
        length = tickets.size_of(value) + len(key) + len(ref) + 16
        if size + length > max_bytes and parts[-1]:
            parts.append({})
            size = 0
        parts[-1][key] = [ref, value]
        size += length
    return [{"format": tickets.FORMAT, "objects": part} for part in parts]
