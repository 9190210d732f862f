"""Check of a ticket before it is filed; changes nothing."""

import difflib
import typing as t
from dataclasses import dataclass

from . import tickets
from .configuration import BatchSpec, Configuration, ServiceSpec, VmGroupSpec
from .exceptions import CallError
from .resources import Resources
from .tickets import Ticket

__all__ = ["CheckResult", "check", "differences", "unplaceable"]

# A figure that changes by this factor is more often a slip than an intention.
_SUSPICIOUS_FACTOR = 10
_NAME_LIKENESS = 0.8
_SHOWN = 60
_Need = ServiceSpec | BatchSpec


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What a ticket would do.

    Attributes
    ----------
    changes : tuple of str
        One sentence per changed field of an object.
    errors : tuple of str
        Reasons for which the ticket would be refused.
    warnings : tuple of str
        What would be accepted, but can never work or is probably a slip.
    """

    number: int
    changes: tuple[str, ...]
    errors: tuple[str, ...]
    warnings: tuple[str, ...]


def check(config: Configuration, ticket: Ticket) -> CheckResult:
    """Return what a ticket would change in a configuration, and what is doubtful."""
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
            found.append(f"{field} changes from {_text(old)} to {_text(new)}")
    return found


def _text(value: t.Any) -> str:
    text = "nothing" if value in (None, "", []) else str(value)
    return text if len(text) <= _SHOWN else f"{text[: _SHOWN - 3]}..."


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
            yield f"{key} is {'not there already' if value is None else 'new'}."
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
    yield from _centre_warnings(before, after)
    # Only what this ticket makes unplaceable, not what was so before.
    known = set(unplaceable(before))
    yield from (sentence for sentence in unplaceable(after) if sentence not in known)
    yield from _batch_warnings(ticket)


def _name_warnings(config: Configuration, ticket: Ticket) -> t.Iterator[str]:
    """Warn of a new or removed name that looks like an existing one."""
    names: dict[str, list[str]] = {}
    for key, _spec in tickets.iter_objects(config):
        kind, name = key.split("/", 1)
        names.setdefault(kind, []).append(name)
    for key, value in tickets.encode_changes(ticket).items():
        kind, name = key.split("/", 1)
        if tickets.lookup(config, key) is not None:
            continue
        like = _like(name, names.get(kind, []))
        if value is None:
            hint = f"; did you mean {like}?" if like else "."
            yield f"There is no {kind} {name} to remove{hint}"
        elif like and _is_slip(name, like):
            yield f"{kind} {name} would be new; did you mean {like}, which exists?"


def _like(name: str, names: t.Iterable[str]) -> str:
    found = difflib.get_close_matches(name, list(names), 1, _NAME_LIKENESS)
    return found[0] if found else ""


def _is_slip(name: str, like: str) -> bool:
    """Tell whether two names differ in more than a number, as pricing-1, pricing-2."""
    return _letters(name) != _letters(like)


def _letters(name: str) -> str:
    return "".join(char for char in name if not char.isdigit())


def _references(config: Configuration) -> t.Iterator[tuple[str, str, str]]:
    """Yield who refers to which name of which mapping."""
    for service in config.services.values():
        yield f"service {service.name}", "teams", service.team
        yield f"service {service.name}", "vm_groups", service.group
    for batch in config.batches.values():
        yield f"batch {batch.name}", "teams", batch.team
    for work_kind in config.work_kinds.values():
        yield f"work_kind {work_kind.name}", "services", work_kind.target


_SINGULAR = {"teams": "team", "vm_groups": "vm_group", "services": "service"}


def _reference_warnings(before: Configuration, after: Configuration) -> t.Iterator[str]:
    known = set(_dangling(before))
    for who, field, name in _dangling(after):
        if (who, field, name) in known:
            continue
        like = _like(name, getattr(after, field))
        hint = f"; did you mean {like}?" if like else "."
        yield f"{who} names the {_SINGULAR[field]} {name}, which does not exist{hint}"


def _dangling(config: Configuration) -> t.Iterator[tuple[str, str, str]]:
    for who, field, name in _references(config):
        if name and name not in getattr(config, field):
            yield who, field, name


def _size_warnings(config: Configuration, ticket: Ticket) -> t.Iterator[str]:
    """Warn of a figure that grows or shrinks by a factor of ten or more."""
    specs = tickets.apply(config, config.number + 1, ticket)
    for key in ticket.object_keys():
        old, new = tickets.lookup(config, key), tickets.lookup(specs, key)
        if old is None or new is None:
            continue
        before, after = _figures(old), _figures(new)
        for name in before.keys() & after.keys():
            low, high = sorted((before[name], after[name]))
            if low > 0 and high >= low * _SUSPICIOUS_FACTOR:
                yield (
                    f"{key}: {name} changes from {before[name]} to {after[name]}; is "
                    "the figure or its unit a slip?"
                )


def _figures(spec: t.Any) -> dict[str, float]:
    found: dict[str, float] = {}
    for name in ("replicas", "tasks", "slots", "weight", "shards_per_data_centre"):
        if hasattr(spec, name):
            found[name] = getattr(spec, name)
    need = getattr(spec, "need", None) or getattr(spec, "limit", None)
    if need is not None:
        found["cpu in cores"] = need.cpu_m / 1000
        found["memory in MB"] = need.mem_mb
    return found


def _centre_warnings(before: Configuration, after: Configuration) -> t.Iterator[str]:
    """Warn of a change of the data centres that keys are spread over."""
    old, new = set(before.data_centres()), set(after.data_centres())
    if old and old != new:
        yield (
            f"The data centres change from {', '.join(sorted(old))} to "
            f"{', '.join(sorted(new)) or 'none'}, so that some keys get another home. "
            "Stop exclusive and non-idempotent work until the ticket is in force "
            "everywhere."
        )


def _batch_warnings(ticket: Ticket) -> t.Iterator[str]:
    for key in ticket.object_keys():
        if key.startswith("batch/"):
            yield (
                f"{key} is kept, but this version does not run batches from tickets; "
                "hand the job in with POST /v1/jobs."
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
    """Return one sentence for each service or batch job that can never fit whole."""
    found = []
    rooms: dict[str, dict[Resources, int]] = {}
    specs: list[_Need] = [*config.services.values(), *config.batches.values()]
    for spec in specs:
        group = getattr(spec, "group", "")
        if group not in rooms:
            rooms[group] = _shapes(config, group)
        sentence = _fit(config, spec, rooms[group])
        if sentence:
            found.append(sentence)
    return found


def _shapes(config: Configuration, group: str) -> dict[Resources, int]:
    """Return the room of the VMs that take new work, with the count of each shape."""
    shapes: dict[Resources, int] = {}
    for spec in config.vm_groups.values():
        if group not in ("", spec.name):
            continue
        for vm in spec.vms:
            if vm.name not in spec.leaving:
                room = vm.capacity - spec.reserved
                shapes[room] = shapes.get(room, 0) + 1
    return shapes


def _fit(config: Configuration, spec: _Need, shapes: t.Mapping[Resources, int]) -> str:
    service = isinstance(spec, ServiceSpec)
    label = f"{'service' if service else 'batch'} {spec.name}"
    team = config.teams.get(spec.team)
    if not any(spec.need.fits_in(room) for room in shapes):
        largest = max(shapes, key=lambda room: room.cpu_m, default=None)
        has = "there is no VM" if largest is None else f"the largest has {_of(largest)}"
        return f"No VM can ever hold {label}, which needs {_of(spec.need)}: {has}."
    if team and team.limit is not None and not spec.need.fits_in(team.limit):
        return f"{label} needs {_of(spec.need)}, more than the limit of {team.name}."
    wanted = spec.replicas if isinstance(spec, ServiceSpec) else spec.tasks
    # A batch job that is no gang runs its tasks one after the other.
    if not service and not getattr(spec, "gang", False):
        return ""
    room = sum(_times(spec.need, shape) * count for shape, count in shapes.items())
    if room < wanted:
        what = "replicas" if service else "tasks of the gang"
        return f"Only {room} of {wanted} {what} of {label} can ever run at once."
    return ""


def _times(need: Resources, room: Resources) -> int:
    """Return how often a need fits in one VM."""
    pairs = (
        (need.cpu_m, room.cpu_m),
        (need.mem_mb, room.mem_mb),
        (need.gpus, room.gpus),
    )
    return max(0, min((has // one for one, has in pairs if one), default=1_000_000))


def _of(amount: Resources) -> str:
    gpus = f" and {amount.gpus} GPUs" if amount.gpus else ""
    cores = "core" if amount.cpu_m == 1000 else "cores"
    return f"{amount.cpu_m / 1000:g} {cores} and {amount.mem_mb / 1024:g} GB{gpus}"
