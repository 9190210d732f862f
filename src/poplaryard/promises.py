"""Promises between members not to take over each other's shards for a limited time."""

import typing as t

from .fencing import shorten_for_drift

__all__ = ["PROMISE_S", "Promises"]

# Duration of a promise on the clock of the member that gives it.
PROMISE_S = 4.0


class Promises:
    """Promises that this process has given to owners and received from members.

    A promise lasts `PROMISE_S` on the giver's clock from the receipt of the request.
    The receiver counts it from the time at which it sent the request, shortened by the
    allowance for clock drift, so that its view always ends first.
    """

    def __init__(self) -> None:
        self._given: dict[str, float] = {}
        self._received: dict[str, float] = {}
        self._dead: set[str] = set()

    def give(self, now: float, owner: str) -> None:
        """Record a promise to an owner."""
        self._given[owner] = now + PROMISE_S

    def receive(self, sent_at: float, member: str) -> None:
        """Record the promise of a member, given for a request sent at `sent_at`."""
        until = sent_at + shorten_for_drift(PROMISE_S)
        self._received[member] = max(until, self._received.get(member, until))

    def given_until(self, owner: str) -> float:
        """Return the end of the promise to an owner; minus infinity if none."""
        return self._given.get(owner, float("-inf"))

    def mark_dead(self, member: str) -> None:
        """Record that the process of a member is proven dead.

        Its promise is not needed any more.
        """
        self._dead.add(member)

    def is_dead(self, member: str) -> bool:
        """Return whether a process is proven dead."""
        return member in self._dead

    def valid_until(self, members: t.Iterable[str]) -> float:
        """Return the time until which each of `members` has promised.

        Members proven dead do not count. The result is infinity if none is left, and
        minus infinity if one of them never promised.
        """
        needed = (name for name in members if name not in self._dead)
        lowest = float("-inf")
        return min(
            (self._received.get(n, lowest) for n in needed), default=float("inf")
        )

    def forget(self, now: float, members: t.Container[str]) -> None:
        """Remove ended promises and entries of processes that are not in `members`."""
        self._given = {k: v for k, v in self._given.items() if v > now}
        self._received = {k: v for k, v in self._received.items() if k in members}
        self._dead = {name for name in self._dead if name in members}
