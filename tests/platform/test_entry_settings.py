"""Settings of the command ``entry``, at the start and after SIGHUP."""

import importlib.metadata
import json
import logging
import pathlib
import re
import subprocess
import sys

import pytest
from click.testing import CliRunner

from poplaryard.logs import logger
from poplaryard.platform import entry as entry_module
from poplaryard.workload.run_times import RunTimeUses

VALID = {
    "process": "e0",
    "data_centre": "dc1",
    "listen": dict.fromkeys(("callers", "ready", "peers", "metrics"), "127.0.0.1:1"),
    "store": "127.0.0.1:2",
    "advice": "127.0.0.1:3",
    "cpu_share": 1.0,
    "max_hold_ms": 6000,
    "keep_s": 120,
}
INVALID = [
    ('{"process": ', ""),
    (json.dumps(VALID | {"keep_s": "long"}), "$.keep_s"),
    (json.dumps(VALID | {"log_level": "chatty"}), "$.log_level"),
    ("\udcff", ""),
]


def write(path, text):
    path.write_bytes(text.encode("utf-8", "surrogateescape"))


@pytest.mark.parametrize(("text", "field"), INVALID)
def test_invalid_settings_stop_the_start(tmp_path, text, field):
    path = tmp_path / "entry.json"
    write(path, text)
    result = CliRunner().invoke(entry_module.entry, ["--config", str(path)])
    assert result.exit_code == 2
    assert str(path) in result.output
    assert field in result.output


@pytest.mark.parametrize(("text", "field"), [*INVALID, (None, "")])
def test_invalid_settings_are_not_reloaded(tmp_path, caplog, monkeypatch, text, field):
    """Guards against a process that a damaged settings file ends on SIGHUP."""
    monkeypatch.setattr(logger, "propagate", True)
    path = tmp_path / "entry.json"
    write(path, json.dumps(VALID | {"log_level": "warning"}))
    entry_module._reload(str(path))
    if text is None:
        path.unlink()
    else:
        write(path, text)
    entry_module._reload(str(path))
    assert logger.level == logging.WARNING
    assert caplog.records[-1].message == "settings not reloaded"
    assert field in caplog.records[-1].reason
    logger.setLevel(logging.INFO)


@pytest.mark.parametrize("bounds", [{}, {"strict_revocation": True, "revoke_ms": 5000}])
def test_template_renders_with_and_without_tenants(tmp_path, bounds):
    """Guards against settings that are no JSON where a bound is absent.

    Only values are filled in, not sections, which not every renderer knows.
    """
    template = pathlib.Path(__file__).parents[2] / "deploy/settings.json.in"
    text = template.read_text().replace("{{bounds|json}}", json.dumps(bounds))
    text = re.sub(r"{{(ip|port_range\.0)}}", "1", text)
    text = re.sub(r"{{(bounds|limits)\.\w+\|json}}", "1", text)
    path = tmp_path / "entry.json"
    write(path, re.sub(r"{{.*?}}", '"127.0.0.1:1"', text))
    cfg = entry_module.load_settings(str(path))
    assert cfg.bounds.strict_revocation is bool(bounds)
    assert cfg.bounds.revoke_ms == 5000


IMPORT_WITH_DEPLOYED_PACKAGES = """
import importlib.abc
import sys

class Missing(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        if name in sys.argv[1:]:
            raise ModuleNotFoundError(name)

sys.meta_path.insert(0, Missing())
import poplaryard.platform.entry
"""


def test_entry_needs_only_the_packages_that_are_deployed():
    """Guards against processes that fail at start: a package was not deployed."""
    root = pathlib.Path(__file__).parents[2]
    deployed = (root / "deploy/requirements.txt").read_text().splitlines()
    locked = (root / "requirements.lock").read_text().splitlines()
    names = {line.partition("==")[0] for line in set(locked) - set(deployed)}
    missing = [
        module
        for module, packages in importlib.metadata.packages_distributions().items()
        if names.issuperset(packages)
    ]
    assert "returns" in missing
    command = [sys.executable, "-c", IMPORT_WITH_DEPLOYED_PACKAGES, *missing]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize("learns", [None, False, True])
def test_run_times_are_learned_only_if_the_settings_say_so(tmp_path, learns):
    """Guards against a setting that does not take effect, or does so by default."""
    path = tmp_path / "entry.json"
    extra = {} if learns is None else {"learn_run_times": learns}
    write(path, json.dumps(VALID | extra))
    limits = entry_module._owner_limits(entry_module.load_settings(str(path)))
    expected = RunTimeUses.all() if learns else RunTimeUses()
    assert limits.run_time_uses == expected
    assert bool(limits.run_time_uses) is bool(learns)
