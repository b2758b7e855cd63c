"""Checked access to the fields of JSON objects that others have written.

A field of another type than the platform states is an error and is never
converted. `null` counts as absence.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

T = TypeVar("T")

# Longest part of a value in an error message; the writer chooses its length.
MAX_SHOWN = 64


def text(body: Mapping[str, Any], name: str, default: str | None = None) -> str:
    """Returns a non-empty string; requires the field without a default.

    With a default, an empty string counts as absence, too.
    """
    value = body.get(name)
    if default is not None and (value is None or value == ""):
        return default
    if not isinstance(value, str) or not value:
        raise ValueError(_complaint(body, name, "a non-empty string"))
    # JSON strings may contain lone surrogates, which can't be encoded as UTF-8.
    try:
        value.encode()
    except UnicodeEncodeError:
        raise ValueError(f"{name} is no text in Unicode") from None
    return value


def choice(body: Mapping[str, Any], name: str, choices: Mapping[str, T]) -> T:
    """Returns what a required string stands for."""
    value = text(body, name)
    if value not in choices:
        raise ValueError(f"{name} is unknown: {shown(value)}")
    return choices[value]


def whole(body: Mapping[str, Any], name: str, most: int, least: int = 0) -> int:
    """Returns a required integer within bounds."""
    value = body.get(name)
    if type(value) is not int or not least <= value <= most:
        raise ValueError(
            _complaint(body, name, f"an integer from {least} to {most}")
        )
    return value


def number(
    body: Mapping[str, Any],
    name: str,
    most: float = math.inf,
    default: float | None = None,
) -> float:
    """Returns a finite number from 0 on; required without a default."""
    value = body.get(name)
    if value is None and default is not None:
        return default
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value <= most
        or not math.isfinite(value)
    ):
        raise ValueError(_complaint(body, name, "a number in its range"))
    return float(value)


def flag(body: Mapping[str, Any], name: str) -> bool:
    """Returns a truth value; False if the field is absent."""
    value = body.get(name)
    if value is not None and not isinstance(value, bool):
        raise ValueError(_complaint(body, name, "true or false"))
    return bool(value)


def array(
    body: Mapping[str, Any], name: str, required: bool = False
) -> Sequence[Any]:
    """Returns a list; an empty one if a field is absent that may be."""
    value = body.get(name)
    if value is None and not required:
        return ()
    if not isinstance(value, list):
        raise ValueError(_complaint(body, name, "a list"))
    return value


def mapping(body: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    """Returns an object; an empty one if the field is absent."""
    value = body.get(name)
    return {} if value is None else as_mapping(value, name)


def as_mapping(value: Any, name: str) -> Mapping[str, Any]:
    """Returns a value of the field `name` that has to be an object."""
    if not isinstance(value, Mapping):
        raise ValueError(f"{name} is not an object: {shown(value)}")
    return value


def shown(value: Any) -> str:
    """Returns the beginning of a value for an error message."""
    return repr(value)[:MAX_SHOWN]


def _complaint(body: Mapping[str, Any], name: str, expected: str) -> str:
    value = body.get(name)
    if value is None:
        return f"{name} is missing"
    return f"{name} is not {expected}: {shown(value)}"
