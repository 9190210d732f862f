"""Tasks that crash the workers on which they start.

The crash of a worker counts against all tasks that may have caused it. A suspected task
is started on trial: for some time nothing else begins on its worker, so that no other
task is to blame for a further crash.
"""

import typing as t

from ..logs import logger
from ..resources import Resources
from . import placing
from .ends import RunEndHandler
from .runtime import SETTLED_S, Run, StepRun, Task, Worker

__all__ = ["CrashHandler"]

# Number of crashes from which all starts of a task are trials.
REPEATED_CRASHES = 2
# A task that has run for this long did not crash its worker, in seconds.
BLAME_S = 10.0
# Longest time for which a worker is held for a trial that has not begun, in seconds.
# Its runs are settled after 2 s, since it reports them every second.
HOLD_S = 3.0
# Number of crashes that are kept of a task; older ones change no decision.
MAX_CRASHES_KEPT = 8


class CrashHandler(RunEndHandler):
    """Counts crashes of workers against tasks, and conducts trials.

    A task does not start again before its crashes are stored, and a trial is stored as
    a crash before it begins, until the worker has survived it. A change of the owner
    thus loses no crash of a suspected task.

    No job ends because workers have crashed. Tasks of gangs have no trials, but the
    pauses between their starts grow in the same way.
    """

    def _drop_runs(
        self, worker: Worker, reason: str, now: float, kept: t.Collection[Run] = ()
    ) -> None:
        """Drop the runs that a worker certainly no longer holds.

        Unless it was draining, it has crashed.

        Parameters
        ----------
        kept : collection of Run
            Runs that a later instance of the worker may hold.
        """
        instance = worker.instance
        # Run of each blamed task that was lost just now, if there is one.
        blamed: dict[Task, Run | None] = dict.fromkeys(self._accused.pop(instance, ()))
        for run in list(worker.runs.values()):
            if run in kept:
                continue
            if self._may_have_crashed(run):
                blamed[run.task] = run
            self._run_lost(run, now, reason)
        worker.rejected_runs.clear()
        suspect = self._suspects.get(worker.worker_id)
        for name in (suspect.tasks or ()) if suspect is not None else ():
            if name in self._tasks:
                blamed.setdefault(self._tasks[name])
        for task in list(blamed):
            if task.trial_at == instance and not task.trial_has_begun:
                self._acquit(task, instance)
                del blamed[task]
        tried = [task for task in blamed if task.trial_at == instance]
        self._close_trial(worker)
        for run in kept:
            blamed.pop(run.task, None)
            may_be_blamed = not worker.info.draining and self._may_have_crashed(run)
            if may_be_blamed and (not tried or run.task in tried):
                run.crashed_instance = instance
                run.crashed_suddenly = _is_sudden(worker, run)
        for task, lost_run in blamed.items():
            if worker.info.draining or (tried and task not in tried):
                self._acquit(task, instance)
                continue
            if lost_run is None:
                self._accuse(task, instance)
                continue
            self._count_crash(lost_run, instance, _is_sudden(worker, lost_run))

    def _start_lost(self, run: Run, now: float, reason: str) -> None:
        """Drop a run that no instance of its worker holds.

        If the worker has crashed since the order, the start may be the cause.
        """
        self._run_lost(run, now, reason)
        if run.crashed_instance:
            self._count_crash(run, run.crashed_instance, run.crashed_suddenly)

    def _clear_crash(self, run: Run) -> None:
        """Take back the crash of an instance before the one that holds a run."""
        if run.crashed_instance:
            self._acquit(run.task, run.crashed_instance)
            run.crashed_instance = ""

    def _expire_run(self, run: Run, now: float, reason: str) -> None:
        """Drop a run whose lease has expired; its worker may have crashed."""
        worker, task = run.worker, run.task
        self._run_lost(run, now, reason)
        if worker.trial is task:
            self._close_trial(worker)
        if not worker.info.draining and self._may_have_crashed(run):
            self._accused.setdefault(worker.instance, {})[task] = None
            self._count_crash(run, worker.instance, _is_sudden(worker, run))

    def _worker_survived(self, worker: Worker) -> None:
        """Acquit the tasks of a worker that answers, but for one that is on trial."""
        task = worker.trial
        if task is not None:
            self._trial_reported(task, worker)
        for member in list(self._suspected_members):
            if member.finished or _has_settled(member, worker):
                self._clear_sudden_crashes(member)
        for accused in list(self._accused.get(worker.instance, ())):
            if accused is not worker.trial:
                del self._accused[worker.instance][accused]
                self._acquit(accused, worker.instance)

    def _trial_reported(self, task: Task, worker: Worker) -> None:
        """End the trial of a task if its worker has reported the run for long enough.

        A run that has lasted did not crash its worker by starting.
        """
        has_settled = _has_settled(task, worker)
        if has_settled:
            self._clear_sudden_crashes(task)
        if has_settled or task.finished:
            task.suspected = False
            self._close_trial(worker)

    def _may_have_crashed(self, run: Run) -> bool:
        """Return whether a run may have crashed its worker."""
        return run.worker.clock_at - run.sent_at < BLAME_S

    def _accuse(self, task: Task, instance: str) -> None:
        """Count the crash of a worker against a task."""
        job = task.step.job
        crashes = job.progress.crashes.get(task.name, [])
        if task.finished or instance in crashes:
            return
        kept = [*crashes, instance][-MAX_CRASHES_KEPT:]
        job.progress.crashes[task.name] = kept
        job.progress.run = max(job.progress.run, task.last_run_number)
        task.crash_stored = False
        self._crashed_tasks.append(task)
        self._dirty.add(job.spec.job_id)
        self.progress_urgent = True
        extra = {
            "request": job.spec.job_id,
            "task": task.name,
            "worker": instance,
            "crashes": len(crashes) + 1,
            "trial": task.trial_at == instance,
        }
        logger.info("crash counted", extra=extra)

    def _count_crash(self, run: Run, instance: str, sudden: bool) -> None:
        """Count the crash of an instance under a run, and delay the next trial.

        Parameters
        ----------
        sudden : bool
            Whether the instance crashed before the run had settled.
        """
        task = run.task
        self._accuse(task, instance)
        if not sudden:
            self._clear_sudden_crashes(task)
            return
        task.suspected = True
        if task.trial_at == instance or task.step.spec.gang:
            self._delay_trial(task, instance, run.sent_at)

    def _delay_trial(self, task: Task, instance: str, began: float) -> None:
        """Delay the next trial after a sudden crash under one that began at a time."""
        if task.finished:
            return
        self._add_sudden_crash(task, instance, began)
        task.next_trial_at = began + task.crash_pause_s
        self._meters.count("poplaryard_crashing_tasks_total")
        extra = {
            "request": task.step.job.spec.job_id,
            "task": task.name,
            "worker": instance,
            "sudden_crashes": task.sudden_crash_count,
            "pause_s": task.crash_pause_s,
        }
        logger.warning("worker crashed at once under a task", extra=extra)

    def _add_sudden_crash(self, task: Task, instance: str, began: float) -> None:
        """Count a crash, or possible one, under a start at a time as sudden."""
        progress = task.step.job.progress
        if task.step.spec.gang:
            self._suspected_members.add(task)
        known = progress.sudden_crashes.get(task.name, [])
        if instance not in known:
            kept = [*known, instance][-MAX_CRASHES_KEPT:]
            progress.sudden_crashes[task.name] = kept
        next_trial_at = began + task.crash_pause_s
        progress.next_trials[task.name] = next_trial_at + self._wall_offset
        self._dirty.add(task.step.job.spec.job_id)

    def _clear_sudden_crash(self, task: Task, instance: str) -> None:
        """Note that a worker has not crashed at once under a task."""
        progress = task.step.job.progress
        before_s = task.crash_pause_s
        if not _remove_crash(progress.sudden_crashes, task, instance):
            return
        self._dirty.add(task.step.job.spec.job_id)
        task.next_trial_at -= before_s - task.crash_pause_s
        progress.next_trials[task.name] = task.next_trial_at + self._wall_offset
        if not task.sudden_crash_count:
            del progress.next_trials[task.name]
            self._suspected_members.discard(task)

    def _clear_sudden_crashes(self, task: Task) -> None:
        """Note that a task does not crash workers at once."""
        for instance in task.step.job.progress.sudden_crashes.get(task.name, []):
            self._clear_sudden_crash(task, instance)

    def _acquit(self, task: Task, instance: str) -> None:
        """Take back what was counted against a task."""
        if task.trial_at == instance:
            task.trial_at = ""
        self._clear_sudden_crash(task, instance)
        if _remove_crash(task.step.job.progress.crashes, task, instance):
            self._dirty.add(task.step.job.spec.job_id)

    # Trials

    def _needs_trial(self, task: Task) -> bool:
        """Return whether the next start of a task has to be on trial.

        This holds also for a copy of a run that had just begun when its worker fell
        silent.
        """
        return (
            task.suspected
            or task.crash_count >= REPEATED_CRASHES
            or _possible_crashes(task) > 0
        )

    def _may_be_copied(self, task: Task) -> bool:
        """Return whether a copy of a running task can be started."""
        crashes = task.crash_count + _possible_crashes(task)
        return task.crash_stored and crashes < REPEATED_CRASHES

    def _trial_host(
        self,
        task: Task,
        workers: t.Collection[Worker],
        room: t.Callable[[StepRun, Worker], Resources],
        now: float,
    ) -> Worker | None:
        """Return the worker that is held for the trial of a task, or None.

        Parameters
        ----------
        workers : collection of Worker
            Usable workers that are permitted to run the task.
        room : callable
            Returns the free resources that the step may use on a worker.
        """
        host = task.trial_host
        if host is not None:
            if host in workers and now < host.held_until:
                return host
            self._close_trial(host)
            self._acquit(task, host.instance)
        free = [worker for worker in workers if worker.accepts_others(now)]
        settled = [worker for worker in free if worker.runs_settled]
        host = placing.place(task.step, task, settled, room)
        host = host or placing.place(task.step, task, free, room)
        if host is not None:
            if host.trial is not None:
                self._close_trial(host)
            host.trial, host.held_until = task, now + HOLD_S
            task.trial_host = host
        return host

    def _may_begin_trial(self, task: Task, host: Worker, now: float) -> bool:
        """Return whether a trial can begin now; store it as a crash first."""
        if not host.runs_settled or not task.step.need.fits_in(host.free()):
            return False
        crashes = task.step.job.progress.crashes.get(task.name, ())
        if host.instance in crashes:
            return task.crash_stored
        task.trial_at = host.instance
        task.trial_began = float("inf")
        self._accused.setdefault(host.instance, {})[task] = None
        self._accuse(task, host.instance)
        # A later owner does not know how the trial went.
        self._add_sudden_crash(task, host.instance, now)
        return False

    def _close_trial(self, worker: Worker) -> None:
        if worker.trial is not None:
            worker.trial.trial_host = None
            worker.trial = None


def _has_settled(task: Task, worker: Worker) -> bool:
    """Return whether a worker is known to have run a task for long enough."""
    return any(run.settled for run in task.runs if run.worker is worker)


def _is_sudden(worker: Worker, run: Run) -> bool:
    """Return whether a worker may have crashed before a run had settled there."""
    return worker.clock_at - run.sent_at < SETTLED_S


def _remove_crash(crashes: dict[str, list[str]], task: Task, instance: str) -> bool:
    """Remove an instance from the crashes of a task; return whether it was there."""
    known = crashes.pop(task.name, [])
    left = [crash for crash in known if crash != instance]
    if left:
        crashes[task.name] = left
    return len(left) < len(known)


def _possible_crashes(task: Task) -> int:
    """Return the number of workers that fell silent soon after the task began there."""
    return sum(not run.worker.reachable and not run.settled for run in task.runs)
