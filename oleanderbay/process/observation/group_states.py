"""States of groups and unassigned instances, as received from each reader."""

import dataclasses
from typing import Any

from oleanderbay.process.observation import members
from oleanderbay.version import resources

# States from a reader are ignored when its last update is older than this.
READER_MAX_AGE_MS = members.REPORT_MAX_AGE_MS

# A reader that sends only changes need not send a state again while its oldest
# report is younger than this. Receivers therefore assume that reports from such
# a reader are at least this old.
ASSUMED_REPORT_AGE_MS = 1_000

# Maximum age of the oldest member report plus the time since the reader's
# update. An older group state does not make its group eligible.
GROUP_STATE_MAX_AGE_MS = members.REPORT_MAX_AGE_MS


class InvalidUpdateError(Exception):
    """An update or a group state is malformed."""


@dataclasses.dataclass(slots=True)
class Reader:
    """States received from one reader entry.

    Attributes:
        sequence: Sequence number of its last update.
        full: Whether this update contained the states of all its groups.
        as_of_ms: Local time at which the states were last known to be current.
        groups: Group states by group id.
        unassigned: State (`idle`, `busy` or `silent`) of unassigned instances.
    """

    sequence: int = 0
    full: bool = False
    as_of_ms: int = 0
    groups: dict[str, members.GroupState] = dataclasses.field(
        default_factory=dict
    )
    unassigned: dict[str, str] = dataclasses.field(default_factory=dict)

    def min_report_age_ms(self, state: members.GroupState) -> int:
        """Lower bound of the oldest report's age at the time of the update."""
        if self.full:
            return state.age_ms
        return max(ASSUMED_REPORT_AGE_MS, state.age_ms)


def pack_state(state: members.GroupState) -> list[Any]:
    """Converts a group state to a list that msgpack can encode."""
    row = [getattr(state, name) for name in members.GroupState.__slots__]
    row[_STATUS_INDEX] = state.status.value
    row[_MISSING_INDEX] = {k: list(v) for k, v in state.missing.items()}
    return row


def unpack_state(row: Any) -> members.GroupState:
    """Converts a list to a group state.

    Raises:
        InvalidUpdateError: The list is malformed.
    """
    try:
        fields = dict(zip(members.GroupState.__slots__, row, strict=True))
        fields["status"] = members.Status(fields["status"])
        fields["missing"] = {
            str(id): (int(unhealthy_ms), bool(is_fresh))
            for id, (unhealthy_ms, is_fresh) in fields["missing"].items()
        }
        for name, expected in _FIELD_TYPES.items():
            if not isinstance(fields[name], expected):
                raise TypeError(f"{name} is {fields[name]!r}")
        return members.GroupState(**fields)
    except (AttributeError, TypeError, ValueError) as error:
        raise InvalidUpdateError(f"invalid group state: {error}") from error


_STATUS_INDEX = members.GroupState.__slots__.index("status")
_MISSING_INDEX = members.GroupState.__slots__.index("missing")
_FIELD_TYPES: dict[str, Any] = {
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
    """Holds the states from all readers, by start id of the reader."""

    def __init__(self) -> None:
        self.readers: dict[str, Reader] = {}

    def drop_stale(self, now_ms: int) -> None:
        """Drops readers whose last update is long out of date."""
        for origin, reader in list(self.readers.items()):
            if now_ms - reader.as_of_ms > 10 * READER_MAX_AGE_MS:
                del self.readers[origin]

    def fresh_readers(self, now_ms: int) -> list[Reader]:
        """Returns the readers with an update recent enough to be used."""
        return [
            reader
            for reader in self.readers.values()
            if now_ms - reader.as_of_ms <= READER_MAX_AGE_MS
        ]

    def fresh_states(
        self, group: str, epoch: int, now_ms: int
    ) -> list[members.GroupState]:
        """Returns the states of a group at one epoch that are recent enough."""
        return [
            state
            for reader in self.fresh_readers(now_ms)
            if (state := reader.groups.get(group))
            and state.epoch == epoch
            and (
                state.status is not members.Status.OK
                or now_ms - reader.as_of_ms + reader.min_report_age_ms(state)
                < GROUP_STATE_MAX_AGE_MS
            )
        ]

    def is_serving(self, group: resources.ServingGroup, now_ms: int) -> bool:
        """Whether any reader reports a group complete and healthy."""
        return any(
            state.status is members.Status.OK
            for state in self.fresh_states(group.id, group.epoch, now_ms)
        )

    def unassigned_state(self, instance: str, now_ms: int) -> str:
        """Returns the state of an unassigned instance.

        It is `idle`, `busy`, `silent`, or `unknown` if no entry reads it.
        """
        reported = {
            reader.unassigned[instance]
            for reader in self.fresh_readers(now_ms)
            if instance in reader.unassigned
        }
        # A reader that cannot reach the instance does not outweigh one that
        # can.
        for state in ("busy", "idle", "silent"):
            if state in reported:
                return state
        return "unknown"

    def apply_update(self, body: Any, now_ms: int) -> bool | None:
        """Applies an update from a reader.

        Args:
            body: `origin`, `sequence`, `age_ms`, `full`, `groups`, `gone`
                and `idle`.
            now_ms: Local time.

        Returns:
            True if it is new, False if it was already applied, None if
            earlier updates are missing.

        Raises:
            InvalidUpdateError: The body is malformed.
        """
        try:
            origin = str(body["origin"])
            sequence = int(body["sequence"])
            as_of_ms = now_ms - max(0, int(body["age_ms"]))
            full = bool(body["full"])
            groups = {
                str(id): unpack_state(row) for id, row in body["groups"].items()
            }
            gone = [str(id) for id in body["gone"]]
            unassigned = {
                str(id): str(state) for id, state in body["idle"].items()
            }
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise InvalidUpdateError(f"invalid update: {error!r}") from error
        reader = self.readers.get(origin)
        last_sequence = reader.sequence if reader else 0
        if sequence <= last_sequence:
            return False
        if not full and sequence != last_sequence + 1:
            return None
        if reader is None:
            reader = self.readers[origin] = Reader()
        if full:
            reader.groups = {}
        reader.groups.update(groups)
        for id in gone:
            reader.groups.pop(id, None)
        reader.unassigned = unassigned
        reader.sequence = sequence
        reader.full = full
        reader.as_of_ms = max(reader.as_of_ms, as_of_ms)
        return True

    def full_update(self, origin: str, now_ms: int) -> dict[str, Any] | None:
        """Returns all states from a reader as an update, None if unknown."""
        reader = self.readers.get(origin)
        if reader is None:
            return None
        return {
            "origin": origin,
            "sequence": reader.sequence,
            "age_ms": now_ms - reader.as_of_ms,
            "full": True,
            "groups": {id: pack_state(s) for id, s in reader.groups.items()},
            "gone": [],
            "idle": dict(reader.unassigned),
        }
