"""Interface of the client of worker VMs."""

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
    """Latest arrival, in ms on the worker's clock, of a poll that renews leases.

    A poll that arrives later, since its sender was paused, renews none: the next owner
    may already have waited until the leases ended.

    Attributes
    ----------
    valid_until_ms : int
        Limit for all attempts.
    exclusive_until_ms : int
        Additional limit for attempts with an exclusive key.
    """

    valid_until_ms: int
    exclusive_until_ms: int


class Workers(t.Protocol):
    """Calls to worker VMs.

    Every method raises `PoplaryardError` with `Code.WORKER_UNREACHABLE` if there is no
    valid answer; the call may have taken effect then.
    """

    async def claim(self, address: str, vm: str, epoch: int) -> ClaimReply:
        """Claim a worker with an epoch; lower epochs are refused afterwards."""

    async def start(
        self, address: str, starts: t.Sequence[StartAttempt]
    ) -> list[StartReply]:
        """Start attempts; return one reply, with its own code, for each."""

    async def stop(self, address: str, stops: t.Sequence[StopAttempt]) -> None:
        """Stop, drain, checkpoint or throttle attempts; see `StopMode`."""

    async def poll(
        self,
        address: str,
        vm: str,
        epoch: int,
        seen: int,
        wait_s: float,
        renewal: Renewal,
    ) -> tuple[PollReply, int]:
        """Renew the leases of all attempts and wait for a change of their states.

        Parameters
        ----------
        seen : int
            Number that the last poll returned, 0 at first; only later changes count.
        wait_s : float
            Longest time to wait for a change, in seconds.

        Returns
        -------
        tuple
            The reply, and the number to pass as `seen` next time.
        """
