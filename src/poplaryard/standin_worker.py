"""Stand-in for worker VMs, with faults on demand.

A worker refuses lower epochs (G1), expired starts (G2) and attempt ids seen before
(G3), stops attempts whose lease has lapsed (G4), and reports running and recently ended
attempts to each new owner (G5). `WorkerVm` holds the state of one worker; requests and
job tasks "run" by sleeping for the payload's ``run_ms``.
"""

import asyncio
import itertools
import time
import typing as t
from collections import deque
from dataclasses import dataclass, field

from .codes import Code
from .fencing import RECORD_RETENTION_S, TASK_LEASE_S
from .messages import (
    AttemptReport,
    AttemptState,
    ClaimReply,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
    StopMode,
    WorkKind,
)
from .resources import ZERO, Resources
from .waiting import wait_until_set
from .workers import Renewal

__all__ = ["Faults", "RunRecord", "WorkerVm"]

# Renewal whose limits never pass, so that every lease is extended.
UNLIMITED = Renewal(2**63, 2**63)
# Requests that one executor runs at the same time.
SLOTS = 8
# Requests that one executor accepts, running and queued ones together. The name is that
# of the service's setting ``connections``.
CONNECTIONS = 64
# Run records kept for tests and the load generator; older ones are dropped.
RECORDS_KEPT = 200_000


@dataclass(slots=True)
class Faults:
    """Faults that a worker simulates until others are set.

    Attributes
    ----------
    fail_all : bool
        Whether all work ends as failed.
    slow : float
        Factor by which run times are multiplied.
    paused : bool
        Whether calls hang and no work completes until the pause ends.
    drop_replies : int
        Number of replies still to be withheld after their call took effect.
    duplicate_reports : bool
        Whether polls repeat the newest report even after its acknowledgement.
    ignore_epochs : bool
        Whether lower epochs are accepted, in breach of G1.
    leaving : bool
        Whether the worker announces that its VM is about to be removed.
    """

    fail_all: bool = False
    slow: float = 1.0
    paused: bool = False
    drop_replies: int = 0
    duplicate_reports: bool = False
    ignore_epochs: bool = False
    leaving: bool = False


@dataclass(slots=True)
class RunRecord:
    """Record of one started attempt; times are those of the worker's clock, in s."""

    attempt_id: str
    request_id: str
    vm: str
    kind: str
    exclusive_key: str
    epoch: int
    started: float
    ended: float = 0.0
    state: str = "running"


@dataclass(slots=True)
class _Run:
    """Running or queued attempt.

    An executor is the attempt of a service; only there `waiting` and `busy` are used.

    Attributes
    ----------
    report : AttemptReport
        Report given to a new owner while the attempt has not ended.
    lease_until : float
        End of the task lease, by the worker's clock in seconds.
    waiting : deque of _Run
        Requests queued at this executor.
    busy : int
        Slots of this executor in use.
    """

    start: StartAttempt
    report: AttemptReport
    record: RunRecord
    lease_until: float
    task: asyncio.Task[None] | None = None
    waiting: deque["_Run"] = field(default_factory=deque)
    busy: int = 0


class WorkerVm:
    """Simulated worker VM.

    Parameters
    ----------
    name : str
    capacity : Resources
    clock : callable
        Monotonic clock of the worker in seconds.

    Attributes
    ----------
    records : deque of RunRecord
        Attempts that were started, oldest first.
    overcommits : int
        Starts refused because they would have exceeded the capacity.
    resumed : asyncio.Event
        Set unless the worker is paused.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.name = name
        self.capacity = capacity
        self.faults = Faults()
        self.records: deque[RunRecord] = deque(maxlen=RECORDS_KEPT)
        self.overcommits = 0
        self._clock = clock
        self._highest_epoch = 0
        self._running: dict[str, _Run] = {}
        self._started_at: dict[str, float] = {}
        self._ended: dict[str, tuple[float, AttemptReport]] = {}
        self._unacknowledged: deque[tuple[int, AttemptReport]] = deque()
        self._report_numbers = itertools.count(1)
        self._last_number = 0
        self._poll_wakeup = asyncio.Event()
        self.resumed = asyncio.Event()
        self.resumed.set()

    def clock_ms(self) -> int:
        """Return the worker's monotonic clock in milliseconds."""
        return int(self._clock() * 1000)

    def claim(self, epoch: int) -> ClaimReply:
        """Accept the epoch unless a higher one was seen; report all attempts (G5)."""
        accepted = self._accept_epoch(epoch)
        self._poll_wakeup.set()  # Ends a pending poll of the old owner.
        reports = [run.report for run in self._running.values()]
        self._forget_old_attempts()
        reports += [report for _, report in self._ended.values()]
        reply_epoch = self._highest_epoch if not accepted else epoch
        attempts = tuple(reports) if accepted else ()
        return ClaimReply(
            self.name,
            reply_epoch,
            accepted,
            attempts,
            self.clock_ms(),
            self.faults.leaving,
        )

    def start(self, start: StartAttempt) -> StartReply:
        """Start one attempt, or refuse it with the code of the reason."""
        code = self._check_start(start)
        if code is Code.OK:
            self._register(start)
        return StartReply(self.name, start.attempt_id, code)

    def stop(self, stop: StopAttempt) -> None:
        """Stop, drain or checkpoint an attempt; throttling has no effect here."""
        run = self._running.get(stop.attempt_id)
        if run is None or not self._accept_epoch(stop.epoch):
            return
        if stop.mode is StopMode.CHECKPOINT:
            self._end(run, AttemptState.CHECKPOINTED)
        elif stop.mode is StopMode.STOP or _drained(run, stop.mode):
            self._end(run, AttemptState.STOPPED)

    async def poll(
        self, epoch: int, seen: int, wait_s: float, renewal: Renewal = UNLIMITED
    ) -> tuple[PollReply, int]:
        """Renew leases, drop reports up to `seen` and wait for newer ones.

        Parameters
        ----------
        epoch : int
            Epoch of the calling owner.
        seen : int
            Number of the last report that the owner has received.
        wait_s : float
            Longest wait for a report.
        renewal : Renewal
            Times until which leases may be extended.

        Returns
        -------
        tuple of PollReply and int
            The reply, and the number of the newest report, for the next `seen`.
        """
        if not self._accept_epoch(epoch):
            reply = PollReply(self.name, self._highest_epoch, (), self.clock_ms())
            return reply, seen
        self.expire()
        self._renew(renewal)
        self._acknowledge(seen)
        if not self._unacknowledged:
            await self._wait_for_report(wait_s)
            if not self._accept_epoch(epoch):
                return PollReply(
                    self.name, self._highest_epoch, (), self.clock_ms()
                ), seen
        number = (
            self._unacknowledged[-1][0] if self._unacknowledged else self._last_number
        )
        reply = PollReply(
            vm=self.name,
            epoch=epoch,
            attempts=tuple(report for _, report in self._unacknowledged),
            clock_ms=self.clock_ms(),
            leaving=self.faults.leaving,
            used=self.used(),
        )
        return reply, number

    def used(self) -> Resources:
        """Return the sum of the resources that the running attempts need."""
        total = ZERO
        for run in self._running.values():
            total = total + run.start.work.need
        return total

    def expire(self) -> None:
        """Stop every attempt whose lease has lapsed (G4)."""
        now = self._clock()
        for run in list(self._running.values()):
            if run.lease_until <= now:
                self._end(run, AttemptState.STOPPED)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults that the worker simulates."""
        self.faults = faults
        if faults.paused:
            self.resumed.clear()
        else:
            self.resumed.set()
        self._poll_wakeup.set()

    def _accept_epoch(self, epoch: int) -> bool:
        """Remember the highest epoch and refuse lower ones (G1)."""
        if self.faults.ignore_epochs:
            return True
        self._highest_epoch = max(self._highest_epoch, epoch)
        return epoch >= self._highest_epoch

    def _check_start(self, start: StartAttempt) -> Code:
        """Return OK, or the code with which a start is refused."""
        # Checked first (G3): the other codes mean "not run", which is wrong for a
        # repeated start whose first copy has run.
        if start.attempt_id in self._started_at:
            return Code.ATTEMPT_REPEATED
        if not self._accept_epoch(start.epoch):
            return Code.STALE_EPOCH
        if self.clock_ms() > start.valid_until_ms:
            return Code.START_EXPIRED
        if start.work.kind is WorkKind.REQUEST:
            return self._check_executor(start.executor)
        if not start.work.need.fits_in(self.capacity - self.used()):
            self.overcommits += 1
            return Code.WORKER_FULL
        return Code.OK

    def _check_executor(self, executor_id: str) -> Code:
        executor = self._running.get(executor_id)
        if executor is None or executor.busy + len(executor.waiting) >= CONNECTIONS:
            return Code.WORKER_FULL
        return Code.OK

    def _register(self, start: StartAttempt) -> None:
        """Record an accepted start and launch it."""
        work = start.work
        now = self._clock()
        self._started_at[start.attempt_id] = now
        report = AttemptReport(
            attempt_id=start.attempt_id,
            request_id=work.request_id,
            state=AttemptState.RUNNING,
            kind=work.kind,
            task=start.task,
            need=work.need,
            used=work.need,
            executor=start.executor,
            exclusive_key=work.exclusive_key,
            target=work.target,
            team=work.team,
        )
        record = RunRecord(
            start.attempt_id,
            work.request_id,
            self.name,
            work.kind.value,
            work.exclusive_key,
            start.epoch,
            now,
        )
        run = _Run(start, report, record, now + TASK_LEASE_S)
        self.records.append(record)
        self._running[start.attempt_id] = run
        self._launch(run)

    def _launch(self, run: _Run) -> None:
        """Run an attempt, or queue a request whose executor has no free slot."""
        if run.start.work.kind is WorkKind.SERVICE:
            return
        executor = self._running.get(run.start.executor)
        if executor is not None and executor.busy >= SLOTS:
            executor.waiting.append(run)
            return
        if executor is not None:
            executor.busy += 1
        run.task = asyncio.create_task(self._execute(run))

    async def _execute(self, run: _Run) -> None:
        """Sleep for the run time, then end the attempt."""
        work = run.start.work
        payload = work.payload if isinstance(work.payload, dict) else {}
        default_ms = 0.0 if work.kind is WorkKind.REQUEST else work.declared_s * 1000
        run_s = float(payload.get("run_ms", default_ms)) / 1000 * self.faults.slow
        if run_s > 0:
            await asyncio.sleep(run_s)
        await self.resumed.wait()
        if run.lease_until <= self._clock():
            self._end(run, AttemptState.STOPPED)
            return
        failed = self.faults.fail_all or bool(payload.get("fail"))
        state = AttemptState.FAILED if failed else AttemptState.SUCCEEDED
        run.task = None
        self._end(run, state, {"vm": self.name, "echo": payload.get("echo")})

    def _end(self, run: _Run, state: AttemptState, body: t.Any = None) -> None:
        """Record the end of an attempt, free its slot and report it."""
        running = run.report
        if self._running.pop(running.attempt_id, None) is None:
            return
        if run.task is not None:
            run.task.cancel()
        now = self._clock()
        run.record.ended, run.record.state = now, state.value
        elapsed_s = now - run.record.started
        report = _ended_report(running, state, elapsed_s, body)
        self._ended[running.attempt_id] = (now, report)
        self._last_number = next(self._report_numbers)
        self._unacknowledged.append((self._last_number, report))
        self._poll_wakeup.set()
        self._free_slot(run)
        for waiting in run.waiting:
            self._end(waiting, AttemptState.STOPPED)

    def _free_slot(self, run: _Run) -> None:
        """Remove a request from its executor and launch the next queued one."""
        executor = self._running.get(run.start.executor)
        if executor is None:
            return
        if run in executor.waiting:
            executor.waiting.remove(run)
            return
        executor.busy -= 1
        if executor.waiting:
            self._launch(executor.waiting.popleft())

    def _renew(self, renewal: Renewal) -> None:
        """Extend each lease unless its limit in the renewal has passed."""
        until, now_ms = self._clock() + TASK_LEASE_S, self.clock_ms()
        for run in self._running.values():
            limit_ms = renewal.valid_until_ms
            if run.start.work.exclusive_key:
                limit_ms = min(limit_ms, renewal.exclusive_until_ms)
            if now_ms <= limit_ms:
                run.lease_until = until

    def _acknowledge(self, seen: int) -> None:
        """Drop the reports that the owner has received."""
        if self.faults.duplicate_reports:
            seen = min(seen, self._last_number - 1)
        while self._unacknowledged and self._unacknowledged[0][0] <= seen:
            self._unacknowledged.popleft()

    async def _wait_for_report(self, wait_s: float) -> None:
        self._poll_wakeup.clear()
        await wait_until_set(self._poll_wakeup, wait_s)

    def _forget_old_attempts(self) -> None:
        """Forget attempts that ended more than `RECORD_RETENTION_S` ago."""
        limit = self._clock() - RECORD_RETENTION_S
        for attempt_id, (ended, _) in list(self._ended.items()):
            if ended < limit:
                del self._ended[attempt_id]
                self._started_at.pop(attempt_id, None)


def _drained(run: _Run, mode: StopMode) -> bool:
    """Return whether an executor is to be drained and has no requests left."""
    return mode is StopMode.DRAIN and not run.busy and not run.waiting


def _ended_report(
    running: AttemptReport, state: AttemptState, elapsed_s: float, body: t.Any
) -> AttemptReport:
    return AttemptReport(
        attempt_id=running.attempt_id,
        request_id=running.request_id,
        state=state,
        kind=running.kind,
        task=running.task,
        need=running.need,
        executor=running.executor,
        exclusive_key=running.exclusive_key,
        target=running.target,
        team=running.team,
        elapsed_s=elapsed_s,
        body=body,
    )
