"""State at an offset as a set of log records."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

import msgpack

from oleanderbay.version import (
    catalogue,
    fields,
    records,
    resources,
    verdicts,
)

# Well below the size limit of a record, so that the envelope fits too.
PART_BYTES = 256_000

# A carried record may itself be as large as a record; a part that holds one
# is the only kind that exceeds PART_BYTES.
_MAPS = ("quarantine", "zones_out", "instances_out", "carried")


class CheckpointError(Exception):
    """Parts do not make up one complete, undamaged checkpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part as found in the log.

    Attributes:
        offset: Offset that the checkpoint covers.
        digest: Digest of the whole state.
        part: Number of this part, from 0.
        parts: Number of parts.
        data: The record.
    """

    offset: int
    digest: str
    part: int
    parts: int
    data: bytes


def dump(
    state: catalogue.Catalogue,
    author: str = "",
    part_bytes: int = PART_BYTES,
) -> list[bytes]:
    """Returns the state as encoded checkpoint records.

    The records depend on the state only: two entries that write a checkpoint
    of the same offset write the same record ids.

    Args:
        state: What to write.
        author: Process start id of the writer.
        part_bytes: Size that a part should not exceed.
    """
    chunks: list[list[bytes]] = [[]]
    size = 0
    for row in _rows(state):
        packed: bytes = msgpack.packb(row)
        if chunks[-1] and size + len(packed) > part_bytes:
            chunks.append([])
            size = 0
        chunks[-1].append(packed)
        size += len(packed)
    result = []
    for index, chunk in enumerate(chunks):
        name = f"checkpoint {state.offset} {state.digest} {index} {part_bytes}"
        result.append(
            records.encode(
                records.Record(
                    id=records.id_of_request(name),
                    author=author,
                    base=state.offset,
                    at_ms=state.time_ms,
                    body=records.Checkpoint(
                        offset=state.offset,
                        digest=state.digest,
                        part=index,
                        parts=len(chunks),
                        rows=b"".join(chunk),
                    ),
                )
            )
        )
    return result


def read_part(data: bytes) -> Part | None:
    """Returns what part of a checkpoint a log record is, if it is one."""
    record = records.decode(data)
    if not isinstance(record, records.Record) or not isinstance(
        record.body, records.Checkpoint
    ):
        return None
    body = record.body
    if not 0 <= body.part < body.parts or body.offset < 0:
        return None
    return Part(body.offset, body.digest, body.part, body.parts, data)


def load(parts: Iterable[bytes]) -> catalogue.Catalogue:
    """Returns the state from the records of one checkpoint, in any order.

    Raises:
        CheckpointError: Parts are missing, damaged or of several checkpoints.
    """
    found: dict[int, records.Checkpoint] = {}
    for data in parts:
        record = records.decode(data)
        if not isinstance(record, records.Record) or not isinstance(
            record.body, records.Checkpoint
        ):
            raise CheckpointError("not a checkpoint record")
        found[record.body.part] = record.body
    if not found:
        raise CheckpointError("no parts")
    first = next(iter(found.values()))
    if len({(p.offset, p.digest, p.parts) for p in found.values()}) > 1:
        raise CheckpointError("parts of several checkpoints")
    if sorted(found) != list(range(first.parts)):
        raise CheckpointError(f"{len(found)} of {first.parts} parts")
    try:
        state = _build(
            first.offset,
            (row for index in sorted(found) for row in _unpack(found[index])),
        )
    except (
        ValueError,
        TypeError,
        LookupError,
        msgpack.UnpackException,
    ) as error:
        raise CheckpointError(f"damaged row: {error}") from error
    if state.digest != first.digest:
        raise CheckpointError("the digest does not match the rows")
    return state


def newest(
    data: Iterable[bytes], current: catalogue.Catalogue | None = None
) -> catalogue.Catalogue | None:
    """Returns the state of the newest complete checkpoint among records.

    Args:
        data: Log records of any kind.
        current: State that is in force; a checkpoint of the same or an older
            offset never replaces it.

    Returns:
        The newer of the two; None if there is neither.
    """
    sets: dict[tuple[int, str, int], dict[int, bytes]] = {}
    for item in data:
        part = read_part(item)
        if part is not None:
            key = (part.offset, part.digest, part.parts)
            sets.setdefault(key, {})[part.part] = item
    for key in sorted(sets, reverse=True):
        offset, _, count = key
        if current is not None and offset <= current.offset:
            break
        if len(sets[key]) < count:
            continue
        try:
            return load(sets[key].values())
        except CheckpointError:
            continue
    return current


def _unpack(part: records.Checkpoint) -> Iterator[Any]:
    unpacker = msgpack.Unpacker(
        raw=False, strict_map_key=False, max_buffer_size=len(part.rows) or 1
    )
    unpacker.feed(part.rows)
    yield from unpacker


def _rows(state: catalogue.Catalogue) -> Iterator[list[Any]]:
    yield ["state", state.time_ms, state.floor, state.skipped]
    for kind in resources.RESOURCE_KINDS:
        for resource in state.all(kind):
            yield ["resource", kind, fields.to_sparse(resource)]
    for attribute in _MAPS:
        for key, value in sorted(getattr(state, attribute).items()):
            yield [attribute, key, value]
    for _, id in sorted(state.applied_order.items()):
        kept = state.applied[id]
        yield ["applied", fields.to_sparse(kept.verdict), kept.at_ms]


def _build(offset: int, rows: Iterable[Any]) -> catalogue.Catalogue:
    state = catalogue.Catalogue(offset=offset)
    for name, *row in rows:
        if name == "state":
            time_ms, floor, skipped = row
            state = dataclasses.replace(
                state, time_ms=time_ms, floor=floor, skipped=skipped
            )
        elif name == "resource":
            kind, plain = row
            cls = resources.RESOURCE_KINDS[kind]
            state = state.put(fields.from_plain(cls, plain))
        elif name == "applied":
            plain, at_ms = row
            verdict = fields.from_plain(verdicts.Verdict, plain)
            state = state.put_applied(verdict, at_ms)
        elif name in _MAPS:
            state = state.put_row(name, *row)
        else:
            raise CheckpointError(f"unknown row {name!r}")
    return state
