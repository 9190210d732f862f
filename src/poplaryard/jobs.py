"""Jobs and attempts as one shard's scheduler tracks them."""

from collections import Counter, deque
from dataclasses import dataclass, field

from .lanes import QueueEntry
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
        Time at which the start was sent; of the first report if an earlier owner sent
        it.
    latest_start : float
        Last time at which the worker may still begin it.
    valid_until_ms : int
        `latest_start` on the worker's clock, in milliseconds.
    confirmed_at : float
        Time at which the worker confirmed the start; infinity if it has not.
    stop_sent_at : float
        Time at which the last stop was sent; minus infinity if none was.
    stop_mode : StopMode or None
        Mode of the last stop.
    preempted : bool
        Whether it is being ended so that other work can start.
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
        """Whether it may be ended for other work and run again later."""
        work = self.work
        if work.kind is not WorkKind.BATCH or work.priority is Priority.URGENT:
            return False
        return work.idempotent and not work.exclusive_key

    @property
    def confirmed(self) -> bool:
        """Whether the worker has confirmed the start."""
        return self.confirmed_at != float("inf")


@dataclass(slots=True, eq=False)
class Job:
    """One submitted request and the progress of its tasks until it is answered.

    Attributes
    ----------
    pending : deque of int
        Tasks without an attempt in progress that are still to be started.
    attempts : set of str
        Attempts in progress.
    failures : Counter of int
        Failed and lost attempts by task. They are counted for each task, since the loss
        of one VM can end several tasks of a job.
    refusals : int
        Starts that a worker refused.
    may_have_run : bool
        Whether an attempt has run, or may have run because it was lost with its worker
        or because an earlier owner may have started it.
    no_earlier_run : bool
        Whether it is certain that no earlier owner has run any of its tasks.
    retry_at : float
        Time before which no task is started again.
    held : dict of int to str
        VM on which capacity is held, by task.
    reason : str
        Why it waits, as one sentence.
    entry : QueueEntry or None
        Its entry in the wait queues.
    """

    work: Work
    reply_to: str
    arrived: float
    pending: deque[int] = field(default_factory=deque)
    attempts: set[str] = field(default_factory=set)
    failures: Counter[int] = field(default_factory=Counter)
    refusals: int = 0
    may_have_run: bool = False
    no_earlier_run: bool = False
    cancelled: bool = False
    retry_at: float = 0.0
    held: dict[int, str] = field(default_factory=dict)
    reason: str = ""
    entry: QueueEntry | None = None

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.work.request_id

    @property
    def may_run_or_have_run(self) -> bool:
        """Whether the answer "not run" would be false or could become false."""
        return self.may_have_run or bool(self.attempts)

    @property
    def stoppable(self) -> bool:
        """Whether its attempts may be stopped before they end."""
        return self.work.idempotent and not self.work.exclusive_key
