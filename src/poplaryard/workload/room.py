"""Reservation of room for large steps, and preemption of less urgent runs.

Room is the free capacity of workers. Small tasks would fill every gap that a large one
waits for. A step that does not fit now therefore reserves room on the workers that will
have it soonest. It may preempt less urgent runs there if these can resume from a
checkpoint.
"""

import typing as t
from dataclasses import dataclass, field

from ..resources import ZERO, Resources
from . import placing
from .runtime import Run, RunPhase, StepRun, Worker
from .tenancy import Shares

__all__ = ["Plan", "Reservations", "plan_room"]

# Room is reserved only if it is expected to be free within this many seconds: a longer
# reservation costs more than it gains.
RESERVE_AHEAD_S = 4.0
# Time for which a run is not preempted after it began, in seconds. Stopping it and
# resuming from its checkpoint takes about as long, so that runs that are preempted
# sooner make no progress.
MIN_RUN_S = 1.0
# Room that has been reserved for more than this many seconds may be used by starved
# jobs: either the runs there take longer than expected, or the step waits for advice.
RESERVE_MAX_S = 2.5


@dataclass(slots=True)
class Plan:
    """Workers to reserve for the tasks of a step, and the runs to preempt for it.

    Attributes
    ----------
    workers : list of Worker
        One entry for each task.
    ready_at : float
        Time at which all of the workers are expected to have room.
    """

    workers: list[Worker] = field(default_factory=list)
    victims: list[Run] = field(default_factory=list)
    ready_at: float = 0.0


class Reservations:
    """Room that is reserved for steps, by worker."""

    def __init__(self) -> None:
        self._by_worker: dict[Worker, list[tuple[StepRun, Resources]]] = {}

    def clear(self) -> None:
        """Drop all reservations."""
        self._by_worker.clear()

    def reserve(self, step: StepRun, workers: t.Iterable[Worker], now: float) -> None:
        """Reserve room for one task of a step on each of the workers."""
        if now > step.reserved_until + RESERVE_MAX_S:
            step.reserved_since = now
        step.reserved_until = now
        for worker in workers:
            self._by_worker.setdefault(worker, []).append((step, step.need))

    def free(self, step: StepRun, worker: Worker) -> Resources:
        """Return the room that a step may use on a worker."""
        reserved = self.reserved_for_others(step, worker)
        return worker.free() if reserved is ZERO else worker.free() - reserved

    def reserved_for_others(self, step: StepRun, worker: Worker) -> Resources:
        """Return the room on a worker that is reserved for more urgent steps."""
        reserved = ZERO
        for holder, amount in self._by_worker.get(worker, ()):
            if holder is step or holder.rank > step.rank:
                continue
            if not (step.starved and _reserved_too_long(holder)):
                reserved = reserved + amount
        return reserved


def _reserved_too_long(holder: StepRun) -> bool:
    return holder.reserved_until - holder.reserved_since > RESERVE_MAX_S


def plan_room(
    step: StepRun,
    workers: t.Iterable[Worker],
    reservations: Reservations,
    now: float,
    may_preempt: bool = True,
    shares: Shares | None = None,
) -> Plan | None:
    """Return the plan under which a step's waiting tasks have room soonest, or None.

    Of workers that have room at the same time, those without preempted runs come first.

    Parameters
    ----------
    may_preempt : bool
        Whether runs of less urgent jobs may be preempted.
    shares : Shares, optional
        Shares of the tenants, which limit whose runs may be preempted.
    """
    waiting = len(step.waiting(now))
    options = []
    for worker in workers:
        if worker.gone or worker.info.draining or not worker.synced:
            continue
        if not worker.described:
            continue
        if placing.admits(step, worker) and step.may_run.get(
            worker.worker_id, step.job.spec.advice is None
        ):
            preemptable = {
                run
                for run in worker.runs.values()
                if may_preempt and _can_preempt(step, run, now, shares)
            }
            options += _options(step, worker, reservations, waiting, now, preemptable)
    options.sort(key=lambda option: (option.ready_at, len(option.victims)))
    plan = Plan()
    for option in options[:waiting]:
        plan.workers += option.workers
        plan.victims += option.victims
        plan.ready_at = max(plan.ready_at, option.ready_at)
    if len(plan.workers) < waiting or plan.ready_at > now + RESERVE_AHEAD_S:
        return None
    return plan


def _options(
    step: StepRun,
    worker: Worker,
    reservations: Reservations,
    waiting: int,
    now: float,
    preemptable: set[Run],
) -> list[Plan]:
    """Return a plan for each task of the step that fits on a worker, soonest first."""
    free = reservations.free(step, worker)
    # Tasks of the step that are placed here, less those that end first.
    added = 0

    def ends_at(run: Run) -> float:
        return now if run in preemptable else run.ends_at(now)

    ending = sorted(worker.runs.values(), key=ends_at)
    options: list[Plan] = []
    victims: list[Run] = []
    ready_at = now
    while len(options) < waiting:
        if placing.places(step, worker, free, added):
            added += 1
            free = free - step.need
            options.append(Plan([worker], victims, ready_at))
            victims = []
            continue
        if not ending:
            break
        run = ending.pop(0)
        if run.task.step is step:
            added -= 1
        elif run.need == ZERO:
            continue
        free = free + run.need
        if run in preemptable:
            victims = [*victims, run]
        else:
            ready_at = max(ready_at, ends_at(run))
    return options


def _can_preempt(step: StepRun, run: Run, now: float, shares: Shares | None) -> bool:
    """Return whether a run can be preempted for a step without loss of progress."""
    other = run.task.step
    return (
        run.phase is RunPhase.RUNNING
        and now >= run.sent_at + MIN_RUN_S
        and other.spec.checkpointable
        and not other.spec.gang
        and not other.spec.lasting
        and other.job.spec.priority > step.job.spec.priority
        and (shares is None or shares.may_preempt(step.tenant, other.tenant))
    )
