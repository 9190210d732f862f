import asyncio
import json
import pathlib
import tempfile
import threading

import testtools
from click.testing import CliRunner
from starlette.responses import JSONResponse
from starlette.routing import Route

from poplaryard.cli import main
from poplaryard.server import HttpServer

from .fake_store import service
from .test_operators import OPERATOR_KEY, OperatorHost, body


async def explain(request):
    found = {"id": request.path_params["id"], "explanation": "It waits for a VM."}
    return JSONResponse(found)


class ServerThread:
    """Operator routes on a free port, served by a separate thread."""

    def __init__(self):
        self.host = OperatorHost()
        self.host.app.routes.append(Route("/v1/explain/{id}", explain))
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.address = self.run(self._start())

    async def _start(self):
        self.http = HttpServer(self._serve, "127.0.0.1", 0)
        await self.http.start()
        return f"127.0.0.1:{self.http.ports[0]}"

    async def _serve(self, scope, receive, send):
        await self.host.app(scope, receive, send)
        if self.host.loads:
            self.host.loads.clear()
            await self.host.load()

    def run(self, call):
        return asyncio.run_coroutine_threadsafe(call, self.loop).result(20)

    def stop(self):
        self.run(self.http.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class TicketCliTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server = ServerThread()
        self.addCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "key").write_text(f"{OPERATOR_KEY}\n")

    def run_cli(self, *args, code=0, address=None, **fields):
        key_file = str(self.folder / "key")
        options = ["--server", address or self.server.address, "--key-file", key_file]
        result = CliRunner().invoke(main, [*args, *options], **fields)
        self.assertEqual(code, result.exit_code, result.output)
        return result.output

    def write_ticket(self, *args, **fields):
        path = self.folder / "change.jsonc"
        path.write_text(json.dumps(body(*args, **fields)))
        return str(path)

    def test_ticket_is_created_filed_and_put_in_force(self):
        """Guards against a command of the operators' procedure that fails."""
        text = self.run_cli("ticket", "new", "service", "booking", "--author", "Anna")
        self.assertIn("example values of service booking", text)
        path = self.folder / "change.jsonc"
        path.write_text(text.replace('"team": ""', '"team": "desk"'))
        checked = self.run_cli("ticket", "check", str(path))
        self.assertIn("service/booking is new.", checked)
        self.assertIn("Warning: service booking names the team desk", checked)
        filed = self.run_cli("ticket", "file", "--wait", str(path))
        self.assertIn("accepted as number 1", filed)
        self.assertIn("in force everywhere", filed)
        self.assertIn("Anna", self.run_cli("ticket", "list"))
        self.assertIn('"replicas": 1', self.run_cli("ticket", "show", "1"))
        again = self.run_cli("ticket", "new", "service", "booking")
        self.assertIn("present state of service booking", again)
        self.assertIn('"based_on": 1', again)
        path.write_text(again.replace('"replicas": 1', '"replicas": 5'))
        changed = self.run_cli("ticket", "diff", str(path))
        self.assertIn("replicas changes from 1 to 5", changed)
        self.assertIn("nothing changes", self.run_cli("ticket", "diff", "1"))
        waited = self.run_cli("ticket", "wait", "9", "--timeout", "0.1", code=1)
        self.assertIn("not yet in force at p0", waited)

    def test_reading_commands_print_json(self):
        """Guards against output that scripts cannot parse."""
        self.run_cli("ticket", "file", self.write_ticket())
        for args in (
            ("ticket", "list"),
            ("ticket", "show", "1"),
            ("ticket", "wait", "1"),
            ("ticket", "diff", "1"),
            ("ticket", "check", self.write_ticket("uid-2")),
            ("status",),
            ("audit", "--since", "2000-01-01"),
        ):
            json.loads(self.run_cli(*args, "--json"))
        self.assertIn("ticket accepted", self.run_cli("audit", "--since", "2000-01-01"))
        self.assertIn("ticket 1 is in force", self.run_cli("status"))

    def test_failures_print_a_message_and_set_the_exit_code(self):
        """Guards against a traceback or a wrong exit code instead of a message."""
        wrong = self.write_ticket("uid-1", service(replcas=2))
        self.assertIn("did you mean", self.run_cli("ticket", "file", wrong, code=1))
        self.run_cli("ticket", "file", self.write_ticket("uid-1"))
        stale = self.write_ticket("uid-2", service(replicas=9), based_on=0)
        conflict = self.run_cli("ticket", "file", stale, code=1)
        self.assertIn("Ticket 1 of Anna", conflict)
        self.assertIn("a new uid", conflict)
        self.assertIn("No accepted", self.run_cli("ticket", "show", "9", code=1))
        self.assertIn("waits for a VM", self.run_cli("explain", "r1"))
        (self.folder / "key").write_text("wrong")
        self.assertIn("key is missing or wrong", self.run_cli("status", code=1))
        output = self.run_cli("ticket", "file", stale, code=1, address="127.0.0.1:1")
        self.assertIn("Not filed.", output)
        output = self.run_cli("status", code=3, address="127.0.0.1:1")
        self.assertIn("does not answer", output)
