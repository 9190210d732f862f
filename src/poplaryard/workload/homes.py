"""Choice of the partition that a job goes to.

A process compares the load of two partitions picked at random (and of the one with the
job's data), as their owners report it at that time. Two random choices keep the load
even, and cost the same at any number of partitions.
"""

import random
import typing as t

import msgspec

from ..resources import ZERO, Resources
from .model import JobSpec, StepSpec

__all__ = ["PartitionLoad", "candidate_homes", "choose_home"]

# Number of partitions of which the load is compared.
CHOICES = 2
# Load, in shares of the capacity, that a job accepts for being near its data: elsewhere
# its tasks take up to twice as long.
NEAR_DATA_SHARE = 0.5


class PartitionLoad(msgspec.Struct, frozen=True):
    """Load of a partition.

    Attributes
    ----------
    capacity : Resources
        Capacity of its usable workers.
    demand : Resources
        Resources of the tasks that run or wait there.
    largest : Resources
        Largest amount of each resource that one worker has.
    labels : tuple of str
        Labels of its workers, their racks among them.
    workers : int
        Number of its usable workers.
    """

    capacity: Resources = ZERO
    demand: Resources = ZERO
    largest: Resources = ZERO
    labels: tuple[str, ...] = ()
    workers: int = 0

    def can_run(self, spec: JobSpec) -> bool:
        """Return whether the partition has workers for all steps of a job."""
        return all(
            step.need.fits_in(self.largest)
            and (not step.label or step.label in self.labels)
            and self._has_places(step)
            for step in spec.steps
        )

    def _has_places(self, step: StepSpec) -> bool:
        """Return whether the tasks of a step can all run at the same time, if needed.

        Tasks of a gang run together, and lasting tasks don't end.
        """
        if not (step.gang or step.lasting):
            return True
        if step.max_per_worker and step.count > step.max_per_worker * self.workers:
            return False
        return step.need.times(step.count).fits_in(self.capacity)

    def share_with(self, spec: JobSpec) -> float:
        """Return the load with a job added, as a share of the capacity."""
        added = ZERO
        for step in spec.steps:
            added = added.maximum(step.need.times(step.count))
        uses_gpus = any(step.need.gpus for step in spec.steps)
        demand = self.demand + added
        cpu_share = demand.cpu_m / max(1, self.capacity.cpu_m)
        if not uses_gpus:
            return cpu_share
        return max(cpu_share, demand.gpus / max(1, self.capacity.gpus))


def _data_racks(spec: JobSpec) -> set[str]:
    return {step.rack for step in spec.steps if step.rack}


def candidate_homes(
    spec: JobSpec, partitions: list[str], of_rack: t.Callable[[str], str | None]
) -> list[str]:
    """Return the partitions whose load is compared for a job.

    Parameters
    ----------
    of_rack : callable
        Returns the partition of a rack, or None.
    """
    near = {of_rack(rack) for rack in _data_racks(spec)} - {None}
    picked = random.sample(partitions, min(CHOICES, len(partitions)))
    return list(dict.fromkeys([*picked, *t.cast(set[str], near)]))


def choose_home(spec: JobSpec, loads: dict[str, PartitionLoad]) -> str | None:
    """Return the partition for a job, or None if none of these can run it."""
    racks = _data_racks(spec)

    def cost(name: str) -> float:
        far = bool(racks) and not racks & set(loads[name].labels)
        return loads[name].share_with(spec) + NEAR_DATA_SHARE * far

    able = [name for name, load in loads.items() if load.can_run(spec)]
    return min(able, key=cost, default=None)
