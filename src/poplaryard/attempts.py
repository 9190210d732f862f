"""Attempts of one shard, and which of them a claim reply or a lost worker ends."""

import typing as t
from dataclasses import replace

from .fencing import lease_wait_s
from .fleet import Fleet, Vm
from .jobs import Attempt
from .messages import ClaimReply, Work
from .ownership import LEASE_TTL_S
from .quota import Quotas
from .resources import ZERO, Resources
from .services import ReplicaPool

__all__ = [
    "RESTART_S",
    "AttemptTable",
    "MissingAttempts",
    "classify_missing",
    "lost_after",
]

# Longest assumed delay of a reply. If a reply after a longer pause has a smaller clock
# reading than the one before, the worker was restarted.
RESTART_S = 10.0


class MissingAttempts(t.NamedTuple):
    """Attempts that a claimed worker does not report.

    Attributes
    ----------
    lost : list of Attempt
        Attempts that do not run any more, but may have run.
    in_doubt : list of Attempt
        Attempts that may be running.
    """

    lost: list[Attempt]
    in_doubt: list[Attempt]


def classify_missing(
    now: float, attempts: t.Iterable[Attempt], reply: ClaimReply
) -> MissingAttempts:
    """Divide the attempts that a claim reply does not name into lost and in doubt.

    A reply written while the start was valid may be older than the start, even if the
    start has been confirmed since; the attempt stays in doubt until the next claim.
    A lost attempt may have run, since a restarted worker has forgotten its attempts.
    """
    named = {report.attempt_id for report in reply.attempts}
    found = MissingAttempts([], [])
    for attempt in attempts:
        if attempt.attempt_id in named:
            continue
        # The clock of a restarted worker may have begun at zero again.
        restarted = now > attempt.latest_start + RESTART_S
        has_ended = restarted or reply.clock_ms > attempt.valid_until_ms
        (found.lost if has_ended else found.in_doubt).append(attempt)
    return found


def lost_after(attempt: Attempt, lost_at: float) -> float:
    """Return the time at which an attempt on an unreachable worker has ended.

    The lease counts from `lost_at`, or from `latest_start` if that is later and the
    start is not confirmed. A worker may read a renewal that was sent before `lost_at`
    later, as long as the authority under which it was sent is valid. Only work with an
    exclusive key must wait for that too: idempotent work may run twice, and other work
    is not run again.
    """
    begun = lost_at if attempt.confirmed else max(lost_at, attempt.latest_start)
    late_s = LEASE_TTL_S if attempt.work.exclusive_key else 0.0
    return begun + late_s + lease_wait_s()


class AttemptTable:
    """Attempts in progress with the charge and the executor slot that each holds.

    Attributes
    ----------
    keys : dict of str to int
        Number of attempts in progress by exclusive key.
    freed_keys : list of str
        Exclusive keys that became free since `Backlog` last read this list.
    preemptible : dict of str to int
        Number of preemptible attempts by VM.
    """

    def __init__(self, fleet: Fleet, pools: dict[str, ReplicaPool], quotas: Quotas):
        self._quotas = quotas
        self._fleet = fleet
        self._pools = pools
        self._attempts: dict[str, Attempt] = {}
        self.keys: dict[str, int] = {}
        self.freed_keys: list[str] = []
        self.preemptible: dict[str, int] = {}

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
        """Add an attempt and charge it to its VM, team and executor."""
        self._attempts[attempt.attempt_id] = attempt
        self._fleet.charge(vm, attempt.attempt_id, amount)
        attempt.charged = amount
        if amount != ZERO:
            self._quotas.charge(attempt.work.team, amount)
        if attempt.work.exclusive_key:
            _adjust(self.keys, attempt.work.exclusive_key, 1)
        if attempt.preemptible:
            _adjust(self.preemptible, vm.name, 1)
        pool = self._pools.get(attempt.work.target)
        if pool is None:
            return
        if attempt.is_replica:
            pool.add(attempt.attempt_id, vm.name, vm.spec.rack, attempt.work.need)
        elif attempt.executor:
            pool.take_slot(attempt.executor)

    def set_work(self, attempt: Attempt, work: Work) -> None:
        """Set the complete request of an attempt that an earlier owner started."""
        if attempt.preemptible:
            _adjust(self.preemptible, attempt.vm, -1)
        attempt.work = replace(work, exclusive_key=attempt.work.exclusive_key)
        if attempt.preemptible:
            _adjust(self.preemptible, attempt.vm, 1)

    def confirm(self, now: float, attempt: Attempt) -> bool:
        """Record that a worker confirmed a start; return False if that was known."""
        if attempt.confirmed:
            return False
        attempt.confirmed_at = now
        pool = self._pools.get(attempt.work.target)
        if attempt.is_replica and pool is not None:
            pool.set_ready(attempt.attempt_id)
        return True

    def end(self, attempt_id: str) -> Attempt | None:
        """Remove an attempt and release its charges; None if it ended before."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self._fleet.release(attempt.vm, attempt_id)
        if attempt.charged != ZERO:
            self._quotas.release(attempt.work.team, attempt.charged)
        if attempt.work.exclusive_key:
            _adjust(self.keys, attempt.work.exclusive_key, -1)
            if attempt.work.exclusive_key not in self.keys:
                self.freed_keys.append(attempt.work.exclusive_key)
        if attempt.preemptible:
            _adjust(self.preemptible, attempt.vm, -1)
        pool = self._pools.get(attempt.work.target)
        if pool is None:
            return attempt
        if attempt.is_replica:
            pool.remove(attempt_id)
        elif attempt.executor:
            pool.release_slot(attempt.executor)
        return attempt


def _adjust(counts: dict[str, int], key: str, step: int) -> None:
    counts[key] = counts.get(key, 0) + step
    if not counts[key]:
        del counts[key]
