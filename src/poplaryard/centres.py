"""Cache of the shard owners of other data centres, fetched from them on demand."""

import asyncio
import itertools
import typing as t
from dataclasses import dataclass, field

from . import wire
from .clock import Clock
from .codes import Code
from .peers import CallResult, Envelope, PeerTable

__all__ = ["AskOwners", "OwnerNotice", "OwnersView", "RemoteOwners"]

# Age at which a view is fetched again; it is refreshed only while it is used.
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
    """Owners of a data centre's shards and the addresses of its processes.

    Attributes
    ----------
    owners : mapping
        Shard to process id.
    addresses : mapping
        Process id to address.
    """

    data_centre: str
    owners: t.Mapping[str, str]
    addresses: t.Mapping[str, str]


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """Notice that a process has taken a shard.

    It is sent at once, so that peers need not wait until they read the record.
    """

    shard: str
    owner: str
    epoch: int


wire.register(AskOwners, OwnersView, OwnerNotice)


@dataclass(slots=True)
class _CachedView:
    """Last view received from a data centre, and the state of the calls for a new one.

    Attributes
    ----------
    seen_at, asked_at : float
        Time of the last view, and of the start of the last round of calls.
    asking : bool
        Whether a round of calls is in progress.
    reachable : bool
        Whether the last round of calls got a reply.
    """

    owners: t.Mapping[str, str] = field(default_factory=dict)
    addresses: t.Mapping[str, str] = field(default_factory=dict)
    seen_at: float = float("-inf")
    asked_at: float = float("-inf")
    asking: bool = False
    reachable: bool = True


class RemoteOwners:
    """Shard owners of the other data centres, cached per data centre.

    Parameters
    ----------
    listed : mapping
        Data centre to the addresses listed for it in the settings.
    on_change : callable
        Called after the owners of a data centre have changed.
    """

    def __init__(
        self,
        listed: t.Mapping[str, t.Sequence[str]],
        peers: PeerTable,
        clock: Clock,
        on_change: t.Callable[[], None],
    ):
        self._listed = listed
        self._peers = peers
        self._clock = clock
        self._on_change = on_change
        self._views: dict[str, _CachedView] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._rounds = itertools.count()

    def owner_of(self, shard: str) -> str | Code:
        """Return the cached owner of a shard, or the reason why none is known.

        A stale or missing view is fetched in the background.
        """
        name = shard.rpartition("/")[0]
        cached = self._views.setdefault(name, _CachedView())
        now = self._clock.now()
        if now - cached.seen_at > FRESH_S:
            self._ask(name, cached, now)
        if not cached.reachable:
            return Code.HOME_UNREACHABLE
        return cached.owners.get(shard) or Code.NOT_OWNER

    def invalidate(self, process: str) -> None:
        """Mark views that name a process as stale, as it did not answer."""
        for cached in self._views.values():
            if process in cached.owners.values():
                cached.seen_at = float("-inf")

    def receive(self, view: OwnersView) -> None:
        """Cache a view that a peer has sent."""
        cached = self._views.setdefault(view.data_centre, _CachedView())
        changed = cached.owners != view.owners
        cached.owners, cached.addresses = view.owners, view.addresses
        cached.seen_at = self._clock.now()
        for process, address in view.addresses.items():
            self._peers.set_address(process, address)
        if changed:
            self._on_change()

    async def stop(self) -> None:
        """Cancel the calls in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _ask(self, name: str, cached: _CachedView, now: float) -> None:
        if cached.asking or now - cached.asked_at < RETRY_S:
            return
        cached.asking, cached.asked_at = True, now
        task = asyncio.create_task(self._ask_any(name, cached))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_any(self, name: str, cached: _CachedView) -> None:
        addresses = [*cached.addresses.values(), *self._listed.get(name, ())]
        addresses = list(dict.fromkeys(addresses))
        start = next(self._rounds) % max(1, len(addresses))
        try:
            for address in addresses[start:] + addresses[:start]:
                if await self._ask_one(name, address):
                    cached.reachable = True
                    return
            cached.reachable = False
        finally:
            cached.asking = False

    async def _ask_one(self, name: str, address: str) -> bool:
        self._peers.set_address(address, address)
        ask = [Envelope(AskOwners(name))]
        result = await self._peers.call(address, ask, ASK_TIMEOUT_S)
        return result is CallResult.DELIVERED
