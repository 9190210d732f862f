import asyncio

import testtools

from poplaryard import workers_http
from poplaryard.client import HttpClient
from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError
from poplaryard.messages import AttemptState, StartAttempt, StopAttempt, WorkKind
from poplaryard.resources import Resources
from poplaryard.standin_worker import UNLIMITED, WorkerVm
from poplaryard.standin_worker_http import WorkerHost
from poplaryard.workers_http import HttpWorkers

from .builders import work


class WorkersHttpTest(testtools.TestCase):
    """Tests `HttpWorkers` against the stand-in worker over a real socket."""

    def setUp(self):
        super().setUp()
        self.patch(workers_http, "CALL_TIMEOUT_S", 0.3)

    def run_with(self, scenario):
        asyncio.run(asyncio.wait_for(self._run(scenario), 30))

    async def _run(self, scenario):
        vms = [WorkerVm(name, Resources(16_000, 32_768)) for name in ("vm1", "vm2")]
        host = WorkerHost(vms)
        client = HttpClient()
        addresses = await host.start()
        try:
            await scenario(host, HttpWorkers(client), addresses["vm2"])
        finally:
            await client.close()
            await host.stop()

    def start(self, attempt, executor=None, valid_until_ms=10**15):
        kind = WorkKind.REQUEST if executor else WorkKind.SERVICE
        request = work(f"r-{attempt}", kind=kind, payload={"echo": 3})
        return StartAttempt(
            "vm2", attempt, 1, valid_until_ms, request, 0, executor or ""
        )

    def test_lifecycle_of_an_attempt(self):
        """Guards against a client and a stand-in that interpret a call differently."""

        async def scenario(host, workers, address):
            self.assertTrue((await workers.claim(address, "vm2", 1)).accepted)
            starts = [self.start("e1"), self.start("late", valid_until_ms=0)]
            replies = await workers.start(address, starts)
            codes = [reply.code for reply in replies]
            self.assertEqual([Code.OK, Code.START_EXPIRED], codes)
            await workers.start(address, [self.start("q1", "e1")])
            reply, number = await workers.poll(address, "vm2", 1, 0, 5.0, UNLIMITED)
            self.assertEqual({"vm": "vm2", "echo": 3}, reply.attempts[0].body)
            await workers.stop(address, [StopAttempt("vm2", "e1", 1)])
            reply, _ = await workers.poll(address, "vm2", 1, number, 5.0, UNLIMITED)
            self.assertEqual(AttemptState.STOPPED, reply.attempts[0].state)

        self.run_with(scenario)

    def test_lost_and_late_replies_count_as_unreachable(self):
        """Guards against a lost or late reply that is taken for a refusal."""

        async def scenario(host, workers, address):
            url = f"http://{address}/standin/fault"
            for fault in ({"paused": True}, {"paused": False, "drop_replies": 2}):
                await workers._client.post(url, {"vm": "vm2", **fault}, 5.0)
                start = workers.start(address, [self.start("e1")])
                results = await asyncio.gather(start, return_exceptions=True)
                self.assertIsInstance(results[0], PoplaryardError)
                self.assertIs(Code.WORKER_UNREACHABLE, results[0].code)
            repeated = await workers.start(address, [self.start("e1")])
            self.assertIs(Code.ATTEMPT_REPEATED, repeated[0].code)
            reply = await workers._client.get(f"http://{address}/standin/record", 5.0)
            self.assertEqual(1, len(reply.body["records"]))

        self.run_with(scenario)

    def test_unknown_worker(self):
        """Guards against accepting a reply of another VM at the same address."""

        async def scenario(host, workers, address):
            results = await asyncio.gather(
                workers.claim(address, "vm9", 1), return_exceptions=True
            )
            self.assertIs(Code.WORKER_UNREACHABLE, results[0].code)

        self.run_with(scenario)
