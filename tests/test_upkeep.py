import asyncio

import testtools

from poplaryard import upkeep
from poplaryard.exceptions import StoreDown
from poplaryard.upkeep import UpkeepTask


class Compactor:
    """Compactor whose store is always down."""

    def __init__(self, test):
        self._test = test

    async def run(self):
        self._test.runs += 1
        raise StoreDown()


class UpkeepTest(testtools.TestCase):
    def run_task(self, writes_snapshots):
        self.flushed, self.runs = [], 0
        self.patch(upkeep, "AUDIT_PERIOD_S", 0.001)
        self.patch(upkeep, "SNAPSHOT_PERIOD_S", 0.001)
        task = UpkeepTask(self, Compactor(self), lambda: writes_snapshots)

        async def run():
            task.start()
            await asyncio.sleep(0.05)
            await task.stop()

        asyncio.run(run())

    async def flush_if_due(self, *, force=False):
        self.flushed.append(force)

    def test_goes_on_after_failures_and_flushes_at_the_end(self):
        """Guards against audit events lost in a planned stop or after a failure."""
        self.run_task(writes_snapshots=True)
        self.assertGreater(self.runs, 1)
        self.assertTrue(self.flushed[-1])
        self.assertFalse(any(self.flushed[:-1]))

    def test_one_process_writes_snapshots(self):
        """Guards against snapshots written by every process at once."""
        self.run_task(writes_snapshots=False)
        self.assertEqual(0, self.runs)
