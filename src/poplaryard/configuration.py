"""Configuration in force, as data classes; `tickets` validates what enters it."""

import typing as t
from dataclasses import dataclass, field

from .resources import ZERO, Resources

__all__ = [
    "BatchSpec",
    "Configuration",
    "Policy",
    "ServiceSpec",
    "TeamSpec",
    "VmGroupSpec",
    "VmSpec",
    "WorkKindSpec",
]


@dataclass(frozen=True, slots=True)
class VmSpec:
    """One worker VM as named by a VM group or the platform's list."""

    name: str
    data_centre: str
    rack: str
    address: str
    capacity: Resources
    group: str = ""


@dataclass(frozen=True, slots=True)
class VmGroupSpec:
    """Group of worker VMs of one shape.

    Attributes
    ----------
    leaving : frozenset of str
        Names of VMs that get no new work.
    """

    name: str
    vms: tuple[VmSpec, ...] = ()
    leaving: frozenset[str] = frozenset()
    reserved: Resources = ZERO


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Long-lived service whose replicas are executors for requests."""

    name: str
    team: str
    replicas: int
    need: Resources
    slots: int = 8
    connections: int = 64
    group: str = ""
    queue_limit: int = 2000
    drain_s: float = 10.0


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """Standing batch job filed by ticket."""

    name: str
    team: str
    tasks: int
    need: Resources
    gang: bool = False
    declared_s: float = 60.0


@dataclass(frozen=True, slots=True)
class TeamSpec:
    """Team with its guaranteed share and its hard limit.

    Attributes
    ----------
    weight : float
        Weight for dominant-resource fairness.
    limit : Resources or None
        Most that the team may hold; None for no limit.
    """

    name: str
    weight: float = 1.0
    limit: Resources | None = None


@dataclass(frozen=True, slots=True)
class WorkKindSpec:
    """Class of work with defaults for requests that name it."""

    name: str
    target: str = ""
    idempotent: bool = True
    exclusive: bool = False
    timeout_s: float = 30.0
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class Policy:
    """Policy figures set by ticket."""

    shards_per_data_centre: int = 1
    headroom: float = 0.0
    short_s: float = 2.0
    short_share: float = 0.2
    queue_limit: int = 20_000
    retry_budget: float = 0.1
    urgent_s: float = 2.3


@dataclass(frozen=True, slots=True)
class Configuration:
    """Whole configuration after the ticket `number`."""

    number: int = 0
    services: t.Mapping[str, ServiceSpec] = field(default_factory=dict)
    batches: t.Mapping[str, BatchSpec] = field(default_factory=dict)
    vm_groups: t.Mapping[str, VmGroupSpec] = field(default_factory=dict)
    teams: t.Mapping[str, TeamSpec] = field(default_factory=dict)
    work_kinds: t.Mapping[str, WorkKindSpec] = field(default_factory=dict)
    policy: Policy = field(default_factory=Policy)

    def vms(self, data_centre: str) -> list[VmSpec]:
        """Return the worker VMs of one data centre, in name order."""
        found = (
            vm
            for group in self.vm_groups.values()
            for vm in group.vms
            if vm.data_centre == data_centre
        )
        return sorted(found, key=lambda vm: vm.name)

    def data_centres(self) -> list[str]:
        """Return the names of the data centres that have worker VMs, sorted."""
        groups = self.vm_groups.values()
        return sorted({vm.data_centre for group in groups for vm in group.vms})
