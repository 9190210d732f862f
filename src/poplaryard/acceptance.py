"""Acceptance of tickets by one compare-and-swap on the head record."""

import asyncio
import random
import typing as t

from . import tickets
from .clock import Clock
from .codes import Code
from .config_loader import Loader, load, read_head
from .exceptions import CallError, StoreConflict, StoreDown, StoreReplyLost
from .filing import (
    SPAN,
    FileResult,
    Filing,
    accepted_result,
    check_same,
    check_size,
    difference,
    first_answer,
    no_answer,
    record_of,
)
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
from .store import Store
from .tickets import Ticket

__all__ = ["Acceptance", "FileResult", "load"]

# Each round loses only to another accepted ticket or to a lost reply.
_ROUNDS = 30
_WRITE_TRIES = 3
# Objects written at once, and the pause after them. A ticket of many objects would
# otherwise use up the store's budget of several hundred writes/s for everything.
_GROUP_WRITES = 8
_GROUP_PAUSE_S = 0.08
# Mean pause before a retry; spreads the filers of a burst of 20 tickets/s.
_PAUSE_S = 0.01
# How long the text of a ticket and the answer to its uid are kept.
RETENTION_S = 30 * 86_400.0
_LEASE_SPAN_S = 3600.0


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
        objects = tickets.encode_changes(ticket)
        whole = ticket.model_dump(mode="json", exclude_unset=True)
        filing = Filing(ticket, tickets.digest(whole), objects, whole)
        try:
            check_size(objects, whole)
            if self._turn.locked() and ticket.based_on is None:
                # The author cannot have seen what is accepted while this one waits.
                filing.seen = (await read_head(self._store))[0].number
            async with self._turn:
                return await self._rounds(filing)
        except (StoreDown, StoreReplyLost):
            return no_answer(filing)
        except CallError as exc:
            return FileResult(exc.code, 0, exc.detail)

    async def _rounds(self, filing: Filing) -> FileResult:
        for attempt in range(_ROUNDS):
            if attempt:
                await asyncio.sleep(self._rng.uniform(0, 2 * _PAUSE_S))
            result = await self._round(filing)
            if result is not None:
                return result
        return no_answer(filing)

    async def _round(self, filing: Filing) -> FileResult | None:
        """Try once; None if the head was changed by another ticket meanwhile."""
        head, entry = await read_head(self._store)
        found = head.find(filing.ticket.uid)
        if found is None:
            await self._validate(filing, head)
            found = await self._claim_uid(filing, head)
        if found is not None:
            return first_answer(filing, found, head)
        version = 0 if entry is None else entry.version
        if version != filing.sent_version:
            # The head has moved on without this ticket: no swap sent can still apply.
            filing.uncertain = False
        await self._refuse_stale(filing, head)
        following = await self._prepare(filing, head)
        return await self._swap(filing, following, version)

    async def _validate(self, filing: Filing, head: Head) -> None:
        checked = (tickets.POLICY_KEY, "vm_group/")
        if not any(key.startswith(checked) for key in filing.objects):
            return
        state = await self.loader.refresh(head)
        if state.number == head.number:
            config = tickets.with_objects(state.config, head.number + 1, filing.objects)
            tickets.check_shards(state.config, config)
            tickets.check_vms(config)

    async def _claim_uid(self, filing: Filing, head: Head) -> Accepted | None:
        """Record under the uid from which number on it is tried.

        Returns the entry of an earlier attempt that was accepted and has already left
        the head's window.
        """
        key = ticket_key(filing.ticket.uid)
        for _ in range(_WRITE_TRIES):
            if filing.record is not None:
                check_same(filing)
                found = await self._accepted_before(filing, head)
                if found is not None:
                    return found
            value = record_of(filing, head, self._clock.wall())
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
                    self._lease.invalidate()
        raise StoreDown()

    async def _accepted_before(self, filing: Filing, head: Head) -> Accepted | None:
        """Return the entry of the uid if it is in the history behind the window."""
        assert filing.record is not None
        first = head.tickets[0].number if head.tickets else 1
        keys = {
            history_key(number): None
            for start in filing.record.value["starts"]
            for number in range(start, min(start + SPAN, first))
        }
        for key in keys:
            block = await self._store.get(key)
            if block is None:
                raise CallError(
                    Code.TICKET_REUSED,
                    "A ticket with this uid was filed so long ago that its outcome is "
                    "no longer known. Choose a new uid.",
                )
            for item in block.value["tickets"]:
                if item["uid"] == filing.ticket.uid:
                    return Accepted.from_json(item)
        return None

    async def _refuse_stale(self, filing: Filing, head: Head) -> None:
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

    async def _conflict(self, filing: Filing, head: Head, key: str) -> str:
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
            what = f"changed {key}{difference(theirs, filing.objects[key])}"
        return (
            f"{who} {what} after number {filing.base}, on which this ticket is based. "
            f"Nothing was changed by this ticket. Look at {key} as it is now, adapt "
            f"this ticket, and file it again with based_on {head.number} and a new uid."
        )

    async def _prepare(self, filing: Filing, head: Head) -> Head:
        """Write everything that the next head refers to, and return that head."""
        block = head.sealed_block()
        if block:
            await self._keep_block(block)
            head = head.without_block()
        number = head.number + 1
        if filing.planned <= head.snapshot:
            # Not written yet, or so long ago that the values may have been deleted.
            filing.planned = number
            await self._put_objects(filing)
        refs = {
            key: None if suffix is None else f"{number}-{suffix}"
            for key, suffix in filing.suffixes.items()
        }
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
                self._lease.invalidate()
        raise StoreDown()

    async def _put_objects(self, filing: Filing) -> None:
        writes = []
        for key, value in filing.objects.items():
            filing.suffixes[key] = None
            if value is not None:
                suffix = f"{filing.planned}-{tickets.digest(value)}"
                filing.suffixes[key] = suffix
                writes.append((f"config/object/{key}/{suffix}", value))
        for start in range(0, len(writes), _GROUP_WRITES):
            if start:
                await asyncio.sleep(_GROUP_PAUSE_S)
            group = writes[start : start + _GROUP_WRITES]
            await asyncio.gather(*(self._put_object(*write) for write in group))

    async def _put_object(self, key: str, value: dict[str, t.Any]) -> None:
        """Write an object; a value that stands under its key already is the same."""
        stored = {"format": tickets.FORMAT, "object": value}
        for _ in range(_WRITE_TRIES):
            try:
                await self._store.put_if(key, stored, 0)
                return
            except StoreConflict:
                return
            except StoreReplyLost:
                continue
        raise StoreDown()

    async def _swap(
        self, filing: Filing, following: Head, version: int
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
        return accepted_result(following.tickets[-1], following)
