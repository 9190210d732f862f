"""Messages of `ownership` and `membership`, from and to the tasks that do the I/O.

Times named `sent_at` are readings of the local monotonic clock taken *before* the call
was sent; authority is counted from them. A process id is ``<name>#<incarnation>`` and
is never reused after a restart.

The tasks carry out the commands for the data centre ``<dc>`` as follows:

====================  ==============================================================
`GrantLease`          ``grant(ttl_s)``, then ``put_if("dc/<dc>/member/<process>",
                      {"lease": id}, 0 or the key's version, lease=id)``; answer
                      `LeaseGranted` when both succeeded, else `LeaseFailed`
`RenewLease`          ``keep_alive(lease)``; answer `LeaseRenewed`, or `LeaseFailed`
                      with `lapsed` if it returned False
`RevokeLease`         ``revoke(lease)``; no answer
`ReadRecord`          ``get("dc/<dc>/assignment")``, *then* ``scan("dc/<dc>/member/")``;
                      answer `RecordSeen`; if the store is down, `RecordFailed`
`WriteRecord`         ``put_if("dc/<dc>/assignment", record, version)``; answer
                      `RecordWritten`, `RecordConflict` (`StoreConflict`),
                      `RecordFailed` (`StoreDown`) or `RecordUnknown`
                      (`StoreReplyLost` or a time-out)
`WatchRecord`         start or stop ``watch("dc/<dc>/")``; each change is a `RecordSeen`
`SendHeartbeat`       send to the peer; a refused connection is `ProvenDead`, any other
                      failure is `PeerMissed`; the answer is its `HeartbeatReply`
====================  ==============================================================

Calls to the store time out after 1.5 s.
"""

import typing as t
from dataclasses import dataclass

from .record import Record

__all__ = [
    "GrantLease",
    "Heartbeat",
    "HeartbeatReply",
    "LeaseFailed",
    "LeaseGranted",
    "LeaseRenewed",
    "Leave",
    "OwnershipMessage",
    "PeerMissed",
    "ProvenDead",
    "ReadRecord",
    "RecordConflict",
    "RecordFailed",
    "RecordSeen",
    "RecordUnknown",
    "RecordWritten",
    "RenewLease",
    "RevokeLease",
    "SendHeartbeat",
    "ShardReleased",
    "ShardTaken",
    "ShardsConfigured",
    "ShardSettled",
    "WatchRecord",
    "WriteRecord",
]


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The member key is bound to a new lease, requested at `sent_at`."""

    lease: str
    sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The store confirmed a renewal that was sent at `sent_at`."""

    lease: str
    sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseFailed:
    """A grant (`lease` is empty) or a renewal of a lease failed.

    Attributes
    ----------
    lapsed : bool
        Whether the store replied that the lease has ended; False if it did not answer.
    """

    lease: str = ""
    lapsed: bool = False


@dataclass(frozen=True, slots=True)
class RecordSeen:
    """The assignment record as read, watched, or passed on by a peer.

    Attributes
    ----------
    version : int
        Store version of the record; 0 if it does not exist.
    live : frozenset of str
        Leases in the values of the member keys. They must be read after the record, or
        in the same scan: a lease of the record that is missing here counts as ended for
        good.
    """

    record: Record
    version: int
    live: frozenset[str]


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The last `WriteRecord` succeeded and gave the record this version."""

    version: int


@dataclass(frozen=True, slots=True)
class RecordConflict:
    """The last `WriteRecord` found another version and wrote nothing."""


@dataclass(frozen=True, slots=True)
class RecordFailed:
    """The last `ReadRecord` or `WriteRecord` did not reach the store."""


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """The last `WriteRecord` may or may not have taken effect, now or later."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat to a peer; from an owner of shards, also a request for a promise.

    Attributes
    ----------
    sent_at : float
        Time on the sender's clock; returned unchanged in the reply.
    owner : bool
        Whether the sender owns shards and asks for a promise.
    record_serial : int
        Serial number of the record that the sender has seen.
    config_number : int
        Number of the last ticket in force at the sender.
    record : RecordSeen or None
        The record as the sender has seen it, if the receiver may not know it yet.
    suspects : tuple of str
        Processes that the sender suspects to have failed.
    refuted : int
        Number of suspicions of itself that the sender has refuted.
    """

    sender: str
    to: str
    sent_at: float
    owner: bool = False
    record_serial: int = 0
    config_number: int = 0
    record: RecordSeen | None = None
    suspects: tuple[str, ...] = ()
    refuted: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answer to a heartbeat.

    Attributes
    ----------
    sent_at : float
        Copied from the heartbeat; a time on the clock of its sender.
    promised : bool
        Whether `sender` promises not to take over shards of `to` for 4 s.
    """

    sender: str
    to: str
    sent_at: float
    promised: bool = False
    record_serial: int = 0
    config_number: int = 0
    record: RecordSeen | None = None
    suspects: tuple[str, ...] = ()
    refuted: int = 0


@dataclass(frozen=True, slots=True)
class PeerMissed:
    """A heartbeat to a peer got no answer in time."""

    process: str


@dataclass(frozen=True, slots=True)
class ProvenDead:
    """A peer refused the connection at its address, or sent a leave message.

    This proves that it takes no shards: a process listens before it joins, and stops
    acquiring shards before it stops listening.
    """

    process: str


@dataclass(frozen=True, slots=True)
class Leave:
    """Request that this process hands over all shards and then ends its lease."""


@dataclass(frozen=True, slots=True)
class ShardsConfigured:
    """Names of the data centre's shards, and the number of the ticket that set them."""

    shards: tuple[str, ...]
    config_number: int = 0


@dataclass(frozen=True, slots=True)
class ShardSettled:
    """The take-over of a shard is complete: every worker was claimed under `epoch`."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Command: obtain a lease of `ttl_s` seconds and bind the member key to it."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Command: renew the lease."""

    lease: str


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Command: revoke the lease; the last command of a process that leaves."""

    lease: str


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Command: read the record and the member keys."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Command: write the record if its version is still `version`."""

    record: Record
    version: int


@dataclass(frozen=True, slots=True)
class WatchRecord:
    """Command: start or stop the watch of the record and the member keys."""

    on: bool


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Command: send a heartbeat to the process `to` at `address`."""

    to: str
    address: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class ShardTaken:
    """Notice: this process owns a shard. The fields are arguments for its `Takeover`.

    Attributes
    ----------
    previous : str
        Old owner; empty if there was none or it released the shard.
    known : bool
        Whether the authority of all earlier owners ends within `wait_s`.
    wait_s : float
        Time in seconds after which all that the old owner started has ended.
    first : bool
        Whether the shard never had an owner before.
    handed_over : bool
        Whether the shard was released to this process as its successor. `Takeover` gets
        True only if the old owner also sends its whole ledger and had completed its own
        take-over.
    """

    shard: str
    epoch: int
    previous: str
    known: bool
    wait_s: float
    first: bool = False
    handed_over: bool = False


@dataclass(frozen=True, slots=True)
class ShardReleased:
    """Notice: this process no longer owns a shard, and must send no commands for it.

    Attributes
    ----------
    successor : str
        Member that is to acquire a shard that was handed over; empty if it was lost.
    """

    shard: str
    epoch: int
    successor: str = ""


OwnershipMessage: t.TypeAlias = (
    LeaseGranted
    | LeaseRenewed
    | LeaseFailed
    | RecordSeen
    | RecordWritten
    | RecordConflict
    | RecordFailed
    | RecordUnknown
    | Heartbeat
    | HeartbeatReply
    | PeerMissed
    | ProvenDead
    | Leave
    | ShardsConfigured
    | ShardSettled
)
