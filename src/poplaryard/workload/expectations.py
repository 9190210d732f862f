"""Expected run times of the open steps of a partition."""

import math
import statistics
import typing as t

import msgspec

from ..logs import logger
from .run_times import RunTimes, RunTimeUses
from .runtime import JobRun, Run, StepRun, Worker

__all__ = ["StepExpectations"]

# Jobs that get new expectations in one scheduling pass, at about 15 us each.
REFRESH_JOBS = 50
# Quantile of the run times from which a job's objective is computed. With the median, a
# short job of a queue with inaccurate times gets the due time of a usual one, waits
# behind others and ends late.
OBJECTIVE_QUANTILE = 0.25
# Slowness (a logarithm) of the median worker from which all workers' is corrected: half
# of the width of a speed class in `placing`.
MAX_DRIFT = 0.05
# Ended tasks of a step after each of which the expectation for the others is updated,
# and from then on the number of ended tasks between two updates.
UPDATE_EACH = 8


def _learns(step: StepRun) -> bool:
    """Return whether a step's run times say something about other tasks.

    Lasting tasks do not end, and tasks that use idle processor time take as long as
    others let them.
    """
    return not step.spec.lasting and not step.spec.fills


def _paths_s(steps: list[StepRun], quantile: float) -> list[float]:
    """Return the time from the start of each step to the job's end, in seconds.

    Parameters
    ----------
    quantile : float
        Quantile of the run time that each step is taken to have.
    """
    paths_s = [0.0] * len(steps)
    for step in reversed(steps):
        after = (
            paths_s[other.number] for other in steps if step.number in other.spec.after
        )
        paths_s[step.number] = step.quantile_s(quantile) + max(after, default=0.0)
    return paths_s


class StepExpectations:
    """Records run times and keeps the expectations of open steps up to date.

    Parameters
    ----------
    uses : RunTimeUses
        Decisions that use the expectations.

    Attributes
    ----------
    run_times : RunTimes
        Everything learned so far.
    """

    def __init__(self, uses: RunTimeUses):
        self.uses = uses
        self.run_times = RunTimes()
        self._stale: dict[JobRun, None] = {}

    def add_summary(self, value: bytes) -> None:
        """Add a stored summary; one that is malformed is skipped."""
        try:
            self.run_times.merge(RunTimes.decoded(value))
        except (msgspec.MsgspecError, ValueError) as exc:
            logger.warning("run times not readable", extra={"reason": str(exc)})

    def steps_opened(self, steps: list[StepRun]) -> None:
        """Set the expectations of the steps of an occurrence."""
        for step in steps:
            step.uses = self.uses
            self._update(step)
        self._update_paths(steps)

    def run_done(self, run: Run, now: float) -> None:
        """Record the time of a run that began at the start and ended as done.

        It has been added to `StepRun.run_times`, unless its step is a gang.
        """
        step = run.task.step
        if not _learns(step) or run.task.done:
            return
        queue, declared_s = step.job.spec.queue, step.spec.estimate_s
        elapsed_s = now - run.sent_at
        if step.spec.gang:
            # The members end together, when the slowest is done.
            others = (other.worker for task in step.tasks for other in task.runs)
            slowness = max(worker.slowness for worker in (run.worker, *others))
            usual_s = elapsed_s * math.exp(-slowness)
            self.run_times.add(queue, step.number, declared_s, usual_s)
        else:
            usual_s = elapsed_s * math.exp(-run.worker.slowness)
            weight = 1 / step.spec.count
            self.run_times.add(queue, step.number, declared_s, usual_s, weight)
            self._add_within(step, usual_s)

    def _add_within(self, step: StepRun, usual_s: float) -> None:
        """Record how much a task differs from those of its step that ended before."""
        count = step.run_times.count
        if count > 1 and usual_s > 0:
            deviation = math.log(usual_s) - step.run_times.mean
            # The mean includes the task itself.
            ratio = math.exp(deviation * count / (count - 1))
            self.run_times.add_within(step.job.spec.queue, ratio)
        if count <= UPDATE_EACH or count % UPDATE_EACH == 0:
            self._update(step)
            self._update_paths(step.job.occurrences[step.occurrence])

    def refresh(
        self, open_steps: t.Mapping[str, StepRun], workers: t.Iterable[Worker]
    ) -> None:
        """Renew the expectations of some open steps of which much was learned since."""
        self._anchor(open_steps.values(), list(workers))
        improved = self.run_times.improved
        if improved:
            self._stale |= {
                step.job: None
                for step in open_steps.values()
                if step.job.spec.queue in improved
            }
            improved.clear()
        for job in list(self._stale)[:REFRESH_JOBS]:
            del self._stale[job]
            for steps in job.occurrences.values():
                if any(step.remaining for step in steps):
                    for step in steps:
                        self._update(step)
                    self._update_paths(steps)

    def _anchor(self, steps: t.Iterable[StepRun], workers: list[Worker]) -> None:
        """Let the median worker have the usual speed.

        Slowness is learned from differences between workers, so that a common part
        drifts at random. Run times are scaled by it.
        """
        if not workers:
            return
        drift = statistics.median_low(worker.slowness for worker in workers)
        if abs(drift) < MAX_DRIFT:
            return
        for worker in workers:
            worker.slowness -= drift
        for step in steps:
            step.run_times.mean += drift

    def _update(self, step: StepRun) -> None:
        if _learns(step):
            step.expectation = self.run_times.expected(
                step.job.spec.queue,
                step.number,
                step.spec.estimate_s,
                step.run_times.count,
                step.run_times.mean,
            )

    def _update_paths(self, steps: list[StepRun]) -> None:
        """Update critical paths, and the objective of the job."""
        for step, path_s in zip(steps, _paths_s(steps, 0.5), strict=True):
            step.expected_path_s = path_s
        if self.uses.ranking:
            for step in steps:
                step.critical_path_s = step.expected_path_s
        if self.uses.objective:
            job = steps[0].job
            path_s = max(_paths_s(steps, OBJECTIVE_QUANTILE))
            job.set_objective(job.spec.stretch * path_s + job.spec.slack_s)
