"""Attempts of one shard, and what a worker's claim reply says about them."""

import typing as t

from .fleet import Fleet, Vm
from .jobs import Attempt
from .messages import ClaimReply
from .resources import Resources
from .services import ReplicaPool

__all__ = ["AttemptTable", "Fate", "fate", "lost_after"]

# Task lease of 4 s and 10% for the difference in rate of two clocks.
LEASE_WAIT_S = 4.4


class Fate(t.NamedTuple):
    """Attempts that a claimed worker does not report."""

    not_run: list[Attempt]
    lost: list[Attempt]
    in_doubt: list[Attempt]


def fate(vm: Vm, attempts: t.Iterable[Attempt], reply: ClaimReply) -> Fate:
    """Sort the attempts that a claim reply does not name by what became of them.

    A start that is still valid may arrive after the reply was written. A confirmation
    that is newer than the claim may be newer than the reply. Both stay in doubt until
    the next claim.
    """
    named = {report.attempt_id for report in reply.attempts}
    found = Fate([], [], [])
    for attempt in attempts:
        if attempt.attempt_id in named:
            continue
        if attempt.confirmed:
            old = attempt.confirmed_at < vm.claim_sent_at
            (found.lost if old else found.in_doubt).append(attempt)
        elif reply.clock_ms > attempt.valid_until_ms:
            found.not_run.append(attempt)
        else:
            found.in_doubt.append(attempt)
    return found


def lost_after(attempt: Attempt, lost_at: float) -> float:
    """Return the time at which an attempt on an unreachable worker has ended.

    Its lease was renewed at `lost_at` at the latest, or began with a late start.
    """
    begun = lost_at if attempt.confirmed else max(lost_at, attempt.latest_start)
    return begun + LEASE_WAIT_S


class AttemptTable:
    """Attempts in progress with the charge and the executor slot that each holds."""

    def __init__(self, fleet: Fleet, pools: dict[str, ReplicaPool]):
        self._fleet = fleet
        self._pools = pools
        self._attempts: dict[str, Attempt] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._attempts

    def get(self, attempt_id: str) -> Attempt | None:
        """Return an attempt in progress, or None."""
        return self._attempts.get(attempt_id)

    def on_vm(self, vm: Vm) -> list[Attempt]:
        """Return the attempts in progress on a VM."""
        return [self._attempts[attempt_id] for attempt_id in vm.charges]

    def add(self, vm: Vm, attempt: Attempt, amount: Resources) -> None:
        """Charge an attempt to its VM, and to its executor if it has one."""
        self._attempts[attempt.attempt_id] = attempt
        self._fleet.charge(vm, attempt.attempt_id, amount)
        pool = self._pools.get(attempt.work.target)
        if pool is None:
            return
        if attempt.is_replica:
            pool.add(attempt.attempt_id, vm.name, vm.spec.rack, attempt.work.need)
        elif attempt.executor:
            pool.take(attempt.executor)

    def confirm(self, now: float, attempt: Attempt) -> bool:
        """Note that the worker started an attempt; return False if that was known."""
        if attempt.confirmed:
            return False
        attempt.confirmed_at = now
        pool = self._pools.get(attempt.work.target)
        if attempt.is_replica and pool is not None:
            pool.set_ready(attempt.attempt_id)
        return True

    def end(self, attempt_id: str) -> Attempt | None:
        """Release what an attempt held; None if it has ended before."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self._fleet.release(attempt.vm, attempt_id)
        pool = self._pools.get(attempt.work.target)
        if pool is None:
            return attempt
        if attempt.is_replica:
            pool.remove(attempt_id)
        elif attempt.executor:
            pool.give_back(attempt.executor)
        return attempt
