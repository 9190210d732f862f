"""Why a step has no place on the workers of a group now.

The checks are those of `placing`, `room` and `advising`. They decide nothing.
"""

import collections
import enum
import typing as t
from dataclasses import dataclass, field

from ..resources import Resources
from . import placing
from .advising import ADVICE_MAX_WORKERS, ADVICE_MIN_WORKERS, PLACES_PER_TASK
from .jobtable import amount_text
from .model import AdviceCost, Suspect
from .room import Reservations
from .runtime import Run, StepRun, Task, Worker

__all__ = [
    "Delay",
    "DelayReason",
    "GroupView",
    "names_text",
    "placement_delay",
    "worker_obstacle",
]

# Maximum number of names in a log line.
MAX_NAMES = 4


class DelayReason(enum.StrEnum):
    """Reason for which a task does not start now."""

    OWNER_LEASE = "lease of the owner is not certain"
    OWNER_ENDS = "owner gives the group up"
    EARLIER_RUNS = "runs of an earlier owner are not known"
    SILENT_WORKER = "run on a silent worker may go on"
    START_UNANSWERED = "start not answered"
    RUN_STOPPING = "run is being stopped"
    LATE_START = "late start may still arrive"
    CRASH_NOT_STORED = "crash of a worker not stored yet"
    CRASH_PAUSE = "paused after crashes of workers"
    TASK_PAUSED = "task paused"
    TRIAL = "trial waits for a worker"
    GANG_MEMBERS = "other members of the gang can't start"
    TENANT_CAP = "tenant at its cap"
    NO_FIT = "no worker fits"
    UNUSABLE = "no fitting worker is usable"
    ADVICE_REFUSED = "advice permits no usable worker"
    ADVICE_UNANSWERED = "advice not answered"
    ADVICE_NOT_ASKED = "advice not asked for"
    WORKER_LIMIT = "limit of tasks per worker reached"
    NO_ROOM = "no room"
    RESERVED = "room reserved for other steps"
    HELD_FOR_TRIAL = "workers held for trials"
    NOT_KNOWN = "no obstacle known"
    NOT_EXAMINED = "not examined"


@dataclass(frozen=True, slots=True)
class Delay:
    """What keeps a task from starting.

    Attributes
    ----------
    until : float or None
        Time at which it ends at the latest, in seconds; None if an event ends it.
    detail : str
        Workers, amounts or counts that tell more; empty for none.
    """

    reason: DelayReason
    until: float | None = None
    detail: str = ""


@dataclass(slots=True)
class GroupView:
    """State of a group for one search for delays.

    Attributes
    ----------
    now : float
        Time in seconds.
    steps : list of StepRun
        Open steps that are ready.
    startable : collection of str
        Workers that are recorded for the next owner.
    suspects : mapping of str to (Suspect, float)
        Workers that may hold runs of an earlier owner, and until when.
    has_authority, is_ending, sole_owner : bool
        Whether the owner may send orders, starts nothing more, and has a lease that is
        certainly valid.
    cap_detail : callable
        Returns the amounts if the cap of a step's tenant has refused it, else None.
    needs_trial : callable
        Returns whether the next start of a task is a trial.
    lost_at : callable
        Returns the time at which a run on a silent worker has certainly ended.
    lapsed_at : callable
        Returns the time by which a start has ended that arrived at a time.
    can_call : callable
        Returns whether a call for advice that takes this many seconds can be made.
    scans_left : int
        Number of steps for which the workers may still be searched.
    obstacles, free : dict
        Why each worker is not usable, and the room on those that are.
    suspected_tasks : dict of str to list of str
        Workers that may run a task of an earlier owner, by the name of the task.
    """

    now: float
    steps: list[StepRun]
    workers: t.Collection[Worker]
    startable: t.Collection[str]
    suspects: t.Mapping[str, tuple[Suspect, float]]
    reservations: Reservations
    has_authority: bool
    is_ending: bool
    sole_owner: bool
    cap_detail: t.Callable[[StepRun], str | None]
    needs_trial: t.Callable[[Task], bool]
    lost_at: t.Callable[[Run], float]
    lapsed_at: t.Callable[[float], float]
    can_call: t.Callable[[float], bool]
    scans_left: int
    obstacles: dict[Worker, str] = field(init=False)
    free: dict[Worker, Resources] = field(init=False)
    suspected_tasks: dict[str, list[str]] = field(init=False)

    def __post_init__(self) -> None:
        self.obstacles = {
            worker: obstacle
            for worker in self.workers
            if (obstacle := worker_obstacle(worker, self.startable, self.now))
        }
        self.free = {w: w.free() for w in self.workers if w not in self.obstacles}
        self.suspected_tasks = {}
        for worker_id, (suspect, _) in self.suspects.items():
            for name in suspect.tasks or ():
                self.suspected_tasks.setdefault(name, []).append(worker_id)

    def take_scan(self) -> bool:
        """Return whether the workers may be searched for one more step."""
        self.scans_left -= 1
        return self.scans_left >= 0


def worker_obstacle(
    worker: Worker, startable: t.Collection[str], now: float
) -> str | None:
    """Return why nothing may be started on a worker; None if it is usable."""
    checks = (
        (worker.gone, "gone"),
        (worker.info.draining, "draining"),
        (not worker.listed, "not listed"),
        (not worker.reachable, "silent"),
        (not worker.synced, "without a report"),
        (bool(worker.rejected_runs), "stopping other runs"),
        (worker.has_unsettled_strays, "with a late start"),
        (worker.restart_suspected, "with a suspected restart"),
        (not worker.described, "with an outdated entry"),
        (now < worker.ejected_until, "ejected"),
        (now < worker.paused_until, "paused"),
        (worker.worker_id not in startable, "not recorded"),
    )
    return next((name for is_so, name in checks if is_so), None)


def placement_delay(step: StepRun, view: GroupView) -> Delay:
    """Return why no worker takes a task of a step now, or the whole of a gang."""
    places = _Places(step)
    usable = [worker for worker in view.free if placing.admits(step, worker)]
    if not places.enough((w, w.info.capacity) for w in usable):
        return _unusable_delay(step, usable, places, view)
    may_run = step.may_run
    allowed = [w for w in usable if may_run.get(w.worker_id) is not False]
    if not places.enough((w, w.info.capacity) for w in allowed):
        return Delay(DelayReason.ADVICE_REFUSED, detail=_refusal_text(step, view))
    free = {w: view.free[w] for w in allowed if step.need.fits_in(view.free[w])}
    if not places.enough(free.items()):
        unusable = _unusable(step, view)
        detail = f"{_need_text(step)}; {_usable_text(usable, unusable, view)}"
        return Delay(DelayReason.NO_ROOM, detail=detail)
    places.count_limit()
    if not places.enough(free.items()):
        detail = f"{step.spec.max_per_worker} on each, {len(free)} with room"
        return Delay(DelayReason.WORKER_LIMIT, detail=detail)
    unreserved = {worker: view.reservations.free(step, worker) for worker in free}
    if not places.enough(unreserved.items()):
        reserved = [w.worker_id for w in free if unreserved[w] != free[w]]
        return Delay(DelayReason.RESERVED, detail=names_text(reserved))
    others = {w: room for w, room in unreserved.items() if w.accepts_others(view.now)}
    if not places.enough(others.items()):
        held = [w.worker_id for w in unreserved if w not in others]
        return Delay(DelayReason.HELD_FOR_TRIAL, detail=names_text(held))
    permitted = (
        (worker, room)
        for worker, room in others.items()
        if (permit := step.permits.get(worker.worker_id)) and permit.until > view.now
    )
    if step.job.spec.advice is not None and not places.enough(permitted):
        return _advice_delay(step, len(allowed), view)
    return Delay(DelayReason.NOT_KNOWN)


class _Places:
    """Counts whether there are enough places for a task, or for a whole gang."""

    def __init__(self, step: StepRun):
        self._need = step.need
        self._wanted = step.spec.count if step.spec.gang else 1
        self._limit = step.spec.max_per_worker
        self._step = step
        self._running: collections.Counter[Worker] = collections.Counter()

    def count_limit(self) -> None:
        """From now on, count the tasks that the workers run in the limit for each."""
        if self._limit:
            self._running.update(
                run.worker for task in self._step.tasks for run in task.runs
            )

    def enough(self, rooms: t.Iterable[tuple[Worker, Resources]]) -> bool:
        """Return whether there are enough places in the room on each worker."""
        found = 0
        for worker, room in rooms:
            places = self._need.fit_count(room)
            if self._limit:
                places = min(places, max(0, self._limit - self._running[worker]))
            found += places
            if found >= self._wanted:
                return True
        return False


def _unusable(step: StepRun, view: GroupView) -> list[Worker]:
    """Return the workers that fit but are not usable now."""
    return [w for w in view.obstacles if not w.gone and placing.admits(step, w)]


def _unusable_delay(
    step: StepRun, usable: list[Worker], places: _Places, view: GroupView
) -> Delay:
    """Return the delay of a step for which not enough workers are usable."""
    unusable = _unusable(step, view)
    if not places.enough((w, w.info.capacity) for w in [*usable, *unusable]):
        return Delay(DelayReason.NO_FIT, detail=_need_text(step))
    until = None
    if all(view.obstacles[worker] in ("ejected", "paused") for worker in unusable):
        until = min(max(w.ejected_until, w.paused_until) for w in unusable)
    detail = _usable_text(usable, unusable, view)
    return Delay(DelayReason.UNUSABLE, until, detail)


def _advice_delay(step: StepRun, workers: int, view: GroupView) -> Delay:
    """Return the delay of a step that has no permit for the workers with room.

    Parameters
    ----------
    workers : int
        Number of workers that may be asked about.
    """
    if step.asking:
        detail = f"{len(step.asked)} workers asked for"
        return Delay(DelayReason.ADVICE_UNANSWERED, detail=detail)
    if view.now < step.ask_after:
        detail = "the last call failed"
        return Delay(DelayReason.ADVICE_NOT_ASKED, step.ask_after, detail)
    cost_s = _call_s(step, workers)
    detail = "no room is expected beside other steps"
    if not view.can_call(cost_s):
        detail = f"no channel is free for a call of {cost_s:.2f} s"
    return Delay(DelayReason.ADVICE_NOT_ASKED, detail=detail)


def _call_s(step: StepRun, workers: int) -> float:
    """Return how long a call for advice on some workers about takes, in seconds."""
    advice = t.cast(AdviceCost, step.job.spec.advice)
    wanted = max(ADVICE_MIN_WORKERS, PLACES_PER_TASK * step.remaining)
    named = min(workers, wanted, ADVICE_MAX_WORKERS)
    return advice.base_s + advice.per_worker_s * named


def _need_text(step: StepRun) -> str:
    """Return what a step needs, for a log line."""
    text = f"needs {amount_text(step.need)}"
    if step.spec.gang:
        text = f"{text} for each of {step.spec.count} together"
    return f"{text} with label {step.spec.label}" if step.spec.label else text


def _usable_text(usable: list[Worker], unusable: list[Worker], view: GroupView) -> str:
    """Return how many workers are usable, and why others are not, for a log line."""
    text = f"{len(usable)} of {len(usable) + len(unusable)} workers usable"
    return ", ".join([text, *_obstacle_texts(unusable, view)])


def _obstacle_texts(workers: t.Iterable[Worker], view: GroupView) -> list[str]:
    found = [view.obstacles[worker] for worker in workers if worker in view.obstacles]
    counted = collections.Counter(found).most_common()
    return [f"{count} {obstacle}" for obstacle, count in counted]


def _refusal_text(step: StepRun, view: GroupView) -> str:
    """Return how many workers advice permits, and why they are not usable."""
    permitted = [w for w in view.workers if step.may_run.get(w.worker_id)]
    text = f"{len(permitted)} of {len(step.may_run)} permitted"
    return ", ".join([text, *_obstacle_texts(permitted, view)])


def names_text(names: t.Collection[str]) -> str:
    """Return names for a log line; of many, some and the number of the others."""
    shown = sorted(names)[:MAX_NAMES]
    others = len(names) - len(shown)
    return " ".join([*shown, f"and {others} more"] if others else shown)
