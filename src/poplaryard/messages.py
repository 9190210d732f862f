"""Typed messages between decision objects and the tasks that own sockets.

Decision objects hold the scheduling logic and do no I/O: they take ``(now, message)``
and return a list of messages. All times named `now`, `deadline` or `until` are seconds
on the local monotonic clock; an encoded message carries the remaining seconds instead.
"""

import enum
import typing as t
from dataclasses import dataclass

from .codes import Code, Outcome
from .configuration import Configuration, VmSpec
from .resources import ZERO, Resources

__all__ = [
    "Answer",
    "AttemptReport",
    "AttemptState",
    "AuditEvent",
    "Authority",
    "Cancel",
    "ClaimReply",
    "ClaimWorker",
    "Configure",
    "Message",
    "PollReply",
    "Priority",
    "StartAttempt",
    "StartReply",
    "StopAttempt",
    "StopMode",
    "Submit",
    "Tick",
    "VmGone",
    "VmUpdate",
    "Work",
    "WorkKind",
    "WorkerRestarted",
    "WorkerUnreachable",
]


class WorkKind(enum.StrEnum):
    """Kind of work; each kind has its own placement policy."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"
    REQUEST = "request"


class Priority(enum.IntEnum):
    """Scheduling priority; work of a higher value goes first."""

    LOW = 0
    NORMAL = 1
    URGENT = 2


class AttemptState(enum.StrEnum):
    """State of an attempt as the worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


class StopMode(enum.StrEnum):
    """How a worker is to end or slow down an attempt."""

    CHECKPOINT = "checkpoint"
    DRAIN = "drain"
    STOP = "stop"
    THROTTLE = "throttle"


@dataclass(frozen=True, slots=True)
class Work:
    """Work submitted by a caller: a job of one or more identical tasks.

    Attributes
    ----------
    request_id : str
        Unique id chosen by the caller.
    target : str
        Service whose executors serve a `REQUEST`.
    need : Resources
        Declared size of one task; zero for a `REQUEST`, which takes a slot of an
        executor instead.
    declared_s : float
        Declared run time of one task in seconds.
    deadline : float
        Monotonic time by which the work must have started and been answered.
    issued_at : float
        Time at which the caller issued the id, in seconds since the Unix epoch; 0 if
        not given.
    """

    request_id: str
    kind: WorkKind = WorkKind.REQUEST
    team: str = "default"
    job_class: str = "default"
    target: str = ""
    group: str = ""
    tasks: int = 1
    need: Resources = ZERO
    priority: Priority = Priority.NORMAL
    declared_s: float = 1.0
    deadline: float = float("inf")
    idempotent: bool = True
    exclusive_key: str = ""
    issued_at: float = 0.0
    checkpointable: bool = False
    payload: t.Any = None


@dataclass(frozen=True, slots=True)
class Submit:
    """Submission of work to a shard.

    Attributes
    ----------
    reply_to : str
        Id of the entry process that answers the caller.
    wall : float
        Wall-clock time of receipt, seconds since the Unix epoch.
    attempt : int
        Number that increases each time the caller submits the request. All copies of
        one submission share it, so that a delayed copy does not restart a request that
        was answered "not run". 0 if unknown.
    """

    work: Work
    reply_to: str = ""
    wall: float = 0.0
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancellation of a request by its caller."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Configure:
    """A new configuration is in force."""

    config: Configuration


@dataclass(frozen=True, slots=True)
class VmUpdate:
    """Entry of the VM list: a VM, and whether it is leaving."""

    vm: VmSpec
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmGone:
    """A VM has left the VM list, and the leases of its tasks have lapsed."""

    vm: str


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """State of one attempt as the worker reports it.

    Attributes
    ----------
    used : Resources
        Measured usage; it lags behind the current usage.
    executor : str
        Attempt id of the service replica that ran a request; empty otherwise.
    """

    attempt_id: str
    request_id: str
    state: AttemptState
    kind: WorkKind = WorkKind.REQUEST
    task: int = 0
    need: Resources = ZERO
    used: Resources = ZERO
    executor: str = ""
    exclusive_key: str = ""
    target: str = ""
    team: str = "default"
    elapsed_s: float = 0.0
    body: t.Any = None


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer of a worker to a claim, with all running and recently ended attempts."""

    vm: str
    epoch: int
    accepted: bool
    attempts: tuple[AttemptReport, ...] = ()
    clock_ms: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PollReply:
    """Periodic report of a worker: changed attempts, usage and its leaving flag."""

    vm: str
    epoch: int
    attempts: tuple[AttemptReport, ...] = ()
    clock_ms: int = 0
    leaving: bool = False
    used: Resources = ZERO


@dataclass(frozen=True, slots=True)
class StartReply:
    """Answer of a worker to a `StartAttempt`."""

    vm: str
    attempt_id: str
    code: Code


@dataclass(frozen=True, slots=True)
class WorkerRestarted:
    """A worker was started again under its name; its clock begins anew."""

    vm: str


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """A worker did not answer; what it runs is unknown until its leases lapse."""

    vm: str


@dataclass(frozen=True, slots=True)
class Authority:
    """Authority of this process over a shard.

    Attributes
    ----------
    until : float
        Monotonic time at which the authority lapses unless renewed.
    exclusive : bool
        Whether exclusive and non-idempotent work may be started.
    """

    shard: str
    epoch: int
    until: float
    exclusive: bool = True


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic message on which deadlines, retries and renewals are processed."""


@dataclass(frozen=True, slots=True)
class ClaimWorker:
    """Command: claim a worker under an epoch."""

    vm: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Command: start one task of a job on a worker.

    Attributes
    ----------
    valid_until_ms : int
        Latest start time in milliseconds on the worker's monotonic clock.
    """

    vm: str
    attempt_id: str
    epoch: int
    valid_until_ms: int
    work: Work
    task: int = 0
    executor: str = ""


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Command: stop, drain, checkpoint or throttle one attempt."""

    vm: str
    attempt_id: str
    epoch: int
    mode: StopMode = StopMode.STOP


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer to one request.

    Attributes
    ----------
    parts : tuple
        One result per task, in task order.
    retry_after_s : float
        Seconds after which a retry may succeed; 0 if there is no such advice.
    """

    request_id: str
    code: Code
    outcome: Outcome
    parts: tuple[t.Any, ...] = ()
    detail: str = ""
    retry_after_s: float = 0.0
    reply_to: str = ""


@dataclass(frozen=True, slots=True)
class AuditEvent:
    """Entry of the audit trail.

    Attributes
    ----------
    at : float
        Seconds since the Unix epoch. Decision objects leave it at 0; the task that owns
        them sets it.
    """

    action: str
    at: float = 0.0
    ticket: int = 0
    vm: str = ""
    request_id: str = ""
    cause: str = ""


Message: t.TypeAlias = (
    Submit
    | Cancel
    | Configure
    | VmUpdate
    | VmGone
    | ClaimReply
    | PollReply
    | StartReply
    | WorkerRestarted
    | WorkerUnreachable
    | Authority
    | Tick
    | ClaimWorker
    | StartAttempt
    | StopAttempt
    | Answer
    | AuditEvent
)
