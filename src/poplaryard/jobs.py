"""Jobs and attempts as one shard's scheduler tracks them."""

import typing as t
from collections import deque
from dataclasses import dataclass, field

from .messages import Work, WorkKind

__all__ = ["Attempt", "Job"]


@dataclass(slots=True)
class Attempt:
    """One start of one task on one VM.

    Attributes
    ----------
    executor : str
        Attempt id of the replica that serves a `REQUEST`.
    running : bool
        Whether the worker has confirmed the start.
    """

    attempt_id: str
    work: Work
    task: int
    vm: str
    executor: str = ""
    running: bool = False
    started_at: float = 0.0

    @property
    def is_replica(self) -> bool:
        """Whether this attempt is a service replica."""
        return self.work.kind is WorkKind.SERVICE


@dataclass(slots=True)
class Job:
    """Work of one caller until its answer is given.

    Attributes
    ----------
    pending : deque of int
        Tasks that have no attempt at the moment.
    parts : dict of int to object
        Results by task.
    """

    work: Work
    reply_to: str
    pending: deque[int] = field(default_factory=deque)
    parts: dict[int, t.Any] = field(default_factory=dict)
    attempts: set[str] = field(default_factory=set)
    failures: int = 0
    started: bool = False
    cancelled: bool = False
    retry_at: float = 0.0
