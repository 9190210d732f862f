import asyncio
import contextlib

import testtools

from poplaryard.exceptions import StoreDown
from poplaryard.vmlist import ListedVm, VmListPoller


class VmListTest(testtools.TestCase):
    def test_changes_are_told_once(self):
        """Guards against VMs taken for gone when the platform does not answer."""
        lists = [
            [ListedVm("a"), ListedVm("b")],
            [ListedVm("a"), ListedVm("b", True)],
            StoreDown(),
            [ListedVm("b", True)],
        ]
        told = []

        class Source:
            async def vms(self, data_centre):
                found = lists.pop(0)
                if isinstance(found, Exception):
                    raise found
                return found

        task = VmListPoller(
            Source(),
            "dc1",
            lambda name, leaving: told.append((name, leaving)),
            told.append,
        )

        async def polls():
            while lists:
                with contextlib.suppress(StoreDown):
                    await task.read()

        asyncio.run(polls())
        expected = [("a", False), ("b", False), ("b", True), "a"]
        self.assertEqual(expected, told)
        self.assertTrue(task.leaving("b"))
