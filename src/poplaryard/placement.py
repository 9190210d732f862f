"""Choice of a VM for one task, with one policy for each kind of work."""

import random
from dataclasses import dataclass, field
from functools import singledispatch

from .fleet import Fleet, Vm
from .resources import Resources

__all__ = ["BatchTask", "ReplicaTask", "Task", "choose_vm"]

# Racks tried for a replica before any VM with room is taken.
RACK_PROBES = 16


@dataclass(frozen=True, slots=True)
class Task:
    """One task to place.

    Attributes
    ----------
    need : Resources
        Amount that will be charged.
    group : str
        VM group that must hold it; empty for any.
    """

    need: Resources
    group: str = ""


@dataclass(frozen=True, slots=True)
class BatchTask(Task):
    """Task that ends; it is packed tightly."""


@dataclass(frozen=True, slots=True)
class ReplicaTask(Task):
    """Service replica; replicas are spread over racks.

    Attributes
    ----------
    racks : dict of str to int
        Replicas of the same service by rack.
    """

    racks: dict[str, int] = field(default_factory=dict)


@singledispatch
def choose_vm(task: Task, fleet: Fleet, rng: random.Random) -> Vm | None:
    """Return a usable VM with room for the task, or None."""
    raise TypeError(f"No placement policy for {type(task).__name__}.")


@choose_vm.register
def _(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    return fleet.index.tightest(task.need, task.group)


@choose_vm.register
def _(task: ReplicaTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    """Take the rack with the fewest replicas of the service that has room."""
    for rack in _racks_to_try(task, fleet, rng):
        fitting = [vm for vm in fleet.racks[rack].values() if _suits(vm, task)]
        if fitting:
            return min(fitting, key=_preference)
    return fleet.index.tightest(task.need, task.group)


def _racks_to_try(task: ReplicaTask, fleet: Fleet, rng: random.Random) -> list[str]:
    names = fleet.rack_names()
    if len(names) > RACK_PROBES:
        names = rng.sample(names, RACK_PROBES)
    return sorted(names, key=lambda name: (task.racks.get(name, 0), name))


def _suits(vm: Vm, task: Task) -> bool:
    """Tell whether a VM has room and is not a GPU worker that others need."""
    if not vm.usable or task.group not in ("", vm.spec.group):
        return False
    if vm.shape.gpus and not task.need.gpus:
        return False
    return task.need.fits_in(vm.free)


def _preference(vm: Vm) -> tuple[int, str]:
    return -vm.free.cpu_m, vm.name
