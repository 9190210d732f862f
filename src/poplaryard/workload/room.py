"""Room that is kept, or made, for steps that need much of it at once.

Small tasks take over every gap that a large one waits for. A step that does not fit
now therefore holds room on the workers that will have it soonest, and may stop less
urgent runs there if their progress is kept.
"""

import typing as t
from dataclasses import dataclass, field

from ..resources import ZERO, Resources
from . import placing
from .runtime import Run, RunPhase, StepRun, Worker

__all__ = ["Holds", "Plan", "plan_room"]

# Room is held only on workers that are expected to have it within this many seconds:
# holding it for longer costs more than it gains.
HOLD_AHEAD_S = 4.0
# Room that was held for longer is open to jobs that have long had nothing running:
# ends were expected too early, or the step waits for advice.
HOLD_MAX_S = 2.5


@dataclass(slots=True)
class Plan:
    """Workers for the tasks of a step, and the runs that have to stop for it.

    Attributes
    ----------
    ready_at : float
        Time at which all of them are expected to have room.
    """

    workers: list[Worker] = field(default_factory=list)
    victims: list[Run] = field(default_factory=list)
    ready_at: float = 0.0


class Holds:
    """Room that steps hold, most urgent first."""

    def __init__(self) -> None:
        self._held: dict[Worker, list[tuple[StepRun, Resources]]] = {}

    def clear(self) -> None:
        """Drop all holds."""
        self._held.clear()

    def hold(self, step: StepRun, workers: t.Iterable[Worker], now: float) -> None:
        """Hold room for one task of a step on each of the workers."""
        if now > step.held_until + HOLD_MAX_S:
            step.held_at = now
        step.held_until = now
        for worker in workers:
            self._held.setdefault(worker, []).append((step, step.need))

    def free(self, step: StepRun, worker: Worker) -> Resources:
        """Return the room that a step may use on a worker."""
        held = self.held_from(step, worker)
        return worker.free() if held is ZERO else worker.free() - held

    def held_from(self, step: StepRun, worker: Worker) -> Resources:
        """Return the room on a worker that more urgent steps hold."""
        held = ZERO
        for holder, amount in self._held.get(worker, ()):
            if holder is step or holder.rank > step.rank:
                continue
            if not (step.neglected and _held_too_long(holder)):
                held = held + amount
        return held


def _held_too_long(holder: StepRun) -> bool:
    return holder.held_until - holder.held_at > HOLD_MAX_S


def plan_room(
    step: StepRun, workers: t.Iterable[Worker], holds: Holds, now: float
) -> Plan | None:
    """Return where a step's waiting tasks will have room soonest, or None.

    Workers that would have to stop runs come after those that will be free anyway
    within a moment.
    """
    waiting = len(step.waiting(now))
    options = []
    for worker in workers:
        if worker.gone or worker.info.draining or not worker.synced:
            continue
        if placing.admits(step, worker) and step.verdicts.get(
            worker.worker_id, step.job.spec.advice is None
        ):
            options += _options(step, worker, holds, waiting, now)
    options.sort(key=lambda option: (option.ready_at, len(option.victims)))
    plan = Plan()
    for option in options[:waiting]:
        plan.workers += option.workers
        plan.victims += option.victims
        plan.ready_at = max(plan.ready_at, option.ready_at)
    if len(plan.workers) < waiting or plan.ready_at > now + HOLD_AHEAD_S:
        return None
    return plan


def _options(
    step: StepRun, worker: Worker, holds: Holds, waiting: int, now: float
) -> list[Plan]:
    """Return a plan for each task of the step that fits on a worker, soonest first."""
    limit = step.spec.max_per_worker or waiting
    free = holds.free(step, worker)
    ending = sorted(worker.runs.values(), key=lambda run: _ends_at(step, run, now))
    options: list[Plan] = []
    victims: list[Run] = []
    ready_at = now
    while len(options) < min(waiting, limit):
        if step.need.fits_in(free):
            free = free - step.need
            options.append(Plan([worker], victims, ready_at))
            victims = []
            continue
        if not ending:
            break
        run = ending.pop(0)
        if run.need == ZERO:
            continue
        free = free + run.need
        if _may_stop(step, run):
            victims = [*victims, run]
        else:
            ready_at = max(ready_at, _ends_at(step, run, now))
    return options


def _may_stop(step: StepRun, run: Run) -> bool:
    """Whether a run's progress is kept and its job is less urgent than the step's."""
    other = run.task.step
    return (
        run.phase is RunPhase.RUNNING
        and other.spec.checkpointable
        and not other.spec.gang
        and not other.spec.lasting
        and other.job.spec.priority > step.job.spec.priority
    )


def _ends_at(step: StepRun, run: Run, now: float) -> float:
    """Return the time at which a run is expected to give its room back."""
    if _may_stop(step, run):
        return now
    return run.ends_at(now)
