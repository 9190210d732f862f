"""Promises among members not to take over each other's shards."""

import typing as t

from .fencing import shortened

__all__ = ["PROMISE_S", "Promises"]

PROMISE_S = 4.0


class Promises:
    """Promises given to owners and received from members.

    A promise lasts `PROMISE_S` on the giver's clock from the receipt of the request.
    The owner counts it from the time it sent the request, less the allowance for drift.
    """

    def __init__(self) -> None:
        self._given: dict[str, float] = {}
        self._received: dict[str, float] = {}
        self._dead: set[str] = set()

    def give(self, now: float, owner: str) -> None:
        """Note a promise to an owner."""
        self._given[owner] = now + PROMISE_S

    def receive(self, sent_at: float, member: str) -> None:
        """Note a promise of a member to a request sent at `sent_at`."""
        until = sent_at + shortened(PROMISE_S)
        self._received[member] = max(until, self._received.get(member, until))

    def given_until(self, owner: str) -> float:
        """Return the end of the promise to an owner; minus infinity if none."""
        return self._given.get(owner, float("-inf"))

    def exclude(self, member: str) -> None:
        """Note that a member's process is proven dead; its promise is not needed."""
        self._dead.add(member)

    def is_dead(self, member: str) -> bool:
        """Return whether a process is proven dead."""
        return member in self._dead

    def valid_until(self, members: t.Iterable[str]) -> float:
        """Return the time until which every one of `members` keeps a promise.

        Infinity if no living member is named, minus infinity if one never promised.
        """
        needed = (name for name in members if name not in self._dead)
        lowest = float("-inf")
        return min(
            (self._received.get(n, lowest) for n in needed), default=float("inf")
        )

    def forget(self, now: float, members: t.Container[str]) -> None:
        """Drop what concerns processes that are no longer members."""
        self._given = {k: v for k, v in self._given.items() if v > now}
        self._received = {k: v for k, v in self._received.items() if k in members}
        self._dead = {name for name in self._dead if name in members}
