"""Client of the platform's key-value store."""

import base64
import json
import typing as t
from urllib.parse import quote

from ..client import HttpClient, Reply
from ..codes import Code
from ..exceptions import LeaseLost, PoplaryardError, StoreDown, StoreReplyLost
from ..workload.storage import Change, Item, Transaction

__all__ = ["PlatformStore"]

# A slow store takes 0.24 s for an answer. A connection that has gone silent must be
# noticed, and its call repeated, well within `config_apply_ms` of 2 s.
CALL_TIMEOUT_S = 0.7
# Time that an answer to a watch may take beyond the wait that was asked for.
WATCH_SLACK_S = 0.5
_NOTHING_DONE = (429, 503)


class PlatformStore:
    """Calls the platform's store; see `poplaryard.workload.storage.Storage`.

    Attributes
    ----------
    calls : dict of str to int
        Calls made so far by name.
    """

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._url = f"http://{address}/poplaryard"
        self.calls: dict[str, int] = {}

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""
        reply = await self._get("kv-key", f"key={quote(key)}")
        return None if reply.status == 404 else _item(_checked(reply))

    async def scan(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix and the revision to watch from."""
        items: list[Item] = []
        revision = 0
        query = f"prefix={quote(prefix)}"
        after = ""
        while True:
            body = _checked(await self._get("kv-range", query + after))
            items += [_item(found) for found in body["items"]]
            # Pages are not a snapshot: changes are watched from the first page on.
            revision = revision or body["at"]
            if not body["truncated"] or not body["items"]:
                return items, revision
            after = f"&after={quote(items[-1].key)}"

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Change], int] | None:
        """Wait for changes after a revision; None if that history is gone."""
        query = f"prefix={quote(prefix)}&after={after}&wait_ms={int(wait_s * 1000)}"
        reply = await self._get("kv-watch", query, wait_s + WATCH_SLACK_S)
        if reply.status == 410:
            return None
        body = _checked(reply)
        return [_change(event) for event in body["events"]], body["at"]

    async def commit(self, transaction: Transaction) -> int | list[Item | None]:
        """Return the new revision, or the present items of the expected keys."""
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
            return _current(transaction, reply.body["items"])
        if reply.status == 404:
            raise LeaseLost
        return int(_checked(reply)["rev"])

    async def grant(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        reply = await self._post("kv-lease", {"ttl_ms": int(ttl_s * 1000)})
        return int(_checked(reply)["lease"])

    async def renew(self, lease: int) -> bool:
        """Renew a lease; False if it has ended."""
        reply = await self._post(f"kv-keep/{lease}", {})
        if reply.status == 404:
            return False
        _checked(reply)
        return True

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        reply = await self._call("DELETE", f"kv-lease-end/{lease}", None)
        if reply.status != 404:
            _checked(reply)

    async def _get(
        self, name: str, query: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> Reply:
        return await self._call("GET", f"{name}?{query}", None, timeout_s)

    async def _post(self, name: str, body: t.Any) -> Reply:
        return await self._call("POST", name, json.dumps(body).encode())

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Reply:
        name = path.partition("?")[0].partition("/")[0]
        self.calls[name] = self.calls.get(name, 0) + 1
        try:
            return await self._client.request(
                method, f"{self._url}/{path}", data, timeout_s
            )
        except PoplaryardError as exc:
            if exc.code is Code.PEER_UNREACHABLE:
                raise StoreDown(exc.detail) from exc
            raise StoreReplyLost(exc.detail) from exc


def _checked(reply: Reply) -> t.Any:
    if reply.status == 200:
        return reply.body
    if reply.status in _NOTHING_DONE:
        raise StoreDown(f"The store refused the call with status {reply.status}.")
    raise StoreReplyLost(f"The store answered with status {reply.status}.")


def _item(found: t.Any) -> Item:
    value = base64.b64decode(found["value"])
    return Item(found["key"], value, found["rev"], found.get("lease", 0))


def _change(event: t.Any) -> Change:
    item = None if event.get("deleted") else _item(event)
    return Change(event["key"], event["rev"], item)


def _current(transaction: Transaction, found: list[t.Any]) -> list[Item | None]:
    present = {entry["key"]: entry for entry in found if entry.get("value") is not None}
    return [
        _item(present[key]) if key in present and present[key].get("rev") else None
        for key in transaction.expected
    ]
