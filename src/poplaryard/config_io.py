"""Task that carries out the commands of `Rollout`: store reads and peer messages."""

import asyncio
import typing as t

from . import wire
from .clock import Clock
from .config_loader import Loader
from .exceptions import PoplaryardError
from .head import HEAD_KEY, Delta, Head
from .logs import log_failure
from .messages import Configure, Tick
from .peers import Envelope, PeerTable
from .rollout import (
    AskState,
    CentreReport,
    HeadSeen,
    LoadConfig,
    Loaded,
    Members,
    PeerDelta,
    PeerNumber,
    Rollout,
    Send,
    StoreFailed,
    WatchHead,
)
from .store import Store

__all__ = ["ConfigTask"]

TICK_S = 0.25
WATCH_WAIT_S = 20.0
WATCH_RETRY_S = 1.0
# Pause after a watch event. The tickets of a burst are then read together, since each
# watch event costs a call and a read.
WATCH_PAUSE_S = 0.1
PEER_MESSAGES = (AskState, CentreReport, PeerDelta)

wire.register(AskState, CentreReport, PeerDelta, Delta)


class ConfigTask:
    """Connects a `Rollout` to the store, the peers and the clock.

    Parameters
    ----------
    loader : Loader
        Shared with `Acceptance`, so that a ticket filed here is not read twice.
    apply : callable
        Called with each configuration that comes into force.
    """

    def __init__(
        self,
        rollout: Rollout,
        loader: Loader,
        store: Store,
        peers: PeerTable,
        clock: Clock,
        apply: t.Callable[[Configure], None],
    ):
        self.rollout = rollout
        self._loader = loader
        self._store = store
        self._peers = peers
        self._clock = clock
        self._apply = apply
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch: asyncio.Task[None] | None = None
        self._loading = False

    def start(self) -> None:
        """Start the task."""
        self._spawn(self._tick())

    async def stop(self) -> None:
        """Cancel the task and its calls, and wait until they have ended."""
        tasks = [*self._tasks, *([self._watch] if self._watch else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_members(self, members: Members) -> None:
        """Set the live processes of this data centre and the peers in the others."""
        self.handle(members)

    def peer_number(self, process: str, number: int) -> None:
        """Process the ticket number in force at a peer, from its heartbeat."""
        self.handle(PeerNumber(process, number))

    def handle(self, msg: t.Any) -> None:
        """Pass a message to the `Rollout` and carry out the resulting commands."""
        for out in self.rollout.handle(self._clock.now(), msg):
            if isinstance(out, Configure):
                self._loader.adopt(self.rollout.state)
                self._apply(out)
            elif isinstance(out, Send):
                self._peers.send(out.to, Envelope(out.msg))
            elif isinstance(out, WatchHead):
                self._switch_watch(out.on)
            else:
                self._load(out)

    async def _tick(self) -> None:
        while True:
            self.handle(Tick())
            await asyncio.sleep(TICK_S)

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure)

    def _switch_watch(self, on: bool) -> None:
        if self._watch is not None:
            self._watch.cancel()
        self._watch = asyncio.create_task(self._watch_head()) if on else None

    def _load(self, command: LoadConfig) -> None:
        # Polls are skipped during a load; with a slow store they would pile up.
        if not self._loading or command.head is not None:
            self._spawn(self._load_config(command))

    async def refresh(self) -> None:
        """Load the configuration from the store now.

        Raises
        ------
        PoplaryardError
            If it cannot be loaded.
        """
        self.handle(Loaded(await self._loader.refresh(None)))

    async def _load_config(self, command: LoadConfig) -> None:
        self._loading = True
        try:
            state = await self._loader.refresh(command.head)
        except PoplaryardError:
            self.handle(StoreFailed())
        else:
            self.handle(Loaded(state))
        finally:
            self._loading = False

    async def _watch_head(self) -> None:
        after = 0
        while True:
            try:
                entries = await self._store.watch(HEAD_KEY, after, WATCH_WAIT_S)
                for entry in entries:
                    after = max(after, entry.version)
                    if entry.value is not None:
                        self.handle(HeadSeen(Head.from_json(entry.value)))
                await asyncio.sleep(WATCH_PAUSE_S if entries else 0)
            except PoplaryardError:
                await asyncio.sleep(WATCH_RETRY_S)
