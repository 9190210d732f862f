import asyncio
import io
import json
import os
import subprocess
import sys
import threading
import time

import testtools

from poplaryard import logs


class LogsTest(testtools.TestCase):
    def test_lines_have_the_ids(self):
        """Guards against log lines that cannot be assigned to a request or process."""
        stream = io.StringIO()
        logs.configure("entry-1#ab", "info", lambda: 4, stream)
        with logs.bind_request_id("r1"):
            logs.logger.info("sent", extra={"shard": "dc1/0"})
        logs.logger.debug("not written")
        logs.logger.error("failed")
        first, second = map(json.loads, stream.getvalue().splitlines())
        ids = {key: first[key] for key in ("process", "ticket", "request", "shard")}
        expected = {"process": "entry-1#ab", "ticket": 4, "request": "r1"}
        self.assertEqual({**expected, "shard": "dc1/0"}, ids)
        self.assertEqual("ERROR", second["level"])
        self.assertNotIn("request", second)

    def test_exception_that_ends_a_task_is_logged(self):
        """Guards against a shard that stops without a log line."""
        stream = io.StringIO()
        logs.configure("p#1", "info", stream=stream)

        async def fail():
            raise ValueError("fault")

        async def run():
            task = asyncio.create_task(fail())
            task.add_done_callback(logs.log_failure)
            await asyncio.wait([task])
            await asyncio.sleep(0)

        asyncio.run(run())
        self.assertIn("ValueError: fault", json.loads(stream.getvalue())["exc_info"])


class BlockedStream:
    """Stream whose writes block until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(5)
        self.text += text

    def flush(self):
        pass


def test_reader_that_stops_reading_does_not_block_the_process():
    """Guards against writes that block on a full pipe, and an unbounded buffer."""
    blocked = BlockedStream()
    stream = logs.BackgroundStream(blocked, limit=100)
    began = time.monotonic()
    for number in range(1000):
        stream.write(f"{number}\n")
    assert time.monotonic() - began < 0.5
    assert stream.dropped >= 800
    blocked.released.set()
    stream.write("last\n")
    stream.close(2)
    deadline = time.monotonic() + 2
    while "log lines dropped" not in blocked.text and time.monotonic() < deadline:
        time.sleep(0.01)
    assert "log lines dropped" in blocked.text


WRITER_THAT_ENDS = """
import sys
import time
from poplaryard.logs import BackgroundStream
stream = BackgroundStream(sys.stdout)
for number in range(3000):
    stream.write("x" * 999 + "\\n")
time.sleep(0.3)
stream.close(0.2)
"""


def test_process_ends_cleanly_while_nobody_reads_its_log():
    """Guards against SIGABRT at the end of a process whose log writer blocks."""
    process = subprocess.Popen(
        [sys.executable, "-c", WRITER_THAT_ENDS],
        # With the variable PYTHONUNBUFFERED the standard output would have no lock.
        env={"PYTHONPATH": os.pathsep.join(sys.path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    try:
        assert process.wait(20) == 0, process.stderr.read().decode()
    finally:
        process.kill()
        process.communicate()


def test_lines_before_the_end_are_written():
    """Guards against logs that lack the last lines of a process."""
    script = WRITER_THAT_ENDS.replace("close(0.2)", "close(5.0)")
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, timeout=20, check=True
    )
    assert len(done.stdout.splitlines()) == 3000
