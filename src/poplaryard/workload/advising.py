"""Which steps to ask the advice service about, and which workers to name."""

import typing as t

from ..resources import ZERO, Resources
from . import placing
from .jobtable import JobTable
from .model import AdviceCost
from .orders import AdviceRequest
from .runtime import Permit, StepRun, Worker

__all__ = ["Advising"]

# Most workers that one call for advice may name.
ADVICE_MAX_WORKERS = 100
# Part of a permit's life that is left unused, in seconds: the start has to arrive.
PERMIT_SLACK_S = 0.15
# Advice is asked for so long before it is expected to be needed, beside the time of the
# call, in seconds: expected ends are rough.
ADVICE_AHEAD_S = 0.3
# Share of the life of permits for which those of a step may be waiting for the end of
# the step before it. Short steps have theirs before they are ready.
PERMIT_SHARE_AHEAD = 0.5
# Gangs that may learn which workers they may use before any of these has room. Room
# is only held for a gang that knows; each more takes a slow call from other steps.
GANGS_AHEAD = 6
# Places that the workers named should have for each task that waits, and the least
# number of workers: as few as a third of them may be allowed to run the step.
PLACES_PER_TASK = 4
LEAST_NAMES = 8
# Room that is given back within this many seconds is counted as a whole before single
# workers are looked at.
FAR_AHEAD_S = 1.5
# Time for which the expected ends of runs are used before they are worked out again, in
# seconds.
ENDS_FRESH_S = 0.1
# Wait before the next call for advice on a step after one that failed, in seconds.
ADVICE_RETRY_S = 0.02


def _names_needed(
    step: StepRun, workers: list[Worker], rooms: dict[Worker, Resources]
) -> int | None:
    """Return how many of the workers have room enough now, or None if all have not."""
    wanted = PLACES_PER_TASK * step.remaining
    limit = step.spec.max_per_worker or step.remaining
    for number, worker in enumerate(workers, 1):
        wanted -= min(step.need.fit_count(rooms[worker]), limit)
        if wanted <= 0:
            return number
    return None


class Advising(JobTable):
    """Chooses the calls for advice and takes their answers in."""

    def __init__(self, *args: t.Any, **fields: t.Any):
        super().__init__(*args, **fields)
        self._ending: dict[tuple[Worker, float], Resources] = {}
        self._ending_at = 0.0

    def advice_answered(
        self,
        request: AdviceRequest,
        tickets: dict[str, str] | None,
        until: float,
        now: float,
    ) -> None:
        """Take the advice for a step; `tickets` is None if the call failed."""
        step = request.step
        step.asking = False
        if tickets is None:
            step.ask_after = now + ADVICE_RETRY_S
            return
        for worker_id in request.workers:
            step.verdicts[worker_id] = worker_id in tickets
            if worker_id in tickets:
                permit = Permit(tickets[worker_id], until - PERMIT_SLACK_S)
                step.permits[worker_id] = permit

    def advice_wanted(
        self, now: float, fits: t.Callable[[float], bool]
    ) -> t.Iterator[AdviceRequest]:
        """Yield the calls for advice to make now, the most urgent first.

        Under overload most steps wait for room that more urgent ones will take. What
        is left after those is added up, so that the rest costs no look at workers.

        Parameters
        ----------
        fits : callable
            Whether a call that takes this many seconds can be made now.
        """
        rooms = {
            worker: worker.free()
            for worker in self.workers.values()
            if worker.usable(now)
        }
        left = sum(rooms.values(), ZERO)
        for worker in rooms:
            left = left + self._ending_room(worker, FAR_AHEAD_S, now)
        gangs = 0
        for step in [*self._waiting, *self._steps_ahead(now)]:
            advice = step.job.spec.advice
            if advice is None:
                continue
            gangs += step.spec.gang
            ahead = step.spec.gang and gangs <= GANGS_AHEAD
            if now < step.ask_after or not (ahead or step.need.fits_in(left)):
                continue
            if not fits(advice.base_s + advice.per_worker_s):
                continue
            request, claimed = self._advice_for(step, rooms, ahead, now)
            left = left - claimed
            if request is None or step.asking or not fits(request.cost_s):
                continue
            step.asking = True
            yield request

    def _steps_ahead(self, now: float) -> list[StepRun]:
        """Return steps that are expected to become ready within a permit's life."""
        return [
            step
            for step in self._open_steps.values()
            if step.spec.after
            and step.job.spec.advice is not None
            and not step.permits
            and not self._ready(step)
            and self._ready_soon(step, now)
        ]

    def _ready_soon(self, step: StepRun, now: float) -> bool:
        advice = t.cast(AdviceCost, step.job.spec.advice)
        ahead_s = max(ADVICE_AHEAD_S, PERMIT_SHARE_AHEAD * advice.valid_s)
        until = now + ahead_s + self._call_s(step)
        steps = step.job.occurrences[step.occurrence]
        for number in step.spec.after:
            for task in steps[number].tasks:
                if task.done:
                    continue
                if not task.runs or task.runs[0].ends_at(now) > until:
                    return False
        return True

    def _call_s(self, step: StepRun) -> float:
        """Return the time of a call that names all workers, in seconds."""
        advice = step.job.spec.advice
        if advice is None:
            return 0.0
        named = min(len(self.workers), ADVICE_MAX_WORKERS)
        return round(advice.base_s + advice.per_worker_s * named, 1)

    def _ending_room(self, worker: Worker, within_s: float, now: float) -> Resources:
        """Return the room that a worker's runs are expected to give back."""
        if now > self._ending_at + ENDS_FRESH_S:
            self._ending.clear()
            self._ending_at = now
        key = worker, within_s
        if key not in self._ending:
            self._ending[key] = worker.ending_room(now + within_s, now)
        return self._ending[key]

    def _advice_for(
        self, step: StepRun, rooms: dict[Worker, Resources], ahead: bool, now: float
    ) -> tuple[AdviceRequest | None, Resources]:
        """Name the workers that may run the step, if one will have room for it.

        Workers without room are named as well: a name costs little, and their permits
        serve when room is given back. The room that the step's tasks are expected to
        take is taken off `rooms`, and returned. `ahead` lets a gang ask before any
        worker has room.
        """
        good: list[Worker] = []
        unknown: list[Worker] = []
        has_room = could_start = False
        waiting = len(step.waiting(now))
        claimed = ZERO
        within_s = self._call_s(step) + ADVICE_AHEAD_S
        need = step.need
        for worker, free in rooms.items():
            verdict = step.verdicts.get(worker.worker_id)
            if verdict is False or not placing.admits(step, worker):
                continue
            held = self._holds.held_from(step, worker)
            room = free - held if held is not ZERO else free
            permit = step.permits.get(worker.worker_id)
            permitted = permit is not None and permit.until > now
            if not permitted:
                (good if verdict else unknown).append(worker)
                if not need.fits_in(room):
                    room = room + self._ending_room(worker, within_s, now)
            if not need.fits_in(room):
                continue
            could_start = could_start or permitted
            has_room = has_room or not permitted
            while waiting > 0 and need.fits_in(room):
                waiting -= 1
                room = room - need
                claimed = claimed + need
                rooms[worker] = rooms[worker] - need
        if step.spec.gang:
            asks_first = bool(unknown) and (ahead or has_room)
            wanted = asks_first or self._gang_could_start(step, now)
        else:
            wanted = not could_start and has_room
        if step.asking or not wanted or not (good or unknown):
            return None, claimed
        return self._request(step, good, unknown, rooms), claimed

    def _request(
        self,
        step: StepRun,
        good: list[Worker],
        unknown: list[Worker],
        rooms: dict[Worker, Resources],
    ) -> AdviceRequest:
        """Return the call that names enough workers for the step's tasks."""
        advice = t.cast(AdviceCost, step.job.spec.advice)
        unknown.sort(key=lambda worker: -rooms[worker].cpu_m)
        count = _names_needed(step, good + unknown, rooms)
        if count is None or step.spec.gang:
            # Up to here the names take less time than the decision.
            cheap = advice.base_s / max(advice.per_worker_s, 1e-6)
            count = int(max(PLACES_PER_TASK * step.remaining, cheap))
        count = min(max(count, LEAST_NAMES), ADVICE_MAX_WORKERS)
        named = [worker.worker_id for worker in good + unknown][:count]
        cost_s = advice.base_s + advice.per_worker_s * len(named)
        return AdviceRequest(step, tuple(named), cost_s)

    def _gang_could_start(self, step: StepRun, now: float) -> bool:
        """Whether a gang will have room within the life of a permit."""
        plan = self._plans.get(step.name)
        soon = now + ADVICE_AHEAD_S + self._call_s(step)
        return plan is not None and plan.ready_at <= soon
