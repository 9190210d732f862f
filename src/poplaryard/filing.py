"""Progress and answers of a filing, in plain sentences."""

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
    "SPAN",
    "check_same",
    "check_size",
    "covers",
    "difference",
    "first_answer",
    "no_answer",
    "record_of",
]


# A record allows the numbers from each of its starts up to this many further; a repeat
# looks for its uid among them in two history blocks at most.
SPAN = 128


@dataclass(frozen=True, slots=True)
class FileResult:
    """Answer to a filed ticket.

    Attributes
    ----------
    number : int
        Number of the accepted ticket; 0 if it is not known to be accepted.
    detail : str
        Plain sentences for the operator.
    head : Head or None
        Head that holds the accepted ticket, for the rollout.
    """

    code: Code
    number: int = 0
    detail: str = ""
    accepted: AcceptedTicket | None = None
    head: Head | None = None

    @property
    def ok(self) -> bool:
        """Whether the ticket is accepted."""
        return self.code is Code.TICKET_ACCEPTED


@dataclass(slots=True)
class Filing:
    """Progress of one call of `Acceptance.file`.

    Attributes
    ----------
    uncertain : bool
        Whether a swap was sent that may still take effect.
    record : Entry or None
        Record of the uid, which also keeps the number that the first attempt saw.
    planned : int
        Number under which the objects were written; 0 if they were not yet.
    suffixes : dict
        Last part of the store key of each object; None for a removal.
    seen : int or None
        Last number when the filing began, if it had to wait.
    """

    ticket: Ticket
    digest: str
    objects: dict[str, dict[str, t.Any] | None]
    whole: dict[str, t.Any]
    uncertain: bool = False
    sent_version: int = -1
    record: Entry | None = None
    planned: int = 0
    suffixes: dict[str, str | None] = field(default_factory=dict)
    seen: int | None = None

    @property
    def base(self) -> int:
        """Number after which another change of the same object is a conflict."""
        return 0 if self.record is None else int(self.record.value["base"])


def covers(starts: t.Sequence[int], number: int) -> bool:
    """Tell whether a record allows an attempt under a number."""
    return any(start <= number < start + SPAN for start in starts)


def record_of(filing: Filing, head: Head, at: float) -> dict[str, t.Any]:
    """Return the uid's record, which allows the number that comes after a head."""
    number = head.number + 1
    if filing.record is not None:
        value = dict(filing.record.value)
        if not covers(value["starts"], number):
            value["starts"] = [*value["starts"], number]
        return value
    base = filing.ticket.based_on
    if base is None:
        base = head.number if filing.seen is None else filing.seen
    return {
        "format": tickets.FORMAT,
        "digest": filing.digest,
        "base": base,
        "starts": [number],
        "at": at,
        "ticket": filing.whole,
    }


def check_same(filing: Filing) -> None:
    """Refuse a uid whose record belongs to a different ticket."""
    if filing.record is not None and filing.record.value["digest"] != filing.digest:
        raise CallError(Code.TICKET_REUSED, _REUSED)


_REUSED = (
    "A different ticket was filed with this uid before. If this one is meant to be "
    "filed as well, give it a new uid."
)


def first_answer(filing: Filing, found: AcceptedTicket, head: Head) -> FileResult:
    """Return the answer to a uid that was accepted before."""
    if found.digest != filing.digest:
        return FileResult(Code.TICKET_REUSED, 0, _REUSED)
    return accepted_result(found, head)


def accepted_result(entry: AcceptedTicket, head: Head) -> FileResult:
    """Return the answer to an accepted ticket."""
    detail = f"The ticket is accepted as number {entry.number}."
    return FileResult(Code.TICKET_ACCEPTED, entry.number, detail, entry, head)


def no_answer(filing: Filing) -> FileResult:
    """Return the answer when the store does not answer."""
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
    objects: t.Mapping[str, dict[str, t.Any] | None], whole: dict[str, t.Any]
) -> None:
    """Refuse a ticket or an object that the store would not take."""
    if tickets.json_size(whole) > MAX_VALUE_BYTES:
        detail = f"The ticket is larger than {MAX_VALUE_BYTES // 1000} KB; split it."
        raise CallError(Code.TICKET_TOO_LARGE, detail)
    for key, value in objects.items():
        if tickets.json_size(value) > MAX_VALUE_BYTES:
            detail = f"{key} is larger than {MAX_VALUE_BYTES // 1000} KB; split it."
            raise CallError(Code.TICKET_TOO_LARGE, detail)


def difference(theirs: t.Any, ours: t.Any) -> str:
    """Return the fields in which two states of an object differ."""
    if theirs is None or ours is None:
        return ""
    parts = [
        f"{field} is now {_brief(theirs.get(field))} and this ticket says "
        f"{_brief(ours.get(field))}"
        for field in sorted(theirs.keys() | ours.keys())
        if theirs.get(field) != ours.get(field)
    ]
    return f" ({'; '.join(parts)})" if parts else " (to the same state)"


def _brief(value: t.Any) -> str:
    text = "not given" if value is None else str(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
