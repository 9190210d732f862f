"""Keys of tenants: who is served, and for how long without a confirmed configuration.

Pattern: keys are added and revoked while processes are cut off, suspended or restarted.
"""

import asyncio
import json
import logging
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplaryard.clock import VirtualClock
from poplaryard.exceptions import StoreDown, StoreReplyLost
from poplaryard.logs import logger
from poplaryard.platform.codec import decode_config
from poplaryard.resources import Resources
from poplaryard.workload import records
from poplaryard.workload.acceptance import Acceptance, SubmitOutcome
from poplaryard.workload.model import Tenant
from poplaryard.workload.storage import Item, Transaction
from poplaryard.workload.tenancy import KeyOutcome, KeyPolicy, KeyTable, cap_refusal
from poplaryard.workload.tenancy.keys import MAX_KEY_BYTES
from poplaryard.workload.watching import PrefixWatcher
from tests.workload.builders import job, step
from tests.workload.fakes import MemoryStorage, make_node
from tests.workload.test_owner import until

KEY = b"key-of-a"
REVOKE_S = 5.0
APPLY_S = 3.0
CONFIRMED_AT = 100.0
ACCEPTED, UNKNOWN, UNCERTAIN = KeyOutcome


def policy(revoke_s=REVOKE_S):
    table = KeyTable([("a", "key-of-a"), ("b", "shared"), ("c", "shared")])
    return KeyPolicy(revoke_s, table, CONFIRMED_AT)


@pytest.mark.parametrize(
    ("key", "revoke_s", "age_s", "outcome"),
    [
        (KEY, REVOKE_S, 4.8, ACCEPTED),
        (KEY, REVOKE_S, 4.95, UNCERTAIN),
        (KEY, None, 1e6, ACCEPTED),
        (b"new", REVOKE_S, 2.6, UNKNOWN),
        (b"new", None, 2.95, UNCERTAIN),
        (b"shared", None, 0.0, UNKNOWN),
    ],
)
def test_verdict_depends_on_the_age_of_the_configuration(key, revoke_s, age_s, outcome):
    verdict = policy(revoke_s).check(key, CONFIRMED_AT + age_s)
    assert verdict.outcome is outcome
    assert verdict.tenant == ("a" if outcome is ACCEPTED else None)


@pytest.mark.parametrize("age_s", [0.0, 1e6])
@pytest.mark.parametrize(
    "key", [None, b"", b" ", b"k\xc3\xa9y", b"k\x00", KEY + b"\n", b"k" * 70_000]
)
def test_odd_header_is_never_accepted_nor_retried(key, age_s):
    assert policy().check(key, CONFIRMED_AT + age_s).outcome is UNKNOWN


def test_process_without_a_configuration_accepts_no_key():
    """Guards against a restarted process that serves before it has read the keys."""
    assert KeyPolicy(None).check(KEY, 0.0).outcome is UNCERTAIN


# Times in steps of a quarter of a second, so that limits are met exactly, too.
QUARTERS = st.integers(0, 32).map(lambda number: number / 4)


@settings(max_examples=1500)
@given(st.sets(QUARTERS, max_size=3), st.booleans(), QUARTERS, st.booleans())
def test_verdicts_keep_the_limits_whatever_the_process_missed(
    changes, has_key, age_s, late_read
):
    """Guards against a revoked key that is served, and a valid one that gets 401.

    The key is added and revoked in turn. A read by the process answers with the newest
    configuration at its start or at its end; the request comes then.
    """
    versions = [(-1.0, has_key)]
    for acked_at in sorted(changes):
        versions.append((acked_at, not versions[-1][1]))
    began = 1.0
    now = began + age_s
    read_at = now if late_read else began
    known = [has_key for acked_at, has_key in versions if acked_at <= read_at][-1]
    table = KeyTable([("a", "key-of-a")] if known else [])
    outcome = KeyPolicy(REVOKE_S, table, began).check(KEY, now).outcome
    limit_s = REVOKE_S if outcome is ACCEPTED else APPLY_S
    ends = [*(acked_at for acked_at, _ in versions[1:]), float("inf")]
    # Whether the versions that were in force within the limit have the key.
    recent = [
        has_key
        for (acked_at, has_key), ends_at in zip(versions, ends, strict=True)
        if acked_at <= now and ends_at >= now - limit_s
    ]
    if outcome is ACCEPTED:
        assert any(recent)
    if outcome is UNKNOWN:
        assert not all(recent)


class ScriptedStorage:
    """Storage whose reads and watch calls wait until the test answers them."""

    def __init__(self):
        self.calls = []

    async def scan(self, prefix):
        return await self._wait("scan")

    async def watch(self, prefix, after, wait_s):
        return await self._wait("watch")

    async def _wait(self, name):
        fut = asyncio.get_running_loop().create_future()
        self.calls.append((name, fut))
        return await fut

    async def answer(self, count, name, answer):
        await until(lambda: len(self.calls) == count)
        called, fut = self.calls[-1]
        assert called == name
        if isinstance(answer, Exception):
            fut.set_exception(answer)
        else:
            fut.set_result(answer)
        await asyncio.sleep(0.01)


def test_only_the_start_of_completed_calls_confirms_the_configuration():
    """Guards against a key that was revoked while the process did not know.

    It was cut off, suspended, or read all again as the store had lost the history.
    """

    async def scenario():
        clock, storage = VirtualClock(100.0), ScriptedStorage()
        watcher = PrefixWatcher(storage, "op/", lambda change: None, clock=clock)
        task = asyncio.create_task(watcher.run())
        clock.advance(1.0)
        assert watcher.confirmed_at == float("-inf")
        await until(lambda: storage.calls)
        clock.advance(1.0)
        await storage.answer(1, "scan", ([], 1))
        assert watcher.confirmed_at == 101.0
        # Suspended, or cut off, during a watch call that nothing answers.
        clock.advance(600.0)
        await storage.answer(2, "watch", StoreReplyLost("no answer"))
        assert watcher.confirmed_at == 101.0
        await storage.answer(3, "watch", StoreDown("refused"))
        assert watcher.confirmed_at == 101.0
        await storage.answer(4, "watch", None)
        await until(lambda: storage.calls[-1][0] == "scan")
        clock.advance(10.0)
        assert watcher.confirmed_at == 101.0
        await storage.answer(5, "scan", ([Item("op/config", b"", 2)], 2))
        assert watcher.confirmed_at == 702.0
        clock.advance(1.0)
        await storage.answer(6, "watch", ([], 2))
        assert watcher.confirmed_at == 712.0
        task.cancel()

    asyncio.run(scenario())


TENANTS = [
    {"name": "a", "api_keys": ["secret-a", 7, "shared"], "weight": 4, "cap": {}},
    {"name": "b", "api_keys": ["secret-b", "é"], "weight": 0.5, "cap": {"cpu": -1}},
    {"name": "c", "api_keys": ["shared"], "weight": 0, "cap": "much"},
    {"name": "a", "api_keys": ["secret-second"], "weight": 1},
    {"name": "d", "api_keys": "secret-d", "weight": "heavy", "cap": {"cpu": 2000}},
    {"api_keys": ["secret-nobody"]},
    "secret-text",
]


def odd_config(version=1, tenants=TENANTS):
    return json.dumps({"version": version, "tenants": tenants}).encode()


def test_malformed_tenants_leave_the_others_valid():
    table = decode_config(odd_config())
    assert table.tenants == {
        "a": Tenant("a", 4.0),
        "b": Tenant("b", 0.5, Resources(1, 1, 1), blocked=True),
        "c": Tenant("c", 0.5, Resources(1, 1, 1), blocked=True),
        "d": Tenant("d", 0.5, Resources(2000)),
    }
    keys = {
        key: table.keys.tenant_of(key.encode())
        for key in ("secret-a", "secret-b", "shared", "secret-second", "secret-nobody")
    }
    assert keys == dict.fromkeys(keys) | {"secret-a": "a", "secret-b": "b"}


@pytest.mark.parametrize("tenants", [5, "x", {}, [], [None], [[]]])
def test_unreadable_list_of_tenants_permits_no_key(tenants):
    """Guards against jobs without a key where the configuration is malformed."""
    assert KeyPolicy(None, decode_config(odd_config(1, tenants)).keys, 0.0).check(
        KEY, 0.0
    ) == (UNKNOWN, None, "unknown key", True)


def test_configuration_without_tenants_requires_no_key():
    for body in (b'{"version": 1}', odd_config(1, None)):
        table = decode_config(body)
        assert table.keys is None
        assert KeyPolicy(REVOKE_S, table.keys, 0.0).check(None, 1e6).accepted


class RecordedLines(logging.Handler):
    """Handler that keeps all records as text."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(f"{record.getMessage()} {vars(record)}")


def test_odd_configurations_are_logged_without_keys_and_confirm_nothing(
    caplog, monkeypatch
):
    """Guards against keys in logs, and against revocations in an unreadable version."""
    # Handlers of pytest get each record once or twice, depending on earlier tests.
    recorded = RecordedLines()
    monkeypatch.setattr(logger, "handlers", [recorded])
    monkeypatch.setattr(logger, "propagate", False)
    caplog.set_level(logging.DEBUG, logger.name)

    async def scenario():
        storage = MemoryStorage()
        node = make_node(storage, decode_config)
        await node.start()
        await storage.commit(Transaction(puts=[("op/config", odd_config(), 0)]))
        await until(lambda: node.queues.version)
        queue = decode_config(
            b'{"version": 1, "routes": [{"name": "q", "host": "h", "prefix": "/",'
            b' "service": "s"}]}'
        ).queues[0]
        for _ in range(50):
            assert not node.check_key(queue, b"secret-wrong").accepted
        assert node.check_key(queue, b"secret-a").tenant == "a"
        node.update_gauges()
        texts = [repr(node.queues), str(node.queues.keys), node.meters.text().decode()]
        # The newest configuration may have revoked keys, but nobody knows which.
        odd = [("op/config", b'{"version": "secret-x"', 0)]
        await storage.commit(Transaction(puts=odd))
        await until(
            lambda: any("unreadable configuration" in line for line in recorded.lines)
        )
        stale_at = node.config_confirmed_at
        await storage.commit(Transaction(puts=[("op/other", b"", 0)]))
        await asyncio.sleep(0.05)
        assert node.config_confirmed_at == stale_at
        assert node.check_key(queue, b"secret-a").accepted
        await storage.commit(Transaction(puts=[("op/config", odd_config(2), 0)]))
        await until(lambda: node.config_confirmed_at > stale_at)
        await node.stop()
        return texts

    texts = asyncio.run(scenario())
    lines = recorded.lines
    assert sum(line.startswith("request refused") for line in lines) == 1
    assert sum(line.startswith("invalid tenants") for line in lines) == 2
    text = "\n".join([*texts, *lines])
    assert 'poplaryard_key_checks_total{outcome="unknown"} 50' in text
    assert re.search(r"^poplaryard_config_age_seconds(\{\})? \d", text, re.M)
    assert "secret" not in text
    assert "shared" not in text


def test_jobs_of_tenants_with_the_same_id_do_not_meet():
    """Guards against a tenant that is told that its job is stored, but it is not.

    The id is sent together, one after the other, or again after lost answers.
    """

    async def run():
        storage = MemoryStorage()
        acceptance = Acceptance(storage, lambda specs, revision: None)

        async def submit(number, tenant, faults=()):
            storage.faults["commit"] = list(faults)
            spec = job(f"{number:016x}", tenant=tenant, payload=tenant)
            return await acceptance.submit(spec, retry_window_s=3.0)

        first, filler = (asyncio.create_task(submit(number, "a")) for number in (1, 2))
        pairs = [asyncio.create_task(submit(3, tenant)) for tenant in ("a", "b", "a")]
        found = await asyncio.gather(first, filler, *pairs)
        stored, conflict = SubmitOutcome.STORED, SubmitOutcome.CONFLICT
        assert found == [stored, stored, stored, conflict, stored]
        assert await submit(1, "b") is conflict
        assert await submit(1, "b", ["dropped"]) is conflict
        assert await submit(1, "a", ["lost"]) is stored
        assert await submit(1, "") is conflict
        kept = storage.items[records.job_key("desk", f"{1:016x}")]
        assert records.decode_job(kept.value).payload == "a"

    asyncio.run(run())


@given(st.lists(st.text("ab~é", min_size=1), min_size=1), st.text())
def test_home_record_names_the_tenant_and_stays_as_it_was_without_one(homes, tenant):
    value = records.encode_homes(homes, tenant)
    assert records.decode_homes(value) == tuple(homes)
    assert records.decode_home_tenant(value) == tenant
    assert records.encode_homes(homes) == "\n".join(homes).encode()


@pytest.mark.parametrize(
    ("steps", "cap", "fits"),
    [
        ([step(count=50, cpu=1000)], Resources(1000), True),
        ([step(), step(cpu=1001)], Resources(1000), False),
        ([step(count=2, cpu=600, gang=True)], Resources(1000), False),
        ([step(count=2, cpu=500, gang=True)], Resources(1000), True),
        ([step(cpu=10**6, gpus=1)], Resources(gpus=1), True),
        ([step(gpus=2)], Resources(gpus=1), False),
    ],
)
def test_job_that_can_never_fit_its_cap_is_refused_at_once(steps, cap, fits):
    """Guards against a caller that waits for a job that will never run."""
    spec = job("a" * 16, *steps, tenant="a")
    assert (not cap_refusal(spec, Tenant("a", cap=cap))) is fits
    assert cap_refusal(job("a" * 16, step(cpu=0)), Tenant("a", blocked=True))


def test_longest_key_is_usable():
    key = "k" * MAX_KEY_BYTES
    table = KeyTable([("a", key), ("b", key + "k")])
    assert table.tenant_of(key.encode()) == "a"
    assert table.unusable == ("b",)
