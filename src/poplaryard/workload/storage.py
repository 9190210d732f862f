"""Interface of a key-value store with transactions, leases and watches."""

import typing as t
from dataclasses import dataclass, field

__all__ = [
    "MAX_TRANSACTION_ENTRIES",
    "Change",
    "Item",
    "Page",
    "Storage",
    "Transaction",
]

# Most entries of one transaction: expectations, writes and removals together.
MAX_TRANSACTION_ENTRIES = 32


@dataclass(frozen=True, slots=True)
class Item:
    """Value of a key, the revision of its last change, and its lease (0 for none)."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Change(t.NamedTuple):
    """Change of a key; `item` is its new state, or None if it was removed."""

    key: str
    revision: int
    item: Item | None


@dataclass(frozen=True, slots=True)
class Page:
    """Some items of a range of keys, and the store's revision when it was read.

    `more` tells whether the range has further items.
    """

    items: tuple[Item, ...]
    more: bool
    revision: int


@dataclass(slots=True)
class Transaction:
    """Writes that are applied atomically if all expectations hold.

    Attributes
    ----------
    expected : dict of str to int
        Revision that each key must have; 0 for a key that must not exist.
    puts : list of tuple
        Key, value and lease (0 for none).
    removes : list of str
        Keys to remove.
    """

    expected: dict[str, int] = field(default_factory=dict)
    puts: list[tuple[str, bytes, int]] = field(default_factory=list)
    removes: list[str] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.expected) + len(self.puts) + len(self.removes)


class Storage(t.Protocol):
    """Calls to the store.

    Every method raises `StoreDown` if the call certainly had no effect, and
    `StoreReplyLost` if it may have taken effect or may still do so.
    """

    async def ping(self) -> None:
        """Return once the store has answered a call that changes nothing."""

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""

    async def scan(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix and the revision to watch from."""

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Change], int] | None:
        """Return the changes after a revision and the revision to continue from.

        Waits up to `wait_s` for a change. Returns None if the store no longer has the
        changes since that revision.
        """

    async def commit(self, transaction: Transaction) -> int | list[Item | None]:
        """Return the new revision, or the current items of the expected keys.

        The items are returned, and nothing is written, if an expectation does not hold.
        Raises `LeaseLost` if the lease of a write has ended.
        """

    async def grant(self, ttl_s: float) -> int:
        """Return the id of a new lease, which ends `ttl_s` after its last renewal."""

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
