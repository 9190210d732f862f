"""Assignment record of a data centre: its members and the owner of each shard."""

import typing as t
from dataclasses import dataclass, field, replace

__all__ = ["Member", "Record", "ShardOwner"]


@dataclass(frozen=True, slots=True)
class Member:
    """Entry process of a data centre.

    Attributes
    ----------
    process : str
        Process id ``<name>#<number>``; the incarnation number is drawn at the start of
        the process.
    address : str
        Address at which other members reach the process.
    lease : str
        Store lease that the process held when it last added itself to the record.
    joined : int
        Serial number of the record in which the process first appeared.
    """

    process: str
    address: str
    lease: str
    joined: int


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """Owner of a shard.

    Attributes
    ----------
    owner : str
        Process id; empty if the shard was released.
    epoch : int
        Epoch of the last acquisition of the shard.
    successor : str
        Member that may acquire a released shard without a wait; empty if none is named.
    uncertain : bool
        Whether an earlier owner may still have authority. An owner that does not know
        a process as a member needs no promise of it, and so keeps its authority when
        that process takes the shard. The flag passes to later owners until one of them
        has claimed every worker.
    """

    owner: str
    epoch: int
    successor: str = ""
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class Record:
    """Value of the store key ``dc/<dc>/assignment``.

    Attributes
    ----------
    serial : int
        Serial number, raised by one with each write.
    epoch : int
        Highest epoch of any shard. All shards share one counter, because a VM may move
        from one shard to another and its worker compares their epochs.
    members : mapping
        Members by process id.
    shards : mapping
        Owners by shard name.
    """

    serial: int = 0
    epoch: int = 0
    members: t.Mapping[str, Member] = field(default_factory=dict)
    shards: t.Mapping[str, ShardOwner] = field(default_factory=dict)

    def with_member(self, process: str, address: str, lease: str) -> "Record":
        """Return the next record, in which the process is a member with this lease."""
        old = self.members.get(process)
        joined = old.joined if old else self.serial + 1
        member = Member(process, address, lease, joined)
        members = {**self.members, process: member}
        return replace(self, serial=self.serial + 1, members=members)

    def without_members(self, gone: t.Iterable[str]) -> "Record":
        """Return a record without the members `gone`, with the same serial number."""
        left = set(gone)
        members = {k: v for k, v in self.members.items() if k not in left}
        return replace(self, members=members)

    def with_owner(self, shard: str, process: str, uncertain: bool = False) -> "Record":
        """Return the next record, in which the process owns the shard."""
        epoch = self.epoch + 1
        owner = ShardOwner(process, epoch, uncertain=uncertain)
        shards = {**self.shards, shard: owner}
        return replace(self, serial=self.serial + 1, epoch=epoch, shards=shards)

    def with_released(self, shards: t.Mapping[str, str]) -> "Record":
        """Return the next record, in which the shards are released.

        Parameters
        ----------
        shards : mapping
            Successor of each shard to release; empty for none.
        """
        changed = {
            shard: replace(self.shards[shard], owner="", successor=successor)
            for shard, successor in shards.items()
        }
        return replace(self, serial=self.serial + 1, shards={**self.shards, **changed})

    def with_settled(self, shards: t.Iterable[str]) -> "Record":
        """Return the next record, in which the shards are not uncertain any more."""
        changed = {s: replace(self.shards[s], uncertain=False) for s in shards}
        return replace(self, serial=self.serial + 1, shards={**self.shards, **changed})

    def owned_by(self, process: str) -> dict[str, int]:
        """Return the shards that the process owns and the epoch of each."""
        found = self.shards.items()
        return {name: item.epoch for name, item in found if item.owner == process}
