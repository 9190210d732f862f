import asyncio
import json

import testtools
from starlette.applications import Starlette

from poplaryard.acceptance import Acceptance
from poplaryard.audit import AuditLog, AuditWriter
from poplaryard.clock import VirtualClock
from poplaryard.codes import Code
from poplaryard.operator_context import OperatorService
from poplaryard.operators import operator_routes
from poplaryard.rollout import LoadConfig, Loaded, Members, Rollout

from .fake_store import FakeStore, service

OPERATOR_KEY = "operator-key-1"


class OperatorHost:
    """Operator routes of one process on an in-memory store."""

    def __init__(self):
        self.store, self.clock = FakeStore(), VirtualClock()
        self.acceptance = Acceptance(self.store, self.clock)
        self.rollout = Rollout("p0", "dc1")
        self.rollout.handle(0.0, Members(("p0",), {"dc1": ("p0",)}))
        self.rollout.handle(0.0, Loaded(self.acceptance.loader.state))
        self.log = AuditLog()
        writer = AuditWriter(self.store, self.clock, self.log, "dc1", "p0")
        self.service = OperatorService(
            {"anna": OPERATOR_KEY, "bo": "operator-key-2"},
            self.store,
            self.clock,
            self.acceptance,
            self.rollout,
            self.notify,
            self.log,
            writer,
            lambda: {"queued": 3},
        )
        self.app = Starlette(routes=operator_routes(self.service))
        self.loads = []

    def notify(self, msg):
        out = self.rollout.handle(0.0, msg)
        self.loads += [item for item in out if isinstance(item, LoadConfig)]

    async def load(self):
        state = await self.acceptance.loader.refresh()
        self.rollout.handle(0.0, Loaded(state))

    async def call(self, method, path, body=b"", key=OPERATOR_KEY):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [(b"authorization", f"Bearer {key}".encode())],
        }
        messages = []

        async def receive():
            return {"type": "http.request", "body": data}

        async def send(msg):
            messages.append(msg)

        await self.app(scope, receive, send)
        text = b"".join(msg.get("body", b"") for msg in messages)
        return messages[0]["status"], json.loads(text)


def body(uid="uid-1", *objects, **fields):
    objects = list(objects) or [service()]
    return {"format": 1, "uid": uid, "author": "Anna", "objects": objects, **fields}


class OperatorsTest(testtools.TestCase):
    def test_ticket_is_filed_and_put_in_force(self):
        """Guards against a route that accepts a ticket and starts no rollout."""
        asyncio.run(self._ticket_lifecycle())

    async def _ticket_lifecycle(self):
        host = OperatorHost()
        commented = b"// change\n" + json.dumps(body()).encode()
        status, found = await host.call("POST", "/v1/tickets", commented)
        self.assertEqual((200, 1), (status, found["number"]))
        self.assertEqual(1, len(host.loads))
        wait = "/v1/tickets/1/wait?timeout_s=0"
        self.assertEqual(["p0"], (await host.call("GET", wait))[1]["missing"])
        await host.load()
        self.assertTrue((await host.call("GET", wait))[1]["in_force"])
        _, listed = await host.call("GET", "/v1/tickets?limit=5")
        self.assertEqual(["uid-1"], [item["uid"] for item in listed["tickets"]])
        _, shown = await host.call("GET", "/v1/tickets/1")
        self.assertEqual("Anna", shown["ticket"]["author"])
        _, found = await host.call("GET", "/v1/objects/service/booking")
        self.assertEqual(2, found["object"]["replicas"])
        _, trail = await host.call("GET", "/v1/audit?ticket=1")
        self.assertIn("anna: uid-1", trail["events"][0]["cause"])

    def test_check_changes_nothing(self):
        """Guards against a check that files the ticket."""

        async def run():
            host = OperatorHost()
            status, found = await host.call("POST", "/v1/tickets/check", body())
            self.assertEqual(
                (200, ["service/booking is new."]), (status, found["changes"])
            )
            self.assertEqual({}, host.store.entries)

        asyncio.run(run())

    def test_status_has_text_and_alarm_start(self):
        """Guards against a status without queue lengths or the start of an alarm."""

        async def run():
            host = OperatorHost()
            _, found = await host.call("GET", "/v1/status")
            self.assertIn("3 tasks wait", found["text"])
            self.assertEqual([], found["alarms"])
            host.store.down = True
            await host.call("GET", "/v1/status")
            await host.service.start()
            await asyncio.sleep(0)
            await host.service.stop()
            host.clock.advance(60)
            _, found = await host.call("GET", "/v1/status")
            self.assertIn("store-down, for 60 seconds", found["text"])

        asyncio.run(run())

    def test_every_route_needs_an_operator_key(self):
        """Guards against a route without the key check."""

        async def run():
            host = OperatorHost()
            for route in host.app.routes:
                path = route.path.replace("{number:int}", "1")
                path = path.replace("{kind}/{name}", "service/booking")
                method = "GET" if "GET" in route.methods else "POST"
                for key in ("", "wrong", OPERATOR_KEY[:-1], "schl\u00fcssel"):
                    status, _ = await host.call(method, path, body(), key)
                    self.assertEqual(401, status, path)
            status, _ = await host.call("GET", "/v1/status", key="operator-key-2")
            self.assertEqual(200, status)

        asyncio.run(run())

    def test_refusals_carry_code_and_outcome(self):
        """Guards against an unhandled exception in place of a refusal."""

        async def run():
            host = OperatorHost()
            cases = [
                (b"{", Code.MALFORMED),
                (b"[1]", Code.TICKET_INVALID),
                (b"[" * 40, Code.TOO_DEEP),
                (b" " * 1_000_001, Code.TOO_LARGE),
                (body(based_on=9), Code.TICKET_INVALID),
                (b'{"format": NaN}', Code.NON_FINITE),
            ]
            for data, code in cases:
                status, found = await host.call("POST", "/v1/tickets", data)
                self.assertEqual((code.status, code), (status, found["code"]))
                self.assertEqual("not_run", found["outcome"])
            for path in ("/v1/tickets/7", "/v1/objects/service/x"):
                self.assertEqual(404, (await host.call("GET", path))[0])
            status, _ = await host.call("GET", "/v1/audit?since=-1")
            self.assertEqual(422, status)
            host.store.down = True
            status, found = await host.call("POST", "/v1/tickets", body())
            self.assertEqual((503, 4003), (status, found["code"]))
            self.assertEqual(503, (await host.call("GET", "/v1/tickets"))[0])

        asyncio.run(run())
