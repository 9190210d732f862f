"""Interface to the platform's key-value store."""

import typing as t
from dataclasses import dataclass

__all__ = ["Entry", "Store"]


@dataclass(frozen=True, slots=True)
class Entry:
    """Key with its value.

    Attributes
    ----------
    value : object
        JSON value; None for a deleted key.
    version : int
        Number of the write that set the value; writes are numbered store-wide.
    lease : str
        Lease that the key is bound to; empty if none.
    """

    key: str
    value: t.Any
    version: int
    lease: str = ""


class Store(t.Protocol):
    """Calls to the platform's store; each counts against its rate limits.

    Every method raises `StoreDown` if the call had no effect, and `StoreReplyLost` if
    it may have taken effect.
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries under a prefix, in key order."""

    async def put_if(
        self, key: str, value: t.Any, version: int, lease: str = ""
    ) -> Entry:
        """Write a value and return its entry; 0 as `version` stands for an absent key.

        Raises
        ------
        StoreConflict
            If the key's version is not `version`.
        """

    async def delete_if(self, key: str, version: int) -> None:
        """Delete if the key's version is `version`, else raise `StoreConflict`."""

    async def grant(self, ttl_s: float) -> str:
        """Return the id of a new lease."""

    async def keep_alive(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""

    async def revoke(self, lease: str) -> None:
        """End a lease and delete the keys bound to it."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Wait for entries under a prefix with a version greater than `after`.

        Deleted keys are returned with the value None. The result is empty if nothing
        has changed for `wait_s` seconds.
        """
