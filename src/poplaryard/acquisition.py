"""Rules for the acquisition and handover of shards; functions of the record alone."""

import typing as t

from .record import Record
from .routing import ranked

__all__ = [
    "shard_counts",
    "last_owner_if_free",
    "least_loaded",
    "live_members",
    "rank",
    "successors",
    "wait_s",
]

# Additional wait of a candidate for each candidate that ranks before it.
RANK_WAIT_S = 0.2

# Time for which other members leave a released shard to its named successor.
SUCCESSOR_S = 2.0


def live_members(record: Record, ended_leases: t.Container[str]) -> list[str]:
    """Return the members whose store lease is not known to have ended, sorted."""
    members = record.members.items()
    return sorted(name for name, item in members if item.lease not in ended_leases)


def last_owner_if_free(
    record: Record, shard: str, ended_leases: t.Container[str]
) -> str | None:
    """Return the last owner of a shard if the shard is free, else None.

    A shard is free if it was released or never owned, which returns "", or if the lease
    of its owner has ended.
    """
    entry = record.shards.get(shard)
    if entry is None or not entry.owner:
        return ""
    member = record.members.get(entry.owner)
    if member is None or member.lease in ended_leases:
        return entry.owner
    return None


def wait_s(record: Record, shard: str, process: str, live: t.Collection[str]) -> float:
    """Return the time in seconds for which a process waits before it takes a shard."""
    entry = record.shards.get(shard)
    successor = entry.successor if entry and not entry.owner else ""
    if successor == process:
        return 0.0
    waits = rank(shard, process, live) * RANK_WAIT_S
    return waits + (SUCCESSOR_S if successor in live else 0.0)


def rank(shard: str, process: str, members: t.Iterable[str]) -> int:
    """Return the rank of a process, from 0, among the candidates for a shard."""
    return ranked(shard, members).index(process)


def shard_counts(record: Record, members: t.Iterable[str]) -> dict[str, int]:
    """Return how many shards each of `members` owns or is to receive."""
    owned = dict.fromkeys(members, 0)
    for entry in record.shards.values():
        name = entry.owner or entry.successor
        if name in owned:
            owned[name] += 1
    return owned


def least_loaded(record: Record, members: t.Iterable[str], shard: str) -> str:
    """Return the member with the fewest shards; "" if `members` is empty.

    Ties go by the rendezvous order of the shard.
    """
    owned = shard_counts(record, members)
    order = ranked(shard, owned)
    return min(order, key=lambda name: owned[name], default="")


def successors(
    record: Record, members: t.Sequence[str], shards: t.Iterable[str]
) -> dict[str, str]:
    """Return a successor for each shard, so that members own similar numbers of them.

    The successor is "" if `members` is empty.
    """
    owned = shard_counts(record, members)
    chosen: dict[str, str] = {}
    for shard in shards:
        order = ranked(shard, owned)
        chosen[shard] = min(order, key=lambda name: owned[name], default="")
        if chosen[shard]:
            owned[chosen[shard]] += 1
    return chosen
