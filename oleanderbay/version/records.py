"""Envelope and codec of the records in the `config` stream."""

import dataclasses
import hashlib
import re
import secrets
from typing import Any, ClassVar

import msgpack

from oleanderbay.version import fields, resources

STREAM = "config"
SCHEMA_VERSION = 1

# A record that is larger is malformed. It bounds what one append can make
# every entry decode; checkpoints are split well below it.
MAX_RECORD_BYTES = 1_000_000

_ID = re.compile(r"[0-9a-f]{32}")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upsert:
    """Creates or replaces one resource.

    Attributes:
        resource: The resource; its own `version` is ignored.
        expected: Version that it must have now; 0 if it must not exist.
    """

    resource: resources.Resource
    expected: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delete:
    """Deletes one resource.

    Attributes:
        kind: Resource kind.
        id: Resource id.
        expected: Version that it must have now.
    """

    kind: str
    id: str
    expected: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """An operator's set of changes, applied as a whole or not at all."""

    KIND: ClassVar[str] = "change"

    upserts: tuple[Upsert, ...] = ()
    deletes: tuple[Delete, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assign:
    """Makes instances a serving group, or replaces a group's members.

    Attributes:
        group: The group; `epoch` and `version` become the record's offset.
        expected: Version of the group that it replaces; 0 for a new group.
    """

    KIND: ClassVar[str] = "assign"

    group: resources.ServingGroup
    expected: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dissolve:
    """Ends a serving group; its instances go into quarantine.

    Attributes:
        group: Id of the group.
        expected: Version that the group must have now.
        reason: Why, for people.
    """

    KIND: ClassVar[str] = "dissolve"

    group: str
    expected: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stage:
    """Moves a planned change to another stage.

    Attributes:
        change: Id of the planned change.
        expected: Version that it must have now.
        stage: The new stage.
        detail: Why, for people.
    """

    KIND: ClassVar[str] = "stage"

    change: str
    expected: int
    stage: resources.ChangeStage
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Checkpoint:
    """One part of the state at an offset.

    Attributes:
        offset: Offset that the state covers.
        digest: Digest of the whole state.
        part: Number of this part, from 0.
        parts: Number of parts.
        rows: Rows of the state as packed by `checkpoint`.
    """

    KIND: ClassVar[str] = "checkpoint"

    offset: int
    digest: str
    part: int
    parts: int
    rows: bytes


Body = Change | Assign | Dissolve | Stage | Checkpoint

_BODIES: dict[str, type[Any]] = {
    body.KIND: body for body in (Change, Assign, Dissolve, Stage, Checkpoint)
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """A proposal.

    Attributes:
        id: 16 bytes in hex; a second record with the same id is ignored.
        author: Process start id of the entry that appends it.
        base: Offset that the proposal was computed from.
        at_ms: Wall time of the author.
        body: What is proposed.
    """

    id: str
    author: str
    base: int
    at_ms: int
    body: Body

    @property
    def kind(self) -> str:
        """Record kind."""
        return self.body.KIND


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """A record that only a newer version understands.

    Attributes:
        id: Record id as found.
        kind: Record kind as found.
        data: The whole record.
    """

    id: str
    kind: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are no record.

    Attributes:
        reason: What is wrong.
        id: Record id where it can be read; otherwise empty.
    """

    reason: str
    id: str = ""


def new_id() -> str:
    """Returns a random record id."""
    return secrets.token_hex(16)


def id_of_request(request_id: str) -> str:
    """Returns the record id for an operator's request id.

    The same request id always gives the same record id, so that a retry
    through another entry is recognised as a duplicate.
    """
    if _ID.fullmatch(request_id):
        return request_id
    return hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest()


def body_digest(body: Body) -> str:
    """Returns a short digest that tells whether two bodies are equal."""
    packed = msgpack.packb(fields.to_sparse(body))
    return hashlib.blake2b(packed, digest_size=8).hexdigest()


def encode(record: Record) -> bytes:
    """Returns a record as msgpack."""
    packed: bytes = msgpack.packb(
        {
            "schema": SCHEMA_VERSION,
            "id": record.id,
            "kind": record.kind,
            "author": record.author,
            "base": record.base,
            "at_ms": record.at_ms,
            "body": fields.to_sparse(record.body),
        }
    )
    return packed


def decode(data: bytes) -> Record | Unknown | Malformed:
    """Reads a record; never raises.

    The result depends on the bytes only, so that all entries skip the same
    records.
    """
    if len(data) > MAX_RECORD_BYTES:
        return Malformed(
            f"the record has {len(data)} bytes; at most {MAX_RECORD_BYTES} "
            "are allowed"
        )
    try:
        value = msgpack.unpackb(data, raw=False, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Malformed(f"not msgpack: {type(error).__name__}")
    if not isinstance(value, dict):
        return Malformed("not a map")
    record_id, kind = value.get("id"), value.get("kind")
    schema = value.get("schema")
    if not isinstance(record_id, str) or not _ID.fullmatch(record_id):
        return Malformed("'id' must be 32 hex digits")
    if not isinstance(kind, str) or not 0 < len(kind) <= 64:
        return Malformed("'kind' must be a short string", record_id)
    if type(schema) is not int or schema < 1:
        return Malformed("'schema' must be a positive integer", record_id)
    if schema > SCHEMA_VERSION or kind not in _BODIES:
        return Unknown(record_id, kind, data)
    author = value.get("author")
    if not isinstance(author, str):
        return Malformed("'author' must be a string", record_id)
    numbers: dict[str, int] = {}
    for name in ("base", "at_ms"):
        number = value.get(name)
        if type(number) is not int or not 0 <= number <= fields.MAX_INTEGER:
            return Malformed(f"{name!r} is not a valid integer", record_id)
        numbers[name] = number
    try:
        body = fields.from_plain(_BODIES[kind], value.get("body"), "body")
    except fields.FieldsError as error:
        return Malformed(str(error.mistakes[0]), record_id)
    return Record(id=record_id, author=author, body=body, **numbers)
