"""Why tasks do not start now, since when they wait, and what ends it.

The checks are those of `Partition.advance`, in the same order. They decide nothing and
change nothing; they read no clock and perform no I/O.
"""

import functools
import itertools
import typing as t
from dataclasses import dataclass, replace

from .obstacles import (
    Delay,
    DelayReason,
    GroupView,
    names_text,
    placement_delay,
    worker_obstacle,
)
from .runtime import Run, RunPhase, StepRun, Task

__all__ = ["Delay", "DelayReason", "GroupView", "StepDelay", "find_delays"]

# Time for which a task waits before its delay is examined, in seconds.
MIN_WAIT_S = 3.0
# Maximum numbers of steps and of tasks that one report examines.
MAX_STEPS = 200
MAX_TASKS = 500

NOT_EXAMINED = Delay(DelayReason.NOT_EXAMINED)


@dataclass(slots=True)
class StepDelay:
    """Delay of some tasks of a step, for one reason.

    Attributes
    ----------
    tasks : int
        Number of tasks that wait for this reason.
    waiting_since : float
        Time since which the first of them has had no run at work.
    reason_since : float
        Time at which the step was first seen to wait for this reason.
    """

    step: StepRun
    delay: Delay
    tasks: int
    waiting_since: float
    reason_since: float


def find_delays(view: GroupView) -> list[StepDelay]:
    """Return the delays of tasks that wait for long, the longest wait first.

    The cost of a report is bounded: steps beyond `MAX_STEPS`, tasks beyond `MAX_TASKS`,
    and those of steps for which too many searches of the workers would be needed, are
    not examined.
    """
    old = [step for step in view.steps if step.job.arrived_at + MIN_WAIT_S <= view.now]
    found = []
    delays = []
    for number, step in enumerate(old):
        if number >= MAX_STEPS:
            arrived_at = step.job.arrived_at
            delays.append(
                StepDelay(step, NOT_EXAMINED, step.remaining, arrived_at, view.now)
            )
            continue
        waiting = _waiting_tasks(step, view.now)
        if waiting:
            found.append((min(waiting.values()), step, waiting))
    found.sort(key=lambda entry: entry[0])
    tasks_left = MAX_TASKS
    for since, step, waiting in found:
        left = len(waiting)
        if tasks_left:
            examined = dict(itertools.islice(waiting.items(), tasks_left))
            delays += _step_delays(step, examined, view)
            tasks_left -= len(examined)
            left -= len(examined)
        if left:
            delays.append(StepDelay(step, NOT_EXAMINED, left, since, view.now))
    return delays


def _waiting_tasks(step: StepRun, now: float) -> dict[Task, float]:
    """Return the tasks of a step that wait for long, and since when each does."""
    latest = now - MIN_WAIT_S
    ready_at = _ready_at(step)
    if ready_at > latest:
        return {}
    found = {}
    for task in step.tasks:
        if task.done or task.waiting_since > latest:
            continue
        since = _waiting_since(task, now) if task.runs else task.waiting_since
        if since <= latest:
            found[task] = max(ready_at, since)
    return found


def _ready_at(step: StepRun) -> float:
    """Return the time at which the last step ended that a step waits for."""
    if not step.spec.after:
        return float("-inf")
    steps = step.job.occurrences[step.occurrence]
    return max(
        task.idle_since for number in step.spec.after for task in steps[number].tasks
    )


def _waiting_since(task: Task, now: float) -> float:
    """Return since when no run of a task has been at work; infinity if one is."""
    if any(run.phase is RunPhase.RUNNING and run.worker.reachable for run in task.runs):
        return float("inf")
    seen = [run.last_seen_at for run in task.runs if run.confirmed_at <= now]
    return max([task.waiting_since, *seen])


def _step_delays(
    step: StepRun, waiting: dict[Task, float], view: GroupView
) -> list[StepDelay]:
    """Return the delays of the tasks of a step, one for each reason."""
    blocked = _owner_delay(step, view)

    @functools.cache
    def place() -> Delay:
        if not view.take_scan():
            return NOT_EXAMINED
        return placement_delay(step, view)

    by_reason: dict[DelayReason, StepDelay] = {}
    for task, since in waiting.items():
        delay = (
            _run_delay(task, view)
            or blocked
            or _task_delay(task, view)
            or _start_delay(task, view, place)
        )
        known = by_reason.get(delay.reason)
        if known is None:
            by_reason[delay.reason] = StepDelay(step, delay, 1, since, view.now)
            continue
        known.tasks += 1
        known.waiting_since = min(since, known.waiting_since)
        if delay is not known.delay:
            until = _later(known.delay.until, delay.until)
            known.delay = replace(known.delay, until=until)
    return list(by_reason.values())


def _later(until: float | None, other: float | None) -> float | None:
    """Return the later of two times, None if one is not known."""
    return None if until is None or other is None else max(until, other)


def _owner_delay(step: StepRun, view: GroupView) -> Delay | None:
    """Return why the owner starts no task of a step, or None."""
    job = step.job
    if not view.has_authority:
        return Delay(DelayReason.OWNER_LEASE, detail="no orders are sent")
    if view.is_ending:
        return Delay(DelayReason.OWNER_ENDS)
    if not view.sole_owner and not (job.ordered or job.started):
        return Delay(DelayReason.OWNER_LEASE, detail="new jobs are not started")
    if job.fresh:
        return None
    unknown = {
        worker_id: until
        for worker_id, (suspect, until) in view.suspects.items()
        if suspect.tasks is None
    }
    if not unknown:
        return None
    detail = names_text(unknown)
    return Delay(DelayReason.EARLIER_RUNS, max(unknown.values()), detail)


def _run_delay(task: Task, view: GroupView) -> Delay | None:
    """Return the delay of a task with runs that are not at work, or None without."""
    if not task.runs:
        return None
    delays = [_delay_by(run, view) for run in task.runs]
    return max(delays, key=lambda delay: delay.until or float("inf"))


def _delay_by(run: Run, view: GroupView) -> Delay:
    """Return the delay of a task by a run that is not at work."""
    worker = run.worker
    until = None
    detail = f"run {run.number} at {worker.worker_id}"
    if not worker.reachable:
        detail = f"{detail}, silent for {view.now - worker.silent_since:.1f} s"
        # Without a certain lease the owner drops no runs of silent workers.
        if view.sole_owner:
            until = view.lost_at(run)
    if run.confirmed_at > view.now:
        return Delay(DelayReason.START_UNANSWERED, until, detail)
    if not worker.reachable:
        return Delay(DelayReason.SILENT_WORKER, until, detail)
    return Delay(DelayReason.RUN_STOPPING, until, detail)


def _task_delay(task: Task, view: GroupView) -> Delay | None:
    """Return why a task without runs may not start anywhere, or None."""
    if task.strays and task.is_held:
        return _late_start_delay(task, view)
    if not task.crash_stored:
        return Delay(DelayReason.CRASH_NOT_STORED)
    if view.now < task.next_trial_at:
        return Delay(DelayReason.CRASH_PAUSE, task.next_trial_at, task.name)
    if view.now < task.not_before:
        workers = view.suspected_tasks.get(task.name)
        if workers:
            detail = names_text(workers)
            return Delay(DelayReason.EARLIER_RUNS, task.not_before, detail)
        return Delay(DelayReason.TASK_PAUSED, task.not_before, task.name)
    return None


def _late_start_delay(task: Task, view: GroupView, obstacle: str = "") -> Delay:
    """Return the delay by starts that a worker may still carry out.

    A worker that answers reports them once they can't arrive any more.
    """
    until = max(
        stray.call.late_until
        if stray.worker.reachable
        else view.lapsed_at(stray.call.late_until)
        for stray in task.strays
    )
    detail = names_text({stray.worker.worker_id for stray in task.strays})
    if obstacle:
        detail = f"may start only on {detail}, which is {obstacle}"
    return Delay(DelayReason.LATE_START, until, detail)


def _start_delay(task: Task, view: GroupView, place: t.Callable[[], Delay]) -> Delay:
    """Return why a task that may start is not started.

    Parameters
    ----------
    place : callable
        Returns why the step of the task has no place; it may search the workers.
    """
    step = task.step
    refused = view.cap_detail(step)
    if refused is not None:
        return Delay(DelayReason.TENANT_CAP, detail=refused)
    if step.spec.gang:
        others = len(step.tasks) - len(step.waiting(view.now))
        if others:
            detail = f"{others} of {step.spec.count} members"
            return Delay(DelayReason.GANG_MEMBERS, detail=detail)
        return place()
    if view.needs_trial(task):
        return _trial_delay(task, place)
    only = task.retry_worker
    if only is not None:
        obstacle = worker_obstacle(only, view.startable, view.now)
        return _late_start_delay(task, view, obstacle or "without room")
    return place()


def _trial_delay(task: Task, place: t.Callable[[], Delay]) -> Delay:
    host = task.trial_host
    if host is not None:
        missing = "has no room yet" if host.runs_settled else "has runs not settled"
        return Delay(DelayReason.TRIAL, detail=f"{host.worker_id} is held, {missing}")
    delay = place()
    detail = f"{delay.reason}: {delay.detail}" if delay.detail else delay.reason.value
    return Delay(DelayReason.TRIAL, delay.until, detail)
