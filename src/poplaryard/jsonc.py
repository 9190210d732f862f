"""Strict parser of JSON with comments.

Numbers must be finite, keys unique, and the nesting is limited.
"""

import json
import math
import re
import typing as t

import json5

from .codes import Code
from .exceptions import CallError

__all__ = ["MAX_DEPTH", "loads"]

MAX_DEPTH = 16
# json5 is a slow parser in pure Python, so larger texts must be plain JSON.
_MAX_JSON5_CHARS = 256 * 1024
# Strings and comments are matched so that brackets in them are not counted.
_DEPTH_TOKEN = re.compile(
    r'"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])*\'|//[^\n]*|/\*.*?\*/|[\[\]{}]', re.DOTALL
)


def loads(text: str | bytes, *, max_depth: int = MAX_DEPTH) -> t.Any:
    """Return the value of a JSON text that may hold comments and trailing commas.

    Raises
    ------
    CallError
        With code `MALFORMED`, `TOO_DEEP`, `NON_FINITE` or `TOO_LARGE`.
    """
    source = _decode(text)
    _check_depth(source, max_depth)
    try:
        # Plain JSON is tried first because json5 is about a thousand times slower.
        return json.loads(
            source,
            object_pairs_hook=_unique_keys,
            parse_float=_parse_finite,
            parse_constant=_refuse_constant,
        )
    except ValueError:
        return _loads_json5(source)


def _decode(text: str | bytes) -> str:
    if isinstance(text, str):
        return text
    try:
        return text.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        raise CallError(Code.MALFORMED, "The text is not valid UTF-8.") from exc


def _loads_json5(source: str) -> t.Any:
    if len(source) > _MAX_JSON5_CHARS:
        detail = (
            f"A text of more than {_MAX_JSON5_CHARS // 1024} KB must be plain JSON "
            "without comments or errors."
        )
        raise CallError(Code.TOO_LARGE, detail)
    try:
        return json5.loads(
            source,
            object_pairs_hook=_unique_keys,
            parse_float=_parse_finite,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as exc:
        raise CallError(Code.MALFORMED, f"The text is not valid JSON: {exc}.") from exc


def _check_depth(source: str, max_depth: int) -> None:
    depth = 0
    for match in _DEPTH_TOKEN.finditer(source):
        token = match.group()
        if token in "[{":
            depth += 1
        elif token in "]}":
            depth -= 1
        if depth > max_depth:
            detail = f"The text is nested more than {max_depth} levels deep."
            raise CallError(Code.TOO_DEEP, detail)


def _unique_keys(pairs: t.Iterable[tuple[str, t.Any]]) -> dict[str, t.Any]:
    found: dict[str, t.Any] = {}
    for key, value in pairs:
        if key in found:
            raise CallError(Code.MALFORMED, f'The key "{key}" is given twice.')
        found[key] = value
    return found


def _parse_finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise CallError(Code.NON_FINITE, f"The number {text[:40]} is not finite.")
    return value


def _refuse_constant(text: str) -> t.NoReturn:
    raise CallError(Code.NON_FINITE, f"The number {text} is not finite.")
