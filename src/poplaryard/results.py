"""What attempts come to: retries, cancellations and the answers of jobs."""

import typing as t
from collections import OrderedDict, deque
from dataclasses import replace

from .codes import Code
from .estimate import Estimator
from .fleet import Vm
from .jobs import Attempt, Job
from .messages import Answer, AttemptReport, AttemptState, StopMode
from .state import ShardState

__all__ = ["Results"]

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05
ANSWERS_KEPT = 20_000

# Stops sent in one call. A wave of cancellations is spread over many calls, so that
# placement goes on between them.
STOP_SLICE = 32

# A stop whose effect is not reported is sent again after this time.
STOP_AGAIN_S = 1.0


class Results:
    """Settles the attempts of a shard and answers its jobs, each once.

    Parameters
    ----------
    requeue : callable
        Takes a time and a job that has a task to start.
    """

    def __init__(
        self,
        state: ShardState,
        estimator: Estimator,
        requeue: t.Callable[[float, Job], None],
    ):
        self._state = state
        self._estimator = estimator
        self._requeue = requeue
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._to_stop: deque[str] = deque()
        self._stopping: deque[tuple[float, str]] = deque()

    def known_answer(self, request_id: str) -> Answer | None:
        """Return the answer given to a request, if it is still kept."""
        return self._answers.get(request_id)

    def progress(self, vm: Vm, attempt: Attempt, report: AttemptReport) -> None:
        """Take the measured use of a running attempt."""
        self._estimator.saw_size(attempt.work, report.used)
        self._state.fleet.raise_charge(vm, attempt.attempt_id, report.used)

    def reported(self, now: float, attempt: Attempt, report: AttemptReport) -> None:
        """Settle an attempt that a worker reports as ended."""
        job = self._state.end(attempt)
        if job is None:
            return
        job.ran = True
        self._estimator.saw_size(attempt.work, report.used)
        if report.state is AttemptState.SUCCEEDED:
            self._estimator.saw_time(attempt.work, report.elapsed_s)
            self._succeeded(job, attempt.task, report.body)
        elif job.cancelled:
            self._settle_cancelled(job)
        elif attempt.preempted or report.state is AttemptState.CHECKPOINTED:
            self._again(now, job, attempt.task)
        elif job.work.idempotent and job.failures + 1 < self._max_attempts(job):
            job.failures += 1
            self._retry(now, job, attempt.task)
        elif report.state is AttemptState.FAILED:
            self.answer(job, Code.FAILED, (report.body,))
        else:
            self.answer(job, Code.STOPPED)

    def not_run(self, now: float, attempt: Attempt) -> None:
        """Settle an attempt that has not run and never will."""
        job = self._state.end(attempt)
        if job is None:
            return
        if job.cancelled:
            self._settle_cancelled(job)
            return
        job.refusals += 1
        self._retry(now, job, attempt.task)

    def lost(self, now: float, attempt: Attempt) -> None:
        """Settle an attempt that has ended with its worker, with unknown effect."""
        job = self._state.end(attempt)
        if job is None:
            return
        job.ran = True
        job.failures += 1
        allowed = job.failures < self._max_attempts(job)
        if job.cancelled or not job.work.idempotent or not allowed:
            self.answer(job, Code.WORKER_LOST)
        else:
            self._again(now, job, attempt.task)

    def cancel(self, job: Job) -> None:
        """Start nothing more of a job; stop what may be stopped."""
        if job.cancelled:
            return
        job.cancelled = True
        job.pending.clear()
        self._state.unhold_all(job)
        if job.attempts:
            self.stop_later(job)
        else:
            self._settle_cancelled(job)

    def expire(self, now: float) -> None:
        """Answer the jobs whose deadline has passed."""
        for job in self._state.overdue(now):
            self.answer(job, Code.TIMED_OUT if job.may_have_run else Code.EXPIRED)

    def stop_later(self, job: Job) -> None:
        """Queue stops for the attempts of a job that may be stopped half-way."""
        if job.stoppable:
            self._to_stop.extend(sorted(job.attempts))

    def send_stops(self, now: float) -> None:
        """Send a slice of the queued stops, and repeat those without effect."""
        while self._stopping and self._stopping[0][0] <= now:
            self._to_stop.append(self._stopping.popleft()[1])
        for _ in range(min(STOP_SLICE, len(self._to_stop))):
            attempt = self._state.attempts.get(self._to_stop.popleft())
            if attempt is not None:
                self._state.stop(now, attempt, StopMode.STOP)
                self._stopping.append((now + STOP_AGAIN_S, attempt.attempt_id))

    def answer(self, job: Job, code: Code, parts: tuple[t.Any, ...] = ()) -> None:
        """Give a job its one answer."""
        self.refuse(job, code, job.reason if code is Code.UNPLACEABLE else "", parts)

    def refuse(
        self, job: Job, code: Code, detail: str, parts: tuple[t.Any, ...] = ()
    ) -> None:
        """Give a job its one answer with a detail of its own."""
        request_id = job.request_id
        detail = detail or code.meaning
        answer = Answer(
            request_id, code, code.outcome, parts, detail, 0.0, job.reply_to
        )
        self._state.jobs.pop(request_id, None)
        self._state.unhold_all(job)
        self.stop_later(job)
        job.pending.clear()
        self._answers[request_id] = answer
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        self._state.out.append(answer)

    def repeat(self, answer: Answer, reply_to: str) -> None:
        """Send a known answer to another entry process."""
        self._state.out.append(replace(answer, reply_to=reply_to))

    def _succeeded(self, job: Job, task: int, body: t.Any) -> None:
        job.parts[task] = body
        if len(job.parts) == job.work.tasks:
            parts = tuple(job.parts[number] for number in range(job.work.tasks))
            self.answer(job, Code.OK, parts)
        elif job.cancelled:
            self._settle_cancelled(job)

    def _settle_cancelled(self, job: Job) -> None:
        """Answer a cancelled job once it is certain whether it has run."""
        if not job.attempts:
            self.answer(job, Code.STOPPED if job.ran else Code.CANCELLED)

    def _max_attempts(self, job: Job) -> int:
        spec = self._state.config.work_kinds.get(job.work.job_class)
        return spec.max_attempts if spec else MAX_ATTEMPTS

    def _retry(self, now: float, job: Job, task: int) -> None:
        job.retry_at = now + RETRY_DELAY_S
        self._again(now, job, task)

    def _again(self, now: float, job: Job, task: int) -> None:
        job.pending.append(task)
        self._requeue(now, job)
