"""Tenants over HTTP: keys that come and go, and jobs that only their tenant sees."""

import asyncio
import json

from poplaryard.platform.codec import CONFIG_KEY
from poplaryard.platform.front import PlatformFrontend
from tests.platform.standin import tenant_config
from tests.platform.test_system import JOB, run_with_processes, until, until_equal
from tests.workload.fakes import make_node

REVOKE_S = 1.5
PATH = "/checks/" + "a" * 16
OPEN_PATH = "/open/" + "b" * 16
LONG = {"steps": [{"count": 1, "cpu": 1000, "estimate_ms": 60_000}]}


async def configure(platform, processes, version, **keys):
    await platform.put(CONFIG_KEY, tenant_config(version, **keys))
    for process in processes:
        await until_equal(lambda node=process.node: node.queues.version, version)


async def status(process, method, path, key=None, body=None):
    return (await process.call(method, path, body, key=key))[0]


def test_key_is_required_added_and_revoked_by_configurations():
    async def scenario(platform, *processes):
        first = processes[0]
        assert await status(first, "POST", PATH, body=JOB) == 200
        await until(first, PATH, "done")
        await configure(platform, processes, 2, a=["k1"], b=["k2"])
        for key, found in ((None, 401), ("", 401), ("k9", 401), ("k1", 200)):
            assert await status(first, "GET", "/checks/", key) == found
            assert await status(first, "GET", PATH, key) == found
        assert await status(first, "GET", "/nothing/", "k9") == 404
        assert await status(first, "POST", OPEN_PATH, body=JOB) == 200
        assert await status(first, "GET", OPEN_PATH) == 200
        await configure(platform, processes, 3, a=["k9"], b=["k2"])
        assert await status(first, "GET", "/checks/", "k1") == 401
        assert await status(first, "POST", "/checks/" + "c" * 16, "k1", JOB) == 401
        assert await status(first, "GET", "/checks/", "k9") == 200

    run_with_processes(scenario)


def test_tenants_see_and_change_only_their_own_jobs():
    """Guards against a job that another tenant reads, cancels or replaces."""

    async def scenario(platform, *processes):
        await configure(platform, processes, 2, a=["k1"], b=["k2"])
        assert await status(processes[0], "POST", PATH, "k1", LONG) == 200
        open_path = PATH.replace("checks", "open")
        for process in processes:
            for key, path in (("k2", PATH), (None, open_path)):
                assert await status(process, "GET", path, key) == 410
                assert await status(process, "DELETE", path, key) == 410
                assert await status(process, "POST", path, key, JOB) == 409
        for _ in range(400):
            _, body = await processes[1].call("GET", PATH, key="k1")
            if body["state"] == "running":
                break
            await asyncio.sleep(0.02)
        assert body["state"] == "running"
        assert await status(processes[1], "POST", PATH, "k1", LONG) == 200
        assert await status(processes[1], "DELETE", PATH, "k1") == 200
        # Tasks that exceed the cap of 3 cores, alone or as a gang.
        for step in ({"cpu": 3001}, {"cpu": 1600, "count": 2, "gang": True}):
            path = "/checks/" + "d" * 16
            body = {"steps": [step]}
            assert await status(processes[0], "POST", path, "k1", body) == 429
            assert await status(processes[0], "GET", path, "k1") == 410

    run_with_processes(scenario)


def test_keys_are_uncertain_while_the_store_is_away():
    """Guards against a revoked key that is served by a process that is cut off."""

    async def scenario(platform, *processes):
        await configure(platform, processes, 2, a=["k1"])
        for path, key in ((PATH, "k1"), (OPEN_PATH, None)):
            assert await status(processes[0], "POST", path, key, JOB) == 200
        # Twice the limit without an outage: confirmed again and again.
        for _ in range(int(2 * REVOKE_S / 0.1)):
            assert await status(processes[1], "GET", PATH, "k1") == 200
            await asyncio.sleep(0.1)
        platform.store_refuses = True
        await asyncio.sleep(REVOKE_S)
        for process in processes:
            assert await status(process, "GET", PATH, "k1") == 503
            assert await status(process, "POST", PATH, "k1", JOB) == 503
            assert await status(process, "GET", OPEN_PATH) == 200
            assert await status(process, "GET", PATH, "") == 401
        await asyncio.sleep(3.0 - REVOKE_S)
        assert await status(processes[0], "GET", PATH, "k9") == 503
        platform.store_refuses = False
        await until_accepted(processes[0], "k1")
        assert await status(processes[0], "GET", PATH, "k9") == 401

    run_with_processes(scenario, revoke_s=REVOKE_S)


async def until_accepted(process, key):
    for _ in range(100):
        if await status(process, "GET", PATH, key) == 200:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{key} is not accepted")


def test_key_is_checked_again_once_the_body_has_arrived():
    """Guards against a slow body: the key is revoked while it is received."""

    async def scenario(platform, first):
        await configure(platform, [first], 2, a=["k1"])
        reader, writer = await asyncio.open_connection(*first.url[7:].split(":"))
        body = json.dumps(JOB).encode()
        head = f"POST {PATH} HTTP/1.1\r\nhost: desk.example\r\nx-api-key: k1\r\n"
        writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body[:5])
        await asyncio.sleep(0.1)
        await configure(platform, [first], 3, a=["k2"])
        writer.write(body[5:])
        assert (await reader.readline()).split()[1] == b"401"
        writer.close()
        assert await status(first, "GET", PATH, "k2") == 410
        # A key in two headers is not accepted, though it is valid.
        reader, writer = await asyncio.open_connection(*first.url[7:].split(":"))
        key = "x-api-key: k2\r\n"
        head = f"GET /checks/ HTTP/1.1\r\nhost: desk.example\r\n{key}{key}\r\n"
        writer.write(head.encode())
        assert (await reader.readline()).split()[1] == b"401"
        writer.close()

    run_with_processes(scenario, count=1)


def test_calls_of_peers_are_not_served_to_clients_where_keys_are_required():
    """Guards against clients that read the jobs of all tenants, or the store."""

    async def scenario(platform, first):
        first.frontend = PlatformFrontend(first.node, lambda: None, for_peers=False)
        assert await status(first, "GET", "/peer/v1/ping") == 200
        await configure(platform, [first], 2, a=["k1"])
        assert await status(first, "GET", "/peer/v1/ping", "k1") == 404
        # A restarted process that has not read its configuration.
        first.frontend = PlatformFrontend(make_node(platform.storage), None, False)
        assert await status(first, "GET", "/peer/v1/ping") == 503
        assert await status(first, "GET", PATH, "k1") == 503

    run_with_processes(scenario, count=1)
