"""Task that carries out the commands of `Rollout` with the store and the peers."""

import asyncio
import typing as t

from .clock import Clock
from .config_loader import Loader
from .exceptions import CallError, StoreDown, StoreReplyLost
from .head import HEAD_KEY, Head
from .messages import Configure, Tick
from .rollout import (
    HeadSeen,
    LoadConfig,
    Loaded,
    Rollout,
    Send,
    StoreFailed,
    WatchHead,
)
from .store import Store

__all__ = ["RolloutTask"]

TICK_S = 0.1
WATCH_WAIT_S = 10.0
# Pause after a failed watch, so that an outage is not met with a flood of calls.
RETRY_S = 0.5


class RolloutTask:
    """Runs a `Rollout`.

    Parameters
    ----------
    send : callable
        Hands a message for a peer to the transport; must not block.
    configure : callable
        Takes each configuration that comes into force here.

    Notes
    -----
    Call `handle` with `Members`, `PeerNumber`, `PeerDelta`, `AskState` and
    `CentreReport` as they arrive, and with `HeadSeen` after an accepted ticket.
    """

    def __init__(
        self,
        rollout: Rollout,
        store: Store,
        clock: Clock,
        send: t.Callable[[Send], None],
        configure: t.Callable[[Configure], None],
    ):
        self.rollout = rollout
        self.loader = Loader(store)
        self._store = store
        self._clock = clock
        self._send = send
        self._configure = configure
        self._watch: asyncio.Task[None] | None = None
        self._load: asyncio.Task[None] | None = None
        self._wanted: LoadConfig | None = None

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                self.handle(Tick())
                await asyncio.sleep(TICK_S)
        finally:
            for task in (self._watch, self._load):
                if task is not None:
                    task.cancel()

    def handle(self, msg: t.Any) -> None:
        """Pass a message to the rollout and carry out what follows."""
        for command in self.rollout.handle(self._clock.now(), msg):
            match command:
                case Configure():
                    self.loader.adopt(self.rollout.state)
                    self._configure(command)
                case Send():
                    self._send(command)
                case WatchHead():
                    self._set_watch(command.on)
                case LoadConfig():
                    self._start_load(command)

    def _set_watch(self, on: bool) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if on:
            self._watch = asyncio.create_task(self._watch_head())

    async def _watch_head(self) -> None:
        after = 0
        while True:
            try:
                entries = await self._store.watch(HEAD_KEY, after, WATCH_WAIT_S)
            except (StoreDown, StoreReplyLost):
                self.handle(StoreFailed())
                await asyncio.sleep(RETRY_S)
                continue
            for entry in entries:
                after = max(after, entry.version)
                if entry.key == HEAD_KEY and entry.value is not None:
                    self.handle(HeadSeen(Head.from_json(entry.value)))

    def _start_load(self, command: LoadConfig) -> None:
        """Start a load, or remember the newest one wanted while one is running."""
        if self._load is not None and not self._load.done():
            if self._wanted is None or command.head is not None:
                self._wanted = command
            return
        self._load = asyncio.create_task(self._load_config(command))

    async def _load_config(self, command: LoadConfig) -> None:
        wanted: LoadConfig | None = command
        while wanted is not None:
            self._wanted = None
            try:
                state = await self.loader.refresh(wanted.head)
                self.handle(Loaded(state))
            except (StoreDown, StoreReplyLost, CallError):
                self.handle(StoreFailed())
            wanted = self._wanted
