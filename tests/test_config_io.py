import asyncio

import testtools

from poplaryard.acceptance import Acceptance
from poplaryard.clock import VirtualClock
from poplaryard.config_io import ConfigTask
from poplaryard.rollout import Members, PeerDelta, Rollout

from .fake_store import FakeStore, service, ticket


class ConfigTaskTest(testtools.TestCase):
    """Two processes with one store. The test delivers messages between them."""

    def setUp(self):
        super().setUp()
        self.clock, self.store = VirtualClock(100.0), FakeStore()
        self.applied = {"p#1": [], "q#1": []}
        self.sent = []

    def task(self, name):
        task = ConfigTask(
            Rollout(name, "dc1"),
            Acceptance(self.store, self.clock).loader,
            self.store,
            self,
            self.clock,
            lambda configure: self.applied[name].append(configure.config.number),
        )
        task.set_members(Members(("p#1", "q#1")))
        return task

    def send(self, process, envelope):
        self.sent.append((process, envelope.message))

    def run_tasks(self, scenario):
        async def run():
            tasks = [self.task("p#1"), self.task("q#1")]
            try:
                await asyncio.wait_for(scenario(*tasks), 20)
            finally:
                for task in tasks:
                    await task.stop()

        asyncio.run(run())

    async def wait_until(self, condition):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    def test_ticket_comes_into_force_and_is_pushed(self):
        """Guards against a change that reaches only the watchers (P8)."""

        async def scenario(one, two):
            one.start()
            await self.wait_until(lambda: one.rollout.ready)
            filer = Acceptance(self.store, self.clock)
            await filer.file(ticket("uid-1", service()))
            await self.wait_until(lambda: 1 in self.applied["p#1"])
            await self.wait_until(lambda: any(to == "q#1" for to, _ in self.sent))
            for to, message in list(self.sent):
                if to == "q#1" and isinstance(message, PeerDelta):
                    two.handle(message)
            self.assertEqual(1, two.rollout.number)

        self.run_tasks(scenario)

    def test_process_is_not_ready_while_the_store_is_down(self):
        """Guards against a process that serves without a configuration."""
        self.store.down = True

        async def scenario(one, two):
            one.start()
            await asyncio.sleep(0.1)
            self.assertFalse(one.rollout.ready)
            self.assertEqual([], self.applied["p#1"])

        self.run_tasks(scenario)
