"""Models of the objects in a ticket, with units such as "8 cores" and "32 GB"."""

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

_CPU_UNITS = {"": 1000, "core": 1000, "cores": 1000, "m": 1}
_MEMORY_UNITS = {"mb": 1, "mib": 1, "gb": 1024, "gib": 1024, "tb": 1024 * 1024}
_TIME_UNITS = {"": 1.0, "ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]*)\s*")


def _quantity(value: t.Any, units: t.Mapping[str, float], example: str) -> float:
    match = _QUANTITY.fullmatch(str(value))
    if isinstance(value, bool) or match is None or match[2].lower() not in units:
        raise ValueError(f'must be an amount with a unit, such as "{example}"')
    return float(match[1]) * units[match[2].lower()]


def _whole(amount: float, unit: str) -> int:
    if amount != int(amount):
        raise ValueError(f"must be a whole number of {unit}")
    return int(amount)


def _cpu(value: t.Any) -> int:
    return _whole(_quantity(value, _CPU_UNITS, "8 cores"), "thousandths of a core")


def _memory(value: t.Any) -> int:
    return _whole(_quantity(value, _MEMORY_UNITS, "32 GB"), "MB")


def _seconds(value: t.Any) -> float:
    return _quantity(value, _TIME_UNITS, "30 s")


Cpu = t.Annotated[
    int,
    pydantic.BeforeValidator(_cpu),
    pydantic.PlainSerializer(lambda value: f"{value}m"),
    Field(ge=0, le=10**12),
]
Memory = t.Annotated[
    int,
    pydantic.BeforeValidator(_memory),
    pydantic.PlainSerializer(lambda value: f"{value} MB"),
    Field(ge=0, le=10**12),
]
Seconds = t.Annotated[
    float,
    pydantic.BeforeValidator(_seconds),
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
    """Whole state of a service."""

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
        """Return the configuration's form."""
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
    """Whole state of a standing batch job."""

    kind: t.Literal["batch"]
    name: Name
    team: Name
    tasks: t.Annotated[int, Field(strict=True, ge=1, le=4096)]
    gang: bool = False
    declared: Seconds = 60.0

    def spec(self) -> BatchSpec:
        """Return the configuration's form."""
        return BatchSpec(
            name=self.name,
            team=self.team,
            tasks=self.tasks,
            need=self._resources(),
            gang=self.gang,
            declared_s=self.declared,
        )


class VmEntry(_Model):
    """One VM of a group; sizes default to those of the group."""

    name: Name
    data_centre: Name
    rack: Name
    address: t.Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]{3,60}:[0-9]{1,5}$")]
    cpu: Cpu | None = None
    memory: Memory | None = None
    gpus: Count | None = None


class VmGroupObject(_Sized):
    """Whole state of a group of VMs, with the size of one VM."""

    kind: t.Literal["vm_group"]
    name: Name
    vms: tuple[VmEntry, ...] = ()
    leaving: tuple[Name, ...] = ()
    reserved_cpu: Cpu = 0
    reserved_memory: Memory = 0
    reserved_gpus: Count = 0

    @pydantic.model_validator(mode="after")
    def _check(self) -> t.Self:
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
        """Return the configuration's form."""
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
    """Whole state of a team."""

    kind: t.Literal["team"]
    name: Name
    weight: t.Annotated[float, Field(gt=0, le=1000)] = 1.0
    limit_cpu: Cpu | None = None
    limit_memory: Memory | None = None
    limit_gpus: Count | None = None

    @pydantic.model_validator(mode="after")
    def _check(self) -> t.Self:
        limits = (self.limit_cpu, self.limit_memory, self.limit_gpus)
        if None in limits and any(limit is not None for limit in limits):
            raise ValueError("needs all of limit_cpu, limit_memory and limit_gpus")
        return self

    def spec(self) -> TeamSpec:
        """Return the configuration's form."""
        limit = None
        if self.limit_cpu is not None:
            limit = Resources(
                self.limit_cpu, self.limit_memory or 0, self.limit_gpus or 0
            )
        return TeamSpec(self.name, self.weight, limit)


class WorkKindObject(_Model):
    """Whole state of a class of work."""

    kind: t.Literal["work_kind"]
    name: Name
    target: Name | t.Literal[""] = ""
    idempotent: bool = True
    exclusive: bool = False
    timeout: Seconds = 30.0
    max_attempts: t.Annotated[int, Field(strict=True, ge=1, le=100)] = 3

    def spec(self) -> WorkKindSpec:
        """Return the configuration's form."""
        return WorkKindSpec(
            self.name,
            self.target,
            self.idempotent,
            self.exclusive,
            self.timeout,
            self.max_attempts,
        )


class PolicyObject(_Model):
    """All policy figures; those not given take their defaults."""

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
        """Return the configuration's form."""
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
    """Removal of an object; a removed policy returns to its defaults."""

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


def _tag(value: t.Any) -> str | None:
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
    pydantic.Discriminator(_tag),
]


def parse_object(value: t.Mapping[str, t.Any]) -> Spec:
    """Return the configuration's form of one stored object.

    Raises
    ------
    pydantic.ValidationError
        If the object is not valid; `KeyError` if its kind is unknown.
    """
    model: t.Any = KINDS[value["kind"]].model_validate(value)
    return model.spec()
