"""Choice of a VM for one task of a job, and the start of that task."""

import typing as t

from .admission import Admission
from .estimate import Estimator
from .gangs import QUANTILE, Gangs
from .jobs import Job
from .lanes import QueueEntry
from .messages import Priority, WorkKind
from .placement import BatchTask, Choice, RequestTask, Task, choose
from .queues import WaitQueues
from .resources import ZERO, Resources
from .results import Results
from .state import ShardState, Start

__all__ = ["Starter"]


class Starter:
    """Starts tasks, and reports each start to the ledger, the queues and admission."""

    def __init__(
        self,
        state: ShardState,
        results: Results,
        estimator: Estimator,
        gangs: Gangs,
        queues: WaitQueues,
        admission: Admission,
    ):
        self._state = state
        self._results = results
        self._estimator = estimator
        self._gangs = gangs
        self._queues = queues
        self._admission = admission

    def choose(self, now: float, job: Job, charge: Resources) -> Choice | None:
        """Return where a task of the job can start now, or None."""
        work, fleet, rng = job.work, self._state.fleet, self._state.rng
        task: Task
        if work.kind is WorkKind.REQUEST:
            task = RequestTask(pool=self._state.pools.get(work.target))
            return choose(task, fleet, rng)
        if not self._within_headroom(job, charge):
            return None
        task = BatchTask(charge, work.group)
        choice = choose(task, fleet, rng)
        if choice is not None or not self._gangs.active:
            return choice
        run_time_s = self._estimator.run_time_s(work, QUANTILE)
        vm = self._gangs.backfill(now, charge, work.group, run_time_s)
        return Choice(vm) if vm else None

    def _within_headroom(self, job: Job, charge: Resources) -> bool:
        """Return whether a start leaves the policy's headroom free."""
        headroom = self._state.config.policy.headroom
        if not headroom or job.work.priority is Priority.URGENT:
            return True
        after = self._state.fleet.used + charge
        return after.dominant_share(self._state.fleet.total) <= 1.0 - headroom

    def start_all_held(self, now: float, job: Job) -> None:
        """Start all tasks of a job for which capacity is held."""
        for task in list(job.held):
            self.start_held(now, job, task)

    def start_held(self, now: float, job: Job, task: int) -> None:
        """Start a task on the VM on which capacity is held for it."""
        vm = self._state.fleet.vms[job.held[task]]
        amount = self._state.release_hold(job, task)
        if self.start(now, job, task, Choice(vm), amount):
            job.pending.remove(task)

    def start(
        self, now: float, job: Job, task: int, choice: Choice, charge: Resources
    ) -> bool:
        """Start one task; return False if the authority has lapsed."""
        start = Start(choice.vm, job.work, task, charge, choice.executor)
        attempt = self._state.start(now, start)
        if attempt is None:
            return False
        self._results.ledger.started(now, job.request_id, attempt.attempt_id, task)
        entry = t.cast(QueueEntry, job.entry)
        is_request = job.work.kind is WorkKind.REQUEST
        held = None if is_request else charge
        self._queues.started(now, attempt.attempt_id, entry, held)
        self._admission.started(now, job.work)
        self._results.budget.record_attempt(now)
        job.attempts.add(attempt.attempt_id)
        return True

    def charge(self, job: Job) -> Resources:
        """Return the amount to charge to a VM for one task of a job.

        A request is charged nothing: it takes a slot of a replica instead.
        """
        if job.work.kind is WorkKind.REQUEST:
            return ZERO
        limit = self._state.fleet.largest_shape(job.work.need, job.work.group)
        return self._estimator.charge(job.work, limit or ZERO)
