"""What each reader entry says of groups and of unassigned instances."""

import dataclasses
from typing import Any

from oleanderbay.process.observation import members
from oleanderbay.version import resources

# What a reader says is dropped when it was not renewed for so long.
READER_MAX_AGE_MS = members.REPORT_MAX_AGE_MS

# A judgement whose oldest report is younger need not be sent again, so where a
# reader sends only changes every report is taken to be at least this old.
ASSUMED_REPORT_AGE_MS = 1_000

# Age of a member's report plus the age of the reader's judgement.
GROUP_STATE_MAX_AGE_MS = members.REPORT_MAX_AGE_MS


class InvalidUpdateError(Exception):
    """A message about group_states that can't be used."""


@dataclasses.dataclass(slots=True)
class Reader:
    """What one reader entry said.

    Attributes:
        sequence: Number of its last message.
        full: Whether that message held everything.
        at_ms: Local time up to which what it says is known to hold.
        groups: Its judgement by group id.
        idle: State (`idle`, `busy` or `silent`) of unassigned instances.
    """

    sequence: int = 0
    full: bool = False
    at_ms: int = 0
    groups: dict[str, members.GroupState] = dataclasses.field(
        default_factory=dict
    )
    idle: dict[str, str] = dataclasses.field(default_factory=dict)

    def min_report_age_ms(self, state: members.GroupState) -> int:
        """Age that the oldest report had when the last message was made."""
        if self.full:
            return state.age_ms
        return max(ASSUMED_REPORT_AGE_MS, state.age_ms)


def pack_state(state: members.GroupState) -> list[Any]:
    """Returns a judgement as msgpack can carry it."""
    row = [getattr(state, name) for name in members.GroupState.__slots__]
    row[_STATUS] = state.status.value
    row[_MISSING] = {k: list(v) for k, v in state.missing.items()}
    return row


def unpack_state(row: Any) -> members.GroupState:
    """Reads a judgement.

    Raises:
        InvalidUpdateError: It is malformed.
    """
    try:
        fields = dict(zip(members.GroupState.__slots__, row, strict=True))
        fields["status"] = members.Status(fields["status"])
        fields["missing"] = {
            str(id): (int(since), bool(heard))
            for id, (since, heard) in fields["missing"].items()
        }
        for name, kind in _KINDS.items():
            if not isinstance(fields[name], kind):
                raise TypeError(f"{name} is {fields[name]!r}")
        return members.GroupState(**fields)
    except (AttributeError, TypeError, ValueError) as error:
        raise InvalidUpdateError(f"invalid group state: {error}") from error


_STATUS = members.GroupState.__slots__.index("status")
_MISSING = members.GroupState.__slots__.index("missing")
_KINDS: dict[str, Any] = {
    "epoch": int,
    "reason": str,
    "start_id": str,
    "running": int,
    "queued": int,
    "served": int,
    "cold": bool,
    "time_to_first_token_ms": (int, float),
    "time_per_token_ms": (int, float),
    "cache_sequence": int,
    "unready": int,
    "slow": str,
    "age_ms": int,
}


class GroupStates:
    """What all readers say, by the start id of the reader."""

    def __init__(self) -> None:
        self.readers: dict[str, Reader] = {}

    def drop_stale(self, now_ms: int) -> None:
        """Forgets readers that have not been heard for long."""
        for origin, reader in list(self.readers.items()):
            if now_ms - reader.at_ms > 10 * READER_MAX_AGE_MS:
                del self.readers[origin]

    def fresh_readers(self, now_ms: int) -> list[Reader]:
        """Returns the readers whose judgements still hold."""
        return [
            reader
            for reader in self.readers.values()
            if now_ms - reader.at_ms <= READER_MAX_AGE_MS
        ]

    def fresh_states(
        self, group: str, epoch: int, now_ms: int
    ) -> list[members.GroupState]:
        """Returns the judgements on one epoch of a group that still hold."""
        return [
            state
            for reader in self.fresh_readers(now_ms)
            if (state := reader.groups.get(group))
            and state.epoch == epoch
            and (
                state.status is not members.Status.OK
                or now_ms - reader.at_ms + reader.min_report_age_ms(state)
                < GROUP_STATE_MAX_AGE_MS
            )
        ]

    def is_serving(self, group: resources.ServingGroup, now_ms: int) -> bool:
        """Whether any reader says that a group is complete and healthy."""
        return any(
            state.status is members.Status.OK
            for state in self.fresh_states(group.id, group.epoch, now_ms)
        )

    def unassigned_state(self, instance: str, now_ms: int) -> str:
        """Returns `idle`, `busy`, `silent`, or `unknown` if nobody reads it."""
        found = {
            reader.idle[instance]
            for reader in self.fresh_readers(now_ms)
            if instance in reader.idle
        }
        # One reader that cannot reach it proves nothing about the other.
        for state in ("busy", "idle", "silent"):
            if state in found:
                return state
        return "unknown"

    def apply_update(self, body: Any, now_ms: int) -> bool | None:
        """Takes in an update.

        Args:
            body: `origin`, `sequence`, `age_ms`, `full`, `groups`, `gone`
                and `idle`.
            now_ms: Local time.

        Returns:
            True if it is news, False if it was known, None if updates before
            it are missing.

        Raises:
            InvalidUpdateError: The body is malformed.
        """
        try:
            origin = str(body["origin"])
            sequence = int(body["sequence"])
            at_ms = now_ms - max(0, int(body["age_ms"]))
            full = bool(body["full"])
            groups = {
                str(id): unpack_state(row) for id, row in body["groups"].items()
            }
            gone = [str(id) for id in body["gone"]]
            idle = {str(id): str(state) for id, state in body["idle"].items()}
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise InvalidUpdateError(f"invalid update: {error!r}") from error
        reader = self.readers.get(origin)
        known = reader.sequence if reader else 0
        if sequence <= known:
            return False
        if not full and sequence != known + 1:
            return None
        if reader is None:
            reader = self.readers[origin] = Reader()
        if full:
            reader.groups = {}
        reader.groups.update(groups)
        for id in gone:
            reader.groups.pop(id, None)
        reader.idle = idle
        reader.sequence = sequence
        reader.full = full
        reader.at_ms = max(reader.at_ms, at_ms)
        return True

    def full_update(self, origin: str, now_ms: int) -> dict[str, Any] | None:
        """Returns everything a reader said, as an update."""
        reader = self.readers.get(origin)
        if reader is None:
            return None
        return {
            "origin": origin,
            "sequence": reader.sequence,
            "age_ms": now_ms - reader.at_ms,
            "full": True,
            "groups": {id: pack_state(s) for id, s in reader.groups.items()},
            "gone": [],
            "idle": dict(reader.idle),
        }
