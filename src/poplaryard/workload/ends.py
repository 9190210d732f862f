"""Handling of ended runs."""

from ..logs import logger
from .jobtable import JobTable
from .model import EndedRun, JobState, RunOutcome
from .runtime import Run, Task, Worker

__all__ = ["RunEndHandler"]

# A worker on which runs of several jobs failed is ejected: no task is started on it for
# some time. Initial and maximum time in seconds; it doubles with each ejection.
EJECT_S = 2.0
EJECT_MAX_S = 16.0
# Number of different jobs that must fail on a worker, without a success in between, for
# it to be ejected. A single job may have failed through its own fault.
EJECT_AFTER_JOBS = 2


class RunEndHandler(JobTable):
    """Updates tasks, gangs, jobs and workers when runs end."""

    def _run_ended(self, worker: Worker, ended: EndedRun, now: float) -> None:
        run = worker.runs.get((ended.task, ended.run))
        task = run.task if run is not None else self._tasks.get(ended.task)
        worker.rejected_runs.discard((ended.task, ended.run))
        if task is None:
            if ended.task.partition(".")[0] not in self.jobs:
                extra = {"task": ended.task, "worker": worker.worker_id}
                logger.warning("end of an unknown task", extra=extra)
            return
        if run is not None:
            self._release_run(run)
            task.remove_run(run, now)
            if run.call is not None:
                worker.open_calls.discard(run.call)
            if run.confirmed_at > now:
                self._note_start(run, now)
        task.last_run_number = max(task.last_run_number, ended.run)
        job = task.step.job
        job.started = True
        job.active_at = now
        self._meters.count("poplaryard_runs_ended_total", str(ended.outcome))
        if ended.outcome is not RunOutcome.DONE:
            job.lost_runs += 1
        if ended.checkpoint and not task.done:
            self._keep_checkpoint(task, ended.checkpoint)
        if ended.outcome is RunOutcome.DONE and not task.step.spec.lasting:
            if run is not None and run.from_start:
                if not task.step.spec.gang:
                    task.step.run_times.add(worker, now - run.sent_at)
                if self.expectations is not None:
                    self.expectations.run_done(run, now)
            self._task_done(worker, task, now)
        elif ended.outcome is RunOutcome.FAILED:
            self._task_failed(worker, task, ended.run, now)
        if ended.outcome is RunOutcome.ALONE or ended.outcome is RunOutcome.LAPSED:
            logger.warning(
                "run ended early",
                extra={
                    "request": job.spec.job_id,
                    "task": ended.task,
                    "worker": worker.worker_id,
                    "how": str(ended.outcome),
                },
            )
        if task.step.spec.gang:
            self._stop_gang(task, ended.run, now)
        if job.progress.state.final and not task.runs:
            self._tasks.pop(task.name, None)

    def _keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Record a checkpoint of a task; in a gang it is valid for all members."""
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
        job.progress.run = max(job.progress.run, task.last_run_number)
        self._dirty.add(job.spec.job_id)
        # Stop speculative copies. The runs of a done gang end by themselves.
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
        self._count_worker_failure(worker, job.spec.job_id, now)
        task.avoid.add(worker.worker_id)
        if task.done or job.progress.state.final or task.step.spec.lasting:
            return
        key = task.step.key if task.step.spec.gang else task.name
        failed = job.progress.failures.setdefault(key, [])
        if number not in failed:
            failed.append(number)
        job.progress.run = max(job.progress.run, task.last_run_number)
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

    def _count_worker_failure(self, worker: Worker, job_id: str, now: float) -> None:
        """Record a failed run on a worker; eject the worker if several jobs failed."""
        if job_id not in worker.failed_jobs:
            worker.failed_jobs.append(job_id)
        if len(worker.failed_jobs) < EJECT_AFTER_JOBS:
            return
        pause_s = min(EJECT_S * 2**worker.ejections, EJECT_MAX_S)
        worker.ejections += 1
        worker.ejected_until = max(worker.ejected_until, now + pause_s)
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

    def _stop_gang(self, task: Task, number: int, now: float) -> None:
        """Stop the members' runs with this number, unless the gang is done."""
        if task.done:
            return
        for member in task.step.tasks:
            for run in list(member.runs):
                if run.number == number:
                    self._stop(run, now)

    def _run_lost(self, run: Run, now: float, reason: str) -> None:
        """Drop a run that has certainly ended without being reported as ended."""
        if not self._release_run(run):
            return
        run.task.remove_run(run, now)
        run.task.step.job.active_at = now
        logger.info(
            "run lost",
            extra={
                "request": run.task.step.job.spec.job_id,
                "task": run.task.name,
                "run": run.number,
                "worker": run.worker.worker_id,
                "reason": reason,
                "phase": run.phase.value,
                "silent_s": round(now - run.worker.clock_at, 3),
            },
        )
        if run.task.step.spec.gang:
            self._stop_gang(run.task, run.number, now)
        if run.task.step.job.progress.state.final and not run.task.runs:
            self._tasks.pop(run.task.name, None)
