"""Choice of a shard for work, by key or by load, and which attempts are retried."""

import hashlib
import random
import typing as t
from dataclasses import dataclass

from .codes import Code, Outcome
from .messages import Work
from .resources import ZERO, Resources

__all__ = [
    "ShardSummary",
    "choose_shard",
    "home_shard",
    "may_retry",
    "ranked",
    "routing_key",
    "shard_names",
    "shard_of_vm",
]


@dataclass(frozen=True, slots=True)
class ShardSummary:
    """Free capacity of a shard as its owner last reported it.

    Attributes
    ----------
    largest : Resources
        Free capacity of the VM with the most free capacity.
    queued : int
        Number of requests and tasks queued in the shard.
    reachable : bool
        Whether the owner answers.
    """

    shard: str
    free: Resources = ZERO
    largest: Resources = ZERO
    queued: int = 0
    reachable: bool = True


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def ranked(key: str, names: t.Iterable[str]) -> list[str]:
    """Return `names` by descending rendezvous hash weight for `key`."""
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def shard_names(data_centre: str, count: int) -> list[str]:
    """Return the names of a data centre's shards."""
    return [f"{data_centre}/{index}" for index in range(count)]


def home_shard(key: str, shards: t.Iterable[str]) -> str:
    """Return the shard that runs all work with `key`, by rendezvous hashing."""
    return max(shards, key=lambda name: (_weight(key, name), name))


def shard_of_vm(vm: str, shards: t.Iterable[str]) -> str:
    """Return the one of its data centre's shards that a VM belongs to."""
    return home_shard(vm, shards)


def routing_key(work: Work) -> str:
    """Return the key that selects the home shard; empty if any shard may run `work`."""
    if work.exclusive_key:
        return work.exclusive_key
    return "" if work.idempotent else work.request_id


def choose_shard(
    work: Work, summaries: t.Sequence[ShardSummary], rng: random.Random
) -> str | None:
    """Return the less loaded of two random reachable shards, or None if there are none.

    Shards that can hold `work` are preferred. Two are compared rather than all because
    summaries lag: with the best of all, every entry process would send to the same
    shard until the next report.
    """
    reachable = [item for item in summaries if item.reachable]
    fitting = [item for item in reachable if work.need.fits_in(item.largest)]
    candidates = fitting or reachable
    if not candidates:
        return None
    picked = rng.sample(candidates, min(2, len(candidates)))
    return min(picked, key=_load).shard


def _load(summary: ShardSummary) -> tuple[float, int]:
    return summary.queued / max(1, summary.free.cpu_m), -summary.free.cpu_m


# Codes after which another attempt cannot succeed or is unwanted.
_FINAL = frozenset(
    {
        Code.CANCELLED,
        Code.EXPIRED,
        Code.ID_EXPIRED,
        Code.ID_IN_FUTURE,
        Code.INVALID,
        Code.QUOTA_EXCEEDED,
        Code.UNKNOWN_TARGET,
        Code.UNPLACEABLE,
    }
)


def may_retry(work: Work, code: Code, now: float) -> bool:
    """Return whether work may be sent again after an attempt ended with `code`."""
    if now >= work.deadline or code in _FINAL or code == Code.OK:
        return False
    if code.outcome is Outcome.NOT_RUN:
        return True
    return work.idempotent and code.outcome is Outcome.UNKNOWN
