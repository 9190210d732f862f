"""Stand-in for worker VMs: the guarantees G1 to G5 over HTTP, with faults on demand.

One process hosts many workers. `WorkerVm` holds the state of one; executors run
requests by waiting as long as the payload's ``run_ms`` says.
"""

import asyncio
import itertools
import time
import typing as t
from collections import deque
from dataclasses import dataclass, field

from .codes import Code
from .fencing import REMEMBERED_S, TASK_LEASE_S
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
from .workers import Renewal

__all__ = ["Faults", "RunRecord", "WorkerVm"]

# Renewal of a caller that knows no limit.
UNLIMITED = Renewal(2**63, 2**63)
SLOTS = 8
CONNECTIONS = 64
# Records kept for tests and the load generator; older ones are dropped.
RECORDS_KEPT = 200_000


@dataclass(slots=True)
class Faults:
    """Faults that a worker shows until told otherwise.

    Attributes
    ----------
    slow : float
        Factor by which run times are multiplied.
    drop_replies : int
        Replies still to be withheld after their call took effect.
    duplicate_reports : bool
        Whether every poll repeats the reports of the one before.
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
    """What ran: one entry for each attempt that was really started."""

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
    """Attempt accepted by the worker."""

    start: StartAttempt
    report: AttemptReport
    record: RunRecord
    lease_until: float
    task: asyncio.Task[None] | None = None
    waiting: deque["_Run"] = field(default_factory=deque)
    busy: int = 0


class WorkerVm:
    """One worker VM.

    Parameters
    ----------
    name : str
    capacity : Resources
    clock : callable
        Monotonic clock of the worker in seconds.
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
        self._epoch = 0
        self._running: dict[str, _Run] = {}
        self._seen: dict[str, float] = {}
        self._ended: dict[str, tuple[float, AttemptReport]] = {}
        self._changes: deque[tuple[int, AttemptReport]] = deque()
        self._number = itertools.count(1)
        self._last_number = 0
        self._changed = asyncio.Event()
        self.resumed = asyncio.Event()
        self.resumed.set()

    def clock_ms(self) -> int:
        """Return the worker's monotonic clock in milliseconds."""
        return int(self._clock() * 1000)

    def claim(self, epoch: int) -> ClaimReply:
        """Take the epoch unless a higher one was seen; report all attempts."""
        accepted = self._admit(epoch)
        self._changed.set()  # ends a waiting poll of the old owner
        reports = [run.report for run in self._running.values()]
        self._forget()
        reports += [report for _, report in self._ended.values()]
        shown = self._epoch if not accepted else epoch
        attempts = tuple(reports) if accepted else ()
        return ClaimReply(
            self.name,
            shown,
            accepted,
            attempts,
            self.clock_ms(),
            self.faults.leaving,
        )

    def start(self, start: StartAttempt) -> StartReply:
        """Start one attempt or say why not."""
        code = self._refusal(start)
        if code is Code.OK:
            self._begin(start)
        return StartReply(self.name, start.attempt_id, code)

    def stop(self, stop: StopAttempt) -> None:
        """Stop, drain or checkpoint an attempt; throttling changes nothing here."""
        run = self._running.get(stop.attempt_id)
        if run is None or not self._admit(stop.epoch):
            return
        if stop.mode is StopMode.CHECKPOINT:
            self._end(run, AttemptState.CHECKPOINTED)
        elif stop.mode is StopMode.STOP or _drained(run, stop.mode):
            self._end(run, AttemptState.STOPPED)

    async def poll(
        self, epoch: int, seen: int, wait_s: float, renewal: Renewal = UNLIMITED
    ) -> tuple[PollReply, int]:
        """Renew leases, drop reports up to `seen` and wait for newer ones."""
        if not self._admit(epoch):
            reply = PollReply(self.name, self._epoch, (), self.clock_ms())
            return reply, seen
        self.expire()
        self._renew(renewal)
        self._acknowledge(seen)
        if not self._changes:
            await self._wait(wait_s)
            if not self._admit(epoch):
                return PollReply(self.name, self._epoch, (), self.clock_ms()), seen
        number = self._changes[-1][0] if self._changes else self._last_number
        reply = PollReply(
            vm=self.name,
            epoch=epoch,
            attempts=tuple(report for _, report in self._changes),
            clock_ms=self.clock_ms(),
            leaving=self.faults.leaving,
            used=self.used(),
        )
        return reply, number

    def used(self) -> Resources:
        """Return the sum of what the running attempts take."""
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
        """Show these faults from now on."""
        self.faults = faults
        if faults.paused:
            self.resumed.clear()
        else:
            self.resumed.set()
        self._changed.set()

    def _admit(self, epoch: int) -> bool:
        """Remember the highest epoch and refuse lower ones (G1)."""
        if self.faults.ignore_epochs:
            return True
        self._epoch = max(self._epoch, epoch)
        return epoch >= self._epoch

    def _refusal(self, start: StartAttempt) -> Code:
        # Checked first: a late copy of a start that has begun is not "not run".
        if start.attempt_id in self._seen:
            return Code.ATTEMPT_REPEATED
        if not self._admit(start.epoch):
            return Code.STALE_EPOCH
        if self.clock_ms() > start.valid_until_ms:
            return Code.START_EXPIRED
        if start.work.kind is WorkKind.REQUEST:
            return self._executor_refusal(start.executor)
        if not start.work.need.fits_in(self.capacity - self.used()):
            self.overcommits += 1
            return Code.WORKER_FULL
        return Code.OK

    def _executor_refusal(self, executor: str) -> Code:
        host = self._running.get(executor)
        if host is None or host.busy + len(host.waiting) >= CONNECTIONS:
            return Code.WORKER_FULL
        return Code.OK

    def _begin(self, start: StartAttempt) -> None:
        work = start.work
        now = self._clock()
        self._seen[start.attempt_id] = now
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
        if run.start.work.kind is WorkKind.SERVICE:
            return
        host = self._running.get(run.start.executor)
        if host is not None and host.busy >= SLOTS:
            host.waiting.append(run)
            return
        if host is not None:
            host.busy += 1
        run.task = asyncio.create_task(self._execute(run))

    async def _execute(self, run: _Run) -> None:
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
        old = run.report
        if self._running.pop(old.attempt_id, None) is None:
            return
        if run.task is not None:
            run.task.cancel()
        now = self._clock()
        run.record.ended, run.record.state = now, state.value
        elapsed_s = now - run.record.started
        report = _ended_report(old, state, elapsed_s, body)
        self._ended[old.attempt_id] = (now, report)
        self._last_number = next(self._number)
        self._changes.append((self._last_number, report))
        self._changed.set()
        self._free_slot(run)
        for waiting in run.waiting:
            self._end(waiting, AttemptState.STOPPED)

    def _free_slot(self, run: _Run) -> None:
        host = self._running.get(run.start.executor)
        if host is None:
            return
        if run in host.waiting:
            host.waiting.remove(run)
            return
        host.busy -= 1
        if host.waiting:
            self._launch(host.waiting.popleft())

    def _renew(self, renewal: Renewal) -> None:
        until, now_ms = self._clock() + TASK_LEASE_S, self.clock_ms()
        for run in self._running.values():
            limit_ms = renewal.valid_until_ms
            if run.start.work.exclusive_key:
                limit_ms = min(limit_ms, renewal.exclusive_until_ms)
            if now_ms <= limit_ms:
                run.lease_until = until

    def _acknowledge(self, seen: int) -> None:
        if self.faults.duplicate_reports:
            seen = min(seen, self._last_number - 1)
        while self._changes and self._changes[0][0] <= seen:
            self._changes.popleft()

    async def _wait(self, wait_s: float) -> None:
        self._changed.clear()
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return

    def _forget(self) -> None:
        """Drop what is older than the time for which attempts are remembered."""
        limit = self._clock() - REMEMBERED_S
        for attempt_id, (ended, _) in list(self._ended.items()):
            if ended < limit:
                del self._ended[attempt_id]
                self._seen.pop(attempt_id, None)


def _drained(run: _Run, mode: StopMode) -> bool:
    return mode is StopMode.DRAIN and not run.busy and not run.waiting


def _ended_report(
    old: AttemptReport, state: AttemptState, elapsed_s: float, body: t.Any
) -> AttemptReport:
    return AttemptReport(
        attempt_id=old.attempt_id,
        request_id=old.request_id,
        state=state,
        kind=old.kind,
        task=old.task,
        need=old.need,
        executor=old.executor,
        exclusive_key=old.exclusive_key,
        target=old.target,
        team=old.team,
        elapsed_s=elapsed_s,
        body=body,
    )
