"""The one function that turns log records into state.

It depends on the catalogue, the offset and the bytes of a record, and on
nothing else: no clock, no randomness, no settings. All entries that applied
the same records are therefore in the same state.
"""

import dataclasses

from oleanderbay.version import (
    assignments,
    catalogue,
    changes,
    records,
    stages,
    verdicts,
)
from oleanderbay.version.verdicts import Verdict

__all__ = ["Verdict", "apply_record"]

_Code = verdicts.ConflictCode
_Conflicts = tuple[verdicts.Conflict, ...]

# Bounds the work of one record after many verdicts have become old at once.
_MAX_DROPS = 64

# A rejected record with hundreds of mistakes must not fill the state.
_MAX_CONFLICTS = 32


def apply_record(
    state: catalogue.Catalogue, offset: int, data: bytes
) -> tuple[catalogue.Catalogue, Verdict]:
    """Applies one record; never raises, whatever the bytes are.

    Args:
        state: Catalogue after the record before.
        offset: Offset of the record; one that was applied already leaves the
            catalogue as it is.
        data: The record.

    Returns:
        The catalogue after the record and what became of the record.
    """
    record = records.decode(data)
    if offset <= state.offset:
        return state, _replayed(state, record)
    if isinstance(record, records.Malformed):
        return (
            dataclasses.replace(
                state, offset=offset, skipped=state.skipped + 1
            ),
            _rejected(record.id, "", offset, _Code.MALFORMED, record.reason),
        )
    if isinstance(record, records.Unknown):
        return (
            dataclasses.replace(state, offset=offset).put_carried(
                offset, record.data
            ),
            _rejected(
                record.id,
                record.kind,
                offset,
                _Code.PRESERVED,
                "kept for entries of a newer version",
            ),
        )
    if isinstance(record.body, records.Checkpoint):
        # A running entry is at least as new as any checkpoint in its past.
        return (
            dataclasses.replace(state, offset=offset),
            Verdict(
                id=record.id, kind=record.kind, accepted=True, offset=offset
            ),
        )
    known = state.verdict(record.id)
    if known is not None:
        return (
            dataclasses.replace(state, offset=offset),
            dataclasses.replace(known, duplicate=True),
        )
    if record.base < state.floor:
        # The verdict on an earlier copy may have been dropped, so applying
        # this one could repeat it.
        return (
            dataclasses.replace(state, offset=offset),
            _rejected(
                record.id,
                record.kind,
                offset,
                _Code.EXPIRED,
                f"computed from offset {record.base}; the oldest base "
                f"allowed is {state.floor}",
            ),
        )
    return _decide(state, offset, record)


def _replayed(
    state: catalogue.Catalogue,
    record: records.Record | records.Unknown | records.Malformed,
) -> Verdict:
    known = state.verdict(record.id)
    if known is not None:
        return dataclasses.replace(known, duplicate=True)
    kind = "" if isinstance(record, records.Malformed) else record.kind
    return _rejected(
        record.id,
        kind,
        0,
        _Code.EXPIRED,
        "the record was applied before and its verdict is not retained",
    )


def _rejected(
    id: str, kind: str, offset: int, code: _Code, message: str
) -> Verdict:
    return Verdict(
        id=id,
        kind=kind,
        accepted=False,
        conflicts=(verdicts.Conflict(code=code, message=message),),
        offset=offset,
    )


def _decide(
    state: catalogue.Catalogue, offset: int, record: records.Record
) -> tuple[catalogue.Catalogue, Verdict]:
    time_ms = record.at_ms
    if state.time_ms:
        step_ms = min(record.at_ms - state.time_ms, catalogue.MAX_TIME_STEP_MS)
        time_ms = state.time_ms + max(0, step_ms)
    ahead_ms = record.at_ms - time_ms
    # When instances that leave a group by this record did so.
    left_ms = time_ms
    if 0 < ahead_ms <= catalogue.MAX_TIME_LAG_MS:
        left_ms = record.at_ms
    before = dataclasses.replace(state, offset=offset, time_ms=time_ms)
    body = record.body
    conflicts: _Conflicts
    if record.base >= offset:
        after, conflicts = (
            before,
            (
                verdicts.Conflict(
                    code=_Code.INVALID,
                    path="base",
                    value=str(record.base),
                    message="must be an offset before the record's own",
                ),
            ),
        )
    elif isinstance(body, records.Change):
        after, conflicts = changes.apply(before, offset, body)
    elif isinstance(body, records.Assign):
        after, conflicts = assignments.assign(before, offset, body, left_ms)
    elif isinstance(body, records.Dissolve):
        after, conflicts = assignments.dissolve(before, body, left_ms)
    else:
        assert isinstance(body, records.Stage)
        after, conflicts = stages.move(
            before, body.change, body.expected, body.stage, body.detail, offset
        )
    verdict = Verdict(
        id=record.id,
        kind=record.kind,
        accepted=not conflicts,
        conflicts=conflicts[:_MAX_CONFLICTS],
        offset=offset,
        body_digest=records.body_digest(body),
    )
    if conflicts:
        after = before
    after = after.put_applied(verdict, time_ms)
    for _ in range(_MAX_DROPS):
        kept = after.applied[after.applied_order[after.oldest]]
        age_ms = time_ms - kept.at_ms
        count = len(after.applied)
        if count <= catalogue.MIN_APPLIED_IDS or (
            age_ms <= catalogue.REQUEST_ID_RETENTION_MS
            and count <= catalogue.MAX_APPLIED_IDS
        ):
            break
        after = after.drop_oldest()
    return after, verdict
