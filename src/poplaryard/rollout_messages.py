"""Messages of the rollout of configurations."""

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
    """Live processes of this data centre and peers listed for the others.

    Attributes
    ----------
    local : tuple of str
        Ids of the live members, with this process.
    remote : mapping
        Data centre to the peers listed for it in the settings.
    """

    local: tuple[str, ...]
    remote: t.Mapping[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HeadSeen:
    """Head record as the watch, a poll or an accepted ticket shows it."""

    head: Head


@dataclass(frozen=True, slots=True)
class Loaded:
    """Configuration read from the store; number 0 if no ticket was ever accepted."""

    state: ConfigState


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store did not answer a read of the configuration."""


@dataclass(frozen=True, slots=True)
class PeerNumber:
    """Number in force at a peer, from its heartbeat."""

    process: str
    number: int


@dataclass(frozen=True, slots=True)
class PeerDelta:
    """Changes sent by a peer."""

    process: str
    delta: Delta


@dataclass(frozen=True, slots=True)
class AskState:
    """Number in force at a peer, with a request for all later changes."""

    process: str
    base: int


@dataclass(frozen=True, slots=True)
class CentreReport:
    """What one data centre has in force.

    Attributes
    ----------
    number : int
        Number in force at the reporting process.
    lowest : int
        Lowest number that a live process of the data centre has confirmed.
    behind : tuple of str
        Some processes that have not confirmed `number`.
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
