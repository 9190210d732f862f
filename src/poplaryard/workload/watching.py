"""Copy of a range of the store's keys, kept current by a watch."""

import asyncio
import typing as t

from ..exceptions import StoreDown, StoreReplyLost
from ..logs import logger
from .storage import Change, Storage

__all__ = ["PrefixWatcher"]

RETRY_S = 0.1


class PrefixWatcher:
    """Follows the keys under a prefix.

    Parameters
    ----------
    storage : Storage
    prefix : str
    on_change : callable
        Called with each change; a removal has no item.
    wait_s : float
        Longest wait of one call. A connection that has gone silent delays changes by
        at most this and the slack of the call.
    pause_s : float
        Time between two calls, in seconds. Each call is paid for, and changes that
        come in quick succession are then read together.
    """

    def __init__(
        self,
        storage: Storage,
        prefix: str,
        on_change: t.Callable[[Change], None],
        wait_s: float = 1.0,
        pause_s: float = 0.0,
    ):
        self._storage = storage
        self._prefix = prefix
        self._on_change = on_change
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._revisions: dict[str, int] = {}
        self._at = 0
        self.loaded = asyncio.Event()

    async def run(self) -> None:
        """Follow the range until cancelled."""
        while True:
            try:
                if not self._at:
                    await self.reload()
                answer = await self._storage.watch(self._prefix, self._at, self._wait_s)
            except (StoreDown, StoreReplyLost):
                await asyncio.sleep(RETRY_S)
                continue
            if answer is None:
                logger.info("watch history gone", extra={"prefix": self._prefix})
                self._at = 0
                continue
            changes, self._at = answer
            for change in changes:
                self._apply(change)
            if changes and self._pause_s:
                await asyncio.sleep(self._pause_s)

    async def reload(self) -> None:
        """Read the whole range and report what differs."""
        items, at = await self._storage.scan(self._prefix)
        present = {item.key for item in items}
        for key in [key for key in self._revisions if key not in present]:
            self._apply(Change(key, at, None))
        for item in items:
            self._apply(Change(item.key, item.revision, item))
        self._at = at
        self.loaded.set()

    def _apply(self, change: Change) -> None:
        known = self._revisions.get(change.key, 0)
        if change.item is None:
            if self._revisions.pop(change.key, None) is None:
                return
        elif change.revision <= known:
            return
        else:
            self._revisions[change.key] = change.revision
        self._on_change(change)
