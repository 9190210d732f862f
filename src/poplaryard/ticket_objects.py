"""Pydantic models of the objects in a ticket.

Amounts are written with a unit, such as "8 cores", "32 GB" and "30 s".
"""

import re
import typing as t

import pydantic
from pydantic import Field

from .configuration import (
    BatchSpec,
    Policy,
    ServiceSpec,
    TeamSpec,
    VmGroupSpec,
    VmSpec,
    WorkKindSpec,
)
from .resources import Resources

__all__ = [
    "KINDS",
    "AnyObject",
    "Name",
    "Removal",
    "Spec",
    "parse_object",
]

Spec: t.TypeAlias = (
    ServiceSpec | BatchSpec | VmGroupSpec | TeamSpec | WorkKindSpec | Policy
)

# Factors to thousandths of a core, MB and seconds. MB and MiB are the same here.
_CPU_UNITS = {"": 1000, "core": 1000, "cores": 1000, "m": 1}
_MEMORY_UNITS = {"mb": 1, "mib": 1, "gb": 1024, "gib": 1024, "tb": 1024 * 1024}
_TIME_UNITS = {"": 1.0, "ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]*)\s*")


def _parse_quantity(value: t.Any, units: t.Mapping[str, float], example: str) -> float:
    match = _QUANTITY.fullmatch(str(value))
    if isinstance(value, bool) or match is None or match[2].lower() not in units:
        raise ValueError(f'must be an amount with a unit, such as "{example}"')
    return float(match[1]) * units[match[2].lower()]


def _require_whole(amount: float, unit: str) -> int:
    if amount != int(amount):
        raise ValueError(f"must be a whole number of {unit}")
    return int(amount)


def _parse_cpu(value: t.Any) -> int:
    return _require_whole(
        _parse_quantity(value, _CPU_UNITS, "8 cores"), "thousandths of a core"
    )


def _parse_memory(value: t.Any) -> int:
    return _require_whole(_parse_quantity(value, _MEMORY_UNITS, "32 GB"), "MB")


def _parse_seconds(value: t.Any) -> float:
    return _parse_quantity(value, _TIME_UNITS, "30 s")


Cpu = t.Annotated[
    int,
    pydantic.BeforeValidator(_parse_cpu),
    pydantic.PlainSerializer(lambda value: f"{value}m"),
    Field(ge=0, le=10**12),
]
Memory = t.Annotated[
    int,
    pydantic.BeforeValidator(_parse_memory),
    pydantic.PlainSerializer(lambda value: f"{value} MB"),
    Field(ge=0, le=10**12),
]
Seconds = t.Annotated[
    float,
    pydantic.BeforeValidator(_parse_seconds),
    pydantic.PlainSerializer(lambda value: f"{value} s"),
    Field(ge=0.001, le=86_400 * 31),
]
Name = t.Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Count = t.Annotated[int, Field(strict=True, ge=0, le=1_000_000)]
Share = t.Annotated[float, Field(ge=0, le=1)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Sized(_Model):
    cpu: Cpu
    memory: Memory
    gpus: Count = 0

    def _resources(self) -> Resources:
        return Resources(self.cpu, self.memory, self.gpus)


class ServiceObject(_Sized):
    """State of a service in a ticket."""

    kind: t.Literal["service"]
    name: Name
    team: Name
    replicas: Count
    slots: t.Annotated[int, Field(strict=True, ge=1, le=10_000)] = 8
    connections: t.Annotated[int, Field(strict=True, ge=1, le=10_000)] = 64
    group: Name | t.Literal[""] = ""
    queue_limit: t.Annotated[int, Field(strict=True, ge=1, le=1_000_000)] = 2000
    drain: Seconds = 10.0

    def spec(self) -> ServiceSpec:
        """Return the `ServiceSpec` of this object."""
        return ServiceSpec(
            name=self.name,
            team=self.team,
            replicas=self.replicas,
            need=self._resources(),
            slots=self.slots,
            connections=self.connections,
            group=self.group,
            queue_limit=self.queue_limit,
            drain_s=self.drain,
        )


class BatchObject(_Sized):
    """State of a batch job in a ticket."""

    kind: t.Literal["batch"]
    name: Name
    team: Name
    tasks: t.Annotated[int, Field(strict=True, ge=1, le=4096)]
    gang: bool = False
    declared: Seconds = 60.0

    def spec(self) -> BatchSpec:
        """Return the `BatchSpec` of this object."""
        return BatchSpec(
            name=self.name,
            team=self.team,
            tasks=self.tasks,
            need=self._resources(),
            gang=self.gang,
            declared_s=self.declared,
        )


class VmEntry(_Model):
    """VM of a group; `cpu`, `memory` and `gpus` default to those of the group."""

    name: Name
    data_centre: Name
    rack: Name
    address: t.Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]{3,60}:[0-9]{1,5}$")]
    cpu: Cpu | None = None
    memory: Memory | None = None
    gpus: Count | None = None


class VmGroupObject(_Sized):
    """State of a VM group in a ticket.

    `cpu`, `memory` and `gpus` are the capacity of each VM that does not set its own.
    """

    kind: t.Literal["vm_group"]
    name: Name
    vms: tuple[VmEntry, ...] = ()
    leaving: tuple[Name, ...] = ()
    reserved_cpu: Cpu = 0
    reserved_memory: Memory = 0
    reserved_gpus: Count = 0

    @pydantic.model_validator(mode="after")
    def _check_vms(self) -> t.Self:
        names = {vm.name for vm in self.vms}
        if len(names) < len(self.vms):
            raise ValueError("lists a VM twice")
        if len({vm.address for vm in self.vms}) < len(self.vms):
            raise ValueError("gives the same address to two VMs")
        unknown = sorted(set(self.leaving) - names)
        if unknown:
            raise ValueError(f"says that {unknown[0]} leaves, but does not list it")
        return self

    def spec(self) -> VmGroupSpec:
        """Return the `VmGroupSpec` of this object."""
        return VmGroupSpec(
            name=self.name,
            vms=tuple(self._vm(vm) for vm in self.vms),
            leaving=frozenset(self.leaving),
            reserved=Resources(
                self.reserved_cpu, self.reserved_memory, self.reserved_gpus
            ),
        )

    def _vm(self, vm: VmEntry) -> VmSpec:
        capacity = Resources(
            self.cpu if vm.cpu is None else vm.cpu,
            self.memory if vm.memory is None else vm.memory,
            self.gpus if vm.gpus is None else vm.gpus,
        )
        return VmSpec(vm.name, vm.data_centre, vm.rack, vm.address, capacity, self.name)


class TeamObject(_Model):
    """State of a team in a ticket."""

    kind: t.Literal["team"]
    name: Name
    weight: t.Annotated[float, Field(gt=0, le=1000)] = 1.0
    limit_cpu: Cpu | None = None
    limit_memory: Memory | None = None
    limit_gpus: Count | None = None

    @pydantic.model_validator(mode="after")
    def _check_limits(self) -> t.Self:
        limits = (self.limit_cpu, self.limit_memory, self.limit_gpus)
        if None in limits and any(limit is not None for limit in limits):
            raise ValueError("needs all of limit_cpu, limit_memory and limit_gpus")
        return self

    def spec(self) -> TeamSpec:
        """Return the `TeamSpec` of this object."""
        limit = None
        if self.limit_cpu is not None:
            limit = Resources(
                self.limit_cpu, self.limit_memory or 0, self.limit_gpus or 0
            )
        return TeamSpec(self.name, self.weight, limit)


class WorkKindObject(_Model):
    """State of a kind of work in a ticket."""

    kind: t.Literal["work_kind"]
    name: Name
    target: Name | t.Literal[""] = ""
    idempotent: bool = True
    exclusive: bool = False
    timeout: Seconds = 30.0
    max_attempts: t.Annotated[int, Field(strict=True, ge=1, le=100)] = 3

    def spec(self) -> WorkKindSpec:
        """Return the `WorkKindSpec` of this object."""
        return WorkKindSpec(
            self.name,
            self.target,
            self.idempotent,
            self.exclusive,
            self.timeout,
            self.max_attempts,
        )


class PolicyObject(_Model):
    """Policy parameters in a ticket; those not given take their defaults."""

    kind: t.Literal["policy"]
    name: t.Literal["policy"] = "policy"
    shards_per_data_centre: t.Annotated[int, Field(strict=True, ge=1, le=4096)] = 1
    headroom: Share = 0.0
    short: Seconds = 2.0
    short_share: Share = 0.2
    queue_limit: t.Annotated[int, Field(strict=True, ge=1, le=1_000_000)] = 20_000
    retry_budget: Share = 0.1
    urgent: Seconds = 2.3

    def spec(self) -> Policy:
        """Return the `Policy` of this object."""
        return Policy(
            shards_per_data_centre=self.shards_per_data_centre,
            headroom=self.headroom,
            short_s=self.short,
            short_share=self.short_share,
            queue_limit=self.queue_limit,
            retry_budget=self.retry_budget,
            urgent_s=self.urgent,
        )


class Removal(_Model):
    """Removal of an object in a ticket; a removed policy returns to its defaults."""

    kind: t.Literal["service", "batch", "vm_group", "team", "work_kind", "policy"]
    name: Name = "policy"
    remove: t.Literal[True]


KINDS: dict[str, type[_Model]] = {
    "service": ServiceObject,
    "batch": BatchObject,
    "vm_group": VmGroupObject,
    "team": TeamObject,
    "work_kind": WorkKindObject,
    "policy": PolicyObject,
}


def _discriminator(value: t.Any) -> str | None:
    if isinstance(value, pydantic.BaseModel):
        return "removal" if isinstance(value, Removal) else getattr(value, "kind", None)
    if not isinstance(value, dict):
        return None
    return "removal" if "remove" in value else value.get("kind")


AnyObject = t.Annotated[
    t.Annotated[ServiceObject, pydantic.Tag("service")]
    | t.Annotated[BatchObject, pydantic.Tag("batch")]
    | t.Annotated[VmGroupObject, pydantic.Tag("vm_group")]
    | t.Annotated[TeamObject, pydantic.Tag("team")]
    | t.Annotated[WorkKindObject, pydantic.Tag("work_kind")]
    | t.Annotated[PolicyObject, pydantic.Tag("policy")]
    | t.Annotated[Removal, pydantic.Tag("removal")],
    pydantic.Discriminator(_discriminator),
]


def parse_object(value: t.Mapping[str, t.Any]) -> Spec:
    """Return the configuration object of a stored JSON value.

    Raises
    ------
    pydantic.ValidationError
        If the object is not valid.
    KeyError
        If its kind is missing or unknown.
    """
    model: t.Any = KINDS[value["kind"]].model_validate(value)
    return model.spec()
