"""Choice of workers for the waiting tasks of a step."""

import typing as t

from ..resources import Resources
from .runtime import StepRun, Task, Worker

__all__ = ["admits", "place", "place_gang"]

# Workers whose run times differ by less than this logarithm count as equally fast.
SPEED_CLASS = 0.1
# Jobs that may take this many times their run time leave the fast workers to others.
LOOSE_STRETCH = 3.0


def admits(step: StepRun, worker: Worker) -> bool:
    """Whether a worker could run a task of the step if it were empty."""
    return (not step.spec.label or step.spec.label in worker.info.labels) and (
        step.need.fits_in(worker.info.capacity)
    )


def _score(step: StepRun, worker: Worker, free: Resources) -> tuple[t.Any, ...]:
    """Order workers: data close by, then by speed, then the one left the fullest.

    Jobs with a tight objective take the fast workers, others the slow ones. Filling
    workers up keeps whole ones free for large tasks and gangs. Steps that only use
    left-over processor time go where most of it is left.
    """
    remote = bool(step.spec.rack) and worker.info.rack != step.spec.rack
    capacity = worker.info.capacity
    if step.spec.fills:
        return (remote, -free.cpu_m)
    if step.spec.max_per_worker or step.spec.lasting:
        return (remote, step.on_worker(worker), -free.cpu_m / max(1, capacity.cpu_m))
    speed = round(worker.slowness / SPEED_CLASS)
    if step.job.spec.stretch >= LOOSE_STRETCH:
        speed = -speed
    left = (free - step.need).dominant_share(capacity)
    return (remote, speed, left, worker.worker_id)


Room: t.TypeAlias = t.Callable[[StepRun, Worker], Resources]


def _has_place(step: StepRun, worker: Worker, placed: int) -> bool:
    limit = step.spec.max_per_worker
    return not limit or step.on_worker(worker) + placed < limit


def place(
    step: StepRun, task: Task, workers: t.Iterable[Worker], room: Room
) -> Worker | None:
    """Return the worker on which a task should start now, or None.

    Parameters
    ----------
    workers : iterable of Worker
        Workers that can be used, and that may run the step.
    room : callable
        Returns what the step may use of a worker.
    """
    best: Worker | None = None
    best_score: tuple[t.Any, ...] = ()
    for worker in workers:
        if not step.need.fits_in(worker.free()):
            continue
        free = room(step, worker)
        if not step.need.fits_in(free) or not admits(step, worker):
            continue
        if not _has_place(step, worker, 0):
            continue
        score = (worker.worker_id in task.avoid, *_score(step, worker, free))
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def place_gang(
    step: StepRun, workers: t.Iterable[Worker], room: Room
) -> list[Worker] | None:
    """Return a worker for each task of a gang, or None unless all can start now."""
    usable = [worker for worker in workers if admits(step, worker)]
    if step.spec.same_rack:
        racks = sorted({worker.info.rack for worker in usable})
        racks.sort(key=lambda rack: rack != step.spec.rack)
        for rack in racks:
            members = [worker for worker in usable if worker.info.rack == rack]
            chosen = _fill(step, members, room)
            if chosen is not None:
                return chosen
    return _fill(step, usable, room)


def _fill(step: StepRun, workers: list[Worker], room: Room) -> list[Worker] | None:
    """Spread all tasks of a gang over workers, the fullest worker first."""
    avoided: set[str] = set()
    for task in step.tasks:
        avoided |= task.avoid
    chosen: list[Worker] = []
    ranked = sorted(
        workers,
        key=lambda worker: (
            worker.worker_id in avoided,
            _score(step, worker, room(step, worker)),
        ),
    )
    for worker in ranked:
        free = room(step, worker)
        placed = 0
        while (
            len(chosen) < step.spec.count
            and step.need.fits_in(free)
            and _has_place(step, worker, placed)
        ):
            free = free - step.need
            placed += 1
            chosen.append(worker)
        if len(chosen) == step.spec.count:
            return chosen
    return None
