"""Head record of the configuration, and the configuration state of a process.

The head record is the single store entry whose replacement puts a ticket in force. It
holds the number of the last ticket and a reference to the stored value of each object.
A reference is a string ``<number>-<planned>-<digest>``: the number of the ticket that
set the object, and the suffix of the store key of its value.
"""

import typing as t
from dataclasses import dataclass, field, replace

from . import tickets
from .codes import Code
from .configuration import Configuration
from .exceptions import CallError

__all__ = [
    "HEAD_KEY",
    "MAX_VALUE_BYTES",
    "HISTORY_BLOCK",
    "HEAD_TICKETS",
    "AcceptedTicket",
    "ConfigState",
    "Delta",
    "Head",
    "history_key",
    "ticket_number",
    "object_key",
    "snapshot_key",
    "ticket_key",
]

HEAD_KEY = "config/head"
# The store accepts values of up to 1 MB, including its own framing.
MAX_VALUE_BYTES = 900_000
# Most tickets listed in the head. When the list is full, the oldest
# HISTORY_BLOCK of them move to a history block.
HEAD_TICKETS = 256
HISTORY_BLOCK = 128
_MAX_ENTRY_KEYS = 8


def object_key(key: str, ref: str) -> str:
    """Return the store key of an object's value, from its key and reference."""
    return f"config/object/{key}/{ref.split('-', 1)[1]}"


def ticket_key(uid: str) -> str:
    """Return the store key of the record of a ticket's uid."""
    return f"config/ticket/{uid}"


def history_key(number: int) -> str:
    """Return the store key of the history block for a ticket number."""
    return f"config/history/{(number - 1) // HISTORY_BLOCK * HISTORY_BLOCK + 1:010d}"


def snapshot_key(number: int, part: int) -> str:
    """Return the store key of one part of a snapshot."""
    return f"config/snapshot/{number:010d}/{part:04d}"


def ticket_number(ref: str) -> int:
    """Return the ticket number in a reference such as ``17-15-0a1b2c3d4e5f6071``."""
    return int(ref.split("-", 1)[0])


@dataclass(frozen=True, slots=True)
class AcceptedTicket:
    """Summary of an accepted ticket, as listed in the head and in the history.

    Attributes
    ----------
    at : float
        Time of acceptance, seconds since the Unix epoch.
    keys : tuple of str
        Keys of the first objects that the ticket changes.
    count : int
        Number of objects that the ticket changes.
    """

    number: int
    uid: str
    author: str
    at: float
    digest: str
    keys: tuple[str, ...]
    count: int
    note: str = ""

    @classmethod
    def from_ticket(
        cls, number: int, ticket: tickets.Ticket, digest: str, at: float
    ) -> "AcceptedTicket":
        """Return the entry of a ticket accepted under a number."""
        keys = tuple(ticket.object_keys())
        return cls(
            number,
            ticket.uid,
            ticket.author,
            at,
            digest,
            keys[:_MAX_ENTRY_KEYS],
            len(keys),
            ticket.note[:80],
        )

    @classmethod
    def from_json(cls, value: t.Mapping[str, t.Any]) -> "AcceptedTicket":
        """Return the entry encoded by `to_json`."""
        return cls(**{**value, "keys": tuple(value["keys"])})

    def to_json(self) -> dict[str, t.Any]:
        """Return a JSON value."""
        return {
            "number": self.number,
            "uid": self.uid,
            "author": self.author,
            "at": self.at,
            "digest": self.digest,
            "keys": list(self.keys),
            "count": self.count,
            "note": self.note,
        }


@dataclass(frozen=True, slots=True)
class Head:
    """Last ticket number and the reference of each object in force.

    Attributes
    ----------
    objects : mapping
        Object key to its reference, ``<number>-<planned>-<digest>``. The value is
        stored under the ticket number planned when it was first written, so that a
        ticket accepted under a later number need not write its values again. The
        digest keeps apart the values of two tickets that planned the same number.
    removed : mapping
        Key of a removed object to the number of the ticket that removed it.
    horizon : int
        `removed` may lack removals by tickets up to this number.
    tickets : tuple of AcceptedTicket
        Last accepted tickets, without gaps, oldest first.
    snapshot : int
        Ticket number of the last snapshot; 0 for none.
    snapshot_parts : int
        Number of store entries that hold the snapshot.
    """

    number: int = 0
    objects: t.Mapping[str, str] = field(default_factory=dict)
    removed: t.Mapping[str, int] = field(default_factory=dict)
    horizon: int = 0
    tickets: tuple[AcceptedTicket, ...] = ()
    snapshot: int = 0
    snapshot_parts: int = 0

    @classmethod
    def from_json(cls, value: t.Mapping[str, t.Any]) -> "Head":
        """Return the head encoded by `to_json`.

        Raises
        ------
        CallError
            `TICKET_INVALID` if the format is unknown.
        """
        if value.get("format") != tickets.FORMAT:
            detail = f"The head record has the unknown format {value.get('format')}."
            raise CallError(Code.TICKET_INVALID, detail)
        return cls(
            number=value["number"],
            objects=value["objects"],
            removed=value["removed"],
            horizon=value["horizon"],
            tickets=tuple(AcceptedTicket.from_json(item) for item in value["tickets"]),
            snapshot=value["snapshot"],
            snapshot_parts=value["snapshot_parts"],
        )

    def to_json(self) -> dict[str, t.Any]:
        """Return a JSON value."""
        return {
            "format": tickets.FORMAT,
            "number": self.number,
            "objects": dict(self.objects),
            "removed": dict(self.removed),
            "horizon": self.horizon,
            "tickets": [item.to_json() for item in self.tickets],
            "snapshot": self.snapshot,
            "snapshot_parts": self.snapshot_parts,
        }

    def last_change(self, key: str) -> int:
        """Return the number of the last ticket that changed an object; 0 if unknown."""
        if key in self.objects:
            return ticket_number(self.objects[key])
        return self.removed.get(key, 0)

    def entry_by_uid(self, uid: str) -> AcceptedTicket | None:
        """Return the entry of the ticket with a uid, or None if it is not listed."""
        for item in reversed(self.tickets):
            if item.uid == uid:
                return item
        return None

    def entry_by_number(self, number: int) -> AcceptedTicket | None:
        """Return the entry of a ticket number, or None if it is not listed."""
        if not self.tickets:
            return None
        index = number - self.tickets[0].number
        return self.tickets[index] if 0 <= index < len(self.tickets) else None

    def with_ticket(
        self, entry: AcceptedTicket, refs: t.Mapping[str, str | None]
    ) -> "Head":
        """Return the head after a ticket; a reference of None removes its object."""
        objects, removed = dict(self.objects), dict(self.removed)
        for key, ref in refs.items():
            if ref is None:
                objects.pop(key, None)
                removed[key] = entry.number
            else:
                objects[key] = ref
                removed.pop(key, None)
        return replace(
            self,
            number=entry.number,
            objects=objects,
            removed=removed,
            tickets=(*self.tickets, entry),
        )

    def full_block(self) -> tuple[AcceptedTicket, ...]:
        """Return the tickets to move to the history before the next one is added.

        The result is empty while the head has room for another ticket.
        """
        return self.tickets[:HISTORY_BLOCK] if len(self.tickets) >= HEAD_TICKETS else ()

    def without_full_block(self) -> "Head":
        """Return the head without the tickets of `full_block` and their removals."""
        kept = self.tickets[HISTORY_BLOCK:]
        horizon = kept[0].number - 1
        removed = {key: n for key, n in self.removed.items() if n > horizon}
        return replace(self, tickets=kept, removed=removed, horizon=horizon)


@dataclass(frozen=True, slots=True)
class Delta:
    """All objects changed by the tickets after `base`, up to `number`.

    Attributes
    ----------
    base : int
        Ticket number before the changes; 0 if `objects` is the complete state.
    objects : mapping
        Object key to its reference and JSON value; a value of None removes the object.
        The pair is a tuple, or a list after decoding from JSON.
    horizon : int
        Removals up to this number may be missing.
    """

    base: int
    number: int
    objects: t.Mapping[str, t.Any]
    horizon: int = 0


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Configuration and the reference of each of its objects.

    Attributes
    ----------
    removed : mapping
        Key of a removed object to the number of the ticket that removed it; complete
        for tickets after `horizon`.
    """

    config: Configuration = field(default_factory=Configuration)
    refs: t.Mapping[str, str] = field(default_factory=dict)
    removed: t.Mapping[str, int] = field(default_factory=dict)
    horizon: int = 0

    @property
    def number(self) -> int:
        """Number of the last ticket applied."""
        return self.config.number

    def delta(self, base: int) -> Delta:
        """Return the changes after ticket `base`, or the complete state.

        The complete state, with base 0, is returned if `base` is before `horizon` or
        after `number`.
        """
        base = base if self.horizon <= base <= self.number else 0
        objects: dict[str, tuple[str, dict[str, t.Any] | None]] = {}
        for key, ref in self.refs.items():
            if ticket_number(ref) > base:
                spec = tickets.lookup(self.config, key)
                objects[key] = (ref, tickets.encode_object(spec))
        for key, number in self.removed.items():
            if number > base:
                objects[key] = (f"{number}-", None)
        return Delta(base, self.number, objects, self.horizon)

    def apply_delta(self, delta: Delta) -> "ConfigState | None":
        """Return the state after a delta, or None if it cannot be applied.

        A delta applies to any state from its base up to its number, since it holds
        every change after its base. It cannot be applied if its base is newer than this
        state, which would leave a gap, or if its number is not newer.
        """
        if delta.number <= self.number or delta.base > self.number:
            return None
        if delta.base == 0:
            return ConfigState()._with_delta(delta)
        return self._with_delta(delta)

    def _with_delta(self, delta: Delta) -> "ConfigState":
        refs, removed = dict(self.refs), dict(self.removed)
        values: dict[str, dict[str, t.Any] | None] = {}
        for key, (ref, value) in delta.objects.items():
            if refs.get(key) == ref:
                continue
            values[key] = value
            if value is None:
                refs.pop(key, None)
                removed[key] = ticket_number(ref)
            else:
                refs[key] = ref
                removed.pop(key, None)
        horizon = max(self.horizon, delta.horizon)
        return ConfigState(
            tickets.with_objects(self.config, delta.number, values),
            refs,
            {key: n for key, n in removed.items() if n > horizon},
            horizon,
        )
