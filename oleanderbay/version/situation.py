"""What placement decides from, and its decisions, as frozen data classes."""

import dataclasses
from collections.abc import Mapping

from oleanderbay.version import resources


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """An instance that may serve.

    Attributes:
        id: Instance id.
        domain: Fabric domain.
        zone: Zone id.
    """

    id: str
    domain: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Situation:
    """Everything that a decision depends on.

    Attributes:
        nodes: Instances that may serve, by id: listed, alive, neither retired
            nor in a drained zone.
        groups: Live groups.
        requests: Group requests.
        services: Services by id.
        lost: Members to be replaced; a member that may take its own place
            again is in `nodes` as well.
        leaving: Ids of groups that a planned change empties. They count for
            nothing and are not repaired.
        quarantined: Instances that a new group can't use yet.
        rate_bytes_per_s: Rate of the weight store; 0 while it is stalled.
        loading_bytes: Loads that are ordered and not done.
    """

    nodes: Mapping[str, Node]
    groups: tuple[resources.ServingGroup, ...]
    requests: tuple[resources.GroupRequest, ...]
    services: Mapping[str, resources.Service]
    lost: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    quarantined: frozenset[str] = frozenset()
    rate_bytes_per_s: int = 10_000_000_000
    loading_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Formation:
    """A group to assign.

    Attributes:
        request: The group request.
        service: The service as it is to be loaded.
        group: Id of the group that is repaired; empty for a new group.
        domain: Fabric domain.
        zone: Zone id.
        members: Instance ids by rank.
        load_bytes: Weights that are loaded for it.
        replaces: Id of a group that is dissolved for it; may be empty.
    """

    request: resources.GroupRequest
    service: resources.Service
    group: str
    domain: str
    zone: str
    members: tuple[str, ...]
    load_bytes: int
    replaces: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dissolution:
    """A group to dissolve, and why."""

    group: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pending:
    """Groups of a request that can't be formed at present.

    Attributes:
        request: Id of the group request.
        groups: How many.
        shape: Instances that one needs.
        reason: Why, for people.
        nearest_shape: Largest group that some permitted domain could hold.
        nearest_domain: That domain; empty if there is none.
    """

    request: str
    groups: int
    shape: int
    reason: str
    nearest_shape: int = 0
    nearest_domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What to propose now; formations are in the order of their loads."""

    formations: tuple[Formation, ...] = ()
    dissolutions: tuple[Dissolution, ...] = ()
    pending: tuple[Pending, ...] = ()
