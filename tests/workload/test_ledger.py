"""Tests of the store calls for allotments, with faults of the store."""

import asyncio
import contextlib
import logging

import pytest

from poplaryard.clock import SystemClock
from poplaryard.resources import ZERO
from poplaryard.workload import records
from poplaryard.workload.meters import Meters
from poplaryard.workload.model import Tenant
from poplaryard.workload.partition import Partition
from poplaryard.workload.storage import MAX_TRANSACTION_ENTRIES, Transaction
from poplaryard.workload.tenancy.ledger import AllotmentLedger
from poplaryard.workload.tenancy.usage import Unlimited, Usage
from tests.workload.allotment_sim import task
from tests.workload.fakes import MemoryStorage
from tests.workload.test_owner import OwnerFixture, until

TENANTS = {"t1": Tenant("t1", cap=task(10_000))}
KEY = records.allotment_key("t1")


class RecordingStorage(MemoryStorage):
    """Store that keeps the transactions and the prefixes that are read."""

    def __init__(self):
        super().__init__()
        self.transactions = []
        self.prefixes = set()
        self.forgets_history = False

    async def watch(self, prefix, after, wait_s):
        if self.forgets_history:
            self.forgets_history = False
            return None
        return await super().watch(prefix, after, min(wait_s, 0.1))

    async def commit(self, transaction):
        self.transactions.append(transaction)
        return await super().commit(transaction)

    async def scan(self, prefix):
        self.prefixes.add(prefix)
        return await super().scan(prefix)


class SimPartition:
    """Partition with given usage."""

    def __init__(self):
        self.caps = Unlimited()
        self.usage = {}
        self.tenants = None

    def configure_tenants(self, tenants):
        self.tenants = tenants

    def tenant_usage(self, now):
        return self.usage


class LedgerFixture:
    """Ledger of the partition "desk" with its claim."""

    def __init__(self, storage, tenants=TENANTS):
        self.storage = storage
        self.tenants = tenants
        self.partition = SimPartition()
        self.meters = Meters()
        self.replaced = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running(self):
        key = records.claim_key("desk")
        claim = await self.storage.commit(Transaction(puts=[(key, b"p1", 0)]))
        self.ledger = AllotmentLedger(
            "desk",
            claim,
            self.storage,
            SystemClock(),
            self.meters,
            lambda: self.tenants,
            lambda: None,
            self.replaced.set,
        )
        assert self.ledger.tenants_changed(self.partition)
        assert not self.ledger.tenants_changed(self.partition)
        running = asyncio.create_task(self.ledger.run())
        try:
            yield self
        finally:
            running.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await running

    def ask(self, cpu=1000, tenant="t1"):
        """Try to start a task, as a scheduling pass does; return whether it may."""
        usage = self.partition.usage.get(tenant, Usage())
        may = self.partition.caps.may_start(tenant, usage.used, task(cpu))
        if not may:
            self.partition.usage[tenant] = Usage(usage.used, task(cpu))
        self.ledger.pass_ended()
        return may

    def metric(self, name):
        lines = self.meters.text().decode().splitlines()
        return sum(float(x.split()[-1]) for x in lines if x.startswith(name))


def run(check, storage=None, **fields):
    async def main():
        async with LedgerFixture(
            storage or RecordingStorage(), **fields
        ).running() as x:
            await check(x, x.storage)

    asyncio.run(main())


def commits(storage):
    """Return the transactions on allotments."""
    return [
        x for x in storage.transactions if any("allotment/" in k for k in x.expected)
    ]


def stored(storage):
    return records.decode_allotment(storage.items[KEY].value)


def test_first_task_gets_room_with_one_call():
    async def check(fixture, storage):
        await until(lambda: fixture.ledger.allotments.loaded)
        assert not fixture.ask()
        await until(fixture.ask, 0.3)
        assert stored(storage).granted["desk"].cpu_m >= 2000
        assert len(commits(storage)) == 1
        assert fixture.metric("poplaryard_allotment_moves_total{") == 1

    run(check)


@pytest.mark.parametrize("fault", ["lost", "dropped", "late"])
def test_lost_reply_is_settled_by_a_retry(fault):
    async def check(fixture, storage):
        await until(lambda: fixture.ledger.allotments.loaded)
        storage.faults["commit"] = [fault]
        await until(fixture.ask)
        written = commits(storage)
        if fault == "lost":
            # The watch has reported the write.
            assert len(written) == 1
        else:
            assert written[1].expected == written[0].expected
        granted = stored(storage).granted["desk"]
        with contextlib.suppress(AttributeError):
            await storage.deliver()
        assert stored(storage).granted["desk"] == granted
        assert fixture.partition.caps.available("t1").cpu_m <= granted.cpu_m
        assert fixture.metric("poplaryard_allotment_replies_lost_total") == 1

    run(check)


def test_store_away_keeps_what_is_granted():
    async def check(fixture, storage):
        await until(fixture.ask)
        storage.faults["commit"] = ["down"] * 3
        fixture.partition.usage = {"t1": Usage(task(2000), task(4000))}
        assert fixture.partition.caps.may_start("t1", ZERO, task(1000))
        assert not fixture.ask(4000)
        await until(lambda: fixture.ask(4000))
        assert not storage.faults["commit"]

    run(check)


def test_replaced_owner_changes_nothing():
    """Guards against writes of an owner whose partition another process has claimed."""

    async def check(fixture, storage):
        await until(lambda: fixture.ledger.allotments.loaded)
        key = records.claim_key("desk")
        await storage.commit(Transaction(puts=[(key, b"p2", 0)]))
        assert not fixture.ask()
        await asyncio.wait_for(fixture.replaced.wait(), 1.0)
        assert KEY not in storage.items
        assert not fixture.ask()

    run(check)


def test_transactions_stay_within_the_limit():
    tenants = {f"t{n}": Tenant(f"t{n}", cap=task(10_000)) for n in range(100)}

    async def check(fixture, storage):
        await until(lambda: fixture.ledger.allotments.loaded)
        await until(lambda: sum(not fixture.ask(tenant=name) for name in tenants) == 0)
        written = commits(storage)
        assert max(map(len, written)) <= MAX_TRANSACTION_ENTRIES
        assert len(written) <= 14

    run(check, tenants=tenants)


def test_unreadable_record_is_logged_once_and_repaired(caplog):
    storage = RecordingStorage()

    async def check(fixture, storage):
        await until(lambda: fixture.ledger.allotments.loaded)
        for _ in range(2):
            await storage.commit(Transaction(puts=[(KEY, b"{", 0)]))
            await asyncio.sleep(0.1)
        await until(fixture.ask)
        assert stored(storage).readable

    with caplog.at_level(logging.ERROR, "poplaryard"):
        run(check, storage)
    assert caplog.messages.count("unreadable allotment") == 1


def test_changed_tenants_are_applied():
    async def check(fixture, storage):
        await until(fixture.ask)
        fixture.tenants = {"t1": Tenant("t1", cap=task(500))}
        assert not fixture.ledger.tenants_changed(fixture.partition)
        assert fixture.partition.tenants is fixture.tenants
        assert not fixture.ask()

    run(check)


def test_owner_without_tenants_reads_no_allotments():
    async def check():
        storage = RecordingStorage()
        fixture = OwnerFixture(storage)
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        await asyncio.sleep(0.2)
        assert records.allotment_prefix() not in storage.prefixes
        assert isinstance(owner.partition.caps, Unlimited)
        names = {task.get_coro().__qualname__ for task in owner._tasks}
        assert AllotmentLedger.run.__qualname__ not in names
        fixture.close()

    asyncio.run(check())


def test_owner_gets_tenants_while_it_runs(monkeypatch):
    monkeypatch.setattr(Partition, "tenant_usage", lambda *_: {}, raising=False)

    async def check():
        storage, tenants = RecordingStorage(), {}
        fixture = OwnerFixture(storage)
        owner = await fixture.claim(tenants=lambda: tenants)
        await owner.start(fixture.infos())
        await asyncio.sleep(0.1)
        tenants = TENANTS
        await until(lambda: owner.partition.caps.available("t1") is not None)
        await until(lambda: records.allotment_prefix() in storage.prefixes)
        assert not owner.closed.is_set()
        fixture.close()

    asyncio.run(check())


def test_room_whose_return_has_no_reply_is_not_used():
    async def check(fixture, storage):
        await until(fixture.ask)
        fixture.partition.usage = {}
        record = records.Allotment(
            task(10_000), stored(storage).granted, {"other": task(10_000)}
        )
        entry = (KEY, records.encode_allotment(record), 0)
        storage.faults["commit"] = [None, "late", "down", "down", "down", "down"]
        await storage.commit(Transaction(puts=[entry]))
        await until(lambda: len(storage.faults["commit"]) < 4)
        assert not fixture.partition.caps.may_start("t1", ZERO, task(1000))

    run(check)


def test_records_are_read_again_after_the_store_has_lost_its_history():
    async def check(fixture, storage):
        await until(fixture.ask)
        storage.forgets_history = True
        record = records.Allotment(task(10_000), {"other": task(10_000)})
        entry = (KEY, records.encode_allotment(record), 0)
        await storage.commit(Transaction(puts=[entry]))
        await until(lambda: not storage.forgets_history)
        caps = fixture.partition.caps
        await until(lambda: not caps.may_start("t1", ZERO, task(1000)))

    run(check)


def test_moves_of_a_tenant_are_logged_rarely(caplog):
    """Guards against a log line for each of many moves."""

    async def check(fixture, storage):
        await until(fixture.ask)
        for cpu in (4000, 6000, 8000, 10_000):
            await until(lambda cpu=cpu: fixture.ask(cpu))
        assert len(commits(storage)) >= 3

    with caplog.at_level(logging.INFO, "poplaryard"):
        run(check)
    assert caplog.messages.count("allotment taken") == 1
