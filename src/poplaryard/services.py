"""Service replicas: choice of an executor and comparison with the ticket."""

import random
import typing as t
from dataclasses import dataclass

from .configuration import ServiceSpec
from .resources import Resources

__all__ = ["Replica", "ReplicaPool", "split"]

# An old and a new owner together must stay under the 64 connections of an executor.
MAX_SLOTS = 24

# A leaving VM must get no new requests within 3 s; this leaves 1 s for the VM list.
CLOSE_AFTER_S = 2.0

# A replica of an outdated size is stopped without a successor after this time, so that
# a full cell cannot hold up a change for ever.
ROLL_WAIT_S = 30.0

NEVER = float("inf")


@dataclass(slots=True, eq=False)
class Replica:
    """Executor of one service.

    Attributes
    ----------
    ready : bool
        Whether the worker has confirmed the start.
    suspended : bool
        Whether it gets no requests because its VM is ejected.
    close_at : float
        Time at which it takes no more requests, whether or not it has a successor;
        infinity if it is not being retired or waits for its successor.
    position : int
        Place in the pool's list of open replicas; -1 if it is not open.
    """

    attempt_id: str
    vm: str
    rack: str
    need: Resources
    in_flight: int = 0
    ready: bool = False
    retiring: bool = False
    closed: bool = False
    suspended: bool = False
    close_at: float = NEVER
    position: int = -1


class ReplicaPool:
    """Replicas of one service in one shard.

    Attributes
    ----------
    wanted : int
        Replicas that this shard is to run.
    changed : bool
        Whether something happened since the last reconciliation.
    unsettled : bool
        Whether replicas wait to be started, closed or drained.
    """

    def __init__(self, spec: ServiceSpec):
        self.spec = spec
        self.wanted = 0
        self.changed = True
        self.unsettled = False
        self.replicas: dict[str, Replica] = {}
        self.racks: dict[str, int] = {}
        self.retry_at = 0.0
        self._open: list[Replica] = []
        self._in_flight: dict[str, int] = {}

    @property
    def slots(self) -> int:
        """Requests that one replica serves at a time."""
        return min(self.spec.slots, MAX_SLOTS)

    def add(self, attempt_id: str, vm: str, rack: str, need: Resources) -> None:
        """Add a replica that is being started."""
        replica = Replica(attempt_id, vm, rack, need)
        replica.in_flight = self._in_flight.get(attempt_id, 0)
        self.changed = True
        self.replicas[attempt_id] = replica
        self.racks[rack] = self.racks.get(rack, 0) + 1

    def remove(self, attempt_id: str) -> None:
        """Forget a replica that has ended."""
        replica = self.replicas.pop(attempt_id, None)
        if replica is None:
            return
        self.changed = True
        self.racks[replica.rack] -= 1
        if not self.racks[replica.rack]:
            del self.racks[replica.rack]
        self._set_open(replica, False)

    def set_ready(self, attempt_id: str) -> None:
        """Note that a replica serves requests."""
        replica = self.replicas.get(attempt_id)
        if replica is not None:
            # A retiring replica may have waited for this one.
            self.changed |= self.unsettled
            replica.ready = True
            self._refresh(replica)

    def choose(self, rng: random.Random) -> Replica | None:
        """Return the less loaded of two random replicas with a free slot."""
        count = len(self._open)
        if not count:
            return None
        first = self._open[int(rng.random() * count)]
        second = self._open[int(rng.random() * count)]
        return first if first.in_flight <= second.in_flight else second

    def take_slot(self, attempt_id: str) -> None:
        """Occupy one slot."""
        self._count(attempt_id, 1)

    def release_slot(self, attempt_id: str) -> None:
        """Free one slot."""
        self._count(attempt_id, -1)

    def _count(self, attempt_id: str, step: int) -> None:
        """Count requests by executor, also before it is reported after a take-over."""
        count = self._in_flight.get(attempt_id, 0) + step
        if count:
            self._in_flight[attempt_id] = count
        else:
            del self._in_flight[attempt_id]
        replica = self.replicas.get(attempt_id)
        if replica is not None:
            replica.in_flight = count
            self._refresh(replica)

    def _refresh(self, replica: Replica) -> None:
        serves = replica.ready and not replica.closed and not replica.suspended
        self._set_open(replica, serves and replica.in_flight < self.slots)

    def _set_open(self, replica: Replica, is_open: bool) -> None:
        if is_open == (replica.position >= 0):
            return
        if is_open:
            replica.position = len(self._open)
            self._open.append(replica)
            return
        last = self._open.pop()
        if last is not replica:
            self._open[replica.position] = last
            last.position = replica.position
        replica.position = -1

    def configure(self, spec: ServiceSpec) -> None:
        """Take a new specification."""
        self.spec = spec
        self.changed = True
        for replica in self.replicas.values():
            self._refresh(replica)

    def retire(self, vm: str, close_at: float) -> None:
        """Replace the replicas on a VM; they close at `close_at` at the latest."""
        for replica in self.replicas.values():
            if replica.vm == vm:
                self.changed = True
                replica.retiring = True
                replica.close_at = min(replica.close_at, close_at)

    def suspend(self, vm: str, suspended: bool) -> None:
        """Close the replicas on an ejected VM to requests, or open them again."""
        for replica in self.replicas.values():
            if replica.vm == vm:
                replica.suspended = suspended
                self._refresh(replica)

    def want(self, count: int) -> None:
        """Set the number of replicas that this shard is to run."""
        self.changed |= count != self.wanted
        self.wanted = count

    def missing(self) -> int:
        """Return how many replicas are to be started."""
        return max(0, self.wanted - len(self._keepers()))

    def reconcile(self, now: float) -> list[Replica]:
        """Retire surplus and outdated replicas; return those that are to be drained.

        A retiring replica takes requests until its successor is ready, and is drained
        once it has no request in flight.
        """
        self.changed = False
        keepers = self._keepers()
        for replica in sorted(keepers, key=self._surplus_order)[self.wanted :]:
            replica.retiring = True
            replica.close_at = now
        self._roll(now)
        ready = sum(replica.ready for replica in self._keepers())
        for replica in self.replicas.values():
            if replica.retiring and not replica.closed:
                replica.closed = ready >= self.wanted or now >= replica.close_at
                self._refresh(replica)
        self.unsettled = any(r.retiring for r in self.replicas.values())
        return [r for r in self.replicas.values() if r.closed and not r.in_flight]

    def _keepers(self) -> list[Replica]:
        return [r for r in self.replicas.values() if not r.retiring]

    def _surplus_order(self, replica: Replica) -> tuple[bool, int, int, str]:
        """Order in which replicas are kept: ready, in thin racks, busy."""
        rack = self.racks[replica.rack]
        return not replica.ready, rack, -replica.in_flight, replica.attempt_id

    def _roll(self, now: float) -> None:
        """Retire one replica of an outdated size if all others are settled."""
        if any(r.retiring or not r.ready for r in self.replicas.values()):
            return
        for replica in self.replicas.values():
            if replica.need != self.spec.need:
                replica.retiring = True
                replica.close_at = now + ROLL_WAIT_S
                return


def split(total: int, weights: t.Mapping[str, int]) -> dict[str, int]:
    """Split a count by weight with the largest-remainder rule; ties go by name."""
    whole = sum(weights.values())
    if not whole:
        return dict.fromkeys(weights, 0)
    shares = {name: total * weight // whole for name, weight in weights.items()}
    rest = total - sum(shares.values())
    by_remainder = sorted(
        weights, key=lambda name: (-(total * weights[name] % whole), name)
    )
    for name in by_remainder[:rest]:
        shares[name] += 1
    return shares
