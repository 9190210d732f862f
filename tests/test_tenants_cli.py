import asyncio
import json
import threading

import pytest
from click.testing import CliRunner

from poplaryard.cli import main
from poplaryard.tenants_cli import collect, parse, table
from poplaryard.workload.meters import Meters
from tests.ports import reserve_ports

FIGURES = {
    "weight": 2.0,
    "share": 0.25,
    "fair_share": 0.5,
    "cap_cpu_m": 8000,
    "used_cpu_m": 1500,
    "used_mem_mb": 10,
    "used_gpus": 0,
}
EVERY_KIND = 'a"b\\n,}\n\u2028 {x="y"} 1'


def metrics(*groups, tenant="a"):
    """Return the metrics of a process that owns these groups."""
    meters = Meters()
    for group in groups:
        samples = [
            ({"group": group, "tenant": tenant, "figure": name}, value)
            for name, value in FIGURES.items()
        ]
        meters.replace("poplaryard_tenant", group, samples)
    return meters


def test_figures_of_all_processes_are_summed_up():
    """Guards against caps that are counted once for each partition."""
    texts = [metrics("g~1", "g~2").text().decode(), metrics("g~3").text().decode()]
    found = collect(sample for text in texts for sample in parse(text))
    assert found["a"].figures["used_cpu_m"] == 4500
    assert found["a"].figures["cap_cpu_m"] == 8000
    assert found["a"].figures["weight"] == 2.0
    assert set(found["a"].groups) == {"g~1", "g~2", "g~3"}


def test_any_name_of_a_tenant_is_kept():
    """Guards against a name that adds samples to the metrics, or hides others."""
    found = collect(parse(metrics("g", tenant=EVERY_KIND).text().decode()))
    assert list(found) == [EVERY_KIND]
    assert found[EVERY_KIND].figures["used_cpu_m"] == 1500


def test_figures_of_a_group_that_was_given_up_disappear():
    """Guards against counting a partition at its earlier and its present owner."""
    meters = metrics("g~1", "g~2")
    meters.replace("poplaryard_tenant", "g~1", ())
    found = collect(parse(meters.text().decode()))
    assert set(found["a"].groups) == {"g~2"}


def test_table_tells_limits_that_there_are_not():
    """Guards against a missing limit that looks like a limit of nothing."""
    found = collect(parse(metrics("g").text().decode()))
    header, line = table(found)
    assert header.split()[:6] == [
        "tenant",
        "weight",
        "cap",
        "used",
        "waiting",
        "available",
    ]
    assert line.split() == ["a", "2", "8/-/-", "1.5/10/0", "-", "-", "g:0.25(0.50)"]


def test_unreadable_lines_are_skipped():
    """Guards against a command that fails because an address is another program's."""
    text = 'poplaryard_tenant{tenant="a"} x\npoplaryard_tenant{tenant="a"} 1\n<html>'
    assert list(parse(text)) == []


@pytest.fixture
def server():
    """Return the address of a process that serves metrics, in a thread of its own."""
    content = metrics("g").text()
    loop = asyncio.new_event_loop()

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
        writer.write(head.encode() + content)
        await writer.drain()
        writer.close()

    listening = loop.run_until_complete(asyncio.start_server(answer, "127.0.0.1", 0))
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    yield f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    listening.close()
    loop.close()


def test_command_prints_what_it_could_read(server):
    """Guards against one process that is away hiding the figures of the others."""
    runner = CliRunner()
    away = f"127.0.0.1:{reserve_ports(1)[0]}"
    found = runner.invoke(main, ["tenants", server, "--json"])
    assert found.exit_code == 0
    assert json.loads(found.stdout)["a"]["used_cpu_m"] == 1500
    found = runner.invoke(main, ["tenants", server, away])
    assert found.exit_code == 3
    assert "1.5/10/0" in found.stdout
    assert away in found.stderr
