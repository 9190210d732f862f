"""Choice of the partition that a job goes to.

A process compares the load of two partitions picked at random (and of the one with the
job's data), as their owners report it at that time. Two random choices keep the load
even, and cost the same at any number of partitions.

A step of many lasting tasks is divided into parts in several partitions. Its tasks
never make room for each other, and the advice service may permit less than a third of a
partition's workers, so that one partition could be too small for them.
"""

import math
import random
import typing as t
from dataclasses import replace

import msgspec

from ..resources import ZERO, Resources
from .layout import MIN_PARTITION_WORKERS
from .model import JobSpec, StepSpec

__all__ = [
    "PartitionLoad",
    "candidate_homes",
    "choose_home",
    "choose_homes_of_parts",
    "is_wide",
    "part_count",
]

# Number of partitions of which the load is compared.
CHOICES = 2
# Load, in shares of the capacity, that a job accepts for being near its data: elsewhere
# its tasks take up to twice as long.
NEAR_DATA_SHARE = 0.5
# Number of lasting tasks that a part has at most, per worker of its partition. With
# three in ten workers permitted, one task on a worker, and half of the workers full,
# this many tasks find a worker.
LASTING_TASKS_PER_WORKER = 0.15
# Most parts of a job: their entries are written in one transaction.
MAX_PARTS = 8


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


def part_count(spec: JobSpec, workers: int, partitions: int) -> int:
    """Return the number of partitions over which a job is spread.

    Parameters
    ----------
    workers : int
        Number of workers in a partition.
    partitions : int
        Number of partitions of the group.
    """
    step = spec.steps[0]
    divisible = step.lasting and not (step.gang or step.same_rack or step.rack)
    if len(spec.steps) > 1 or spec.times or not divisible:
        return 1
    part_size = max(1, int(LASTING_TASKS_PER_WORKER * workers))
    return min(math.ceil(step.count / part_size), partitions, MAX_PARTS)


def is_wide(spec: JobSpec) -> bool:
    """Return whether a job is divided if its group has several partitions."""
    return part_count(spec, MIN_PARTITION_WORKERS, MAX_PARTS) > 1


def choose_homes_of_parts(
    spec: JobSpec,
    partitions: t.Iterable[str],
    loads: dict[str, PartitionLoad],
    count: int,
) -> list[JobSpec]:
    """Return the parts of a job, each with its partition.

    There are fewer parts if too few partitions can run one, and none if none can.

    Parameters
    ----------
    partitions : iterable of str
        Partitions to choose from. Those whose load or workers are not known, as after
        a start of all processes, are used after those that can certainly run a part.
    loads : dict of str to PartitionLoad
        Loads that are known.
    count : int
        Number of parts.
    """
    [part, *_] = _divide(spec, count)
    able = [name for name, load in loads.items() if load.can_run(part)]
    able.sort(key=lambda name: loads[name].share_with(part))
    unknown = [
        name for name in partitions if name not in loads or not loads[name].workers
    ]
    homes = [*able, *unknown][:count]
    parts = _divide(spec, len(homes)) if homes else []
    return [replace(part, group=name) for part, name in zip(parts, homes, strict=True)]


def _divide(spec: JobSpec, count: int) -> list[JobSpec]:
    """Divide the tasks of a job of one step evenly; the first part is the largest."""
    [step] = spec.steps
    parts = []
    first = step.first_index
    for number in range(count):
        size = step.count // count + (number < step.count % count)
        part = replace(step, count=size, first_index=first)
        parts.append(replace(spec, steps=(part,)))
        first += size
    return parts
