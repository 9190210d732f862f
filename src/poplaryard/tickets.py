"""Parsing and applying of tickets, and the JSON form of a complete configuration.

A ticket is a numbered change of the configuration that sets or removes whole objects.
"""

import difflib
import hashlib
import json
import typing as t
from dataclasses import replace

import pydantic
from pydantic import Field

from . import jsonc
from .codes import Code
from .configuration import Configuration, Policy
from .exceptions import CallError
from .ticket_encoding import encode_object
from .ticket_objects import KINDS, AnyObject, Removal, Spec, parse_object

__all__ = [
    "FORMAT",
    "POLICY_KEY",
    "Ticket",
    "apply",
    "encode_changes",
    "check_shards",
    "check_vms",
    "decode",
    "digest",
    "encode",
    "lookup",
    "encode_object",
    "iter_objects",
    "parse",
    "json_size",
    "with_objects",
]

FORMAT = 1
POLICY_KEY = "policy/policy"

# Kind of object to the attribute of `Configuration` that holds such objects by name.
_CONFIG_FIELDS = {
    "service": "services",
    "batch": "batches",
    "vm_group": "vm_groups",
    "team": "teams",
    "work_kind": "work_kinds",
}


class Ticket(pydantic.BaseModel):
    """Change of the configuration as an operator files it, without its number.

    Attributes
    ----------
    uid : str
        Id chosen by the operator's client; filing the same ticket again under the same
        uid returns the number of the accepted ticket.
    based_on : int or None
        Number of the last ticket that the author has seen; None for the last one when
        the ticket is filed.
    objects : tuple
        New state of each changed object, or its `Removal`.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    format: t.Literal[1]
    uid: t.Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{3,79}$")]
    author: t.Annotated[str, Field(min_length=1, max_length=80)]
    note: t.Annotated[str, Field(max_length=400)] = ""
    based_on: t.Annotated[int, Field(strict=True, ge=0)] | None = None
    objects: t.Annotated[tuple[AnyObject, ...], Field(max_length=1000)]

    @pydantic.model_validator(mode="after")
    def _check_objects(self) -> t.Self:
        if not self.objects:
            raise ValueError("names no object")
        keys = self.object_keys()
        duplicates = sorted({key for key in keys if keys.count(key) > 1})
        if duplicates:
            raise ValueError(f"names the object {duplicates[0]} twice")
        return self

    def object_keys(self) -> list[str]:
        """Return the key ``kind/name`` of each object, in the ticket's order."""
        return [f"{item.kind}/{item.name}" for item in self.objects]


def parse(value: str | bytes | t.Mapping[str, t.Any]) -> Ticket:
    """Return the ticket in a JSON text or a decoded JSON value.

    Raises
    ------
    CallError
        `TICKET_INVALID` with one sentence for each error, at most 20; or a code of
        `jsonc` if the text cannot be parsed.
    """
    if isinstance(value, str | bytes):
        value = jsonc.loads(value)
    if not isinstance(value, dict):
        raise CallError(Code.TICKET_INVALID, "The ticket must be a JSON object.")
    try:
        return Ticket.model_validate(value)
    except pydantic.ValidationError as exc:
        raise CallError(Code.TICKET_INVALID, _error_detail(exc, value)) from exc


_ERROR_TEXTS = {
    "missing": "is missing",
    "extra_forbidden": "is not a known field",
    "union_tag_invalid": "has an unknown kind",
    "union_tag_not_found": "has no kind",
    "int_type": "must be a whole number without quotes",
    "string_type": "must be text in quotes",
}
_PATTERN_ERROR_TEXTS = {
    "uid": "must have 4 to 80 letters, digits, dots, dashes or underscores",
    "address": "must be an IP address and a port, such as 10.0.0.1:7000",
}
_NAME_ERROR_TEXT = "must have 1 to 63 letters, digits, dots, dashes or underscores"


def _error_detail(exc: pydantic.ValidationError, value: t.Mapping[str, t.Any]) -> str:
    lines = []
    for error in exc.errors(include_url=False)[:20]:
        where = _describe_location(error["loc"], value)
        what = _ERROR_TEXTS.get(error["type"]) or _message_text(error["msg"])
        if error["type"] == "string_pattern_mismatch":
            what = _PATTERN_ERROR_TEXTS.get(str(error["loc"][-1]), _NAME_ERROR_TEXT)
        lines.append(f"{where} {what}{_suggestion(error, value)}.")
    return " ".join(lines)


def _suggestion(error: t.Any, value: t.Mapping[str, t.Any]) -> str:
    """Return a suggestion for a misspelt field or kind, or an empty string."""
    loc = error["loc"]
    if error["type"] == "union_tag_invalid":
        known: t.Iterable[str] = KINDS
        given = str(value["objects"][loc[1]].get("kind"))
    elif error["type"] == "extra_forbidden":
        model = KINDS.get(str(loc[2])) if len(loc) == 4 else None
        known = (model or Ticket).model_fields
        given = str(loc[-1])
    else:
        return ""
    matches = difflib.get_close_matches(given, list(known), 1)
    return f' (did you mean "{matches[0]}"?)' if matches else ""


def _message_text(text: str) -> str:
    text = text.removeprefix("Value error, ")
    return text.replace("Input should", "should")


def _describe_location(loc: tuple[int | str, ...], value: t.Mapping[str, t.Any]) -> str:
    """Return where an error is, such as `In service "booking", "cpu"`."""
    if len(loc) >= 2 and loc[0] == "objects" and isinstance(loc[1], int):
        label = _describe_object(value, loc[1])
        path = ".".join(str(part) for part in loc[3:])
        return f'In {label}, "{path}"' if path else f"Object {label}"
    path = ".".join(str(part) for part in loc)
    return f'"{path}"' if path else "The ticket"


def _describe_object(value: t.Mapping[str, t.Any], index: int) -> str:
    item = value["objects"][index]
    if not isinstance(item, dict):
        return f"number {index + 1}"
    return f'{item.get("kind", "object")} "{item.get("name", index + 1)}"'


def digest(value: t.Any) -> str:
    """Return the first 16 hexadecimal digits of the SHA-256 of a JSON value."""
    return hashlib.sha256(_canonical_json(value)).hexdigest()[:16]


def json_size(value: t.Any) -> int:
    """Return the length in bytes of the canonical JSON text of a value."""
    return len(_canonical_json(value))


def _canonical_json(value: t.Any) -> bytes:
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return text.encode()


def encode_changes(ticket: Ticket) -> dict[str, dict[str, t.Any] | None]:
    """Map the key of each object of a ticket to its stored form; None for a removal."""
    return {
        key: None if isinstance(item, Removal) else encode_object(item.spec())
        for key, item in zip(ticket.object_keys(), ticket.objects, strict=True)
    }


def apply(config: Configuration, number: int, ticket: Ticket) -> Configuration:
    """Return the configuration after a ticket is applied as ticket `number`."""
    specs: dict[str, Spec | None] = {
        key: None if isinstance(item, Removal) else item.spec()
        for key, item in zip(ticket.object_keys(), ticket.objects, strict=True)
    }
    return _with_specs(config, number, specs)


def with_objects(
    config: Configuration,
    number: int,
    objects: t.Mapping[str, t.Mapping[str, t.Any] | None],
) -> Configuration:
    """Return the configuration after changes in stored form.

    Parameters
    ----------
    number : int
        Ticket number of the new configuration.
    objects : mapping
        Object key to its stored form, or to None to remove the object.

    Raises
    ------
    pydantic.ValidationError, KeyError
        If an object is not valid or of an unknown kind.
    """
    specs = {
        key: None if value is None else parse_object(value)
        for key, value in objects.items()
    }
    return _with_specs(config, number, specs)


def _with_specs(
    config: Configuration, number: int, specs: t.Mapping[str, Spec | None]
) -> Configuration:
    changed: dict[str, t.Any] = {"number": number}
    for key, spec in specs.items():
        if key == POLICY_KEY:
            changed["policy"] = spec or Policy()
            continue
        kind, name = key.split("/", 1)
        field = _CONFIG_FIELDS[kind]
        # Copy on write: readers may still hold the old mapping.
        if field not in changed:
            changed[field] = dict(getattr(config, field))
        if spec is None:
            changed[field].pop(name, None)
        else:
            changed[field][name] = spec
    return replace(config, **changed)


def lookup(config: Configuration, key: str) -> Spec | None:
    """Return the object with a key ``kind/name``, or None if there is none."""
    if key == POLICY_KEY:
        return config.policy
    kind, name = key.split("/", 1)
    spec: Spec | None = getattr(config, _CONFIG_FIELDS[kind]).get(name)
    return spec


def iter_objects(config: Configuration) -> t.Iterator[tuple[str, Spec]]:
    """Yield the key ``kind/name`` and the value of each object of a configuration."""
    for kind, field in _CONFIG_FIELDS.items():
        for name, spec in getattr(config, field).items():
            yield f"{kind}/{name}", spec
    if config.policy != Policy():
        yield POLICY_KEY, config.policy


def encode(config: Configuration) -> dict[str, t.Any]:
    """Return a complete configuration as a JSON value."""
    return {
        "format": FORMAT,
        "number": config.number,
        "objects": [encode_object(spec) for _, spec in iter_objects(config)],
    }


def decode(value: t.Mapping[str, t.Any]) -> Configuration:
    """Return the configuration encoded by `encode`.

    Raises
    ------
    CallError
        `TICKET_INVALID` if the format is unknown or an object is not valid.
    """
    if value.get("format") != FORMAT:
        detail = f"The configuration has the unknown format {value.get('format')}."
        raise CallError(Code.TICKET_INVALID, detail)
    try:
        items = {f"{item['kind']}/{item['name']}": item for item in value["objects"]}
        return with_objects(Configuration(), value["number"], items)
    except (pydantic.ValidationError, KeyError, TypeError) as exc:
        detail = f"The configuration cannot be read: {exc}."
        raise CallError(Code.TICKET_INVALID, detail) from exc


def check_shards(before: Configuration, after: Configuration) -> None:
    """Raise `CallError` if the number of shards changes while there are VM groups.

    Exclusive keys and request ids would map to other shards, whose owners do not know
    which work still runs under a key or has already run under an id.
    """
    count = before.policy.shards_per_data_centre
    if before.vm_groups and after.policy.shards_per_data_centre != count:
        raise CallError(
            Code.TICKET_INVALID,
            f"policy: shards_per_data_centre is {count} and cannot be changed while "
            "there are VM groups. Remove all VM groups, change the policy, and then "
            "file the VM groups again.",
        )


def check_vms(config: Configuration) -> None:
    """Raise `CallError` if two groups list a VM, or two VMs have the same address.

    A VM that is counted twice would be given twice the work that it can hold.
    """
    groups: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for group in config.vm_groups.values():
        for vm in group.vms:
            if vm.name in groups:
                detail = f'VM "{vm.name}" is listed in "{groups[vm.name]}" and '
                raise CallError(Code.TICKET_INVALID, f'{detail}in "{group.name}".')
            if vm.address in addresses:
                detail = f'"{vm.name}" and "{addresses[vm.address]}" have the address '
                raise CallError(Code.TICKET_INVALID, f"{detail}{vm.address}.")
            groups[vm.name] = group.name
            addresses[vm.address] = vm.name
