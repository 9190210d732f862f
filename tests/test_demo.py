import asyncio
import contextlib
import io

import testtools
from click.testing import CliRunner

from poplaryard import demo as demo_module
from poplaryard.codes import Code
from poplaryard.demo import _Results, demo, run_demo


class DemoTest(testtools.TestCase):
    def test_every_caller_gets_its_whole_answer(self):
        """Guards against a demo that loses answers or skips its events."""
        with contextlib.redirect_stderr(io.StringIO()):
            complete, lines = asyncio.run(asyncio.wait_for(run_demo(), 60))
        text = "\n".join(lines)
        self.assertTrue(complete, text)
        self.assertIn("Ticket 2 (booking: 9 to 12 replicas): in force", text)
        self.assertIn("stopped answering", text)
        self.assertIn("0 of them more than once", text)

    def test_exit_status_follows_the_answers(self):
        """Guards against a demo that exits with 0 although an answer was lost."""

        async def run(complete):
            return complete, ["summary"]

        for complete, status in ((True, 0), (False, 1)):
            self.patch(demo_module, "run_demo", lambda complete=complete: run(complete))
            self.assertEqual(status, CliRunner().invoke(demo).exit_code)

    def test_partial_and_foreign_answers_are_not_complete(self):
        """Guards against counting partial answers and those of other requests."""
        body = {"id": "r", "tasks": 2, "payload": {"echo": 1}}
        good = {"code": Code.OK, "parts": [{"echo": 1}, {"echo": 1}]}
        results = _Results()
        for reply in (good, {**good, "parts": [{"echo": 1}]}, {"code": 3001}, "lost"):
            results.record("s", body, reply)
        foreign = {**good, "parts": [{"echo": 1}, {"echo": 2}]}
        results.record("s", body, foreign)
        self.assertEqual((5, 1), (results.requests["s"], results.complete["s"]))
