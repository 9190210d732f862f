"""Owners of the shards of other data centres, asked for when they are needed."""

import asyncio
import itertools
import typing as t
from dataclasses import dataclass, field

from . import wire
from .clock import Clock
from .codes import Code
from .peers import CallResult, Envelope, PeerTable

__all__ = ["AskOwners", "Centres", "OwnerNotice", "OwnersView"]

# Age after which a view is asked for again; it is refreshed only while it is used.
FRESH_S = 3.0
ASK_TIMEOUT_S = 1.0
# Time between two rounds of calls to a data centre that does not answer.
RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class AskOwners:
    """Request for the owners of a data centre's shards."""

    data_centre: str


@dataclass(frozen=True, slots=True)
class OwnersView:
    """Owners of a data centre's shards and the addresses of its processes."""

    data_centre: str
    owners: t.Mapping[str, str]
    addresses: t.Mapping[str, str]


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """A process has taken a shard; sent at once, ahead of the record."""

    shard: str
    owner: str
    epoch: int


wire.register(AskOwners, OwnersView, OwnerNotice)


@dataclass(slots=True)
class _Centre:
    owners: t.Mapping[str, str] = field(default_factory=dict)
    addresses: t.Mapping[str, str] = field(default_factory=dict)
    seen_at: float = float("-inf")
    asked_at: float = float("-inf")
    asking: bool = False
    reachable: bool = True


class Centres:
    """Views of the other data centres.

    Parameters
    ----------
    listed : mapping
        Data centre to the addresses listed for it in the settings.
    changed : callable
        Called when a view has changed.
    """

    def __init__(
        self,
        listed: t.Mapping[str, t.Sequence[str]],
        peers: PeerTable,
        clock: Clock,
        changed: t.Callable[[], None],
    ):
        self._listed = listed
        self._peers = peers
        self._clock = clock
        self._changed = changed
        self._centres: dict[str, _Centre] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._turn = itertools.count()

    def owner_of(self, shard: str) -> str | Code:
        """Return the owner of a shard, or why none can be named now."""
        name = shard.rpartition("/")[0]
        centre = self._centres.setdefault(name, _Centre())
        now = self._clock.now()
        if now - centre.seen_at > FRESH_S:
            self._ask(name, centre, now)
        if not centre.reachable:
            return Code.HOME_UNREACHABLE
        return centre.owners.get(shard) or Code.NOT_OWNER

    def doubt(self, process: str) -> None:
        """Ask again for the view that names a process, which did not answer."""
        for centre in self._centres.values():
            if process in centre.owners.values():
                centre.seen_at = float("-inf")

    def receive(self, view: OwnersView) -> None:
        """Take a view."""
        centre = self._centres.setdefault(view.data_centre, _Centre())
        changed = centre.owners != view.owners
        centre.owners, centre.addresses = view.owners, view.addresses
        centre.seen_at = self._clock.now()
        for process, address in view.addresses.items():
            self._peers.learn(process, address)
        if changed:
            self._changed()

    async def stop(self) -> None:
        """End the calls in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _ask(self, name: str, centre: _Centre, now: float) -> None:
        if centre.asking or now - centre.asked_at < RETRY_S:
            return
        centre.asking, centre.asked_at = True, now
        task = asyncio.create_task(self._ask_any(name, centre))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_any(self, name: str, centre: _Centre) -> None:
        addresses = [*centre.addresses.values(), *self._listed.get(name, ())]
        addresses = list(dict.fromkeys(addresses))
        start = next(self._turn) % max(1, len(addresses))
        try:
            for address in addresses[start:] + addresses[:start]:
                if await self._ask_one(name, address):
                    centre.reachable = True
                    return
            centre.reachable = False
        finally:
            centre.asking = False

    async def _ask_one(self, name: str, address: str) -> bool:
        self._peers.learn(address, address)
        ask = [Envelope(AskOwners(name))]
        result = await self._peers.call(address, ask, ASK_TIMEOUT_S)
        return result is CallResult.DELIVERED
