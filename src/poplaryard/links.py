"""Link from the owner of a shard to one of its workers."""

import asyncio
import random
import typing as t
from collections import deque

from .clock import SystemClock
from .codes import Code
from .exceptions import PoplaryardError
from .fencing import valid_until_ms
from .messages import (
    Authority,
    ClaimWorker,
    Message,
    StartAttempt,
    StartReply,
    StopAttempt,
    WorkerRestarted,
    WorkerUnreachable,
)
from .workers import Renewal, Workers

__all__ = ["CurrentAuthority", "WorkerLink"]

_clock = SystemClock()

# Largest number of starts in one call.
START_BATCH = 64
# Start calls open at once to one worker; further starts are collected into a batch.
MAX_START_CALLS = 4
# A quarter of the task lease, so that no task ends when two polls in a row are lost.
POLL_WAIT_S = 1.0
# Limits of the random back-off before a claim that follows a failure.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0

Post: t.TypeAlias = t.Callable[[Message], None]


class CurrentAuthority:
    """Current authority over a shard, which its links check before their calls.

    Attributes
    ----------
    exclusive_until : float
        End of the last authority that covered exclusive work.
    """

    def __init__(self, shard: str):
        self.value = Authority(shard, 0, 0.0, False)
        self.exclusive_until = float("-inf")
        self._renewed = asyncio.Event()

    def set(self, value: Authority) -> None:
        """Replace the authority."""
        self.value = value
        if value.exclusive:
            self.exclusive_until = value.until
        self._renewed.set()

    def valid(self) -> bool:
        """Return whether the authority holds now."""
        return _clock.now() < self.value.until

    async def wait_valid(self) -> None:
        """Wait until the authority holds."""
        while not self.valid():
            self._renewed.clear()
            await self._renewed.wait()


class _Reading(t.NamedTuple):
    """Clock reading of a worker and the time of its receipt."""

    clock_ms: int
    received_at: float


class WorkerLink:
    """Claims and polls one worker and sends it starts and stops.

    Claims, polls and starts are sent only while the authority is valid. Claims and
    polls are sent one after the other, so that a smaller clock reading or report number
    than the one before proves that the worker was restarted.

    Parameters
    ----------
    vm, address : str
        Name of the VM and address of its worker.
    workers : Workers
        Client for the calls to the worker.
    post : callable
        Called with the messages for the shard.
    authority : CurrentAuthority
        Authority of this process over the shard.
    """

    def __init__(
        self,
        vm: str,
        address: str,
        workers: Workers,
        post: Post,
        authority: CurrentAuthority,
    ):
        self.vm = vm
        self.address = address
        self._workers = workers
        self._post = post
        self._authority = authority
        self._rng = random.Random(vm)
        self._starts: deque[StartAttempt] = deque()
        self._calls: set[asyncio.Task[None]] = set()
        self._start_calls = 0
        self._poller: asyncio.Task[None] | None = None
        self._failures = 0
        # Last clock reading of the worker.
        self._clock_ms = 0

    def claim(self, command: ClaimWorker) -> None:
        """Claim the worker, then poll it under the same epoch until the next claim."""
        if self._poller is not None:
            self._poller.cancel()
        self._poller = asyncio.create_task(self._claim_and_poll(command.epoch))

    def start(self, command: StartAttempt) -> None:
        """Queue a start; it is sent with the next batch."""
        self._starts.append(command)
        if self._start_calls < MAX_START_CALLS:
            self._start_calls += 1
            self._spawn(self._send_starts())

    def stop_attempt(self, command: StopAttempt) -> None:
        """Send a stop."""
        self._spawn(self._send_stop(command))

    def close(self) -> None:
        """Close the link; the attempts on the worker run until their leases end."""
        if self._poller is not None:
            self._poller.cancel()
        for call in list(self._calls):
            call.cancel()

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _claim_and_poll(self, epoch: int) -> None:
        try:
            if self._failures:
                await asyncio.sleep(self._backoff())
            await self._authority.wait_valid()
            reply = await self._workers.claim(self.address, self.vm, epoch)
            reading = _Reading(reply.clock_ms, _clock.now())
            self._check_restart(reply.clock_ms)
            self._post(reply)
            if reply.accepted:
                await self._poll(epoch, reading)
        except PoplaryardError:
            self._failures += 1
            self._poller = None
            self._post(WorkerUnreachable(self.vm))

    async def _poll(self, epoch: int, reading: "_Reading") -> None:
        seen = 0
        while True:
            await self._authority.wait_valid()
            reply, number = await self._workers.poll(
                self.address, self.vm, epoch, seen, POLL_WAIT_S, self._renewal(reading)
            )
            if self._check_restart(reply.clock_ms, number < seen):
                # The poll has acknowledged reports of the present instance, which the
                # reply to the next claim contains.
                raise PoplaryardError(Code.WORKER_UNREACHABLE)
            seen = number
            reading = _Reading(reply.clock_ms, _clock.now())
            self._failures = 0
            self._post(reply)
            if reply.epoch > epoch:
                return

    def _check_restart(self, clock_ms: int, restarted: bool = False) -> bool:
        """Report whether the worker was restarted since the last reading of its clock.

        Parameters
        ----------
        clock_ms : int
            New reading.
        restarted : bool
            Whether its report numbers show it.
        """
        restarted = restarted or clock_ms < self._clock_ms
        self._clock_ms = clock_ms
        if restarted:
            self._post(WorkerRestarted(self.vm))
        return restarted

    def _renewal(self, reading: "_Reading") -> Renewal:
        authority = self._authority
        return Renewal(
            valid_until_ms(*reading, authority.value.until),
            valid_until_ms(*reading, authority.exclusive_until),
        )

    def _backoff(self) -> float:
        bound = min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(self._failures, 10))
        return self._rng.uniform(RETRY_MIN_S, bound)

    async def _send_starts(self) -> None:
        try:
            # Starts decided in the same iteration of the event loop go into one call.
            await asyncio.sleep(0)
            while self._starts:
                count = min(START_BATCH, len(self._starts))
                batch = [self._starts.popleft() for _ in range(count)]
                await self._send_batch(batch)
        finally:
            self._start_calls -= 1

    async def _send_batch(self, batch: list[StartAttempt]) -> None:
        if not self._authority.valid():
            for start in batch:
                self._refuse(start)
            return
        try:
            replies = await self._workers.start(self.address, batch)
        except PoplaryardError:
            self._post(WorkerUnreachable(self.vm))
            return
        for reply in replies:
            self._post(reply)

    def _refuse(self, start: StartAttempt) -> None:
        self._post(StartReply(self.vm, start.attempt_id, Code.NO_AUTHORITY))

    async def _send_stop(self, command: StopAttempt) -> None:
        try:
            await self._workers.stop(self.address, [command])
        except PoplaryardError:
            self._post(WorkerUnreachable(self.vm))
