"""Interface to worker VMs."""

import typing as t

from .messages import (
    ClaimReply,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
)

__all__ = ["Workers"]


class Workers(t.Protocol):
    """Calls that a worker VM offers.

    Every method raises `PoplaryardError` with `Code.WORKER_UNREACHABLE` if no answer
    came, in which case the call may have taken effect.
    """

    async def claim(self, address: str, vm: str, epoch: int) -> ClaimReply:
        """Claim a worker under an epoch; lower epochs are refused from then on."""

    async def start(
        self, address: str, starts: t.Sequence[StartAttempt]
    ) -> list[StartReply]:
        """Start attempts, each answered with its own code."""

    async def stop(self, address: str, stops: t.Sequence[StopAttempt]) -> None:
        """Stop, drain, checkpoint or throttle attempts."""

    async def poll(
        self, address: str, vm: str, epoch: int, seen: int, wait_s: float
    ) -> tuple[PollReply, int]:
        """Renew the leases of all attempts and wait for changes after number `seen`."""
