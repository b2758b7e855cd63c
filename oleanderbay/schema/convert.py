"""Conversion between operators' messages and data classes.

Fields are matched by name, so a new field needs a line in the schema and one
in the data class, and none here.
"""

import dataclasses
from typing import Any

from google.protobuf import descriptor, message

from oleanderbay.schema import operators_pb2
from oleanderbay.version import fields, records, resources

_Field = descriptor.FieldDescriptor


def to_message(value: Any, cls: Any) -> Any:
    """Returns a data class as a message of a given class."""
    result = cls()
    _fill(result, fields.to_plain(value))
    return result


def to_plain(source: message.Message) -> dict[str, Any]:
    """Returns the fields that are set in a message, as plain values.

    Lists are always there, because a message can't tell an empty list from
    one that was left out.
    """
    plain: dict[str, Any] = {}
    for field in source.DESCRIPTOR.fields:
        value = getattr(source, field.name)
        convert = _reader(field)
        if field.is_repeated:
            plain[field.name] = [convert(item) for item in value]
        elif source.HasField(field.name):
            plain[field.name] = convert(value)
    return plain


def from_message(source: message.Message, cls: Any, path: str = "") -> Any:
    """Builds a data class from a message.

    Raises:
        FieldsError: With every mistake that was found.
    """
    return fields.from_plain(cls, to_plain(source), path)


def resource_to_message(resource: resources.Resource) -> Any:
    """Returns a resource as a `Resource` message."""
    result = operators_pb2.Resource()
    target = getattr(result, fields.kind_of(resource))
    target.SetInParent()
    _fill(target, fields.to_plain(resource))
    return result


def resource_from_message(source: Any, path: str = "") -> resources.Resource:
    """Returns the resource in a `Resource` message.

    Raises:
        FieldsError: With every mistake that was found.
    """
    kind = source.WhichOneof("resource")
    if kind is None:
        raise fields.FieldsError(
            (fields.Mistake(path, "nothing", "must name a resource"),)
        )
    resource: resources.Resource = from_message(
        getattr(source, kind), resources.RESOURCE_KINDS[kind], path
    )
    return resource


def change_to_message(change: records.Change) -> Any:
    """Returns a change as a `Change` message."""
    result = operators_pb2.Change()
    for upsert in change.upserts:
        item = result.upserts.add(expected=upsert.expected)
        item.resource.CopyFrom(resource_to_message(upsert.resource))
    for delete in change.deletes:
        _fill(result.deletes.add(), fields.to_plain(delete))
    return result


def change_from_message(source: Any) -> records.Change:
    """Returns the change in a `Change` message.

    The versions that resources carry are dropped; only `expected` counts.

    Raises:
        FieldsError: With the mistakes of all items.
    """
    mistakes: list[fields.Mistake] = []
    upserts = []
    deletes = []
    for index, item in enumerate(source.upserts):
        path = f"upserts[{index}]"
        try:
            resource = resource_from_message(item.resource, f"{path}.resource")
        except fields.FieldsError as error:
            mistakes.extend(error.mistakes)
            continue
        if item.expected < 0:
            mistakes.append(
                fields.Mistake(
                    f"{path}.expected",
                    fields.shown(item.expected),
                    "must not be negative",
                )
            )
        upserts.append(
            records.Upsert(
                resource=dataclasses.replace(resource, version=0),
                expected=item.expected,
            )
        )
    for index, item in enumerate(source.deletes):
        try:
            deletes.append(
                from_message(item, records.Delete, f"deletes[{index}]")
            )
        except fields.FieldsError as error:
            mistakes.extend(error.mistakes)
    if mistakes:
        raise fields.FieldsError(tuple(mistakes))
    return records.Change(upserts=tuple(upserts), deletes=tuple(deletes))


def _fill(target: Any, plain: dict[str, Any]) -> None:
    for field in target.DESCRIPTOR.fields:
        if field.name not in plain:
            continue
        value = plain[field.name]
        if field.is_repeated:
            getattr(target, field.name).extend(value)
        elif field.type == _Field.TYPE_MESSAGE:
            nested = getattr(target, field.name)
            nested.SetInParent()
            _fill(nested, value)
        elif field.type == _Field.TYPE_ENUM:
            number = _prefix(field.enum_type) + value.upper()
            setattr(
                target,
                field.name,
                field.enum_type.values_by_name[number].number,
            )
        else:
            setattr(target, field.name, value)


def _reader(field: Any) -> Any:
    if field.type == _Field.TYPE_MESSAGE:
        return to_plain
    if field.type == _Field.TYPE_ENUM:
        return lambda number: enum_text(field.enum_type, number)
    return lambda value: value


def enum_text(enum_type: Any, number: int) -> str:
    """Returns the value that data classes use for a number of an enum."""
    value = enum_type.values_by_number.get(number)
    if value is None:
        return f"unknown value {number}"
    return str(value.name).removeprefix(_prefix(enum_type)).lower()


def _prefix(enum_type: Any) -> str:
    """Returns the enum's name in capitals with underscores."""
    name = "".join(
        f"_{letter}" if letter.isupper() else letter
        for letter in enum_type.name
    )
    return name.lstrip("_").upper() + "_"
