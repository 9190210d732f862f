"""Starts without an answer that a later instance of their worker may carry out."""

from dataclasses import dataclass

from ..logs import logger
from .calls import SentCall
from .crashes import CrashHandler
from .model import EndedRun
from .orders import StopOrder
from .runtime import Run, Worker

__all__ = ["StrayHandler"]

# Time after which an unconfirmed order to stop is repeated, in seconds.
STOP_RETRY_S = 0.6


@dataclass(slots=True, eq=False)
class Stray:
    """Start without an answer that was ordered to be stopped and may be late.

    Attributes
    ----------
    worker : Worker
    call : SentCall
        Call that has not been answered.
    key : tuple
        Key of the run that it starts.
    stop_sent_at, stop_acked_at : float
        Times of the last order to stop it at the present instance, and of its first
        confirmation; minus infinity and infinity without one.
    settled : bool
        Whether the present instance has confirmed the stop and does not run it. A later
        one may still do so.
    """

    worker: Worker
    call: SentCall
    key: tuple[str, int]
    stop_sent_at: float = float("-inf")
    stop_acked_at: float = float("inf")
    settled: bool = False


class StrayHandler(CrashHandler):
    """Keeps starts that may be carried out late from running beside, or after, others.

    A worker that restarts under its id does not know what the instance before was told
    to stop. Until the start can no longer arrive, its task starts nowhere, or, if it
    lasts, only on this worker. An instance that has not confirmed the stop gets no
    tasks at all.

    A start with a ticket is refused by later instances than the one that has confirmed
    the stop. Steps with speculative copies may run twice.
    """

    def _keep_late_start(self, run: Run, now: float) -> None:
        """Note that a run was stopped before it began, and may be started later."""
        worker, call = run.worker, run.call
        if call is None or not worker.open_calls.contains(call, now):
            return
        stray = Stray(
            worker, call, run.key, run.stop_sent_at, stop_acked_at=run.stop_acked_at
        )
        self._add_stray(stray)
        self._settle(stray, now)

    def _keep_strays(self, worker: Worker, now: float) -> list[Run]:
        """Return the runs that may have reached the next instance, or still may.

        What an earlier instance has confirmed does not count for the next one.
        """
        runs = [run for run in worker.runs.values() if run.held_by != worker.born_ms]
        for run in runs:
            run.stop_acked_at = float("inf")
            run.stop_sent_at = float("-inf")
        for stray in worker.strays.values():
            stray.stop_sent_at, stray.stop_acked_at = float("-inf"), float("inf")
            stray.settled = False
        for call in worker.open_calls.current(now):
            if call.run is None or call.refused_later:
                continue
            if call.run not in worker.runs and call.run not in worker.strays:
                self._add_stray(Stray(worker, call, call.run))
        return runs

    def _add_stray(self, stray: Stray) -> None:
        stray.worker.strays[stray.key] = stray
        task = self._tasks.get(stray.key[0])
        if task is not None:
            task.strays.append(stray)
            task.late_starts += 1

    def _settle(self, stray: Stray, now: float) -> None:
        """Note that the present instance refuses a start."""
        if stray.settled:
            return
        if stray.call.has_ticket:
            stray.call.refused_later = True
        task = self._tasks.get(stray.key[0])
        if stray.call.has_ticket or task is None or task.step.spec.speculative:
            self._drop_stray(stray)
            return
        stray.settled = True
        worker = stray.worker
        task.avoid.add(worker.worker_id)
        self._count_worker_failure(worker, task.step.job.spec.job_id, now)
        self._meters.count("poplaryard_late_starts_total")
        logger.info(
            "task waits for a late start",
            extra={
                "request": task.step.job.spec.job_id,
                "task": task.name,
                "run": stray.key[1],
                "worker": worker.worker_id,
                "left_s": round(stray.call.late_until - now, 3),
            },
        )

    def _check_strays(self, worker: Worker, now: float) -> None:
        """Repeat orders to stop, and drop starts that certainly don't run any more.

        A start that arrives at the last moment gets the longest lease.
        """
        for stray in list(worker.strays.values()):
            if now >= self.leases.lapsed_at(stray.call.late_until):
                self._drop_stray(stray)
            elif stray.stop_acked_at > now > stray.stop_sent_at + STOP_RETRY_S:
                stray.stop_sent_at = now
                order = StopOrder(worker, *stray.key, None, worker.born_ms)
                self.orders.append(order)

    def _stray_stop_acked(self, order: StopOrder, now: float) -> None:
        stray = order.worker.strays.get((order.task, order.number))
        if stray is not None:
            stray.stop_acked_at = min(stray.stop_acked_at, now)

    def _stray_ended(self, worker: Worker, ended: EndedRun) -> None:
        """Drop a start that the present instance has carried out."""
        stray = worker.strays.get((ended.task, ended.run))
        if stray is not None:
            worker.open_calls.discard(stray.call)
            self._drop_stray(stray)

    def _strays_reported(
        self, worker: Worker, listed: set[tuple[str, int]], sent_at: float, now: float
    ) -> None:
        """Process a report requested at `sent_at` for the starts that may be late."""
        for stray in list(worker.strays.values()):
            if stray.key in worker.runs:
                worker.open_calls.discard(stray.call)
                self._drop_stray(stray)
            elif stray.key in listed:
                continue
            elif stray.call.late_until < sent_at:
                self._drop_stray(stray)
            elif stray.stop_acked_at < sent_at:
                self._settle(stray, now)

    def _drop_strays(self, worker: Worker) -> None:
        for stray in list(worker.strays.values()):
            self._drop_stray(stray)

    def _drop_stray(self, stray: Stray) -> None:
        del stray.worker.strays[stray.key]
        task = self._tasks.get(stray.key[0])
        if task is not None and stray in task.strays:
            task.strays.remove(stray)
            if not task.strays:
                task.late_starts = 0
