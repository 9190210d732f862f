import asyncio
import json
import pathlib

import testtools

from poplaryard import tickets
from poplaryard.acceptance import load
from poplaryard.codes import Code
from poplaryard.configuration import Configuration
from poplaryard.exceptions import CallError
from poplaryard.resources import Resources
from poplaryard.store import Entry

from .builders import configuration
from .fake_store import FakeStore, service, ticket, vm_group

_DATA = pathlib.Path(__file__).parent / "data"


class TicketsTest(testtools.TestCase):
    def refused_detail(self, *objects, **fields):
        exc = self.assertRaises(CallError, ticket, "uid-1", *objects, **fields)
        self.assertEqual(Code.TICKET_INVALID, exc.code)
        return exc.detail

    def test_format_1_stays_readable(self):
        """Guards against a release that cannot read tickets of an earlier one."""
        item = tickets.parse((_DATA / "ticket-v1.jsonc").read_text())
        config = tickets.apply(Configuration(), 1, item)
        self.assertEqual(Resources(1500, 2048), config.batches["pricing"].need)
        self.assertEqual(0.5, config.work_kinds["charge"].timeout_s)
        vms = {vm.name: vm.capacity for vm in config.vms("dc1")}
        self.assertEqual(Resources(32_000, 65_536, 8), vms["vm2"])
        self.assertEqual(Resources(16_000, 32_768), vms["vm1"])
        self.assertEqual(600.0, config.batches["pricing"].declared_s)

    def test_stored_format_1_stays_readable(self):
        """Guards against a release that cannot load the store of an earlier one."""
        saved = json.loads((_DATA / "store-v1.json").read_text())
        store = FakeStore()
        for version, (key, value) in enumerate(saved["store"].items(), start=1):
            store.entries[key] = Entry(key, value, version)
        config = asyncio.run(load(store))
        self.assertEqual(tickets.decode(saved["configuration"]), config)
        self.assertEqual((2, {}), (config.number, config.teams))

    def test_encoding_keeps_every_field(self):
        """Guards against a field that is lost in encoding or decoding."""
        item = tickets.parse((_DATA / "ticket-v1.jsonc").read_text())
        config = tickets.apply(configuration(), 7, item)
        encoded = json.loads(json.dumps(tickets.encode(config)))
        self.assertEqual(config, tickets.decode(encoded))
        wrong = {**encoded, "format": 2}
        self.assertRaises(CallError, tickets.decode, wrong)

    def test_error_messages_name_object_field_and_fault(self):
        """Guards against an error message that does not say what to correct."""
        self.assertEqual(
            'In service "booking", "cpu" must be an amount with a unit, such as '
            '"8 cores".',
            self.refused_detail(service(cpu="8 coors")),
        )
        self.assertEqual(
            'In service "booking", "replcas" is not a known field (did you mean '
            '"replicas"?).',
            self.refused_detail(service(replcas=3)),
        )
        self.assertEqual(
            'In service "a/b", "name" must have 1 to 63 letters, digits, dots, dashes '
            "or underscores.",
            self.refused_detail(service("a/b")),
        )
        exc = self.assertRaises(CallError, ticket, "x")
        self.assertIn("4 to 80 letters", exc.detail)
        self.assertIn("whole number", self.refused_detail(service(replicas="2")))
        self.assertIn("is missing", self.refused_detail({"kind": "team"}))
        self.assertIn(
            "unknown kind", self.refused_detail({"kind": "teem", "name": "x"})
        )
        self.assertIn("twice", self.refused_detail(service(), service()))
        self.assertIn('"format"', self.refused_detail(format=2))

    def test_ambiguous_values_are_refused(self):
        """Guards against an amount that is read in the wrong unit or rounded."""
        for field, value in [
            ("memory", "32"),
            ("memory", 32),
            ("cpu", "-1"),
            ("cpu", True),
            ("cpu", "0.0001 cores"),
            ("replicas", 2.0),
            ("replicas", "2"),
            ("drain", "0 s"),
            ("name", "a/b"),
        ]:
            self.refused_detail(service(**{field: value}))

    def test_group_must_be_consistent(self):
        """Guards against a VM that is listed twice or leaves without being listed."""
        group = vm_group(vms=2)
        self.refused_detail({**group, "vms": [group["vms"][0], group["vms"][0]]})
        same = {**group["vms"][1], "address": group["vms"][0]["address"]}
        self.assertIn(
            "address", self.refused_detail({**group, "vms": [group["vms"][0], same]})
        )
        self.assertIn("leaves", self.refused_detail({**group, "leaving": ["nobody"]}))

    def test_apply_does_not_change_the_old_configuration(self):
        """Guards against a change that is visible to readers of the old state."""
        before = configuration()
        removal = {"kind": "service", "name": "booking", "remove": True}
        after = tickets.apply(before, 2, ticket("uid-1", removal, service("new")))
        self.assertEqual(["new"], list(after.services))
        self.assertEqual(["booking"], list(before.services))
        self.assertIs(before.vm_groups, after.vm_groups)
