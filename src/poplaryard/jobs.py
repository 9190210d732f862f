"""Jobs and attempts as one shard's scheduler tracks them."""

from collections import Counter, deque
from dataclasses import dataclass, field

from .lanes import Pending
from .messages import Priority, StopMode, Work, WorkKind
from .resources import ZERO, Resources

__all__ = ["Attempt", "Job"]


@dataclass(slots=True, eq=False)
class Attempt:
    """One start of one task on one VM.

    Attributes
    ----------
    executor : str
        Attempt id of the replica that serves a `REQUEST`.
    sent_at : float
        Time of the start; of the first report if an earlier owner started it.
    latest_start : float
        Last time at which the worker may still begin it.
    valid_until_ms : int
        The same moment on the worker's clock.
    confirmed_at : float
        Time at which the worker confirmed the start; infinity if it has not.
    stop_sent_at : float
        Time of the last stop; minus infinity if none was sent.
    stop_mode : StopMode or None
        How it was last asked to end.
    preempted : bool
        Whether it is stopped so that other work can start.
    charged : Resources
        Amount charged at its start.
    """

    attempt_id: str
    work: Work
    task: int
    vm: str
    executor: str = ""
    sent_at: float = 0.0
    latest_start: float = float("-inf")
    valid_until_ms: int = 0
    confirmed_at: float = float("inf")
    stop_sent_at: float = float("-inf")
    stop_mode: StopMode | None = None
    preempted: bool = False
    charged: Resources = ZERO

    @property
    def is_replica(self) -> bool:
        """Whether this attempt is a service replica."""
        return self.work.kind is WorkKind.SERVICE

    @property
    def preemptible(self) -> bool:
        """Whether other work may take its place; it is then run again."""
        work = self.work
        if work.kind is not WorkKind.BATCH or work.priority is Priority.URGENT:
            return False
        return work.idempotent and not work.exclusive_key

    @property
    def confirmed(self) -> bool:
        """Whether the worker has said that it started."""
        return self.confirmed_at != float("inf")


@dataclass(slots=True, eq=False)
class Job:
    """Work of one caller until its answer is given.

    Attributes
    ----------
    pending : deque of int
        Tasks that have no attempt at the moment.
    attempts : set of str
        Attempts in progress.
    failures : Counter of int
        Attempts that failed or were lost, by task: one VM may take several tasks of a
        job with it.
    refusals : int
        Starts that a worker refused.
    ran : bool
        Whether any attempt has run or was lost with its worker.
    fresh : bool
        Whether it is certain that no earlier owner has run any of its tasks.
    retry_at : float
        Time before which no task is started again.
    held : dict of int to str
        VM on which room is held, by task.
    reason : str
        Why it waits, as one sentence.
    entry : Pending or None
        Its entry in the wait queues.
    """

    work: Work
    reply_to: str
    arrived: float
    pending: deque[int] = field(default_factory=deque)
    attempts: set[str] = field(default_factory=set)
    failures: Counter[int] = field(default_factory=Counter)
    refusals: int = 0
    ran: bool = False
    fresh: bool = False
    cancelled: bool = False
    retry_at: float = 0.0
    held: dict[int, str] = field(default_factory=dict)
    reason: str = ""
    entry: Pending | None = None

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.work.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether "not run" would be untrue or could become so."""
        return self.ran or bool(self.attempts)

    @property
    def stoppable(self) -> bool:
        """Whether its attempts may be stopped half-way."""
        return self.work.idempotent and not self.work.exclusive_key
