"""Decoders at the border: whatever arrives, they reject it or return valid data.

Pattern: entries from other writers, truncated or mutated messages, extreme numbers.
"""

import asyncio
import json
import time
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplaryard.client import Reply
from poplaryard.exceptions import StoreReplyLost
from poplaryard.platform.codec import (
    MAX_TASKS,
    DecodeFailed,
    decode_config,
    decode_hold_report,
    decode_submission,
    decode_worker,
)
from poplaryard.platform.services import AdviceClient
from poplaryard.platform.store import PlatformStore
from poplaryard.workload.model import Queue
from poplaryard.workload.storage import Transaction
from tests.platform.standin import config

JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500}, {"after": [0]}]}
WORKER = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "dc1",
    "state": "ready",
    "room": {"cpu": 1000, "mem_mb": 100, "gpu": 1},
    "labels": ["a", "r1"],
    "born": 5,
}
HOLD = {
    "clock_ms": 5,
    "running": [["1.0.0.0", 1, "", 40, 3]],
    "finished": [[1, "1.0.0.1", 2, "done", ""]],
}
DECODERS = [
    (lambda body: decode_submission(body, "1" * 16, Queue("q", "h", "/", "desk"), 0.0)),
    decode_config,
    lambda body: decode_worker("servers/w", body),
    decode_hold_report,
]
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([1e308, -1e308, -1, 2**70, "", "\u0000", "a:99999999", "~"])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=5)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=6,
)


@st.composite
def mutated(draw, message):
    """Return a message in which some values, at any depth, are replaced or removed."""
    found = json.loads(json.dumps(message))
    for _ in range(draw(st.integers(1, 3))):
        node = found
        while True:
            keys = list(node) if isinstance(node, dict) else list(range(len(node)))
            if not keys:
                break
            key = draw(st.sampled_from(keys))
            if isinstance(node[key], dict | list) and draw(st.booleans()):
                node = node[key]
                continue
            if draw(st.booleans()):
                node[key] = draw(VALUES)
            else:
                del node[key]
            break
    return json.dumps(found).encode()


MESSAGES = (
    st.binary(max_size=40)
    | VALUES.map(lambda value: json.dumps(value).encode())
    | st.sampled_from([JOB, WORKER, HOLD, config(1)]).flatmap(mutated)
    | st.sampled_from([b"[" * 5000, b'{"a":' * 5000, b'{"clock_ms": 1e999}'])
)


@given(MESSAGES)
def test_decoders_reject_or_return_valid_data(body):
    """Guards against one malformed message that ends a process."""
    for decode in DECODERS:
        try:
            decoded = decode(body)
        except DecodeFailed:
            continue
        hash(decoded)


@pytest.mark.parametrize(("ends", "complete"), [(0, True), (499, True), (500, False)])
def test_report_with_the_largest_number_of_ends_may_leave_some_out(ends, complete):
    """Guards against taking runs whose ends are not listed yet for lost ones."""
    rows = [[number, "t.0.0.0", number, "done", ""] for number in range(1, ends + 1)]
    body = json.dumps({"clock_ms": 5, "running": [], "finished": rows}).encode()
    assert decode_hold_report(body).complete is complete


@given(mutated(HOLD))
def test_runs_of_a_report_have_their_types(body):
    """Guards against a worker whose report makes the owner give its group up."""
    try:
        report = decode_hold_report(body)
    except DecodeFailed:
        return
    for running in report.running:
        assert (type(running.task), type(running.run)) == (str, int)
        assert isinstance(running.percent, float)
    for ended in report.ended:
        assert (type(ended.seq), type(ended.task), type(ended.run)) == (int, str, int)


@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.0.0.1",
        "10.0.0.1:x",
        "a b:80",
        "[::1",
        "10.0.0.256:80",
        "desk:80",
        "..:80",
    ],
)
def test_worker_without_a_usable_address_is_rejected(address):
    with pytest.raises(DecodeFailed):
        decode_worker("servers/w", json.dumps(WORKER | {"address": address}).encode())


@pytest.mark.parametrize(
    "schedule",
    [
        {"times": 10**9},
        {"times": 10**9, "first_run_ms": 1.0, "interval_ms": 0.001},
        {"times": 10**9, "first_run_ms": -1e308, "interval_ms": 1.0},
    ],
)
def test_job_with_too_many_due_occurrences_is_rejected(schedule):
    """Guards against one job whose due occurrences keep its owner busy for ever."""
    body = json.dumps({"steps": [{"count": 2}], **schedule}).encode()
    queue = Queue("q", "h", "/", "desk")
    with pytest.raises(DecodeFailed):
        decode_submission(body, "1" * 16, queue, time.time())


def test_job_with_many_later_occurrences_is_accepted():
    now = time.time()
    schedule = {"times": 10**6, "first_run_ms": now * 1000, "interval_ms": 60_000.0}
    body = json.dumps({"steps": [{"count": 2}], **schedule}).encode()
    spec = decode_submission(body, "1" * 16, Queue("q", "h", "/", "desk"), now)
    assert spec.times == 10**6


# Odd fields as another writer may leave them. `1e400` and 5,000 digits are no numbers
# that a decoder can hold.
ODD_FIELDS = [
    *(("address", f'"127.0.0.1:{port}"') for port in (0, 65536, 99999, "8o8")),
    *((name, "[" * 100_000 + "]" * 100_000) for name in ("room", "seq", "other")),
    *((name, "1e400") for name in ("clock_ms", "born", "remaining_ms", "room")),
    *((name, "1e300") for name in ("clock_ms", "born", "remaining_cold_ms")),
    *((name, "9" * 5_000) for name in ("clock_ms", "born", "slots", "seq")),
    *((name, "-1") for name in ("clock_ms", "born", "remaining_ms", "slots")),
    *(("room", f'{{"cpu": {number}}}') for number in ("1e400", "9" * 30, "-1")),
    ("version", "3"),
    ("slots", '"8"'),
    ("seq", "1.5"),
    ("labels", "[1]"),
    ("machine", "{}"),
]


def odd_entry(name, value):
    """Return the entry of a worker with one odd field, given as JSON text."""
    entry = WORKER | {"address": "127.0.0.1:9", name: "ODD"}
    return json.dumps(entry).replace('"ODD"', value).encode()


@pytest.mark.parametrize(("name", "value"), ODD_FIELDS)
def test_odd_entry_names_no_worker(name, value):
    """Guards against an entry of another writer that is called as a worker."""
    with pytest.raises(DecodeFailed):
        decode_worker("servers/w", odd_entry(name, value))


def test_job_with_too_many_tasks_is_rejected():
    """Guards against one job that exhausts the memory of its owner."""
    steps = [{"count": MAX_TASKS // 2}] * 3
    with pytest.raises(DecodeFailed):
        DECODERS[0](json.dumps({"steps": steps}).encode())


def fixed_reply(body, status=200):
    async def request(method, url, data=None, timeout_s=1.0, **options):
        return Reply(status, body)

    return SimpleNamespace(request=request)


@given(VALUES)
def test_malformed_replies_of_the_store_are_lost_replies(body):
    """Guards against a watch, and with it the process, that a malformed reply ends."""

    async def run():
        for status in (200, 412):
            store = PlatformStore(fixed_reply(body, status), "10.0.0.1:1")
            for call in (
                store.get("k"),
                store.scan("k"),
                store.watch("k", 0, 0.0),
                store.commit(Transaction({"k": 0})),
                store.grant(1.0),
            ):
                with pytest.raises(StoreReplyLost):
                    await call

    asyncio.run(run())


@given(VALUES)
def test_malformed_advice_is_no_advice(body):
    """Guards against an owner that gives its group up because of malformed advice."""
    advisor = AdviceClient(fixed_reply(body), "10.0.0.1:1")
    answer = asyncio.run(advisor.ask("1.0.0", ["w"], 1.0))
    assert answer is None or isinstance(answer[0], dict)
