"""HTTP client of worker VMs."""

import dataclasses
import typing as t

from . import wire
from .client import HttpClient
from .clock import SystemClock
from .codes import Code
from .exceptions import PoplaryardError
from .messages import (
    ClaimReply,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
)
from .workers import Renewal

__all__ = ["HttpWorkers"]

_clock = SystemClock()

# Timeouts in seconds; a poll has this much more than its own wait.
CALL_TIMEOUT_S = 1.5
CLAIM_TIMEOUT_S = 3.0


class HttpWorkers:
    """Calls worker VMs over HTTP; implements `poplaryard.workers.Workers`."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def claim(self, address: str, vm: str, epoch: int) -> ClaimReply:
        """Claim a worker with an epoch."""
        body = {"vm": vm, "epoch": epoch}
        found = await self._call(address, "claim", body, CLAIM_TIMEOUT_S)
        return wire.decode_as(ClaimReply, found, _clock.now())

    async def start(
        self, address: str, starts: t.Sequence[StartAttempt]
    ) -> list[StartReply]:
        """Start attempts; return one reply, with its own code, for each."""
        now = _clock.now()
        body = {"starts": [wire.encode(start, now) for start in starts]}
        found = await self._call(address, "start", body, CALL_TIMEOUT_S)
        return [wire.decode_as(StartReply, item, now) for item in found["replies"]]

    async def stop(self, address: str, stops: t.Sequence[StopAttempt]) -> None:
        """Stop, drain, checkpoint or throttle attempts."""
        now = _clock.now()
        body = {"stops": [wire.encode(stop, now) for stop in stops]}
        await self._call(address, "stop", body, CALL_TIMEOUT_S)

    async def poll(
        self,
        address: str,
        vm: str,
        epoch: int,
        seen: int,
        wait_s: float,
        renewal: Renewal,
    ) -> tuple[PollReply, int]:
        """Renew the leases of all attempts and wait for a change after `seen`."""
        body = {"vm": vm, "epoch": epoch, "seen": seen, "wait_s": wait_s}
        body |= dataclasses.asdict(renewal)
        found = await self._call(address, "poll", body, wait_s + CALL_TIMEOUT_S)
        reply = wire.decode_as(PollReply, found["reply"], _clock.now())
        return reply, int(found["number"])

    async def _call(
        self, address: str, name: str, body: t.Any, timeout_s: float
    ) -> t.Any:
        url = f"http://{address}/worker/v1/{name}"
        try:
            reply = await self._client.post(url, body, timeout_s)
        except PoplaryardError as exc:
            raise PoplaryardError(Code.WORKER_UNREACHABLE, exc.detail) from exc
        if reply.status != 200:
            detail = f"{url} answered with status {reply.status}."
            raise PoplaryardError(Code.WORKER_UNREACHABLE, detail)
        return reply.body
