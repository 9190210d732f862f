import asyncio

import testtools

from poplaryard.dispatch import Dispatcher
from poplaryard.monitoring import Monitor
from poplaryard.web import new_starlette

from .asgi import call


class MonitorTest(testtools.TestCase):
    """Tests `Monitor`; the test case itself is its `MonitorSource`."""

    process, state = "p#1", "running"

    def setUp(self):
        super().setUp()
        self.is_ready = True
        self.dispatcher = Dispatcher(
            "p#1", "dc1", None, lambda _: "", lambda *_: None, lambda _: None, 1
        )
        self.app = new_starlette(Monitor(self).routes())

    def ready(self):
        return self.is_ready

    def ticket(self):
        return 7

    def counts(self):
        return {"poplaryard_store_calls_total": 3.0}

    def get(self, path):
        return asyncio.run(call(self.app, "GET", path))

    def test_readiness(self):
        """Guards against a load balancer that uses a process that is not ready."""
        self.assertEqual(
            (200, 7), (self.get("/readyz")[0], self.get("/readyz")[1]["ticket"])
        )
        self.is_ready = False
        self.assertEqual(503, self.get("/readyz")[0])
        self.assertEqual(200, self.get("/healthz")[0])

    def test_unknown_paths_have_a_code(self):
        """Guards against an error response without a result code."""
        self.assertEqual((404, 1109), (self.get("/x")[0], self.get("/x")[1]["code"]))
