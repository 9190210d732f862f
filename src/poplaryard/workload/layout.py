"""Division of a large group of workers into partitions with an owner each.

A partition consists of whole racks, since gangs and data are placed by rack. A rack
never moves to another partition, so one owner at a time knows what runs on its workers.
A small group has a single partition, which bears the group's name.
"""

import typing as t
from collections import Counter

import msgspec

from .model import WorkerInfo

__all__ = [
    "Layout",
    "MIN_PARTITION_WORKERS",
    "assign_racks",
    "group_of",
    "partition_name",
]

# Fewest workers of a partition when a group is divided; a partition has less than twice
# as many. Steps that are spread over different workers need a worker for each task, and
# the widest of the users' have 88. An owner exchanges two or three calls a second with
# each of its workers, and a call costs about 0.3 ms of processor time.
MIN_PARTITION_WORKERS = 85
# Separates the name of a group from the number of a partition.
SEPARATOR = "~"


class Layout(msgspec.Struct, frozen=True):
    """Partitions of a group: their number, and the partition of each rack."""

    partitions: int = 1
    racks: dict[str, int] = {}

    def names(self, group: str) -> list[str]:
        """Return the names of the partitions of a group with this layout."""
        return [partition_name(group, index) for index in range(self.partitions)]

    def partition_of(self, group: str, rack: str) -> str | None:
        """Return the partition of a rack, or None if it has none yet."""
        index = self.racks.get(rack)
        return None if index is None else partition_name(group, index)


def partition_name(group: str, index: int) -> str:
    """Return the name of a partition; the first one bears the name of its group."""
    return f"{group}{SEPARATOR}{index}" if index else group


def group_of(partition: str) -> str:
    """Return the group that a partition belongs to."""
    return partition.partition(SEPARATOR)[0]


def assign_racks(layout: Layout, workers: t.Iterable[WorkerInfo]) -> Layout:
    """Return a layout that also has the racks of these workers.

    Racks that have a partition keep it. The racks of a data centre are spread over the
    partitions, so that its loss takes a similar share of each.

    Parameters
    ----------
    workers : iterable of WorkerInfo
        All known workers of the group.
    """
    sizes: Counter[tuple[str, str]] = Counter()
    for info in workers:
        sizes[info.data_centre, info.rack] += 1
    count = max(layout.partitions, sizes.total() // MIN_PARTITION_WORKERS, 1)
    even_size = sizes.total() / count
    racks = dict(layout.racks)
    in_partition: Counter[int] = Counter()
    in_data_centre: Counter[tuple[str, int]] = Counter()
    for (data_centre, rack), size in sizes.items():
        if rack in racks:
            in_partition[racks[rack]] += size
            in_data_centre[data_centre, racks[rack]] += size
    for (data_centre, rack), size in sorted(
        sizes.items(), key=lambda entry: (-entry[1], entry[0])
    ):
        if rack not in racks:
            racks[rack] = min(
                range(count),
                key=lambda index: (
                    in_partition[index] >= even_size,
                    in_data_centre[data_centre, index],
                    in_partition[index],
                ),
            )
            in_partition[racks[rack]] += size
            in_data_centre[data_centre, racks[rack]] += size
    # A partition without racks could run nothing.
    return Layout(
        max(layout.partitions, *(index + 1 for index in racks.values()), 1), racks
    )
