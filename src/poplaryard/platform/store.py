"""Client of the platform's key-value store."""

import base64
import functools
import json
import typing as t
from urllib.parse import quote

from ..client import HttpClient, Reply
from ..codes import Code
from ..exceptions import LeaseLost, PoplaryardError, StoreDown, StoreReplyLost
from ..logs import logger
from ..workload.storage import Change, Item, Transaction

__all__ = ["PlatformStore"]

P = t.ParamSpec("P")
T = t.TypeVar("T")

# A slow store takes 0.24 s to answer. A dead connection must be detected, and the call
# repeated, well within the 2 s that the platform allows as `config_apply_ms`.
CALL_TIMEOUT_S = 0.7
# Time until the first part of a page, in seconds.
PAGE_TIMEOUT_S = 3.0
# Added to the requested wait of a watch to get the time until the first part of the
# response, in seconds.
WATCH_SLACK_S = 0.5
# Longest time between two parts of a response to a read, in seconds. There is no limit
# for the whole: 1 MB of values takes 2.1 s over a link of 5 Mbit/s, the slowest of the
# users' entry VMs, and a read that is given up on the way would begin anew.
STALL_TIMEOUT_S = 0.7
# Statuses with which the store refuses a call without executing it.
_NOT_EXECUTED = (429, 503)


def _parses_reply(
    call: t.Callable[P, t.Coroutine[t.Any, t.Any, T]],
) -> t.Callable[P, t.Coroutine[t.Any, t.Any, T]]:
    """Raise `StoreReplyLost` from a call whose reply is malformed."""

    @functools.wraps(call)
    async def wrapper(*args: P.args, **fields: P.kwargs) -> T:
        try:
            return await call(*args, **fields)
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            logger.error("malformed reply of the store", exc_info=exc)
            raise StoreReplyLost(f"The store's reply is malformed: {exc!r}.") from exc

    return wrapper


class PlatformStore:
    """Calls the platform's store over HTTP.

    Implements `poplaryard.workload.storage.Storage`.

    Attributes
    ----------
    calls : dict of str to int
        Number of calls so far, by name.
    """

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._url = f"http://{address}/poplaryard"
        self.calls: dict[str, int] = {}

    async def ping(self) -> None:
        """Return once the store has answered a read of a key that does not exist."""
        reply = await self._get("kv-key", "key=ping&serializable=1")
        if reply.status != 404:
            _check(reply)

    @_parses_reply
    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""
        reply = await self._get("kv-key", f"key={quote(key)}")
        return None if reply.status == 404 else _parse_item(_check(reply))

    @_parses_reply
    async def scan(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix and the revision to watch from."""
        items: list[Item] = []
        revision = 0
        query = f"prefix={quote(prefix)}"
        after = ""
        while True:
            reply = await self._get("kv-range", query + after, PAGE_TIMEOUT_S)
            body = _check(reply)
            items += [_parse_item(found) for found in body["items"]]
            # Pages are read at different revisions. Watching from the revision of the
            # first one covers the changes made in between.
            revision = revision or body["at"]
            if not body["truncated"] or not body["items"]:
                return items, revision
            after = f"&after={quote(items[-1].key)}"

    @_parses_reply
    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Change], int] | None:
        """Wait for changes after a revision.

        Returns the changes and the revision to watch from next, or None if the store no
        longer has the history since `after`.
        """
        query = f"prefix={quote(prefix)}&after={after}&wait_ms={int(wait_s * 1000)}"
        reply = await self._get("kv-watch", query, wait_s + WATCH_SLACK_S)
        if reply.status == 410:
            return None
        body = _check(reply)
        return [_parse_change(event) for event in body["events"]], body["at"]

    @_parses_reply
    async def commit(self, transaction: Transaction) -> int | list[Item | None]:
        """Commit a transaction.

        Returns the new revision, or the present items of the expected keys if an
        expectation did not hold. Raises `LeaseLost` if a lease has ended.
        """
        body = {
            "expected": [
                {"key": key, "rev": revision}
                for key, revision in transaction.expected.items()
            ],
            "puts": [
                {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
                for key, value, lease in transaction.puts
            ],
            "remove": transaction.removes,
        }
        reply = await self._post("kv-txn", body)
        if reply.status == 412:
            return _present_items(transaction, reply.body["items"])
        if reply.status == 404:
            raise LeaseLost
        return int(_check(reply)["rev"])

    @_parses_reply
    async def grant(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        reply = await self._post("kv-lease", {"ttl_ms": int(ttl_s * 1000)})
        return int(_check(reply)["lease"])

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        reply = await self._post(f"kv-keep/{lease}", {})
        if reply.status == 404:
            return False
        _check(reply)
        return True

    async def revoke(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        reply = await self._call("DELETE", f"kv-lease-end/{lease}", None)
        if reply.status != 404:
            _check(reply)

    async def _get(
        self, name: str, query: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> Reply:
        path = f"{name}?{query}"
        return await self._call("GET", path, None, timeout_s, STALL_TIMEOUT_S)

    async def _post(self, name: str, body: t.Any) -> Reply:
        return await self._call("POST", name, json.dumps(body).encode())

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float = CALL_TIMEOUT_S,
        stall_timeout_s: float | None = None,
    ) -> Reply:
        name = path.partition("?")[0].partition("/")[0]
        self.calls[name] = self.calls.get(name, 0) + 1
        try:
            return await self._client.request(
                method, f"{self._url}/{path}", data, timeout_s, stall_timeout_s
            )
        except PoplaryardError as exc:
            if exc.code is Code.PEER_UNREACHABLE:
                raise StoreDown(exc.detail) from exc
            raise StoreReplyLost(exc.detail) from exc


def _check(reply: Reply) -> t.Any:
    if reply.status == 200:
        return reply.body
    if reply.status in _NOT_EXECUTED:
        raise StoreDown(f"The store refused the call with status {reply.status}.")
    raise StoreReplyLost(f"The store answered with status {reply.status}.")


def _parse_item(found: t.Any) -> Item:
    value = base64.b64decode(found["value"])
    return Item(str(found["key"]), value, int(found["rev"]), int(found.get("lease", 0)))


def _parse_change(event: t.Any) -> Change:
    item = None if event.get("deleted") else _parse_item(event)
    return Change(str(event["key"]), int(event["rev"]), item)


def _present_items(transaction: Transaction, found: list[t.Any]) -> list[Item | None]:
    """Return the items of the expected keys; None for a key that does not exist."""
    present = {entry["key"]: entry for entry in found if entry.get("value") is not None}
    return [
        _parse_item(present[key])
        if key in present and present[key].get("rev")
        else None
        for key in transaction.expected
    ]
