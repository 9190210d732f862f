"""Decoders of the messages of the platform's clients, operators and workers."""

import ipaddress
import math
import re
import typing as t

import msgspec

from ..resources import Resources
from ..workload.model import (
    AdviceCost,
    EndedRun,
    HoldReport,
    JobSpec,
    Queue,
    QueueTable,
    RunningRun,
    RunOutcome,
    StepSpec,
    Tenant,
    WorkerInfo,
)
from ..workload.tenancy import KeyTable

__all__ = [
    "CONFIG_KEY",
    "WORKER_PREFIX",
    "DecodeFailed",
    "decode_config",
    "decode_hold_report",
    "decode_submission",
    "decode_worker",
]

CONFIG_KEY = "op/config"
WORKER_PREFIX = "servers/"

# Limits of a submitted job: number of steps, and number of tasks of all steps and all
# occurrences that are due. A task takes about 0.5 KB of the owner's memory.
MAX_STEPS = 1000
MAX_TASKS = 100_000

# Number of ended runs that a worker lists at a time.
MAX_LISTED_ENDS = 500

# Largest number of a message. Every float up to it is exact, and as milliseconds it is
# 285,000 years.
MAX_NUMBER = 2**53

# Cap of a tenant whose cap is unreadable: the smallest one, since 0 is no limit.
SMALLEST_CAP = Resources(1, 1, 1)

Natural: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# The platform sends times as whole or fractional milliseconds.
Milliseconds: t.TypeAlias = t.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class DecodeFailed(ValueError):
    """Raised for a message that does not have the platform's format."""


class _Step(msgspec.Struct):
    count: t.Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0
    estimate_ms: Milliseconds = 0.0
    after: list[Natural] = []
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: Natural = 0
    speculative: bool = False
    daemon: bool = False
    image: str = ""
    target_ms: Milliseconds = 0.0
    fills: bool = False
    may_miss: Natural = 0


class _Submission(msgspec.Struct):
    steps: t.Annotated[list[_Step], msgspec.Meta(min_length=1, max_length=MAX_STEPS)]
    # Opaque text that is passed to every task.
    spec: t.Annotated[str, msgspec.Meta(max_length=4000)] = ""
    times: Natural = 0
    first_run_ms: float = 0.0
    interval_ms: Milliseconds = 0.0


class _Advice(msgspec.Struct):
    decide_ms: Milliseconds = 0.0
    each_ms: Milliseconds = 0.0
    valid_ms: Milliseconds = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: Milliseconds = 3000.0
    # The objective for a job is `stretch` times its estimated critical path, plus this.
    target_duration_ms: Milliseconds = 0.0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None
    # Only `true` counts, and whatever else it is leaves the route readable.
    public: msgspec.Raw = msgspec.Raw(b"false")


class _Tenant(msgspec.Struct):
    # Each field is decoded by itself, so that a malformed one leaves the others valid.
    name: t.Annotated[str, msgspec.Meta(min_length=1)]
    api_keys: msgspec.Raw = msgspec.Raw(b"[]")
    weight: msgspec.Raw = msgspec.Raw(b"null")
    cap: msgspec.Raw = msgspec.Raw(b"null")


class _Service(msgspec.Struct):
    name: str
    admission_check: bool = False
    spare: bool = False


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = 262144


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: msgspec.Raw = msgspec.Raw(b"null")


class _Capacity(msgspec.Struct):
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0


class _Cap(msgspec.Struct):
    cpu: t.Annotated[float, msgspec.Meta(ge=0)] = 0
    mem_mb: t.Annotated[float, msgspec.Meta(ge=0)] = 0
    gpu: t.Annotated[float, msgspec.Meta(ge=0)] = 0


class _WorkerEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: t.Literal["ready", "draining"]
    room: _Capacity
    labels: list[str]
    remaining_ms: Milliseconds = 0.0
    clock_ms: Milliseconds = 0.0
    born: Milliseconds = 0
    machine: str = ""
    # Not used; an entry in which one of them is malformed has another writer.
    version: str = ""
    slots: Natural = 0
    remaining_cold_ms: Milliseconds = 0.0
    seq: Natural = 0


class _HoldAnswer(msgspec.Struct):
    clock_ms: Milliseconds
    running: list[list[t.Any]] = []
    finished: list[list[t.Any]] = []
    born: Milliseconds = 0


MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}\Z")
_submission_decoder = msgspec.json.Decoder(_Submission)
_config_decoder = msgspec.json.Decoder(_Config)
_raw_list_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_tenant_decoder = msgspec.json.Decoder(_Tenant)
_text_decoder = msgspec.json.Decoder(str)
_weight_decoder = msgspec.json.Decoder(float)
_cap_decoder = msgspec.json.Decoder(_Cap)
_worker_entry_decoder = msgspec.json.Decoder(_WorkerEntry)
_hold_answer_decoder = msgspec.json.Decoder(_HoldAnswer)


def decode_submission(
    body: bytes, job_id: str, queue: Queue, accepted_at: float, tenant: str = ""
) -> JobSpec:
    """Decode the body with which a client submits a job.

    Parameters
    ----------
    body : bytes
        JSON text.
    job_id : str
    queue : Queue
        Queue whose policy applies to the job.
    accepted_at : float
        Wall-clock time in seconds.
    tenant : str, optional
        Tenant that submits the job; empty for none.

    Raises
    ------
    DecodeFailed
        If the body is malformed, a step depends on itself or a later one, or too many
        tasks are due.
    """
    submission = _decode(_submission_decoder, body)
    tasks = sum(step.count for step in submission.steps)
    if tasks * _due_occurrences(submission, accepted_at) > MAX_TASKS:
        raise DecodeFailed(f"more than {MAX_TASKS} tasks are due")
    steps = tuple(
        _step_spec(number, step) for number, step in enumerate(submission.steps)
    )
    return JobSpec(
        job_id=job_id,
        queue=queue.name,
        group=queue.group,
        payload=submission.spec,
        steps=steps,
        times=submission.times,
        first_at=submission.first_run_ms / 1000,
        interval_s=submission.interval_ms / 1000,
        accepted_at=accepted_at,
        priority=queue.priority,
        attempts=queue.attempts,
        stretch=queue.stretch,
        slack_s=queue.slack_s,
        advice=queue.advice,
        tenant=tenant,
    )


def _due_occurrences(submission: _Submission, now: float) -> float:
    """Return the number of occurrences that are due; 1 for a job that runs once."""
    late_ms = now * 1000 - submission.first_run_ms
    if submission.times <= 1 or late_ms < 0:
        return 1
    if late_ms >= (submission.times - 1) * submission.interval_ms:
        return submission.times
    return 1 + late_ms / submission.interval_ms


def decode_config(value: bytes) -> QueueTable:
    """Decode the operator's configuration; raises `DecodeFailed`.

    What is invalid about tenants is listed in `QueueTable.problems`.
    """
    config = _decode(_config_decoder, value)
    tenants, keys, problems = _decode_tenants(config.tenants)
    return QueueTable(
        version=config.version,
        queues=tuple(_route_queue(route) for route in config.routes),
        groups=tuple(service.name for service in config.services if not service.spare),
        capacity_checked=frozenset(
            service.name for service in config.services if service.admission_check
        ),
        max_body_bytes=config.limits.max_body_bytes,
        tenants=tenants,
        keys=keys,
        problems=problems,
    )


def _decode_tenants(
    value: msgspec.Raw,
) -> tuple[dict[str, Tenant], KeyTable | None, tuple[str, ...]]:
    """Return the tenants by name, their keys, and what is invalid.

    An invalid list names no tenant, so that all keys are unknown. The problems tell
    neither keys nor values.
    """
    if bytes(value) == b"null":
        return {}, None, ()
    problems: list[str] = []
    rows = _decode_or_none(_raw_list_decoder, value)
    if rows is None:
        return {}, KeyTable(), ("the list of tenants is malformed",)
    found: dict[str, _Tenant] = {}
    for number, row in enumerate(rows):
        entry = _decode_or_none(_tenant_decoder, row)
        if entry is None:
            problems.append(f"tenant number {number} is malformed")
        elif entry.name in found:
            problems.append(f"{entry.name!r} is listed again")
        else:
            found[entry.name] = entry
    weights = {name: _decode_weight(entry.weight) for name, entry in found.items()}
    smallest = min((weight for weight in weights.values() if weight), default=1.0)
    tenants: dict[str, Tenant] = {}
    for name, entry in found.items():
        if not weights[name]:
            problems.append(f"weight of {name!r} is not positive")
        cap = _decode_cap(entry.cap)
        if cap is None:
            problems.append(f"cap of {name!r} is unreadable")
        tenants[name] = Tenant(
            name, weights[name] or smallest, cap or SMALLEST_CAP, cap is None
        )
    keys = KeyTable(_tenant_keys(found, problems))
    problems += [f"{name!r} shares a key with a tenant" for name in keys.ambiguous]
    problems += [f"{name!r} has an unusable key" for name in keys.unusable]
    return tenants, keys, tuple(problems)


def _tenant_keys(
    found: dict[str, _Tenant], problems: list[str]
) -> t.Iterator[tuple[str, str]]:
    """Yield the name and each key of all tenants; adds to the list of problems."""
    for name, entry in found.items():
        rows = _decode_or_none(_raw_list_decoder, entry.api_keys)
        keys = [_decode_or_none(_text_decoder, row) for row in rows or ()]
        if rows is None or None in keys:
            problems.append(f"keys of {name!r} are malformed")
        yield from ((name, key) for key in keys if key is not None)


def _decode_weight(value: msgspec.Raw) -> float:
    """Return the weight of a tenant, or 0 if it is not valid."""
    weight = _decode_or_none(_weight_decoder, value)
    return weight if weight and weight > 0 and math.isfinite(weight) else 0.0


def _decode_cap(value: msgspec.Raw) -> Resources | None:
    """Return the cap of a tenant, or None if it is negative or unreadable."""
    if bytes(value) == b"null":
        return Resources()
    cap = _decode_or_none(_cap_decoder, value)
    if cap is None:
        return None
    return Resources(
        _cap_amount(cap.cpu), _cap_amount(cap.mem_mb), _cap_amount(cap.gpu)
    )


def _cap_amount(number: float) -> int:
    """Return a whole amount; a fraction of 1 must not become 0, which is no limit."""
    return max(1, int(min(number, MAX_NUMBER))) if number else 0


def _decode_or_none(decoder: t.Any, value: msgspec.Raw) -> t.Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError, ValueError):
        # Not logged here: messages may contain a value, and the caller lists a problem.
        return None


def decode_worker(key: str, value: bytes) -> WorkerInfo:
    """Decode the entry that a worker wrote about itself; raises `DecodeFailed`."""
    entry = _decode(_worker_entry_decoder, value)
    _check_address(entry.address)
    return WorkerInfo(
        worker_id=key.removeprefix(WORKER_PREFIX),
        group=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        capacity=Resources(entry.room.cpu, entry.room.mem_mb, entry.room.gpu),
        labels=tuple(entry.labels),
        draining=entry.state == "draining",
        born_ms=int(entry.born),
        clock_s=entry.clock_ms / 1000,
        remaining_s=entry.remaining_ms / 1000,
        machine=entry.machine,
    )


def decode_hold_report(body: bytes) -> HoldReport:
    """Decode a worker's answer to a lease renewal; raises `DecodeFailed`."""
    hold = _decode(_hold_answer_decoder, body)
    try:
        running = tuple(_running_run(row) for row in hold.running)
        ended = tuple(_ended_run(row) for row in hold.finished)
    except (IndexError, TypeError, ValueError) as exc:
        raise DecodeFailed(f"malformed list of runs: {exc}") from exc
    complete = len(ended) < MAX_LISTED_ENDS
    return HoldReport(hold.clock_ms / 1000, int(hold.born), running, ended, complete)


def _check_address(address: str) -> None:
    """Raise `DecodeFailed` unless an address is an IPv4 address with a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError as exc:
        raise DecodeFailed(f"no address: {address!r}") from exc
    if not _PORT.match(port) or not 1 <= int(port) <= MAX_PORT:
        raise DecodeFailed(f"no port: {address!r}")


def _running_run(row: list[t.Any]) -> RunningRun:
    load = row[4] if len(row) > 4 else 0.0
    _check_run_key(row[0], row[1], row[2])
    return RunningRun(row[0], row[1], row[2], float(row[3]), float(load))


def _ended_run(row: list[t.Any]) -> EndedRun:
    _check_run_key(row[1], row[0], row[4])
    _check_run_key(row[1], row[2], row[4])
    return EndedRun(row[0], row[1], row[2], RunOutcome(row[3]), row[4])


def _check_run_key(task: t.Any, number: t.Any, checkpoint: t.Any) -> None:
    """Raise `TypeError` unless the fields of a run have their types."""
    if type(task) is not str or type(number) is not int or type(checkpoint) is not str:
        raise TypeError(f"{task!r}, {number!r}, {checkpoint!r}")


def _decode(decoder: t.Any, value: bytes) -> t.Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise DecodeFailed(str(exc)) from exc


def _step_spec(number: int, step: _Step) -> StepSpec:
    if any(earlier >= number for earlier in step.after):
        raise DecodeFailed(f"step {number} depends on a step that is not earlier")
    return StepSpec(
        count=step.count,
        need=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_s=step.estimate_ms / 1000,
        after=tuple(step.after),
        checkpointable=step.checkpointable,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requires,
        rack=step.affinity,
        max_per_worker=step.anti_affinity,
        speculative=step.speculative,
        lasting=step.daemon,
        image=step.image,
        latency_target_s=step.target_ms / 1000,
        fills=step.fills,
        may_miss=step.may_miss,
    )


def _route_queue(route: _Route) -> Queue:
    advice = None
    if route.advice is not None:
        advice = AdviceCost(
            route.advice.decide_ms / 1000,
            route.advice.each_ms / 1000,
            route.advice.valid_ms / 1000,
        )
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        group=route.service,
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        slack_s=route.target_duration_ms / 1000,
        timeout_s=route.timeout_ms / 1000,
        advice=advice,
        public=bytes(route.public) == b"true",
    )
