"""Mapping between frozen data classes and plain values.

Log records, checkpoints, declarations and operators' messages all carry the
same field names, so this one mapping serves all of them.
"""

import dataclasses
import difflib
import enum
import functools
import types
import typing
from collections.abc import Callable
from typing import Any

from oleanderbay.version import resources

# Integers above this are not exact in JSON readers of other languages.
MAX_INTEGER = 2**53 - 1

MAX_SHOWN_VALUE = 80

KIND_OF: dict[type[resources.Resource], str] = {
    cls: kind for kind, cls in resources.RESOURCE_KINDS.items()
}


class FieldsError(ValueError):
    """A plain value does not describe the data class.

    Attributes:
        mistakes: All mistakes that were found.
    """

    def __init__(self, mistakes: "tuple[Mistake, ...]") -> None:
        super().__init__("; ".join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes


@dataclasses.dataclass(frozen=True, slots=True)
class Mistake:
    """One mistake in a value that somebody supplied.

    Attributes:
        path: Where the value is, such as `services[2].share`.
        value: The value as text, shortened.
        reason: What is allowed.
    """

    path: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason} (found {self.value})"


def shown(value: object) -> str:
    """Returns a value as short text for an error message."""
    text = repr(value)
    if len(text) > MAX_SHOWN_VALUE:
        return text[: MAX_SHOWN_VALUE - 3] + "..."
    return text


_BAD: Any = object()
_Encode = Callable[[Any, bool], Any]
_Decode = Callable[[Any, str, list[Mistake]], Any]


def kind_of(resource: resources.Resource) -> str:
    """Returns the resource kind that a resource belongs to."""
    return KIND_OF[type(resource)]


def to_plain(value: Any) -> dict[str, Any]:
    """Returns a data class as a dict of plain values, all fields included."""
    return _encode_class(value, False)


def to_sparse(value: Any) -> dict[str, Any]:
    """Returns a data class as plain values without fields at their default.

    Records and digests use this form. A field that a newer version adds is
    then unknown to older entries only where it is used, and two versions
    have the same digest. A changed default needs a new schema version.
    """
    return _encode_class(value, True)


def from_plain(cls: type[Any], value: Any, path: str = "") -> Any:
    """Builds a data class from plain values.

    Raises:
        FieldsError: With every mistake that was found.
    """
    mistakes: list[Mistake] = []
    result = _decode_class(cls, value, path, mistakes)
    if mistakes:
        raise FieldsError(tuple(mistakes))
    return result


_Layout = tuple[tuple[str, _Encode, _Decode, Any], ...]


def _build_layout(cls: type[Any]) -> _Layout:
    hints = typing.get_type_hints(cls)
    rows = []
    for field in dataclasses.fields(cls):
        encode, decode = _coder(hints[field.name])
        default = field.default
        if field.default_factory is not dataclasses.MISSING:
            default = field.default_factory()
        rows.append((field.name, encode, decode, default))
    return tuple(rows)


_layout: Callable[[Any], _Layout] = functools.cache(_build_layout)


def _encode_class(value: Any, sparse: bool) -> dict[str, Any]:
    plain = {}
    for name, encode, _, default in _layout(type(value)):
        part = getattr(value, name)
        if not sparse or part != default:
            plain[name] = encode(part, sparse)
    return plain


def _decode_class(
    cls: type[Any], value: Any, path: str, mistakes: list[Mistake]
) -> Any:
    if not isinstance(value, dict):
        mistakes.append(Mistake(path, shown(value), "must be an object"))
        return _BAD
    layout = _layout(cls)
    before = len(mistakes)
    prefix = f"{path}." if path else ""
    arguments = {}
    for name, _, decode, default in layout:
        if name in value:
            arguments[name] = decode(value[name], prefix + name, mistakes)
        elif default is dataclasses.MISSING:
            mistakes.append(Mistake(prefix + name, "nothing", "is required"))
    if len(arguments) != len(value):
        known = [name for name, _, _, _ in layout]
        for name in value:
            if name not in known:
                mistakes.append(unknown_key(prefix, name, value[name], known))
    if len(mistakes) > before:
        return _BAD
    return cls(**arguments)


def unknown_key(
    prefix: str, name: object, value: object, known: list[str]
) -> Mistake:
    """Returns the mistake for a key that is not known."""
    near = difflib.get_close_matches(str(name), known, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return Mistake(f"{prefix}{name}", shown(value), f"is not known{hint}")


def _same(value: Any, sparse: bool) -> Any:
    return value


def _encode_text(value: Any, sparse: bool) -> str:
    return str(value)


def _encode_float(value: Any, sparse: bool) -> float:
    # An integer given for a number must have the digest of its float.
    return float(value)


def _exact(wanted: type, article: str) -> _Decode:
    def decode(value: Any, path: str, mistakes: list[Mistake]) -> Any:
        if type(value) is wanted:
            return value
        mistakes.append(Mistake(path, shown(value), f"must be {article}"))
        return _BAD

    return decode


def _decode_int(value: Any, path: str, mistakes: list[Mistake]) -> Any:
    if type(value) is int and -MAX_INTEGER <= value <= MAX_INTEGER:
        return value
    mistakes.append(
        Mistake(path, shown(value), "must be an integer below 2^53")
    )
    return _BAD


def _decode_float(value: Any, path: str, mistakes: list[Mistake]) -> Any:
    if type(value) is float:
        return value
    if type(value) is int and -MAX_INTEGER <= value <= MAX_INTEGER:
        return float(value)
    mistakes.append(Mistake(path, shown(value), "must be a number"))
    return _BAD


def _enum_decoder(hint: type[enum.StrEnum]) -> _Decode:
    members = {member.value: member for member in hint}
    allowed = ", ".join(members)

    def decode(value: Any, path: str, mistakes: list[Mistake]) -> Any:
        if isinstance(value, str) and value in members:
            return members[value]
        mistakes.append(
            Mistake(path, shown(value), f"must be one of {allowed}")
        )
        return _BAD

    return decode


def _tuple_coder(item: Any) -> tuple[_Encode, _Decode]:
    encode_item, decode_item = _coder(item)

    def encode(value: Any, sparse: bool) -> Any:
        return [encode_item(element, sparse) for element in value]

    def decode(value: Any, path: str, mistakes: list[Mistake]) -> Any:
        if not isinstance(value, list | tuple):
            mistakes.append(Mistake(path, shown(value), "must be a list"))
            return _BAD
        return tuple(
            decode_item(element, f"{path}[{index}]", mistakes)
            for index, element in enumerate(value)
        )

    return encode, decode


def _encode_resource(value: resources.Resource, sparse: bool) -> Any:
    return [KIND_OF[type(value)], _encode_class(value, sparse)]


def _decode_resource(value: Any, path: str, mistakes: list[Mistake]) -> Any:
    if isinstance(value, list | tuple) and len(value) == 2:
        cls = (
            resources.RESOURCE_KINDS.get(value[0])
            if isinstance(value[0], str)
            else None
        )
        if cls is not None:
            return _decode_class(cls, value[1], path, mistakes)
    mistakes.append(
        Mistake(path, shown(value), "must be a pair of known kind and fields")
    )
    return _BAD


def _coder(hint: Any) -> tuple[_Encode, _Decode]:
    if hint is resources.Resource:
        return _encode_resource, _decode_resource
    if typing.get_origin(hint) is tuple:
        return _tuple_coder(typing.get_args(hint)[0])
    if isinstance(hint, types.UnionType):
        raise TypeError(f"unions have no plain form: {hint}")
    if dataclasses.is_dataclass(hint):
        nested = typing.cast(type[Any], hint)
        return _encode_class, functools.partial(_decode_class, nested)
    if issubclass(hint, enum.StrEnum):
        return _encode_text, _enum_decoder(hint)
    if hint is bool:
        return _same, _exact(bool, "true or false")
    if hint is int:
        return _same, _decode_int
    if hint is float:
        return _encode_float, _decode_float
    if hint is bytes:
        return _same, _exact(bytes, "bytes")
    return _same, _exact(str, "a string")
