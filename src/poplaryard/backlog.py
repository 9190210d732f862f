"""Waiting work of one shard and the passes that start it."""

import bisect
import heapq
import itertools
import typing as t
from collections import OrderedDict

from .admission import Admission
from .codes import Code
from .estimate import Estimator
from .gangs import Gangs
from .jobs import Attempt, Job
from .lanes import Lane, QueueEntry, lane_of
from .messages import Priority, WorkKind
from .parking import Parking
from .preemption import Preemptor
from .queues import WaitQueues
from .reasons import Reasons
from .resources import Resources
from .results import Results
from .starter import Starter
from .state import ShardState

__all__ = ["Backlog"]

# Jobs tried in one pass: few enough that a deep queue does not delay the next message.
PASS_LIMIT = 32

# Gangs tried in one pass.
GANG_LIMIT = 8

# Largest number of jobs for which other work is preempted at the same time.
PREEMPTING_LIMIT = 256

# Time for which work waits before capacity is reclaimed for it from other teams.
RECLAIM_AFTER_S = 1.0

# Time after the end of the authority at which queued work is refused with `NOT_OWNER`.
REFUSE_AFTER_LAPSE_S = 1.0


class Backlog:
    """Queues jobs and starts their tasks where they fit."""

    def __init__(self, state: ShardState, results: Results, estimator: Estimator):
        self._state = state
        self._results = results
        self._estimator = estimator
        self.gangs = Gangs(state, estimator)
        self.preemptor = Preemptor(state)
        self.reasons = Reasons(state)
        self._queues = WaitQueues(state.config.policy, self._state.quotas.share)
        self._admission = Admission(state.config.policy)
        self._starter = Starter(
            state, results, estimator, self.gangs, self._queues, self._admission
        )
        self._parking = Parking()
        self._sequence = itertools.count()
        self._gang_queue: list[tuple[int, int, str]] = []
        # What could not start with the capacity that is free now: lanes, pairs of a
        # lane and a team, and "gangs" for all gangs.
        self._blocked: set[t.Hashable] = set()
        self._retry_pass = False
        self._delayed: list[tuple[float, str]] = []
        self._preempting: OrderedDict[str, Job] = OrderedDict()
        state.on_end = self._on_attempt_end
        state.on_close = self._on_job_close

    def configure(self) -> None:
        """Apply the current policy, teams and capacity."""
        config, fleet = self._state.config, self._state.fleet
        slots = {
            name: Resources(cpu_m=pool.slots * pool.wanted)
            for name, pool in self._state.pools.items()
        }
        capacity = {**fleet.totals_by_group(), **slots, "": fleet.total}
        self._queues.configure(config.policy, capacity)
        self._admission.configure(config.policy)
        self._state.quotas.configure(config.teams, fleet.total)

    def submit(self, now: float, job: Job) -> None:
        """Start or queue a new job, or refuse it."""
        detail = self.reasons.unplaceable(job, self.gangs)
        if detail:
            self._results.refuse(now, job, Code.UNPLACEABLE, detail)
            return
        detail = self.reasons.exceeds_team_limit(job)
        if detail:
            self._results.refuse(now, job, Code.QUOTA_EXCEEDED, detail)
            return
        depth, team_depth = self._queues.depth(job.work), 0
        if depth:
            team_depth = self._queues.team_depth(job.work)
        pool = self._state.pools.get(job.work.target)
        limit = pool.spec.queue_limit if pool else None
        decision = self._admission.admit(now, job.work, depth, team_depth, limit)
        if decision.code is Code.ACCEPTED:
            self.requeue(now, job)
        else:
            after_s = decision.retry_after_s
            self._results.refuse(now, job, decision.code, retry_after_s=after_s)

    def requeue(self, now: float, job: Job) -> None:
        """Queue a job that has a task to start, or start it if no other job waits."""
        if job.retry_at > now:
            heapq.heappush(self._delayed, (job.retry_at, job.request_id))
            return
        if job.entry is None:
            job.entry = self._create_entry(job)
        if job.work.kind is WorkKind.GANG:
            self._queue_gang(job)
            return
        if not self._start_at_once(now, job):
            self._push(now, job)

    def _queue_gang(self, job: Job) -> None:
        entry = t.cast(QueueEntry, job.entry)
        item = -int(job.work.priority), entry.sequence, job.request_id
        if item not in self._gang_queue:
            bisect.insort(self._gang_queue, item)
            self._blocked.discard("gangs")

    def waiting(self) -> int:
        """Return the number of jobs with a task to start."""
        return sum(bool(job.pending) for job in self._state.jobs.values())

    def run(self, now: float) -> None:
        """Start the waiting tasks that fit."""
        while self._delayed and self._delayed[0][0] <= now:
            job = self._state.jobs.get(heapq.heappop(self._delayed)[1])
            if job is not None and job.pending:
                job.retry_at = now
                self.requeue(now, job)
        if now >= self._state.authority.until:
            return
        if self._state.room_freed:
            self._state.room_freed = False
            self._blocked.clear()
            self._retry_pass = True
            self._unpark(now)
            self._start_held(now)
        if self._gang_queue:
            self._run_gang_pass(now)
        if self._retry_pass and len(self._queues):
            self._run_pass(now)

    def tick(self, now: float) -> None:
        """Continue preemptions, drop expired entries and retry all waiting work."""
        self.preemptor.tick(now)
        self._queues.expire(now)
        self._refuse_waiting(now)
        for job in self._parking.pop_overdue(now):
            if job.may_run_or_have_run:
                self._parking.wait_for_ownership(now, job)
            else:
                self._results.refuse(now, job, Code.EXCLUSIVE_PAUSED, retry_after_s=1.0)
        for attempt_id in self._queues.to_yield(now):
            self.preemptor.checkpoint(now, attempt_id)
        self._reclaim(now)
        self._state.room_freed = True

    def _reclaim(self, now: float) -> None:
        """Checkpoint work of teams above their fair share for a team below its own."""
        quotas = self._state.quotas
        team = quotas.least_waiting()
        if (
            team is None
            or quotas.excess_share(team)
            or len(self._preempting) >= PREEMPTING_LIMIT
        ):
            return
        for entry in self._queues.candidates(now, PASS_LIMIT):
            job = self._state.jobs.get(entry.work.request_id)
            waits = job is not None and job.work.team == team and not job.held
            if not waits or job is None or job.work.kind is not WorkKind.BATCH:
                continue
            if now < job.arrived + RECLAIM_AFTER_S or not job.pending:
                continue
            charge = self._starter.charge(job)
            if quotas.allowed(team, charge) and self.preemptor.make_room(
                now,
                job,
                job.pending[0],
                charge,
                checkpoint_only=True,
                accept=lambda attempt: quotas.excess_share(attempt.work.team) > 0.0,
            ):
                self._preempting[job.request_id] = job
            return

    def _refuse_waiting(self, now: float) -> None:
        """Refuse work that has not run, once the authority has lapsed for a while."""
        if now < self._state.authority.until + REFUSE_AFTER_LAPSE_S:
            return
        for job in list(self._state.jobs.values()):
            if job.pending and not job.may_run_or_have_run and not job.cancelled:
                self._results.refuse(now, job, Code.NOT_OWNER, retry_after_s=0.1)

    def _create_entry(self, job: Job) -> QueueEntry:
        expected_s = self._estimator.run_time_s(job.work)
        sequence = next(self._sequence)
        return QueueEntry(job.work, job.arrived, sequence, expected_s=expected_s)

    def _push(self, now: float, job: Job) -> None:
        entry = t.cast(QueueEntry, job.entry)
        if job.request_id in self._queues:
            return
        entry.next_task = job.work.tasks - len(job.pending)
        self._queues.push(now, entry)
        self._state.quotas.add_waiting(job.work.team)
        if entry.lane not in self._blocked:
            self._retry_pass = True

    def _remove(self, now: float, job: Job) -> None:
        if self._queues.remove(job.request_id, now) is not None:
            self._state.quotas.remove_waiting(job.work.team)

    def _start_at_once(self, now: float, job: Job) -> bool:
        """Start a job without queueing it; return False if it must be queued.

        That is possible if no other work of its class waits, or, as backfill, if that
        work is blocked while a gang holds a reservation.
        """
        if now >= self._state.authority.until:
            return False
        entry = t.cast(QueueEntry, job.entry)
        lane = lane_of(entry, self._state.config.policy.short_s)
        if self._queues.depth(job.work) and not (
            lane in self._blocked and self.gangs.active
        ):
            return False
        if self._place(now, job, entry):
            return True
        self._block(job, lane)
        return False

    def _run_pass(self, now: float) -> None:
        self._retry_pass = False
        for entry in self._queues.candidates(now, PASS_LIMIT):
            # The next pass tries the work behind an entry that has started.
            self._retry_pass |= self._try_entry(now, entry)

    def _try_entry(self, now: float, entry: QueueEntry) -> bool:
        """Place one queued job, or block what cannot start either.

        Return True if a task was started or the entry was removed.
        """
        lane, team = t.cast(Lane, entry.lane), entry.work.team
        if lane in self._blocked or (lane, team) in self._blocked:
            return False
        job = self._state.jobs.get(entry.work.request_id)
        if job is None or not job.pending:
            self._queues.remove(entry.work.request_id, now)
            return True
        before = len(job.pending)
        if self._place(now, job, entry):
            self._remove(now, job)
            return True
        self._block(job, lane)
        return len(job.pending) < before

    def _block(self, job: Job, lane: Lane) -> None:
        """Block the other work that cannot start because this job could not."""
        team = job.work.team
        if not self._state.quotas.allowed(team, self._starter.charge(job)):
            self._blocked.add((lane, team))
        elif not self._blocks_only_itself(job):
            self._blocked.add(lane)

    def _blocks_only_itself(self, job: Job) -> bool:
        """Return whether a job waits for something that jobs behind it do not need."""
        if job.held:
            return True
        is_batch = job.work.kind is WorkKind.BATCH
        return is_batch and (
            self.gangs.active or self._starter.charge(job) != job.work.need
        )

    def _place(self, now: float, job: Job, entry: QueueEntry) -> bool:
        """Start the tasks of a job that fit; return True if it need not be queued."""
        while job.pending:
            if self._park_if_needed(now, job):
                return True
            task = job.pending[0]
            may_start = self._results.ledger.may_start(job.request_id, task)
            if may_start and not self._place_task(now, job, task, entry):
                return False
            job.pending.popleft()
        return True

    def _park_if_needed(self, now: float, job: Job) -> bool:
        """Park a job that must wait for sole ownership or for its exclusive key.

        Return True if it was parked, or answered because it may have run already.
        """
        work, key = job.work, job.work.exclusive_key
        if work.idempotent and not key:
            return False
        if not self._state.serves_exclusive():
            job.reason = "It waits until this process is certain to be the only owner."
            self._parking.wait_for_ownership(now, job)
            return True
        if key and key in self._state.attempts.keys:
            job.reason = self.reasons.key_taken()
            self._parking.wait_for_key(job)
            return True
        if not work.idempotent and not job.no_earlier_run:
            job.no_earlier_run = self._state.may_run_unreported(work.issued_at)
            if not job.no_earlier_run:
                self._results.give_up(now, job, Code.UNKNOWN_OUTCOME)
                return True
        return False

    def _waits_for_exclusivity(self, job: Job) -> bool:
        """Return whether a job must wait for sole ownership or for its key."""
        work = job.work
        if work.idempotent and not work.exclusive_key:
            return False
        taken = work.exclusive_key in self._state.attempts.keys
        return taken or not self._state.serves_exclusive()

    def _unpark(self, now: float) -> None:
        """Queue parked jobs that may start now, one for each exclusive key freed."""
        freed, self._state.attempts.freed_keys = self._state.attempts.freed_keys, []
        for key in freed:
            job = self._parking.next_for_key(key)
            if job is not None:
                self.requeue(now, job)
        if self._state.serves_exclusive():
            for job in self._parking.pop_ownership_waiters():
                self.requeue(now, job)

    def _place_task(self, now: float, job: Job, task: int, entry: QueueEntry) -> bool:
        if task in job.held:
            return False
        charge = self._starter.charge(job)
        if not self._state.quotas.allowed(job.work.team, charge):
            job.reason = self.reasons.team_at_limit(job)
            return False
        if not self._queues.may_start(now, entry):
            job.reason = self.reasons.kept_for_short(job)
            return False
        choice = self._starter.choose(now, job, charge)
        if choice is None:
            job.reason = self.reasons.no_room(job, charge)
            if job.work.priority is Priority.URGENT:
                self._preempt(now, job, task, charge)
            return False
        return self._starter.start(now, job, task, choice, charge)

    def _run_gang_pass(self, now: float) -> None:
        if "gangs" in self._blocked:
            return
        self._blocked.add("gangs")
        for item in self._gang_queue[:GANG_LIMIT]:
            job = self._state.jobs.get(item[2])
            if job is None or not job.pending or self._place_gang(now, job):
                self._gang_queue.remove(item)

    def _place_gang(self, now: float, job: Job) -> bool:
        """Start all tasks of a gang or none; return True if it leaves the queue."""
        if job.held:
            return False
        if self._park_if_needed(now, job):
            return True
        charge = self._starter.charge(job)
        whole = charge.times(len(job.pending))
        if not self._state.quotas.allowed(job.work.team, whole):
            job.reason = self.reasons.team_at_limit(job)
            return False
        if self.gangs.hold_all(job, charge):
            self._starter.start_all_held(now, job)
            return True
        reserved = self.gangs.reserve(now, job, charge)
        job.reason = self.reasons.gang_waits(job, reserved)
        if reserved and job.work.priority is Priority.URGENT:
            for name in sorted(set(job.held.values())):
                self.preemptor.free_held(now, self._state.fleet.vms[name])
        return False

    def _preempt(self, now: float, job: Job, task: int, charge: Resources) -> None:
        if (
            job.work.kind is WorkKind.REQUEST
            or len(self._preempting) >= PREEMPTING_LIMIT
        ):
            return
        if self.preemptor.make_room(now, job, task, charge):
            self._preempting[job.request_id] = job
            job.reason = "It waits until less urgent work is checkpointed or stopped."

    def _start_held(self, now: float) -> None:
        """Start the tasks for which the capacity held has become free."""
        for job in self.gangs.pop_ready(now):
            if self._waits_for_exclusivity(job):
                self._state.release_holds(job)
                self._queue_gang(job)
            else:
                self._starter.start_all_held(now, job)
        for request_id, job in list(self._preempting.items()):
            for task, name in list(job.held.items()):
                vm = self._state.fleet.vms.get(name)
                if vm is None or not vm.usable:
                    self._state.release_hold(job, task)
                elif not vm.overcommitted and not self._waits_for_exclusivity(job):
                    self._starter.start_held(now, job, task)
            if not job.held:
                del self._preempting[request_id]
            if not job.pending:
                self._remove(now, job)

    def _on_attempt_end(self, now: float, attempt: Attempt) -> None:
        self._queues.ended(now, attempt.attempt_id)

    def _on_job_close(self, now: float, job: Job) -> None:
        self._remove(now, job)
