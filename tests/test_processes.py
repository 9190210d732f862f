import asyncio
import signal

import testtools

from .processes import Callers, Processes, find_violations

_TIMEOUT_S = 150.0


class ProcessesTest(testtools.TestCase):
    def check(self, scenario, **options):
        found = asyncio.run(asyncio.wait_for(self._run(scenario, options), _TIMEOUT_S))
        self.assertEqual([], found)

    async def _run(self, scenario, options):
        async with Processes(**options) as processes:
            callers = Callers(processes)
            expected = await scenario(processes, callers)
            await callers.finish()
            records, overcommits = await processes.records()
            return find_violations(callers.answers, records, overcommits, expected)

    def test_killed_owner(self):
        """Guards against requests lost with the process that owned their shard."""

        async def scenario(processes, callers):
            await callers.run(0, 30)
            processes.kill(await processes.owner())
            await callers.run(30, 60)
            return 90

        self.check(scenario)

    def test_owner_paused_past_its_lease(self):
        """Guards against an owner that continues to serve shards that it has lost."""

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
        """Guards against a hand-over to processes that are stopping as well."""

        async def scenario(processes, callers):
            load = asyncio.create_task(callers.run(0, 400))
            self.assertEqual([0, 0], await processes.replace([0, 2]))
            await load
            return 400

        self.check(scenario, entries=4)

    def test_planned_stop_during_an_outage(self):
        """Guards against requests cut off because no other process can take over."""

        async def scenario(processes, callers):
            await callers.run(0, 20)
            await processes.fault(processes.platform, outage=True)
            await callers.run(20, 40, run_ms=3000)
            index = await processes.owner()
            processes.signal(index, signal.SIGTERM)
            code = await asyncio.to_thread(processes.running[index].wait, 40)
            self.assertEqual(0, code)
            await processes.fault(processes.platform, outage=False)
            del processes.running[index]
            await processes.wait_until_owned()
            return 60

        self.check(scenario)

    def test_second_signal_ends_at_once(self):
        """Guards against a stop that cannot be cut short or hides what is lost."""

        async def scenario(processes, callers):
            await processes.fault(processes.platform, outage=True)
            await callers.run(0, 9, run_ms=8000)
            index = await processes.owner()
            process = processes.running.pop(index)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(1, await asyncio.to_thread(process.wait, 5))
            self.assertRegex(
                processes.log(), r"stopped at once, left: \d+ open requests"
            )
            await processes.fault(processes.platform, outage=False)
            return 0

        self.check(scenario)

    def test_violations_are_reported(self):
        """Guards against a check that reports no violation whatever happened."""
        right = {"code": 1000, "outcome": "ran", "parts": [{"echo": 0}]}
        wrong = {"code": 1000, "outcome": "ran", "parts": [{"echo": 9}]}
        not_run = {"code": 2001, "outcome": "not_run"}
        times = {"started": 1.0, "ended": 3.0, "exclusive_key": "k"}
        records = [
            {**times, "request_id": "r0"},
            {**times, "request_id": "r0", "started": 2.0},
            {**times, "request_id": "r2", "exclusive_key": ""},
        ]
        answers = {0: right, 1: wrong, 2: not_run}
        found = find_violations(answers, records, 1, 4)
        codes = [text[:2] for text in found if text[0] == "P"]
        self.assertEqual(["P1", "P2", "P5", "P3", "P4", "P3"], codes)

    def test_platform_outage(self):
        """Guards against requests that fail while the store is down."""

        async def scenario(processes, callers):
            await callers.run(0, 30)
            await processes.fault(processes.platform, outage=True)
            await callers.run(30, 400)
            await processes.fault(processes.platform, outage=False)
            await callers.run(430, 30)
            return 460

        self.check(scenario)
