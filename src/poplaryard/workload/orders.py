"""Decisions of an owner: orders to workers, calls for advice, progress to store."""

from dataclasses import dataclass

from .model import JobState
from .runtime import Run, StepRun, Task, Worker

__all__ = ["AdviceRequest", "ProgressBatch", "StartOrder", "StopOrder"]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run, from a checkpoint if one is given."""

    run: Run
    checkpoint: str
    ticket: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run; `run` is None for one that this owner does not expect.

    Attributes
    ----------
    born_ms : int
        Instance of the worker that is told; a later one does not know of it.
    """

    worker: Worker
    task: str
    number: int
    run: Run | None
    born_ms: int


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Call to the advice service, to learn which of the workers may run the step.

    Attributes
    ----------
    workers : dict of str to int
        Start times (`born_ms`) of the workers by id: a ticket is of no use to a later
        instance.
    cost_s : float
        Expected duration of the call in seconds.
    """

    step: StepRun
    workers: dict[str, int]
    cost_s: float


@dataclass(frozen=True, slots=True)
class ProgressBatch:
    """Progress that has to be stored before ended runs are acknowledged.

    Attributes
    ----------
    progress : dict of str to bytes
        Encoded progress by job id.
    states : dict of str to JobState
        State that each job has once the batch is stored.
    seen : dict of Worker to tuple
        Start time of the worker (`born_ms`), and the sequence number up to which its
        ended runs may be acknowledged once the batch is stored.
    crashed : tuple of Task
        Tasks that may start again once the batch is stored.
    """

    progress: dict[str, bytes]
    states: dict[str, JobState]
    seen: dict[Worker, tuple[int, int]]
    crashed: tuple[Task, ...] = ()
