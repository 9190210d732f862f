"""State of the filing of a ticket, and the results returned to the operator."""

import typing as t
from dataclasses import dataclass, field

from . import tickets
from .codes import Code
from .exceptions import CallError
from .head import MAX_VALUE_BYTES, AcceptedTicket, Head
from .store import Entry
from .tickets import Ticket

__all__ = [
    "FileResult",
    "Filing",
    "accepted_result",
    "UID_RANGE_TICKETS",
    "check_digest",
    "check_size",
    "allows_number",
    "describe_difference",
    "repeat_result",
    "unavailable_result",
    "uid_record",
]


# Ticket numbers in each range of a uid record. The record lists the starts of the
# ranges in which the ticket may have been accepted. Since a range is no longer than a
# history block, a search for the uid reads at most two blocks per range.
UID_RANGE_TICKETS = 128


@dataclass(frozen=True, slots=True)
class FileResult:
    """Result of filing a ticket.

    Attributes
    ----------
    number : int
        Number of the accepted ticket; 0 if it is not known to be accepted.
    detail : str
        Sentences for the operator.
    accepted : AcceptedTicket or None
        Entry of the accepted ticket.
    head : Head or None
        Head that includes the accepted ticket; the rollout loads it at once.
    """

    code: Code
    number: int = 0
    detail: str = ""
    accepted: AcceptedTicket | None = None
    head: Head | None = None

    @property
    def ok(self) -> bool:
        """Whether the ticket was accepted."""
        return self.code is Code.TICKET_ACCEPTED


@dataclass(slots=True)
class Filing:
    """State of one call of `Acceptance.file`.

    Attributes
    ----------
    objects : dict
        Object key to its new value in stored form; None for a removal.
    ticket_json : dict
        The ticket as a JSON value; `digest` is its digest.
    uncertain : bool
        Whether a swap of the head was sent that may have taken effect or still may.
    sent_version : int
        Version of the head that the last such swap expected.
    record : Entry or None
        Uid record in the store; see `uid_record`.
    planned_number : int
        Ticket number in the store keys of the written objects; 0 if none are written.
    key_suffixes : dict
        Object key to the last part of the store key of its value; None for a removal.
    number_seen : int or None
        Last ticket number before this filing waited for another; None without a wait.
    """

    ticket: Ticket
    digest: str
    objects: dict[str, dict[str, t.Any] | None]
    ticket_json: dict[str, t.Any]
    uncertain: bool = False
    sent_version: int = -1
    record: Entry | None = None
    planned_number: int = 0
    key_suffixes: dict[str, str | None] = field(default_factory=dict)
    number_seen: int | None = None

    @property
    def base(self) -> int:
        """Ticket number after which another change of the same object is a conflict."""
        return 0 if self.record is None else int(self.record.value["base"])


def allows_number(starts: t.Sequence[int], number: int) -> bool:
    """Return whether a ticket number is in one of the ranges of a uid record."""
    return any(start <= number < start + UID_RANGE_TICKETS for start in starts)


def uid_record(filing: Filing, head: Head, at: float) -> dict[str, t.Any]:
    """Return the uid record for an attempt to accept the ticket after a head.

    The record holds the digest of the ticket, the number that it is based on, and the
    starts of the ranges of numbers under which it was tried. One of them contains the
    number after the head.
    """
    number = head.number + 1
    if filing.record is not None:
        value = dict(filing.record.value)
        if not allows_number(value["starts"], number):
            value["starts"] = [*value["starts"], number]
        return value
    base = filing.ticket.based_on
    if base is None:
        base = head.number if filing.number_seen is None else filing.number_seen
    return {
        "format": tickets.FORMAT,
        "digest": filing.digest,
        "base": base,
        "starts": [number],
        "at": at,
        "ticket": filing.ticket_json,
    }


def check_digest(filing: Filing) -> None:
    """Raise `CallError` if the uid record is that of a different ticket."""
    if filing.record is not None and filing.record.value["digest"] != filing.digest:
        raise CallError(Code.TICKET_REUSED, _REUSED_DETAIL)


_REUSED_DETAIL = (
    "A different ticket was filed with this uid before. If this one is meant to be "
    "filed as well, give it a new uid."
)


def repeat_result(filing: Filing, found: AcceptedTicket, head: Head) -> FileResult:
    """Return the result for a uid under which a ticket was accepted before."""
    if found.digest != filing.digest:
        return FileResult(Code.TICKET_REUSED, 0, _REUSED_DETAIL)
    return accepted_result(found, head)


def accepted_result(entry: AcceptedTicket, head: Head) -> FileResult:
    """Return the result for an accepted ticket."""
    detail = f"The ticket is accepted as number {entry.number}."
    return FileResult(Code.TICKET_ACCEPTED, entry.number, detail, entry, head)


def unavailable_result(filing: Filing) -> FileResult:
    """Return the result if the store does not answer."""
    if filing.uncertain:
        detail = (
            "The store stopped answering while the ticket was being accepted. File the "
            "same ticket again, with the same uid, to learn whether it was accepted."
        )
        return FileResult(Code.TICKET_UNKNOWN, 0, detail)
    detail = (
        "The store does not answer, so the ticket is not accepted and nothing has "
        "changed. File it again later."
    )
    return FileResult(Code.TICKET_NOT_ACCEPTED, 0, detail)


def check_size(
    objects: t.Mapping[str, dict[str, t.Any] | None], ticket_json: dict[str, t.Any]
) -> None:
    """Raise `CallError` if the ticket or an object is too large for the store."""
    if tickets.json_size(ticket_json) > MAX_VALUE_BYTES:
        detail = f"The ticket is larger than {MAX_VALUE_BYTES // 1000} KB; split it."
        raise CallError(Code.TICKET_TOO_LARGE, detail)
    for key, value in objects.items():
        if tickets.json_size(value) > MAX_VALUE_BYTES:
            detail = f"{key} is larger than {MAX_VALUE_BYTES // 1000} KB; split it."
            raise CallError(Code.TICKET_TOO_LARGE, detail)


def describe_difference(theirs: t.Any, ours: t.Any) -> str:
    """Return a text that lists the fields in which two object values differ."""
    if theirs is None or ours is None:
        return ""
    parts = [
        f"{field} is now {_shorten(theirs.get(field))} and this ticket says "
        f"{_shorten(ours.get(field))}"
        for field in sorted(theirs.keys() | ours.keys())
        if theirs.get(field) != ours.get(field)
    ]
    return f" ({'; '.join(parts)})" if parts else " (to the same state)"


def _shorten(value: t.Any) -> str:
    text = "not given" if value is None else str(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
