"""Jobs of a group of workers: their occurrences, order and unwritten progress."""

import typing as t

from ..logs import logger
from ..resources import ZERO, Resources
from .calls import (
    DEFAULT_LEASES,
    MAX_CALL_DELAY_S,
    MAX_CLOCK_SKEW_S,
    LeaseLimits,
)
from .expectations import StepExpectations
from .meters import Meters
from .model import JobSpec, JobState, Progress, Suspect, Tenant
from .orders import ProgressBatch, StartOrder, StopOrder
from .records import encode
from .room import Plan, Reservations
from .run_times import NO_RUN_TIME_USES, RunTimeUses
from .runtime import JobRun, Run, RunPhase, StepRun, Task, Worker
from .tenancy import CapLimits, Shares, TenantAccounts, Unlimited

__all__ = ["JobTable", "amount_text"]

# Run numbers that a new owner skips after the highest stored one: starts are not
# written to the store, so the earlier owner may have used higher numbers.
RUN_NUMBERS_SKIPPED = 16
# A job is starved once none of its tasks has run for this many seconds while less than
# this share of the group's capacity is in use. By the users' requirements, a job that
# gets nothing for three seconds while half of the group is idle counts as lost.
# Urgent steps that wait for room or advice would block a starved job. It therefore
# comes first, and may use room that was reserved for too long.
# A lasting task is starved after the same time without a run, however much of this
# partition is in use: other partitions of the group may have room for it.
STARVED_AFTER_S = 1.5
STARVED_BUSY_SHARE = 0.55
# Replaces the priority of a starved job; comes before the most urgent priority, 0.
STARVED_PRIORITY = -1
# Maximum number of cancellations kept for jobs that this owner does not know yet: a job
# and its cancellation can be announced by different processes, in any order.
MAX_CANCELLED_EARLY = 1000
# Time between two log lines on the cap or the share of a tenant, in seconds: a tenant
# can stay there for hours, and 950 tenants may do so at once.
TENANT_LOG_PERIOD_S = 5.0
# Run time on the slowest workers relative to the usual one: by the users' requirements
# they run at 0.55 of the usual speed.
SLOWEST_FACTOR = 1.8
# Weight of a GPU in thousandths of a core, from the users' prices.
GPU_CPU_M = 8000


def _weight(amount: Resources) -> int:
    return amount.cpu_m + GPU_CPU_M * amount.gpus


def amount_text(resources: Resources) -> str:
    """Return an amount for a log line."""
    return f"{resources.cpu_m}m/{resources.mem_mb}MB/{resources.gpus}"


def _has_starved_lasting_task(step: StepRun, now: float) -> bool:
    return step.spec.lasting and any(
        now > task.idle_since + STARVED_AFTER_S for task in step.waiting(now)
    )


class JobTable:
    """Jobs and workers of one group, and the order in which steps are started.

    Parameters
    ----------
    group : str
    claim_revision : int
        Revision of the owner's claim, which serves as its fencing token.
    wall_offset : float
        Wall-clock time minus the owner's clock, in seconds.
    quarantine_until : float
        Time until which leases may last that the owner before this one gave.
    suspects : mapping of str to Suspect
        Workers that may hold runs of an earlier owner, as that owner recorded them.
    early_s : float
        Not used.
    meters : Meters, optional
        Metrics of the process.
    loaded_at : float
        Time at which `suspects` was read.
    run_time_uses : RunTimeUses
        Decisions that use learned run times; without any, none are learned.
    leases : LeaseLimits
        Durations of the leases of runs.

    Attributes
    ----------
    orders : list of StartOrder or StopOrder
        Orders to send to workers; the owner takes them from here.
    fenced : bool
        Whether a worker rejected an order because it knows a later owner.
    progress_urgent : bool
        Whether progress has to be written without delay.
    accepts_starts : bool
        Whether tasks may be started.
    sole_owner : bool
        Whether the owner's lease is certainly valid, so that no other owner can exist.
    caps : CapLimits
        Limits on what tenants may run here.
    expectations : StepExpectations or None
        Learned run times, if they are used.
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
        loaded_at: float = 0.0,
        run_time_uses: RunTimeUses = NO_RUN_TIME_USES,
        leases: LeaseLimits = DEFAULT_LEASES,
    ):
        self.group = group
        self.leases = leases
        self.fencing_token = claim_revision
        self.jobs: dict[str, JobRun] = {}
        self.workers: dict[str, Worker] = {}
        self.orders: list[StartOrder | StopOrder] = []
        self.fenced = False
        self.progress_urgent = False
        self.accepts_starts = True
        self.sole_owner = True
        self.caps: CapLimits = Unlimited()
        self.expectations: StepExpectations | None = None
        if run_time_uses:
            self.expectations = StepExpectations(run_time_uses)
        self._tenants: t.Mapping[str, Tenant] = {}
        self._weights: dict[str, float] = {}
        self._accounts = TenantAccounts()
        # Shares in the last pass; None without jobs of tenants.
        self._shares: Shares | None = None
        # Bounds, for this pass, on what runs that are not accounted for may use.
        self._unaccounted: t.Mapping[str, Resources] = {}
        # Needs that exceeded the cap of their tenant in this pass.
        self._refused: dict[str, list[Resources]] = {}
        self._tenant_logged_at: dict[str, float] = {}
        self._quarantine_until = quarantine_until
        self._startable_workers: set[str] = set()
        self._wall_offset = wall_offset
        self._loaded_at = loaded_at
        self._suspects = dict(suspects or {})
        # Time by which all leases of each suspect have lapsed.
        self._suspected_until = {
            name: self._lapses_at(suspect, quarantine_until)
            for name, suspect in self._suspects.items()
        }
        self._early_s = early_s
        self._meters = meters or Meters()
        self._dirty: set[str] = set()
        self._crashed_tasks: list[Task] = []
        # Tasks by the instance of a worker whose crash counts against them, but is not
        # certain.
        self._accused: dict[str, dict[Task, None]] = {}
        # Members of gangs under which workers crashed at once.
        self._suspected_members: set[Task] = set()
        self._open_steps: dict[str, StepRun] = {}
        self._tasks: dict[str, Task] = {}
        self._reservations = Reservations()
        self._plans: dict[str, Plan] = {}
        self._waiting: list[StepRun] = []
        self._timed_jobs: dict[str, JobRun] = {}
        self._early_cancellations: dict[str, None] = {}

    def configure_tenants(self, tenants: t.Mapping[str, Tenant]) -> None:
        """Set the configured tenants by name."""
        self._tenants = tenants
        self._weights = {name: tenant.weight for name, tenant in tenants.items()}

    def add_job(
        self, spec: JobSpec, now: float, fresh: bool, progress: Progress | None = None
    ) -> JobRun:
        """Add a stored job; a job that is already known is left unchanged."""
        known = self.jobs.get(spec.job_id)
        if known is not None:
            return known
        age_s = now + self._wall_offset - spec.accepted_at if not fresh else 0.0
        job = JobRun(spec, fresh, now - max(0.0, age_s))
        job.due_at = job.arrived_at + job.objective_s
        job.active_at = now
        if progress is not None:
            job.progress = progress
            if progress.state.final:
                job.stored_state = progress.state
            job.started = bool(progress.done or progress.failures or progress.run)
        self.jobs[spec.job_id] = job
        self._accounts.add_job(spec.tenant, fresh)
        if job.progress.state.final:
            return job
        job.occurrences_left = max(1, spec.times)
        if spec.times:
            self._timed_jobs[spec.job_id] = job
        self._open_due_occurrences(job, now)
        if spec.job_id in self._early_cancellations:
            del self._early_cancellations[spec.job_id]
            self.cancel(spec.job_id, now)
        return job

    def cancel(self, job_id: str, now: float) -> None:
        """Cancel a job and stop its runs."""
        job = self.jobs.get(job_id)
        if job is None:
            self._early_cancellations[job_id] = None
            if len(self._early_cancellations) > MAX_CANCELLED_EARLY:
                del self._early_cancellations[next(iter(self._early_cancellations))]
            return
        if job.cancelled:
            return
        job.cancelled = True
        if not job.progress.state.final:
            self._finish(job, JobState.CANCELLED, now)

    def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs of which no task is known to have run.

        Of a job with parts in several partitions the first part counts.
        """
        return sum(
            1
            for job in self.jobs.values()
            if job.spec.queue == queue
            and not job.started
            and not job.state.final
            and not job.spec.steps[0].first_index
        )

    def forget_finished(self, before_wall: float) -> list[str]:
        """Remove the jobs that ended before a wall-clock time, and return their ids."""
        old = [
            job_id
            for job_id, job in self.jobs.items()
            if job.progress.state.final
            and job_id not in self._dirty
            and job.progress.finished_at < before_wall
        ]
        for job_id in old:
            job = self.jobs.pop(job_id)
            self._accounts.remove_job(job.spec.tenant, job.fresh)
        return old

    def _open_due_occurrences(self, job: JobRun, now: float) -> None:
        """Create the steps and tasks of the occurrences that are due."""
        spec = job.spec
        while job.next_occurrence < max(1, spec.times):
            if spec.times:
                due = spec.first_at + job.next_occurrence * spec.interval_s
                if due - self._wall_offset > now:
                    return
                job.due_at = due - self._wall_offset + job.objective_s
            self._open_occurrence(job, job.next_occurrence, now)
            job.next_occurrence += 1

    def _open_occurrence(self, job: JobRun, number: int, now: float) -> None:
        steps = []
        quarantined = self._quarantined_tasks()
        base_run = 0 if job.fresh else job.progress.run + RUN_NUMBERS_SKIPPED
        for index, spec in enumerate(job.spec.steps):
            step = StepRun(job, number, index, spec)
            done = set(job.progress.done.get(step.key, ()))
            for position in spec.indices:
                name = f"{step.name}.{position}"
                task = Task(
                    name,
                    step,
                    position,
                    last_run_number=base_run,
                    done=position in done,
                    idle_since=now,
                )
                for instance in job.progress.crashes.get(name, ()):
                    task.suspected = True
                    self._accused.setdefault(instance, {})[task] = None
                task.next_trial_at = self._next_trial_at(task, now)
                task.not_before = quarantined.get(name, 0.0)
                step.tasks.append(task)
                if not task.done:
                    self._tasks[name] = task
            step.remaining = sum(not task.done for task in step.tasks)
            steps.append(step)
        job.occurrences[number] = steps
        for step in reversed(steps):
            successors = (other for other in steps if step.number in other.spec.after)
            remaining_s = max(
                (other.critical_path_s for other in successors), default=0.0
            )
            step.critical_path_s = step.spec.estimate_s + remaining_s
        if self.expectations is not None:
            self.expectations.steps_opened(steps)
        for step in steps:
            if step.remaining:
                self._open_steps[step.name] = step
        if not any(step.remaining for step in steps):
            self._close_occurrence(job, number)

    def _next_trial_at(self, task: Task, now: float) -> float:
        """Return the stored time before which a task must not start.

        The clock of the process that stored it may be ahead.
        """
        if not task.sudden_crash_count:
            return 0.0
        if task.step.spec.gang:
            self._suspected_members.add(task)
        stored = task.step.job.progress.next_trials.get(task.name, 0.0)
        return min(stored - self._wall_offset, now + task.crash_pause_s)

    def _ready(self, step: StepRun) -> bool:
        if not step.spec.after:
            return True
        steps = step.job.occurrences[step.occurrence]
        return all(not steps[number].remaining for number in step.spec.after)

    def _close_occurrence(self, job: JobRun, number: int) -> None:
        job.occurrences_left -= 1

    def _finish(self, job: JobRun, state: JobState, now: float) -> None:
        job.progress.state = state
        job.progress.finished_at = now + self._wall_offset
        self._timed_jobs.pop(job.spec.job_id, None)
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
                "objective_s": round(job.objective_s, 3),
                "waited_s": round(max(0.0, job.first_start_at - job.arrived_at), 3),
                "chain_s": round(job.spec.critical_path_s(), 3),
                "steps": len(job.spec.steps),
                "priority": job.spec.priority,
                "lost_runs": job.lost_runs,
            },
        )

    def _note_start(self, run: Run, now: float) -> None:
        """Note that a run that this owner has ordered is known to have begun."""
        job = run.task.step.job
        job.started = True
        if not job.first_start_at:
            job.first_start_at = now
            waited_s = now - job.arrived_at
            self._meters.observe("poplaryard_first_start_seconds", waited_s)

    def _stop(self, run: Run, now: float) -> None:
        run.stop_sent_at = now
        if run.phase is not RunPhase.IN_DOUBT:
            run.phase = RunPhase.STOPPING
        self.orders.append(
            StopOrder(run.worker, run.task.name, run.number, run, run.worker.born_ms)
        )

    def _add_run(self, run: Run) -> None:
        """Charge a run to its worker and its tenant."""
        run.worker.add(run)
        self._accounts.add_run(run.task.step.tenant, run.task.step.spec.need)

    def _release_run(self, run: Run) -> bool:
        """Take a run back from its worker; return False if it is not there."""
        if not run.worker.release(run):
            return False
        self._accounts.remove_run(run.task.step.tenant, run.task.step.spec.need)
        return True

    def _may_start(
        self, step: StepRun, now: float, count: int = 1, expected: Resources = ZERO
    ) -> bool:
        """Return whether the tenant's cap admits the start of tasks of a step.

        Usage only grows during a pass, so a need that was refused stays refused.

        Parameters
        ----------
        count : int
            Number of tasks that start together.
        expected : Resources
            What else the tenant is expected to start first.
        """
        tenant = step.tenant
        if not tenant:
            return True
        need = step.spec.need if count == 1 else step.spec.need.times(count)
        refused = self._refused.get(tenant)
        if refused and any(earlier.fits_in(need) for earlier in refused):
            return False
        used = self._accounts.used(tenant)
        if tenant in self._unaccounted:
            used = used + self._unaccounted[tenant]
        if self.caps.may_start(tenant, used + expected, need):
            return True
        if expected is not ZERO:
            return False
        self._refused.setdefault(tenant, []).append(need)
        if step.waiting(now):
            extra = {"used": amount_text(used), "need": amount_text(need)}
            available = self.caps.available(tenant)
            if available is not None:
                extra["available"] = amount_text(available)
            self._log_tenant("tenant at its cap", tenant, extra, now)
        return False

    def _cap_detail(self, step: StepRun) -> str | None:
        """Return the amounts if the tenant's cap has refused a step, else None.

        That was in the last pass: to ask again would count as a need of the tenant.
        """
        refused = self._refused.get(step.tenant)
        if not refused:
            return None
        need = step.spec.need.times(step.spec.count if step.spec.gang else 1)
        if not any(earlier.fits_in(need) for earlier in refused):
            return None
        used = amount_text(self._accounts.used(step.tenant))
        return f"{step.tenant} uses {used}, needs {amount_text(need)}"

    def _log_tenant(
        self, text: str, tenant: str, extra: dict[str, t.Any], now: float
    ) -> None:
        """Log why a tenant waits, once in `TENANT_LOG_PERIOD_S` for each tenant."""
        if self._tenant_log_due(tenant, now):
            self._tenant_logged_at[tenant] = now
            extra = {"tenant": tenant, "group": self.group, **extra}
            logger.info(text, extra=extra)

    def _tenant_log_due(self, tenant: str, now: float) -> bool:
        logged_at = self._tenant_logged_at.get(tenant, float("-inf"))
        return now >= logged_at + TENANT_LOG_PERIOD_S

    def _shares_of(self, steps: t.Iterable[StepRun]) -> Shares | None:
        """Return the shares of the tenants; None without jobs of tenants."""
        if not self._accounts.has_jobs:
            return None
        return Shares(
            self._weights,
            self._total_capacity(),
            self._accounts.all_used(),
            {step.tenant for step in steps},
        )

    def _total_capacity(self) -> Resources:
        """Return the capacity of all workers that are not gone."""
        cpu_m = mem_mb = gpus = 0
        for worker in self.workers.values():
            if not worker.gone:
                capacity = worker.info.capacity
                cpu_m += capacity.cpu_m
                mem_mb += capacity.mem_mb
                gpus += capacity.gpus
        return Resources(cpu_m, mem_mb, gpus)

    def _current_suspects(self, now: float) -> dict[str, Suspect]:
        """Return the workers that may still hold runs of an earlier owner."""
        for name in list(self._suspects):
            if now >= self._suspected_until[name]:
                del self._suspects[name]
        return self._suspects

    def _suspects_until(self, now: float) -> dict[str, tuple[Suspect, float]]:
        """Return the workers that may hold runs of an earlier owner, and until when."""
        return {
            name: (suspect, self._suspected_until[name])
            for name, suspect in self._suspects.items()
            if now < self._suspected_until[name]
        }

    def waits_for_workers(self, now: float) -> bool:
        """Return whether there are workers that may hold runs of an earlier owner."""
        return bool(self._current_suspects(now))

    def _lapses_at(self, suspect: Suspect, quarantine_until: float) -> float:
        """Return the time by which all leases of a suspect have lapsed."""
        earlier = self._loaded_at + suspect.lapses_in_s
        if not suspect.renewed:
            return earlier
        started_at = self._started_at(suspect.born_ms)
        return max(earlier, self.leases.longest_until(quarantine_until, started_at))

    def _earlier_calls_until(self) -> float:
        """Return the time until which calls of earlier owners may be carried out.

        Leases that these give on purpose end within the quarantine, so that no earlier
        owner makes a call after it.
        """
        return self._quarantine_until + MAX_CALL_DELAY_S

    def _started_at(self, born_ms: int) -> float:
        """Return the latest time on the owner's clock at which a worker was started.

        The clocks of workers don't tell: they may begin anywhere.
        """
        return born_ms / 1000 - self._wall_offset + MAX_CLOCK_SKEW_S

    def _quarantined_tasks(self) -> dict[str, float]:
        """Return the tasks that suspects may run, and until when."""
        found: dict[str, float] = {}
        for worker_id, suspect in self._suspects.items():
            for name in suspect.tasks or ():
                until = self._suspected_until[worker_id]
                found[name] = max(until, found.get(name, 0.0))
        return found

    def earlier_owner_ended(self, lapsed_at: float) -> None:
        """Shorten the wait for suspects: the owner before this one gives no leases.

        Parameters
        ----------
        lapsed_at : float
            Time by which the last leases that it gave have lapsed.
        """
        self._quarantine_until = min(lapsed_at, self._quarantine_until)
        for name, suspect in self._suspects.items():
            until = self._lapses_at(suspect, lapsed_at)
            self._suspected_until[name] = min(until, self._suspected_until[name])
        for name, until in self._quarantined_tasks().items():
            if name in self._tasks:
                self._tasks[name].not_before = until

    def _blocked(self, job: JobRun, runs_unknown: bool) -> bool:
        """Return whether starting tasks of the job could repeat another owner's runs.

        A later owner starts jobs that are new to it immediately. An owner whose lease
        may have expired therefore only continues jobs of which it, or an earlier owner,
        has ordered a start before: they were stored before any later claim. A job that
        an earlier owner may have started waits while the runs of any suspect are
        not known (`runs_unknown`).
        """
        if not self.sole_owner and not (job.ordered or job.started):
            return True
        return not job.fresh and runs_unknown

    def _clear_suspect(self, worker_id: str) -> None:
        """Release the tasks that were held back because the worker might run them."""
        suspect = self._suspects.pop(worker_id, None)
        if suspect is None or not suspect.tasks:
            return
        quarantined = self._quarantined_tasks()
        for name in suspect.tasks:
            if name in self._tasks:
                self._tasks[name].not_before = quarantined.get(name, 0.0)

    def _waiting_steps(self, now: float) -> list[StepRun]:
        """Return the steps that are ready to start, the most urgent first."""
        runs_unknown = any(
            suspect.tasks is None for suspect in self._current_suspects(now).values()
        )
        steps = [
            step
            for step in self._open_steps.values()
            if not self._blocked(step.job, runs_unknown) and self._ready(step)
        ]
        busy = self._busy_share() if steps else 1.0
        self._shares = shares = self._shares_of(steps)
        for step in steps:
            level = shares.level(step.tenant) if shares is not None else 0
            step.rank = step.job.rank(step.critical_path_s, now, level)
            step.starved = _has_starved_lasting_task(step, now) or (
                busy < STARVED_BUSY_SHARE
                and now > step.job.active_at + STARVED_AFTER_S
                and step.job.idle()
            )
            if step.uses.placement:
                slowest_s = step.expected_path_s * SLOWEST_FACTOR
                step.short_of_time = now + slowest_s > step.job.due_at
            if step.starved:
                step.rank = STARVED_PRIORITY, *step.rank[1:]
        steps.sort(key=lambda step: step.rank)
        if shares is not None and self._limit_starved(steps, shares.copy(), now):
            steps.sort(key=lambda step: step.rank)
        return steps

    def _limit_starved(self, steps: list[StepRun], shares: Shares, now: float) -> bool:
        """Let starved steps come first only up to their tenant's fair share.

        One step of each tenant still comes first in each pass. When many runs end at
        once, most of a group is idle for a moment; the jobs of a long queue, which are
        all starved then, would take all of it. Steps that fit nowhere don't count.
        Returns whether ranks have changed.
        """
        if not steps or not steps[0].starved:
            return False
        largest_free = ZERO
        for worker in self.workers.values():
            if worker.usable(now):
                largest_free = largest_free.maximum(worker.free())
        first: set[str] = set()
        changed = False
        for step in steps:
            if not step.starved:
                break
            tenant = step.tenant
            if not step.need.fits_in(largest_free):
                continue
            if tenant in first and shares.is_above(tenant):
                step.starved = False
                step.rank = step.job.spec.priority, *step.rank[1:]
                changed = True
            elif tenant:
                first.add(tenant)
                shares.charge(tenant, step.spec.need.times(len(step.waiting(now))))
        return changed

    def _busy_share(self) -> float:
        """Return the share of the group's capacity in use; 1 if it has no capacity."""
        total = used = 0
        for worker in self.workers.values():
            if not worker.gone:
                total += _weight(worker.info.capacity)
                used += _weight(worker.used)
        return used / total if total else 1.0

    def take_progress(self) -> ProgressBatch:
        """Return the progress to write.

        Call `progress_written` or `progress_not_written` with it afterwards.
        """
        jobs = [self.jobs[job_id] for job_id in self._dirty if job_id in self.jobs]
        self._dirty.clear()
        crashed, self._crashed_tasks = self._crashed_tasks, []
        self.progress_urgent = False
        return ProgressBatch(
            progress={job.spec.job_id: encode(job.progress) for job in jobs},
            states={job.spec.job_id: job.progress.state for job in jobs},
            seen={
                worker: (worker.born_ms, worker.seen_seq)
                for worker in self.workers.values()
            },
            crashed=tuple(crashed),
        )

    def progress_written(self, batch: ProgressBatch) -> None:
        """Publish the stored states, and allow ended runs to be acknowledged."""
        for job_id, state in batch.states.items():
            job = self.jobs.get(job_id)
            if job is not None and state.final:
                job.stored_state = state
        for task in batch.crashed:
            # It may have been counted again since the batch was taken.
            task.crash_stored = task not in self._crashed_tasks
        for worker, (born_ms, seq) in batch.seen.items():
            if worker.born_ms == born_ms:
                worker.acked_seq = max(worker.acked_seq, seq)

    def progress_not_written(self, batch: ProgressBatch) -> None:
        """Include the jobs of a failed write in the next one."""
        self._dirty |= set(batch.progress)
        self._crashed_tasks += batch.crashed
        self.progress_urgent = True

    @property
    def has_unwritten_progress(self) -> bool:
        """Whether there is progress to write, or an ended run to acknowledge."""
        return bool(self._dirty) or any(
            worker.acked_seq < worker.seen_seq for worker in self.workers.values()
        )
