"""Placement of the waiting tasks of a step on workers."""

import typing as t

from ..resources import Resources
from .runtime import StepRun, Task, Worker

__all__ = ["admits", "place", "place_gang", "places"]

# Workers are grouped into speed classes by the logarithm of their relative run time;
# this is the width of a class.
SPEED_CLASS_WIDTH = 0.1
# Jobs with at least this stretch factor use slow workers first, and leave the fast ones
# to jobs with a tighter objective.
LOOSE_STRETCH = 3.0


def admits(step: StepRun, worker: Worker) -> bool:
    """Return whether an empty worker could run a task of the step."""
    return (not step.spec.label or step.spec.label in worker.info.labels) and (
        step.need.fits_in(worker.info.capacity)
    )


def _score(step: StepRun, worker: Worker, free: Resources) -> tuple[t.Any, ...]:
    """Return the sort key of a worker for a step; the lowest is preferred.

    Workers on the rack with the data come first, then those of the preferred speed,
    then the one with the least room left: filling workers up keeps others empty for
    large tasks and gangs. Jobs with a tight objective, or with little time left,
    prefer fast workers, others slow ones. Steps that only use idle processor time
    prefer the worker with the most of it.
    Steps with lasting tasks or a limit per worker are spread over the workers.
    """
    other_rack = bool(step.spec.rack) and worker.info.rack != step.spec.rack
    capacity = worker.info.capacity
    if step.spec.fills:
        return (other_rack, -free.cpu_m)
    if step.spec.max_per_worker or step.spec.lasting:
        return (
            other_rack,
            step.on_worker(worker),
            -free.cpu_m / max(1, capacity.cpu_m),
        )
    speed = round(worker.slowness / SPEED_CLASS_WIDTH)
    if step.job.spec.stretch >= LOOSE_STRETCH and not step.short_of_time:
        speed = -speed
    left_share = (free - step.need).dominant_share(capacity)
    return (other_rack, speed, left_share, worker.worker_id)


RoomFor: t.TypeAlias = t.Callable[[StepRun, Worker], Resources]


def places(step: StepRun, worker: Worker, room: Resources, added: int = 0) -> int:
    """Return how many more tasks of a step can run on a worker.

    Parameters
    ----------
    room : Resources
        Resources that the step may use there.
    added : int
        Number of its tasks that are expected to start there before, less those that
        are expected to end.
    """
    if not step.need.fits_in(room):
        return 0
    count = step.need.fit_count(room)
    limit = step.spec.max_per_worker
    if limit:
        count = min(count, limit - step.on_worker(worker) - added)
    return max(0, count)


def place(
    step: StepRun, task: Task, workers: t.Iterable[Worker], room: RoomFor
) -> Worker | None:
    """Return the worker on which a task should start now, or None.

    Parameters
    ----------
    workers : iterable of Worker
        Usable workers that are permitted to run the step.
    room : callable
        Returns the free resources that the step may use on a worker.
    """
    best: Worker | None = None
    best_score: tuple[t.Any, ...] = ()
    for worker in workers:
        if not step.need.fits_in(worker.free()):
            continue
        free = room(step, worker)
        if not admits(step, worker) or not places(step, worker, free):
            continue
        score = (worker.worker_id in task.avoid, *_score(step, worker, free))
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def place_gang(
    step: StepRun, workers: t.Iterable[Worker], room: RoomFor
) -> list[Worker] | None:
    """Return a worker for each task of a gang, or None unless all can start now."""
    usable = [worker for worker in workers if admits(step, worker)]
    if step.spec.same_rack:
        racks = sorted({worker.info.rack for worker in usable})
        racks.sort(key=lambda rack: rack != step.spec.rack)
        for rack in racks:
            members = [worker for worker in usable if worker.info.rack == rack]
            chosen = _assign_gang(step, members, room)
            if chosen is not None:
                return chosen
    return _assign_gang(step, usable, room)


def _assign_gang(
    step: StepRun, workers: list[Worker], room: RoomFor
) -> list[Worker] | None:
    """Return a worker for each task of a gang, in order of preference, or None."""
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
        count = places(step, worker, room(step, worker))
        chosen += [worker] * min(count, step.spec.count - len(chosen))
        if len(chosen) == step.spec.count:
            return chosen
    return None
