"""HTTP client of the platform's key-value store."""

import typing as t

from .client import HttpClient
from .codes import Code
from .exceptions import (
    PoplaryardError,
    StoreConflict,
    StoreDown,
    StoreReplyLost,
)
from .store import Entry
from .vmlist import ListedVm

__all__ = ["HttpStore"]

# Timeout of a call, in seconds; a watch has this much more than its own wait.
CALL_TIMEOUT_S = 1.5
_STATUS_CONFLICT = 409


class HttpStore:
    """Calls the platform's store over HTTP; implements `poplaryard.store.Store`.

    Attributes
    ----------
    calls : int
        Number of calls so far; each counts against the platform's rate limits.
    """

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._url = f"http://{address}/store/v1"
        self.calls = 0

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""
        found = await self._call("get", {"key": key})
        return _parse_entry(found["entry"]) if found["entry"] else None

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries under a prefix, in key order."""
        found = await self._call("scan", {"prefix": prefix})
        return [_parse_entry(item) for item in found["entries"]]

    async def put_if(
        self, key: str, value: t.Any, version: int, lease: str = ""
    ) -> Entry:
        """Write if the key's version is `version` (0 for an absent key).

        Raises `StoreConflict` otherwise.
        """
        body = {"key": key, "value": value, "version": version, "lease": lease}
        return _parse_entry((await self._call("put_if", body))["entry"])

    async def delete_if(self, key: str, version: int) -> None:
        """Delete if the key's version is `version`, else raise `StoreConflict`."""
        await self._call("delete_if", {"key": key, "version": version})

    async def grant(self, ttl_s: float) -> str:
        """Return the id of a new lease."""
        return str((await self._call("grant", {"ttl_s": ttl_s}))["lease"])

    async def keep_alive(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        return bool((await self._call("keep_alive", {"lease": lease}))["alive"])

    async def revoke(self, lease: str) -> None:
        """End a lease and delete the keys bound to it."""
        await self._call("revoke", {"lease": lease})

    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Wait for entries under a prefix with a version greater than `after`."""
        body = {"prefix": prefix, "after": after, "wait_s": wait_s}
        found = await self._call("watch", body, wait_s + CALL_TIMEOUT_S)
        return [_parse_entry(item) for item in found["entries"]]

    async def vms(self, data_centre: str) -> list[ListedVm]:
        """Return the platform's list of live and leaving VMs of a data centre."""
        found = (await self._call("vms", {"data_centre": data_centre}))["vms"]
        return [ListedVm(item["name"], item["leaving"]) for item in found]

    async def _call(
        self, name: str, body: t.Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> t.Any:
        self.calls += 1
        try:
            reply = await self._client.post(f"{self._url}/{name}", body, timeout_s)
        except PoplaryardError as exc:
            if exc.code is Code.PEER_UNREACHABLE:
                raise StoreDown(exc.detail) from exc
            raise StoreReplyLost(exc.detail) from exc
        return _check(reply.status, reply.body)


def _check(status: int, body: t.Any) -> t.Any:
    if status == 200:
        return body
    if status == _STATUS_CONFLICT:
        raise StoreConflict
    if status in (429, 503):
        raise StoreDown(f"The store refused the call with status {status}.")
    raise StoreReplyLost(f"The store answered with status {status}.")


def _parse_entry(found: t.Any) -> Entry:
    return Entry(found["key"], found["value"], found["version"], found["lease"])
