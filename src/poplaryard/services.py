"""Replicas of one service in a shard: choice of an executor, and reconciliation."""

import random
import typing as t
from dataclasses import dataclass

from .configuration import ServiceSpec
from .resources import Resources

__all__ = ["Replica", "ReplicaPool", "apportion"]

# Upper bound of the slots of a replica. During a take-over, the old and the new owner
# may each fill them; together they must stay under the executor's 64 connections.
MAX_SLOTS = 24

# Time after which the replicas on a VM listed as leaving take no new requests. The
# limit is 3 s after the VM starts to leave; 1 s of it is for the delay of the VM list.
CLOSE_AFTER_S = 2.0

# Time after which a replica of an outdated size is closed even without a successor, so
# that a lack of free capacity cannot block a change forever.
ROLL_WAIT_S = 30.0

NEVER = float("inf")


@dataclass(slots=True, eq=False)
class Replica:
    """Replica of a service: an executor that serves its requests.

    Attributes
    ----------
    need : Resources
        Size of the replica; it is outdated if the specification has another one.
    in_flight : int
        Number of requests that occupy a slot.
    ready : bool
        Whether the worker has confirmed the start.
    retiring : bool
        Whether it is to be replaced or removed.
    closed : bool
        Whether it gets no more requests because it is to be drained.
    suspended : bool
        Whether it gets no requests because its VM is ejected.
    close_at : float
        Time at which a retiring replica is closed even if its successor is not ready;
        infinity if there is no such limit.
    position : int
        Index in the pool's list of open replicas; -1 if it is not open.
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
        Number of replicas that this shard is to run.
    changed : bool
        Whether replicas or the specification changed since the last reconciliation.
    unsettled : bool
        Whether replicas wait to be started, closed or drained.
    racks : dict
        Number of replicas in each rack.
    retry_at : float
        Time before which no replica is started.
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
        """Number of requests that one replica serves at a time."""
        return min(self.spec.slots, MAX_SLOTS)

    def add(self, attempt_id: str, vm: str, rack: str, need: Resources) -> None:
        """Add a replica that is being started."""
        replica = Replica(attempt_id, vm, rack, need)
        replica.in_flight = self._in_flight.get(attempt_id, 0)
        self.changed = True
        self.replicas[attempt_id] = replica
        self.racks[rack] = self.racks.get(rack, 0) + 1

    def remove(self, attempt_id: str) -> None:
        """Remove a replica that has ended."""
        replica = self.replicas.pop(attempt_id, None)
        if replica is None:
            return
        self.changed = True
        self.racks[replica.rack] -= 1
        if not self.racks[replica.rack]:
            del self.racks[replica.rack]
        self._set_open(replica, False)

    def set_ready(self, attempt_id: str) -> None:
        """Record that the start of a replica is confirmed, and open it to requests."""
        replica = self.replicas.get(attempt_id)
        if replica is not None:
            # This may be the successor that a retiring replica waits for.
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
        """Occupy one slot of a replica."""
        self._add_in_flight(attempt_id, 1)

    def release_slot(self, attempt_id: str) -> None:
        """Free one slot of a replica."""
        self._add_in_flight(attempt_id, -1)

    def _add_in_flight(self, attempt_id: str, step: int) -> None:
        """Add `step` to the requests in flight of an executor.

        After a take-over, requests may be counted before their executor is reported.
        """
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
        """Set a new specification of the service."""
        self.spec = spec
        self.changed = True
        for replica in self.replicas.values():
            self._refresh(replica)

    def retire(self, vm: str, close_at: float) -> None:
        """Retire the replicas on a VM; they close at `close_at` at the latest."""
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

    def set_wanted(self, count: int) -> None:
        """Set the number of replicas that this shard is to run."""
        self.changed |= count != self.wanted
        self.wanted = count

    def missing(self) -> int:
        """Return how many replicas are to be started."""
        return max(0, self.wanted - len(self._not_retiring()))

    def reconcile(self, now: float) -> list[Replica]:
        """Retire surplus and outdated replicas, and return the replicas to be drained.

        A retiring replica takes requests until its successor is ready. It is drained
        once it is closed and has no request in flight.
        """
        self.changed = False
        kept = self._not_retiring()
        for replica in sorted(kept, key=self._keep_order)[self.wanted :]:
            replica.retiring = True
            replica.close_at = now
        self._retire_outdated(now)
        ready = sum(replica.ready for replica in self._not_retiring())
        for replica in self.replicas.values():
            if replica.retiring and not replica.closed:
                replica.closed = ready >= self.wanted or now >= replica.close_at
                self._refresh(replica)
        self.unsettled = any(r.retiring for r in self.replicas.values())
        return [r for r in self.replicas.values() if r.closed and not r.in_flight]

    def _not_retiring(self) -> list[Replica]:
        return [r for r in self.replicas.values() if not r.retiring]

    def _keep_order(self, replica: Replica) -> tuple[bool, int, int, str]:
        """Return the sort key by which replicas are kept, first to last.

        Ready replicas come first, then those in racks with few replicas, then busy
        ones.
        """
        rack = self.racks[replica.rack]
        return not replica.ready, rack, -replica.in_flight, replica.attempt_id

    def _retire_outdated(self, now: float) -> None:
        """Retire one replica of an outdated size if none is starting or retiring."""
        if any(r.retiring or not r.ready for r in self.replicas.values()):
            return
        for replica in self.replicas.values():
            if replica.need != self.spec.need:
                replica.retiring = True
                replica.close_at = now + ROLL_WAIT_S
                return


def apportion(total: int, weights: t.Mapping[str, int]) -> dict[str, int]:
    """Apportion a count by weight with the largest-remainder method; ties go by name.

    Parameters
    ----------
    total : int
        Count to distribute; the result sums to it unless all weights are 0.
    weights : mapping
        Weight of each recipient by name.
    """
    weight_sum = sum(weights.values())
    if not weight_sum:
        return dict.fromkeys(weights, 0)
    shares = {name: total * weight // weight_sum for name, weight in weights.items()}
    rest = total - sum(shares.values())
    by_remainder = sorted(
        weights, key=lambda name: (-(total * weights[name] % weight_sum), name)
    )
    for name in by_remainder[:rest]:
        shares[name] += 1
    return shares
