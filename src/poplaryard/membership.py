"""Heartbeats among the entry processes of a data centre, and suspicion."""

import random
import typing as t
from dataclasses import dataclass

__all__ = ["HEARTBEAT_S", "FANOUT", "Membership"]

HEARTBEAT_S = 1.0

# Each member sends to this many peers at rest, so that its cost does not grow with the
# number of members.
FANOUT = 8

# Misses in a row after which a peer is suspected.
MISSES = 3

# A peer suspected this often within the half-life is avoided until the count decays, so
# that a flapping peer does not make routes change each second.
FLAPS = 3.0
FLAP_HALF_LIFE_S = 30.0


@dataclass(slots=True)
class _Peer:
    misses: int = 0
    suspected: bool = False
    refuted: int = 0
    penalty: float = 0.0
    penalty_at: float = 0.0


class Membership:
    """Which members to send heartbeats to and which of them are suspected.

    Suspicion is advice for routing and for the choice of watchers. It never takes part
    in a decision about ownership.
    """

    def __init__(self, process: str, rng: random.Random):
        self._process = process
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._next_at = 0.0
        self._refuted = 0

    @property
    def refuted(self) -> int:
        """Number of suspicions about itself that this process has refuted."""
        return self._refuted

    def set_members(self, members: t.Iterable[str]) -> None:
        """Take the members of the record."""
        names = [name for name in members if name != self._process]
        self._peers = {name: self._peers.get(name, _Peer()) for name in names}

    def targets(self, now: float, everyone: bool) -> list[str]:
        """Return the peers that are due a heartbeat now.

        Parameters
        ----------
        everyone : bool
            Whether promises of all members are needed because the store does not
            answer; otherwise the next `FANOUT` members on the ring are returned.
        """
        if now < self._next_at:
            return []
        self._next_at = now + HEARTBEAT_S * self._rng.uniform(0.95, 1.05)
        if everyone:
            return sorted(self._peers)
        ring = sorted([*self._peers, self._process])
        at = ring.index(self._process)
        return (ring[at + 1 :] + ring[:at])[:FANOUT]

    def heard(self, process: str, refuted: int) -> None:
        """Note a message from a peer, which refutes a suspicion."""
        peer = self._peers.get(process)
        if peer is None:
            return
        peer.misses = 0
        peer.suspected = False
        peer.refuted = max(peer.refuted, refuted)

    def missed(self, now: float, process: str) -> None:
        """Note that a peer did not answer a heartbeat."""
        peer = self._peers.get(process)
        if peer is None:
            return
        peer.misses += 1
        if peer.misses >= MISSES and not peer.suspected:
            self._suspect(now, peer)

    def rumours(self, now: float, suspects: t.Iterable[str]) -> None:
        """Take the suspicions of a peer; one about this process is refuted."""
        for name in suspects:
            if name == self._process:
                self._refuted += 1
            elif name in self._peers and name not in self._direct():
                peer = self._peers[name]
                if not peer.suspected:
                    self._suspect(now, peer)

    def suspects(self) -> tuple[str, ...]:
        """Return the suspected peers, sorted."""
        found = self._peers.items()
        return tuple(sorted(name for name, peer in found if peer.suspected))

    def avoided(self, now: float) -> set[str]:
        """Return the peers to avoid: suspected ones and ones that flap."""
        found = self._peers.items()
        return {
            name
            for name, peer in found
            if peer.suspected or _decayed(peer, now) >= FLAPS
        }

    def _direct(self) -> set[str]:
        ring = sorted([*self._peers, self._process])
        at = ring.index(self._process)
        return set((ring[at + 1 :] + ring[:at])[:FANOUT])

    def _suspect(self, now: float, peer: _Peer) -> None:
        peer.suspected = True
        peer.penalty = _decayed(peer, now) + 1.0
        peer.penalty_at = now


def _decayed(peer: _Peer, now: float) -> float:
    return peer.penalty * 0.5 ** ((now - peer.penalty_at) / FLAP_HALF_LIFE_S)
