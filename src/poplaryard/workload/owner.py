"""Runs the scheduler of one worker group: orders, lease renewals and stored progress.

`Partition` decides; `GroupOwner` calls the workers, the advice service and the store.
"""

import asyncio
import enum
import functools
import typing as t
from dataclasses import dataclass, replace

import msgspec

from ..clock import Clock
from ..exceptions import LeaseLost, StoreDown, StoreReplyLost, WorkerUnreachable
from ..logs import logger
from ..waiting import wait_until_set
from . import records
from .advice import SLOW_CALL_S, Channel, ChannelPool
from .calls import CLOCK_DRIFT, LAPSE_SLACK_S, LeaseLimits
from .expectations import StepExpectations
from .homes import PartitionLoad
from .membership import GRACE_S, LEASE_TTL_S, ProcessLease
from .meters import Meters
from .model import (
    HoldReport,
    JobSpec,
    JobState,
    StartOutcome,
    StartReply,
    Suspect,
    Tenant,
    WorkerInfo,
)
from .partition import AdviceRequest, Partition, StartOrder, StopOrder
from .run_times import NO_RUN_TIME_USES, RunTimes, RunTimeUses
from .runtime import Worker
from .storage import MAX_TRANSACTION_ENTRIES, Change, Item, Storage, Transaction
from .stored_workers import StoredWorkers, unrestricted
from .tenancy import is_accessible
from .tenancy.ledger import AllotmentLedger
from .watching import PrefixWatcher

__all__ = ["GroupOwner", "OwnerLimits", "WorkerCalls"]

# Longest time between two scheduling passes, in seconds.
MAX_PASS_INTERVAL_S = 0.1
# Shortest pause between two scheduling passes, in seconds, and as a multiple of the
# duration of the last pass. Events that arrive in the pause are handled together.
# Without it, passes would leave no time to renew leases under a backlog.
MIN_PASS_PAUSE_S = 0.005
PASS_PAUSE_FACTOR = 3.0
# Ends of runs that do not end their job are collected for this long before they are
# written, in seconds. A worker reports an end again until it is written and
# acknowledged, so lease renewals pause in the meantime.
PROGRESS_WRITE_DELAY_S = 0.04
# Longest time for which the lease renewals of a worker pause until the ends that it
# reported are written, in seconds.
MAX_RENEWAL_PAUSE_S = 0.25
# Entries that `GroupOwner` adds to each transaction: the expected claim, the expected
# sequence key and the new sequence key.
OVERHEAD_ENTRIES = 3
# Time within which a start must reach its worker, in seconds. The worker refuses a
# later one, so that a delayed order does not start a run unexpectedly.
START_WINDOW_S = 1.6
# Longest lease that workers accept unless the deployment sets another, in seconds.
MAX_LEASE_S = 10.0
# Pause after a failed lease renewal or a failed write, in seconds.
RETRY_PAUSE_S = 0.15
# Pause after a report that brought out a defect, in seconds: the next one is probably
# like it.
BROKEN_RENEWAL_PAUSE_S = 1.0
# Pause before a worker is asked again whether it has stopped late starts, in seconds:
# nothing starts there before.
STRAY_PAUSE_S = 0.05
# Longest time that a worker may delay its answer to a renewal until a run ends, in
# seconds.
RENEWAL_WAIT_S = 1.0
# Time that finished jobs stay in the store beyond `OwnerLimits.retention_s`, and time
# between two removals, in seconds.
RETENTION_SLACK_S = 30.0
REMOVAL_PERIOD_S = 15.0
# Time between two reads of new jobs and cancellations, in seconds. Processes also
# notify the owner of the jobs that they store; the watch covers lost notifications.
JOBS_READ_PERIOD_S = 0.1
# Time between two log lines on the state of a group, in seconds.
SUMMARY_EVERY_S = 2.0
# Fields of `DelayFigures`, by metric.
DELAY_METRICS = {
    "poplaryard_waiting_tasks": "tasks",
    "poplaryard_longest_wait_seconds": "longest_s",
}
# Shortest time between two writes of the learned run times, in seconds. They are part
# of a transaction that is made anyway; a new owner lacks at most the runs since.
RUN_TIMES_PERIOD_S = 5.0
# Time that a new owner waits for them once all else is read, in seconds: they only
# improve estimates, and reads take a few milliseconds.
RUN_TIMES_WAIT_S = 0.25
# Time between two updates of the stored list of workers, in seconds.
WORKERS_UPDATE_PERIOD_S = 1.0
# Keys of a job, and jobs removed in one transaction.
KEYS_PER_JOB = 4
REMOVAL_BATCH_JOBS = (MAX_TRANSACTION_ENTRIES - OVERHEAD_ENTRIES) // KEYS_PER_JOB


class CommitOutcome(enum.Enum):
    """What is known of a write of an owner."""

    WRITTEN = "written"
    NOT_WRITTEN = "not written"
    IN_DOUBT = "in doubt"


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
    ) -> StartReply:
        """Order a worker to start a run.

        Parameters
        ----------
        run : int
            Number of the run.
        deadline_s : float
            Latest arrival of the order on the worker's clock, in seconds.
        fence : int
            Fencing token: the revision of the owner's claim.
        checkpoint : str
            Checkpoint to resume from; empty for none.
        ticket : str
            Ticket from the advice service; empty if none is needed.
        """

    async def stop(self, worker: WorkerInfo, task: str, run: int, fence: int) -> bool:
        """Order a worker to stop a run; return whether the worker confirmed it."""

    async def hold(
        self,
        worker: WorkerInfo,
        fence: int,
        acknowledged: int,
        deadline_s: float | None,
        wait_s: float,
    ) -> HoldReport:
        """Renew the leases of a worker's runs and return what it reports.

        Parameters
        ----------
        acknowledged : int
            Highest sequence number of an ended run that the worker may forget.
        deadline_s : float, optional
            End of the renewed leases on the worker's clock, in seconds; None to
            renew none.
        wait_s : float
            Longest time to wait for a run to end, in seconds.

        Raises
        ------
        WorkerUnreachable
            If the worker gave no valid answer.
        """


@dataclass(frozen=True, slots=True)
class OwnerLimits:
    """Limits that the deployment sets, in seconds.

    Attributes
    ----------
    run_lease_s : float
        Duration of the lease that workers are given for their runs.
    retention_s : float
        Time for which callers may ask for a finished job.
    early_s : float
        Passed to `Partition`, which does not use it.
    run_time_uses : RunTimeUses
        Decisions that use learned run times; without any, none are learned or stored.
    max_lease_s : float
        Longest lease that workers accept.
    """

    run_lease_s: float
    retention_s: float
    early_s: float = 0.0
    run_time_uses: RunTimeUses = NO_RUN_TIME_USES
    max_lease_s: float = MAX_LEASE_S

    def given_lease_s(self) -> float:
        """Return how long a lease may last that an owner has just given."""
        return self.run_lease_s / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S

    def quarantine_s(self) -> float:
        """Return how long leases of an earlier owner may last that may still act.

        That is until the earlier owner has lost its authority and the last lease that
        it gave has lapsed on the worker's clock.
        """
        return LEASE_TTL_S + GRACE_S + self.given_lease_s()


def with_start_times(
    suspects: dict[str, Suspect], workers: t.Mapping[str, WorkerInfo]
) -> dict[str, Suspect]:
    """Return the suspects with the start times that their entries in the store tell.

    The earlier owner may not have noticed that a worker has restarted. The entry of a
    worker that is cut off is removed only after some seconds.
    """
    return {
        name: replace(suspect, born_ms=max(suspect.born_ms, workers[name].born_ms))
        if name in workers
        else suspect
        for name, suspect in suspects.items()
    }


def _never_ended(identity: records.Identity, revision: int) -> bool:
    return False


def _release_channel(channel: Channel, slow: bool, _: "asyncio.Task[t.Any]") -> None:
    channel.release(slow)


class GroupOwner:
    """Owner of one group of workers, from its claim until it is closed.

    Parameters
    ----------
    group : str
    claim_revision : int
        Revision of the owner's claim in the store; it is also the fencing token.
    storage : Storage
    calls : WorkerCalls
    channels : ChannelPool
    lease : ProcessLease
    clock : Clock
    limits : OwnerLimits
    meters : Meters, optional
    identity : records.Identity, optional
        This process; it is stored with every write.
    has_ended : callable, optional
        Returns whether a process that wrote at a revision can write no more.
    generation : int, optional
        Generation of the lease to which the claim is bound; by default the present one.
    tenants : callable, optional
        Returns the configured tenants by name.

    Attributes
    ----------
    closed : asyncio.Event
        Set when this process no longer owns the group.
    loaded : bool
        Whether the group's jobs have been read from the store.
    """

    def __init__(
        self,
        group: str,
        claim_revision: int,
        storage: Storage,
        calls: WorkerCalls,
        channels: ChannelPool,
        lease: ProcessLease,
        clock: Clock,
        limits: OwnerLimits,
        meters: Meters | None = None,
        identity: records.Identity | None = None,
        has_ended: t.Callable[[records.Identity, int], bool] = _never_ended,
        generation: int | None = None,
        tenants: t.Callable[[], t.Mapping[str, Tenant]] = dict,
    ):
        self.group = group
        self._identity = records.encode(identity or records.Identity())
        self._has_ended = has_ended
        self._earlier_owner: tuple[records.Identity, int] | None = None
        self._meters = meters or Meters()
        self.closed = asyncio.Event()
        self.revision = claim_revision
        self._storage = storage
        self._calls = calls
        self._channels = channels
        self._lease = lease
        self._generation = lease.generation if generation is None else generation
        self._clock = clock
        self._limits = limits
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._renewals: dict[Worker, asyncio.Task[t.Any]] = {}
        self._waiting_calls: dict[str, asyncio.Task[HoldReport]] = {}
        self._wake = asyncio.Event()
        self._write_wake = asyncio.Event()
        self._commit_lock = asyncio.Lock()
        self._workers_lock = asyncio.Lock()
        self._sequence = 0
        self._progress_written = asyncio.Event()
        self._stored_workers = StoredWorkers({})
        self._has_written = False
        # Finished jobs that are still to be removed from the store.
        self._expired: list[str] = []
        self._starts_in_flight = 0
        self._next_summary_at = clock.now() + SUMMARY_EVERY_S
        self._next_prune_at = clock.now() + WORKERS_UPDATE_PERIOD_S
        self._next_removal_at = clock.now() + REMOVAL_PERIOD_S
        self._next_run_times_at = clock.now() + RUN_TIMES_PERIOD_S
        self.partition: Partition | None = None
        self.loaded = False
        self._ledger = AllotmentLedger(
            group,
            claim_revision,
            storage,
            clock,
            self._meters,
            tenants,
            self._wake.set,
            self.abandon,
        )

    async def start(self, workers: dict[str, WorkerInfo]) -> None:
        """Load the group's jobs and begin to schedule them, unless it was closed.

        Parameters
        ----------
        workers : dict of str to WorkerInfo
            Workers listed in the store, by id.
        """
        began = self._clock.now()
        run_times: asyncio.Task[bytes] | None = None
        if self._limits.run_time_uses:
            run_times = self._spawn(self._load_run_times())
        sequence = await self._storage.get(records.sequence_key(self.group))
        self._sequence = sequence.revision if sequence is not None else 0
        ended = self._earlier_owner_ended(sequence)
        limits = self._limits
        leases_s = limits.given_lease_s() if ended else limits.quarantine_s()
        suspects = with_start_times(await self._load_suspects(), workers)
        loaded_at = self._clock.now()
        restricted = set(suspects) - unrestricted(suspects)
        progress, _ = await self._storage.scan(records.progress_prefix(self.group))
        now = self._clock.now()
        self.partition = Partition(
            self.group,
            self.revision,
            self._clock.wall() - now,
            began + leases_s,
            suspects,
            self._limits.early_s,
            self._meters,
            loaded_at,
            self._limits.run_time_uses,
            LeaseLimits(self._limits.run_lease_s, self._limits.max_lease_s),
        )
        if run_times is not None:
            await self._use_run_times(run_times)
        self._stored_workers = StoredWorkers(suspects)
        self._stored_progress = {item.key: item.value for item in progress}
        watch = PrefixWatcher(
            self._storage,
            records.job_prefix(self.group),
            self._job_changed,
            pause_s=JOBS_READ_PERIOD_S,
        )
        await watch.reload()
        self._stored_progress.clear()
        await self._record_workers(set(workers) - restricted)
        await self._record_owner(set(workers) - restricted)
        if self.closed.is_set():
            # The group may have got another owner meanwhile.
            return
        self.loaded = True
        self._meters.count("poplaryard_owner_changes_total", "taken over")
        self._meters.observe("poplaryard_take_over_seconds", self._clock.now() - began)
        for name, suspect in suspects.items():
            if name not in workers and suspect.address:
                self._start_renewals(self.partition.add_unlisted_suspect(name, suspect))
        for info in workers.values():
            self.worker_listed(info)
        logger.info(
            "group taken over",
            extra={
                "group": self.group,
                "fence": self.revision,
                "jobs": len(self.partition.jobs),
                "suspects": len(suspects),
                "earlier_owner_ended": ended,
                "took_s": round(self._clock.now() - began, 3),
            },
        )
        for loop in (watch.run(), self._scheduling_loop(), self._write_loop()):
            self._spawn(loop).add_done_callback(self._on_loop_done)

    async def _load_run_times(self) -> bytes:
        """Return the stored run times; empty if there are none, or on a failed read."""
        try:
            item = await self._storage.get(records.run_times_key(self.group))
        except (StoreDown, StoreReplyLost) as exc:
            extra = {"group": self.group, "reason": exc.detail}
            logger.warning("run times not read", extra=extra)
            return b""
        return item.value if item is not None else b""

    async def _use_run_times(self, reading: "asyncio.Task[bytes]") -> None:
        """Wait for the stored run times for a short time, and add them."""
        await asyncio.wait({reading}, timeout=RUN_TIMES_WAIT_S)
        partition = t.cast(Partition, self.partition)
        expectations = t.cast(StepExpectations, partition.expectations)
        if not reading.done():
            reading.cancel()
            logger.warning("run times not read in time", extra={"group": self.group})
        elif not reading.cancelled() and not reading.exception() and reading.result():
            expectations.add_summary(reading.result())

    def _earlier_owner_ended(self, sequence: Item | None) -> bool:
        """Note who wrote last for the group; return whether that process has ended."""
        if sequence is None:
            return False
        try:
            identity = records.decode_identity(sequence.value)
        except msgspec.DecodeError as exc:
            logger.error("unreadable owner", extra={"reason": str(exc)})
            return False
        if self._has_ended(identity, sequence.revision):
            return True
        self._earlier_owner = identity, sequence.revision
        return False

    def awaited_owner(self) -> records.Identity | None:
        """Return the earlier owner that may act, if workers are waited for."""
        if self.closed.is_set() or self.partition is None or not self._earlier_owner:
            return None
        waits = self.partition.waits_for_workers(self._clock.now())
        return self._earlier_owner[0] if waits else None

    def check_earlier_owner(self) -> None:
        """Shorten the wait for unreachable workers if the earlier owner has ended."""
        if self._earlier_owner is not None and self._has_ended(*self._earlier_owner):
            self.earlier_owner_ended("another incarnation has joined")

    def earlier_owner_ended(self, reason: str) -> None:
        """Wait for unreachable workers only while leases given before may last."""
        if self.partition is None or self._earlier_owner is None:
            return
        extra = {
            "group": self.group,
            "peer": self._earlier_owner[0].process,
            "reason": reason,
        }
        logger.info("earlier owner has ended", extra=extra)
        self._earlier_owner = None
        lapsed_at = self._clock.now() + self._limits.given_lease_s()
        self.partition.earlier_owner_ended(lapsed_at)

    async def close(self) -> None:
        """Stop starting runs, wait up to 0.2 s for starts in flight, and close."""
        if self.partition is not None:
            self.partition.accepts_starts = False
        for _ in range(20):
            if not self._starts_in_flight:
                break
            await asyncio.sleep(0.01)
        self.abandon()

    def abandon(self) -> None:
        """Close at once and cancel all tasks."""
        if not self.closed.is_set():
            self._meters.count("poplaryard_owner_changes_total", "given up")
            logger.info("group given up", extra={"group": self.group})
            for name in ("poplaryard_tenant", *DELAY_METRICS):
                self._meters.replace(name, self.group, ())
        self.closed.set()
        for task in [*self._tasks, *self._renewals.values()]:
            task.cancel()

    def has_lease(self) -> bool:
        """Return whether the claim is certainly valid now.

        It ends with the lease to which it is bound, even if the process has another.
        """
        return self._lease.generation == self._generation and self._lease.has_lease()

    def has_authority(self) -> bool:
        """Return whether orders may still be sent; see `ProcessLease.has_authority`."""
        return (
            self._lease.generation == self._generation and self._lease.has_authority()
        )

    def state(self, job_id: str, tenant: str | None = None) -> JobState | None:
        """Return the state of a job, or None if it is not known here.

        A job that is not accessible to a tenant counts as not known.
        """
        job = None if self.partition is None else self.partition.jobs.get(job_id)
        if job is None or not is_accessible(job.spec.tenant, tenant):
            return None
        return job.state

    def load(self) -> PartitionLoad | None:
        """Return the load of the partition, or None if it is not loaded."""
        if self.partition is None or not self.loaded:
            return None
        return self.partition.load(self._clock.now())

    def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not started, or None if not loaded."""
        if self.partition is None or not self.loaded:
            return None
        return self.partition.pending(queue)

    # Workers

    def worker_listed(self, info: WorkerInfo) -> None:
        """Handle a new or changed entry of a worker.

        No worker is called before the jobs are loaded: it would report ends of tasks
        that are not known yet, and these would be acknowledged and lost.
        """
        if self.partition is None or not self.loaded:
            return
        worker = self.partition.worker_listed(info)
        self._start_renewals(worker)
        self._ask_again(worker)

    def _start_renewals(self, worker: Worker) -> None:
        if worker not in self._renewals:
            task = asyncio.create_task(self._renewal_loop(worker))
            self._renewals[worker] = task
            task.add_done_callback(lambda _: self._renewals.pop(worker, None))
            task.add_done_callback(self._on_task_done)

    def worker_unlisted(self, worker_id: str) -> None:
        """Handle the removal of a worker's entry."""
        if self.partition is not None:
            self.partition.worker_unlisted(worker_id, self._clock.now())
            self._wake.set()

    async def _renewal_loop(self, worker: Worker) -> None:
        """Renew the leases of a worker's runs for as long as it may have any."""
        partition = t.cast(Partition, self.partition)
        renewed = False
        while partition.is_watched(worker, self._clock.now()):
            if not self.has_authority():
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            has_acks = worker.acked_seq > worker.forgotten_seq
            waits = renewed and worker.reachable and worker.synced
            waits = waits and not (
                has_acks or worker.has_unsettled_strays or worker.restart_suspected
            )
            now = self._clock.now()
            if waits:
                call = worker.waiting_call(now)
            else:
                call = worker.renewal_call(now, self._renewed_lease_s(worker))
            # A call for which the worker may wait delays the next renewal.
            renewed = not waits and (
                call.deadline_s is not None or self._is_unrenewed(worker)
            )
            holding = asyncio.create_task(
                self._calls.hold(
                    worker.info,
                    self.revision,
                    call.acknowledged,
                    call.deadline_s,
                    RENEWAL_WAIT_S if waits else 0.0,
                )
            )
            if waits:
                self._waiting_calls[worker.worker_id] = holding
            try:
                report = await holding
                partition.hold_answered(worker, report, call, self._clock.now())
            except asyncio.CancelledError:
                renewal = t.cast("asyncio.Task[t.Any]", asyncio.current_task())
                if renewal.cancelling():
                    raise
                # `_ask_again` has given the call up.
                await asyncio.sleep(MIN_PASS_PAUSE_S)
                continue
            except WorkerUnreachable as exc:
                partition.hold_failed(
                    worker,
                    self._clock.now(),
                    call=call,
                    refused=exc.refused,
                    other_instance=exc.other_instance,
                    fenced=exc.fenced,
                )
                renewed = False
                self._wake.set()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            except Exception as exc:
                self._renewal_broke(worker, exc)
                await asyncio.sleep(BROKEN_RENEWAL_PAUSE_S)
                continue
            finally:
                self._waiting_calls.pop(worker.worker_id, None)
            may_be_used = worker.listed and not worker.info.draining
            if may_be_used and not self._may_run_any_task(worker.worker_id):
                await self._record_workers({worker.worker_id})
            elif self._is_unrenewed(worker):
                await self._update_workers()
            self._wake_loops()
            if worker.acked_seq < worker.seen_seq:
                await self._wait_for_write()
            elif worker.has_unsettled_strays:
                await asyncio.sleep(STRAY_PAUSE_S)
        logger.info("worker dropped", extra={"worker": worker.worker_id})

    def _ask_again(self, worker: Worker) -> None:
        """Ask a worker that seems to have restarted for its runs at once.

        A call that waits at the instance before may get no answer until it times out.
        Until the next instance has reported, it accepts late orders that the one before
        it was told to refuse.
        """
        call = self._waiting_calls.get(worker.worker_id)
        if call is not None and worker.restart_suspected:
            call.cancel()

    def _renewed_lease_s(self, worker: Worker) -> float | None:
        """Return the lease to give to a worker's runs, or None for none."""
        restricted = self._is_unrenewed(worker) or worker.restart_suspected
        return self._limits.run_lease_s if worker.reachable and not restricted else None

    def _renewal_broke(self, worker: Worker, exc: Exception) -> None:
        """Count a worker whose report brings out a defect as one without an answer.

        Its runs start elsewhere once their leases have expired. A new owner would get
        the same report.
        """
        extra = {"group": self.group, "worker": worker.worker_id}
        logger.critical("report not handled", exc_info=exc, extra=extra)
        partition = t.cast(Partition, self.partition)
        partition.hold_failed(worker, self._clock.now())
        self._wake.set()

    async def _wait_for_write(self) -> None:
        """Wait until reported ends are written, at most `MAX_RENEWAL_PAUSE_S` seconds.

        A worker with unacknowledged ends answers a renewal at once, so renewing again
        before that would loop without waiting.
        """
        await wait_until_set(self._progress_written, MAX_RENEWAL_PAUSE_S)

    async def _load_suspects(self) -> dict[str, Suspect]:
        item = await self._storage.get(records.workers_key(self.group))
        if item is None:
            return {}
        try:
            return records.decode_workers(item.value)
        except msgspec.DecodeError as exc:
            logger.error("unreadable list of workers", extra={"reason": str(exc)})
            return {}

    def _may_run_any_task(self, worker_id: str) -> bool:
        """Return whether the store certainly says that the worker may run any task."""
        return self._stored_workers.is_unrestricted(worker_id)

    def _is_unrenewed(self, worker: Worker) -> bool:
        """Return whether the store may say that the worker is given no leases."""
        return self._stored_workers.is_unrenewed(worker.worker_id)

    async def _record_workers(self, added: set[str]) -> None:
        """Record in the store that these workers may run any task.

        Tasks are started on a worker only afterwards, so that the next owner of the
        group knows which workers may have runs. Returns early if this process has lost
        the group, since no write of it can succeed any more.
        """
        while not all(map(self._may_run_any_task, added)):
            if self.closed.is_set():
                return
            if not await self._write_workers(added):
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _record_owner(self, added: set[str]) -> None:
        """Record that this process owns the group, which every write of it does.

        It gives leases only afterwards, so that the next owner knows who renewed them.
        What is left of the leases of earlier owners is written with it.
        """
        while not (self._has_written or self.closed.is_set()):
            if self._stored_workers.known != {}:
                written = await self._write_workers(added)
            else:
                outcome = await self._commit(self._new_transaction())
                written = outcome is CommitOutcome.WRITTEN
            if not written:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _update_workers(self) -> None:
        """Update the stored workers: add those that came back, remove those gone.

        The next owner of the group waits for every stored worker, so a worker that can
        no longer hold runs must not stay stored.
        """
        partition = t.cast(Partition, self.partition)
        present = partition.possible_run_holders(self._clock.now())
        if self._stored_workers.known != present:
            await self._write_workers(set())

    async def _write_workers(self, added: set[str]) -> bool:
        partition = t.cast(Partition, self.partition)
        async with self._workers_lock:
            recorded = all(map(self._may_run_any_task, added))
            if added and recorded and self._has_written:
                return True
            workers = partition.possible_run_holders(self._clock.now())
            for name in added:
                suspect = workers.get(name, Suspect())
                workers[name] = replace(suspect, tasks=None, renewed=True)
            stored = self._stored_workers
            stored.write_began(workers)
            # What the list tells about a worker holds until the outcome is known.
            partition.allow_starts_on(stored.unrestricted())
            transaction = self._new_transaction()
            value = records.encode(workers)
            transaction.puts.append((records.workers_key(self.group), value, 0))
            outcome = CommitOutcome.IN_DOUBT
            try:
                outcome = await self._commit(transaction)
            finally:
                if outcome is CommitOutcome.WRITTEN:
                    stored.written(workers)
                elif outcome is CommitOutcome.NOT_WRITTEN:
                    stored.not_written()
                else:
                    stored.write_in_doubt()
            return outcome is CommitOutcome.WRITTEN

    # Scheduling

    async def _scheduling_loop(self) -> None:
        partition = t.cast(Partition, self.partition)
        while True:
            now = self._clock.now()
            if self._ledger.tenants_changed(partition):
                self._spawn(self._ledger.run()).add_done_callback(self._on_loop_done)
            if self.has_authority():
                partition.sole_owner = self.has_lease()
                partition.allow_starts_on(self._stored_workers.unrestricted())
                partition.advance(now)
                self._ledger.pass_ended()
                self._send_orders()
                self._ask_advice(now)
            if partition.fenced:
                logger.warning("fenced by a later owner", extra={"group": self.group})
                self.abandon()
                return
            took_s = self._clock.now() - now
            await asyncio.sleep(max(MIN_PASS_PAUSE_S, PASS_PAUSE_FACTOR * took_s))
            self._wake.clear()
            await wait_until_set(self._wake, MAX_PASS_INTERVAL_S)

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
        if not self.has_authority():
            # The process was paused between the decision and this call.
            partition.start_answered(run, StartOutcome.NOT_SENT, now)
            return
        call = worker.start_call(run, now, START_WINDOW_S, bool(order.ticket))
        self._starts_in_flight += 1
        try:
            reply = await self._calls.start(
                worker.info,
                run.task.name,
                run.number,
                run.task.step.job.spec.payload,
                t.cast(float, call.deadline_s),
                self.revision,
                order.checkpoint,
                order.ticket,
            )
        except Exception as exc:
            # The worker may have carried the order out.
            extra = {"task": run.task.name, "run": run.number}
            logger.critical("order failed", exc_info=exc, extra=extra)
            reply = StartReply(StartOutcome.IN_DOUBT)
        finally:
            self._starts_in_flight -= 1
        partition.start_answered(run, reply.outcome, self._clock.now(), reply.clock_s)
        self._ask_again(worker)
        if reply.outcome is not StartOutcome.STARTED:
            self._wake.set()

    async def _send_stop(self, order: StopOrder) -> None:
        partition = t.cast(Partition, self.partition)
        if not self.has_authority():
            return
        acked = await self._calls.stop(
            order.worker.info, order.task, order.number, self.revision
        )
        partition.stop_answered(order, acked, self._clock.now())

    def _ask_advice(self, now: float) -> None:
        partition = t.cast(Partition, self.partition)
        channels = {
            is_slow: self._channels.select(is_slow, now) for is_slow in (False, True)
        }

        def has_channel(cost_s: float) -> bool:
            return channels[cost_s > SLOW_CALL_S] is not None

        for request in partition.advice_wanted(now, has_channel):
            slow = request.cost_s > SLOW_CALL_S
            channel = t.cast(Channel, channels[slow])
            self._channels.acquire(channel, slow, now)
            task = self._spawn(self._advise(channel, request))
            task.add_done_callback(functools.partial(_release_channel, channel, slow))
            channels = {
                is_slow: self._channels.select(is_slow, now)
                for is_slow in (False, True)
            }

    async def _advise(self, channel: Channel, request: AdviceRequest) -> None:
        partition = t.cast(Partition, self.partition)
        sent_at = self._clock.now()
        tickets, until = None, 0.0
        try:
            answer = await self._channels.ask(
                channel,
                request.step.name,
                list(request.workers),
                request.cost_s,
                self._clock.now,
            )
            if answer is not None:
                tickets, valid_s = answer
                until = sent_at + request.cost_s + valid_s
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
                    "line": channel.name,
                    "asked": len(request.workers),
                    "good": len(tickets or ()),
                    "expected_s": round(request.cost_s, 3),
                    "took_s": round(now - sent_at, 3),
                },
            )

    # Store

    def _job_changed(self, change: Change) -> None:
        partition = t.cast(Partition, self.partition)
        name = change.key.removeprefix(records.job_prefix(self.group))
        if change.item is None:
            return
        now = self._clock.now()
        self._wake.set()
        if name.endswith(records.CANCEL_SUFFIX):
            self._cancel([name.removesuffix(records.CANCEL_SUFFIX)], now)
            return
        try:
            spec = records.decode_job(change.item.value)
            value = self._stored_progress.get(records.progress_key(self.group, name))
            progress = records.decode_progress(value) if value else None
        except msgspec.DecodeError as exc:
            extra = {"request": name, "reason": str(exc)}
            logger.error("unreadable job in the store", extra=extra)
            return
        if spec.job_id in partition.jobs:
            return
        # Stored after the claim, so no earlier owner can have started the job.
        fresh = change.revision > self.revision
        if progress is None or not progress.state.final:
            self._log_job(spec, fresh)
        partition.add_job(spec, now, fresh, progress)

    def jobs_stored(self, stored: records.StoredJobs) -> None:
        """Handle jobs and cancellations before the owner's watch reports them."""
        if self.partition is None or not self.loaded:
            return
        now = self._clock.now()
        for spec in stored.specs:
            known = spec.job_id in self.partition.jobs
            if not known and stored.revision > self.revision:
                self._log_job(spec, True)
                self.partition.add_job(spec, now, True)
                self._wake.set()
        if stored.cancelled:
            self._cancel(stored.cancelled, now)

    def _cancel(self, job_ids: t.Iterable[str], now: float) -> None:
        """Cancel jobs, and order their runs to be stopped.

        The orders don't wait for the next pass: the pause before it grows with the
        duration of a pass, and the jobs are shown as cancelled once that is written.
        """
        partition = t.cast(Partition, self.partition)
        for job_id in job_ids:
            partition.cancel(job_id, now)
        if self.has_authority() and not self.closed.is_set():
            self._send_orders()
        self._wake_loops()

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

    async def _write_loop(self) -> None:
        partition = t.cast(Partition, self.partition)
        while True:
            if not partition.progress_urgent:
                await self._wait_for_urgent_progress()
            now = self._clock.now()
            if partition.has_unwritten_progress and not await self._write_progress():
                await asyncio.sleep(RETRY_PAUSE_S)
            if now >= self._next_summary_at:
                self._next_summary_at = now + SUMMARY_EVERY_S
                figures = partition.summary(now)
                logger.info("group state", extra={"group": self.group, **figures})
                for name, value in figures.items():
                    labels = {"group": self.group, "figure": name}
                    self._meters.set("poplaryard_group", labels, value)
                self._write_tenant_figures(partition, now)
                self._write_delays(partition, now)
            if now >= self._next_prune_at:
                self._next_prune_at = now + WORKERS_UPDATE_PERIOD_S
                await self._update_workers()
            if now >= self._next_removal_at:
                self._next_removal_at = now + REMOVAL_PERIOD_S
                await self._remove_finished()

    def _write_tenant_figures(self, partition: Partition, now: float) -> None:
        """Write the figures of the tenants that use or wait for most."""
        samples = [
            ({"group": self.group, "tenant": tenant, "figure": name}, value)
            for tenant, figures in partition.tenant_figures(now).items()
            for name, value in figures.items()
        ]
        self._meters.replace("poplaryard_tenant", self.group, samples)

    def _write_delays(self, partition: Partition, now: float) -> None:
        """Log why tasks have waited for long, and write the figures."""

        def can_call(cost_s: float) -> bool:
            return self._channels.select(cost_s > SLOW_CALL_S, now) is not None

        try:
            found = partition.report_delays(now, self.has_authority(), can_call)
        except Exception as exc:
            # The owner schedules without it.
            extra = {"group": self.group}
            logger.critical("delays not reported", exc_info=exc, extra=extra)
            return
        for name, figure in DELAY_METRICS.items():
            samples = [
                ({"group": self.group, "reason": reason.value}, getattr(each, figure))
                for reason, each in found.items()
            ]
            self._meters.replace(name, self.group, samples)

    async def _wait_for_urgent_progress(self) -> None:
        """Wait for urgent progress, for at most `PROGRESS_WRITE_DELAY_S` seconds."""
        self._write_wake.clear()
        await wait_until_set(self._write_wake, PROGRESS_WRITE_DELAY_S)

    def _wake_loops(self) -> None:
        """Start a scheduling pass, and write progress now if it is urgent."""
        self._wake.set()
        if self.partition is not None and self.partition.progress_urgent:
            self._write_wake.set()

    async def _write_progress(self) -> bool:
        partition = t.cast(Partition, self.partition)
        batch = partition.take_progress()
        began = self._clock.now()
        entries = [
            (records.progress_key(self.group, job_id), value, 0)
            for job_id, value in batch.progress.items()
        ]
        size = MAX_TRANSACTION_ENTRIES - OVERHEAD_ENTRIES
        run_times = self._run_times_due(began)
        if run_times is not None and len(entries) % size:
            entries.append((records.run_times_key(self.group), run_times.encoded(), 0))
            run_times.changed = False
            self._next_run_times_at = began + RUN_TIMES_PERIOD_S
        for begin in range(0, len(entries), size):
            transaction = self._new_transaction()
            transaction.puts = entries[begin : begin + size]
            if await self._commit(transaction) is not CommitOutcome.WRITTEN:
                partition.progress_not_written(batch)
                if run_times is not None:
                    run_times.changed = True
                return False
        partition.progress_written(batch)
        self._meters.observe("poplaryard_note_seconds", self._clock.now() - began)
        self._progress_written.set()
        self._progress_written.clear()
        return True

    def _run_times_due(self, now: float) -> RunTimes | None:
        """Return the learned run times if they are due to be stored."""
        expectations = t.cast(Partition, self.partition).expectations
        if expectations is None or now < self._next_run_times_at:
            return None
        return expectations.run_times if expectations.run_times.changed else None

    async def _remove_finished(self) -> None:
        """Remove jobs whose retention time has passed from the store.

        Those whose removal fails are left for the next time.
        """
        partition = t.cast(Partition, self.partition)
        before = self._clock.wall() - self._limits.retention_s - RETENTION_SLACK_S
        self._expired += partition.forget_finished(before)
        while self._expired:
            batch = self._expired[:REMOVAL_BATCH_JOBS]
            transaction = self._new_transaction()
            for job_id in batch:
                transaction.removes += [
                    records.home_key(job_id),
                    records.job_key(self.group, job_id),
                    records.cancel_key(self.group, job_id),
                    records.progress_key(self.group, job_id),
                ]
            if await self._commit(transaction) is not CommitOutcome.WRITTEN:
                return
            del self._expired[: len(batch)]

    def _new_transaction(self) -> Transaction:
        """Return a transaction that fails if the group has another owner."""
        return Transaction(expected={records.claim_key(self.group): self.revision})

    async def _commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction of the owner.

        A write without an answer may be carried out seconds later. Every write replaces
        the sequence key and requires its last revision, so a delayed write fails
        instead of overwriting newer progress.
        """
        async with self._commit_lock:
            if self.closed.is_set():
                return CommitOutcome.NOT_WRITTEN
            key = records.sequence_key(self.group)
            transaction.expected[key] = self._sequence
            transaction.puts.append((key, self._identity, 0))
            try:
                found = await self._storage.commit(transaction)
            except (StoreDown, StoreReplyLost, LeaseLost) as exc:
                extra = {"group": self.group, "reason": exc.detail}
                logger.warning("write failed", extra=extra)
                if isinstance(exc, StoreReplyLost):
                    return CommitOutcome.IN_DOUBT
                return CommitOutcome.NOT_WRITTEN
            if isinstance(found, int):
                self._sequence = found
                self._has_written = True
                self._stored_workers.later_write_succeeded()
                return CommitOutcome.WRITTEN
            present = {item.key: item.revision for item in found if item is not None}
            if present.get(records.claim_key(self.group)) == self.revision:
                # This write failed because an earlier one, whose reply was lost, has
                # changed the sequence key.
                self._sequence = present.get(key, 0)
                self._stored_workers.earlier_write_carried_out()
                logger.info(
                    "earlier write was carried out", extra={"group": self.group}
                )
                return CommitOutcome.NOT_WRITTEN
        logger.warning("group has another owner", extra={"group": self.group})
        self.abandon()
        return CommitOutcome.NOT_WRITTEN

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task[t.Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: "asyncio.Task[t.Any]") -> None:
        """Log the error of a task; what it was to do is repeated later."""
        if not task.cancelled() and task.exception() is not None:
            extra = {"group": self.group}
            logger.critical(
                "task ended by an error", exc_info=task.exception(), extra=extra
            )

    def _on_loop_done(self, task: "asyncio.Task[t.Any]") -> None:
        """Give the group up if a loop failed, so that another process takes over."""
        if not task.cancelled() and task.exception() is not None:
            self.abandon()
