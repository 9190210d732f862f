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
from .tenancy import ShareOrder, Shares

__all__ = ["AdvicePlanner"]

# Maximum number of workers in one call to the advice service.
ADVICE_MAX_WORKERS = 100
# Time before its end at which a permit is no longer used, in seconds: the start order
# still has to reach the worker.
PERMIT_SLACK_S = 0.15
# Time by which advice is requested early, in addition to the duration of the call, in
# seconds: the expected ends of runs are estimates.
ADVICE_AHEAD_S = 0.3
# Advice is requested for a step before it is ready, if the steps that it waits for are
# expected to end within this share of a permit's validity. Short steps thus have their
# permits by the time they are ready.
PERMIT_SHARE_AHEAD = 0.5
# Number of gangs that may request advice before any worker has room. Room is only
# reserved for a gang on workers that it may use, but each such gang delays the calls
# for other steps.
MAX_GANGS_AHEAD = 6
# Number of tasks that the workers named in a call should have room for, per unfinished
# task of the step: as few as a third of the workers may be permitted.
PLACES_PER_TASK = 4
# Minimum number of workers in a call, as some of them may not be permitted.
ADVICE_MIN_WORKERS = 8
# Room that runs release within this many seconds is counted in the group's total, which
# is checked before any single worker.
RELEASE_HORIZON_S = 1.5
# Time for which the computed ends of runs are cached, in seconds.
RUN_ENDS_CACHE_S = 0.1
# Pause before the next call for a step after a failed one, in seconds.
ADVICE_RETRY_S = 0.02


def _workers_needed(
    step: StepRun, workers: list[Worker], rooms: dict[Worker, Resources]
) -> int | None:
    """Return how many of the workers are enough; None if all have too little room."""
    wanted = PLACES_PER_TASK * step.remaining
    for number, worker in enumerate(workers, 1):
        wanted -= min(placing.places(step, worker, rooms[worker]), step.remaining)
        if wanted <= 0:
            return number
    return None


def _ending_tasks(step: StepRun, worker: Worker, until: float, now: float) -> int:
    """Return how many tasks of a limited step are expected to end on a worker."""
    if not step.spec.max_per_worker:
        return 0
    own = (run for run in worker.runs.values() if run.task.step is step)
    return sum(run.ends_at(now) <= until for run in own)


def _stays_at_limit(step: StepRun, worker: Worker, until: float, now: float) -> bool:
    """Return whether a step can start nothing more on a worker, even with room."""
    ending = _ending_tasks(step, worker, until, now)
    return not placing.places(step, worker, worker.info.capacity, -ending)


def _fits_nowhere(step: StepRun, now: float) -> bool:
    """Return whether a step that claims no room shows that no worker has any.

    It shows nothing if advice, a label or a limit may keep the step from free room, or
    if none of its tasks may start now.
    """
    limited = step.may_run or step.spec.label or step.spec.max_per_worker
    return not limited and bool(step.waiting(now))


class AdvicePlanner(JobTable):
    """Chooses the calls to the advice service and processes their answers."""

    def __init__(self, *args: t.Any, **fields: t.Any):
        super().__init__(*args, **fields)
        self._ending_rooms: dict[tuple[Worker, float], Resources] = {}
        self._ending_rooms_at = 0.0
        # What tenants are expected to start, and their shares with it.
        self._expected: dict[str, Resources] = {}
        self._expected_shares: Shares | None = None
        # Start times of the workers (`born_ms`) in the last pass.
        self._lives: dict[str, int] = {}

    def _waiting_steps(self, now: float) -> list[StepRun]:
        self._drop_outdated_advice()
        return super()._waiting_steps(now)

    def _drop_outdated_advice(self) -> None:
        """Drop the advice on workers that have restarted or left since the last pass.

        A ticket is valid only during the life of the worker for which it was issued,
        and a worker that has restarted under its id may be of another kind.
        """
        lives = {worker.worker_id: worker.born_ms for worker in self.workers.values()}
        ended = [
            name for name, born_ms in self._lives.items() if lives.get(name) != born_ms
        ]
        self._lives = lives
        if ended:
            for step in self._open_steps.values():
                for name in ended:
                    step.permits.pop(name, None)
                    step.may_run.pop(name, None)

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
        if tickets:
            step.plan_after = now
        for worker_id, born_ms in request.workers.items():
            worker = self.workers.get(worker_id)
            if worker is None or worker.born_ms != born_ms:
                continue
            step.may_run[worker_id] = worker_id in tickets
            if worker_id in tickets:
                permit = Permit(tickets[worker_id], until - PERMIT_SLACK_S)
                step.permits[worker_id] = permit

    def advice_wanted(
        self, now: float, can_call: t.Callable[[float], bool]
    ) -> t.Iterator[AdviceRequest]:
        """Yield the calls to make to the advice service now, the most urgent first.

        Under overload, most steps wait for room that more urgent ones will take. The
        room that these leave in the whole group is tracked. A step that does not fit
        into it is skipped without a search of the workers.

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
            room_left = room_left + self._ending_room(worker, RELEASE_HORIZON_S, now)
        too_large: list[tuple[Resources, float]] = []
        gangs = 0
        for step in self._steps_to_ask(now):
            advice = step.job.spec.advice
            if advice is None:
                continue
            ahead_s = self._advice_ahead_s(step)
            if step.spec.gang and step.paused_until > now + ahead_s:
                continue
            gangs += step.spec.gang
            may_ask_early = step.spec.gang and gangs <= MAX_GANGS_AHEAD
            if now < step.ask_after or not (
                may_ask_early or step.need.fits_in(room_left)
            ):
                continue
            if not can_call(advice.base_s + advice.per_worker_s):
                continue
            if not step.spec.gang:
                if not step.may_start_by(now + ahead_s):
                    continue
                claimed = self._claim_known(step, rooms, now)
                room_left = room_left - claimed
                self._expect_start(step, claimed)
                if step.asking or claimed is not ZERO:
                    continue
                if self._exceeds(step, too_large):
                    continue
            request, claimed = self._advice_for(step, rooms, may_ask_early, now)
            room_left = room_left - claimed
            self._expect_start(step, claimed)
            if claimed is ZERO and _fits_nowhere(step, now):
                too_large.append((step.need, self._advice_ahead_s(step)))
            if request is None or step.asking or not can_call(request.cost_s):
                continue
            step.asking = True
            step.asked = tuple(request.workers)
            yield request

    def _steps_to_ask(self, now: float) -> t.Iterator[StepRun]:
        """Yield the steps that may need advice, in the order in which they start.

        What the steps before are expected to start counts in the tenants' shares and
        usage. Steps that would exceed the cap of their tenant are left out.
        """
        self._expected.clear()
        self._expected_shares = None
        steps: t.Iterable[StepRun] = self._waiting
        if self._shares is not None:
            self._expected_shares = self._shares.copy()
            asking = [step for step in steps if step.job.spec.advice is not None]
            steps = ShareOrder(asking, self._expected_shares)
        for step in steps:
            if self._may_start_expected(step, now):
                yield step
        for step in self._steps_ahead(now):
            if self._may_start_expected(step, now):
                yield step

    def _may_start_expected(self, step: StepRun, now: float) -> bool:
        """Return whether a step may start beside what is expected to start."""
        if not step.tenant:
            return True
        count = step.spec.count if step.spec.gang else 1
        expected = self._expected.get(step.tenant, ZERO)
        return self._may_start(step, now, count, expected)

    def _expect_start(self, step: StepRun, claimed: Resources) -> None:
        """Count the room that a step is expected to take."""
        if self._expected_shares is not None and step.tenant and claimed is not ZERO:
            self._expected_shares.charge(step.tenant, claimed)
            expected = self._expected.get(step.tenant, ZERO)
            self._expected[step.tenant] = expected + claimed

    def _exceeds(self, step: StepRun, too_large: list[tuple[Resources, float]]) -> bool:
        """Return whether a smaller need was found to have no room on any worker.

        Room only shrinks during a pass, so the search need not be repeated.

        Parameters
        ----------
        too_large : list of tuple of (Resources, float)
            Needs without room, and the time in seconds within which there is none.
        """
        ahead_s = self._advice_ahead_s(step)
        return any(
            ahead_s <= searched_s and need.fits_in(step.need)
            for need, searched_s in too_large
        )

    def _claim_known(
        self, step: StepRun, rooms: dict[Worker, Resources], now: float
    ) -> Resources:
        """Claim room on the workers that a step is permitted to use or asks about.

        Returns the room that the step's waiting tasks are expected to take there.
        """
        if step.asking:
            known: t.Iterable[str] = step.asked
        else:
            known = (
                name for name, permit in step.permits.items() if permit.until > now
            )
        waiting = len(step.waiting(now))
        ahead_s = self._advice_ahead_s(step)
        claimed = ZERO
        for worker_id in known:
            worker = self.workers.get(worker_id)
            if worker is None or worker not in rooms:
                continue
            room = rooms[worker] - self._reservations.reserved_for_others(step, worker)
            ending = 0
            if step.asking and not placing.places(step, worker, room):
                room = room + self._ending_room(worker, ahead_s, now)
                ending = _ending_tasks(step, worker, now + ahead_s, now)
            count = min(waiting, placing.places(step, worker, room, -ending))
            if count:
                waiting -= count
                claimed = claimed + step.need.times(count)
                rooms[worker] = rooms[worker] - step.need.times(count)
            if not waiting:
                break
        return claimed

    def _advice_ahead_s(self, step: StepRun) -> float:
        """Return how long before there is room a step asks for advice, in seconds."""
        return self._call_s(step) + ADVICE_AHEAD_S

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
        """Return the duration of a call that names all workers, to 0.1 s.

        It is part of the key under which `_ending_room` caches the room. Rounding lets
        queues with similar costs share the entries.
        """
        advice = step.job.spec.advice
        if advice is None:
            return 0.0
        named = min(len(self.workers), ADVICE_MAX_WORKERS)
        return round(advice.base_s + advice.per_worker_s * named, 1)

    def _ending_room(self, worker: Worker, within_s: float, now: float) -> Resources:
        """Return the room that a worker's runs are expected to release (cached)."""
        if now > self._ending_rooms_at + RUN_ENDS_CACHE_S:
            self._ending_rooms.clear()
            self._ending_rooms_at = now
        key = worker, within_s
        if key not in self._ending_rooms:
            self._ending_rooms[key] = worker.ending_room(now + within_s, now)
        return self._ending_rooms[key]

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
        within_s = self._advice_ahead_s(step)
        lapses_at = now + within_s + t.cast(AdviceCost, step.job.spec.advice).valid_s
        need = step.need
        for worker, free in rooms.items():
            allowed = step.may_run.get(worker.worker_id)
            if allowed is False or not placing.admits(step, worker):
                continue
            reserved = self._reservations.reserved_for_others(step, worker)
            room = free - reserved if reserved is not ZERO else free
            permit = step.permits.get(worker.worker_id)
            permitted = permit is not None and permit.until > now
            places = placing.places(step, worker, room)
            if not permitted:
                if _stays_at_limit(step, worker, lapses_at, now):
                    continue
                (approved if allowed else unasked).append(worker)
                if not places:
                    room = room + self._ending_room(worker, within_s, now)
                    ending = _ending_tasks(step, worker, now + within_s, now)
                    places = placing.places(step, worker, room, -ending)
            if not places:
                continue
            could_start = could_start or permitted
            has_room = has_room or not permitted
            count = min(waiting, places)
            if count:
                waiting -= count
                claimed = claimed + need.times(count)
                rooms[worker] = rooms[worker] - need.times(count)
        if step.spec.gang:
            may_ask_unasked = bool(unasked) and (may_ask_early or has_room)
            wanted = may_ask_unasked or self._gang_could_start(step, now)
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
        count = min(max(count, ADVICE_MIN_WORKERS), ADVICE_MAX_WORKERS)
        named = {
            worker.worker_id: worker.born_ms for worker in (approved + unasked)[:count]
        }
        cost_s = advice.base_s + advice.per_worker_s * len(named)
        return AdviceRequest(step, named, cost_s)

    def _gang_could_start(self, step: StepRun, now: float) -> bool:
        """Return whether a gang is expected to have room once advice has arrived."""
        plan = self._plans.get(step.name)
        soon = now + ADVICE_AHEAD_S + self._call_s(step)
        return plan is not None and plan.ready_at <= soon
