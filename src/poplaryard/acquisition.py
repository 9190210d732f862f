"""Which shards to take and to whom to hand them over, from the record alone."""

import typing as t

from .record import Record
from .routing import ranked

__all__ = [
    "counts",
    "last_owner_if_free",
    "least_loaded",
    "live_members",
    "rank",
    "successors",
    "wait_s",
]

# Wait of a candidate for each candidate that ranks before it.
RANK_WAIT_S = 0.2

# Time for which others leave a released shard to its named successor.
SUCCESSOR_S = 2.0


def live_members(record: Record, ended_leases: t.Container[str]) -> list[str]:
    """Return the members whose store lease has not been seen to end, sorted."""
    found = record.members.items()
    return sorted(name for name, item in found if item.lease not in ended_leases)


def last_owner_if_free(
    record: Record, shard: str, ended_leases: t.Container[str]
) -> str | None:
    """Return the last owner of a shard that may be taken, "" if it has none.

    None if the shard's owner holds its lease.
    """
    entry = record.shards.get(shard)
    if entry is None or not entry.owner:
        return ""
    member = record.members.get(entry.owner)
    if member is None or member.lease in ended_leases:
        return entry.owner
    return None


def wait_s(record: Record, shard: str, process: str, live: t.Collection[str]) -> float:
    """Return how long a process waits before it takes a free shard."""
    entry = record.shards.get(shard)
    successor = entry.successor if entry and not entry.owner else ""
    if successor == process:
        return 0.0
    waits = rank(shard, process, live) * RANK_WAIT_S
    return waits + (SUCCESSOR_S if successor in live else 0.0)


def rank(shard: str, process: str, members: t.Iterable[str]) -> int:
    """Return the place of a process among the candidates for a shard."""
    return ranked(shard, members).index(process)


def counts(record: Record, members: t.Iterable[str]) -> dict[str, int]:
    """Return how many shards each of `members` owns."""
    found = dict.fromkeys(members, 0)
    for entry in record.shards.values():
        name = entry.owner or entry.successor
        if name in found:
            found[name] += 1
    return found


def least_loaded(record: Record, members: t.Iterable[str], shard: str) -> str:
    """Return the member with the fewest shards; ties go by rendezvous order."""
    held = counts(record, members)
    order = ranked(shard, held)
    return min(order, key=lambda name: held[name], default="")


def successors(
    record: Record, members: t.Sequence[str], shards: t.Iterable[str]
) -> dict[str, str]:
    """Return a successor for each of several shards, evening out the numbers."""
    held = counts(record, members)
    chosen: dict[str, str] = {}
    for shard in shards:
        order = ranked(shard, held)
        chosen[shard] = min(order, key=lambda name: held[name], default="")
        if chosen[shard]:
            held[chosen[shard]] += 1
    return chosen
