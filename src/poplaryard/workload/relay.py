"""Relay of calls to the store through a peer process.

The store may reject single processes, or be unreachable for them, while it serves their
peers.
"""

import asyncio
import random
import typing as t

import msgspec

from ..client import HttpClient
from ..clock import Clock
from ..codes import Code
from ..exceptions import LeaseLost, PoplaryardError, StoreDown, StoreReplyLost
from ..logs import logger
from .storage import Change, Item, Storage, Transaction

_T = t.TypeVar("_T")

__all__ = ["RELAY_PATH", "RelayedStorage", "answer_relayed"]

RELAY_PATH = "/peer/v1/store"
# Timeout of a relayed call in seconds; the peer's call to the store takes up to 1 s.
RELAY_TIMEOUT_S = 1.2
# Timeout of a relayed read of all keys under a prefix, in seconds: the peer reads
# several pages and returns them together.
SCAN_RELAY_TIMEOUT_S = 8.0
# Added to the wait of a watch for the timeout of its relayed call, in seconds.
WATCH_SLACK_S = 0.8
# Longest time between two parts of a response, in seconds. The timeouts above are those
# until the first part: the rest takes as long as the link needs.
STALL_TIMEOUT_S = 0.7
# Time between direct calls to a store that could not be reached directly, in seconds.
PROBE_PERIOD_S = 0.3
# Timeout of a probe, and shortest and longest pause before the next one, in seconds,
# while the store is not reached directly. A store that is up answers within 0.3 s even
# when it is slow, and callers whose jobs were refused return for 3 s at most. Probes of
# hundreds of processes should not arrive together.
PROBE_TIMEOUT_S = 0.3
PROBE_PAUSE_MIN_S = 0.05
PROBE_PAUSE_MAX_S = 0.15
# Maximum number of peers tried for a call, and the pause after all of them failed, in
# seconds: the store is then probably down for all, and relayed calls only add load.
MAX_PEERS_TRIED = 2
FAILED_PAUSE_S = 0.5


class _Call(msgspec.Struct):
    """Call to the store on behalf of a peer."""

    call: str
    key: str = ""
    transaction: Transaction | None = None
    after: int = 0
    wait_s: float = 0.0
    ttl_s: float = 0.0
    lease: int = 0


class _Outcome(msgspec.Struct):
    """Result of a relayed call.

    Attributes
    ----------
    error : str
        Key of `_ERRORS`; empty for none.
    revision : int
        Revision, or the lease granted by "grant".
    flag : bool
        Whether "commit" wrote, or "renew" renewed.
    """

    error: str = ""
    item: Item | None = None
    items: list[Item | None] | None = None
    changes: list[Change] | None = None
    revision: int = 0
    flag: bool = False


_calls = msgspec.json.Decoder(_Call)
_outcomes = msgspec.json.Decoder(_Outcome)
_ERRORS: dict[str, type[StoreDown | StoreReplyLost | LeaseLost]] = {
    "down": StoreDown,
    "reply lost": StoreReplyLost,
    "lease lost": LeaseLost,
}


async def answer_relayed(storage: Storage, body: bytes) -> bytes:
    """Make a call to the store for a peer and return the encoded result.

    Raises `msgspec.DecodeError` if the body is malformed.
    """
    call = _calls.decode(body)
    try:
        outcome = await _execute(storage, call)
    except LeaseLost:
        outcome = _Outcome("lease lost")
    except StoreDown:
        outcome = _Outcome("down")
    except StoreReplyLost:
        outcome = _Outcome("reply lost")
    return msgspec.json.encode(outcome)


async def _execute(storage: Storage, call: _Call) -> _Outcome:
    match call.call:
        case "get":
            return _Outcome(item=await storage.get(call.key))
        case "scan":
            items, revision = await storage.scan(call.key)
            return _Outcome(items=list(items), revision=revision)
        case "watch":
            found = await storage.watch(call.key, call.after, call.wait_s)
            if found is None:
                return _Outcome()
            return _Outcome(changes=found[0], revision=found[1])
        case "commit" if call.transaction is not None:
            result = await storage.commit(call.transaction)
            if isinstance(result, int):
                return _Outcome(revision=result, flag=True)
            return _Outcome(items=result)
        case "grant":
            return _Outcome(revision=await storage.grant(call.ttl_s))
        case "renew":
            return _Outcome(flag=await storage.renew(call.lease))
        case "revoke":
            await storage.revoke(call.lease)
            return _Outcome()
    raise msgspec.ValidationError(f"unknown call {call.call!r}")


class RelayedStorage:
    """Storage that is reached directly, or through a peer while that fails.

    Parameters
    ----------
    direct : Storage
    client : HttpClient
        Client for calls to peers.
    peers : callable
        Returns the addresses of the peers.

    Attributes
    ----------
    direct_ok : bool
        Whether the last direct call to the store succeeded.
    store_unreachable : bool
        Whether the last call failed both directly and through peers. Periodic calls of
        the process detect when the store can be reached again.
    """

    def __init__(
        self,
        direct: Storage,
        client: HttpClient,
        peers: t.Callable[[], list[str]],
        clock: Clock,
    ):
        self.direct = direct
        self._client = client
        self._peers = peers
        self._clock = clock
        self.direct_ok = True
        self._next_probe_at = 0.0
        self._relay_paused_until = 0.0
        self._last_peer = ""
        self._direct_lost = asyncio.Event()
        self._direct_reached = asyncio.Event()
        self.store_unreachable = False

    async def watch_recovery(self) -> None:
        """Probe the store whenever it is not reached directly, until cancelled.

        Other calls wait for up to a second each while the store is down, and would
        notice its return that much later.
        """
        while True:
            await self._direct_lost.wait()
            pause_s = random.uniform(PROBE_PAUSE_MIN_S, PROBE_PAUSE_MAX_S)
            await asyncio.sleep(pause_s)
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self.direct.ping()
            except (StoreDown, StoreReplyLost, TimeoutError):
                continue
            self._direct_succeeded(None)

    async def ping(self) -> None:
        """Raise `StoreDown` or `StoreReplyLost` unless the store answers directly."""
        await self.direct.ping()

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""
        return await self._repeatable(
            lambda: self.direct.get(key),
            _Call("get", key),
            lambda found: found.item,
        )

    async def scan(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix and the revision to watch from."""
        return await self._repeatable(
            lambda: self.direct.scan(prefix),
            _Call("scan", prefix),
            lambda found: (
                [item for item in found.items or [] if item],
                found.revision,
            ),
            SCAN_RELAY_TIMEOUT_S,
        )

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Change], int] | None:
        """Return the changes after a revision; None if the store no longer has them."""
        return await self._repeatable(
            lambda: self.direct.watch(prefix, after, wait_s),
            _Call("watch", prefix, after=after, wait_s=wait_s),
            lambda found: (
                None if found.changes is None else (found.changes, found.revision)
            ),
            wait_s + WATCH_SLACK_S,
        )

    async def commit(self, transaction: Transaction) -> int | list[Item | None]:
        """Return the new revision, or the current items of the expected keys."""
        # While direct calls fail, only reads and lease calls try the store directly
        # again: a lost write would leave its caller in doubt.
        if self.direct_ok:
            try:
                return self._direct_succeeded(await self.direct.commit(transaction))
            except StoreDown as exc:
                self._direct_failed(exc)
            except StoreReplyLost as exc:
                self._direct_failed(exc)
                raise  # the write may have taken effect
        found = await self._relay(_Call("commit", transaction=transaction))
        return found.revision if found.flag else list(found.items or [])

    async def grant(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        return await self._repeatable(
            lambda: self.direct.grant(ttl_s),
            _Call("grant", ttl_s=ttl_s),
            lambda found: found.revision,
        )

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        return await self._repeatable(
            lambda: self.direct.renew(lease),
            _Call("renew", lease=lease),
            lambda found: found.flag,
        )

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        await self._repeatable(
            lambda: self.direct.revoke(lease),
            _Call("revoke", lease=lease),
            lambda found: None,
        )

    async def _repeatable(
        self,
        call_direct: t.Callable[[], t.Awaitable[_T]],
        call: _Call,
        result: t.Callable[[_Outcome], _T],
        timeout_s: float = RELAY_TIMEOUT_S,
    ) -> _T:
        """Make a call that may be carried out twice, directly or through a peer.

        A relayed call is abandoned once the store is reached directly again: silent
        peers would hold it up for seconds.
        """
        if self._use_direct():
            try:
                return self._direct_succeeded(await call_direct())
            except (StoreDown, StoreReplyLost) as exc:
                self._direct_failed(exc)
        relayed = asyncio.ensure_future(self._relay(call, timeout_s))
        recovered = asyncio.ensure_future(self._direct_reached.wait())
        try:
            await asyncio.wait(
                {relayed, recovered}, return_when=asyncio.FIRST_COMPLETED
            )
            if relayed.done():
                return result(relayed.result())
        finally:
            relayed.cancel()
            recovered.cancel()
        return await call_direct()

    def _use_direct(self) -> bool:
        if self.direct_ok:
            return True
        now = self._clock.now()
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_PERIOD_S
        return True

    def _direct_succeeded(self, result: t.Any) -> t.Any:
        if not self.direct_ok:
            logger.warning("store reached directly again")
        self.direct_ok = True
        self._direct_lost.clear()
        self._direct_reached.set()
        self.store_unreachable = False
        return result

    def _direct_failed(self, exc: PoplaryardError) -> None:
        if self.direct_ok:
            extra = {"reason": exc.detail}
            logger.warning("store not reached; calling it through peers", extra=extra)
            self._next_probe_at = self._clock.now() + PROBE_PERIOD_S
        self.direct_ok = False
        self._direct_lost.set()
        self._direct_reached.clear()

    async def _relay(self, call: _Call, timeout_s: float = RELAY_TIMEOUT_S) -> _Outcome:
        """Make a call through one of up to `MAX_PEERS_TRIED` peers."""
        if self._clock.now() < self._relay_paused_until:
            raise StoreDown
        for address in self._candidates():
            outcome = await self._relay_to(address, call, timeout_s)
            self._last_peer = ""
            if outcome is not None and outcome.error != "down":
                self._last_peer = address
                # A single lost write doesn't mean that the store is unreachable.
                if outcome.error != "reply lost":
                    self.store_unreachable = False
                elif call.call != "commit":
                    self.store_unreachable = True
                if outcome.error:
                    raise _ERRORS[outcome.error]()
                return outcome
        self.store_unreachable = True
        self._relay_paused_until = self._clock.now() + FAILED_PAUSE_S
        raise StoreDown

    def _candidates(self) -> list[str]:
        """Return the peers to try, starting with the one that answered last."""
        addresses = self._peers()
        chosen = random.sample(addresses, min(MAX_PEERS_TRIED, len(addresses)))
        if self._last_peer in addresses:
            chosen = [self._last_peer, *chosen]
        return list(dict.fromkeys(chosen))[:MAX_PEERS_TRIED]

    async def _relay_to(
        self, address: str, call: _Call, timeout_s: float
    ) -> _Outcome | None:
        """Return a peer's result, or None if another peer may be tried."""
        body = msgspec.json.encode(call)
        url = f"http://{address}{RELAY_PATH}"
        try:
            reply = await self._client.request_raw(
                "POST", url, body, timeout_s, stall_timeout_s=STALL_TIMEOUT_S
            )
        except PoplaryardError as exc:
            if call.call == "commit" and exc.code is not Code.PEER_UNREACHABLE:
                self._last_peer = ""
                raise StoreReplyLost(exc.detail) from exc
            return None
        if reply.status != 200:
            return None
        try:
            return _outcomes.decode(reply.content)
        except msgspec.DecodeError as exc:
            raise StoreReplyLost(f"malformed answer of a peer: {exc}") from exc
