import asyncio
import contextlib

import testtools

from poplaryard.exceptions import StoreDown
from poplaryard.vmlist import ListedVm, VmListPoller


class VmListTest(testtools.TestCase):
    def test_changes_are_reported_once(self):
        """Guards against VMs reported as gone while the platform does not answer."""
        lists = [
            [ListedVm("a"), ListedVm("b")],
            [ListedVm("a"), ListedVm("b", True)],
            StoreDown(),
            [ListedVm("b", True)],
        ]
        events = []

        class FakeVmList:
            async def vms(self, data_centre):
                result = lists.pop(0)
                if isinstance(result, Exception):
                    raise result
                return result

        poller = VmListPoller(
            FakeVmList(),
            "dc1",
            lambda name, leaving: events.append((name, leaving)),
            events.append,
        )

        async def poll_all():
            while lists:
                with contextlib.suppress(StoreDown):
                    await poller.poll_once()

        asyncio.run(poll_all())
        expected = [("a", False), ("b", False), ("b", True), "a"]
        self.assertEqual(expected, events)
        self.assertTrue(poller.leaving("b"))
