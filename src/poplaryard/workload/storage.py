"""Interface to a store with transactions, leases and watches."""

import typing as t
from dataclasses import dataclass, field

__all__ = ["Change", "Item", "Page", "Storage", "Transaction"]


@dataclass(frozen=True, slots=True)
class Item:
    """Value of a key; `revision` is that of its last change, `lease` 0 for none."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Change(t.NamedTuple):
    """Item as it was written, or None for a key that was removed."""

    key: str
    revision: int
    item: Item | None


@dataclass(frozen=True, slots=True)
class Page:
    """Part of a range; `revision` is the store's when it was read."""

    items: tuple[Item, ...]
    more: bool
    revision: int


@dataclass(slots=True)
class Transaction:
    """Writes that happen together if all expectations hold.

    Attributes
    ----------
    expected : dict of str to int
        Revision that each key must have; 0 for a key that must not exist.
    puts : list of tuple
        Key, value and lease (0 for none).
    """

    expected: dict[str, int] = field(default_factory=dict)
    puts: list[tuple[str, bytes, int]] = field(default_factory=list)
    removes: list[str] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.expected) + len(self.puts) + len(self.removes)


class Storage(t.Protocol):
    """Calls of the store.

    Every method raises `StoreDown` if nothing was done, and `StoreReplyLost` if the
    call may have taken effect or may still do so.
    """

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""

    async def scan(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix and the revision to watch from."""

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Change], int] | None:
        """Wait for changes after a revision; None if that history is gone."""

    async def commit(self, transaction: Transaction) -> int | list[Item | None]:
        """Return the new revision, or the present items of the expected keys.

        Raises `LeaseLost` if a lease that a write names has ended.
        """

    async def grant(self, ttl_s: float) -> int:
        """Return the id of a new lease."""

    async def renew(self, lease: int) -> bool:
        """Renew a lease; False if it has ended."""

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
