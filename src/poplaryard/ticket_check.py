"""Check of a ticket before it is filed, without changing anything."""

import difflib
import typing as t
from dataclasses import dataclass

from . import tickets
from .configuration import BatchSpec, Configuration, ServiceSpec, VmGroupSpec
from .exceptions import CallError
from .resources import Resources
from .tickets import Ticket

__all__ = ["CheckResult", "check", "differences", "unplaceable"]

# A quantity that changes by this factor is probably a typing error.
_SUSPICIOUS_FACTOR = 10
_MIN_NAME_SIMILARITY = 0.8
_MAX_VALUE_CHARS = 60
_WorkSpec = ServiceSpec | BatchSpec


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Effects and problems of a ticket that is not filed yet.

    Attributes
    ----------
    number : int
        Number of the configuration that the ticket was checked against.
    changes : tuple of str
        One sentence per changed field of an object.
    errors : tuple of str
        Reasons why the ticket would be refused.
    warnings : tuple of str
        What would be accepted but can never work or is probably a mistake.
    """

    number: int
    changes: tuple[str, ...]
    errors: tuple[str, ...]
    warnings: tuple[str, ...]


def check(config: Configuration, ticket: Ticket) -> CheckResult:
    """Return the effects of a ticket on a configuration, with errors and warnings."""
    after = tickets.apply(config, config.number + 1, ticket)
    return CheckResult(
        config.number,
        tuple(_changes(config, ticket)),
        tuple(_errors(config, after, ticket)),
        tuple(_warnings(config, after, ticket)),
    )


def differences(before: t.Any, after: t.Any) -> list[str]:
    """Return one phrase for each field in which two stored objects differ."""
    found: list[str] = []
    for field in sorted((before.keys() | after.keys()) - {"kind", "name"}):
        old, new = before.get(field), after.get(field)
        if old == new:
            continue
        if field == "vms":
            found += _vm_differences(old or [], new or [])
        else:
            found.append(
                f"{field} changes from {_format_value(old)} to {_format_value(new)}"
            )
    return found


def _format_value(value: t.Any) -> str:
    text = "nothing" if value in (None, "", []) else str(value)
    return (
        text if len(text) <= _MAX_VALUE_CHARS else f"{text[: _MAX_VALUE_CHARS - 3]}..."
    )


def _vm_differences(old: list[t.Any], new: list[t.Any]) -> t.Iterator[str]:
    before = {vm["name"]: vm for vm in old}
    after = {vm["name"]: vm for vm in new}
    for what, names in (
        ("is added", after.keys() - before.keys()),
        ("is removed", before.keys() - after.keys()),
        ("changes", {k for k in before.keys() & after.keys() if before[k] != after[k]}),
    ):
        listed = sorted(names)
        if len(listed) > 3:
            plural = {"is added": "are added", "is removed": "are removed"}
            verb = plural.get(what, "change")
            yield f"{len(listed)} VMs {verb}, from {listed[0]} to {listed[-1]}"
        else:
            yield from (f"VM {name} {what}" for name in listed)


def _changes(config: Configuration, ticket: Ticket) -> t.Iterator[str]:
    for key, value in tickets.encode_changes(ticket).items():
        spec = tickets.lookup(config, key)
        if spec is None:
            yield f"{key} {'does not exist' if value is None else 'is new'}."
        elif value is None:
            yield f"{key} is removed."
        else:
            found = differences(tickets.encode_object(spec), value)
            yield f"{key}: {'; '.join(found) or 'nothing changes'}."


def _errors(
    config: Configuration, after: Configuration, ticket: Ticket
) -> t.Iterator[str]:
    try:
        tickets.check_shards(config, after)
        tickets.check_vms(after)
    except CallError as exc:
        yield exc.detail
    if ticket.based_on is not None and ticket.based_on > config.number:
        yield (
            f"The ticket is based on number {ticket.based_on}, but the last number is "
            f"{config.number}."
        )


def _warnings(
    before: Configuration, after: Configuration, ticket: Ticket
) -> t.Iterator[str]:
    yield from _name_warnings(before, ticket)
    yield from _reference_warnings(before, after)
    yield from _size_warnings(before, ticket)
    yield from _leaving_warnings(after, ticket)
    yield from _data_centre_warnings(before, after)
    # Only work that this ticket makes unplaceable is reported.
    known = set(unplaceable(before))
    yield from (sentence for sentence in unplaceable(after) if sentence not in known)
    yield from _batch_warnings(ticket)


def _name_warnings(config: Configuration, ticket: Ticket) -> t.Iterator[str]:
    """Warn of an unknown name to remove and of a new name similar to another."""
    names: dict[str, list[str]] = {}
    for key, _spec in tickets.iter_objects(config):
        kind, name = key.split("/", 1)
        names.setdefault(kind, []).append(name)
    for key, value in tickets.encode_changes(ticket).items():
        kind, name = key.split("/", 1)
        if tickets.lookup(config, key) is not None:
            continue
        similar = _closest_name(name, names.get(kind, []))
        if value is None:
            hint = f"; did you mean {similar}?" if similar else "."
            yield f"There is no {kind} {name} to remove{hint}"
        elif similar and _is_probable_typo(name, similar):
            yield f"{kind} {name} would be new; did you mean {similar}, which exists?"


def _closest_name(name: str, names: t.Iterable[str]) -> str:
    found = difflib.get_close_matches(name, list(names), 1, _MIN_NAME_SIMILARITY)
    return found[0] if found else ""


def _is_probable_typo(name: str, similar: str) -> bool:
    """Return whether two names differ in more than digits.

    Names such as pricing-1 and pricing-2 are numbered on purpose.
    """
    return _without_digits(name) != _without_digits(similar)


def _without_digits(name: str) -> str:
    return "".join(char for char in name if not char.isdigit())


def _references(config: Configuration) -> t.Iterator[tuple[str, str, str]]:
    """Yield each reference: referring object, mapping of the target, target name."""
    for service in config.services.values():
        yield f"service {service.name}", "teams", service.team
        yield f"service {service.name}", "vm_groups", service.group
    for batch in config.batches.values():
        yield f"batch {batch.name}", "teams", batch.team
    for work_kind in config.work_kinds.values():
        yield f"work_kind {work_kind.name}", "services", work_kind.target


_KIND_OF_MAPPING = {"teams": "team", "vm_groups": "vm_group", "services": "service"}


def _reference_warnings(before: Configuration, after: Configuration) -> t.Iterator[str]:
    known = set(_dangling_references(before))
    for referrer, mapping, name in _dangling_references(after):
        if (referrer, mapping, name) in known:
            continue
        similar = _closest_name(name, getattr(after, mapping))
        hint = f"; did you mean {similar}?" if similar else "."
        yield (
            f"{referrer} names the {_KIND_OF_MAPPING[mapping]} {name}, which does "
            f"not exist{hint}"
        )


def _dangling_references(config: Configuration) -> t.Iterator[tuple[str, str, str]]:
    for referrer, mapping, name in _references(config):
        if name and name not in getattr(config, mapping):
            yield referrer, mapping, name


def _size_warnings(config: Configuration, ticket: Ticket) -> t.Iterator[str]:
    """Warn of a quantity that grows or shrinks by `_SUSPICIOUS_FACTOR` or more."""
    result = tickets.apply(config, config.number + 1, ticket)
    for key in ticket.object_keys():
        old, new = tickets.lookup(config, key), tickets.lookup(result, key)
        if old is None or new is None:
            continue
        before, after = _quantities(old), _quantities(new)
        for name in before.keys() & after.keys():
            low, high = sorted((before[name], after[name]))
            if low > 0 and high >= low * _SUSPICIOUS_FACTOR:
                yield (
                    f"{key}: {name} changes from {before[name]} to {after[name]}; "
                    "are the value and its unit correct?"
                )


def _quantities(spec: t.Any) -> dict[str, float]:
    found: dict[str, float] = {}
    for name in ("replicas", "tasks", "slots", "weight", "shards_per_data_centre"):
        if hasattr(spec, name):
            found[name] = getattr(spec, name)
    need = getattr(spec, "need", None) or getattr(spec, "limit", None)
    if need is not None:
        found["cpu in cores"] = need.cpu_m / 1000
        found["memory in MB"] = need.mem_mb
    return found


def _data_centre_warnings(
    before: Configuration, after: Configuration
) -> t.Iterator[str]:
    """Warn of a change of the data centres over which keys are distributed."""
    old, new = set(before.data_centres()), set(after.data_centres())
    if old and old != new:
        yield (
            f"The data centres change from {', '.join(sorted(old))} to "
            f"{', '.join(sorted(new)) or 'none'}, so that some keys move to "
            "another data centre. "
            "Stop exclusive and non-idempotent work until the ticket is in force "
            "everywhere."
        )


def _batch_warnings(ticket: Ticket) -> t.Iterator[str]:
    for key in ticket.object_keys():
        if key.startswith("batch/"):
            yield (
                f"{key} is kept, but this version does not run batches from tickets; "
                "submit the job with POST /v1/jobs."
            )


def _leaving_warnings(config: Configuration, ticket: Ticket) -> t.Iterator[str]:
    for key in ticket.object_keys():
        spec = tickets.lookup(config, key)
        if isinstance(spec, VmGroupSpec) and 2 * len(spec.leaving) > len(spec.vms):
            yield (
                f"{key}: {len(spec.leaving)} of {len(spec.vms)} VMs would be leaving "
                "and get no new work."
            )


def unplaceable(config: Configuration) -> list[str]:
    """Return one sentence for each service or batch job that can never be placed.

    Each is checked alone against the capacity of the VMs and the limit of its team.
    """
    found = []
    capacities_by_group: dict[str, dict[Resources, int]] = {}
    specs: list[_WorkSpec] = [*config.services.values(), *config.batches.values()]
    for spec in specs:
        group = getattr(spec, "group", "")
        if group not in capacities_by_group:
            capacities_by_group[group] = _usable_capacities(config, group)
        sentence = _explain_unplaceable(config, spec, capacities_by_group[group])
        if sentence:
            found.append(sentence)
    return found


def _usable_capacities(config: Configuration, group: str) -> dict[Resources, int]:
    """Return the capacities of the VMs that take new work, with the count of each.

    Reserved resources are subtracted. The group "" stands for every group.
    """
    capacities: dict[Resources, int] = {}
    for spec in config.vm_groups.values():
        if group not in ("", spec.name):
            continue
        for vm in spec.vms:
            if vm.name not in spec.leaving:
                capacity = vm.capacity - spec.reserved
                capacities[capacity] = capacities.get(capacity, 0) + 1
    return capacities


def _explain_unplaceable(
    config: Configuration, spec: _WorkSpec, capacities: t.Mapping[Resources, int]
) -> str:
    service = isinstance(spec, ServiceSpec)
    label = f"{'service' if service else 'batch'} {spec.name}"
    team = config.teams.get(spec.team)
    if not any(spec.need.fits_in(capacity) for capacity in capacities):
        largest = max(capacities, key=lambda capacity: capacity.cpu_m, default=None)
        capacity_text = (
            "there is no VM"
            if largest is None
            else f"the largest has {_format_resources(largest)}"
        )
        return (
            f"No VM can ever hold {label}, which needs "
            f"{_format_resources(spec.need)}: {capacity_text}."
        )
    if team and team.limit is not None and not spec.need.fits_in(team.limit):
        return (
            f"{label} needs {_format_resources(spec.need)}, more than the limit of "
            f"{team.name}."
        )
    wanted = spec.replicas if isinstance(spec, ServiceSpec) else spec.tasks
    # The tasks of a batch job that is not a gang can run one after the other, so a VM
    # that holds one task is enough.
    if not service and not getattr(spec, "gang", False):
        return ""
    fitting = sum(
        _count_fitting(spec.need, capacity) * count
        for capacity, count in capacities.items()
    )
    if fitting < wanted:
        what = "replicas" if service else "tasks of the gang"
        return f"Only {fitting} of {wanted} {what} of {label} can ever run at once."
    return ""


def _count_fitting(need: Resources, capacity: Resources) -> int:
    """Return how many times a need fits into the capacity of one VM."""
    pairs = (
        (need.cpu_m, capacity.cpu_m),
        (need.mem_mb, capacity.mem_mb),
        (need.gpus, capacity.gpus),
    )
    # A need of nothing fits any number of times, hence the large default.
    return max(
        0,
        min(
            (available // needed for needed, available in pairs if needed),
            default=1_000_000,
        ),
    )


def _format_resources(amount: Resources) -> str:
    gpus = f" and {amount.gpus} GPUs" if amount.gpus else ""
    cores = "core" if amount.cpu_m == 1000 else "cores"
    return f"{amount.cpu_m / 1000:g} {cores} and {amount.mem_mb / 1024:g} GB{gpus}"
