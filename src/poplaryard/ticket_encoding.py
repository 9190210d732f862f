"""Encoding of configuration objects into the JSON values kept in the store."""

import functools
import typing as t

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

__all__ = ["encode_object"]


def _encode_resources(amount: Resources) -> dict[str, t.Any]:
    return {
        "cpu": f"{amount.cpu_m}m",
        "memory": f"{amount.mem_mb} MB",
        "gpus": amount.gpus,
    }


@functools.singledispatch
def encode_object(spec: t.Any) -> dict[str, t.Any]:
    """Return the stored form of an object; `parse_object` is the inverse."""
    raise TypeError(f"{type(spec).__name__} is not a configuration object")


@encode_object.register
def _(spec: ServiceSpec) -> dict[str, t.Any]:
    return {
        "kind": "service",
        "name": spec.name,
        "team": spec.team,
        "replicas": spec.replicas,
        **_encode_resources(spec.need),
        "slots": spec.slots,
        "connections": spec.connections,
        "group": spec.group,
        "queue_limit": spec.queue_limit,
        "drain": f"{spec.drain_s} s",
    }


@encode_object.register
def _(spec: BatchSpec) -> dict[str, t.Any]:
    return {
        "kind": "batch",
        "name": spec.name,
        "team": spec.team,
        "tasks": spec.tasks,
        **_encode_resources(spec.need),
        "gang": spec.gang,
        "declared": f"{spec.declared_s} s",
    }


@encode_object.register
def _(spec: VmGroupSpec) -> dict[str, t.Any]:
    # The most frequent capacity is stored once for the group, and only VMs that differ
    # store their own. This keeps the value of a large group small.
    capacities = [vm.capacity for vm in spec.vms]
    common = max(set(capacities), key=capacities.count) if capacities else Resources()
    return {
        "kind": "vm_group",
        "name": spec.name,
        **_encode_resources(common),
        "vms": [_encode_vm(vm, common) for vm in spec.vms],
        "leaving": sorted(spec.leaving),
        "reserved_cpu": f"{spec.reserved.cpu_m}m",
        "reserved_memory": f"{spec.reserved.mem_mb} MB",
        "reserved_gpus": spec.reserved.gpus,
    }


def _encode_vm(vm: VmSpec, common: Resources) -> dict[str, t.Any]:
    entry = {
        "name": vm.name,
        "data_centre": vm.data_centre,
        "rack": vm.rack,
        "address": vm.address,
    }
    return (
        entry if vm.capacity == common else {**entry, **_encode_resources(vm.capacity)}
    )


@encode_object.register
def _(spec: TeamSpec) -> dict[str, t.Any]:
    value: dict[str, t.Any] = {
        "kind": "team",
        "name": spec.name,
        "weight": spec.weight,
    }
    if spec.limit is not None:
        value["limit_cpu"] = f"{spec.limit.cpu_m}m"
        value["limit_memory"] = f"{spec.limit.mem_mb} MB"
        value["limit_gpus"] = spec.limit.gpus
    return value


@encode_object.register
def _(spec: WorkKindSpec) -> dict[str, t.Any]:
    return {
        "kind": "work_kind",
        "name": spec.name,
        "target": spec.target,
        "idempotent": spec.idempotent,
        "exclusive": spec.exclusive,
        "timeout": f"{spec.timeout_s} s",
        "max_attempts": spec.max_attempts,
    }


@encode_object.register
def _(spec: Policy) -> dict[str, t.Any]:
    return {
        "kind": "policy",
        "name": "policy",
        "shards_per_data_centre": spec.shards_per_data_centre,
        "headroom": spec.headroom,
        "short": f"{spec.short_s} s",
        "short_share": spec.short_share,
        "queue_limit": spec.queue_limit,
        "retry_budget": spec.retry_budget,
        "urgent": f"{spec.urgent_s} s",
    }
