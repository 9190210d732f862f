"""Scheduling decisions for one group of workers.

A `Partition` is a state machine: its methods are called with events (new jobs, reports
of workers, answers to orders) and the current time, and it collects orders. It reads no
clock and performs no I/O.

Its base classes in `jobtable`, `ends`, `reports` and `advising` each handle one kind of
event; `usage` reports what tenants use.
"""

import typing as t

from ..logs import logger
from ..resources import ZERO, Resources
from . import placing
from .advising import AdvicePlanner
from .delay_tracking import DelayFigures, DelayTracker
from .delays import DelayReason, GroupView
from .homes import PartitionLoad
from .model import StartOutcome
from .orders import AdviceRequest, ProgressBatch, StartOrder, StopOrder
from .reports import WorkerReportHandler
from .room import Plan, plan_room
from .runtime import Run, RunPhase, StepRun, Task, Worker
from .strays import STOP_RETRY_S
from .tenancy import ShareOrder
from .usage import UsageReporter

__all__ = ["AdviceRequest", "Partition", "ProgressBatch", "StartOrder", "StopOrder"]

# Time without starts on a worker after a start that was refused or failed, in seconds.
FAILED_START_PAUSE_S = 0.5
# A run has stalled if its percentage has not changed for this many seconds plus this
# share of its estimate. The share is there because workers report whole percentages,
# which change slowly in long runs.
STALL_S = 2.5
STALL_SHARE = 0.03
# A run is a straggler if it has taken at least `STRAGGLER_ELAPSED_FACTOR` times its
# estimate and is expected to take more than `STRAGGLER_REMAINING_FACTOR` times the
# estimate from now on.
STRAGGLER_ELAPSED_FACTOR = 0.6
STRAGGLER_REMAINING_FACTOR = 1.3
# With learned run times, a run that is expected to take no longer than this quantile of
# its kind is not a straggler: a copy would often take as long.
STRAGGLER_QUANTILE = 0.9
# A speculative task is copied if its worker has not reported for this long, in seconds;
# other tasks wait until their leases have expired. Workers report every second.
COPY_SILENT_S = 1.8
# Maximum number of steps with reserved room: each reservation leaves some room idle.
MAX_PLANS = 4
# Maximum number of searches for room to reserve per round, beside those for steps that
# had reserved room in the round before: each scans all workers.
MAX_PLAN_SEARCHES = 8
# Time without a search for a step after one in vain, in seconds. Steps that never find
# room would use up the searches of every pass otherwise.
VAIN_SEARCH_PAUSE_S = 0.5
# Time after which a step may preempt runs again, in seconds; it doubles each time. If
# the room has gone to more urgent steps, there is no use in preempting more runs soon.
PREEMPTION_PAUSE_S = 4.0
# Time between two searches for stragglers, in seconds.
STRAGGLER_SEARCH_PERIOD_S = 0.25
# Maximum number of steps for which a report of delays searches the workers.
MAX_DELAY_SCANS = 50
# Share of a worker's capacity from which a task counts as large.
LARGE_TASK_SHARE = 0.25


def _most_free(workers: t.Iterable[Worker]) -> Resources:
    """Return, for each resource, the largest free amount on any worker."""
    largest_free = ZERO
    for worker in workers:
        free = worker.free()
        if not free.fits_in(largest_free):
            largest_free = largest_free.maximum(free)
    return largest_free


def _permitted(
    step: StepRun, usable: dict[str, Worker], now: float
) -> t.Collection[Worker]:
    """Return the workers that may run a step's tasks now."""
    if step.job.spec.advice is None:
        return usable.values()
    return [
        usable[worker_id]
        for worker_id, permit in step.permits.items()
        if permit.until > now and worker_id in usable
    ]


def _seeks_room(step: StepRun, now: float) -> bool:
    """Return whether a step has tasks that would start if there were room."""
    waiting = len(step.waiting(now))
    return waiting == step.spec.count if step.spec.gang else waiting > 0


def _is_large(step: StepRun, capacities: t.Iterable[Resources]) -> bool:
    """Return whether a step rarely fits into the gaps that small tasks leave."""
    return step.spec.gang or any(
        step.need.dominant_share(capacity) >= LARGE_TASK_SHARE
        for capacity in capacities
    )


class Partition(WorkerReportHandler, AdvicePlanner, UsageReporter):
    """Starts tasks, reserves room and detects lost runs for one group of workers.

    See `JobTable` for the parameters.
    """

    def __init__(self, *args: t.Any, **fields: t.Any):
        super().__init__(*args, **fields)
        self._next_copy_check_at = 0.0
        self._usable_workers: dict[str, Worker] = {}
        self._order: ShareOrder[StepRun] | None = None
        self._delay_tracker = DelayTracker()

    def advance(self, now: float) -> None:
        """Make the decisions that are due: start tasks, and drop runs that are lost."""
        self._check_workers(now)
        for job in self._timed_jobs.values():
            self._open_due_occurrences(job, now)
        if not self.accepts_starts or self.fenced:
            return
        self._usable_workers = {
            worker.worker_id: worker for worker in self._usable(now)
        }
        usable = {
            worker_id: worker
            for worker_id, worker in self._usable_workers.items()
            if worker.accepts_others(now)
        }
        planned = set(self._plans)
        self._reservations.clear()
        self._plans.clear()
        self._begin_tenants(now)
        if self.expectations is not None:
            self.expectations.refresh(self._open_steps, self.workers.values())
        self._waiting = self._waiting_steps(now)
        shares = self._shares
        order = ShareOrder(self._waiting, shares) if shares is not None else None
        self._order = order
        largest_free = _most_free(self._usable_workers.values())
        orders_counted = len(self.orders)
        searches_left = MAX_PLAN_SEARCHES
        capacities = {worker.info.capacity for worker in self.workers.values()}
        # Room that a preempted run releases goes to the most urgent step that fits.
        may_preempt = True
        for step in self._waiting if order is None else order:
            if not self._may_start(step, now, step.spec.count if step.spec.gang else 1):
                continue
            orders_before = len(self.orders)
            fits = step.need.fits_in(largest_free)
            if fits and not self._start_step(step, usable, now):
                fits = False
                # Starts only shrink the room, so an earlier value stays a bound on it,
                # and a new one is of use only after a search in vain.
                if len(self.orders) > orders_counted:
                    largest_free = _most_free(self._usable_workers.values())
                    orders_counted = len(self.orders)
            if (
                not fits
                and len(self._plans) < MAX_PLANS
                and (step.name in planned or (searches_left and now >= step.plan_after))
                and _is_large(step, capacities)
                and _seeks_room(step, now)
            ):
                # Room that is not reserved in one pass is taken by others.
                if step.name not in planned:
                    searches_left -= 1
                self._plan_room(step, now, may_preempt)
            if not fits and step.starved and step.spec.lasting:
                self._end_ejection(step, now)
            if not fits and step.rank[1]:
                self._log_held(step, now)
            may_preempt = may_preempt and (
                fits or step.name in self._plans or not _seeks_room(step, now)
            )
            self._log_starts(step, orders_before, now)
        self._order = None
        if shares is not None and shares.changes:
            self._sort_by_share(self._waiting, shares)
        if now >= self._next_copy_check_at:
            self._next_copy_check_at = now + STRAGGLER_SEARCH_PERIOD_S
            self._copy_stragglers(usable, now)

    def _start_step(self, step: StepRun, usable: dict[str, Worker], now: float) -> bool:
        """Start the tasks that fit; return False if a waiting task does not."""
        waiting = step.waiting(now)
        if not waiting:
            return True
        candidates = _permitted(step, usable, now)
        if step.spec.gang:
            if len(waiting) < step.spec.count:
                return True
            chosen = placing.place_gang(step, candidates, self._reservations.free)
            if chosen is None:
                return False
            number = max(task.last_run_number for task in step.tasks) + 1
            for task, worker in zip(step.tasks, chosen, strict=True):
                self._start(task, worker, number, now)
            return True
        for task in waiting:
            if not self._may_start(step, now):
                return True
            if self._order is not None and self._has_risen(step):
                self._order.postpone(step)
                return True
            if self._needs_trial(task):
                self._start_trial(task, usable, now)
                candidates = _permitted(step, usable, now)
                continue
            only = task.retry_worker
            allowed = candidates
            if only is not None:
                allowed = [worker for worker in candidates if worker is only]
            found = placing.place(step, task, allowed, self._reservations.free)
            if found is not None:
                self._start(task, found, task.last_run_number + 1, now)
            elif only is None:
                return False
        return True

    def _end_ejection(self, step: StepRun, now: float) -> None:
        """End the ejection of one worker for a starved step that has no other.

        The failures there are no proof that its tasks would fail, and those of tasks
        that last are not counted as attempts.
        """
        ejected = [
            worker
            for worker in self.workers.values()
            if now < worker.ejected_until
            and worker.worker_id in self._startable_workers
            and worker.usable_if_not_ejected(now)
        ]
        needed = step.spec.count if step.spec.gang else 1
        if not ejected or self._places(step, self._usable_workers.values()) >= needed:
            return
        ejected = [worker for worker in ejected if self._places(step, [worker])]
        worker = min(ejected, key=lambda worker: worker.ejected_until, default=None)
        if worker is None:
            return
        worker.ejected_until = now
        logger.info(
            "ejection ended early",
            extra={
                "worker": worker.worker_id,
                "request": step.job.spec.job_id,
                "step": step.name,
            },
        )

    def _places(self, step: StepRun, workers: t.Iterable[Worker]) -> int:
        """Return how many tasks of a step have room on workers that may run them."""
        places = 0
        for worker in workers:
            may_run = step.may_run.get(worker.worker_id, True)
            if not may_run or not placing.admits(step, worker):
                continue
            places += placing.places(
                step, worker, self._reservations.free(step, worker)
            )
        return places

    def _start_trial(
        self,
        task: Task,
        usable: dict[str, Worker],
        now: float,
        beside: Worker | None = None,
    ) -> None:
        """Start a suspected task once a worker is held for it.

        Parameters
        ----------
        usable : dict of str to Worker
            Workers for other tasks; the one that is held is removed.
        beside : Worker, optional
            Worker that runs the task already.
        """
        workers = [
            worker
            for worker in _permitted(task.step, self._usable_workers, now)
            if worker is not beside and task.retry_worker in (None, worker)
        ]
        host = self._trial_host(task, workers, self._reservations.free, now)
        if host is None:
            return
        usable.pop(host.worker_id, None)
        if self._may_begin_trial(task, host, now):
            task.trial_began = now
            self._start(task, host, task.last_run_number + 1, now)

    def _start(self, task: Task, worker: Worker, number: int, now: float) -> None:
        step = task.step
        run = Run(task, number, worker, step.need, now)
        run.from_start = not task.checkpoint
        task.last_run_number = number
        task.runs.append(run)
        step.job.ordered = True
        step.job.active_at = now
        self._add_run(run)
        if self._shares is not None:
            self._shares.charge(step.tenant, step.spec.need)
        permit = step.permits.get(worker.worker_id)
        ticket = permit.ticket if permit is not None else ""
        self.orders.append(StartOrder(run, task.checkpoint, ticket))

    def start_answered(
        self,
        run: Run,
        outcome: StartOutcome,
        now: float,
        clock_s: float | None = None,
    ) -> None:
        """Process the answer to an order to start a run.

        Parameters
        ----------
        clock_s : float, optional
            The worker's monotonic clock when it answered, in seconds.
        """
        self._meters.count("poplaryard_starts_total", outcome.value)
        proven = self._note_answer(run, outcome, clock_s, now)
        if run.key not in run.worker.runs:
            return
        if outcome is StartOutcome.STARTED:
            self._note_start(run, now)
            if proven:
                run.held_by = run.worker.born_ms
            if run.phase is RunPhase.SENDING:
                run.phase = RunPhase.RUNNING
            if run.confirmed_at > now:
                run.confirmed_at = run.progressed_at = now
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

    def _note_answer(
        self, run: Run, outcome: StartOutcome, clock_s: float | None, now: float
    ) -> bool:
        """Return whether the instance that has reported has answered a start."""
        worker, call = run.worker, run.call
        if call is None or outcome is StartOutcome.IN_DOUBT:
            return False
        if outcome is StartOutcome.NOT_SENT:
            worker.open_calls.discard(call)
            return False
        suspected = worker.restart_suspected
        proven = worker.start_call_answered(call, clock_s, now)
        if clock_s is not None and worker.restart_suspected and not suspected:
            self._log_later_instance(run, outcome, clock_s, now)
        return proven

    def _log_later_instance(
        self, run: Run, outcome: StartOutcome, clock_s: float, now: float
    ) -> None:
        logger.warning(
            "a later instance of the worker answered a start",
            extra={
                "request": run.task.step.job.spec.job_id,
                "task": run.task.name,
                "run": run.number,
                "worker": run.worker.worker_id,
                "outcome": outcome.value,
                "clock_s": round(clock_s, 3),
                "expected_s": round(run.worker.clock_now(now), 3),
            },
        )

    def _start_refused(self, run: Run, outcome: StartOutcome, now: float) -> None:
        worker, task = run.worker, run.task
        self._release_run(run)
        task.remove_run(run, now)
        if worker.trial is task:
            task.trial_began = float("inf")
        if outcome is StartOutcome.FENCED:
            self.fenced = True
        elif outcome is StartOutcome.BAD_TICKET:
            task.step.permits.pop(worker.worker_id, None)
        elif outcome is StartOutcome.WRONG_INSTANCE:
            self._mark_gone(worker, "another instance answered", now)
        elif outcome is StartOutcome.INVALID:
            task.not_before = now + FAILED_START_PAUSE_S
        elif outcome is not StartOutcome.OLD_RUN:
            worker.paused_until = max(worker.paused_until, now + FAILED_START_PAUSE_S)
        if task.step.spec.gang:
            self._stop_gang(task, run.number, now)

    def stop_answered(self, order: StopOrder, acked: bool, now: float) -> None:
        """Process the answer to an order to stop a run.

        A later instance than the one that was told does not know of the order.
        """
        if not acked or order.born_ms != order.worker.born_ms:
            return
        if order.run is not None:
            order.run.stop_acked_at = min(order.run.stop_acked_at, now)
        self._stray_stop_acked(order, now)

    def _log_starts(self, step: StepRun, orders_before: int, now: float) -> None:
        """Log the starts of a step's tasks in one line.

        Orders up to `orders_before` were given for other steps.
        """
        orders = self.orders[orders_before:]
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
                "fence": self.fencing_token,
                "waited_s": round(now - step.job.arrived_at, 3),
            },
        )

    def _copy_stragglers(self, usable: dict[str, Worker], now: float) -> None:
        """Start copies of slow speculative tasks, as far as there is room."""
        for step in self._open_steps.values():
            if not step.spec.speculative or step.spec.gang or step.spec.lasting:
                continue
            for task in step.tasks:
                if task.done or len(task.runs) != 1:
                    continue
                run = task.runs[0]
                if not self._is_straggler(run, now) or not self._may_be_copied(task):
                    continue
                if not self._may_start(step, now):
                    continue
                if self._needs_trial(task):
                    self._start_trial(task, usable, now, beside=run.worker)
                    continue
                others = [
                    worker
                    for worker in _permitted(step, usable, now)
                    if worker is not run.worker
                ]
                found = placing.place(step, task, others, self._reservations.free)
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
                self._start(task, found, task.last_run_number + 1, now)

    def _is_straggler(self, run: Run, now: float) -> bool:
        """Return whether a new run is expected to end well before this one."""
        step = run.task.step
        estimate_s = step.spec.estimate_s
        expectation = step.expectation if step.uses.copies else None
        if expectation is not None:
            estimate_s = expectation.median_s
        # Ends at the last report, not now, since the percentage dates from then.
        # Workers report when a run ends and about every second, but their reports are
        # late if this process is busy.
        elapsed_s = run.seen_at - run.sent_at
        if run.phase is not RunPhase.RUNNING:
            return False
        if not run.worker.reachable:
            return now - run.worker.clock_at > COPY_SILENT_S
        if elapsed_s < STRAGGLER_ELAPSED_FACTOR * estimate_s:
            return False
        # Total run time up to which a run is not slow for its kind, in seconds.
        usual_s = expectation.quantile_s(STRAGGLER_QUANTILE) if expectation else 0.0
        if run.percent < 1:
            return elapsed_s > max(2 * STRAGGLER_ELAPSED_FACTOR * estimate_s, usual_s)
        left_s = elapsed_s * (100 - run.percent) / run.percent
        return (
            left_s > STRAGGLER_REMAINING_FACTOR * estimate_s
            and elapsed_s + left_s > usual_s
        )

    def _plan_room(self, step: StepRun, now: float, may_preempt: bool) -> None:
        """Reserve room for a step that does not fit, and preempt less urgent runs.

        Nothing is preempted while more urgent steps wait for room: they would take it,
        and the step would preempt further runs again and again.
        """
        may_preempt = may_preempt and now >= step.preempts_after
        plan = self._plan_of(step, now, may_preempt)
        if plan is not None and not self._take_shares(step, plan.victims):
            plan = self._plan_of(step, now, may_preempt=False)
        if plan is None:
            step.plan_after = now + VAIN_SEARCH_PAUSE_S
            return
        self._plans[step.name] = plan
        self._reservations.reserve(step, plan.workers, now)
        if plan.victims:
            step.preempts_after = now + PREEMPTION_PAUSE_S * 2**step.preemptions
            step.preemptions += 1
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

    def _plan_of(self, step: StepRun, now: float, may_preempt: bool) -> Plan | None:
        return plan_room(
            step,
            self.workers.values(),
            self._reservations,
            now,
            may_preempt,
            self._shares,
        )

    def _check_workers(self, now: float) -> None:
        """Drop runs with expired leases, repeat stops and find stalled runs.

        An owner whose own lease may have expired drops no runs of unreachable workers:
        a later owner may be renewing their leases.
        """
        for worker in list(self.workers.values()):
            if not worker.reachable and worker.runs and worker.clock_at:
                if self.sole_owner:
                    self._expire_runs(worker, now)
            elif not worker.runs and not self.is_watched(worker, now):
                del self.workers[worker.worker_id]
                self._worker_dropped(worker)
            for run in list(worker.runs.values()):
                self._check_run(run, now)
            self._check_strays(worker, now)

    def _expire_runs(self, worker: Worker, now: float) -> None:
        """Drop an unreachable worker's runs if their leases have certainly expired."""
        for run in list(worker.runs.values()):
            if now > self._lost_at(run, now):
                self._expire_run(run, now, "lease lapsed on a silent worker")

    def _lost_at(self, run: Run, now: float) -> float:
        """Return when a run on a worker that does not answer has certainly ended."""
        lapsed_at = run.worker.leases_expired_at()
        if run.held_by == run.worker.born_ms:
            return lapsed_at
        return max(lapsed_at, self._expired_elsewhere_at(run, now))

    def _expired_elsewhere_at(self, run: Run, now: float) -> float:
        """Return when a run has expired that a later instance of its worker may hold.

        A deadline on the clock of the instance before it gives it the longest lease.
        """
        call = run.call
        if call is not None and call.has_ticket and run.worker.asked_at > call.sent_at:
            # An instance that has reported since then was up when the ticket was
            # issued, so that later ones refuse it.
            return float("-inf")
        expired_at = self.leases.lapsed_at(run.worker.later_grant_at(now))
        if call is None or run.confirmed_at <= now:
            return expired_at
        if call.has_ticket or run.task.step.spec.speculative:
            # Its ticket is rarely of an instance that this owner does not know.
            return max(expired_at, call.late_until)
        return max(expired_at, self.leases.lapsed_at(call.late_until))

    def _check_run(self, run: Run, now: float) -> None:
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
            self._count_worker_failure(run.worker, run.task.step.job.spec.job_id, now)
            self._stop(run, now)

    def _stalled(self, run: Run, now: float) -> bool:
        spec = run.task.step.spec
        if spec.lasting or spec.fills or spec.gang or run.percent >= 100:
            return False
        if not run.worker.reachable:
            return False
        return now - run.progressed_at > STALL_S + STALL_SHARE * spec.estimate_s

    def load(self, now: float) -> PartitionLoad:
        """Return the load, by which jobs are spread over the partitions of a group."""
        workers = [worker for worker in self.workers.values() if worker.usable(now)]
        demand = sum((worker.used for worker in workers), ZERO)
        for step in self._waiting:
            waiting = len(step.waiting(now))
            if waiting:
                demand = demand + step.need.times(waiting)
        capacity = largest = ZERO
        labels: set[str] = set()
        for worker in workers:
            capacity = capacity + worker.info.capacity
            largest = largest.maximum(worker.info.capacity)
            labels.update(worker.info.labels)
        return PartitionLoad(
            capacity, demand, largest, tuple(sorted(labels)), len(workers)
        )

    def summary(self, now: float) -> dict[str, t.Any]:
        """Return the load figures of the group, for logs and metrics."""
        workers = [worker for worker in self.workers.values() if not worker.gone]
        total = sum((worker.info.capacity for worker in workers), ZERO)
        used = sum((worker.used for worker in workers), ZERO)
        steps = self._waiting
        runs = [run for worker in workers for run in worker.runs.values()]
        confirmed = sum(run.confirmed_at <= now for run in runs)
        return {
            "workers": len(workers),
            "usable": sum(worker.usable(now) for worker in workers),
            "runs": confirmed,
            "unconfirmed": len(runs) - confirmed,
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

    def report_delays(
        self,
        now: float,
        has_authority: bool = True,
        can_call: t.Callable[[float], bool] = lambda cost_s: True,
    ) -> dict[DelayReason, DelayFigures]:
        """Log why tasks have waited for long, and return the figures by reason.

        Parameters
        ----------
        has_authority : bool
            Whether orders may be sent.
        can_call : callable
            Returns whether a call for advice that takes this many seconds can be made.
        """
        view = GroupView(
            now=now,
            steps=[step for step in self._open_steps.values() if self._ready(step)],
            workers=self.workers.values(),
            startable=self._startable_workers,
            suspects=self._suspects_until(now),
            reservations=self._reservations,
            has_authority=has_authority,
            is_ending=self.fenced or not self.accepts_starts,
            sole_owner=self.sole_owner,
            cap_detail=self._cap_detail,
            needs_trial=self._needs_trial,
            lost_at=lambda run: self._lost_at(run, now),
            lapsed_at=self.leases.lapsed_at,
            can_call=can_call,
            scans_left=MAX_DELAY_SCANS,
        )
        return self._delay_tracker.report(view)
