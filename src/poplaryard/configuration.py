"""Data classes of the configuration; `tickets` validates and applies changes to it."""

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
    """Worker VM from a VM group or from the platform's list of VMs."""

    name: str
    data_centre: str
    rack: str
    address: str
    capacity: Resources
    group: str = ""


@dataclass(frozen=True, slots=True)
class VmGroupSpec:
    """Group of worker VMs.

    Attributes
    ----------
    leaving : frozenset of str
        Names of VMs that are being drained and get no new work.
    reserved : Resources
        Part of each VM's capacity that gets no work.
    """

    name: str
    vms: tuple[VmSpec, ...] = ()
    leaving: frozenset[str] = frozenset()
    reserved: Resources = ZERO


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Long-running service whose replicas execute requests."""

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
    """Batch job defined by a ticket."""

    name: str
    team: str
    tasks: int
    need: Resources
    gang: bool = False
    declared_s: float = 60.0


@dataclass(frozen=True, slots=True)
class TeamSpec:
    """Team with its fair-share weight and its hard limit.

    Attributes
    ----------
    weight : float
        Weight in dominant-resource fairness (DRF).
    limit : Resources or None
        Most resources that the team may hold at a time; None for no limit.
    """

    name: str
    weight: float = 1.0
    limit: Resources | None = None


@dataclass(frozen=True, slots=True)
class WorkKindSpec:
    """Kind of work, with the defaults for requests of this kind."""

    name: str
    target: str = ""
    idempotent: bool = True
    exclusive: bool = False
    timeout_s: float = 30.0
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class Policy:
    """Scheduling policy parameters, set by ticket."""

    shards_per_data_centre: int = 1
    headroom: float = 0.0
    short_s: float = 2.0
    short_share: float = 0.2
    queue_limit: int = 20_000
    retry_budget: float = 0.1
    urgent_s: float = 2.3


@dataclass(frozen=True, slots=True)
class Configuration:
    """Complete configuration, as of ticket `number`; 0 before the first ticket."""

    number: int = 0
    services: t.Mapping[str, ServiceSpec] = field(default_factory=dict)
    batches: t.Mapping[str, BatchSpec] = field(default_factory=dict)
    vm_groups: t.Mapping[str, VmGroupSpec] = field(default_factory=dict)
    teams: t.Mapping[str, TeamSpec] = field(default_factory=dict)
    work_kinds: t.Mapping[str, WorkKindSpec] = field(default_factory=dict)
    policy: Policy = field(default_factory=Policy)

    def vms(self, data_centre: str) -> list[VmSpec]:
        """Return the worker VMs of a data centre, sorted by name."""
        vms = (
            vm
            for group in self.vm_groups.values()
            for vm in group.vms
            if vm.data_centre == data_centre
        )
        return sorted(vms, key=lambda vm: vm.name)

    def data_centres(self) -> list[str]:
        """Return the names of the data centres that have worker VMs, sorted."""
        groups = self.vm_groups.values()
        return sorted({vm.data_centre for group in groups for vm in group.vms})
