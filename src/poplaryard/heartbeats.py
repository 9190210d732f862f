"""Heartbeats between members, with promises and updates of the record."""

import random

from .membership import Membership
from .ownership_messages import (
    Heartbeat,
    HeartbeatReply,
    RecordSeen,
    SendHeartbeat,
)
from .promises import Promises
from .record import Record

__all__ = ["Heartbeats"]


class Heartbeats:
    """Builds outgoing heartbeats and replies, and processes incoming ones.

    Attributes
    ----------
    promises : Promises
        Promises given and received with heartbeats.
    membership : Membership
        Members and suspicions.
    config_number : int
        Number of the last ticket in force in this process.
    """

    def __init__(self, process: str, rng: random.Random):
        self.promises = Promises()
        self.membership = Membership(process, rng)
        self.config_number = 0
        self._process = process
        # Highest serial number of the record that each peer has sent.
        self._heard_serial: dict[str, int] = {}
        # Live leases last sent to each peer. They are compared separately, because the
        # end of a lease does not change the serial number of the record.
        self._sent_leases: dict[str, frozenset[str]] = {}
        # Highest serial number of the record in each owner's requests for a promise.
        self._promised_serial: dict[str, int] = {}

    def set_members(self, now: float, record: Record) -> None:
        """Set the members to those of a record, and drop the state of others."""
        self.membership.set_members(record.members)
        self.promises.forget(now, record.members)
        self._sent_leases = {
            k: v for k, v in self._sent_leases.items() if k in record.members
        }
        for serials in (self._heard_serial, self._promised_serial):
            for name in serials.keys() - record.members.keys():
                del serials[name]

    def due(
        self, now: float, view: RecordSeen, *, owner: bool, everyone: bool
    ) -> list[SendHeartbeat]:
        """Return the heartbeats that are due.

        Parameters
        ----------
        owner : bool
            Whether this process owns shards and requests promises.
        everyone : bool
            Whether it needs a promise of every member.
        """
        peers = self.membership.due_peers(now, everyone)
        return [self._heartbeat_to(now, name, view, owner) for name in peers]

    def reply(
        self, now: float, message: Heartbeat, view: RecordSeen, previous_owner: str
    ) -> HeartbeatReply:
        """Return the reply to a heartbeat.

        An owner gets a promise unless it is `previous_owner`, from which a write in
        flight takes a shard.
        """
        promised = message.owner and message.sender != previous_owner
        if promised:
            self._promise(now, message)
        return HeartbeatReply(
            sender=self._process,
            to=message.sender,
            sent_at=message.sent_at,
            promised=promised,
            record_serial=view.record.serial,
            config_number=self.config_number,
            record=self._record_for(message.sender, view),
            suspects=self.membership.suspects(),
            refuted=self.membership.refuted,
        )

    def receive(self, now: float, message: Heartbeat | HeartbeatReply) -> None:
        """Update promises, suspicions and serial numbers from a received message."""
        if isinstance(message, HeartbeatReply) and message.promised:
            self.promises.receive(message.sent_at, message.sender)
        self.membership.heard(message.sender, message.refuted)
        self.membership.add_suspicions(now, message.suspects)
        seen = self._heard_serial.get(message.sender, -1)
        self._heard_serial[message.sender] = max(seen, message.record_serial)

    def was_known_to(self, owner: str, record: Record) -> bool:
        """Return whether an old owner knew this process as a member.

        If so, the authority of the owner depended on a promise of this process. An
        owner knows this process if this process joined first, or if the owner has
        requested a promise after it had seen a record with this process.
        """
        me, old = record.members.get(self._process), record.members.get(owner)
        if me is None:
            return False
        joined = old.joined if old else -1
        return max(self._promised_serial.get(owner, -1), joined) >= me.joined

    def _promise(self, now: float, message: Heartbeat) -> None:
        owner = message.sender
        self.promises.give(now, owner)
        seen = self._promised_serial.get(owner, -1)
        self._promised_serial[owner] = max(seen, message.record_serial)

    def _heartbeat_to(
        self, now: float, name: str, view: RecordSeen, owner: bool
    ) -> SendHeartbeat:
        heartbeat = Heartbeat(
            sender=self._process,
            to=name,
            sent_at=now,
            owner=owner,
            record_serial=view.record.serial,
            config_number=self.config_number,
            record=self._record_for(name, view),
            suspects=self.membership.suspects(),
            refuted=self.membership.refuted,
        )
        return SendHeartbeat(name, view.record.members[name].address, heartbeat)

    def _record_for(self, name: str, view: RecordSeen) -> RecordSeen | None:
        behind = self._heard_serial.get(name, -1) < view.record.serial
        if view.version <= 0 or not (
            behind or self._sent_leases.get(name) != view.live
        ):
            return None
        self._sent_leases[name] = view.live
        return view
