"""Workers as described by their records, and the serving groups they form."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping


class MemberState(enum.Enum):
    """State of a worker within its serving group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """A worker's membership in a serving group.

    Attributes:
        group: Name of the group.
        epoch: Epoch of the group.
        rank: Index in the group's list of members; 0 is the head.
        state: State of this member.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """A worker, as of its latest record.

    Attributes:
        id: Id of the worker.
        service: Name of its service.
        address: `host:port`.
        zone: Its availability zone.
        domain: Its fabric domain; empty if it has none.
        slots: Number of requests that it serves concurrently.
        draining: Whether it is draining and must get no new requests.
        remaining_cold_ms: Remaining time of its cold start when the record
            was written.
        started_ms: Wall-clock time of its start.
        sequence: Number of orders that it has accepted.
        models: Names of the models that it has loaded.
        staged: Names of the models that are stored on its host.
        membership: Its group membership; None if it belongs to no group.
    """

    id: str
    service: str
    address: str
    zone: str
    domain: str = ""
    slots: int = 1
    draining: bool = False
    remaining_cold_ms: int = 0
    started_ms: int = 0
    sequence: int = 0
    models: tuple[str, ...] = ()
    staged: frozenset[str] = frozenset()
    membership: Membership | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """A serving group, assembled from the records of its members.

    Attributes:
        name: Name of the group.
        epoch: Epoch of the group.
        service: Name of its service.
        model: Model that it serves; empty if no member reports one.
        members: Its known members by rank.
    """

    name: str
    epoch: int
    service: str
    model: str
    members: Mapping[int, Worker]

    @property
    def head(self) -> Worker | None:
        """The member that serves requests; None if it is not known."""
        return self.members.get(0)

    @property
    def open(self) -> bool:
        """Whether the head reports that the group is open for requests."""
        return (
            self.head is not None
            and self.head.membership is not None
            and self.head.membership.state is MemberState.OPEN
        )

    def complete(self, size: int) -> bool:
        """Whether all of the group's `size` members are known."""
        return all(rank in self.members for rank in range(size))


def group_key(membership: Membership | None) -> tuple[str, int] | None:
    """Returns the name and epoch of a member's group; None for none."""
    if membership is None:
        return None
    return membership.group, membership.epoch


def build_groups(workers: Iterable[Worker]) -> dict[tuple[str, int], Group]:
    """Assembles the groups, by name and epoch, from workers' records."""
    members: dict[tuple[str, int], dict[int, Worker]] = {}
    for worker in workers:
        if worker.membership is not None:
            key = (worker.membership.group, worker.membership.epoch)
            members.setdefault(key, {})[worker.membership.rank] = worker
    found = {}
    for (name, epoch), ranks in members.items():
        model = next((w.models[0] for w in ranks.values() if w.models), "")
        service = next(iter(ranks.values())).service
        found[name, epoch] = Group(
            name=name,
            epoch=epoch,
            service=service,
            model=model,
            members=ranks,
        )
    return found
