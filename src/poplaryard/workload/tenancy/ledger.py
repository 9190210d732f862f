"""Store calls for the allotments of one partition's owner."""

import asyncio
import typing as t

from ...clock import Clock
from ...exceptions import LeaseLost, StoreDown, StoreReplyLost
from ...logs import logger
from ...resources import Resources
from ...waiting import wait_until_set
from .. import records
from ..jobtable import JobTable
from ..meters import Meters
from ..model import Tenant
from ..storage import MAX_TRANSACTION_ENTRIES, Change, Item, Storage, Transaction
from ..watching import PrefixWatcher
from .allotments import Allotments, AllotmentWrite
from .usage import Usage

__all__ = ["AllotmentLedger", "LimitedPartition"]

# Time between two rounds, in seconds (design notes); shorter than most round trips.
ROUND_GAP_S = 0.05
# Transactions in flight at a time. A late answer delays only the tenants that it is
# about, and few tenants change at once.
MAX_CALLS = 4
# Records in one transaction: each takes an expectation and a write, and the claim is
# expected too.
MAX_BATCH = (MAX_TRANSACTION_ENTRIES - 1) // 2
# Longest wait of a watch call, and pause after changes, in seconds. Each owner pays for
# one call at a time, also when nothing changes.
WATCH_WAIT_S = 2.0
WATCH_PAUSE_S = 0.05
# Time between two log lines on the moves of a tenant, in seconds (design notes).
LOG_PERIOD_S = 5.0


class LimitedPartition(t.Protocol):
    """Part of `Partition` that the rounds use."""

    def tenant_usage(self, now: float) -> dict[str, Usage]:
        """Return the usage by tenant."""


class AllotmentLedger:
    """Reads, watches and writes the allotments of one partition.

    Does nothing while no tenants are configured.

    Parameters
    ----------
    group : str
        The partition.
    claim_revision : int
        Revision of the owner's claim; writes fail if the claim has changed.
    storage : Storage
    clock : Clock
    meters : Meters
    tenants : callable
        Returns the configured tenants by name.
    on_room : callable
        Called when the partition may have got room.
    on_replaced : callable
        Called when another process owns the partition.
    """

    def __init__(
        self,
        group: str,
        claim_revision: int,
        storage: Storage,
        clock: Clock,
        meters: Meters,
        tenants: t.Callable[[], t.Mapping[str, Tenant]],
        on_room: t.Callable[[], None],
        on_replaced: t.Callable[[], None],
    ):
        self._group = group
        self._claim_revision = claim_revision
        self._storage = storage
        self._clock = clock
        self._meters = meters
        self._tenants = tenants
        self._on_room = on_room
        self._on_replaced = on_replaced
        self._applied: t.Mapping[str, Tenant] | None = None
        self._partition: LimitedPartition | None = None
        self._wake = asyncio.Event()
        self._calls = asyncio.Semaphore(MAX_CALLS)
        self._batch = MAX_BATCH
        self._logged_at: dict[str, float] = {}
        self._unreadable: set[str] = set()
        self.allotments = Allotments(group)

    def tenants_changed(self, partition: JobTable) -> bool:
        """Apply the tenants if they have changed; return True if `run` must start."""
        tenants = self._tenants()
        if tenants is self._applied or not (tenants or self._partition):
            return False
        self._applied = tenants
        partition.configure_tenants(tenants)
        self.allotments.configure({name: found.cap for name, found in tenants.items()})
        starts = self._partition is None
        self._partition = t.cast(LimitedPartition, partition)
        partition.caps = self.allotments
        self._wake.set()
        return starts

    def pass_ended(self) -> None:
        """Start a round if a task lacked room in a scheduling pass."""
        if self.allotments.wakes:
            self.allotments.wakes = False
            self._wake.set()

    async def run(self) -> None:
        """Watch the records and make rounds until cancelled."""
        watch = PrefixWatcher(
            self._storage,
            records.allotment_prefix(),
            self._record_changed,
            wait_s=WATCH_WAIT_S,
            pause_s=WATCH_PAUSE_S,
        )
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(watch.run())
            await watch.loaded.wait()
            self.allotments.loaded = True
            self._on_room()
            while True:
                self._wake.clear()
                await self._round(tasks)
                await asyncio.sleep(ROUND_GAP_S)
                left_s = self.allotments.next_due - self._clock.now()
                if left_s > 0:
                    await wait_until_set(self._wake, min(left_s, WATCH_WAIT_S))

    async def _round(self, tasks: asyncio.TaskGroup) -> None:
        if self._calls.locked():
            async with self._calls:
                # All calls were in flight; usage is read after one has been answered.
                pass
        now = self._clock.now()
        if self.allotments.next_due > now:
            return
        usage = t.cast(LimitedPartition, self._partition).tenant_usage(now)
        writes = self.allotments.plan(now, usage)
        while writes and not self._calls.locked():
            batch, writes = writes[: self._batch], writes[self._batch :]
            await self._calls.acquire()
            tasks.create_task(self._commit(batch))
        self.allotments.postpone(writes)

    async def _commit(self, writes: list[AllotmentWrite]) -> None:
        try:
            await self._send(writes)
        finally:
            self._calls.release()
            self._wake.set()

    async def _send(self, writes: list[AllotmentWrite]) -> None:
        claim_key = records.claim_key(self._group)
        keys = {write.tenant: records.allotment_key(write.tenant) for write in writes}
        transaction = Transaction(expected={claim_key: self._claim_revision})
        for write in writes:
            key = keys[write.tenant]
            transaction.expected[key] = write.expected
            transaction.puts.append((key, records.encode_allotment(write.record), 0))
        try:
            found = await self._storage.commit(transaction)
        except (StoreDown, LeaseLost) as exc:
            self._log_failure(exc.detail, len(writes))
            self.allotments.refused(writes, {})
            return
        except StoreReplyLost as exc:
            self._meters.count("poplaryard_allotment_replies_lost_total")
            self._log_failure(exc.detail, len(writes))
            self.allotments.in_doubt(writes)
            return
        if isinstance(found, int):
            self._batch = min(MAX_BATCH, 2 * self._batch)
            self.allotments.written(writes, found)
            for write in writes:
                self._report_move(write)
            self._on_room()
            return
        present = {item.key: item for item in found if item is not None}
        claim = present.get(claim_key)
        if claim is None or claim.revision != self._claim_revision:
            logger.warning("group has another owner", extra={"group": self._group})
            self.allotments.refused(writes, {})
            self._on_replaced()
            return
        # Smaller transactions conflict less often.
        self._batch = max(1, self._batch // 2)
        items = {
            tenant: self._decode(tenant, present[key])
            for tenant, key in keys.items()
            if key in present
        }
        self.allotments.refused(writes, items)
        self._on_room()

    def _log_failure(self, reason: str, count: int) -> None:
        extra = {"group": self._group, "tenants": count, "reason": reason}
        logger.warning("allotments not written", extra=extra)

    def _record_changed(self, change: Change) -> None:
        tenant = change.key.removeprefix(records.allotment_prefix())
        if change.item is None:
            self.allotments.record_changed(tenant, None, change.revision)
        else:
            record, revision = self._decode(tenant, change.item)
            self.allotments.record_changed(tenant, record, revision)
        if self.allotments.next_due <= self._clock.now():
            self._wake.set()

    def _decode(self, tenant: str, item: Item) -> tuple[records.Allotment, int]:
        record = records.decode_allotment(item.value)
        if record.readable:
            self._unreadable.discard(tenant)
        elif tenant not in self._unreadable:
            self._unreadable.add(tenant)
            extra = {"key": item.key, "revision": item.revision}
            logger.error("unreadable allotment", extra=extra)
        return record, item.revision

    def _report_move(self, write: AllotmentWrite) -> None:
        if write.before == write.after:
            return
        direction = "returned" if write.after.fits_in(write.before) else "taken"
        self._meters.count("poplaryard_allotment_moves_total", direction)
        now = self._clock.now()
        if now < self._logged_at.get(write.tenant, -LOG_PERIOD_S) + LOG_PERIOD_S:
            return
        self._logged_at[write.tenant] = now
        extra = {
            "group": self._group,
            "tenant": write.tenant,
            "before": _text(write.before),
            "after": _text(write.after),
        }
        logger.info(f"allotment {direction}", extra=extra)


def _text(amount: Resources) -> str:
    return f"{amount.cpu_m}m {amount.mem_mb}MB {amount.gpus}GPU"
