import asyncio
import json

import testtools

from poplaryard.audit import AuditFilter, AuditLog, AuditWriter
from poplaryard.clock import VirtualClock
from poplaryard.messages import AuditEvent

from .fake_store import FakeStore


class AuditTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store, self.clock = FakeStore(), VirtualClock()
        self.log = AuditLog(capacity=3000)
        self.writer = self.new_writer(self.log)

    def new_writer(self, log, process="p0"):
        return AuditWriter(self.store, self.clock, log, "dc1", process)

    def add(self, count, **fields):
        for number in range(count):
            event = AuditEvent(f"start {number}", self.clock.wall(), **fields)
            self.log.add(self.clock.now(), event)

    def flush(self, **fields):
        return asyncio.run(self.writer.flush_if_due(**fields))

    def search(self, **fields):
        criteria = AuditFilter(**fields)
        return asyncio.run(self.new_writer(AuditLog(), "p9").search(criteria))

    def test_groups_are_flushed_by_age_or_by_count(self):
        """Guards against one store write per event, or events that stay unflushed."""
        self.add(3)
        self.assertFalse(self.flush())
        self.clock.advance(10)
        self.assertTrue(self.flush())
        self.add(500)
        self.assertFalse(self.flush())  # at most one write per second
        self.clock.advance(1)
        self.assertTrue(self.flush())
        self.assertEqual(503, len(self.search()))
        self.assertEqual(2, self.store.calls["put_if"])

    def test_outage_and_lost_reply_neither_lose_nor_duplicate_events(self):
        """Guards against a group that is dropped, or written twice, after a fault."""
        for fault in ("down", "lost", "dropped"):
            self.add(2, vm=fault)
            self.clock.advance(10)
            self.store.fail("put_if", "audit/", fault)
            self.assertFalse(self.flush())
            self.add(1, vm=fault)
            self.clock.advance(10)
            self.assertTrue(self.flush())
            self.assertEqual(3, len(self.search(vm=fault)), fault)
        self.assertEqual(
            (9, 0, 0), (self.log.flushed, self.log.lost, self.log.unflushed)
        )

    def test_losses_are_counted(self):
        """Guards against events that are dropped from a full buffer without a count."""
        self.add(3100)
        self.assertEqual((3000, 100), (self.log.unflushed, self.log.lost))
        self.assertTrue(self.flush(force=True))
        self.clock.advance(1)
        self.assertTrue(self.flush())
        self.assertEqual((3000, 0), (self.log.flushed, self.log.unflushed))
        values = [entry.value for entry in self.store.entries.values()]
        self.assertEqual([100, 100], [value["lost"] for value in values])
        self.assertLess(max(len(json.dumps(value)) for value in values), 1_000_000)

    def test_search_filters(self):
        """Guards against results that include other VMs, jobs or tickets."""
        self.add(1, vm="vm1", ticket=7)
        since = self.clock.advance(5) and self.clock.wall()
        self.add(1, vm="vm2", request_id="job1", cause="x" * 999)
        self.add(3)
        for criteria, count in (
            ({"ticket": 7}, 1),
            ({"vm": "vm2"}, 1),
            ({"job": "job1"}, 1),
            ({"since": since}, 4),
            ({"limit": 2}, 2),
            ({"vm": "vm1", "ticket": 8}, 0),
        ):
            self.assertEqual(count, len(self.log.search(AuditFilter(**criteria))))
            events = asyncio.run(self.writer.search(AuditFilter(**criteria)))
            self.assertEqual(count, len(events))

    def test_groups_are_bound_to_a_retention_lease(self):
        """Guards against audit groups that are never deleted and fill the store."""
        for _ in range(3):
            self.add(1)
            self.clock.advance(10)
            self.assertTrue(self.flush())
        self.assertTrue(all(entry.lease for entry in self.store.entries.values()))
        self.assertEqual(1, self.store.calls["grant"])
        self.clock.advance(3600)
        self.add(1)
        self.assertTrue(self.flush(force=True))
        self.assertEqual(2, self.store.calls["grant"])
        self.store.leases.clear()
        self.add(1)
        self.assertFalse(self.flush(force=True))
        self.assertTrue(self.flush(force=True))
