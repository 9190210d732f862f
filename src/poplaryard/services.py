"""Service replicas: choice of an executor and comparison with the ticket."""

import random
from dataclasses import dataclass

from .configuration import ServiceSpec

__all__ = ["Replica", "ReplicaPool"]


@dataclass(slots=True)
class Replica:
    """Executor of one service.

    Attributes
    ----------
    ready : bool
        Whether the worker has confirmed the start.
    """

    attempt_id: str
    vm: str
    slots: int
    in_flight: int = 0
    ready: bool = False
    draining: bool = False

    @property
    def open(self) -> bool:
        """Whether a request may be sent here."""
        return self.ready and not self.draining and self.in_flight < self.slots


class ReplicaPool:
    """Replicas of one service in one shard."""

    def __init__(self, spec: ServiceSpec):
        self.spec = spec
        self.replicas: dict[str, Replica] = {}
        self._open: list[str] = []

    def add(self, replica: Replica) -> None:
        """Add a replica."""
        self.replicas[replica.attempt_id] = replica
        self.refresh(replica.attempt_id)

    def remove(self, attempt_id: str) -> None:
        """Forget a replica."""
        self.replicas.pop(attempt_id, None)
        self.refresh(attempt_id)

    def refresh(self, attempt_id: str) -> None:
        """Bring the list of open replicas up to date for one replica."""
        replica = self.replicas.get(attempt_id)
        is_open = replica is not None and replica.open
        if is_open and attempt_id not in self._open:
            self._open.append(attempt_id)
        elif not is_open and attempt_id in self._open:
            self._open.remove(attempt_id)

    def choose(self, rng: random.Random) -> Replica | None:
        """Return the less loaded of two random open replicas."""
        if not self._open:
            return None
        first = self.replicas[rng.choice(self._open)]
        second = self.replicas[rng.choice(self._open)]
        return first if first.in_flight <= second.in_flight else second

    def take(self, replica: Replica) -> None:
        """Occupy one slot."""
        replica.in_flight += 1
        self.refresh(replica.attempt_id)

    def give_back(self, attempt_id: str) -> None:
        """Free one slot."""
        replica = self.replicas.get(attempt_id)
        if replica is not None:
            replica.in_flight -= 1
            self.refresh(attempt_id)

    def missing(self) -> int:
        """Return how many replicas the ticket asks for beyond those present."""
        present = sum(not replica.draining for replica in self.replicas.values())
        return max(0, self.spec.replicas - present)
