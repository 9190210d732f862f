"""JSON encoding of messages.

An encoded message is an object with its class name under ``type`` and the fields that
differ from their defaults. Monotonic times are sent as remaining seconds, because the
monotonic clocks of two processes cannot be compared.
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

# Fields that hold a time on the sender's monotonic clock.
_MONOTONIC_TIMES = frozenset({"deadline", "until"})

_Codec: t.TypeAlias = t.Callable[[t.Any, float], t.Any]


class _FieldCodec(t.NamedTuple):
    """Name, default and codecs of one field; a codec of None keeps the value as is."""

    name: str
    default: t.Any
    encode: _Codec | None
    decode: _Codec | None


_classes: dict[str, type] = {}
_field_codecs: dict[type, tuple[_FieldCodec, ...]] = {}


def register(*classes: type) -> None:
    """Register data classes by name for `decode`."""
    for cls in classes:
        _classes[cls.__name__] = cls


def encode(message: t.Any, now: float) -> dict[str, t.Any]:
    """Return the JSON object of a message."""
    encoded = _encode_fields(message, now)
    encoded["type"] = type(message).__name__
    return encoded


def decode(encoded: t.Any, now: float) -> t.Any:
    """Return the message of a JSON object; raises `PoplaryardError` if invalid."""
    name = encoded.get("type") if isinstance(encoded, dict) else None
    cls = _classes.get(name) if isinstance(name, str) else None
    if cls is None:
        raise PoplaryardError(Code.INVALID, f"There is no message type {name!r}.")
    return decode_as(cls, encoded, now)


def decode_as(cls: type, encoded: t.Any, now: float) -> t.Any:
    """Return an instance of `cls`; raises `PoplaryardError` if it is invalid."""
    try:
        values = {
            codec.name: codec.decode(encoded[codec.name], now)
            if codec.decode
            else encoded[codec.name]
            for codec in _field_codecs_of(cls)
            if codec.name in encoded
        }
        return cls(**values)
    except (TypeError, ValueError, KeyError, AttributeError) as exc:
        detail = f"A {cls.__name__} message is malformed: {exc}"
        raise PoplaryardError(Code.INVALID, detail) from exc


def _encode_fields(value: t.Any, now: float) -> dict[str, t.Any]:
    encoded: dict[str, t.Any] = {}
    for name, default, encoder, _ in _field_codecs_of(type(value)):
        item = getattr(value, name)
        if item is default or item == default:
            continue
        encoded[name] = encoder(item, now) if encoder else item
    return encoded


def _field_codecs_of(cls: type) -> tuple[_FieldCodec, ...]:
    field_codecs = _field_codecs.get(cls)
    if field_codecs is None:
        hints = t.get_type_hints(cls)
        field_codecs = tuple(
            _field_codec(field, hints[field.name]) for field in fields(cls)
        )
        _field_codecs[cls] = field_codecs
    return field_codecs


def _field_codec(field: Field[t.Any], hint: t.Any) -> _FieldCodec:
    default = _MISSING if field.default is MISSING else field.default
    if field.name in _MONOTONIC_TIMES:
        return _FieldCodec(field.name, default, _to_remaining, _from_remaining)
    return _FieldCodec(field.name, default, *_codecs(hint))


# Sentinel that equals no value, so that a field without default is always sent.
_MISSING = object()


def _to_remaining(value: float, now: float) -> float | None:
    return None if math.isinf(value) else value - now


def _from_remaining(value: float | None, now: float) -> float:
    return math.inf if value is None else now + float(value)


def _codecs(hint: t.Any) -> tuple[_Codec | None, _Codec | None]:
    """Return the encoder and decoder of a type; None leaves its values unchanged."""
    if isinstance(hint, types.UnionType):
        return _optional_codecs(hint)
    origin = t.get_origin(hint)
    if origin in (tuple, frozenset):
        inner, *others = t.get_args(hint)
        if others not in ([], [...]):
            raise TypeError(f"{hint} mixes item types; a sequence must have one type")
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
        return None, _type_checker(hint)
    return None, None


def _type_checker(hint: type) -> _Codec:
    def check(value: t.Any, _: float) -> t.Any:
        if type(value) is hint or (hint is float and type(value) is int):
            return value
        raise TypeError(f"expected {hint.__name__}, found {type(value).__name__}")

    return check


def _optional_codecs(hint: types.UnionType) -> tuple[_Codec | None, _Codec | None]:
    inner = [arg for arg in t.get_args(hint) if arg is not type(None)]
    encoder, decoder = _codecs(inner[0]) if len(inner) == 1 else (None, None)
    return _keep_none(encoder), _keep_none(decoder)


def _keep_none(codec: _Codec | None) -> _Codec | None:
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
