import io
import json

import testtools

from poplaryard import logs


class LogsTest(testtools.TestCase):
    def test_lines_carry_the_ids(self):
        """Guards against lines that cannot be tied to a request or a process."""
        stream = io.StringIO()
        logs.configure("entry-1#ab", "info", lambda: 4, stream)
        with logs.requests_id("r1"):
            logs.logger.info("sent", extra={"shard": "dc1/0"})
        logs.logger.debug("not written")
        logs.logger.error("failed")
        first, second = map(json.loads, stream.getvalue().splitlines())
        ids = {key: first[key] for key in ("process", "ticket", "request", "shard")}
        expected = {"process": "entry-1#ab", "ticket": 4, "request": "r1"}
        self.assertEqual({**expected, "shard": "dc1/0"}, ids)
        self.assertEqual("ERROR", second["level"])
        self.assertNotIn("request", second)
