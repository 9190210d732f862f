import asyncio
import json

import testtools

from poplaryard import tickets
from poplaryard.acceptance import Acceptance, load
from poplaryard.clock import VirtualClock
from poplaryard.compaction import SNAPSHOT_EVERY, Compactor
from poplaryard.config_loader import Loader, read_head, split_snapshot
from poplaryard.configuration import Configuration
from poplaryard.exceptions import CallError, StoreDown

from .fake_store import FakeStore, service, ticket, vm_group


class CompactionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        self.store = FakeStore()
        self.filer = Acceptance(self.store, VirtualClock(), 1)
        self.expected = Configuration()

    async def file(self, count):
        for _ in range(count):
            number = self.expected.number + 1
            item = ticket(f"uid-{number}", service(f"svc-{number % 7}", number))
            while not (await self.filer.file(item)).ok:
                pass
            self.expected = tickets.apply(self.expected, number, item)

    def compactor(self, every=SNAPSHOT_EVERY):
        return Compactor(self.store, Loader(self.store), every)

    def test_snapshot_bounds_what_is_stored_and_read(self):
        """Guards against storage and startup reads that grow with every ticket."""

        async def run():
            for _ in range(4):
                await self.file(SNAPSHOT_EVERY)
                self.assertTrue(await self.compactor().run())
            await self.file(3)
            self.assertFalse(await self.compactor().run())
            before = dict(self.store.calls)
            self.assertEqual(self.expected, await load(self.store))
            self.assertEqual(1 + 1 + 3, self.store.calls["get"] - before["get"])

        asyncio.run(run())
        stored = [key for key in self.store.entries if key.startswith("config/object")]
        self.assertEqual(3, len(stored))
        sizes = [len(json.dumps(e.value)) for e in self.store.entries.values()]
        self.assertLess(max(sizes), 1_000_000)

    def test_races_and_outages_keep_the_configuration(self):
        """Guards against a snapshot in force that lacks a ticket or a part."""
        for position in range(40):
            for fault in ("down", "lost", "dropped"):
                asyncio.run(self._check_fault(position, fault))

    async def _check_fault(self, position, fault):
        self.reset()
        await self.file(6)
        self.store.fail_call(position, fault)
        tasks = [self.compactor(4).run(), self.compactor(4).run(), self.file(4)]
        await asyncio.gather(*tasks, return_exceptions=True)
        self.store.call_faults = {}
        await self.compactor(4).run()
        self.assertEqual(self.expected, await load(self.store), (position, fault))

    def test_reader_with_an_old_head_reads_again(self):
        """Guards against a load that lacks objects deleted while it reads."""

        async def run():
            await self.file(SNAPSHOT_EVERY)
            head, _entry = await read_head(self.store)
            await self.file(1)
            await self.compactor().run()
            state = await Loader(self.store).refresh(head)
            self.assertEqual(self.expected, state.config)

        asyncio.run(run())

    def test_only_the_state_of_its_number_becomes_a_snapshot(self):
        """Guards against a snapshot whose number and content differ."""

        async def run():
            await self.file(6)
            ahead = Loader(self.store, await Loader(self.store).refresh())
            head_value = self.store.entries["config/head"]
            await self.file(1)
            await ahead.refresh()
            self.store.entries["config/head"] = head_value
            self.assertFalse(await Compactor(self.store, ahead, 4).run())
            other_part = {"format": 1, "objects": {}}
            await self.store.put_if("config/snapshot/0000000006/0000", other_part, 0)
            self.assertFalse(await self.compactor(4).run())

        asyncio.run(run())

    def test_loaded_state_knows_every_recent_removal(self):
        """Guards against a peer that is not told of the removal of an object."""

        async def run():
            await self.file(2)
            old = await Loader(self.store).refresh()
            removal = {"kind": "service", "name": "svc-1", "remove": True}
            self.assertTrue((await self.filer.file(ticket("uid-x", removal))).ok)
            new = await Loader(self.store).refresh()
            updated = old.apply_delta(new.delta(2))
            self.assertEqual(["svc-2"], list(updated.config.services))

        asyncio.run(run())

    def test_object_of_a_newer_version_is_refused(self):
        """Guards against an unhandled error for an object of a newer version."""

        async def run():
            await self.file(1)
            old = Loader(self.store)
            await old.refresh()
            await self.file(1)
            key = next(
                key for key in self.store.entries if "object/service/svc-2" in key
            )
            entry = self.store.entries[key]
            newer = {"format": 1, "object": {"kind": "moon", "name": "svc-2"}}
            await self.store.put_if(key, newer, entry.version)
            with self.assertRaisesRegex(CallError, "this version cannot read"):
                await old.refresh()
            self.assertEqual(1, old.state.number)

        asyncio.run(run())

    def test_parts_stay_below_the_value_limit(self):
        """Guards against a snapshot of a full-size site that the store refuses."""

        async def run():
            for dc in range(8):
                group = vm_group(f"g{dc}", 2400, data_centre=f"dc{dc}")
                for number, vm in enumerate(group["vms"]):
                    vm["address"] = f"10.{dc}.{number // 250}.{number % 250}:7000"
                self.assertTrue((await self.filer.file(ticket(f"uid-{dc}", group))).ok)
            return await Loader(self.store).refresh()

        parts = split_snapshot(asyncio.run(run()), 900_000)
        self.assertGreater(len(parts), 1)
        self.assertLess(max(len(json.dumps(part)) for part in parts), 1_000_000)

    def test_outage_is_raised(self):
        """Guards against a compaction that reports success in an outage."""
        self.store.down = True
        with self.assertRaises(StoreDown):
            asyncio.run(self.compactor().run())
