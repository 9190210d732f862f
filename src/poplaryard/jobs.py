"""Jobs and attempts as one shard's scheduler tracks them."""

import typing as t
from collections import deque
from dataclasses import dataclass, field

from .messages import Work, WorkKind

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
    preempted : bool
        Whether it is stopped so that other work can start.
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
    preempted: bool = False

    @property
    def is_replica(self) -> bool:
        """Whether this attempt is a service replica."""
        return self.work.kind is WorkKind.SERVICE

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
    parts : dict of int to object
        Results by task.
    attempts : set of str
        Attempts in progress.
    failures : int
        Attempts that failed or were lost.
    started : bool
        Whether any attempt may have run.
    retry_at : float
        Time before which no task is started again.
    """

    work: Work
    reply_to: str
    arrived: float
    pending: deque[int] = field(default_factory=deque)
    parts: dict[int, t.Any] = field(default_factory=dict)
    attempts: set[str] = field(default_factory=set)
    failures: int = 0
    refusals: int = 0
    started: bool = False
    cancelled: bool = False
    retry_at: float = 0.0
