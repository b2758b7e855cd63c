"""What became of a log record, and why."""

import dataclasses
import enum


class ConflictCode(enum.StrEnum):
    """Why a proposal was rejected."""

    MALFORMED = "malformed"
    PRESERVED = "preserved"
    EXPIRED = "expired"
    INVALID = "invalid"
    STALE_VERSION = "stale_version"
    NAME_TAKEN = "name_taken"
    DANGLING_REFERENCE = "dangling_reference"
    IN_USE = "in_use"
    REPEATED = "repeated"
    WRONG_KIND = "wrong_kind"
    INSTANCE_IN_GROUP = "instance_in_group"
    INSTANCE_IN_QUARANTINE = "instance_in_quarantine"
    INSTANCE_RETIRED = "instance_retired"
    ZONE_DRAINED = "zone_drained"
    OVERLAPS = "overlaps"
    NEEDS_FORCE = "needs_force"
    WRONG_STAGE = "wrong_stage"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """One reason why a proposal was rejected.

    Attributes:
        code: Kind of the reason.
        kind: Resource kind concerned; may be empty.
        id: Resource id concerned; may be empty.
        path: Field concerned; may be empty.
        value: Value found, as text.
        message: One sentence for people.
        expected: Version that the proposal expected.
        version: Version that the resource has; 0 if it doesn't exist.
        winner: Id of the resource that won; may be empty.
    """

    code: ConflictCode
    message: str
    kind: str = ""
    id: str = ""
    path: str = ""
    value: str = ""
    expected: int = 0
    version: int = 0
    winner: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What became of one record.

    Attributes:
        id: Record id; empty if it can't be read.
        kind: Record kind; empty if it can't be read.
        accepted: Whether it took effect.
        conflicts: Why it did not.
        offset: Offset of the record that decided; an earlier one than the
            record's own if it is a duplicate.
        duplicate: Whether a record with the same id came before.
        body_digest: Tells whether two records with one id say the same.
    """

    id: str
    kind: str
    accepted: bool
    conflicts: tuple[Conflict, ...] = ()
    offset: int = 0
    duplicate: bool = False
    body_digest: str = ""
