"""Workers as their own records describe them, and the groups they form."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping


class MemberState(enum.Enum):
    """State of a worker within its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """The group that a worker is in.

    Attributes:
        group: Name of the group.
        epoch: Epoch of the group.
        rank: Position in the list of members; 0 is the head.
        state: State of this member.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """One worker.

    Attributes:
        id: The worker's id.
        service: Name of its service.
        address: `host:port`.
        zone: Its availability zone.
        domain: Its fabric domain; empty if it has none.
        slots: Requests that it serves at once.
        draining: Whether it leaves.
        cold_ms: How much longer it stays cold, when the record was written.
        born_ms: Wall time of its start.
        sequence: Number of orders that it has accepted.
        models: Names of the models that it has loaded.
        staged: Models on its host.
        membership: Its group; None if it is in none.
    """

    id: str
    service: str
    address: str
    zone: str
    domain: str = ""
    slots: int = 1
    draining: bool = False
    cold_ms: int = 0
    born_ms: int = 0
    sequence: int = 0
    models: tuple[str, ...] = ()
    staged: frozenset[str] = frozenset()
    membership: Membership | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """A group put together from the records of its members.

    Attributes:
        name: Name of the group.
        epoch: Epoch of the group.
        service: Name of its service.
        model: Model that it serves; empty if no member tells it.
        members: Its known members by rank.
    """

    name: str
    epoch: int
    service: str
    model: str
    members: Mapping[int, Worker]

    @property
    def head(self) -> Worker | None:
        """The member that serves requests, if it is known."""
        return self.members.get(0)

    @property
    def open(self) -> bool:
        """Whether the head says that it serves."""
        return (
            self.head is not None
            and self.head.membership is not None
            and self.head.membership.state is MemberState.OPEN
        )

    def complete(self, size: int) -> bool:
        """Whether each of `size` members is known."""
        return all(rank in self.members for rank in range(size))


def groups_of(workers: Iterable[Worker]) -> dict[tuple[str, int], Group]:
    """Returns groups by name and epoch from the records of workers."""
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
