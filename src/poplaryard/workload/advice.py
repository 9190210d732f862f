"""Distributes advice calls over the processes.

The advice service tells which workers may run a task and issues tickets for them. It
handles the calls of one process one at a time, and some take half a second. Slow calls
therefore go through peers that own no group, so that quick calls never wait behind
them.
"""

import typing as t
import zlib
from dataclasses import dataclass

from ..exceptions import PoplaryardError
from ..logs import logger

__all__ = [
    "SLOW_CALL_S",
    "Advisor",
    "Channel",
    "ChannelPool",
    "LocalAdvisor",
    "preferred_peers",
]

# Calls expected to take longer than this are slow, in seconds. Quick calls are made
# for short tasks, where a delay of 0.1 s is noticeable to the caller.
SLOW_CALL_S = 0.1
# Maximum number of quick calls in progress on a channel.
MAX_QUICK_CALLS = 3
# Time without quick calls after which a process with usable peers makes slow calls
# through its own channel too, in seconds.
QUICK_IDLE_S = 5.0
# Time for which a channel is not used after a failed call, and after a call that was
# refused because another owner uses the channel, in seconds.
FAILED_PAUSE_S = 1.0
BUSY_PAUSE_S = 0.05
# Added to the expected duration of a call to get its timeout, in seconds.
TIMEOUT_SLACK_S = 0.6


def preferred_peers(
    process: str, owners: t.Iterable[str], peers: t.Iterable[str]
) -> set[str]:
    """Return the peers that the owners in a process use first.

    Each peer is preferred by one of the processes that own partitions, which all of
    them compute alike (rendezvous hashing).
    """
    rivals = {*owners, process}
    return {
        peer
        for peer in set(peers) - rivals
        if process
        == max(rivals, key=lambda owner: zlib.crc32(f"{owner} {peer}".encode()))
    }


class Advisor(t.Protocol):
    """Client of the advice service."""

    async def ask(
        self, step: str, workers: list[str], timeout_s: float, slow: bool = False
    ) -> tuple[dict[str, str], float] | None:
        """Return tickets by worker and their validity in seconds; None if refused."""


class LocalAdvisor:
    """Advisor that uses this process's queue at the advice service.

    The process's own group owners and its peers share it. It refuses a call that would
    wait behind a slow one, so that the caller can use another channel.

    Parameters
    ----------
    advisor : Advisor
    """

    def __init__(self, advisor: Advisor):
        self._advisor = advisor
        self._slow_calls = 0
        self._quick_calls = 0

    async def ask(
        self, step: str, workers: list[str], timeout_s: float, slow: bool = False
    ) -> tuple[dict[str, str], float] | None:
        """Return tickets by worker and their validity in seconds; None if refused."""
        if self._slow_calls or (slow and self._quick_calls > MAX_QUICK_CALLS):
            return None
        self._slow_calls += slow
        self._quick_calls += not slow
        try:
            return await self._advisor.ask(step, workers, timeout_s)
        finally:
            self._slow_calls -= slow
            self._quick_calls -= not slow


@dataclass(slots=True, eq=False)
class Channel:
    """Path to the advice service through one process, with the calls in progress.

    Attributes
    ----------
    name : str
        Process that makes the calls; empty for this process.
    owns_groups : bool
        Whether that process owns groups and needs its channel for their quick calls.
    preferred : bool
        Whether the other owners use this channel only when theirs are busy.
    slow_calls, quick_calls : int
        Calls in progress.
    paused_until : float
        Time before which the channel is not selected, in seconds.
    last_used_at : float
        Time of the last call, in seconds.
    last_quick_at : float
        Time of the last quick call of this process on any channel, in seconds; kept
        only on the local channel.
    """

    name: str
    advisor: Advisor
    owns_groups: bool = False
    preferred: bool = False
    slow_calls: int = 0
    quick_calls: int = 0
    paused_until: float = 0.0
    last_used_at: float = 0.0
    last_quick_at: float = float("-inf")

    def acquire(self, slow: bool, now: float) -> None:
        """Count a call as in progress.

        This happens before the task of the call runs, since otherwise the channel could
        be selected again meanwhile.
        """
        self.last_used_at = now
        if slow:
            self.slow_calls += 1
        else:
            self.quick_calls += 1

    def release(self, slow: bool) -> None:
        """Record that a call has ended."""
        if slow:
            self.slow_calls -= 1
        else:
            self.quick_calls -= 1


class ChannelPool:
    """Channels that the group owners of this process may use.

    Parameters
    ----------
    local : Advisor
        Advisor of this process.
    """

    def __init__(self, local: Advisor):
        self._local = Channel("", local)
        self._peers: dict[str, Channel] = {}

    def set_peers(
        self,
        peers: dict[str, tuple[Advisor, bool]],
        preferred: t.Collection[str] = (),
    ) -> None:
        """Replace the peers; each has an advisor and whether it owns groups.

        Parameters
        ----------
        preferred : collection of str
            Peers that this process uses first. Owners in other processes prefer other
            ones: a call is refused by a process that makes a slow one for another
            owner.
        """
        for name in [name for name in self._peers if name not in peers]:
            del self._peers[name]
        for name, (advisor, owns_groups) in peers.items():
            channel = self._peers.setdefault(name, Channel(name, advisor))
            channel.advisor, channel.owns_groups = advisor, owns_groups
            channel.preferred = name in preferred

    def select(self, slow: bool, now: float) -> Channel | None:
        """Return a channel for a call, or None if none is free."""
        return self._select_slow(now) if slow else self._select_quick(now)

    def acquire(self, channel: Channel, slow: bool, now: float) -> None:
        """Count a call as in progress; `Channel.release` follows when it has ended."""
        channel.acquire(slow, now)
        if not slow:
            self._local.last_quick_at = now

    def _select_slow(self, now: float) -> Channel | None:
        peers = [
            channel for channel in self._peers.values() if now >= channel.paused_until
        ]
        candidates = (
            [channel for channel in peers if not channel.owns_groups]
            or peers
            or [self._local]
        )
        if (
            now > self._local.last_quick_at + QUICK_IDLE_S
            and self._local not in candidates
        ):
            candidates = [*candidates, self._local]
        free = [
            channel
            for channel in candidates
            if not channel.slow_calls and not channel.quick_calls
        ]
        return min(
            free,
            key=lambda channel: (not channel.preferred, channel.last_used_at),
            default=None,
        )

    def _select_quick(self, now: float) -> Channel | None:
        channels = [self._local, *self._peers.values()]
        free = [
            channel
            for channel in channels
            if not channel.slow_calls
            and channel.quick_calls < MAX_QUICK_CALLS
            and now >= channel.paused_until
        ]
        # Prefers the local channel: a peer adds a network round trip.
        return min(
            free,
            key=lambda channel: (
                not (channel is self._local or channel.preferred),
                channel.quick_calls,
                channel is not self._local,
                channel.owns_groups,
            ),
            default=None,
        )

    async def ask(
        self,
        channel: Channel,
        step: str,
        workers: list[str],
        cost_s: float,
        clock: t.Callable[[], float],
    ) -> tuple[dict[str, str], float] | None:
        """Ask through a channel; return what `Advisor.ask` does, or None on failure.

        Parameters
        ----------
        cost_s : float
            Expected duration of the call in seconds.
        """
        slow = cost_s > SLOW_CALL_S
        timeout_s = cost_s * (1 + channel.quick_calls) + TIMEOUT_SLACK_S
        answer = None
        pause_s = BUSY_PAUSE_S
        try:
            answer = await channel.advisor.ask(step, workers, timeout_s, slow)
        except PoplaryardError as exc:
            extra = {"line": channel.name, "step": step, "reason": exc.detail}
            logger.warning("no advice", extra=extra)
            pause_s = FAILED_PAUSE_S
        if answer is None:
            channel.paused_until = clock() + pause_s
        return answer
