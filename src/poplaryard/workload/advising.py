"""Choice of the steps and workers to ask the advice service about.

The advice service decides which workers may run a step. A step whose queue requires
advice starts a task only on a worker for which it holds a valid permit.
"""

import typing as t

from ..resources import ZERO, Resources
from . import placing
from .jobtable import JobTable
from .model import AdviceCost
from .orders import AdviceRequest
from .runtime import Permit, StepRun, Worker

__all__ = ["AdvicePlanner"]

# Maximum number of workers in one call to the advice service.
ADVICE_MAX_WORKERS = 100
# Time before its end at which a permit is no longer used, in seconds: the start order
# still has to reach the worker.
PERMIT_SLACK_S = 0.15
# Time by which advice is requested early, in addition to the duration of the call, in
# seconds: the expected ends of runs are estimates.
ADVICE_AHEAD_S = 0.3
# Share of a permit's validity for which it may wait for the steps before its own to
# end. Short steps thus have their permits by the time they are ready.
PERMIT_SHARE_AHEAD = 0.5
# Number of gangs that may request advice before any worker has room. Room is only
# reserved for a gang on workers that it may use, but each such gang delays the calls
# for other steps.
GANGS_AHEAD = 6
# Number of tasks that the workers named in a call should have room for, per unfinished
# task of the step: as few as a third of the workers may be permitted.
PLACES_PER_TASK = 4
# Minimum number of workers in a call, for the same reason.
LEAST_NAMES = 8
# Room that runs release within this many seconds is counted in the group's total, which
# is checked before any single worker.
FAR_AHEAD_S = 1.5
# Time for which the computed ends of runs are cached, in seconds.
ENDS_FRESH_S = 0.1
# Pause before the next call for a step after a failed one, in seconds.
ADVICE_RETRY_S = 0.02


def _workers_needed(
    step: StepRun, workers: list[Worker], rooms: dict[Worker, Resources]
) -> int | None:
    """Return how many of the workers are enough; None if all have too little room."""
    wanted = PLACES_PER_TASK * step.remaining
    limit = step.spec.max_per_worker or step.remaining
    for number, worker in enumerate(workers, 1):
        wanted -= min(step.need.fit_count(rooms[worker]), limit)
        if wanted <= 0:
            return number
    return None


class AdvicePlanner(JobTable):
    """Chooses the calls to the advice service and processes their answers."""

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
        """Process the advice for a step.

        Parameters
        ----------
        tickets : dict of str to str or None
            Tickets of the permitted workers; None if the call failed.
        until : float
            Time until which the tickets are valid, in seconds.
        """
        step = request.step
        step.asking = False
        if tickets is None:
            step.ask_after = now + ADVICE_RETRY_S
            return
        for worker_id in request.workers:
            step.may_run[worker_id] = worker_id in tickets
            if worker_id in tickets:
                permit = Permit(tickets[worker_id], until - PERMIT_SLACK_S)
                step.permits[worker_id] = permit

    def advice_wanted(
        self, now: float, can_call: t.Callable[[float], bool]
    ) -> t.Iterator[AdviceRequest]:
        """Yield the calls to make to the advice service now, the most urgent first.

        Under overload, most steps wait for room that more urgent ones will take. The
        total that these leave is tracked, so that steps which don't fit into it are
        skipped without a search of the workers.

        Parameters
        ----------
        can_call : callable
            Returns whether a call that takes this many seconds can be made now.
        """
        rooms = {
            worker: worker.free()
            for worker in self.workers.values()
            if worker.usable(now)
        }
        room_left = sum(rooms.values(), ZERO)
        for worker in rooms:
            room_left = room_left + self._ending_room(worker, FAR_AHEAD_S, now)
        gangs = 0
        for step in [*self._waiting, *self._steps_ahead(now)]:
            advice = step.job.spec.advice
            if advice is None:
                continue
            gangs += step.spec.gang
            may_ask_early = step.spec.gang and gangs <= GANGS_AHEAD
            if now < step.ask_after or not (
                may_ask_early or step.need.fits_in(room_left)
            ):
                continue
            if not can_call(advice.base_s + advice.per_worker_s):
                continue
            request, claimed = self._advice_for(step, rooms, may_ask_early, now)
            room_left = room_left - claimed
            if request is None or step.asking or not can_call(request.cost_s):
                continue
            step.asking = True
            yield request

    def _steps_ahead(self, now: float) -> list[StepRun]:
        """Return the steps that are expected to be ready within a permit's validity."""
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
        """Return the duration of a call that names all workers, in seconds."""
        advice = step.job.spec.advice
        if advice is None:
            return 0.0
        named = min(len(self.workers), ADVICE_MAX_WORKERS)
        return round(advice.base_s + advice.per_worker_s * named, 1)

    def _ending_room(self, worker: Worker, within_s: float, now: float) -> Resources:
        """Return the room that a worker's runs are expected to release (cached)."""
        if now > self._ending_at + ENDS_FRESH_S:
            self._ending.clear()
            self._ending_at = now
        key = worker, within_s
        if key not in self._ending:
            self._ending[key] = worker.ending_room(now + within_s, now)
        return self._ending[key]

    def _advice_for(
        self,
        step: StepRun,
        rooms: dict[Worker, Resources],
        may_ask_early: bool,
        now: float,
    ) -> tuple[AdviceRequest | None, Resources]:
        """Return a call for the step if a worker will have room for it, or None.

        The call also names workers without room: this costs little, and their permits
        are of use once room is released.

        Parameters
        ----------
        rooms : dict of Worker to Resources
            Room on each worker; the room that the step's tasks are expected to take is
            subtracted from it.
        may_ask_early : bool
            Whether a gang may request advice before any worker has room.

        Returns
        -------
        tuple of (AdviceRequest or None, Resources)
            The call, and the total room that the tasks are expected to take.
        """
        approved: list[Worker] = []
        unasked: list[Worker] = []
        has_room = could_start = False
        waiting = len(step.waiting(now))
        claimed = ZERO
        within_s = self._call_s(step) + ADVICE_AHEAD_S
        need = step.need
        for worker, free in rooms.items():
            allowed = step.may_run.get(worker.worker_id)
            if allowed is False or not placing.admits(step, worker):
                continue
            reserved = self._reservations.reserved_for_others(step, worker)
            room = free - reserved if reserved is not ZERO else free
            permit = step.permits.get(worker.worker_id)
            permitted = permit is not None and permit.until > now
            if not permitted:
                (approved if allowed else unasked).append(worker)
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
            asks_unasked = bool(unasked) and (may_ask_early or has_room)
            wanted = asks_unasked or self._gang_could_start(step, now)
        else:
            wanted = not could_start and has_room
        if step.asking or not wanted or not (approved or unasked):
            return None, claimed
        return self._request(step, approved, unasked, rooms), claimed

    def _request(
        self,
        step: StepRun,
        approved: list[Worker],
        unasked: list[Worker],
        rooms: dict[Worker, Resources],
    ) -> AdviceRequest:
        """Return a call that names enough workers for the step's tasks."""
        advice = t.cast(AdviceCost, step.job.spec.advice)
        unasked.sort(key=lambda worker: -rooms[worker].cpu_m)
        count = _workers_needed(step, approved + unasked, rooms)
        if count is None or step.spec.gang:
            # Naming this many workers takes as long as the fixed part of the call.
            cheap_count = advice.base_s / max(advice.per_worker_s, 1e-6)
            count = int(max(PLACES_PER_TASK * step.remaining, cheap_count))
        count = min(max(count, LEAST_NAMES), ADVICE_MAX_WORKERS)
        named = [worker.worker_id for worker in approved + unasked][:count]
        cost_s = advice.base_s + advice.per_worker_s * len(named)
        return AdviceRequest(step, tuple(named), cost_s)

    def _gang_could_start(self, step: StepRun, now: float) -> bool:
        """Return whether a gang is expected to have room once advice has arrived."""
        plan = self._plans.get(step.name)
        soon = now + ADVICE_AHEAD_S + self._call_s(step)
        return plan is not None and plan.ready_at <= soon
