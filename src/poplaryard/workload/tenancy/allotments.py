"""Decisions of one partition's owner on its parts of the tenants' caps.

The store has one `Allotment` for each tenant. Each owner changes only the entries of
its own partition, with the last known revision as a condition, and starts tasks only
within the amount that is certainly granted in the store. `Allotments` performs no I/O
and reads no clock.
"""

import math
import random
import typing as t
from dataclasses import dataclass, field

from ...resources import ZERO, Resources
from ..records import Allotment
from .usage import Usage

__all__ = ["NO_LIMIT", "AllotmentWrite", "Allotments"]

# Amount that stands for a component without a limit; larger than any group of workers.
NO_LIMIT = 1 << 40
# Time without work after which an allotment is returned, in seconds (design notes).
IDLE_RETURN_S = 30.0
# Time between two checks of a tenant without an event, in seconds. Room that becomes
# free is noticed by these checks, sooner where others want room.
CHECK_PERIOD_S = 1.0
CONTENDED_CHECK_PERIOD_S = 0.25
# Room is taken ahead of need when more than this share of the allotment is in use.
REFILL_SHARE = 0.75
# Smallest increase ahead of need, as a share of the allotment: each is a store call.
MIN_REFILL_SHARE = 0.25
# Largest part of an allotment whose use ends at once for others that want room, as
# a share. They take it one after the other, and it is not used meanwhile. With all at
# once, a tenant with 100 tasks in one partition fell to 8 as 19 others got work.
RETURN_SHARE = 0.25
# Shortest time between two writes that change only the wanted amount, in seconds: one
# for a new request, one for other changes. Waiting amounts change with each task.
WANT_PERIOD_S = 0.5
WANT_UPDATE_PERIOD_S = 2.0
# Time without raising a recorded cap after another owner has lowered it, in seconds.
# One of both configurations is outdated; a newer one arrives within 2 s, the platform's
# limit being 3 s.
RAISE_PAUSE_S = 2.0
# Time for which an owner keeps more than an even part if that part is too small for
# one task, in seconds; a change of hands takes two round trips of about 0.2 s. It then
# takes nothing for one such time for each other owner that wants room, but at most
# `MAX_SKIPPED_TURNS` times: one of them may have crashed.
TURN_S = 2.0
MAX_SKIPPED_TURNS = 3
# Time for which an owner without runs of the tenant does not repair an unreadable
# record, in seconds, so that owners with runs enter these first. They notice the record
# within one round trip, at most about 1 s.
REPAIR_DELAY_S = 1.0
# Largest random pause after a write that was refused or not answered, in seconds: the
# first one, doubled with each failure up to the last one. Round trips take 4 ms to 1 s.
# It is longer after many conflicts, since only one owner can write a record in a round
# trip: 220 owners made 500 calls/s for 10 writes/s with the shorter limit. Owners that
# return room come first.
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.64
MAX_CONFLICT_BACKOFF_S = 2.0
MAX_RETURN_BACKOFF_S = 0.16

Amounts = tuple[int, int, int]
_NONE: Amounts = (0, 0, 0)


def _amounts(resources: Resources) -> Amounts:
    return resources.cpu_m, resources.mem_mb, resources.gpus


def _sum(parts: t.Mapping[str, Resources]) -> Amounts:
    total = ZERO
    for part in parts.values():
        total = total + part
    return _amounts(total)


@dataclass(frozen=True, slots=True, eq=False)
class AllotmentWrite:
    """Write of a tenant's record by the owner of a partition.

    Attributes
    ----------
    expected : int
        Revision that the record must have; 0 if it must not exist.
    record : Allotment
        New content.
    before, after : Resources
        Amounts granted to the partition before and after the write.
    urgent : bool
        Whether tasks wait for it.
    """

    tenant: str
    expected: int
    record: Allotment
    before: Resources
    after: Resources
    urgent: bool


@dataclass(slots=True, eq=False)
class _Account:
    """State of a tenant with a cap.

    `cap` is None if the tenant was never configured here. `pending` holds the writes
    that may still be carried out, or have been without this being known. `unit` is the
    least need of a task that lacked room since the last check, `last_need` that of the
    last task that was to start. No task starts beyond `ceiling` while others lack room.
    """

    cap: Resources | None = None
    record: Allotment | None = None
    expected: int = 0
    known_at: int = 0
    pending: list[AllotmentWrite] = field(default_factory=list)
    in_flight: bool = False
    granted: Amounts = _NONE
    others: Amounts = _NONE
    due_at: float = math.inf
    checked_at: float = -math.inf
    unit: Amounts = _NONE
    last_need: Amounts = _NONE
    ceiling: Amounts | None = None
    denied: bool = False
    idle_since: float | None = None
    wanted_at: float = -math.inf
    cap_fell: bool = False
    raise_at: float = -math.inf
    turn_began: float | None = None
    grows_from: float = -math.inf
    unreadable_since: float | None = None
    unaccounted: bool = False
    failures: int = 0
    pause_s: float = 0.0
    retry_at: float = -math.inf

    def limits(self) -> Amounts:
        """Return the cap; 0 for components without a limit."""
        if self.cap is not None:
            return _amounts(self.cap)
        return _amounts(self.record.cap) if self.record is not None else _NONE

    def in_force(self) -> Amounts:
        """Return the amounts that are granted whatever became of pending writes."""
        amounts = self.granted
        for write in self.pending:
            after = _amounts(write.after)
            amounts = (
                min(amounts[0], after[0]),
                min(amounts[1], after[1]),
                min(amounts[2], after[2]),
            )
        return amounts


@dataclass(frozen=True, slots=True)
class _Part:
    """One resource of a tenant in this partition at a check.

    Attributes
    ----------
    held : int
        Granted to this partition.
    limit, room : int
        The cap, and what it leaves to this partition.
    even : int
        Part of each partition that uses or wants the resource.
    used, waiting : int
        Use here, and need of waiting tasks.
    wanted : int
        What other partitions want.
    unit, task : int
        Need of a task that lacked room, if any, and of a usual task.
    """

    held: int
    limit: int
    room: int
    even: int
    used: int
    waiting: int
    wanted: int
    unit: int
    task: int

    @property
    def need(self) -> int:
        """Use and need of waiting tasks, within the cap."""
        return min(self.used + self.waiting, max(self.limit, self.used))

    @property
    def lack(self) -> int:
        """What others want beyond what is not granted."""
        return max(0, self.wanted - max(0, self.room - self.held))

    def grown(self) -> int:
        """Return what to hold if more is needed, else what is held."""
        # Use above `held` stands for workers that have not reported.
        grows = self.waiting or self.used <= self.held
        if not grows or self.need <= REFILL_SHARE * self.held:
            return self.held
        if self.used >= self.limit:
            return self.held
        # Leaves others what they want, but an even part or one task is always due.
        due = self.even if self.used else max(self.even, self.unit)
        allowed = min(self.room, max(due, self.room - self.wanted))
        spare = 0
        if not self.wanted:
            # Leaves others half of what is not granted.
            spare = min(self.need, max(0, self.room - self.need) // 2)
        new = min(self.need + spare, allowed)
        if new - self.held >= MIN_REFILL_SHARE * self.held or self.need > self.held:
            return max(self.held, new)
        return self.held

    def shrunk(self, turn_ends: bool) -> tuple[int, int]:
        """Return what to hold, and the use up to which tasks may start.

        Room of ended runs above an even part is returned in steps.
        """
        part = 0 if turn_ends else max(self.even, self.task)
        if self.held > part and not turn_ends:
            step = max(int(RETURN_SHARE * self.held), self.task)
            others_take = self.room - self.held > step
            part = max(part, self.held if others_take else self.held - step)
        ceiling = max(part, self.held - self.lack) if self.held > part else NO_LIMIT
        keep = max(self.used, min(self.need, part))
        return min(self.held, max(keep, self.held - self.lack)), ceiling


class Allotments:
    """Parts of the tenants' caps that the owner of one partition may use.

    Implements `CapLimits`. Until `loaded` is set, no task with a tenant may start.

    Parameters
    ----------
    partition : str
    rng : random.Random, optional
        Source of random pauses, so that owners do not repeat writes in step.

    Attributes
    ----------
    loaded : bool
        Whether all records have been read after the claim.
    next_due : float
        Time of the next check, in seconds; `plan` has nothing to do before it.
    wakes : bool
        Whether a task has lacked room since this was last reset.
    """

    def __init__(self, partition: str, rng: random.Random | None = None):
        self._partition = partition
        self._rng = rng or random.Random()
        self._accounts: dict[str, _Account] = {}
        self._configured = False
        self.loaded = False
        self.next_due = math.inf
        self.wakes = False

    # Events

    def configure(self, caps: t.Mapping[str, Resources]) -> None:
        """Set the caps by tenant; tenants that are not listed keep their last one."""
        for tenant, cap in caps.items():
            account = self._account(tenant)
            if account.cap == cap:
                continue
            if self._configured:
                # Runs of a component that had no limit were not entered in the record.
                old = _amounts(account.cap) if account.cap is not None else _NONE
                pairs = zip(old, _amounts(cap), strict=True)
                if any(new and not limit for limit, new in pairs):
                    account.unaccounted = True
            account.cap = cap
            self._set_due(account)
        self._configured = True

    def record_changed(
        self, tenant: str, record: Allotment | None, revision: int
    ) -> None:
        """Handle a record as of a revision; None if it does not exist.

        Older revisions than the last known one are ignored.
        """
        account = self._account(tenant)
        if revision <= account.known_at:
            return
        old = account.record
        account.known_at = revision
        account.record = record
        account.expected = revision if record is not None else 0
        # A write that expects another revision has been carried out or never will be.
        account.pending = [
            write for write in account.pending if write.expected == account.expected
        ]
        record = record or Allotment()
        account.granted = _amounts(record.granted.get(self._partition, ZERO))
        account.others = _sum(
            {
                name: part
                for name, part in record.granted.items()
                if name != self._partition
            }
        )
        if old is not None and any(
            0 < new < before <= limit
            for new, before, limit in zip(
                _amounts(record.cap), _amounts(old.cap), account.limits(), strict=True
            )
        ):
            account.cap_fell = True
        if record.readable:
            account.unreadable_since = None
        else:
            account.unaccounted = True
        wanted = record.wanted.get(self._partition, ZERO)
        if any(account.granted) or wanted != ZERO or account.denied:
            self._set_due(account)

    def written(self, writes: t.Iterable[AllotmentWrite], revision: int) -> None:
        """Handle that writes have been carried out at a revision."""
        for write in writes:
            account = self._answered(write)
            account.failures = 0
            account.unaccounted = False
            self.record_changed(write.tenant, write.record, revision)
            self._set_due(account)

    def in_doubt(self, writes: t.Iterable[AllotmentWrite]) -> None:
        """Handle that it is not known whether writes have been or will be done."""
        for write in writes:
            account = self._accounts[write.tenant]
            account.in_flight = False
            self._back_off(account, MAX_BACKOFF_S)

    def refused(
        self,
        writes: t.Iterable[AllotmentWrite],
        items: t.Mapping[str, tuple[Allotment | None, int]],
    ) -> None:
        """Handle that writes were not carried out and never will be.

        Parameters
        ----------
        items : mapping of str to tuple
            Known records by tenant, each with its revision.
        """
        for write in writes:
            account = self._answered(write)
            record, revision = items.get(write.tenant, (None, 0))
            if revision:
                self.record_changed(write.tenant, record, revision)
            if not revision:
                self._back_off(account, MAX_BACKOFF_S)
            elif account.expected != write.expected:
                # Others wait for what is returned.
                returns = write.after != write.before and write.after.fits_in(
                    write.before
                )
                longest_s = MAX_RETURN_BACKOFF_S if returns else MAX_CONFLICT_BACKOFF_S
                self._back_off(account, longest_s)
            else:
                # Another record of the transaction had changed.
                self._set_due(account)

    # Limits

    def available(self, tenant: str) -> Resources | None:
        """Return what the tenant may use here; None without a limit.

        Components without a limit are `NO_LIMIT`. After a cap was lowered, each
        partition has the same fraction of its entry.
        """
        if not tenant:
            return None
        account = self._accounts.get(tenant)
        limits = account.limits() if account is not None else _NONE
        if not any(limits):
            return None if self._is_unlimited(account) else ZERO
        account = t.cast(_Account, account)
        if not self.loaded:
            return ZERO
        parts = []
        for index, amount in enumerate(account.in_force()):
            limit = limits[index]
            total = account.granted[index] + account.others[index]
            if limit == 0:
                parts.append(NO_LIMIT)
            elif total > limit:
                parts.append(amount * max(0, limit) // total)
            else:
                parts.append(amount)
        return Resources(*parts)

    def may_start(self, tenant: str, used: Resources, need: Resources) -> bool:
        """Return whether `need` may be started beside what the tenant uses here.

        Nothing may be started while more is granted than the cap, so that the tenant's
        total only falls after its cap was lowered below it.
        """
        if not tenant:
            return True
        account = self._accounts.get(tenant)
        limits = account.limits() if account is not None else _NONE
        if not any(limits):
            return self._is_unlimited(account)
        account = t.cast(_Account, account)
        needs, uses = _amounts(need), _amounts(used)
        account.last_need = needs
        ceiling = account.ceiling
        fits = self.loaded
        for index, amount in enumerate(account.in_force()):
            if not limits[index] or not needs[index]:
                continue
            total = account.granted[index] + account.others[index]
            if total > limits[index] or uses[index] + needs[index] > amount:
                fits = False
            if ceiling and uses[index] + needs[index] > ceiling[index]:
                fits = False
        if not fits:
            self._note_denied(account, needs)
        return fits

    def _is_unlimited(self, account: _Account | None) -> bool:
        """Return whether a tenant without a known limit certainly has none.

        One that is no longer configured may have a recorded cap.
        """
        return self.loaded or (account is not None and account.cap is not None)

    def _note_denied(self, account: _Account, needs: Amounts) -> None:
        if not account.denied or needs < account.unit:
            account.unit = needs
        account.denied = True
        if account.in_flight:
            return
        due_at = account.checked_at + CONTENDED_CHECK_PERIOD_S
        if due_at < account.due_at:
            account.due_at = due_at
            self.next_due = min(self.next_due, due_at)
            self.wakes = True

    # Planning

    def plan(self, now: float, usage: t.Mapping[str, Usage]) -> list[AllotmentWrite]:
        """Return the writes that are due, the most urgent first.

        They bind at once: an amount that is to be returned may not be used any more.
        Each must be followed by `written`, `in_doubt` or `refused`.

        Parameters
        ----------
        now : float
            Time in seconds.
        usage : mapping of str to Usage
            Usage in this partition at this moment, by tenant.
        """
        if not self.loaded:
            return []
        writes = []
        for tenant, account in self._accounts.items():
            if account.due_at > now or account.in_flight:
                continue
            write = self._check(tenant, account, now, usage.get(tenant, Usage()))
            if write is not None:
                account.pending.append(write)
                account.in_flight = True
                account.due_at = math.inf
                writes.append(write)
        self.next_due = min(
            (
                account.due_at
                for account in self._accounts.values()
                if not account.in_flight
            ),
            default=math.inf,
        )
        writes.sort(key=lambda write: not write.urgent)
        return writes

    def postpone(self, writes: t.Iterable[AllotmentWrite]) -> None:
        """Handle that planned writes were not sent; they are planned again."""
        for write in writes:
            self._set_due(self._answered(write))

    def _check(
        self, tenant: str, account: _Account, now: float, usage: Usage
    ) -> AllotmentWrite | None:
        if account.pause_s:
            account.retry_at, account.pause_s = now + account.pause_s, 0.0
        if now < account.retry_at:
            account.due_at = account.retry_at
            return None
        if account.cap_fell:
            account.raise_at, account.cap_fell = now + RAISE_PAUSE_S, False
        # The first task that lacks room is served at once, others from time to time.
        waits = account.denied or usage.waiting != ZERO
        account.checked_at = now if waits else -math.inf
        unit, account.unit, account.denied = account.unit, _NONE, False
        account.ceiling = None
        record = account.record or Allotment()
        wanted_now = record.wanted.get(self._partition, ZERO)
        if not any(account.limits()):
            account.due_at = math.inf
            return None
        idle = usage == Usage()
        if idle and not (any(account.granted) or wanted_now != ZERO or account.pending):
            account.idle_since = None
            account.due_at = math.inf
            return None
        if not record.readable and usage.used == ZERO:
            if account.unreadable_since is None:
                account.unreadable_since = now
            if now < account.unreadable_since + REPAIR_DELAY_S:
                account.due_at = account.unreadable_since + REPAIR_DELAY_S
                return None
        if not idle:
            account.idle_since = None
        elif account.idle_since is None:
            account.idle_since = now
        after, wanted, contended = self._targets(account, usage, unit, now)
        account.due_at = now + (
            CONTENDED_CHECK_PERIOD_S if contended or any(wanted) else CHECK_PERIOD_S
        )
        changes_grant = after != account.granted
        if not (
            changes_grant
            or account.pending
            or self._wants_write(account, _amounts(wanted_now), wanted, now)
        ):
            return None
        if wanted != _amounts(wanted_now):
            account.wanted_at = now
        return AllotmentWrite(
            tenant,
            account.expected,
            self._new_record(account, after, wanted, now),
            Resources(*account.granted),
            Resources(*after),
            urgent=usage.waiting != ZERO,
        )

    def _targets(
        self, account: _Account, usage: Usage, unit: Amounts, now: float
    ) -> tuple[Amounts, Amounts, bool]:
        """Return the amounts to hold and to want, and whether others lack room."""
        record = account.record or Allotment()
        others_want = {
            name: part
            for name, part in record.wanted.items()
            if name != self._partition and part != ZERO
        }
        others_hold = {
            name
            for name, part in record.granted.items()
            if name != self._partition and part != ZERO
        }
        sharers = 1 + len(others_hold | set(others_want))
        wanted_by_others = _sum(others_want)
        limits, most = account.limits(), self._most(account, now)
        used, waiting = _amounts(usage.used), _amounts(usage.waiting)
        may_return_all = (
            account.idle_since is not None
            and now >= account.idle_since + IDLE_RETURN_S - 1e-9
        )
        task = unit if any(unit) else account.last_need
        turn_ends = self._turn_ends(account, most, task, sharers, others_want, now)
        may_not_grow = bool(others_want) and now < account.grows_from
        targets, ceiling, contended = [], [NO_LIMIT, NO_LIMIT, NO_LIMIT], False
        for index in range(3):
            if not limits[index]:
                targets.append(0)
                continue
            part = _Part(
                held=account.granted[index],
                limit=most[index],
                room=most[index] - account.others[index],
                even=most[index] // sharers,
                used=used[index],
                waiting=waiting[index],
                wanted=wanted_by_others[index],
                unit=unit[index],
                task=task[index],
            )
            contended = contended or part.lack > 0
            if part.held > part.room:
                # More is granted than the cap.
                target = min(part.held, part.used)
                if account.unaccounted:
                    target = max(target, min(part.used, part.limit))
            elif account.unaccounted and part.used > part.held:
                target = min(part.used, part.limit)
            elif may_return_all:
                target = 0
            else:
                target = part.held if may_not_grow else part.grown()
                if part.lack and target <= part.held:
                    target, ceiling[index] = part.shrunk(turn_ends)
            targets.append(target)
        if any(targets[i] > account.granted[i] for i in range(3)) and any(
            limits[i] and unit[i] and used[i] + unit[i] > targets[i] for i in range(3)
        ):
            # Not even one task would fit.
            least = used if account.unaccounted else account.granted
            targets = [
                min(targets[i], max(account.granted[i], least[i])) for i in range(3)
            ]
        account.ceiling = (ceiling[0], ceiling[1], ceiling[2])
        if turn_ends and any(targets[i] < account.granted[i] for i in range(3)):
            account.turn_began = None
            turns = min(len(others_want), MAX_SKIPPED_TURNS)
            account.grows_from = now + TURN_S * turns
        wanted = [0, 0, 0]
        if usage.waiting != ZERO and any(account.others):
            for index in range(3):
                if limits[index] and waiting[index] and used[index] < most[index]:
                    need = min(used[index] + waiting[index], most[index])
                    wanted[index] = max(0, need - targets[index])
        return (
            (targets[0], targets[1], targets[2]),
            (wanted[0], wanted[1], wanted[2]),
            contended,
        )

    def _turn_ends(
        self,
        account: _Account,
        most: Amounts,
        task: Amounts,
        sharers: int,
        others_want: t.Collection[str],
        now: float,
    ) -> bool:
        """Return whether this owner passes room on for which no even part is enough.

        If the cap holds fewer tasks than there are partitions with work, the owners
        take turns.
        """
        short = others_want and any(
            most[index] and most[index] // sharers < task[index] for index in range(3)
        )
        if not short or not any(account.granted):
            if not others_want:
                account.turn_began = None
            return False
        if account.turn_began is None:
            account.turn_began = now
        return now >= account.turn_began + TURN_S

    def _most(self, account: _Account, now: float) -> Amounts:
        """Return the cap for new grants.

        A configured cap above the recorded one counts once it is written, which the
        same write does, unless another owner has just lowered it.
        """
        limits = account.limits()
        if account.record is None or now >= account.raise_at:
            return max(0, limits[0]), max(0, limits[1]), max(0, limits[2])
        caps = _amounts(account.record.cap)
        first, second, third = (
            max(0, min(limit, cap) if cap else limit)
            for limit, cap in zip(limits, caps, strict=True)
        )
        return first, second, third

    def _wants_write(
        self, account: _Account, old: Amounts, new: Amounts, now: float
    ) -> bool:
        """Return whether a change of the wanted amounts alone is worth a write."""
        if old == new:
            return False
        if not any(old):
            return now >= account.wanted_at + WANT_PERIOD_S
        if now < account.wanted_at + WANT_UPDATE_PERIOD_S:
            return False
        return any(
            bool(a) != bool(b) or a > 2 * b or b > 2 * a
            for a, b in zip(old, new, strict=True)
        )

    def _new_record(
        self, account: _Account, after: Amounts, wanted: Amounts, now: float
    ) -> Allotment:
        old = account.record or Allotment()
        granted, wants = dict(old.granted), dict(old.wanted)
        for parts, amounts in ((granted, after), (wants, wanted)):
            parts.pop(self._partition, None)
            if any(amounts):
                parts[self._partition] = Resources(*amounts)
        totals, limits = _sum(granted), account.limits()
        cap = [
            max(most, total) if limit else 0
            for most, total, limit in zip(
                self._most(account, now), totals, limits, strict=True
            )
        ]
        return Allotment(Resources(*cap), granted, wants)

    # Helpers

    def _account(self, tenant: str) -> _Account:
        return self._accounts.setdefault(tenant, _Account())

    def _answered(self, write: AllotmentWrite) -> _Account:
        account = self._accounts[write.tenant]
        account.in_flight = False
        if write in account.pending:
            account.pending.remove(write)
        return account

    def _set_due(self, account: _Account) -> None:
        account.due_at = self.next_due = -math.inf

    def _back_off(self, account: _Account, longest_s: float) -> None:
        """Wait for a random time before the next write."""
        limit_s = min(longest_s, FIRST_BACKOFF_S * 2**account.failures)
        account.failures = min(account.failures + 1, 10)
        account.pause_s = max(account.pause_s, self._rng.uniform(0.0, limit_s))
        self._set_due(account)
