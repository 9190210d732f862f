import json
import os
import tempfile

import testtools
from click.testing import CliRunner

from poplaryard.codes import Code
from poplaryard.settings import check_config, load_settings

_GOOD = {
    "process": "entry-1",
    "cell": "booking",
    "data_centre": "dc1",
    "listen": "127.0.0.1:8080",
    "platform": "127.0.0.1:9000",
    "peers": {"dc2": ["127.0.0.1:8081"]},
    "keys": {
        "callers": {"app": "caller-key-1"},
        "operators": {"ops": "operator-key-1"},
        "peer": "peer-key-1",
    },
}


class SettingsTest(testtools.TestCase):
    def path(self, text):
        descriptor, path = tempfile.mkstemp(suffix=".json")
        self.addCleanup(os.unlink, path)
        with os.fdopen(descriptor, "w") as file:
            file.write(text)
        return path

    def error(self, **changes):
        path = self.path(json.dumps({**_GOOD, **changes}))
        exc = load_settings(path).failure()
        self.assertIn(path, exc.detail)
        self.assertEqual(Code.SETTINGS_INVALID, exc.code)
        return exc.detail

    def test_comments_are_allowed(self):
        """Guards against a reader that takes plain JSON only."""
        path = self.path("// entry\n" + json.dumps(_GOOD))
        self.assertEqual("entry-1", load_settings(path).unwrap().process)

    def test_errors_name_the_key_and_what_was_expected(self):
        """Guards against a message from which the operator cannot find the fault."""
        limits = {"body_kb": 0, "spare": 1}
        found = self.error(limits=limits, listen="localhost:1", peers={"dc2": ["x"]})
        self.assertIn(
            "limits.body_kb: Input should be greater than or equal to 1", found
        )
        self.assertIn("limits.spare: unknown key", found)
        self.assertIn("listen: expected an IPv4 address", found)
        self.assertIn("peers.dc2[0]: expected an IPv4 address", found)
        self.assertIn("keys: this key is required", self.error_without("keys"))

    def error_without(self, key):
        path = self.path(json.dumps({k: v for k, v in _GOOD.items() if k != key}))
        return load_settings(path).failure().detail

    def test_errors_do_not_show_keys(self):
        """Guards against secrets that end up in logs with an error message."""
        keys = {**_GOOD["keys"], "peer": "hush-7"}
        self.assertNotIn("hush-7", self.error(keys=keys))

    def test_numbers_given_as_text_are_refused(self):
        """Guards against "10 s" or "64" being taken for a number of another unit."""
        found = self.error(limits={"default_timeout_s": "30 s"})
        self.assertIn("limits.default_timeout_s", found)

    def test_command_exits_with_2_and_the_code(self):
        """Guards against a traceback for a file that cannot be read."""
        for path, code in ((self.path("{"), 5001), ("/nonexistent", 5001)):
            result = CliRunner().invoke(check_config, [path])
            self.assertEqual(2, result.exit_code)
            self.assertIn(f"[code {code}]", result.output)
            self.assertNotIn("Traceback", result.output)
        good = CliRunner().invoke(check_config, [self.path(json.dumps(_GOOD))])
        self.assertEqual(0, good.exit_code)
