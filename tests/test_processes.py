import asyncio
import signal

import testtools

from .processes import Callers, Processes, broken_promises

_BOUND_S = 150.0


class ProcessesTest(testtools.TestCase):
    def check(self, scenario, **options):
        found = asyncio.run(asyncio.wait_for(self._run(scenario, options), _BOUND_S))
        self.assertEqual([], found)

    async def _run(self, scenario, options):
        async with Processes(**options) as processes:
            callers = Callers(processes)
            expected = await scenario(processes, callers)
            await callers.finish()
            records, overcommits = await processes.records()
            return broken_promises(callers.answers, records, overcommits, expected)

    def test_killed_owner(self):
        """Guards against requests lost with the process that owned their shard."""

        async def scenario(processes, callers):
            await callers.run(0, 30)
            processes.kill(await processes.owner())
            await callers.run(30, 60)
            return 90

        self.check(scenario)

    def test_owner_paused_past_its_lease(self):
        """Guards against an owner that goes on with shards that it has lost."""

        async def scenario(processes, callers):
            await callers.run(0, 30)
            owner = await processes.owner()
            processes.signal(owner, signal.SIGSTOP)
            await callers.run(30, 60)
            await asyncio.sleep(12.0)
            processes.signal(owner, signal.SIGCONT)
            await callers.run(90, 60)
            return 150

        self.check(scenario)

    def test_rolling_replacement(self):
        """Guards against requests interrupted by a planned stop."""

        async def scenario(processes, callers):
            load = asyncio.create_task(callers.run(0, 600))
            for index in range(3):
                codes = await processes.replace([index])
                self.assertEqual([0], codes)
            await load
            return 600

        self.check(scenario)

    def test_replacement_of_half_at_once(self):
        """Guards against a hand-over to processes that leave as well."""

        async def scenario(processes, callers):
            load = asyncio.create_task(callers.run(0, 400))
            self.assertEqual([0, 0], await processes.replace([0, 2]))
            await load
            return 400

        self.check(scenario, entries=4)

    def test_platform_outage(self):
        """Guards against service that depends on the store."""

        async def scenario(processes, callers):
            await callers.run(0, 30)
            await processes.fault(processes.platform, outage=True)
            await callers.run(30, 400)
            await processes.fault(processes.platform, outage=False)
            await callers.run(430, 30)
            return 460

        self.check(scenario)
