"""Handling of workers' store entries and of the runs that they report."""

import math
from dataclasses import replace

from ..logs import logger
from ..resources import ZERO
from .calls import SentCall
from .model import HoldReport, RunningRun, Suspect, WorkerInfo
from .orders import StopOrder
from .runtime import Run, RunPhase, Worker
from .strays import StrayHandler

__all__ = ["WorkerReportHandler"]


# A worker that has not answered for this many seconds is unresponsive. Nothing is
# started on a worker that does not answer, so all tasks that it may run are known by
# then.
UNRESPONSIVE_AFTER_S = 1.0


def _tasks_if_closed(worker: Worker, now: float) -> tuple[str, ...] | None:
    """Return all tasks that a worker may run if it is given no new ones, else None.

    That is a worker that is draining or unresponsive.
    """
    silent = not worker.reachable and now > worker.clock_at + UNRESPONSIVE_AFTER_S
    known = worker.synced and not worker.rejected_runs
    if not known or not (silent or worker.info.draining):
        return None
    return tuple(
        sorted(
            {run.task.name for run in worker.runs.values()}
            | {task for task, _ in worker.strays}
        )
    )


class WorkerReportHandler(StrayHandler):
    """Processes workers' entries and reports, and detects lost runs.

    Runs that an earlier owner of the group started are adopted: this owner continues
    them if their tasks still have to be run, and orders them to be stopped if not.
    """

    def worker_listed(self, info: WorkerInfo) -> Worker:
        """Process the entry of a worker, and return the worker.

        An entry may have been left by another writer. It does not prove that the worker
        has restarted, or has replaced another one; see `hold_answered`.
        """
        worker = self.workers.get(info.worker_id)
        if worker is None:
            worker = Worker(info, born_ms=info.born_ms)
            self.workers[info.worker_id] = worker
        elif not worker.clock_at:
            # It has not answered yet, so that only its entries tell its instance.
            worker.born_ms = info.born_ms
        if info.draining and not worker.info.draining:
            logger.info("worker leaves", extra={"worker": info.worker_id})
        worker.info = info
        worker.listed = True
        worker.gone = False
        return worker

    def worker_unlisted(self, worker_id: str, now: float) -> None:
        """Process the removal of a worker's entry.

        Its runs may continue, even if it was draining and refuses connections: a worker
        that is cut off does so, too, and its entry expires.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.listed = False
        logger.info(
            "worker unlisted",
            extra={
                "worker": worker_id,
                "draining": worker.info.draining,
                "reachable": worker.reachable,
                "runs": len(worker.runs),
                "leases_left_s": round(max(0.0, worker.leases_expired_at() - now), 3),
            },
        )

    def _drop_replaced(self, worker: Worker, now: float) -> None:
        """Mark the workers as gone at whose address or on whose machine this one runs.

        The worker has answered there under its own id.
        """
        for other in list(self.workers.values()):
            if other is worker or other.gone:
                continue
            same_machine = worker.info.machine and (
                other.info.machine == worker.info.machine
            )
            if other.info.address == worker.info.address or same_machine:
                other.listed = False
                self._mark_gone(other, f"replaced by {worker.worker_id}", now)

    def _reset_after_restart(
        self, worker: Worker, report: HoldReport, call: SentCall, now: float
    ) -> None:
        self._meters.count("poplaryard_worker_restarts_total")
        unconfirmed = sum(run.confirmed_at > now for run in worker.runs.values())
        logger.info(
            "worker restarted",
            extra={
                "worker": worker.worker_id,
                "born_ms": report.born_ms,
                "earlier_born_ms": worker.born_ms,
                "clock_s": report.clock_s,
                "unheard_s": round(now - worker.clock_at, 3),
                "runs": len(worker.runs),
                "unconfirmed": unconfirmed,
                "leases_left_s": round(worker.leases_expired_at() - now, 3),
                "open_calls": len(worker.open_calls.current(now)),
            },
        )
        self._drop_runs(worker, "worker restarted", now, self._keep_strays(worker, now))
        worker.strays_lapsed_at = self._strays_lapsed_at(worker, report, call, now)
        # The worker would forget ends of this instance that have not been reported.
        acks_until = worker.open_calls.acknowledgements_until(now)
        worker.paused_until = max(worker.paused_until, acks_until)
        worker.failed_jobs.clear()
        worker.ejections = 0
        worker.ejected_until = 0.0
        worker.unproven_grant_at = float("-inf")
        worker.later_seen_at = float("inf")
        worker.born_ms = report.born_ms
        worker.seen_seq = 0
        worker.acked_seq = 0
        worker.forgotten_seq = 0
        worker.clock_s = 0.0
        worker.latest_deadline_s = 0.0
        worker.synced = False

    def _strays_lapsed_at(
        self, worker: Worker, report: HoldReport, call: SentCall, now: float
    ) -> float:
        """Return when leases have lapsed that calls for earlier instances give.

        Parameters
        ----------
        report : HoldReport
            First report of a new instance of the worker.
        call : SentCall
            Call that it answers.
        """
        arrived_at = max(
            min(now, self._earlier_calls_until()),
            worker.unproven_grant_at,
            worker.open_calls.last_expired_grant_at(now),
        )
        lapsed_at = self.leases.lapsed_at(arrived_at)
        for sent in (call, *worker.open_calls.current(now)):
            if sent.deadline_s is None:
                continue
            arrives_at = now if sent is call else sent.late_until
            left_s = sent.deadline_s - report.clock_s
            until = self.leases.deadline_lapsed_at(arrives_at, left_s, now)
            lapsed_at = max(lapsed_at, until)
        return lapsed_at

    def _mark_gone(self, worker: Worker, reason: str, now: float) -> None:
        logger.info("worker gone", extra={"worker": worker.worker_id, "reason": reason})
        worker.gone = True
        self._drop_runs(worker, reason, now)
        self._drop_strays(worker)
        self._clear_suspect(worker.worker_id)

    def possible_run_holders(self, now: float) -> dict[str, Suspect]:
        """Return the workers that may hold runs, to be recorded for the next owner."""
        found = {
            worker.worker_id: Suspect(
                worker.info.address,
                worker.info.draining,
                _tasks_if_closed(worker, now),
                born_ms=worker.born_ms,
            )
            for worker in self.workers.values()
            if worker.runs or worker.strays or (worker.listed and not worker.gone)
        }
        return found | self._recorded_suspects(now)

    def _recorded_suspects(self, now: float) -> dict[str, Suspect]:
        """Return the suspects with the time that is left of their leases.

        This owner has not reached them, and so renews none of their leases.
        """
        return {
            name: replace(
                suspect,
                renewed=False,
                lapses_in_s=float(math.ceil(self._suspected_until[name] - now)),
            )
            for name, suspect in self._current_suspects(now).items()
        }

    def add_unlisted_suspect(self, worker_id: str, suspect: Suspect) -> Worker:
        """Add a worker that is no longer listed, so that it is asked for its runs."""
        info = WorkerInfo(
            worker_id,
            self.group,
            suspect.address,
            "",
            ZERO,
            (),
            draining=suspect.draining,
        )
        worker = Worker(info, listed=False)
        self.workers[worker_id] = worker
        return worker

    def is_watched(self, worker: Worker, now: float) -> bool:
        """Return whether to keep renewing the worker's leases.

        This is so while it is listed, answers or may hold runs, now or later.
        """
        if worker.gone or self.workers.get(worker.worker_id) is not worker:
            return False
        if worker.listed or worker.runs or worker.reachable or worker.strays:
            return True
        # A later instance may still carry these out.
        if worker.open_calls.current(now):
            return True
        return worker.worker_id in self._current_suspects(now)

    def allow_starts_on(self, worker_ids: set[str]) -> None:
        """Allow starts on these workers, which are recorded for the next owner."""
        self._startable_workers = worker_ids

    def _usable(self, now: float) -> list[Worker]:
        return [
            worker
            for worker in self.workers.values()
            if worker.worker_id in self._startable_workers and worker.usable(now)
        ]

    def hold_failed(
        self,
        worker: Worker,
        now: float,
        *,
        call: SentCall | None = None,
        refused: bool = False,
        other_instance: bool = False,
        fenced: bool = False,
    ) -> None:
        """Process a failed renewal of a worker's leases.

        Parameters
        ----------
        call : SentCall, optional
            Call that failed.
        refused : bool
            Whether the connection was refused. It does not prove that the worker has
            ended, only that the call was not sent.
        other_instance : bool
            Whether another instance of the worker, or another worker, answered.
        fenced : bool
            Whether the worker has seen a higher fencing token.
        """
        if fenced:
            self.fenced = True
        if call is not None and (refused or other_instance or fenced):
            worker.open_calls.discard(call)
        if worker.reachable:
            worker.silent_since = now
            logger.info(
                "worker unreachable",
                extra={"worker": worker.worker_id, "refused": refused},
            )
        worker.reachable = False
        if other_instance:
            self._mark_gone(worker, "another instance answered", now)

    def hold_answered(
        self, worker: Worker, report: HoldReport, call: SentCall, now: float
    ) -> None:
        """Process a worker's report, the answer to a call.

        A run that an incomplete report does not list may have ended, so that nothing is
        concluded from its absence.
        """
        sent_at = call.sent_at
        worker.open_calls.discard(call)
        if report.born_ms and worker.born_ms and report.born_ms != worker.born_ms:
            # Calls follow one after the other, so that no earlier instance answers. Its
            # start time may be earlier all the same, by its wall clock.
            self._reset_after_restart(worker, report, call, now)
        else:
            worker.forgotten_seq = max(worker.forgotten_seq, call.acknowledged)
        worker.born_ms = report.born_ms or worker.born_ms
        worker.disproved_born_ms = call.listed_born_ms
        if not worker.synced:
            self._drop_replaced(worker, now)
        if report.clock_s < worker.clock_s:
            return  # a later report was processed already
        if not worker.clock_at:
            started_at = self._started_at(worker.born_ms)
            worker.strays_lapsed_at = self.leases.strays_lapsed_at(started_at, now)
        if not worker.latest_deadline_s:
            # An earlier owner may have renewed the leases.
            worker.latest_deadline_s = report.clock_s + self.leases.given_s
        if sent_at >= worker.unproven_grant_at:
            worker.unproven_grant_at = float("-inf")
        if sent_at >= worker.later_seen_at:
            worker.later_seen_at = float("inf")
        worker.clock_s, worker.clock_at = report.clock_s, now
        worker.asked_at = max(worker.asked_at, sent_at)
        worker.reachable = True
        worker.gone = False
        self._check_end_numbers(worker, report)
        for ended in report.ended:
            if ended.seq > worker.seen_seq:
                worker.seen_seq = ended.seq
                self._run_ended(worker, ended, now)
                self._stray_ended(worker, ended)
        listed = {(running.task, running.run) for running in report.running}
        worker.rejected_runs &= listed
        for running in report.running:
            self._run_reported(worker, running, now)
        if report.complete:
            for run in list(worker.runs.values()):
                if run.key not in listed:
                    self._run_not_reported(run, sent_at, now)
            self._strays_reported(worker, listed, sent_at, now)
            self._clear_suspect(worker.worker_id)
            if not worker.synced:
                logger.info("worker synchronised", extra={"worker": worker.worker_id})
            worker.synced = True
        else:
            extra = {"worker": worker.worker_id, "last_end": worker.seen_seq}
            logger.info("worker has more ended runs than it lists", extra=extra)
        self._worker_survived(worker)

    def _check_end_numbers(self, worker: Worker, report: HoldReport) -> None:
        """Log ends that the worker no longer lists and that were never reported.

        A new owner cannot tell them from ends that an earlier owner acknowledged.
        """
        first = min((ended.seq for ended in report.ended), default=0)
        if worker.synced and first > worker.seen_seq + 1:
            logger.error(
                "ended runs were not reported",
                extra={
                    "worker": worker.worker_id,
                    "last_end": worker.seen_seq,
                    "next_end": first,
                    "acknowledged": worker.acked_seq,
                },
            )

    def _run_reported(self, worker: Worker, running: RunningRun, now: float) -> None:
        run = worker.runs.get((running.task, running.run))
        if run is None:
            run = self._adopt(worker, running, now)
            if run is None:
                worker.rejected_runs.add((running.task, running.run))
                stop = StopOrder(
                    worker, running.task, running.run, None, worker.born_ms
                )
                self.orders.append(stop)
                return
        elif run.confirmed_at > now:
            self._note_start(run, now)
        run.held_by = worker.born_ms
        if run.call is not None:
            worker.open_calls.discard(run.call)
        self._clear_crash(run)
        if run.phase in (RunPhase.SENDING, RunPhase.IN_DOUBT):
            run.phase = RunPhase.RUNNING
            run.confirmed_at = now
            run.progressed_at = now
            run.first_percent = running.percent
        if running.percent != run.percent:
            run.percent = running.percent
            run.progressed_at = now
        run.load = running.load
        run.seen_at = now
        if running.checkpoint:
            run.task.checkpoint = running.checkpoint

    def _adopt(self, worker: Worker, running: RunningRun, now: float) -> Run | None:
        """Take over a run of an earlier owner; return None if it must be stopped."""
        task = self._tasks.get(running.task)
        if task is None or task.done or task.step.job.progress.state.final:
            return None
        if task.runs and not task.step.spec.speculative:
            return None
        run = Run(task, running.run, worker, task.step.need, now)
        run.progressed_at = now
        run.from_start = False
        task.last_run_number = max(task.last_run_number, running.run)
        task.runs.append(run)
        task.step.job.started = True
        task.step.job.active_at = now
        self._add_run(run)
        return run

    def _run_not_reported(self, run: Run, sent_at: float, now: float) -> None:
        """Drop a run that is missing from a report requested at `sent_at`."""
        if run.confirmed_at < sent_at:
            self._start_lost(run, now, "no longer known to its worker")
        elif run.stop_acked_at < sent_at:
            self._start_lost(run, now, "stopped before it began")
            self._keep_late_start(run, now)
        elif run.call is not None and run.call.late_until < sent_at:
            run.task.avoid.add(run.worker.worker_id)
            self._start_lost(run, now, "can no longer begin")
