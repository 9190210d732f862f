"""Inputs and outputs of `Rollout`, which distributes the configuration."""

import typing as t
from dataclasses import dataclass, field

from .head import ConfigState, Delta, Head
from .messages import Configure, Tick

__all__ = [
    "AskState",
    "CentreReport",
    "HeadSeen",
    "LoadConfig",
    "Loaded",
    "Members",
    "PeerDelta",
    "PeerNumber",
    "RolloutInput",
    "RolloutOutput",
    "Send",
    "StoreFailed",
    "WatchHead",
]


@dataclass(frozen=True, slots=True)
class Members:
    """Live processes of this data centre, and known peers in the others.

    Attributes
    ----------
    local : tuple of str
        Ids of the live processes, including this one.
    remote : mapping
        Data centre to the peers listed for it in the settings.
    """

    local: tuple[str, ...]
    remote: t.Mapping[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HeadSeen:
    """Head record received from the watch or from an accepted ticket."""

    head: Head


@dataclass(frozen=True, slots=True)
class Loaded:
    """Configuration read from the store; its number is 0 before the first ticket."""

    state: ConfigState


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store did not answer a read of the configuration."""


@dataclass(frozen=True, slots=True)
class PeerNumber:
    """Ticket number in force at a peer, from its heartbeat."""

    process: str
    number: int


@dataclass(frozen=True, slots=True)
class PeerDelta:
    """Changes of the configuration, sent by the peer `process`."""

    process: str
    delta: Delta


@dataclass(frozen=True, slots=True)
class AskState:
    """Request of the peer `process` for all changes after `base`.

    It also confirms that the peer has `base` in force.
    """

    process: str
    base: int


@dataclass(frozen=True, slots=True)
class CentreReport:
    """Ticket numbers in force in one data centre.

    Attributes
    ----------
    process : str
        Id of the reporting process.
    number : int
        Ticket number in force at the reporting process.
    lowest : int
        Lowest number that a live process of the data centre has confirmed.
    behind : tuple of str
        First processes that have not confirmed `number`.
    passed_on : bool
        Whether a process of the receiving data centre has forwarded the report.
    """

    process: str
    data_centre: str
    number: int
    lowest: int
    behind: tuple[str, ...] = ()
    passed_on: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Command: send a message to a peer."""

    to: str
    msg: PeerDelta | AskState | CentreReport


@dataclass(frozen=True, slots=True)
class WatchHead:
    """Command: start or stop watching the head record."""

    on: bool


@dataclass(frozen=True, slots=True)
class LoadConfig:
    """Command: load the configuration; `head` is None if it must be read first."""

    head: Head | None = None


RolloutInput: t.TypeAlias = (
    Members
    | HeadSeen
    | Loaded
    | StoreFailed
    | PeerNumber
    | PeerDelta
    | AskState
    | CentreReport
    | Tick
)
RolloutOutput: t.TypeAlias = Configure | Send | WatchHead | LoadConfig
