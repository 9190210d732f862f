"""Jobs of a group: their occurrences, their order, and what has to be kept of them."""

import typing as t

from ..logs import logger
from ..resources import Resources
from .meters import Meters
from .model import JobSpec, JobState, Progress, Suspect
from .orders import ProgressBatch, StartOrder, StopOrder
from .records import encode
from .room import Holds, Plan
from .runtime import JobRun, Run, RunPhase, StepRun, Task, Worker

__all__ = ["JobTable"]

# Least gap that a new owner leaves to the run numbers it knows of: starts are not
# written to the store, so the earlier owner may have used some above them.
RUN_GAP = 16
# A job of which nothing has run for this long comes first, and takes room that was held
# too long, while less than this share of the group is busy. Urgent work that waits for
# room or advice would otherwise keep it out; the users' pages count three seconds of
# that, with half of the group idle, as a lost job.
NEGLECTED_S = 1.5
IDLE_SHARE = 0.55
# Before the most urgent priority.
NEGLECTED_RANK = -1
# Cancellations kept for jobs that this owner does not know yet: different processes
# tell it of a job and of its cancellation.
MAX_CANCELLED_EARLY = 1000
# Thousandths of a core that a GPU counts as, from the users' prices.
GPU_CPU_M = 8000


def _weight(amount: Resources) -> int:
    return amount.cpu_m + GPU_CPU_M * amount.gpus


class JobTable:
    """State of one group, and the decisions on its jobs.

    Parameters
    ----------
    group : str
    claim_revision : int
        Revision of the owner's claim, which is its fencing token.
    wall_offset : float
        Wall-clock time minus the owner's clock, in seconds.
    quarantine_until : float
        Time until which workers that did not report may hold runs of an earlier owner.
    suspects : mapping of str to Suspect
        Workers that may hold such runs.
    """

    def __init__(
        self,
        group: str,
        claim_revision: int,
        wall_offset: float,
        quarantine_until: float = 0.0,
        suspects: t.Mapping[str, Suspect] | None = None,
        early_s: float = 0.0,
        meters: Meters | None = None,
    ):
        self.group = group
        self.fence = claim_revision
        self.jobs: dict[str, JobRun] = {}
        self.workers: dict[str, Worker] = {}
        self.orders: list[StartOrder | StopOrder] = []
        self.fenced = False
        self.progress_urgent = False
        self.accepts_starts = True
        self.sole_owner = True
        self._kept: set[str] = set()
        self._wall_offset = wall_offset
        self._quarantine_until = quarantine_until
        self._suspects = dict(suspects or {})
        self._held_back = {
            task for found in self._suspects.values() for task in found.tasks or ()
        }
        self._early_s = early_s
        self._meters = meters or Meters()
        self._dirty: set[str] = set()
        self._open_steps: dict[str, StepRun] = {}
        self._tasks: dict[str, Task] = {}
        self._holds = Holds()
        self._plans: dict[str, Plan] = {}
        self._waiting: list[StepRun] = []
        self._timed: dict[str, JobRun] = {}
        self._cancelled_early: dict[str, None] = {}

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
        job.active_at = now
        if progress is not None:
            job.progress = progress
            if progress.state.final:
                job.stored_state = progress.state
            job.started = bool(progress.done or progress.failures or progress.run)
        self.jobs[spec.job_id] = job
        if job.progress.state.final:
            return job
        job.occurrences_left = max(1, spec.times)
        if spec.times:
            self._timed[spec.job_id] = job
        self._open_due(job, now)
        if spec.job_id in self._cancelled_early:
            del self._cancelled_early[spec.job_id]
            self.cancel(spec.job_id, now)
        return job

    def cancel(self, job_id: str, now: float) -> None:
        """Cancel a job and stop what runs of it."""
        job = self.jobs.get(job_id)
        if job is None:
            self._cancelled_early[job_id] = None
            if len(self._cancelled_early) > MAX_CANCELLED_EARLY:
                del self._cancelled_early[next(iter(self._cancelled_early))]
            return
        if job.cancelled:
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
                if name in self._held_back:
                    task.not_before = self._quarantine_until
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
        self._timed.pop(job.spec.job_id, None)
        self._dirty.add(job.spec.job_id)
        self.progress_urgent = True
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
                "chain_s": round(job.spec.critical_path_s(), 3),
                "steps": len(job.spec.steps),
                "priority": job.spec.priority,
                "lost_runs": job.lost_runs,
            },
        )

    def _stop(self, run: Run, now: float) -> None:
        run.stop_sent_at = now
        if run.phase is not RunPhase.IN_DOUBT:
            run.phase = RunPhase.STOPPING
        self.orders.append(StopOrder(run.worker, run.task.name, run.number, run))

    def _open_suspects(self, now: float) -> dict[str, Suspect]:
        """Return the workers that may hold runs of an earlier owner."""
        if now >= self._quarantine_until:
            self._suspects.clear()
        return self._suspects

    def _blocked(self, job: JobRun, now: float) -> bool:
        """Whether another owner may be, or may have been, running the job's tasks.

        An owner whose lease may have lapsed goes on with what it began, but begins
        nothing: a later owner starts jobs that are new to it at once.
        """
        if not self.sole_owner and not job.started:
            return True
        return not job.fresh and any(
            suspect.tasks is None for suspect in self._open_suspects(now).values()
        )

    def _clear_suspect(self, worker_id: str) -> None:
        """Let tasks start that the worker might have been running."""
        suspect = self._suspects.pop(worker_id, None)
        for name in (suspect.tasks or ()) if suspect is not None else ():
            self._held_back.discard(name)
            if name in self._tasks:
                self._tasks[name].not_before = 0.0

    def _waiting_steps(self, now: float) -> list[StepRun]:
        """Return the steps whose turn has come, the most urgent first."""
        steps = [
            step
            for step in self._open_steps.values()
            if self._ready(step) and not self._blocked(step.job, now)
        ]
        busy = self._busy_share() if steps else 1.0
        for step in steps:
            step.rank = step.job.rank(step.rest_s, now)
            step.neglected = (
                busy < IDLE_SHARE
                and now > step.job.active_at + NEGLECTED_S
                and step.job.idle()
            )
            if step.neglected:
                step.rank = NEGLECTED_RANK, *step.rank[1:]
        steps.sort(key=lambda step: step.rank)
        return steps

    def _busy_share(self) -> float:
        """Return the share of the group's capacity that runs use; 1 without any."""
        total = used = 0
        for worker in self.workers.values():
            if not worker.gone:
                total += _weight(worker.info.capacity)
                used += _weight(worker.used)
        return used / total if total else 1.0

    def take_progress(self) -> ProgressBatch:
        """Return what has to be written; `progress_written` follows on success."""
        jobs = [self.jobs[job_id] for job_id in self._dirty if job_id in self.jobs]
        self._dirty.clear()
        self.progress_urgent = False
        return ProgressBatch(
            progress={job.spec.job_id: encode(job.progress) for job in jobs},
            states={job.spec.job_id: job.progress.state for job in jobs},
            seen={
                worker: (worker.born_ms, worker.seen_seq)
                for worker in self.workers.values()
            },
        )

    def progress_written(self, notes: ProgressBatch) -> None:
        """Show the states that are now kept, and allow ends to be acknowledged."""
        for job_id, state in notes.states.items():
            job = self.jobs.get(job_id)
            if job is not None and state.final:
                job.stored_state = state
        for worker, (born_ms, seq) in notes.seen.items():
            if worker.born_ms == born_ms:
                worker.acked_seq = max(worker.acked_seq, seq)

    def progress_not_written(self, notes: ProgressBatch) -> None:
        """Keep notes for the next write."""
        self._dirty |= set(notes.progress)
        self.progress_urgent = True

    @property
    def has_unwritten_progress(self) -> bool:
        """Whether anything has to be written or acknowledged."""
        return bool(self._dirty) or any(
            worker.acked_seq < worker.seen_seq for worker in self.workers.values()
        )
