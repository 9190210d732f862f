"""JSON encoding of messages.

An encoded message is an object with its class name under ``type`` and the fields that
differ from their defaults. Monotonic times are sent as remaining seconds, because
clocks of two processes cannot be compared.
"""

import collections.abc
import enum
import math
import types
import typing as t
from dataclasses import MISSING, Field, fields, is_dataclass

from . import messages
from .codes import Code
from .exceptions import PoplaryardError
from .resources import Resources

__all__ = ["decode", "decode_as", "encode", "register"]

# Fields that hold a moment on the sender's monotonic clock.
_MOMENTS = frozenset({"deadline", "until"})

_Codec: t.TypeAlias = t.Callable[[t.Any, float], t.Any]


class _Slot(t.NamedTuple):
    """How one field is sent."""

    name: str
    default: t.Any
    encode: _Codec | None
    decode: _Codec | None


_classes: dict[str, type] = {}
_slots: dict[type, tuple[_Slot, ...]] = {}


def register(*classes: type) -> None:
    """Make data classes known by name to `decode`."""
    for cls in classes:
        _classes[cls.__name__] = cls


def encode(message: t.Any, now: float) -> dict[str, t.Any]:
    """Return the JSON object of a message."""
    found = _encode_fields(message, now)
    found["type"] = type(message).__name__
    return found


def decode(found: t.Any, now: float) -> t.Any:
    """Return the message of a JSON object; raises `PoplaryardError` if invalid."""
    name = found.get("type") if isinstance(found, dict) else None
    cls = _classes.get(name) if isinstance(name, str) else None
    if cls is None:
        raise PoplaryardError(Code.INVALID, f"There is no message type {name!r}.")
    return decode_as(cls, found, now)


def decode_as(cls: type, found: t.Any, now: float) -> t.Any:
    """Return an instance of `cls`; raises `PoplaryardError` if it is invalid."""
    try:
        values = {
            slot.name: slot.decode(found[slot.name], now)
            if slot.decode
            else found[slot.name]
            for slot in _slots_of(cls)
            if slot.name in found
        }
        return cls(**values)
    except (TypeError, ValueError, KeyError, AttributeError) as exc:
        detail = f"A {cls.__name__} message is malformed: {exc}"
        raise PoplaryardError(Code.INVALID, detail) from exc


def _encode_fields(value: t.Any, now: float) -> dict[str, t.Any]:
    found: dict[str, t.Any] = {}
    for name, default, encoder, _ in _slots_of(type(value)):
        item = getattr(value, name)
        if item is default or item == default:
            continue
        found[name] = encoder(item, now) if encoder else item
    return found


def _slots_of(cls: type) -> tuple[_Slot, ...]:
    slots = _slots.get(cls)
    if slots is None:
        hints = t.get_type_hints(cls)
        slots = tuple(_slot(field, hints[field.name]) for field in fields(cls))
        _slots[cls] = slots
    return slots


def _slot(field: Field[t.Any], hint: t.Any) -> _Slot:
    default = _MISSING if field.default is MISSING else field.default
    if field.name in _MOMENTS:
        return _Slot(field.name, default, _remaining, _moment)
    return _Slot(field.name, default, *_codecs(hint))


# Equal to no value, so that a field without default is always sent.
_MISSING = object()


def _remaining(value: float, now: float) -> float | None:
    return None if math.isinf(value) else value - now


def _moment(value: float | None, now: float) -> float:
    return math.inf if value is None else now + float(value)


def _codecs(hint: t.Any) -> tuple[_Codec | None, _Codec | None]:
    """Return how values of a type are encoded and decoded; None leaves them as is."""
    if isinstance(hint, types.UnionType):
        return _optional_codecs(hint)
    origin = t.get_origin(hint)
    if origin in (tuple, frozenset):
        inner, *others = t.get_args(hint)
        if others not in ([], [...]):
            raise TypeError(f"{hint} mixes types, which JSON does not keep apart")
        return _sequence_codecs(origin, inner)
    if origin is collections.abc.Mapping:
        return _mapping_codecs(t.get_args(hint)[1])
    if origin is not None or not isinstance(hint, type):
        return None, None
    if hint is Resources:
        return _encode_resources, _decode_resources
    if issubclass(hint, enum.Enum):
        return (lambda value, _: value.value), (lambda value, _: hint(value))
    if is_dataclass(hint):
        return _encode_fields, lambda value, now: decode_as(hint, value, now)
    if hint in (str, int, float, bool):
        return None, _checked(hint)
    return None, None


def _checked(hint: type) -> _Codec:
    def check(value: t.Any, _: float) -> t.Any:
        if type(value) is hint or (hint is float and type(value) is int):
            return value
        raise TypeError(f"expected {hint.__name__}, found {type(value).__name__}")

    return check


def _optional_codecs(hint: types.UnionType) -> tuple[_Codec | None, _Codec | None]:
    inner = [arg for arg in t.get_args(hint) if arg is not type(None)]
    encoder, decoder = _codecs(inner[0]) if len(inner) == 1 else (None, None)
    return _skip_none(encoder), _skip_none(decoder)


def _skip_none(codec: _Codec | None) -> _Codec | None:
    if codec is None:
        return None
    return lambda value, now: None if value is None else codec(value, now)


def _sequence_codecs(kind: type, inner: t.Any) -> tuple[_Codec, _Codec]:
    encoder, decoder = _codecs(inner)

    def encode_items(value: t.Any, now: float) -> list[t.Any]:
        return [encoder(item, now) for item in value] if encoder else list(value)

    def decode_items(value: t.Any, now: float) -> t.Any:
        if not isinstance(value, list):
            raise TypeError(f"expected list, found {type(value).__name__}")
        return kind(decoder(item, now) for item in value) if decoder else kind(value)

    return encode_items, decode_items


def _mapping_codecs(inner: t.Any) -> tuple[_Codec | None, _Codec | None]:
    encoder, decoder = _codecs(inner)
    if encoder is None:
        return None, None

    def encode_items(value: t.Any, now: float) -> dict[str, t.Any]:
        return {key: encoder(item, now) for key, item in value.items()}

    def decode_items(value: t.Any, now: float) -> dict[str, t.Any]:
        items = value.items()
        return {k: decoder(item, now) if decoder else item for k, item in items}

    return encode_items, decode_items


def _encode_resources(value: Resources, _: float) -> list[int]:
    return [value.cpu_m, value.mem_mb, value.gpus]


def _decode_resources(value: t.Any, _: float) -> Resources:
    cpu_m, mem_mb, gpus = value
    return Resources(int(cpu_m), int(mem_mb), int(gpus))


register(*t.get_args(messages.Message), messages.Work, messages.AttemptReport)
