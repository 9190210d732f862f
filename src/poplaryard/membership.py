"""Failure detection among the entry processes of a data centre by heartbeats."""

import random
import typing as t
from dataclasses import dataclass

__all__ = ["HEARTBEAT_S", "FANOUT", "Membership"]

# Interval between heartbeats to a peer.
HEARTBEAT_S = 1.0

# Number of peers that each member normally sends heartbeats to. It is fixed, so that
# the cost does not grow with the number of members.
FANOUT = 8

# Missed heartbeats in a row after which a peer is suspected.
MISSES = 3

# Penalty from which a peer is avoided. Each suspicion raises the penalty of a peer by
# 1, and it decays with the half-life. Without it, a peer that alternates between
# failing and answering would make routes change each second.
PENALTY_LIMIT = 3.0
FLAP_HALF_LIFE_S = 30.0


@dataclass(slots=True)
class _Peer:
    """State of one other member."""

    misses: int = 0
    suspected: bool = False
    refuted: int = 0
    penalty: float = 0.0
    penalty_at: float = 0.0


class Membership:
    """Selects the peers to send heartbeats to, and the peers that are suspected.

    Suspicion is only a hint for routing and for the choice of the members that watch
    the record. Decisions about ownership never depend on it.
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
        """Set the members to those of the record."""
        names = [name for name in members if name != self._process]
        self._peers = {name: self._peers.get(name, _Peer()) for name in names}

    def due_peers(self, now: float, everyone: bool) -> list[str]:
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
        """Record a message from a peer, which ends a suspicion of it.

        `refuted` is the number of suspicions that the peer has refuted itself.
        """
        peer = self._peers.get(process)
        if peer is None:
            return
        peer.misses = 0
        peer.suspected = False
        peer.refuted = max(peer.refuted, refuted)

    def missed(self, now: float, process: str) -> None:
        """Record that a peer did not answer a heartbeat."""
        peer = self._peers.get(process)
        if peer is None:
            return
        peer.misses += 1
        if peer.misses >= MISSES and not peer.suspected:
            self._suspect(now, peer)

    def add_suspicions(self, now: float, suspects: t.Iterable[str]) -> None:
        """Adopt the suspicions of a peer; one of this process is counted as refuted.

        Suspicions of peers that get heartbeats from this process are ignored, because
        it observes them itself.
        """
        for name in suspects:
            if name == self._process:
                self._refuted += 1
            elif name in self._peers and name not in self._monitored():
                peer = self._peers[name]
                if not peer.suspected:
                    self._suspect(now, peer)

    def suspects(self) -> tuple[str, ...]:
        """Return the suspected peers, sorted."""
        peers = self._peers.items()
        return tuple(sorted(name for name, peer in peers if peer.suspected))

    def avoided(self, now: float) -> set[str]:
        """Return the peers to avoid: suspected, or suspected too often of late."""
        peers = self._peers.items()
        return {
            name
            for name, peer in peers
            if peer.suspected or _decayed(peer, now) >= PENALTY_LIMIT
        }

    def _monitored(self) -> set[str]:
        ring = sorted([*self._peers, self._process])
        at = ring.index(self._process)
        return set((ring[at + 1 :] + ring[:at])[:FANOUT])

    def _suspect(self, now: float, peer: _Peer) -> None:
        peer.suspected = True
        peer.penalty = _decayed(peer, now) + 1.0
        peer.penalty_at = now


def _decayed(peer: _Peer, now: float) -> float:
    return peer.penalty * 0.5 ** ((now - peer.penalty_at) / FLAP_HALF_LIFE_S)
