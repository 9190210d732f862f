import asyncio

import testtools
from prometheus_client.parser import text_string_to_metric_families

from poplaryard.client import HttpClient
from poplaryard.codes import Code
from poplaryard.demo_cell import CALLER_KEY, PEER_KEY, Cell, ServiceShape
from poplaryard.load import run_load
from poplaryard.resources import Resources

_SHAPE = ServiceShape("booking", 2, Resources(16_000, 32_768), 4, Resources(8000, 8192))


class ApplicationTest(testtools.TestCase):
    """Entry applications of two data centres in this process, over real sockets."""

    def run_cell(self, scenario, data_centres=("dc1", "dc2")):
        asyncio.run(asyncio.wait_for(self._run(scenario, data_centres), 60))

    async def _run(self, scenario, data_centres):
        cell = Cell(data_centres, 2, [_SHAPE])
        self.client = HttpClient(64, CALLER_KEY)
        await cell.start()
        try:
            filed = await cell.file(cell.apps[0], cell.first_ticket())
            self.assertEqual(200, filed.status)
            self.assertTrue(await cell.wait_ready(1))
            await scenario(cell)
        finally:
            await cell.stop()
            await self.client.close()

    async def call(self, method, app, path):
        return await self.client.request(
            method, f"http://{app.address}{path}", None, 20
        )

    def body(self, number, **fields):
        payload = {"echo": number, "run_ms": fields.pop("run_ms", 5)}
        return {"id": f"r{number}", "target": "booking", "payload": payload, **fields}

    def test_any_entry_serves_finds_and_explains_a_request(self):
        """Guards against a request known only to the entry process that accepted it."""

        async def scenario(cell):
            first, second = cell.apps[:2]
            body = self.body(1, run_ms=300, wait=False)
            accepted = await cell.post(first, "/v1/requests", body)
            self.assertEqual(202, accepted.status)
            found = await self.call("GET", second, "/v1/requests/r1")
            self.assertEqual(202, found.status)
            explained = await self.call("GET", second, "/v1/explain/r1")
            self.assertNotIn("No request", explained.body["explanation"])
            whole = await self.call("GET", second, "/v1/requests/r1/wait")
            self.assertEqual((200, 1), (whole.status, whole.body["parts"][0]["echo"]))
            body["wait"] = True
            again = await cell.post(second, "/v1/requests", body)
            self.assertEqual(whole.body["parts"], again.body["parts"])
            missing = await self.call("GET", second, "/v1/requests/r9")
            self.assertEqual(404, missing.status)

        self.run_cell(scenario)

    def test_cancellation_from_another_entry(self):
        """Guards against a request that keeps running after it was cancelled."""

        async def scenario(cell):
            first, second = cell.apps[:2]
            body = self.body(1, run_ms=60_000, timeout_s=30)
            request = asyncio.create_task(cell.post(first, "/v1/requests", body))
            while not cell.requests_ran():  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            cancelled = await self.call("DELETE", second, "/v1/requests/r1")
            self.assertEqual(202, cancelled.status)
            self.assertEqual(Code.STOPPED, (await request).body["code"])
            unknown = await self.call("DELETE", second, "/v1/requests/r9")
            self.assertEqual(404, unknown.status)

        self.run_cell(scenario)

    def test_keyed_work_runs_at_its_home(self):
        """Guards against a key that runs in two data centres at once (P2)."""

        async def scenario(cell):
            bodies = [self.body(n, exclusive_key=f"k{n % 3}") for n in range(24)]
            requests = (
                cell.post(cell.apps[n % 4], "/v1/requests", body)
                for n, body in enumerate(bodies)
            )
            replies = await asyncio.gather(*requests)
            self.assertEqual({200}, {reply.status for reply in replies})
            centres = {}
            for vm in cell.workers():
                for record in vm.records:
                    if record.exclusive_key:
                        centre = vm.name.partition("-")[0]
                        centres.setdefault(record.exclusive_key, set()).add(centre)
            self.assertEqual({1}, {len(found) for found in centres.values()})

        self.run_cell(scenario)

    def test_monitoring(self):
        """Guards against metrics that are missing or cannot be parsed."""

        async def scenario(cell):
            app = cell.apps[0]
            await cell.post(app, "/v1/requests", self.body(1))
            ready = await self.call("GET", app, "/readyz")
            self.assertEqual((200, 1), (ready.status, ready.body["ticket"]))
            content, _ = app.monitor.metrics.text()
            families = text_string_to_metric_families(content.decode())
            found = {s.name: s.value for f in families for s in f.samples}
            self.assertEqual(1, found["poplaryard_ready"])
            self.assertEqual(1, found["poplaryard_answers_total"])
            self.assertGreater(found["poplaryard_store_calls_total"], 0)

        self.run_cell(scenario, ("dc1",))

    def test_callers_may_not_post_to_peers_or_operators(self):
        """Guards against a caller's key that gives access to other interfaces."""

        async def scenario(cell):
            app = cell.apps[0]
            for path in ("/peer/v1/batch", "/v1/tickets"):
                reply = await cell.post(app, path, {})
                self.assertEqual(401, reply.status)
            peer = HttpClient(4, PEER_KEY)
            url = f"http://{app.address}/v1/requests"
            self.assertEqual(401, (await peer.post(url, self.body(1), 5)).status)
            await peer.close()

        self.run_cell(scenario, ("dc1",))

    def test_load_generator_counts_whole_answers(self):
        """Guards against a load generator that counts any answer as a success."""

        async def scenario(cell):
            targets = [app.address for app in cell.apps]
            result = await run_load(
                targets, CALLER_KEY, rate=100, duration_s=1.0, run_ms=1, seed=3
            )
            summary = result.summary(100, 1.0)
            self.assertEqual(["1000"], list(summary["codes"]))
            self.assertEqual(0, summary["incomplete"])

        self.run_cell(scenario, ("dc1",))
