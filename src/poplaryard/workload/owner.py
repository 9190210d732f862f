"""Carries out the decisions for one group of workers."""

import asyncio
import functools
import typing as t
from dataclasses import dataclass

import msgspec

from ..clock import Clock
from ..exceptions import LeaseLost, StoreDown, StoreReplyLost, WorkerUnreachable
from ..logs import logger
from . import records
from .advice import SLOW_S, AdviceLines, Line
from .membership import GRACE_S, LEASE_TTL_S, ProcessLease
from .meters import Meters
from .model import (
    HoldReport,
    JobSpec,
    JobState,
    StartOutcome,
    Suspect,
    WorkerInfo,
)
from .partition import AdviceRequest, Partition, StartOrder, StopOrder
from .runtime import CLOCK_DRIFT, LAPSE_SLACK_S, Worker
from .storage import Change, Storage, Transaction
from .watching import PrefixWatcher

__all__ = ["GroupOwner", "OwnerLimits", "WorkerCalls"]

# Longest time between two looks at what is due, in seconds.
TICK_S = 0.1
# Least time between two looks, in seconds, and how many times as long as the last one
# took. Events that come meanwhile are taken together; under a backlog, looks would
# otherwise leave no time to renew leases.
LOOK_GAP_S = 0.005
LOOK_GAP_SHARE = 3.0
# Ends of tasks that do not end their job are written together after this long, in
# seconds. The worker lists them again until then, so renewals pause meanwhile.
NOTE_DELAY_S = 0.04
# Longest pause of the renewals of a worker whose ends are not written yet, in seconds.
ENDS_KEPT_S = 0.25
# Entries that one transaction may have, and those that are needed to order them.
TRANSACTION_ENTRIES = 32
ORDER_ENTRIES = 3
# Time that a start has to reach its worker, in seconds. A start that arrives later is
# refused there, so an order that was held up does not run unexpectedly.
START_WINDOW_S = 1.6
# Pause between failed renewals of a worker's leases.
HOLD_RETRY_S = 0.15
# Runs per worker beside which a renewal waits for an end, in seconds.
HOLD_WAIT_S = 1.0
# Finished jobs are removed from the store this long after callers may ask for them.
FORGET_SLACK_S = 30.0
FORGET_EVERY_S = 15.0
# Time between two reads of new jobs and cancellations, in seconds. Processes also
# tell the owner of the jobs that they store; the watch finds what got lost on the way.
JOBS_BATCH_S = 0.1
# Time between two log lines on the state of a group, in seconds.
SUMMARY_EVERY_S = 2.0
# Time between two looks for workers that are gone, in seconds.
PRUNE_EVERY_S = 1.0
FORGET_BATCH = 10


class WorkerCalls(t.Protocol):
    """Calls to workers; see `poplaryard.platform.WorkerClient`."""

    async def start(
        self,
        worker: WorkerInfo,
        task: str,
        run: int,
        payload: str,
        deadline_s: float,
        fence: int,
        checkpoint: str = "",
        ticket: str = "",
    ) -> StartOutcome:
        """Order a worker to start a run."""

    async def stop(self, worker: WorkerInfo, task: str, run: int, fence: int) -> bool:
        """Order a worker to stop a run."""

    async def hold(
        self,
        worker: WorkerInfo,
        fence: int,
        acknowledged: int,
        deadline_s: float | None,
        wait_s: float,
    ) -> HoldReport:
        """Renew the leases of a worker's runs and return what it reports."""


@dataclass(frozen=True, slots=True)
class OwnerLimits:
    """Bounds that the deployment sets, in seconds.

    Attributes
    ----------
    hold_s : float
        Lease that workers are given for their runs.
    keep_s : float
        Time for which callers may ask for a finished job.
    """

    hold_s: float
    keep_s: float
    early_s: float = 0.0

    def quarantine_s(self) -> float:
        """Return how long a silent worker may hold runs of an earlier owner."""
        longest_lease_s = self.hold_s / (1 - CLOCK_DRIFT)
        return LEASE_TTL_S + GRACE_S + longest_lease_s + LAPSE_SLACK_S


def _open(workers: dict[str, Suspect]) -> set[str]:
    """Return the workers that may be given any task."""
    return {name for name, found in workers.items() if found.tasks is None}


def _release(line: Line, slow: bool, _: "asyncio.Task[t.Any]") -> None:
    line.release(slow)


class GroupOwner:
    """Owner of one group of workers, from its claim until it is closed.

    Parameters
    ----------
    claim : Item
        The owner's key in the store.
    lease : ProcessLease
    workers : dict of str to WorkerInfo
        Workers listed in the store when it took over.
    """

    def __init__(
        self,
        group: str,
        claim_revision: int,
        storage: Storage,
        calls: WorkerCalls,
        lines: AdviceLines,
        lease: ProcessLease,
        clock: Clock,
        limits: OwnerLimits,
        meters: Meters | None = None,
    ):
        self.group = group
        self._meters = meters or Meters()
        self.closed = asyncio.Event()
        self.revision = claim_revision
        self._storage = storage
        self._calls = calls
        self._lines = lines
        self._lease = lease
        self._clock = clock
        self._limits = limits
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._holds: dict[str, asyncio.Task[t.Any]] = {}
        self._wake = asyncio.Event()
        self._notes_wake = asyncio.Event()
        self._writing = asyncio.Lock()
        self._listing = asyncio.Lock()
        self._sequence = 0
        self._noted = asyncio.Event()
        self._known_workers: dict[str, Suspect] = {}
        self._orders_in_flight = 0
        self._summary_at = clock.now() + SUMMARY_EVERY_S
        self._prune_at = clock.now() + PRUNE_EVERY_S
        self._forget_at = clock.now() + FORGET_EVERY_S
        self.partition: Partition | None = None
        self.loaded = False

    async def start(self, workers: dict[str, WorkerInfo]) -> None:
        """Load the group's jobs and begin to schedule them."""
        began = self._clock.now()
        sequence = await self._storage.get(records.sequence_key(self.group))
        self._sequence = sequence.revision if sequence is not None else 0
        suspects = await self._suspects()
        silent = {name for name, found in suspects.items() if found.tasks is not None}
        progress, _ = await self._storage.scan(records.progress_prefix(self.group))
        now = self._clock.now()
        self.partition = Partition(
            self.group,
            self.revision,
            self._clock.wall() - now,
            began + self._limits.quarantine_s(),
            suspects,
            self._limits.early_s,
            self._meters,
        )
        self._known_workers = suspects
        self._progress = {item.key: item.value for item in progress}
        watch = PrefixWatcher(
            self._storage,
            records.job_prefix(self.group),
            self._job_changed,
            pause_s=JOBS_BATCH_S,
        )
        await watch.reload()
        self._progress.clear()
        await self._keep_workers(set(workers) - silent)
        self.partition.allow_starts_on(_open(self._known_workers))
        self.loaded = True
        self._meters.count("poplaryard_owner_changes_total", "taken over")
        self._meters.observe("poplaryard_take_over_seconds", self._clock.now() - began)
        for name, suspect in suspects.items():
            if name not in workers and suspect.address:
                self._hold(self.partition.suspect_unlisted(name, suspect))
        for info in workers.values():
            self.worker_listed(info)
        logger.info(
            "group taken over",
            extra={
                "group": self.group,
                "fence": self.revision,
                "jobs": len(self.partition.jobs),
                "suspects": len(suspects),
                "took_s": round(self._clock.now() - began, 3),
            },
        )
        for loop in (watch.run(), self._advance_loop(), self._notes_loop()):
            self._spawn(loop)

    async def close(self) -> None:
        """Stop giving orders; let those on their way be answered."""
        if self.partition is not None:
            self.partition.accepts_starts = False
        for _ in range(20):
            if not self._orders_in_flight:
                break
            await asyncio.sleep(0.01)
        self.abandon()

    def abandon(self) -> None:
        """Stop at once, as when another process owns the group."""
        if not self.closed.is_set():
            self._meters.count("poplaryard_owner_changes_total", "given up")
            logger.info("group given up", extra={"group": self.group})
        self.closed.set()
        for task in [*self._tasks, *self._holds.values()]:
            task.cancel()

    def state(self, job_id: str) -> JobState | None:
        """Return the state of a job, or None if it is not known here."""
        if self.partition is None or job_id not in self.partition.jobs:
            return None
        return self.partition.jobs[job_id].state

    def pending(self, queue: str) -> int | None:
        """Return the number of a queue's jobs of which nothing has started."""
        if self.partition is None or not self.loaded:
            return None
        return self.partition.pending(queue)

    # Workers

    def worker_listed(self, info: WorkerInfo) -> None:
        """Take the entry of a worker.

        Nothing is asked of workers before the jobs are loaded: ends of tasks that are
        not known yet would be acknowledged and forgotten.
        """
        if self.partition is None or not self.loaded:
            return
        self._hold(self.partition.worker_listed(info, self._clock.now()))

    def _hold(self, worker: Worker) -> None:
        name = worker.worker_id
        if name not in self._holds:
            task = asyncio.create_task(self._hold_loop(worker))
            self._holds[name] = task
            task.add_done_callback(lambda _: self._holds.pop(name, None))
            task.add_done_callback(self._log_end)

    def worker_unlisted(self, worker_id: str) -> None:
        """Take the removal of a worker's entry."""
        if self.partition is not None:
            self.partition.worker_unlisted(worker_id, self._clock.now())
            self._wake.set()

    async def _hold_loop(self, worker: Worker) -> None:
        """Renew a worker's leases for as long as it may hold runs."""
        partition = t.cast(Partition, self.partition)
        while partition.is_watched(worker, self._clock.now()):
            if not self._lease.has_authority():
                await asyncio.sleep(HOLD_RETRY_S)
                continue
            sent_at = self._clock.now()
            reachable = worker.reachable
            deadline = None
            if reachable:
                deadline = worker.clock_now(sent_at) + self._limits.hold_s
                worker.granted_s = max(worker.granted_s, deadline)
            acked = worker.acked_seq
            wait_s = HOLD_WAIT_S if reachable and worker.synced else 0.0
            try:
                report = await self._calls.hold(
                    worker.info, self.revision, acked, deadline, wait_s
                )
            except WorkerUnreachable as exc:
                partition.hold_failed(
                    worker,
                    self._clock.now(),
                    refused=exc.refused,
                    other_instance=exc.other_instance,
                    fenced=exc.fenced,
                )
                self._wake.set()
                await asyncio.sleep(HOLD_RETRY_S)
                continue
            partition.hold_answered(worker, report, sent_at, self._clock.now())
            if worker.listed and not self._open_to_work(worker.worker_id):
                await self._keep_workers({worker.worker_id})
            self._changed()
            if worker.acked_seq < worker.seen_seq:
                await self._ends_kept()
        logger.info("worker dropped", extra={"worker": worker.worker_id})

    async def _ends_kept(self) -> None:
        """Wait until ends are written: a worker answers at once while it has some."""
        try:
            await asyncio.wait_for(self._noted.wait(), ENDS_KEPT_S)
        except TimeoutError:
            return

    async def _suspects(self) -> dict[str, Suspect]:
        item = await self._storage.get(records.workers_key(self.group))
        if item is None:
            return {}
        try:
            return records.decode_workers(item.value)
        except msgspec.DecodeError as exc:
            logger.error("unreadable list of workers", extra={"reason": str(exc)})
            return {}

    def _open_to_work(self, worker_id: str) -> bool:
        """Whether a later owner knows that the worker may hold any task."""
        known = self._known_workers.get(worker_id)
        return known is not None and known.tasks is None

    async def _keep_workers(self, added: set[str]) -> None:
        """Write which workers may hold work before any is started on new ones."""
        while not all(map(self._open_to_work, added)):
            if not await self._write_workers(added):
                await asyncio.sleep(HOLD_RETRY_S)

    async def _list_workers(self) -> None:
        """List workers that came back, and take off those that are gone.

        A later owner waits for all that are listed.
        """
        partition = t.cast(Partition, self.partition)
        if self._known_workers != partition.may_hold_work(self._clock.now()):
            await self._write_workers(set())

    async def _write_workers(self, added: set[str]) -> bool:
        partition = t.cast(Partition, self.partition)
        async with self._listing:
            wanted = partition.may_hold_work(self._clock.now())
            for name in added:
                found = wanted.get(name, Suspect())
                wanted[name] = Suspect(found.address, found.draining)
            both = {name for name in wanted if self._open_to_work(name)}
            partition.allow_starts_on(_open(wanted) & both)
            transaction = self._owned()
            value = records.encode(wanted)
            transaction.puts.append((records.workers_key(self.group), value, 0))
            if not await self._commit(transaction):
                return False
            self._known_workers = wanted
            partition.allow_starts_on(_open(wanted))
            return True

    # Decisions

    async def _advance_loop(self) -> None:
        partition = t.cast(Partition, self.partition)
        while True:
            now = self._clock.now()
            if self._lease.has_authority():
                partition.sole_owner = self._lease.has_lease()
                partition.advance(now)
                self._send_orders()
                self._ask_advice(now)
            if partition.fenced:
                logger.warning("fenced by a later owner", extra={"group": self.group})
                self.abandon()
                return
            took_s = self._clock.now() - now
            await asyncio.sleep(max(LOOK_GAP_S, LOOK_GAP_SHARE * took_s))
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), TICK_S)
            except TimeoutError:
                continue

    def _send_orders(self) -> None:
        partition = t.cast(Partition, self.partition)
        orders, partition.orders = partition.orders, []
        for order in orders:
            if isinstance(order, StartOrder):
                self._spawn(self._send_start(order))
            else:
                self._spawn(self._send_stop(order))

    async def _send_start(self, order: StartOrder) -> None:
        partition = t.cast(Partition, self.partition)
        run = order.run
        worker = run.worker
        now = self._clock.now()
        deadline = worker.clock_now(now) + START_WINDOW_S
        worker.granted_s = max(worker.granted_s, deadline)
        self._orders_in_flight += 1
        try:
            outcome = await self._calls.start(
                worker.info,
                run.task.name,
                run.number,
                run.task.step.job.spec.payload,
                deadline,
                self.revision,
                order.checkpoint,
                order.ticket,
            )
        finally:
            self._orders_in_flight -= 1
        partition.start_answered(run, outcome, self._clock.now())
        if outcome is not StartOutcome.STARTED:
            self._wake.set()

    async def _send_stop(self, order: StopOrder) -> None:
        partition = t.cast(Partition, self.partition)
        acked = await self._calls.stop(
            order.worker.info, order.task, order.number, self.revision
        )
        if order.run is not None:
            partition.stop_answered(order.run, acked, self._clock.now())

    def _ask_advice(self, now: float) -> None:
        partition = t.cast(Partition, self.partition)
        lines = {slow: self._lines.pick(slow, now) for slow in (False, True)}

        def fits(cost_s: float) -> bool:
            return lines[cost_s > SLOW_S] is not None

        for request in partition.advice_wanted(now, fits):
            slow = request.cost_s > SLOW_S
            line = t.cast(Line, lines[slow])
            self._lines.take(line, slow, now)
            task = self._spawn(self._advise(line, request))
            task.add_done_callback(functools.partial(_release, line, slow))
            lines = {kind: self._lines.pick(kind, now) for kind in (False, True)}

    async def _advise(self, line: Line, request: AdviceRequest) -> None:
        partition = t.cast(Partition, self.partition)
        sent_at = self._clock.now()
        tickets, until = None, 0.0
        try:
            answer = await self._lines.ask(
                line,
                request.step.name,
                list(request.workers),
                request.cost_s,
                self._clock.now,
            )
            if answer is not None:
                tickets, life_s = answer
                until = sent_at + request.cost_s + life_s
        finally:
            now = self._clock.now()
            partition.advice_answered(request, tickets, until, now)
            self._wake.set()
            outcome = "refused" if tickets is None else "answered"
            self._meters.count("poplaryard_advice_total", outcome)
            logger.info(
                "advice answered" if tickets is not None else "advice refused",
                extra={
                    "request": request.step.job.spec.job_id,
                    "step": request.step.name,
                    "queue": request.step.job.spec.queue,
                    "line": line.name,
                    "asked": len(request.workers),
                    "good": len(tickets or ()),
                    "expected_s": round(request.cost_s, 3),
                    "took_s": round(now - sent_at, 3),
                },
            )

    # The store

    def _job_changed(self, change: Change) -> None:
        partition = t.cast(Partition, self.partition)
        name = change.key.removeprefix(records.job_prefix(self.group))
        if change.item is None:
            return
        now = self._clock.now()
        self._wake.set()
        if name.endswith(records.CANCEL_SUFFIX):
            partition.cancel(name.removesuffix(records.CANCEL_SUFFIX), now)
            self._changed()
            return
        try:
            spec = records.decode_job(change.item.value)
            kept = self._progress.get(records.progress_key(self.group, name))
            progress = records.decode_progress(kept) if kept else None
        except msgspec.DecodeError as exc:
            extra = {"request": name, "reason": str(exc)}
            logger.error("unreadable job in the store", extra=extra)
            return
        if spec.job_id in partition.jobs:
            return
        fresh = change.revision > self.revision
        if progress is None or not progress.state.final:
            self._log_job(spec, fresh)
        partition.add_job(spec, now, fresh, progress)

    def stored(self, stored: records.StoredJobs) -> None:
        """Take what a process has stored, before the watch reports it."""
        if self.partition is None or not self.loaded:
            return
        now = self._clock.now()
        for spec in stored.specs:
            known = spec.job_id in self.partition.jobs
            if not known and stored.revision > self.revision:
                self._log_job(spec, True)
                self.partition.add_job(spec, now, True)
                self._wake.set()
        for job_id in stored.cancelled:
            self.partition.cancel(job_id, now)
            self._changed()

    def _log_job(self, spec: JobSpec, fresh: bool) -> None:
        logger.info(
            "job taken",
            extra={
                "request": spec.job_id,
                "queue": spec.queue,
                "steps": len(spec.steps),
                "tasks": sum(step.count for step in spec.steps),
                "chain_s": round(spec.critical_path_s(), 3),
                "fresh": fresh,
            },
        )

    async def _notes_loop(self) -> None:
        partition = t.cast(Partition, self.partition)
        while True:
            if not partition.progress_urgent:
                await self._pause_notes()
            now = self._clock.now()
            if partition.has_unwritten_progress and not await self._write_notes():
                await asyncio.sleep(HOLD_RETRY_S)
            if now >= self._summary_at:
                self._summary_at = now + SUMMARY_EVERY_S
                figures = partition.summary(now)
                logger.info("group state", extra={"group": self.group, **figures})
                for name, value in figures.items():
                    labels = {"group": self.group, "figure": name}
                    self._meters.set("poplaryard_group", labels, value)
            if now >= self._prune_at:
                self._prune_at = now + PRUNE_EVERY_S
                await self._list_workers()
            if now >= self._forget_at:
                self._forget_at = now + FORGET_EVERY_S
                await self._forget()

    async def _pause_notes(self) -> None:
        """Wait for an urgent note, or for the time to look for others."""
        self._notes_wake.clear()
        try:
            await asyncio.wait_for(self._notes_wake.wait(), NOTE_DELAY_S)
        except TimeoutError:
            return

    def _changed(self) -> None:
        """Look at what can be started or has to be written now."""
        self._wake.set()
        if self.partition is not None and self.partition.progress_urgent:
            self._notes_wake.set()

    async def _write_notes(self) -> bool:
        partition = t.cast(Partition, self.partition)
        notes = partition.take_progress()
        began = self._clock.now()
        entries = [
            (records.progress_key(self.group, job_id), value, 0)
            for job_id, value in notes.progress.items()
        ]
        size = TRANSACTION_ENTRIES - ORDER_ENTRIES
        for begin in range(0, len(entries), size):
            transaction = self._owned()
            transaction.puts = entries[begin : begin + size]
            if not await self._commit(transaction):
                partition.progress_not_written(notes)
                return False
        partition.progress_written(notes)
        self._meters.observe("poplaryard_note_seconds", self._clock.now() - began)
        self._noted.set()
        self._noted.clear()
        return True

    async def _forget(self) -> None:
        """Remove jobs that ended long ago from the store."""
        partition = t.cast(Partition, self.partition)
        before = self._clock.wall() - self._limits.keep_s - FORGET_SLACK_S
        old = partition.forget_finished(before)
        for begin in range(0, len(old), FORGET_BATCH):
            transaction = self._owned()
            for job_id in old[begin : begin + FORGET_BATCH]:
                transaction.removes += [
                    records.job_key(self.group, job_id),
                    records.cancel_key(self.group, job_id),
                    records.progress_key(self.group, job_id),
                ]
            await self._commit(transaction)

    def _owned(self) -> Transaction:
        """Return a transaction that only succeeds for the present owner."""
        return Transaction(expected={records.claim_key(self.group): self.revision})

    async def _commit(self, transaction: Transaction) -> bool:
        """Write as the owner, after the owner's earlier writes.

        A write without an answer may be carried out seconds later. Every write replaces
        the sequence key and requires its last revision, so a late one fails instead of
        undoing newer progress.
        """
        async with self._writing:
            key = records.sequence_key(self.group)
            transaction.expected[key] = self._sequence
            transaction.puts.append((key, b"", 0))
            try:
                found = await self._storage.commit(transaction)
            except (StoreDown, StoreReplyLost, LeaseLost) as exc:
                extra = {"group": self.group, "reason": exc.detail}
                logger.warning("write failed", extra=extra)
                return False
            if isinstance(found, int):
                self._sequence = found
                return True
            present = {item.key: item.revision for item in found if item is not None}
            if present.get(records.claim_key(self.group)) == self.revision:
                self._sequence = present.get(key, 0)
                logger.info(
                    "earlier write was carried out", extra={"group": self.group}
                )
                return False
        logger.warning("group has another owner", extra={"group": self.group})
        self.abandon()
        return False

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task[t.Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._log_end)
        return task

    def _log_end(self, task: "asyncio.Task[t.Any]") -> None:
        """Give the group up if one of its tasks failed: another process takes over."""
        if task.cancelled() or task.exception() is None:
            return
        logger.critical("task ended by an error", exc_info=task.exception())
        self.abandon()
