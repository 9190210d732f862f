"""Waiting work of one shard and the passes that start it."""

import heapq
import itertools
import typing as t
from collections import OrderedDict, deque

from .codes import Code
from .estimate import Estimator
from .gangs import Gangs
from .jobs import Attempt, Job
from .messages import Priority, WorkKind
from .placement import BatchTask, Choice, RequestTask, Task, choose
from .preemption import Preemptor
from .resources import ZERO, Resources
from .results import Results
from .state import ShardState, Start

__all__ = ["Backlog"]

# Jobs tried in one pass, so that a deep queue does not delay the next message.
PASS_LIMIT = 64

# Largest number of jobs for which other work is being preempted.
PREEMPTING = 256

# Work that needs sole ownership waits this long for it before it is answered.
EXCLUSIVE_WAIT_S = 1.0

# Queued work is handed back this long after the authority has lapsed.
HAND_BACK_S = 1.0

_Lane: t.TypeAlias = tuple[int, str, str, Resources]


class Backlog:
    """Queues jobs and starts their tasks where they fit."""

    def __init__(self, state: ShardState, results: Results, estimator: Estimator):
        self._state = state
        self._results = results
        self._estimator = estimator
        self.gangs = Gangs(state, estimator)
        self.preemptor = Preemptor(state)
        self._lanes: dict[_Lane, OrderedDict[str, Job]] = {}
        self._blocked: set[_Lane] = set()
        self._delayed: list[tuple[float, str]] = []
        self._urgent: dict[str, Job] = {}
        self._keyed: dict[str, deque[Job]] = {}
        self._paused: deque[Job] = deque()

    def submit(self, now: float, job: Job) -> None:
        """Queue a new job, or refuse it if it can never be placed."""
        job.reason = self._never(job)
        if job.reason:
            self._results.answer(job, Code.UNPLACEABLE)
        elif not self._backfilled(now, job):
            self.requeue(now, job)

    def requeue(self, now: float, job: Job) -> None:
        """Queue a job that has a task to start."""
        if job.retry_at > now:
            heapq.heappush(self._delayed, (job.retry_at, job.request_id))
            return
        lane = self._lane(job)
        self._lanes.setdefault(lane, OrderedDict())[job.request_id] = job

    def waiting(self) -> int:
        """Return the number of jobs with a task to start."""
        return sum(bool(job.pending) for job in self._state.jobs.values())

    def run(self, now: float) -> None:
        """Start what fits."""
        while self._delayed and self._delayed[0][0] <= now:
            job = self._state.jobs.get(heapq.heappop(self._delayed)[1])
            if job is not None:
                self.requeue(now, job)
        if now >= self._state.authority.until:
            return
        if self._state.room_freed:
            self._state.room_freed = False
            self._blocked.clear()
            self._unpark(now)
            self._start_held(now)
        self._pass(now)

    def tick(self, now: float) -> None:
        """Go on with preemption and try all waiting work again."""
        self.preemptor.tick(now)
        self._hand_back(now)
        self._refuse_paused(now)
        self._state.room_freed = True

    def _hand_back(self, now: float) -> None:
        """Answer work that has not run once this process cannot start it."""
        if now < self._state.authority.until + HAND_BACK_S:
            return
        for job in list(self._state.jobs.values()):
            if job.pending and not job.may_have_run and not job.cancelled:
                self._results.answer(job, Code.NOT_OWNER)

    def _lane(self, job: Job) -> _Lane:
        """Return what a job competes for: if one does not fit, none behind it does."""
        work = job.work
        place = work.target if work.kind is WorkKind.REQUEST else work.group
        return -int(work.priority), work.kind, place, work.need

    def _backfilled(self, now: float, job: Job) -> bool:
        """Start a short job ahead of a blocked lane if it ends before a gang starts."""
        if not self.gangs.active or job.work.kind is not WorkKind.BATCH:
            return False
        return self._lane(job) in self._blocked and self._place(now, job)

    def _pass(self, now: float) -> None:
        budget = PASS_LIMIT
        for lane in sorted(self._lanes.keys() - self._blocked, key=_lane_order):
            budget -= self._pass_lane(now, lane, budget)
            if not self._lanes[lane]:
                del self._lanes[lane]
            if budget <= 0:
                return

    def _pass_lane(self, now: float, lane: _Lane, budget: int) -> int:
        """Start what fits of one lane; return how many jobs were tried."""
        queue = self._lanes[lane]
        tried = list(itertools.islice(queue.items(), budget))
        placed = False
        for count, (request_id, job) in enumerate(tried, 1):
            if self._place(now, job):
                placed = True
                del queue[request_id]
            elif not self._waits_alone(job):
                self._blocked.add(lane)
                return count
        if not placed:
            self._blocked.add(lane)
        return len(tried)

    def _waits_alone(self, job: Job) -> bool:
        """Tell whether a job waits for something that those behind it do not."""
        if job.held:
            return True
        is_batch = job.work.kind is WorkKind.BATCH
        return is_batch and (self.gangs.active or self._charge(job) != job.work.need)

    def _place(self, now: float, job: Job) -> bool:
        """Start what fits of a job; return True if it need not wait any more."""
        if not job.pending or self._state.jobs.get(job.request_id) is not job:
            return True
        if self._parked(job):
            return True
        if job.work.kind is WorkKind.GANG:
            return self._place_gang(now, job)
        while job.pending:
            if job.work.exclusive_key and self._parked(job):
                return True
            if not self._place_task(now, job, job.pending[0]):
                return False
            job.pending.popleft()
        return True

    def _parked(self, job: Job) -> bool:
        """Set a job aside that must wait for sole ownership or for its key."""
        work = job.work
        key = work.exclusive_key
        if (key or not work.idempotent) and not self._state.authority.exclusive:
            job.reason = "It waits until this process is certain to be the only owner."
            self._paused.append(job)
        elif key and key in self._state.attempts.keys:
            job.reason = f"Other work runs under its exclusive key in {self._shard}."
            self._keyed.setdefault(key, deque()).append(job)
        else:
            return False
        return True

    def _unpark(self, now: float) -> None:
        """Queue jobs again that need not wait any more, one for each free key."""
        freed, self._state.attempts.freed_keys = self._state.attempts.freed_keys, []
        for key in freed:
            jobs = self._keyed.get(key)
            while jobs and not jobs[0].pending:
                jobs.popleft()
            if jobs:
                self.requeue(now, jobs.popleft())
            else:
                self._keyed.pop(key, None)
        if self._state.authority.exclusive:
            while self._paused:
                self.requeue(now, self._paused.popleft())

    def _refuse_paused(self, now: float) -> None:
        """Answer work that has waited too long for sole ownership."""
        while self._paused and now >= self._paused[0].arrived + EXCLUSIVE_WAIT_S:
            job = self._paused.popleft()
            if job.pending and not job.may_have_run:
                self._results.answer(job, Code.EXCLUSIVE_PAUSED)

    def _place_task(self, now: float, job: Job, task: int) -> bool:
        work = job.work
        if task in job.held:
            return False
        charge = self._charge(job)
        choice = self._choose(now, job, charge)
        if choice is None:
            self._note_wait(job, charge)
            if work.priority is Priority.URGENT:
                self._preempt(now, job, task, charge)
            return False
        return self._start(now, job, task, choice, charge)

    def _choose(self, now: float, job: Job, charge: Resources) -> Choice | None:
        work = job.work
        task: Task
        if work.kind is WorkKind.REQUEST:
            task = RequestTask(pool=self._state.pools.get(work.target))
            return choose(task, self._state.fleet, self._state.rng)
        if not self._within_headroom(job, charge):
            return None
        task = BatchTask(charge, work.group)
        choice = choose(task, self._state.fleet, self._state.rng)
        if choice is not None:
            return choice
        run_time_s = self._estimator.run_time_s(work, 0.9)
        vm = self.gangs.backfill(now, charge, work.group, run_time_s)
        return Choice(vm) if vm else None

    def _within_headroom(self, job: Job, charge: Resources) -> bool:
        """Tell whether the share kept free for peaks stays free."""
        headroom = self._state.config.policy.headroom
        if not headroom or job.work.priority is Priority.URGENT:
            return True
        after = self._state.fleet.used + charge
        return after.dominant_share(self._state.fleet.total) <= 1.0 - headroom

    def _place_gang(self, now: float, job: Job) -> bool:
        charge = self._charge(job)
        if job.held or not self.gangs.hold_all(job, charge):
            self._wait_as_gang(now, job, charge)
            return False
        self._start_all_held(now, job)
        return True

    def _wait_as_gang(self, now: float, job: Job, charge: Resources) -> None:
        if not job.held and self.gangs.reserve(now, job, charge):
            job.reason = (
                f"Room for all {len(job.pending)} tasks is reserved in {self._shard} "
                "and becomes free as other tasks end."
            )
            if job.work.priority is Priority.URGENT:
                for name in sorted(set(job.held.values())):
                    self.preemptor.clear(now, self._state.fleet.vms[name])
        elif not job.held:
            job.reason = (
                f"{self._shard} has no room for all {len(job.pending)} tasks at once, "
                "and another gang holds the reservation."
            )

    def _preempt(self, now: float, job: Job, task: int, charge: Resources) -> None:
        if job.work.kind is WorkKind.REQUEST or len(self._urgent) >= PREEMPTING:
            return
        if self.preemptor.make_room(now, job, task, charge):
            self._urgent[job.request_id] = job
            job.reason = "It waits until less urgent work is checkpointed or stopped."

    def _start_held(self, now: float) -> None:
        """Start the tasks whose held room has become free."""
        for job in self.gangs.ready(now):
            self._start_all_held(now, job)
        for request_id, job in list(self._urgent.items()):
            for task, name in list(job.held.items()):
                vm = self._state.fleet.vms.get(name)
                if vm is None or not vm.usable:
                    self._state.unhold(job, task)
                elif not vm.overcommitted:
                    self._start_one_held(now, job, task)
            if not job.held:
                del self._urgent[request_id]

    def _start_all_held(self, now: float, job: Job) -> None:
        for task in list(job.held):
            self._start_one_held(now, job, task)

    def _start_one_held(self, now: float, job: Job, task: int) -> None:
        vm = self._state.fleet.vms[job.held[task]]
        amount = self._state.unhold(job, task)
        if self._start(now, job, task, Choice(vm), amount):
            job.pending.remove(task)

    def _start(
        self, now: float, job: Job, task: int, choice: Choice, charge: Resources
    ) -> bool:
        start = Start(choice.vm, job.work, task, charge, choice.executor)
        attempt: Attempt | None = self._state.start(now, start)
        if attempt is None:
            return False
        job.attempts.add(attempt.attempt_id)
        return True

    def _charge(self, job: Job) -> Resources:
        if job.work.kind is WorkKind.REQUEST:
            return ZERO
        limit = self._state.fleet.roomiest(job.work.need, job.work.group)
        return self._estimator.charge(job.work, limit or ZERO)

    def _never(self, job: Job) -> str:
        """Say why a job can never be placed here; empty if it can."""
        work, fleet = job.work, self._state.fleet
        if work.kind is WorkKind.REQUEST or not fleet.vms:
            return ""
        where = f"VM of group {work.group}" if work.group else "VM"
        if fleet.roomiest(work.need, work.group) is None:
            return (
                f"No {where} in {self._shard} is large enough for {_text(work.need)}."
            )
        if work.kind is WorkKind.GANG:
            widest = self.gangs.widest(work.need, work.group)
            if widest < work.tasks:
                return (
                    f"{self._shard} can run at most {widest} of the {work.tasks} tasks "
                    "of the gang at once."
                )
        return ""

    def _note_wait(self, job: Job, charge: Resources) -> None:
        work = job.work
        if work.kind is WorkKind.REQUEST:
            job.reason = f"All executors of {work.target} in {self._shard} are busy."
        else:
            job.reason = f"No VM in {self._shard} has {_text(charge)} free now."

    @property
    def _shard(self) -> str:
        return f"shard {self._state.shard}"


def _lane_order(lane: _Lane) -> tuple[int, str, str]:
    return lane[:3]


def _text(need: Resources) -> str:
    """Return an amount as words."""
    text = f"{need.cpu_m / 1000:g} cores and {need.mem_mb} MB"
    return f"{text} and {need.gpus} GPUs" if need.gpus else text
