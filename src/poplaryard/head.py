"""Head record of the configuration and the state that a process holds of it."""

import typing as t
from dataclasses import dataclass, field, replace

from . import tickets
from .codes import Code
from .configuration import Configuration
from .exceptions import CallError

__all__ = [
    "HEAD_KEY",
    "MAX_VALUE_BYTES",
    "BLOCK",
    "WINDOW",
    "Accepted",
    "ConfigState",
    "Delta",
    "Head",
    "history_key",
    "number_of",
    "object_key",
    "snapshot_key",
    "ticket_key",
]

HEAD_KEY = "config/head"
# The store takes values of up to 1 MB; the rest is left for the store's own framing.
MAX_VALUE_BYTES = 900_000
# Tickets listed in the head, and how many move to a history block at once.
WINDOW = 256
BLOCK = 128
_SHOWN_KEYS = 8


def object_key(key: str, ref: str) -> str:
    """Return the store key of the state of an object that a reference names."""
    return f"config/object/{key}/{ref.split('-', 1)[1]}"


def ticket_key(uid: str) -> str:
    """Return the store key of the record of a ticket."""
    return f"config/ticket/{uid}"


def history_key(number: int) -> str:
    """Return the store key of the history block that holds a ticket number."""
    return f"config/history/{(number - 1) // BLOCK * BLOCK + 1:010d}"


def snapshot_key(number: int, part: int) -> str:
    """Return the store key of one part of a snapshot."""
    return f"config/snapshot/{number:010d}/{part:04d}"


def number_of(ref: str) -> int:
    """Return the ticket number in a reference such as ``17-15-0a1b2c3d4e5f6071``."""
    return int(ref.split("-", 1)[0])


@dataclass(frozen=True, slots=True)
class Accepted:
    """Entry of an accepted ticket.

    Attributes
    ----------
    at : float
        Time of acceptance, seconds since the Unix epoch.
    keys : tuple of str
        First objects that the ticket touches; `count` tells how many there are.
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
    def of(
        cls, number: int, ticket: tickets.Ticket, digest: str, at: float
    ) -> "Accepted":
        """Return the entry of a ticket."""
        keys = tuple(ticket.object_keys())
        return cls(
            number,
            ticket.uid,
            ticket.author,
            at,
            digest,
            keys[:_SHOWN_KEYS],
            len(keys),
            ticket.note[:80],
        )

    @classmethod
    def from_json(cls, value: t.Mapping[str, t.Any]) -> "Accepted":
        """Return the entry that `to_json` gave."""
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
    """Last ticket number and, for each object, the ticket in force.

    Attributes
    ----------
    objects : mapping
        Object key to a reference, ``<number>-<planned>-<digest>``. The value stands
        under the number that was planned when it was first written, so that a lost
        race needs no second write. The digest keeps a loser's value from replacing
        the winner's under the same number.
    removed : mapping
        Removed object key to the number of the removing ticket.
    horizon : int
        Removals up to this number may have been dropped from `removed`.
    snapshot : int
        Number of the snapshot; 0 for none.
    """

    number: int = 0
    objects: t.Mapping[str, str] = field(default_factory=dict)
    removed: t.Mapping[str, int] = field(default_factory=dict)
    horizon: int = 0
    tickets: tuple[Accepted, ...] = ()
    snapshot: int = 0
    snapshot_parts: int = 0

    @classmethod
    def from_json(cls, value: t.Mapping[str, t.Any]) -> "Head":
        """Return the head that `to_json` gave.

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
            tickets=tuple(Accepted.from_json(item) for item in value["tickets"]),
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

    def changed_at(self, key: str) -> int:
        """Return the number of the last ticket that set or removed an object."""
        if key in self.objects:
            return number_of(self.objects[key])
        return self.removed.get(key, 0)

    def find(self, uid: str) -> Accepted | None:
        """Return the entry of a ticket in the window."""
        for item in reversed(self.tickets):
            if item.uid == uid:
                return item
        return None

    def entry(self, number: int) -> Accepted | None:
        """Return the entry with a number, if it is in the window."""
        if not self.tickets:
            return None
        index = number - self.tickets[0].number
        return self.tickets[index] if 0 <= index < len(self.tickets) else None

    def followed_by(self, entry: Accepted, refs: t.Mapping[str, str | None]) -> "Head":
        """Return the head after a ticket; a reference of None removes the object."""
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

    def sealed_block(self) -> tuple[Accepted, ...]:
        """Return the tickets that must move to history before the next one fits."""
        return self.tickets[:BLOCK] if len(self.tickets) >= WINDOW else ()

    def without_block(self) -> "Head":
        """Return the head without its sealed block and without old removals."""
        kept = self.tickets[BLOCK:]
        horizon = kept[0].number - 1
        removed = {key: at for key, at in self.removed.items() if at > horizon}
        return replace(self, tickets=kept, removed=removed, horizon=horizon)


@dataclass(frozen=True, slots=True)
class Delta:
    """All objects changed after `base`, up to `number`, as JSON values.

    Attributes
    ----------
    objects : mapping
        Object key to its reference and value; a value of None removes the object. The
        pair is a list once it was sent to a peer.
    """

    base: int
    number: int
    objects: t.Mapping[str, t.Any]
    horizon: int = 0


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Configuration in force with the reference of each object.

    Attributes
    ----------
    removed : mapping
        Removed object key to its ticket number, complete after `horizon`.
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
        """Return what a holder of `base` needs; a whole state if `base` is too old."""
        base = base if self.horizon <= base <= self.number else 0
        objects: dict[str, tuple[str, dict[str, t.Any] | None]] = {}
        for key, ref in self.refs.items():
            if number_of(ref) > base:
                spec = tickets.lookup(self.config, key)
                objects[key] = (ref, tickets.encode_object(spec))
        for key, at in self.removed.items():
            if at > base:
                objects[key] = (f"{at}-", None)
        return Delta(base, self.number, objects, self.horizon)

    def after(self, delta: Delta) -> "ConfigState | None":
        """Return the state after a delta, or None if it leaves a gap or is not newer.

        A delta from an older base holds every later change as well, so that it may be
        applied to any state between its base and its number.
        """
        if delta.number <= self.number or delta.base > self.number:
            return None
        if delta.base == 0:
            return ConfigState()._apply(delta)
        return self._apply(delta)

    def _apply(self, delta: Delta) -> "ConfigState":
        refs, removed = dict(self.refs), dict(self.removed)
        values: dict[str, dict[str, t.Any] | None] = {}
        for key, (ref, value) in delta.objects.items():
            if refs.get(key) == ref:
                continue
            values[key] = value
            if value is None:
                refs.pop(key, None)
                removed[key] = number_of(ref)
            else:
                refs[key] = ref
                removed.pop(key, None)
        horizon = max(self.horizon, delta.horizon)
        return ConfigState(
            tickets.with_objects(self.config, delta.number, values),
            refs,
            {key: at for key, at in removed.items() if at > horizon},
            horizon,
        )
