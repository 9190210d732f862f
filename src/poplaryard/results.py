"""Results of attempts: retries, cancellations and the answers of jobs."""

import typing as t
from collections import deque
from dataclasses import replace

from .codes import Code
from .estimate import Estimator
from .fleet import Vm
from .jobs import Attempt, Job
from .limits import RetryBudget, backoff_s
from .messages import Answer, AttemptReport, AttemptState, StopMode, WorkKind
from .outcome import Ledger
from .state import ShardState

__all__ = ["Results"]

# Attempts at a task if its kind of work does not set a limit.
MAX_ATTEMPTS = 3

# Shortest wait before a failed or refused start is retried.
RETRY_DELAY_S = 0.05

# Largest number of stops sent in one call. Many cancellations at once are spread over
# several calls, so that placement continues between them.
STOP_SLICE = 32

# Time after which a stop is repeated if the end of the attempt was not reported.
STOP_AGAIN_S = 1.0

# Codes that replace a "not run" code if the ledger shows that an attempt may have run.
_MAY_HAVE_RUN = {Code.EXPIRED: Code.TIMED_OUT, Code.CANCELLED: Code.STOPPED}


class Results:
    """Processes the results of attempts in a shard, and answers each job once.

    Parameters
    ----------
    requeue : callable
        Called with the time and a job that has a task to start again.
    """

    def __init__(
        self,
        state: ShardState,
        estimator: Estimator,
        requeue: t.Callable[[float, Job], None],
    ):
        self.ledger = Ledger()
        self.budget = RetryBudget()
        self._state = state
        self._estimator = estimator
        self._requeue = requeue
        # Attempts to stop.
        self._queued_stops: deque[str] = deque()
        # Attempts to which a stop was sent, each with the time to repeat it.
        self._sent_stops: deque[tuple[float, str]] = deque()

    def progress(self, vm: Vm, attempt: Attempt, report: AttemptReport) -> None:
        """Record the measured usage of a running attempt."""
        self._estimator.record_usage(attempt.work, report.used)
        self._state.fleet.raise_charge(vm, attempt.attempt_id, report.used)

    def ended(self, now: float, attempt: Attempt, report: AttemptReport) -> None:
        """Process a worker's report that an attempt has ended."""
        job = self._state.end(now, attempt)
        if attempt.is_replica:
            return
        if report.state is AttemptState.SUCCEEDED:
            self._estimator.record_usage(attempt.work, report.used)
            self._estimator.record_run_time(attempt.work, report.elapsed_s)
        if job is not None:
            job.may_have_run = True
        if job is not None and self._retry_if_allowed(now, job, attempt, report):
            return
        answer = self.ledger.report(now, report)
        if job is None:
            return
        if answer is not None:
            self._send(now, job, answer)
        elif job.cancelled:
            self._answer_cancelled(now, job)
        elif report.state in (AttemptState.CHECKPOINTED, AttemptState.STOPPED):
            self._requeue_task(now, job, attempt.task)

    def _retry_if_allowed(
        self, now: float, job: Job, attempt: Attempt, report: AttemptReport
    ) -> bool:
        """Retry a failed or stopped task of idempotent work, within its limits.

        Return True if the report needs no further processing: the task is retried, or
        the job has been answered as stopped.
        """
        failed = report.state in (AttemptState.FAILED, AttemptState.STOPPED)
        if not failed or attempt.preempted or not job.work.idempotent or job.cancelled:
            return False
        job.failures[attempt.task] += 1
        failures = job.failures[attempt.task]
        if failures < self._max_attempts(job) and self.budget.take(now):
            self.ledger.lost(now, attempt.attempt_id)
            self._retry(now, job, attempt.task, failures)
            return True
        if report.state is AttemptState.STOPPED:
            self.ledger.report(now, report)
            self._send(now, job, self.ledger.end(now, job.request_id, Code.STOPPED))
            return True
        return False

    def adopted(self, now: float, attempt: Attempt, report: AttemptReport) -> None:
        """Record a running attempt that an earlier owner of the shard started."""
        if attempt.is_replica:
            return
        self.ledger.adopt(now, report)
        job = self._state.jobs.get(report.request_id)
        if job is not None:
            job.attempts.add(attempt.attempt_id)
            self._state.drop_pending(job, report.task)
            self._state.attempts.set_work(attempt, job.work)

    def attach_running(self, job: Job) -> None:
        """Attach running attempts, which an earlier owner started, to their job."""
        for attempt_id in self.ledger.attempts(job.request_id):
            attempt = self._state.attempts.get(attempt_id)
            if attempt is not None:
                job.attempts.add(attempt_id)
                self._state.attempts.set_work(attempt, job.work)

    def ended_untracked(self, now: float, report: AttemptReport) -> None:
        """Process the end of an attempt that this process does not track as running.

        An earlier owner started it, or it was declared lost.
        """
        if report.kind is WorkKind.SERVICE:
            return
        answer = self.ledger.adopt(now, report)
        job = self._state.jobs.get(report.request_id)
        if job is None:
            return
        if report.task not in self.ledger.open_tasks(job.request_id):
            self._state.drop_pending(job, report.task)
            job.may_have_run = True
        if answer is not None:
            self._send(now, job, answer)

    def not_run(self, now: float, attempt: Attempt) -> None:
        """Process an attempt that has not run and never will."""
        job = self._state.end(now, attempt)
        self.ledger.refused(now, attempt.attempt_id)
        if job is None:
            return
        if job.cancelled:
            self._answer_cancelled(now, job)
            return
        job.refusals += 1
        self._retry(now, job, attempt.task, job.refusals)

    def lost(self, now: float, attempt: Attempt) -> None:
        """Process an attempt whose worker is lost, so that its effect is unknown.

        Its retry is not charged to the retry budget, because the number of VM failures
        already limits such retries.
        """
        job = self._state.end(now, attempt)
        self._state.audit_attempt(
            "lost", attempt, "The worker is gone and its leases ended."
        )
        answer = self.ledger.lost(now, attempt.attempt_id)
        if job is None:
            return
        job.may_have_run = True
        job.failures[attempt.task] += 1
        if answer is not None:
            self._send(now, job, answer)
        elif job.cancelled or job.failures[attempt.task] >= self._max_attempts(job):
            self._end_job(now, job, Code.WORKER_LOST)
        elif job.work.idempotent:
            self._requeue_task(now, job, attempt.task)

    def cancel(self, now: float, job: Job) -> None:
        """Cancel a job: start no more tasks, and stop the attempts that may be stopped.

        It is answered at once if it has no attempt in progress.
        """
        if job.cancelled:
            return
        job.cancelled = True
        job.pending.clear()
        self._state.close(now, job)
        self.queue_stops(job)
        self._answer_cancelled(now, job)

    def expire(self, now: float) -> None:
        """Answer the jobs whose deadline has passed."""
        for job in self._state.overdue(now):
            if job.may_run_or_have_run:
                self._end_job(now, job, Code.TIMED_OUT)
            else:
                self.refuse(now, job, Code.EXPIRED)

    def refuse(
        self,
        now: float,
        job: Job,
        code: Code,
        detail: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        """Answer a job that has not run.

        If the ledger shows that it may have run, it is answered with the corresponding
        code instead.
        """
        answer = self.ledger.not_run(now, job.request_id, code)
        if answer is None:
            self._end_job(now, job, _MAY_HAVE_RUN.get(code, Code.UNKNOWN_OUTCOME))
            return
        if detail or retry_after_s:
            detail = detail or answer.detail
            answer = replace(answer, detail=detail, retry_after_s=retry_after_s)
        self._send(now, job, answer)

    def give_up(self, now: float, job: Job, code: Code) -> None:
        """Answer a job with a code that is also valid if an attempt has run."""
        self._end_job(now, job, code)

    def queue_stops(self, job: Job) -> None:
        """Queue stops for the attempts of a job whose running tasks may be stopped."""
        if job.stoppable:
            self._queued_stops.extend(sorted(job.attempts))

    def send_stops(self, now: float) -> None:
        """Send up to `STOP_SLICE` queued stops, and repeat those without effect."""
        while self._sent_stops and self._sent_stops[0][0] <= now:
            self._queued_stops.append(self._sent_stops.popleft()[1])
        for _ in range(min(STOP_SLICE, len(self._queued_stops))):
            attempt = self._state.attempts.get(self._queued_stops.popleft())
            if attempt is not None:
                self._state.stop(now, attempt, StopMode.STOP)
                self._sent_stops.append((now + STOP_AGAIN_S, attempt.attempt_id))

    def _end_job(self, now: float, job: Job, code: Code) -> None:
        self._send(now, job, self.ledger.end(now, job.request_id, code))

    def _send(self, now: float, job: Job, answer: Answer | None) -> None:
        """Close a job and send its answer, unless it was closed before."""
        if self._state.jobs.pop(job.request_id, None) is None:
            return
        job.pending.clear()
        self._state.close(now, job)
        self.queue_stops(job)
        if answer is not None:
            self._state.out.append(replace(answer, reply_to=job.reply_to))

    def _answer_cancelled(self, now: float, job: Job) -> None:
        """Answer a cancelled job once no attempt of it is in progress."""
        if job.attempts:
            return
        if job.may_have_run:
            self._end_job(now, job, Code.STOPPED)
        else:
            self.refuse(now, job, Code.CANCELLED)

    def _max_attempts(self, job: Job) -> int:
        spec = self._state.config.work_kinds.get(job.work.job_class)
        return spec.max_attempts if spec else MAX_ATTEMPTS

    def _retry(self, now: float, job: Job, task: int, attempt: int) -> None:
        wait_s = max(RETRY_DELAY_S, backoff_s(self._state.rng, attempt))
        job.retry_at = now + wait_s
        self._requeue_task(now, job, task)

    def _requeue_task(self, now: float, job: Job, task: int) -> None:
        if task not in job.pending:
            job.pending.append(task)
        self._requeue(now, job)
