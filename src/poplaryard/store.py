"""Interface to the platform's key-value store."""

import typing as t
from dataclasses import dataclass

__all__ = ["Entry", "Store"]


@dataclass(frozen=True, slots=True)
class Entry:
    """Value of a key.

    Attributes
    ----------
    version : int
        Store-wide number of the write that set the value.
    lease : str
        Lease that the key is bound to; empty if none.
    """

    key: str
    value: t.Any
    version: int
    lease: str = ""


class Store(t.Protocol):
    """Calls that the platform's store offers; each counts against its rate limits.

    Every method raises `StoreDown` if nothing was written and `StoreReplyLost` if the
    call may have taken effect.
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None."""

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries under a prefix, in key order."""

    async def put_if(
        self, key: str, value: t.Any, version: int, lease: str = ""
    ) -> Entry:
        """Write if the key's version is `version` (0: absent), else `StoreConflict`."""

    async def delete_if(self, key: str, version: int) -> None:
        """Delete if the key's version is `version`, else raise `StoreConflict`."""

    async def grant(self, ttl_s: float) -> str:
        """Return the id of a new lease."""

    async def keep_alive(self, lease: str) -> bool:
        """Renew a lease; False if it has lapsed."""

    async def revoke(self, lease: str) -> None:
        """End a lease and delete the keys bound to it."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Wait for entries under a prefix with a version above `after`.

        Deleted keys are returned with the value None. Returns an empty list after
        `wait_s` seconds without a change.
        """
