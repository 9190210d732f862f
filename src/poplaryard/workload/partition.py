"""Decisions of the owner of one group of workers.

The owner is told what happened (jobs, reports of workers, answers to orders) and
returns orders. It reads no clock and makes no calls.
"""

import typing as t
from dataclasses import dataclass

from ..logs import logger
from ..resources import ZERO, Resources
from . import placing
from .meters import Meters
from .model import (
    Ended,
    EndedRun,
    HoldReport,
    JobSpec,
    JobState,
    Progress,
    RunningRun,
    StartOutcome,
    WorkerInfo,
)
from .records import encode
from .room import Holds, Plan, plan_room
from .runtime import JobRun, Permit, Run, RunPhase, StepRun, Task, Worker

__all__ = ["AdviceRequest", "Notes", "Partition", "StartOrder", "StopOrder"]

# Least gap that a new owner leaves to the run numbers it knows of: starts are not
# written to the store, so the earlier owner may have used some above them.
RUN_GAP = 16
# An order without an answer may still be carried out this long after it was sent, in
# seconds: the platform states up to 12.
LATE_ORDER_S = 12.5
# Seconds between repeated stops of a run.
STOP_RETRY_S = 0.6
# Pauses of a worker in seconds, after it refused a start and after a failed call.
REFUSED_PAUSE_S = 0.5
# First pause of a worker on which the runs of several jobs failed, in seconds; it
# doubles with each further ejection.
EJECT_S = 2.0
EJECT_MAX_S = 16.0
# Jobs that fail in a row on a worker before it is ejected. One job may be at fault
# itself.
EJECT_AFTER = 2
# A run whose percentage stands still for this long, beside two percent of its expected
# time, is moved. Percentages are whole numbers.
STALL_S = 2.5
STALL_SHARE = 0.03
# A task is slow once it has run for this share of its estimate and is expected to need
# more than this many estimates beside.
COPY_AFTER = 0.6
COPY_GAIN = 1.3
# Steps that hold room at the same time; each hold leaves some of it idle.
MAX_PLANS = 4
# Share of a worker from which on a task counts as large.
LARGE_SHARE = 0.25
# Most workers that one call for advice may name.
ADVICE_MAX_WORKERS = 100
# Part of a permit's life that is left unused, in seconds: the start has to arrive.
PERMIT_SLACK_S = 0.15
# Advice for a step is asked for when the steps before it are expected to end within
# this many seconds.
ADVICE_AHEAD_S = 0.8
# Wait before the next call for advice on a step after one that failed, in seconds.
ADVICE_RETRY_S = 0.02


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run."""

    run: Run
    checkpoint: str
    ticket: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run; `run` is None for one that this owner did not start."""

    worker: Worker
    task: str
    number: int
    run: Run | None


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Workers to ask about for a step."""

    step: StepRun
    workers: tuple[str, ...]
    cost_s: float


@dataclass(frozen=True, slots=True)
class Notes:
    """What has to be written before ends are acknowledged.

    Attributes
    ----------
    progress : dict of str to bytes
        Encoded progress by job.
    states : dict of str to JobState
        State that each job has once this is written.
    seen : dict of Worker to tuple
        Life of the worker, and the last of its ends that counts as kept once this is
        written.
    """

    progress: dict[str, bytes]
    states: dict[str, JobState]
    seen: dict[Worker, tuple[int, int]]


class Partition:
    """Jobs and workers of one group.

    Parameters
    ----------
    group : str
    claim_revision : int
        Revision of the owner's claim, which is its fencing token.
    wall_offset : float
        Wall-clock time minus the owner's clock, in seconds.
    quarantine_until : float
        Time until which workers that did not report may hold runs of an earlier owner.
    suspects : iterable of str
        Workers that may hold such runs.
    """

    def __init__(
        self,
        group: str,
        claim_revision: int,
        wall_offset: float,
        quarantine_until: float = 0.0,
        suspects: t.Iterable[str] = (),
        early_s: float = 0.0,
        meters: Meters | None = None,
    ):
        self.group = group
        self.fence = claim_revision
        self.jobs: dict[str, JobRun] = {}
        self.workers: dict[str, Worker] = {}
        self.orders: list[StartOrder | StopOrder] = []
        self.fenced = False
        self.notes_urgent = False
        self.accepts_starts = True
        self.sole_owner = True
        self._kept: set[str] = set()
        self._wall_offset = wall_offset
        self._quarantine_until = quarantine_until
        self._suspects = set(suspects)
        self._early_s = early_s
        self._meters = meters or Meters()
        self._dirty: set[str] = set()
        self._open_steps: dict[str, StepRun] = {}
        self._tasks: dict[str, Task] = {}
        self._holds = Holds()
        self._plans: dict[str, Plan] = {}

    # Jobs

    def add_job(
        self, spec: JobSpec, now: float, fresh: bool, progress: Progress | None = None
    ) -> JobRun:
        """Take a job that the store holds; a known one is left as it is."""
        known = self.jobs.get(spec.job_id)
        if known is not None:
            return known
        age_s = now + self._wall_offset - spec.accepted_at if not fresh else 0.0
        job = JobRun(spec, fresh, now - max(0.0, age_s))
        job.due_at = job.arrived_at + spec.objective_s()
        if progress is not None:
            job.progress = progress
            if progress.state.final:
                job.stored_state = progress.state
            job.started = bool(progress.done or progress.failures or progress.run)
        self.jobs[spec.job_id] = job
        if job.progress.state.final:
            return job
        job.occurrences_left = max(1, spec.times)
        self._open_due(job, now)
        return job

    def cancel(self, job_id: str, now: float) -> None:
        """Cancel a job and stop what runs of it."""
        job = self.jobs.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        if not job.progress.state.final:
            self._finish(job, JobState.CANCELLED, now)

    def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs of which nothing has started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec.queue == queue and not job.started and not job.state.final
        )

    def forget_finished(self, before_wall: float) -> list[str]:
        """Return the jobs that ended before a wall-clock time, and drop them."""
        old = [
            job_id
            for job_id, job in self.jobs.items()
            if job.progress.state.final
            and job_id not in self._dirty
            and job.progress.finished_at < before_wall
        ]
        for job_id in old:
            del self.jobs[job_id]
        return old

    def _open_due(self, job: JobRun, now: float) -> None:
        """Create the occurrences that are due."""
        spec = job.spec
        while job.next_occurrence < max(1, spec.times):
            if spec.times:
                due = spec.first_at + job.next_occurrence * spec.interval_s
                if due - self._wall_offset > now:
                    return
                job.due_at = due - self._wall_offset + spec.objective_s()
            self._open_occurrence(job, job.next_occurrence)
            job.next_occurrence += 1

    def _open_occurrence(self, job: JobRun, number: int) -> None:
        steps = []
        base = 0 if job.fresh else job.progress.run + RUN_GAP
        for index, spec in enumerate(job.spec.steps):
            step = StepRun(job, number, index, spec)
            done = set(job.progress.done.get(step.key, ()))
            for position in range(spec.count):
                name = f"{step.name}.{position}"
                task = Task(name, step, position, run=base, done=position in done)
                step.tasks.append(task)
                if not task.done:
                    self._tasks[name] = task
            step.remaining = sum(not task.done for task in step.tasks)
            steps.append(step)
        job.occurrences[number] = steps
        for step in reversed(steps):
            later = (other for other in steps if step.number in other.spec.after)
            rest_s = max((other.rest_s for other in later), default=0.0)
            step.rest_s = step.spec.estimate_s + rest_s
        for step in steps:
            if step.remaining:
                self._open_steps[step.name] = step
        if not any(step.remaining for step in steps):
            self._close_occurrence(job, number)

    def _ready(self, step: StepRun) -> bool:
        steps = step.job.occurrences[step.occurrence]
        return all(not steps[number].remaining for number in step.spec.after)

    def _close_occurrence(self, job: JobRun, number: int) -> None:
        job.occurrences_left -= 1

    def _finish(self, job: JobRun, state: JobState, now: float) -> None:
        job.progress.state = state
        job.progress.finished_at = now + self._wall_offset
        self._dirty.add(job.spec.job_id)
        self.notes_urgent = True
        for steps in job.occurrences.values():
            for step in steps:
                self._open_steps.pop(step.name, None)
                for task in step.tasks:
                    for run in list(task.runs):
                        self._stop(run, now)
                    if not task.runs:
                        self._tasks.pop(task.name, None)
        self._meters.count("poplaryard_jobs_finished_total", str(state))
        self._meters.observe("poplaryard_job_seconds", now - job.arrived_at)
        logger.info(
            "job finished",
            extra={
                "request": job.spec.job_id,
                "state": str(state),
                "age_s": round(now - job.arrived_at, 3),
                "objective_s": round(job.spec.objective_s(), 3),
                "waited_s": round(max(0.0, job.first_start_at - job.arrived_at), 3),
                "chain_s": round(job.spec.chain_s(), 3),
                "steps": len(job.spec.steps),
                "priority": job.spec.priority,
                "lost_runs": job.lost_runs,
            },
        )

    # Workers

    def worker_listed(self, info: WorkerInfo, now: float) -> Worker:
        """Take the entry that a worker wrote of itself."""
        worker = self.workers.get(info.worker_id)
        if worker is None:
            worker = Worker(info, born_ms=info.born_ms)
            self.workers[info.worker_id] = worker
            self._replace_at(worker, now)
        elif info.born_ms and worker.born_ms and info.born_ms > worker.born_ms:
            self._new_life(worker, info.born_ms, now)
        if info.draining and not worker.info.draining:
            worker.drain_at = now
            logger.info("worker leaves", extra={"worker": info.worker_id})
        worker.info = info
        worker.listed = True
        worker.gone = False
        return worker

    def worker_unlisted(self, worker_id: str, now: float) -> None:
        """Take the removal of a worker's entry; its runs may go on."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.listed = False
        if worker.info.draining and worker.refused:
            self._lost(worker, "left after draining", now)

    def _replace_at(self, worker: Worker, now: float) -> None:
        """Drop workers that this one has replaced: same address or same machine."""
        for other in list(self.workers.values()):
            if other is worker or other.gone:
                continue
            same_machine = worker.info.machine and (
                other.info.machine == worker.info.machine
            )
            if other.info.address == worker.info.address or same_machine:
                other.listed = False
                self._lost(other, f"replaced by {worker.worker_id}", now)

    def _new_life(self, worker: Worker, born_ms: int, now: float) -> None:
        self._drop_runs(worker, "worker restarted", now)
        worker.born_ms = born_ms
        worker.seen_seq = 0
        worker.acked_seq = 0
        worker.clock_s = 0.0
        worker.granted_s = 0.0
        worker.synced = False

    def _lost(self, worker: Worker, reason: str, now: float) -> None:
        logger.info("worker gone", extra={"worker": worker.worker_id, "reason": reason})
        worker.gone = True
        self._suspects.discard(worker.worker_id)
        self._drop_runs(worker, reason, now)

    def _drop_runs(self, worker: Worker, reason: str, now: float) -> None:
        """Free the runs of a worker that certainly no longer exist."""
        for run in list(worker.runs.values()):
            self._run_gone(run, now, reason)
        worker.foreign.clear()

    def may_hold_work(self, now: float) -> set[str]:
        """Return the workers that a later owner has to hear of."""
        return {
            worker.worker_id
            for worker in self.workers.values()
            if worker.runs or (worker.listed and not worker.gone)
        } | self._open_suspects(now)

    def is_watched(self, worker: Worker, now: float) -> bool:
        """Whether a worker's reports matter: it is listed, or may hold runs."""
        if worker.gone:
            return False
        if worker.listed or worker.runs or worker.reachable:
            return True
        return worker.worker_id in self._open_suspects(now)

    def keep_workers(self, worker_ids: set[str]) -> None:
        """Start tasks only on these workers: a later owner will hear of them."""
        self._kept = worker_ids

    def _usable(self, now: float) -> list[Worker]:
        return [
            worker
            for worker in self.workers.values()
            if worker.worker_id in self._kept and worker.usable(now)
        ]

    def _open_suspects(self, now: float) -> set[str]:
        """Return the workers that may hold runs of an earlier owner."""
        if now >= self._quarantine_until:
            self._suspects.clear()
        return self._suspects

    def hold_failed(
        self,
        worker: Worker,
        now: float,
        *,
        refused: bool = False,
        other_life: bool = False,
        fenced: bool = False,
    ) -> None:
        """Take a failed renewal of a worker's leases."""
        if fenced:
            self.fenced = True
        if worker.reachable:
            logger.info(
                "worker unreachable",
                extra={"worker": worker.worker_id, "refused": refused},
            )
        worker.reachable = False
        worker.refused = refused
        if other_life or (refused and worker.info.draining and not worker.listed):
            self._lost(worker, "another life answered" if other_life else "left", now)

    def hold_answered(
        self, worker: Worker, report: HoldReport, sent_at: float, now: float
    ) -> None:
        """Take a worker's lists of runs, asked for at `sent_at`."""
        if report.born_ms and worker.born_ms and report.born_ms != worker.born_ms:
            if report.born_ms < worker.born_ms:
                return
            self._new_life(worker, report.born_ms, now)
        worker.born_ms = report.born_ms or worker.born_ms
        if report.clock_s < worker.clock_s:
            return  # an older answer, overtaken by a later one
        if not worker.synced:
            logger.info("worker synchronised", extra={"worker": worker.worker_id})
        worker.clock_s, worker.clock_at = report.clock_s, now
        worker.synced = worker.reachable = True
        worker.gone = False
        self._suspects.discard(worker.worker_id)
        for ended in report.ended:
            if ended.seq > worker.seen_seq:
                worker.seen_seq = ended.seq
                self._ended(worker, ended, now)
        listed = {(running.task, running.run) for running in report.running}
        worker.foreign &= listed
        for running in report.running:
            self._running(worker, running, now)
        for run in list(worker.runs.values()):
            if run.key not in listed:
                self._not_listed(run, sent_at, now)

    def _running(self, worker: Worker, running: RunningRun, now: float) -> None:
        run = worker.runs.get((running.task, running.run))
        if run is None:
            run = self._adopt(worker, running, now)
            if run is None:
                worker.foreign.add((running.task, running.run))
                stop = StopOrder(worker, running.task, running.run, None)
                self.orders.append(stop)
                return
        if run.phase in (RunPhase.SENDING, RunPhase.IN_DOUBT):
            run.phase = RunPhase.RUNNING
            run.confirmed_at = now
            run.moved_at = now
        if running.percent != run.percent:
            run.percent = running.percent
            run.moved_at = now
        run.load = running.load
        if running.checkpoint:
            run.task.checkpoint = running.checkpoint

    def _adopt(self, worker: Worker, running: RunningRun, now: float) -> Run | None:
        """Take over a run that an earlier owner started; None if it must end."""
        task = self._tasks.get(running.task)
        if task is None or task.done or task.step.job.progress.state.final:
            return None
        if task.runs and not task.step.spec.speculative:
            return None
        run = Run(task, running.run, worker, task.step.need, now)
        run.moved_at = now
        task.run = max(task.run, running.run)
        task.runs.append(run)
        task.step.job.started = True
        worker.add(run)
        return run

    def _not_listed(self, run: Run, sent_at: float, now: float) -> None:
        """Judge a run that the worker neither runs nor lists as ended."""
        if run.confirmed_at < sent_at:
            self._run_gone(run, now, "no longer known to its worker")
        elif run.stop_acked_at < sent_at:
            self._run_gone(run, now, "stopped before it began")

    # Ends

    def _ended(self, worker: Worker, ended: EndedRun, now: float) -> None:
        run = worker.runs.get((ended.task, ended.run))
        task = run.task if run is not None else self._tasks.get(ended.task)
        worker.foreign.discard((ended.task, ended.run))
        if task is None:
            if ended.task.partition(".")[0] not in self.jobs:
                extra = {"task": ended.task, "worker": worker.worker_id}
                logger.warning("end of an unknown task", extra=extra)
            return
        if run is not None:
            worker.release(run)
            task.runs.remove(run)
        task.run = max(task.run, ended.run)
        job = task.step.job
        job.started = True
        self._meters.count("poplaryard_runs_ended_total", str(ended.how))
        if ended.how is not Ended.DONE:
            job.lost_runs += 1
        if ended.checkpoint and not task.done:
            self._keep_checkpoint(task, ended.checkpoint)
        if ended.how is Ended.DONE and not task.step.spec.lasting:
            self._task_done(worker, task, now)
        elif ended.how is Ended.FAILED:
            self._task_failed(worker, task, ended.run, now)
        if ended.how is Ended.ALONE or ended.how is Ended.LAPSED:
            logger.warning(
                "run ended early",
                extra={
                    "request": job.spec.job_id,
                    "task": ended.task,
                    "worker": worker.worker_id,
                    "how": str(ended.how),
                },
            )
        if task.step.spec.gang:
            self._end_gang(task, ended.run, now)
        if job.progress.state.final and not task.runs:
            self._tasks.pop(task.name, None)

    def _keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep a checkpoint; any member's is valid for its whole gang."""
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.checkpoint = checkpoint

    def _task_done(self, worker: Worker, task: Task, now: float) -> None:
        worker.failed_jobs.clear()
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            self._mark_done(member, now)

    def _mark_done(self, task: Task, now: float) -> None:
        step, job = task.step, task.step.job
        if task.done or job.progress.state.final:
            return
        task.done = True
        step.remaining -= 1
        job.progress.done.setdefault(step.key, []).append(task.index)
        job.progress.run = max(job.progress.run, task.run)
        self._dirty.add(job.spec.job_id)
        for run in list(task.runs):
            if not step.spec.gang:
                self._stop(run, now)
        if step.remaining:
            return
        self._open_steps.pop(step.name, None)
        steps = job.occurrences[step.occurrence]
        if any(other.remaining for other in steps):
            return
        self._close_occurrence(job, step.occurrence)
        if not job.occurrences_left:
            self._finish(job, JobState.DONE, now)

    def _task_failed(self, worker: Worker, task: Task, number: int, now: float) -> None:
        job = task.step.job
        self._blame(worker, job.spec.job_id, now)
        task.avoid.add(worker.worker_id)
        if task.done or job.progress.state.final or task.step.spec.lasting:
            return
        key = task.step.key if task.step.spec.gang else task.name
        failed = job.progress.failures.setdefault(key, [])
        if number not in failed:
            failed.append(number)
        job.progress.run = max(job.progress.run, task.run)
        self._dirty.add(job.spec.job_id)
        logger.info(
            "run failed",
            extra={
                "request": job.spec.job_id,
                "task": task.name,
                "run": number,
                "worker": worker.worker_id,
                "failures": len(failed),
                "attempts": job.spec.attempts,
            },
        )
        if len(failed) >= job.spec.attempts:
            self._finish(job, JobState.FAILED, now)

    def _blame(self, worker: Worker, job_id: str, now: float) -> None:
        """Count a failed run against its worker; eject it if several jobs failed."""
        if job_id not in worker.failed_jobs:
            worker.failed_jobs.append(job_id)
        if len(worker.failed_jobs) < EJECT_AFTER:
            return
        pause_s = min(EJECT_S * 2**worker.ejections, EJECT_MAX_S)
        worker.ejections += 1
        worker.paused_until = now + pause_s
        self._meters.count("poplaryard_workers_ejected_total")
        logger.warning(
            "worker ejected",
            extra={
                "worker": worker.worker_id,
                "failed_jobs": worker.failed_jobs[-3:],
                "pause_s": pause_s,
            },
        )
        worker.failed_jobs.clear()

    def _end_gang(self, task: Task, number: int, now: float) -> None:
        """Stop the other members of a gang's run, unless it is done."""
        if task.done:
            return
        for member in task.step.tasks:
            for run in list(member.runs):
                if run.number == number:
                    self._stop(run, now)

    def _run_gone(self, run: Run, now: float, reason: str) -> None:
        """Free a run that has certainly ended without being listed."""
        if not run.worker.release(run):
            return
        run.task.runs.remove(run)
        logger.info(
            "run lost",
            extra={
                "request": run.task.step.job.spec.job_id,
                "task": run.task.name,
                "run": run.number,
                "worker": run.worker.worker_id,
                "reason": reason,
            },
        )
        if run.task.step.spec.gang:
            self._end_gang(run.task, run.number, now)
        if run.task.step.job.progress.state.final and not run.task.runs:
            self._tasks.pop(run.task.name, None)

    # Orders and their answers

    def _start(self, task: Task, worker: Worker, number: int, now: float) -> None:
        step = task.step
        run = Run(task, number, worker, step.need, now)
        run.expires_at = now + LATE_ORDER_S
        task.run = number
        task.runs.append(run)
        step.job.started = True
        if not step.job.first_start_at:
            step.job.first_start_at = now
            waited_s = now - step.job.arrived_at
            self._meters.observe("poplaryard_first_start_seconds", waited_s)
        worker.add(run)
        permit = step.permits.get(worker.worker_id)
        ticket = permit.ticket if permit is not None else ""
        self.orders.append(StartOrder(run, task.checkpoint, ticket))

    def _stop(self, run: Run, now: float) -> None:
        run.stop_sent_at = now
        if run.phase is not RunPhase.IN_DOUBT:
            run.phase = RunPhase.STOPPING
        self.orders.append(StopOrder(run.worker, run.task.name, run.number, run))

    def start_answered(self, run: Run, outcome: StartOutcome, now: float) -> None:
        """Take the answer to the order to start a run."""
        self._meters.count("poplaryard_starts_total", outcome.value)
        if run.key not in run.worker.runs:
            return
        if outcome is StartOutcome.STARTED:
            if run.phase is RunPhase.SENDING:
                run.phase = RunPhase.RUNNING
            if run.confirmed_at > now:
                run.confirmed_at = run.moved_at = now
            return
        logger.info(
            "start not confirmed",
            extra={
                "request": run.task.step.job.spec.job_id,
                "task": run.task.name,
                "run": run.number,
                "worker": run.worker.worker_id,
                "outcome": outcome.value,
            },
        )
        if outcome is StartOutcome.IN_DOUBT:
            if run.phase is not RunPhase.RUNNING:
                run.phase = RunPhase.IN_DOUBT
                self._stop(run, now)
            return
        if run.confirmed_at <= now:
            return
        self._start_refused(run, outcome, now)

    def _start_refused(self, run: Run, outcome: StartOutcome, now: float) -> None:
        worker, task = run.worker, run.task
        worker.release(run)
        task.runs.remove(run)
        if outcome is StartOutcome.FENCED:
            self.fenced = True
        elif outcome is StartOutcome.BAD_TICKET:
            task.step.permits.pop(worker.worker_id, None)
        elif outcome is StartOutcome.WRONG_LIFE:
            self._lost(worker, "another life answered", now)
        elif outcome is StartOutcome.INVALID:
            task.not_before = now + REFUSED_PAUSE_S
        elif outcome is not StartOutcome.OLD_RUN:
            worker.paused_until = max(worker.paused_until, now + REFUSED_PAUSE_S)
        if task.step.spec.gang:
            self._end_gang(task, run.number, now)

    def stop_answered(self, run: Run, acked: bool, now: float) -> None:
        """Take the answer to the order to stop a run."""
        if acked:
            run.stop_acked_at = min(run.stop_acked_at, now)

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

    def next_advice(
        self, now: float, fits: t.Callable[[float], bool]
    ) -> AdviceRequest | None:
        """Return the most urgent call for advice whose cost fits, or None.

        Parameters
        ----------
        fits : callable
            Whether a call that takes this many seconds can be made now.
        """
        claimed: dict[Worker, Resources] = {}
        for step in [*self._waiting_steps(now), *self._steps_ahead(now)]:
            if step.job.spec.advice is None:
                continue
            request = self._advice_for(step, claimed, now)
            if request is None or step.asking or now < step.ask_after:
                continue
            if fits(request.cost_s):
                step.asking = True
                return request
        return None

    def _steps_ahead(self, now: float) -> list[StepRun]:
        """Return steps that are expected to become ready within a permit's life."""
        return [
            step
            for step in self._open_steps.values()
            if step.spec.after
            and not step.permits
            and not self._ready(step)
            and self._ready_soon(step, now)
        ]

    def _ready_soon(self, step: StepRun, now: float) -> bool:
        steps = step.job.occurrences[step.occurrence]
        for number in step.spec.after:
            for task in steps[number].tasks:
                if task.done:
                    continue
                if not task.runs:
                    return False
                ends_at = task.runs[0].sent_at + steps[number].spec.estimate_s
                if ends_at > now + ADVICE_AHEAD_S:
                    return False
        return True

    def _advice_for(
        self, step: StepRun, claimed: dict[Worker, Resources], now: float
    ) -> AdviceRequest | None:
        """Name the workers that may run the step, if one of them has room for it.

        Workers without room are named as well: a name costs little, and their permits
        serve when room is given back. `claimed` is
        the room that more urgent steps will take.
        """
        advice = step.job.spec.advice
        if advice is None:
            return None
        good: list[Worker] = []
        unknown: list[Worker] = []
        has_room = False
        could_start = False
        candidates: list[tuple[Worker, Resources]] = []
        waiting = len(step.waiting(now))
        for worker in self.workers.values():
            verdict = step.verdicts.get(worker.worker_id)
            if verdict is False or not worker.usable(now):
                continue
            if not placing.admits(step, worker):
                continue
            room = self._holds.free(step, worker) - claimed.get(worker, ZERO)
            fits = step.need.fits_in(room)
            permit = step.permits.get(worker.worker_id)
            if permit is not None and permit.until > now:
                could_start = could_start or fits
            else:
                (good if verdict else unknown).append(worker)
                has_room = has_room or fits
            if fits:
                candidates.append((worker, room))
        self._claim(step, candidates, waiting, claimed)
        if step.spec.gang:
            asks_first = bool(unknown) and has_room
            wanted = asks_first or self._gang_could_start(step, now)
        else:
            wanted = not could_start and has_room
        if not wanted or not (good or unknown):
            return None
        unknown.sort(key=lambda worker: -worker.free().cpu_m)
        count = int(max(4 * waiting, advice.base_s / max(advice.per_worker_s, 1e-6)))
        named = [worker.worker_id for worker in good + unknown]
        named = named[: min(max(count, 4), ADVICE_MAX_WORKERS)]
        cost_s = advice.base_s + advice.per_worker_s * len(named)
        return AdviceRequest(step, tuple(named), cost_s)

    def _claim(
        self,
        step: StepRun,
        candidates: list[tuple[Worker, Resources]],
        waiting: int,
        claimed: dict[Worker, Resources],
    ) -> None:
        """Count the room that a step's waiting tasks are expected to take."""
        for worker, room in candidates:
            while waiting > 0 and step.need.fits_in(room):
                room = room - step.need
                waiting -= 1
                claimed[worker] = claimed.get(worker, ZERO) + step.need

    def _gang_could_start(self, step: StepRun, now: float) -> bool:
        """Whether a gang will have room within the life of a permit."""
        plan = self._plans.get(step.name)
        return plan is not None and plan.ready_at <= now + ADVICE_AHEAD_S

    # Passes

    def _blocked(self, job: JobRun, now: float) -> bool:
        """Whether another owner may be, or may have been, running the job's tasks.

        An owner whose lease may have lapsed goes on with what it began, but begins
        nothing: a later owner starts jobs that are new to it at once.
        """
        if not self.sole_owner and not job.started:
            return True
        return not job.fresh and bool(self._open_suspects(now))

    def _waiting_steps(self, now: float) -> list[StepRun]:
        steps = [
            step
            for step in self._open_steps.values()
            if self._ready(step) and not self._blocked(step.job, now)
        ]
        for step in steps:
            step.rank = step.job.rank(step.rest_s, now)
        steps.sort(key=lambda step: step.rank)
        return steps

    def advance(self, now: float) -> None:
        """Start what can start; give up what is certainly lost."""
        self._expire(now)
        for job in list(self.jobs.values()):
            if job.spec.times and not job.progress.state.final:
                self._open_due(job, now)
        if not self.accepts_starts or self.fenced:
            return
        usable = self._usable(now)
        self._holds.clear()
        self._plans.clear()
        for step in self._waiting_steps(now):
            ordered = len(self.orders)
            if not self._start_step(step, usable, now):
                self._plan_room(step, now)
            self._log_starts(step, ordered, now)
        self._copy_stragglers(usable, now)

    def _copy_stragglers(self, usable: list[Worker], now: float) -> None:
        """Start a copy of slow tasks, where the job allows it and room is left."""
        for step in self._open_steps.values():
            if not step.spec.speculative or step.spec.gang or step.spec.lasting:
                continue
            for task in step.tasks:
                if task.done or len(task.runs) != 1:
                    continue
                run = task.runs[0]
                if not self._is_straggler(run, now):
                    continue
                others = [worker for worker in usable if worker is not run.worker]
                found = placing.place(step, task, others, self._holds.free, now)
                if found is None:
                    continue
                logger.info(
                    "copy started",
                    extra={
                        "request": step.job.spec.job_id,
                        "task": task.name,
                        "worker": found.worker_id,
                        "slow_worker": run.worker.worker_id,
                        "percent": run.percent,
                        "elapsed_s": round(now - run.sent_at, 3),
                    },
                )
                self._start(task, found, task.run + 1, now)

    def _is_straggler(self, run: Run, now: float) -> bool:
        """Whether a new run is expected to end well before this one."""
        estimate_s = run.task.step.spec.estimate_s
        elapsed_s = now - run.sent_at
        if run.phase is not RunPhase.RUNNING or elapsed_s < COPY_AFTER * estimate_s:
            return False
        if run.percent < 1:
            return elapsed_s > 2 * COPY_AFTER * estimate_s
        left_s = elapsed_s * (100 - run.percent) / run.percent
        return left_s > COPY_GAIN * estimate_s

    def _log_starts(self, step: StepRun, ordered: int, now: float) -> None:
        """Log the tasks of a step that were started, in one line."""
        orders = self.orders[ordered:]
        runs = [order.run for order in orders if isinstance(order, StartOrder)]
        if not runs:
            return
        logger.info(
            "tasks started",
            extra={
                "request": step.job.spec.job_id,
                "step": step.name,
                "tasks": len(runs),
                "of": step.spec.count,
                "workers": sorted({run.worker.worker_id for run in runs})[:8],
                "fence": self.fence,
                "waited_s": round(now - step.job.arrived_at, 3),
            },
        )

    def _plan_room(self, step: StepRun, now: float) -> None:
        """Hold room for a step that does not fit, and stop less urgent runs there."""
        if len(self._plans) >= MAX_PLANS or not self._is_large(step):
            return
        plan = plan_room(step, self.workers.values(), self._holds, now)
        if plan is None:
            return
        self._plans[step.name] = plan
        self._holds.hold(step, plan.workers)
        for run in plan.victims:
            logger.info(
                "run preempted",
                extra={
                    "request": run.task.step.job.spec.job_id,
                    "task": run.task.name,
                    "worker": run.worker.worker_id,
                    "for": step.name,
                },
            )
            self._stop(run, now)

    def _is_large(self, step: StepRun) -> bool:
        """Whether gaps that small tasks leave are rarely large enough for a step."""
        if step.spec.gang:
            return True
        return any(
            step.need.dominant_share(worker.info.capacity) >= LARGE_SHARE
            for worker in self.workers.values()
        )

    def _start_step(self, step: StepRun, usable: list[Worker], now: float) -> bool:
        """Start what fits; False if tasks are left that could start."""
        waiting = step.waiting(now)
        if step.spec.gang:
            if len(waiting) < step.spec.count:
                return True
            chosen = placing.place_gang(step, usable, self._holds.free, now)
            if chosen is None:
                return False
            number = max(task.run for task in step.tasks) + 1
            for task, worker in zip(step.tasks, chosen, strict=True):
                self._start(task, worker, number, now)
            return True
        for task in waiting:
            found = placing.place(step, task, usable, self._holds.free, now)
            if found is None:
                return False
            self._start(task, found, task.run + 1, now)
        return True

    def _expire(self, now: float) -> None:
        """Free runs whose leases have lapsed, repeat stops and find stalled runs.

        Without a certain lease of its own, this owner can't tell whether a later one
        renews the leases of a worker that is silent here.
        """
        for worker in list(self.workers.values()):
            if not worker.reachable and worker.runs and worker.clock_at:
                if self.sole_owner:
                    self._expire_runs(worker, now)
            elif not worker.runs and not self.is_watched(worker, now):
                del self.workers[worker.worker_id]
            for run in list(worker.runs.values()):
                self._watch_run(run, now)

    def _expire_runs(self, worker: Worker, now: float) -> None:
        """Free the runs of a silent worker whose leases have certainly lapsed."""
        lapsed_at = worker.lapsed_at()
        for run in list(worker.runs.values()):
            in_doubt = run.confirmed_at > now
            lost_at = max(lapsed_at, run.expires_at) if in_doubt else lapsed_at
            if now > lost_at:
                self._run_gone(run, now, "lease lapsed on a silent worker")

    def _watch_run(self, run: Run, now: float) -> None:
        stopping = run.phase in (RunPhase.STOPPING, RunPhase.IN_DOUBT)
        if stopping and now > run.stop_sent_at + STOP_RETRY_S:
            self._stop(run, now)
        elif run.phase is RunPhase.RUNNING and self._stalled(run, now):
            logger.warning(
                "run stalled",
                extra={
                    "request": run.task.step.job.spec.job_id,
                    "task": run.task.name,
                    "worker": run.worker.worker_id,
                    "percent": run.percent,
                },
            )
            run.task.avoid.add(run.worker.worker_id)
            self._blame(run.worker, run.task.step.job.spec.job_id, now)
            self._stop(run, now)

    def _stalled(self, run: Run, now: float) -> bool:
        spec = run.task.step.spec
        if spec.lasting or spec.fills or spec.gang or run.percent >= 100:
            return False
        if not run.worker.reachable:
            return False
        return now - run.moved_at > STALL_S + STALL_SHARE * spec.estimate_s

    def summary(self, now: float) -> dict[str, t.Any]:
        """Return the figures that say how busy the group is."""
        workers = [worker for worker in self.workers.values() if not worker.gone]
        total = sum((worker.info.capacity for worker in workers), ZERO)
        used = sum((worker.used for worker in workers), ZERO)
        steps = self._waiting_steps(now)
        return {
            "workers": len(workers),
            "usable": sum(worker.usable(now) for worker in workers),
            "runs": sum(len(worker.runs) for worker in workers),
            "waiting_steps": len([step for step in steps if step.waiting(now)]),
            "waiting_tasks": sum(len(step.waiting(now)) for step in steps),
            "cpu_share": round(used.cpu_m / max(1, total.cpu_m), 3),
            "gpu_share": round(used.gpus / max(1, total.gpus), 3),
            "plans": len(self._plans),
            "suspects": len(self._suspects),
            "oldest_s": round(
                max((now - step.job.arrived_at for step in steps), default=0.0), 1
            ),
        }

    # Notes

    def take_notes(self) -> Notes:
        """Return what has to be written; `notes_written` follows on success."""
        jobs = [self.jobs[job_id] for job_id in self._dirty if job_id in self.jobs]
        self._dirty.clear()
        self.notes_urgent = False
        return Notes(
            progress={job.spec.job_id: encode(job.progress) for job in jobs},
            states={job.spec.job_id: job.progress.state for job in jobs},
            seen={
                worker: (worker.born_ms, worker.seen_seq)
                for worker in self.workers.values()
            },
        )

    def notes_written(self, notes: Notes) -> None:
        """Show the states that are now kept, and allow ends to be acknowledged."""
        for job_id, state in notes.states.items():
            job = self.jobs.get(job_id)
            if job is not None and state.final:
                job.stored_state = state
        for worker, (born_ms, seq) in notes.seen.items():
            if worker.born_ms == born_ms:
                worker.acked_seq = max(worker.acked_seq, seq)

    def notes_failed(self, notes: Notes) -> None:
        """Keep notes for the next write."""
        self._dirty |= set(notes.progress)
        self.notes_urgent = True

    @property
    def has_notes(self) -> bool:
        """Whether anything has to be written or acknowledged."""
        return bool(self._dirty) or any(
            worker.acked_seq < worker.seen_seq for worker in self.workers.values()
        )
