"""Choice of a VM for one task, with one placement policy for each kind of work."""

import random
import typing as t
from dataclasses import dataclass, field
from functools import singledispatch

from .fleet import Fleet, Vm
from .resources import ZERO, Resources
from .services import ReplicaPool

__all__ = ["BatchTask", "Choice", "ReplicaTask", "RequestTask", "Task", "choose"]

# Racks tried for a replica before the best-fitting VM of any rack is taken.
RACK_PROBES = 16


class Choice(t.NamedTuple):
    """VM chosen for a task, and the replica that serves it if it is a request."""

    vm: Vm
    executor: str = ""


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
    """Task that runs to completion; it goes to the VM with the best fit."""


@dataclass(frozen=True, slots=True)
class ReplicaTask(Task):
    """Service replica; replicas are spread over racks.

    Attributes
    ----------
    racks : dict of str to int
        Replicas of the same service by rack.
    """

    racks: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestTask(Task):
    """Request to a service; it takes a slot of one of the service's replicas.

    Attributes
    ----------
    pool : ReplicaPool or None
        Replicas of the service; None if there is no such service.
    """

    need: Resources = ZERO
    pool: ReplicaPool | None = None


@singledispatch
def choose(task: Task, fleet: Fleet, rng: random.Random) -> Choice | None:
    """Return a usable VM with room for the task, or None."""
    raise TypeError(f"No placement policy for {type(task).__name__}.")


@choose.register
def _(task: BatchTask, fleet: Fleet, rng: random.Random) -> Choice | None:
    vm = fleet.index.best_fit(task.need, task.group)
    return Choice(vm) if vm else None


@choose.register
def _(task: RequestTask, fleet: Fleet, rng: random.Random) -> Choice | None:
    """Choose the less loaded of two random replicas, as `ReplicaPool.choose` does."""
    replica = task.pool.choose(rng) if task.pool else None
    return Choice(fleet.vms[replica.vm], replica.attempt_id) if replica else None


@choose.register
def _(task: ReplicaTask, fleet: Fleet, rng: random.Random) -> Choice | None:
    """Choose a VM in the rack with room that has the fewest replicas of the service."""
    for rack in _racks_to_try(task, fleet, rng):
        fitting = [vm for vm in fleet.racks[rack].values() if _suits(vm, task)]
        if fitting:
            return Choice(min(fitting, key=_preference))
    vm = fleet.index.best_fit(task.need, task.group)
    return Choice(vm) if vm else None


def _racks_to_try(task: ReplicaTask, fleet: Fleet, rng: random.Random) -> list[str]:
    names = fleet.rack_names()
    if len(names) > RACK_PROBES:
        names = rng.sample(names, RACK_PROBES)
    return sorted(names, key=lambda name: (task.racks.get(name, 0), name))


def _suits(vm: Vm, task: Task) -> bool:
    """Return whether a VM has room; GPU VMs are kept for tasks that need GPUs."""
    if not vm.usable or task.group not in ("", vm.spec.group):
        return False
    if vm.shape.gpus and not task.need.gpus:
        return False
    return task.need.fits_in(vm.free)


def _preference(vm: Vm) -> tuple[int, str]:
    return -vm.free.cpu_m, vm.name
