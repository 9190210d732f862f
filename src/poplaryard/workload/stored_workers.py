"""What the store may hold as the list of workers that may have runs of a group.

The next owner of the group relies on the list: a worker may be given any task only
while it is listed without restrictions, and leases only while it is listed with them.
A write without an answer may have taken effect, or may still do so, so that the store
may hold one of several lists. What is allowed is derived from all of them.
"""

import typing as t

from .model import Suspect

__all__ = ["StoredWorkers", "is_unrestricted", "unrestricted"]

Workers: t.TypeAlias = dict[str, Suspect]


def is_unrestricted(suspect: Suspect) -> bool:
    """Return whether any task may be started on a worker by its record."""
    return suspect.tasks is None and suspect.renewed


def unrestricted(workers: Workers) -> set[str]:
    """Return the workers on which any task may be started by their records."""
    return {name for name, suspect in workers.items() if is_unrestricted(suspect)}


class StoredWorkers:
    """Lists that the store may hold, as the outcomes of its owner's writes tell.

    All writes of an owner require the last revision of one key and change it. A write
    that succeeds therefore proves that none in doubt has taken effect or ever will, and
    one that fails for this key that exactly one of those in doubt has.

    Parameters
    ----------
    workers : dict of str to Suspect
        List in the store, by worker.
    """

    def __init__(self, workers: Workers):
        # One of these is stored.
        self._stored = [workers]
        # These may be stored as well, or may be later.
        self._in_doubt: list[Workers] = []
        self._writing: Workers | None = None
        self._update()

    @property
    def known(self) -> Workers | None:
        """The list in the store; None if it is not known."""
        candidates = self._candidates()
        return candidates[0] if len(candidates) == 1 else None

    def unrestricted(self) -> set[str]:
        """Return the workers that every list allows any task to be started on."""
        return self._unrestricted

    def is_unrestricted(self, worker_id: str) -> bool:
        """Return whether every list allows any task to be started on a worker."""
        return all(
            worker_id in workers and is_unrestricted(workers[worker_id])
            for workers in self._candidates()
        )

    def is_unrenewed(self, worker_id: str) -> bool:
        """Return whether some list says that a worker's leases are not renewed."""
        return any(
            worker_id in workers and not workers[worker_id].renewed
            for workers in self._candidates()
        )

    def write_began(self, workers: Workers) -> None:
        """Note that a list is about to be written."""
        self._writing = workers
        self._update()

    def written(self, workers: Workers) -> None:
        """Note that a list has been written."""
        self._writing = None
        self._stored = [workers]
        self._update()

    def not_written(self) -> None:
        """Note that the list that was to be written has had no effect."""
        self._writing = None
        self._update()

    def write_in_doubt(self) -> None:
        """Note that the write of the list has got no answer."""
        if self._writing is not None and self._writing not in self._in_doubt:
            self._in_doubt.append(self._writing)
        self._writing = None
        self._update()

    def later_write_succeeded(self) -> None:
        """Note that some write of the owner has succeeded after those in doubt."""
        if self._in_doubt:
            self._in_doubt = []
            self._update()

    def earlier_write_carried_out(self) -> None:
        """Note that one write of those in doubt has taken effect, and no other can."""
        self._stored += self._in_doubt
        self._in_doubt = []
        self._update()

    def _update(self) -> None:
        """Derive what every scheduling pass needs from the lists that may be stored."""
        first, *others = map(unrestricted, self._candidates())
        self._unrestricted = first.intersection(*others)

    def _candidates(self) -> list[Workers]:
        writing = [] if self._writing is None else [self._writing]
        return [*self._stored, *self._in_doubt, *writing]
