"""What an owner decides: orders to workers, calls for advice and writes."""

from dataclasses import dataclass

from .model import JobState
from .runtime import Run, StepRun, Worker

__all__ = ["AdviceRequest", "ProgressBatch", "StartOrder", "StopOrder"]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run."""

    run: Run
    checkpoint: str
    ticket: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run; `run` is None for one that this owner did not start."""

    worker: Worker
    task: str
    number: int
    run: Run | None


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Workers to ask about for a step."""

    step: StepRun
    workers: tuple[str, ...]
    cost_s: float


@dataclass(frozen=True, slots=True)
class ProgressBatch:
    """What has to be written before ends are acknowledged.

    Attributes
    ----------
    progress : dict of str to bytes
        Encoded progress by job.
    states : dict of str to JobState
        State that each job has once this is written.
    seen : dict of Worker to tuple
        Life of the worker, and the last of its ends that counts as kept once this is
        written.
    """

    progress: dict[str, bytes]
    states: dict[str, JobState]
    seen: dict[Worker, tuple[int, int]]
