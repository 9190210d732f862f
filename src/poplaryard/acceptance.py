"""Acceptance of tickets.

The objects of a ticket are written to the store first. A compare-and-swap of the head
record then accepts the ticket, which puts all of its objects in force at once.
"""

import asyncio
import random
import typing as t

from . import tickets
from .clock import Clock
from .codes import Code
from .config_loader import Loader, load, read_head
from .exceptions import CallError, StoreConflict, StoreDown, StoreReplyLost
from .filing import (
    UID_RANGE_TICKETS,
    FileResult,
    Filing,
    accepted_result,
    check_digest,
    check_size,
    describe_difference,
    repeat_result,
    uid_record,
    unavailable_result,
)
from .head import (
    HEAD_KEY,
    MAX_VALUE_BYTES,
    AcceptedTicket,
    Head,
    history_key,
    object_key,
    ticket_key,
)
from .retention import RetentionLease
from .store import Store
from .tickets import Ticket

__all__ = ["Acceptance", "FileResult", "load"]

# Attempts to swap the head for one ticket. An attempt fails only if another ticket is
# accepted first or a reply of the store is lost.
_ROUNDS = 30
_WRITE_TRIES = 3
# Objects written concurrently, and the pause between two such groups. Without it, a
# ticket of many objects would use up the several hundred writes/s that the store
# allows for all purposes.
_GROUP_WRITES = 8
_GROUP_PAUSE_S = 0.08
# Mean of the random pause before a retry. It spreads the attempts of the processes
# that file a burst of 20 tickets/s.
_RETRY_PAUSE_S = 0.01
# How long the uid record with the text of a ticket, and its history entry, are kept.
RETENTION_S = 30 * 86_400.0
_LEASE_SPAN_S = 3600.0


class Acceptance:
    """Files tickets in the store.

    Parameters
    ----------
    seed : int or None
        Seed of the pauses between retries.
    loader : Loader or None
        Loader of the process; sharing it saves reads of objects that it holds.
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
        # One filing at a time: concurrent ones would make each other's swap fail.
        self._lock = asyncio.Lock()
        self._lease = RetentionLease(store, clock, RETENTION_S, _LEASE_SPAN_S)
        self.loader = loader or Loader(store)

    async def file(self, ticket: Ticket) -> FileResult:
        """File a ticket and return the result.

        Errors of the ticket and failures of the store are returned, not raised.
        """
        objects = tickets.encode_changes(ticket)
        ticket_json = ticket.model_dump(mode="json", exclude_unset=True)
        filing = Filing(ticket, tickets.digest(ticket_json), objects, ticket_json)
        try:
            check_size(objects, ticket_json)
            if self._lock.locked() and ticket.based_on is None:
                # The ticket is based on the head as it is now: its author cannot have
                # seen the tickets that are accepted while this one waits.
                filing.number_seen = (await read_head(self._store))[0].number
            async with self._lock:
                return await self._file_with_retries(filing)
        except (StoreDown, StoreReplyLost):
            return unavailable_result(filing)
        except CallError as exc:
            return FileResult(exc.code, 0, exc.detail)

    async def _file_with_retries(self, filing: Filing) -> FileResult:
        for attempt in range(_ROUNDS):
            if attempt:
                await asyncio.sleep(self._rng.uniform(0, 2 * _RETRY_PAUSE_S))
            result = await self._try_once(filing)
            if result is not None:
                return result
        return unavailable_result(filing)

    async def _try_once(self, filing: Filing) -> FileResult | None:
        """Try to accept the ticket; return None if it must be tried again."""
        head, entry = await read_head(self._store)
        found = head.entry_by_uid(filing.ticket.uid)
        if found is None:
            await self._check_config(filing, head)
            found = await self._put_uid_record(filing, head)
        if found is not None:
            return repeat_result(filing, found, head)
        version = 0 if entry is None else entry.version
        if version != filing.sent_version:
            # The head has changed since and lacks this ticket, so no swap that was sent
            # for an earlier version can still succeed.
            filing.uncertain = False
        await self._check_base(filing, head)
        next_head = await self._prepare_head(filing, head)
        return await self._swap_head(filing, next_head, version)

    async def _check_config(self, filing: Filing, head: Head) -> None:
        """Raise `CallError` if the ticket breaks a rule for shards or VMs.

        Skipped if the state is already newer than `head`, as the swap then fails.
        """
        checked_prefixes = (tickets.POLICY_KEY, "vm_group/")
        if not any(key.startswith(checked_prefixes) for key in filing.objects):
            return
        state = await self.loader.refresh(head)
        if state.number == head.number:
            config = tickets.with_objects(state.config, head.number + 1, filing.objects)
            tickets.check_shards(state.config, config)
            tickets.check_vms(config)

    async def _put_uid_record(
        self, filing: Filing, head: Head
    ) -> AcceptedTicket | None:
        """Write the uid record, so that the ticket may be accepted after a head.

        Returns
        -------
        AcceptedTicket or None
            Entry of the ticket if an earlier attempt was accepted and the entry has
            already moved from the head to the history.
        """
        key = ticket_key(filing.ticket.uid)
        for _ in range(_WRITE_TRIES):
            if filing.record is not None:
                check_digest(filing)
                found = await self._find_in_history(filing, head)
                if found is not None:
                    return found
            value = uid_record(filing, head, self._clock.wall())
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

    async def _find_in_history(
        self, filing: Filing, head: Head
    ) -> AcceptedTicket | None:
        """Return the entry of the uid in the history, or None if it is not there.

        Raises
        ------
        CallError
            `TICKET_REUSED` if a history block that may list the uid has expired.
        """
        assert filing.record is not None
        first = head.tickets[0].number if head.tickets else 1
        keys = {
            history_key(number): None
            for start in filing.record.value["starts"]
            for number in range(start, min(start + UID_RANGE_TICKETS, first))
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
                    return AcceptedTicket.from_json(item)
        return None

    async def _check_base(self, filing: Filing, head: Head) -> None:
        """Raise `CallError` if an object was changed since the ticket's base."""
        base = filing.base
        if base > head.number:
            detail = f"The ticket is based on number {base}, but the last number is "
            raise CallError(Code.TICKET_INVALID, f"{detail}{head.number}.")
        for key in filing.objects:
            if head.last_change(key) > base:
                raise CallError(
                    Code.TICKET_CONFLICT, await self._conflict_detail(filing, head, key)
                )
            if base < head.horizon and key not in head.objects:
                detail = (
                    f"The ticket is based on number {base}, which is too old to tell "
                    f"whether {key} was removed since. Look at the configuration in "
                    f"force and file again with based_on {head.number} and a new uid."
                )
                raise CallError(Code.TICKET_CONFLICT, detail)

    async def _conflict_detail(self, filing: Filing, head: Head, key: str) -> str:
        """Return a message that names the conflicting change and the way to proceed."""
        number = head.last_change(key)
        winner = head.entry_by_number(number)
        who = f"Ticket {number}"
        if winner is not None:
            who += f" of {winner.author} ({winner.note or 'no note'})"
        if key not in head.objects:
            what = f"removed {key}"
        else:
            stored = await self._store.get(object_key(key, head.objects[key]))
            theirs = None if stored is None else stored.value["object"]
            what = f"changed {key}{describe_difference(theirs, filing.objects[key])}"
        return (
            f"{who} {what} after number {filing.base}, on which this ticket is based. "
            f"Nothing was changed by this ticket. Look at {key} as it is now, adapt "
            f"this ticket, and file it again with based_on {head.number} and a new uid."
        )

    async def _prepare_head(self, filing: Filing, head: Head) -> Head:
        """Write all values that the next head refers to, and return that head."""
        block = head.full_block()
        if block:
            await self._put_history_block(block)
            head = head.without_full_block()
        number = head.number + 1
        if filing.planned_number <= head.snapshot:
            # The values are not written yet, or compaction may have deleted them, as
            # it deletes values planned for numbers up to that of the snapshot.
            filing.planned_number = number
            await self._put_objects(filing)
        refs = {
            key: None if suffix is None else f"{number}-{suffix}"
            for key, suffix in filing.key_suffixes.items()
        }
        last = head.tickets[-1].at if head.tickets else 0.0
        at = max(self._clock.wall(), last)
        entry = AcceptedTicket.from_ticket(number, filing.ticket, filing.digest, at)
        return head.with_ticket(entry, refs)

    async def _put_history_block(self, block: t.Sequence[AcceptedTicket]) -> None:
        """Write the tickets that leave the head; they are kept for `RETENTION_S`."""
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
                # There is no block, so the conflict came from a lapsed lease, which
                # the store reports in the same way.
                self._lease.invalidate()
        raise StoreDown()

    async def _put_objects(self, filing: Filing) -> None:
        writes = []
        for key, value in filing.objects.items():
            filing.key_suffixes[key] = None
            if value is not None:
                suffix = f"{filing.planned_number}-{tickets.digest(value)}"
                filing.key_suffixes[key] = suffix
                writes.append((f"config/object/{key}/{suffix}", value))
        for start in range(0, len(writes), _GROUP_WRITES):
            if start:
                await asyncio.sleep(_GROUP_PAUSE_S)
            group = writes[start : start + _GROUP_WRITES]
            await asyncio.gather(*(self._put_object(*write) for write in group))

    async def _put_object(self, key: str, value: dict[str, t.Any]) -> None:
        """Write an object; an existing value is equal, since the key has its digest."""
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

    async def _swap_head(
        self, filing: Filing, next_head: Head, version: int
    ) -> FileResult | None:
        """Replace the head of a version; return None if that failed or is unknown."""
        value = next_head.to_json()
        if tickets.json_size(value) > MAX_VALUE_BYTES:
            detail = "There are too many objects for one head record; remove some."
            raise CallError(Code.TICKET_TOO_LARGE, detail)
        try:
            await self._store.put_if(HEAD_KEY, value, version)
        except StoreConflict:
            return None
        except StoreReplyLost:
            # The next attempt reads the head to see whether this swap took effect.
            # Repeating it is safe: it expects a version, so it succeeds at most once.
            filing.uncertain, filing.sent_version = True, version
            return None
        return accepted_result(next_head.tickets[-1], next_head)
