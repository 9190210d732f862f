"""What workers say of themselves and of their runs."""

from ..logs import logger
from ..resources import ZERO
from .ends import Ends
from .model import HoldReport, RunningRun, Suspect, WorkerInfo
from .orders import StopOrder
from .runtime import Run, RunPhase, Worker

__all__ = ["Reports"]


# A worker that has not answered for this long is given no new work, so the tasks that
# it may run are all known, in seconds.
SILENT_S = 1.0


def _tasks_if_silent(worker: Worker, now: float) -> tuple[str, ...] | None:
    """Return the tasks that a silent worker may run; None if more may be added."""
    known = worker.synced and not worker.foreign
    if worker.reachable or not known or now <= worker.clock_at + SILENT_S:
        return None
    return tuple(sorted({run.task.name for run in worker.runs.values()}))


class Reports(Ends):
    """Takes entries and reports of workers in; adopts and gives up runs."""

    def worker_listed(self, info: WorkerInfo, now: float) -> Worker:
        """Take the entry that a worker wrote of itself."""
        worker = self.workers.get(info.worker_id)
        if worker is None:
            worker = Worker(info, born_ms=info.born_ms)
            self.workers[info.worker_id] = worker
            self._replace_at(worker, now)
        elif info.born_ms and worker.born_ms and info.born_ms > worker.born_ms:
            self._new_life(worker, info.born_ms, now)
        if info.draining and not worker.info.draining:
            logger.info("worker leaves", extra={"worker": info.worker_id})
        worker.info = info
        worker.listed = True
        worker.gone = False
        return worker

    def worker_unlisted(self, worker_id: str, now: float) -> None:
        """Take the removal of a worker's entry; its runs may go on."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.listed = False
        if worker.info.draining and worker.refused:
            self._lost(worker, "left after draining", now)

    def _replace_at(self, worker: Worker, now: float) -> None:
        """Drop workers that this one has replaced: same address or same machine."""
        for other in list(self.workers.values()):
            if other is worker or other.gone:
                continue
            same_machine = worker.info.machine and (
                other.info.machine == worker.info.machine
            )
            if other.info.address == worker.info.address or same_machine:
                other.listed = False
                self._lost(other, f"replaced by {worker.worker_id}", now)

    def _new_life(self, worker: Worker, born_ms: int, now: float) -> None:
        self._drop_runs(worker, "worker restarted", now)
        worker.born_ms = born_ms
        worker.seen_seq = 0
        worker.acked_seq = 0
        worker.clock_s = 0.0
        worker.granted_s = 0.0
        worker.synced = False

    def _lost(self, worker: Worker, reason: str, now: float) -> None:
        logger.info("worker gone", extra={"worker": worker.worker_id, "reason": reason})
        worker.gone = True
        self._clear_suspect(worker.worker_id)
        self._drop_runs(worker, reason, now)

    def _drop_runs(self, worker: Worker, reason: str, now: float) -> None:
        """Free the runs of a worker that certainly no longer exist."""
        for run in list(worker.runs.values()):
            self._run_gone(run, now, reason)
        worker.foreign.clear()

    def may_hold_work(self, now: float) -> dict[str, Suspect]:
        """Return the workers that a later owner has to hear of."""
        found = {
            worker.worker_id: Suspect(
                worker.info.address,
                worker.info.draining,
                _tasks_if_silent(worker, now),
            )
            for worker in self.workers.values()
            if worker.runs or (worker.listed and not worker.gone)
        }
        return found | self._open_suspects(now)

    def suspect_unlisted(self, worker_id: str, suspect: Suspect) -> Worker:
        """Ask a worker that is not listed any more for what it may still hold."""
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
        """Whether a worker's reports matter: it is listed, or may hold runs."""
        if worker.gone:
            return False
        if worker.listed or worker.runs or worker.reachable:
            return True
        return worker.worker_id in self._open_suspects(now)

    def allow_starts_on(self, worker_ids: set[str]) -> None:
        """Start tasks only on these workers: a later owner will hear of them."""
        self._kept = worker_ids

    def _usable(self, now: float) -> list[Worker]:
        return [
            worker
            for worker in self.workers.values()
            if worker.worker_id in self._kept and worker.usable(now)
        ]

    def hold_failed(
        self,
        worker: Worker,
        now: float,
        *,
        refused: bool = False,
        other_instance: bool = False,
        fenced: bool = False,
    ) -> None:
        """Take a failed renewal of a worker's leases."""
        if fenced:
            self.fenced = True
        if worker.reachable:
            logger.info(
                "worker unreachable",
                extra={"worker": worker.worker_id, "refused": refused},
            )
        worker.reachable = False
        worker.refused = refused
        if other_instance or (refused and worker.info.draining and not worker.listed):
            self._lost(
                worker, "another life answered" if other_instance else "left", now
            )

    def hold_answered(
        self, worker: Worker, report: HoldReport, sent_at: float, now: float
    ) -> None:
        """Take a worker's lists of runs, asked for at `sent_at`."""
        if report.born_ms and worker.born_ms and report.born_ms != worker.born_ms:
            if report.born_ms < worker.born_ms:
                return
            self._new_life(worker, report.born_ms, now)
        worker.born_ms = report.born_ms or worker.born_ms
        if report.clock_s < worker.clock_s:
            return  # an older answer, overtaken by a later one
        if not worker.synced:
            logger.info("worker synchronised", extra={"worker": worker.worker_id})
        worker.clock_s, worker.clock_at = report.clock_s, now
        worker.synced = worker.reachable = True
        worker.gone = False
        self._clear_suspect(worker.worker_id)
        for ended in report.ended:
            if ended.seq > worker.seen_seq:
                worker.seen_seq = ended.seq
                self._ended(worker, ended, now)
        listed = {(running.task, running.run) for running in report.running}
        worker.foreign &= listed
        for running in report.running:
            self._running(worker, running, now)
        for run in list(worker.runs.values()):
            if run.key not in listed:
                self._not_listed(run, sent_at, now)

    def _running(self, worker: Worker, running: RunningRun, now: float) -> None:
        run = worker.runs.get((running.task, running.run))
        if run is None:
            run = self._adopt(worker, running, now)
            if run is None:
                worker.foreign.add((running.task, running.run))
                stop = StopOrder(worker, running.task, running.run, None)
                self.orders.append(stop)
                return
        if run.phase in (RunPhase.SENDING, RunPhase.IN_DOUBT):
            run.phase = RunPhase.RUNNING
            run.confirmed_at = now
            run.moved_at = now
            run.first_percent = running.percent
        if running.percent != run.percent:
            run.percent = running.percent
            run.moved_at = now
        run.load = running.load
        run.seen_at = now
        if running.checkpoint:
            run.task.checkpoint = running.checkpoint

    def _adopt(self, worker: Worker, running: RunningRun, now: float) -> Run | None:
        """Take over a run that an earlier owner started; None if it must end."""
        task = self._tasks.get(running.task)
        if task is None or task.done or task.step.job.progress.state.final:
            return None
        if task.runs and not task.step.spec.speculative:
            return None
        run = Run(task, running.run, worker, task.step.need, now)
        run.moved_at = now
        run.whole = False
        task.run = max(task.run, running.run)
        task.runs.append(run)
        task.step.job.started = True
        task.step.job.active_at = now
        worker.add(run)
        return run

    def _not_listed(self, run: Run, sent_at: float, now: float) -> None:
        """Judge a run that the worker neither runs nor lists as ended."""
        if run.confirmed_at < sent_at:
            self._run_gone(run, now, "no longer known to its worker")
        elif run.stop_acked_at < sent_at:
            self._run_gone(run, now, "stopped before it began")
