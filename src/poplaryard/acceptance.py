"""Acceptance of tickets by one compare-and-swap on the head record."""

import asyncio
import random
import typing as t
from dataclasses import dataclass

from . import tickets
from .clock import Clock
from .codes import Code
from .config_loader import Loader, load, read_head
from .exceptions import CallError, StoreConflict, StoreDown, StoreReplyLost
from .head import (
    HEAD_KEY,
    MAX_VALUE_BYTES,
    Accepted,
    Head,
    history_key,
    object_key,
    ticket_key,
)
from .retention import RetentionLease
from .store import Entry, Store
from .tickets import Ticket

__all__ = ["Acceptance", "FileResult", "load"]

# Each round loses only to another accepted ticket or to a lost reply.
_ROUNDS = 30
_WRITE_TRIES = 3
# Mean pause before a retry; spreads the filers of a burst of 20 tickets/s.
_PAUSE_S = 0.01
# How long the text of a ticket and the answer to its uid are kept.
RETENTION_S = 30 * 86_400.0
_LEASE_SPAN_S = 3600.0


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
    accepted: Accepted | None = None
    head: Head | None = None

    @property
    def ok(self) -> bool:
        """Whether the ticket is accepted."""
        return self.code is Code.TICKET_ACCEPTED


@dataclass(slots=True)
class _Filing:
    """Progress of one call of `Acceptance.file`.

    Attributes
    ----------
    uncertain : bool
        Whether a swap was sent that may still take effect.
    record : Entry or None
        Record of the uid, which also keeps the number that the first attempt saw.
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
    seen: int | None = None

    @property
    def base(self) -> int:
        """Number after which another change of the same object is a conflict."""
        return 0 if self.record is None else int(self.record.value["base"])


class Acceptance:
    """Files tickets.

    Parameters
    ----------
    seed : int or None
        Seed of the pauses between retries.
    loader : Loader or None
        Loader of the process, so that what it holds is not read twice.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        seed: int | None = None,
        loader: Loader | None = None,
    ):
        self._store = store
        self._clock = clock
        self._rng = random.Random(seed)
        # Filers of one process would only take the head from each other.
        self._turn = asyncio.Lock()
        self._lease = RetentionLease(store, clock, RETENTION_S, _LEASE_SPAN_S)
        self.loader = loader or Loader(store)

    async def file(self, ticket: Ticket) -> FileResult:
        """File a ticket and return what became of it; never raises for the store."""
        objects = tickets.changes_of(ticket)
        whole = ticket.model_dump(mode="json", exclude_unset=True)
        filing = _Filing(ticket, tickets.digest(whole), objects, whole)
        try:
            _check_size(objects, whole)
            if self._turn.locked() and ticket.based_on is None:
                # The author cannot have seen what is accepted while this one waits.
                filing.seen = (await read_head(self._store))[0].number
            async with self._turn:
                return await self._rounds(filing)
        except (StoreDown, StoreReplyLost):
            return _no_answer(filing)
        except CallError as exc:
            return FileResult(exc.code, 0, exc.detail)

    async def _rounds(self, filing: _Filing) -> FileResult:
        for attempt in range(_ROUNDS):
            if attempt:
                await asyncio.sleep(self._rng.uniform(0, 2 * _PAUSE_S))
            result = await self._round(filing)
            if result is not None:
                return result
        return _no_answer(filing)

    async def _round(self, filing: _Filing) -> FileResult | None:
        """Try once; None if the head was changed by another ticket meanwhile."""
        head, entry = await read_head(self._store)
        found = head.find(filing.ticket.uid)
        if found is None:
            await self._validate(filing, head)
            found = await self._claim_uid(filing, head)
        if found is not None:
            return _first_answer(filing, found, head)
        version = 0 if entry is None else entry.version
        if version != filing.sent_version:
            # The head has moved on without this ticket: no swap sent can still apply.
            filing.uncertain = False
        await self._refuse_stale(filing, head)
        following = await self._prepare(filing, head)
        return await self._swap(filing, following, version)

    async def _validate(self, filing: _Filing, head: Head) -> None:
        if not any(key.startswith("vm_group/") for key in filing.objects):
            return
        state = await self.loader.refresh(head)
        if state.number == head.number:
            config = tickets.with_objects(state.config, head.number + 1, filing.objects)
            tickets.check_vms(config)

    async def _claim_uid(self, filing: _Filing, head: Head) -> Accepted | None:
        """Record under the uid which number is tried next.

        Returns the entry of an earlier attempt that was accepted and has already left
        the head's window.
        """
        key = ticket_key(filing.ticket.uid)
        for _ in range(_WRITE_TRIES):
            if filing.record is not None:
                _check_same(filing)
                found = await self._accepted_before(filing, head)
                if found is not None:
                    return found
            value = _record(filing, head, self._clock.wall())
            if filing.record is not None and filing.record.value == value:
                return None
            version = 0 if filing.record is None else filing.record.version
            lease = await self._lease.current()
            try:
                filing.record = await self._store.put_if(key, value, version, lease)
                return None
            except (StoreConflict, StoreReplyLost):
                filing.record = await self._store.get(key)
                if filing.record is None:
                    self._lease.forget()
        raise StoreDown()

    async def _accepted_before(self, filing: _Filing, head: Head) -> Accepted | None:
        assert filing.record is not None
        for number in filing.record.value["numbers"]:
            if number > head.number or head.entry(number) is not None:
                continue  # not decided yet, or in the window and therefore not ours
            block = await self._store.get(history_key(number))
            if block is None:
                raise CallError(
                    Code.TICKET_REUSED,
                    "A ticket with this uid was filed so long ago that its outcome is "
                    "no longer known. Choose a new uid.",
                )
            for item in block.value["tickets"]:
                if item["number"] == number and item["uid"] == filing.ticket.uid:
                    return Accepted.from_json(item)
        return None

    async def _refuse_stale(self, filing: _Filing, head: Head) -> None:
        base = filing.base
        if base > head.number:
            detail = f"The ticket is based on number {base}, but the last number is "
            raise CallError(Code.TICKET_INVALID, f"{detail}{head.number}.")
        for key in filing.objects:
            if head.changed_at(key) > base:
                raise CallError(
                    Code.TICKET_CONFLICT, await self._conflict(filing, head, key)
                )
            if base < head.horizon and key not in head.objects:
                detail = (
                    f"The ticket is based on number {base}, which is too old to tell "
                    f"whether {key} was removed since. Look at the configuration in "
                    f"force and file again with based_on {head.number} and a new uid."
                )
                raise CallError(Code.TICKET_CONFLICT, detail)

    async def _conflict(self, filing: _Filing, head: Head, key: str) -> str:
        """Return who won, what changed, and how to proceed."""
        number = head.changed_at(key)
        winner = head.entry(number)
        who = f"Ticket {number}"
        if winner is not None:
            who += f" of {winner.author} ({winner.note or 'no note'})"
        if key not in head.objects:
            what = f"removed {key}"
        else:
            stored = await self._store.get(object_key(key, head.objects[key]))
            theirs = None if stored is None else stored.value["object"]
            what = f"changed {key}{_difference(theirs, filing.objects[key])}"
        return (
            f"{who} {what} after number {filing.base}, on which this ticket is based. "
            f"Nothing was changed by this ticket. Look at {key} as it is now, adapt "
            f"this ticket, and file it again with based_on {head.number} and a new uid."
        )

    async def _prepare(self, filing: _Filing, head: Head) -> Head:
        """Write everything that the next head refers to, and return that head."""
        block = head.sealed_block()
        if block:
            await self._keep_block(block)
            head = head.without_block()
        number = head.number + 1
        refs: dict[str, str | None] = {}
        for key, value in filing.objects.items():
            refs[key] = None
            if value is not None:
                refs[key] = ref = f"{number}-{tickets.digest(value)}"
                stored = {"format": tickets.FORMAT, "object": value}
                await self._put_once(object_key(key, ref), stored)
        last = head.tickets[-1].at if head.tickets else 0.0
        at = max(self._clock.wall(), last)
        entry = Accepted.of(number, filing.ticket, filing.digest, at)
        return head.followed_by(entry, refs)

    async def _keep_block(self, block: t.Sequence[Accepted]) -> None:
        """Write the tickets that leave the head, for as long as their uids count."""
        key = history_key(block[0].number)
        value = {"format": tickets.FORMAT, "tickets": [e.to_json() for e in block]}
        for _ in range(_WRITE_TRIES):
            lease = await self._lease.current()
            try:
                await self._store.put_if(key, value, 0, lease)
                return
            except (StoreConflict, StoreReplyLost):
                if await self._store.get(key) is not None:
                    return
                # A lapsed lease is refused in the same way as an existing key.
                self._lease.forget()
        raise StoreDown()

    async def _put_once(self, key: str, value: t.Any) -> None:
        """Write a value whose key determines it; one that exists is the same."""
        for _ in range(_WRITE_TRIES):
            try:
                await self._store.put_if(key, value, 0)
                return
            except StoreConflict:
                return
            except StoreReplyLost:
                continue
        raise StoreDown()

    async def _swap(
        self, filing: _Filing, following: Head, version: int
    ) -> FileResult | None:
        value = following.to_json()
        if tickets.size_of(value) > MAX_VALUE_BYTES:
            detail = "There are too many objects for one head record; remove some."
            raise CallError(Code.TICKET_TOO_LARGE, detail)
        try:
            await self._store.put_if(HEAD_KEY, value, version)
        except StoreConflict:
            return None
        except StoreReplyLost:
            # The next round reads back; the same swap can take effect only once.
            filing.uncertain, filing.sent_version = True, version
            return None
        return _accepted(following.tickets[-1], following)


def _record(filing: _Filing, head: Head, at: float) -> dict[str, t.Any]:
    number = head.number + 1
    if filing.record is not None:
        value = dict(filing.record.value)
        if number not in value["numbers"]:
            value["numbers"] = [*value["numbers"], number]
        return value
    base = filing.ticket.based_on
    if base is None:
        base = head.number if filing.seen is None else filing.seen
    return {
        "format": tickets.FORMAT,
        "digest": filing.digest,
        "base": base,
        "numbers": [number],
        "at": at,
        "ticket": filing.whole,
    }


def _check_same(filing: _Filing) -> None:
    if filing.record is not None and filing.record.value["digest"] != filing.digest:
        raise CallError(Code.TICKET_REUSED, _REUSED)


_REUSED = (
    "A different ticket was filed with this uid before. If this one is meant to be "
    "filed as well, give it a new uid."
)


def _first_answer(filing: _Filing, found: Accepted, head: Head) -> FileResult:
    if found.digest != filing.digest:
        return FileResult(Code.TICKET_REUSED, 0, _REUSED)
    return _accepted(found, head)


def _accepted(entry: Accepted, head: Head) -> FileResult:
    detail = f"The ticket is accepted as number {entry.number}."
    return FileResult(Code.TICKET_ACCEPTED, entry.number, detail, entry, head)


def _no_answer(filing: _Filing) -> FileResult:
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


def _check_size(
    objects: t.Mapping[str, dict[str, t.Any] | None], whole: dict[str, t.Any]
) -> None:
    if tickets.size_of(whole) > MAX_VALUE_BYTES:
        detail = f"The ticket is larger than {MAX_VALUE_BYTES // 1000} KB; split it."
        raise CallError(Code.TICKET_TOO_LARGE, detail)
    for key, value in objects.items():
        if tickets.size_of(value) > MAX_VALUE_BYTES:
            detail = f"{key} is larger than {MAX_VALUE_BYTES // 1000} KB; split it."
            raise CallError(Code.TICKET_TOO_LARGE, detail)


def _difference(theirs: t.Any, ours: t.Any) -> str:
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
