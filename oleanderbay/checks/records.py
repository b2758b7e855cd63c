"""Records that the parts emit for the invariant checks.

All times are ms on one common timeline: the wall clock in runs of separate
processes, the test's clock in state machines.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Something that happened at a moment."""

    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupAssigned(Record):
    """A group became live.

    Attributes:
        group: Group id.
        epoch: Offset of the assign record.
        members: Instance ids.
    """

    group: str
    epoch: int
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupDissolved(Record):
    """A group is no longer live."""

    group: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberLost(Record):
    """A member of a group stopped serving it."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberBack(Record):
    """An instance serves its group again."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkStarted(Record):
    """An upstream began to run a request.

    Attributes:
        upstream: Group id or address.
        zone: Zone of the upstream.
        request: Request id.
        key: Idempotency key with its fleet and team; empty if none.
        non_idempotent: Whether it may run at most once.
        in_flight: Requests in flight there, this one included.
        limit: What the upstream bore at that moment; 0 for no limit.
    """

    upstream: str
    zone: str
    request: str
    key: str = ""
    non_idempotent: bool = False
    in_flight: int = 1
    limit: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkCutOff(Record):
    """A request in progress was ended by a planned stop."""

    request: str
    stopped: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswered(Record):
    """What a caller got.

    Attributes:
        request: Request id.
        outcome: `answered`, `not-run` or `unknown`.
        complete: Whether the answer was presented as complete.
        received: Digest of the bytes that arrived.
        produced: Digest of the bytes produced for this request; empty if the
            observer can't know them.
    """

    request: str
    outcome: str
    complete: bool = False
    received: str = ""
    produced: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneTakenOut(Record):
    """Operators' drain of a zone was accepted."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneReturned(Record):
    """A zone may take new work again."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLeaving(Record):
    """An upstream announced that it leaves."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeAccepted(Record):
    """An operator was told that a change is accepted.

    Attributes:
        offset: Offset of the change in the log.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryState(Record):
    """What an entry had in force at a moment.

    Attributes:
        entry: Start id of the entry.
        offset: Offset in force.
        digest: Digest of the state at that offset.
        takes_work: Whether it takes new requests.
    """

    entry: str
    offset: int
    digest: str = ""
    takes_work: bool = True
