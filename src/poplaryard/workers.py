"""Interface to worker VMs."""

import typing as t
from dataclasses import dataclass

from .messages import (
    ClaimReply,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
)

__all__ = ["Renewal", "Workers"]


@dataclass(frozen=True, slots=True)
class Renewal:
    """Latest moments, in ms on the worker's clock, at which a poll renews leases.

    A poll that is delivered late, after its sender was paused, must not extend a task
    that a successor has already waited out.

    Attributes
    ----------
    valid_until_ms : int
        Limit for all attempts.
    exclusive_until_ms : int
        Limit for attempts under an exclusive key, if it is earlier.
    """

    valid_until_ms: int
    exclusive_until_ms: int


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
        self,
        address: str,
        vm: str,
        epoch: int,
        seen: int,
        wait_s: float,
        renewal: Renewal,
    ) -> tuple[PollReply, int]:
        """Renew the leases of all attempts and wait for changes after number `seen`."""
