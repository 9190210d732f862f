"""Heartbeats to members: signs of life, promises, and news of the record."""

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
    """Writes and reads heartbeats.

    Attributes
    ----------
    config_number : int
        Number of the last ticket in force here.
    """

    def __init__(self, process: str, rng: random.Random):
        self.promises = Promises()
        self.membership = Membership(process, rng)
        self.config_number = 0
        self._process = process
        self._heard_serial: dict[str, int] = {}
        # Live leases last passed on to each peer; a lease ends without a new serial.
        self._told: dict[str, frozenset[str]] = {}
        # Highest serial number that each owner named when it was given a promise.
        self._promised_serial: dict[str, int] = {}

    def set_members(self, now: float, record: Record) -> None:
        """Take the members of a record."""
        self.membership.set_members(record.members)
        self.promises.forget(now, record.members)
        self._told = {k: v for k, v in self._told.items() if k in record.members}
        for known in (self._heard_serial, self._promised_serial):
            for name in known.keys() - record.members.keys():
                del known[name]

    def due(
        self, now: float, view: RecordSeen, *, owner: bool, everyone: bool
    ) -> list[SendHeartbeat]:
        """Return the heartbeats that are due.

        Parameters
        ----------
        owner : bool
            Whether this process owns shards and needs promises.
        everyone : bool
            Whether it needs them of all members.
        """
        targets = self.membership.targets(now, everyone)
        return [self._send(now, name, view, owner) for name in targets]

    def reply(
        self, now: float, message: Heartbeat, view: RecordSeen, victim: str
    ) -> HeartbeatReply:
        """Answer a heartbeat, with a promise unless its sender is `victim`."""
        promised = message.owner and message.sender != victim
        if promised:
            self._promise(now, message)
        return HeartbeatReply(
            sender=self._process,
            to=message.sender,
            sent_at=message.sent_at,
            promised=promised,
            record_serial=view.record.serial,
            config_number=self.config_number,
            record=self._news_for(message.sender, view),
            suspects=self.membership.suspects(),
            refuted=self.membership.refuted,
        )

    def hear(self, now: float, message: Heartbeat | HeartbeatReply) -> None:
        """Take what a message says of its sender."""
        if isinstance(message, HeartbeatReply) and message.promised:
            self.promises.receive(message.sent_at, message.sender)
        self.membership.heard(message.sender, message.refuted)
        self.membership.rumours(now, message.suspects)
        seen = self._heard_serial.get(message.sender, -1)
        self._heard_serial[message.sender] = max(seen, message.record_serial)

    def was_known_to(self, owner: str, record: Record) -> bool:
        """Return whether an old owner needed this member's promise.

        It did if it asked for one after it had seen this member in the record, or if it
        joined later itself.
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

    def _send(
        self, now: float, name: str, view: RecordSeen, owner: bool
    ) -> SendHeartbeat:
        heartbeat = Heartbeat(
            sender=self._process,
            to=name,
            sent_at=now,
            owner=owner,
            record_serial=view.record.serial,
            config_number=self.config_number,
            record=self._news_for(name, view),
            suspects=self.membership.suspects(),
            refuted=self.membership.refuted,
        )
        return SendHeartbeat(name, view.record.members[name].address, heartbeat)

    def _news_for(self, name: str, view: RecordSeen) -> RecordSeen | None:
        behind = self._heard_serial.get(name, -1) < view.record.serial
        if view.version <= 0 or not (behind or self._told.get(name) != view.live):
            return None
        self._told[name] = view.live
        return view
