"""Minimal worker for the fuzzer, with the guarantees G1 to G5 of the design page."""

import random
import typing as t
from dataclasses import dataclass, replace

from .codes import Code
from .fencing import RECORD_RETENTION_S, TASK_LEASE_S
from .messages import (
    AttemptReport,
    AttemptState,
    ClaimReply,
    ClaimWorker,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
    StopMode,
)
from .oracle import Oracle
from .resources import Resources

__all__ = ["FakeWorker", "PollWorker"]


@dataclass(frozen=True, slots=True)
class PollWorker:
    """Poll of a worker; renews the leases of all its attempts.

    Attributes
    ----------
    valid_until_ms : int
        Time on the worker's clock after which it renews no lease.
    exclusive_until_ms : int
        The same limit for attempts under an exclusive key. The earlier of the two
        limits applies to them.
    """

    vm: str
    epoch: int
    valid_until_ms: int
    exclusive_until_ms: int


@dataclass(slots=True)
class _Attempt:
    """Attempt on a worker; times are in seconds on the worker's clock.

    Attributes
    ----------
    ended_at : float
        Time of its end; 0 while it runs.
    """

    start: StartAttempt
    need: Resources
    lease_until: float
    state: AttemptState = AttemptState.RUNNING
    body: t.Any = None
    ended_at: float = 0.0


class FakeWorker:
    """Worker with a drifting clock.

    It does not check its own capacity, so that the oracle sees a VM that an owner
    overcommits.

    Parameters
    ----------
    without : frozenset of str
        Names of safety mechanisms that are disabled.

    Attributes
    ----------
    rate, offset : float
        Rate of the worker's clock and its reading at true time 0, in seconds.
    leaving : bool
        Whether the worker reports that its VM is leaving.
    gone : bool
        Whether the VM has failed.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        rng: random.Random,
        oracle: Oracle,
        without: frozenset[str],
    ):
        self.name = name
        self.capacity = capacity
        self.rate = rng.uniform(0.955, 1.045)
        self.offset = rng.uniform(0, 1000)
        self.leaving = False
        self.gone = False
        self._epoch = 0
        self._oracle = oracle
        self._without = without
        self._attempts: dict[str, _Attempt] = {}
        oracle.add_vm(name, capacity)

    def clock(self, true_time: float) -> float:
        """Return the reading of the worker's clock in seconds."""
        return self.offset + true_time * self.rate

    def handle(self, true_time: float, message: t.Any) -> list[t.Any]:
        """Process a message; return the replies.

        Each poll and claim reports all remembered attempts (G5).
        """
        self.expire(true_time)
        if isinstance(message, ClaimWorker):
            return [self._claim(true_time, message)]
        if isinstance(message, StartAttempt):
            return [self._start(true_time, message)]
        if isinstance(message, StopAttempt):
            self._stop(true_time, message)
            return []
        return [self._poll(true_time, message)]

    def running(self) -> list[str]:
        """Return the ids of the running attempts."""
        found = self._attempts.items()
        return [k for k, item in found if item.state is AttemptState.RUNNING]

    def finish(self, true_time: float, attempt_id: str, state: AttemptState) -> None:
        """End an attempt."""
        item = self._attempts[attempt_id]
        item.state = state
        item.ended_at = self.clock(true_time)
        work = item.start.work
        item.body = f"{work.request_id}/{item.start.task}"
        resumable = state is AttemptState.CHECKPOINTED
        self._oracle.task_ended(self.name, work, item.start.task, item.need, resumable)

    def expire(self, true_time: float) -> None:
        """Stop attempts with an ended lease (G4); forget those that ended long ago."""
        now = self.clock(true_time)
        for attempt_id in self.running():
            if self._attempts[attempt_id].lease_until <= now:
                self.finish(true_time, attempt_id, AttemptState.STOPPED)
        forgotten = [
            k
            for k, item in self._attempts.items()
            if item.ended_at and item.ended_at + RECORD_RETENTION_S <= now
        ]
        for attempt_id in forgotten:
            del self._attempts[attempt_id]

    def fail(self, true_time: float) -> None:
        """Fail the VM; its attempts stop and it answers no more."""
        for attempt_id in self.running():
            self.finish(true_time, attempt_id, AttemptState.STOPPED)
        self.gone = True

    def _is_stale(self, epoch: int) -> bool:
        return epoch < self._epoch and "epoch" not in self._without

    def _claim(self, true_time: float, message: ClaimWorker) -> ClaimReply:
        if self._is_stale(message.epoch):
            return ClaimReply(self.name, self._epoch, False)
        self._epoch = max(self._epoch, message.epoch)
        clock_ms = int(self.clock(true_time) * 1000)
        return ClaimReply(
            self.name, message.epoch, True, self._reports(), clock_ms, self.leaving
        )

    def _reports(self) -> tuple[AttemptReport, ...]:
        return tuple(map(_report, self._attempts.values()))

    def _start(self, true_time: float, message: StartAttempt) -> StartReply:
        code = self._refusal(true_time, message)
        if code is None:
            self._begin(true_time, message)
        return StartReply(self.name, message.attempt_id, code or Code.OK)

    def _refusal(self, true_time: float, message: StartAttempt) -> Code | None:
        # Checked first: a delayed copy of a start that has begun must not be answered
        # "not run".
        if message.attempt_id in self._attempts and "attempt_id" not in self._without:
            return Code.ATTEMPT_REPEATED
        if self._is_stale(message.epoch):
            return Code.STALE_EPOCH
        expired = self.clock(true_time) * 1000 > message.valid_until_ms
        if expired and "valid_until" not in self._without:
            return Code.START_EXPIRED
        return None

    def _begin(self, true_time: float, message: StartAttempt) -> None:
        until = self.clock(true_time) + TASK_LEASE_S
        item = _Attempt(message, message.work.need, until)
        self._attempts[message.attempt_id] = item
        work = message.work
        attempt = message.attempt_id
        self._oracle.task_started(self.name, work, message.task, item.need, attempt)

    def _stop(self, true_time: float, message: StopAttempt) -> None:
        if self._is_stale(message.epoch) or message.attempt_id not in self.running():
            return
        checkpoint = message.mode is StopMode.CHECKPOINT
        state = AttemptState.CHECKPOINTED if checkpoint else AttemptState.STOPPED
        self.finish(true_time, message.attempt_id, state)

    def _poll(self, true_time: float, message: PollWorker) -> PollReply:
        clock = self.clock(true_time)
        if not self._is_stale(message.epoch):
            self._epoch = max(self._epoch, message.epoch)
            self._renew(clock, message)
        return PollReply(
            self.name, self._epoch, self._reports(), int(clock * 1000), self.leaving
        )

    def _renew(self, clock: float, message: PollWorker) -> None:
        for attempt_id in self.running():
            item = self._attempts[attempt_id]
            until_ms = message.valid_until_ms
            if (
                item.start.work.exclusive_key
                and "exclusive_renewal" not in self._without
            ):
                until_ms = min(until_ms, message.exclusive_until_ms)
            if clock * 1000 <= until_ms or "renewal_limit" in self._without:
                item.lease_until = clock + TASK_LEASE_S


def _report(item: _Attempt) -> AttemptReport:
    work = item.start.work
    report = AttemptReport(
        item.start.attempt_id,
        work.request_id,
        item.state,
        task=item.start.task,
        need=work.need,
        exclusive_key=work.exclusive_key,
    )
    return report if item.body is None else replace(report, body=item.body)
