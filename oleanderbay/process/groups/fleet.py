"""The situation that group decisions start from, as this entry sees it."""

import dataclasses
from collections.abc import Collection

from oleanderbay.native import interfaces as native
from oleanderbay.process import interfaces
from oleanderbay.process.observation import group_states, inventory, members
from oleanderbay.version import resources
from oleanderbay.version import situation as situations

# A group is repaired only after a member was silent for so long, so that one
# flap does not rebuild it. A member that answers and has lost its role, for
# example by a restart, cannot come back by itself and is lost at once.
LOST_AFTER_MS = 10_000

# Once one member of a domain is lost, others that have been missing for half
# of the time are taken to be part of the same event.
SAME_EVENT_MS = LOST_AFTER_MS // 2


def roll_of(
    view: interfaces.CatalogueView, service: str
) -> resources.PlannedChange | None:
    """Returns the roll of a service that is under way."""
    for change in view.all("planned_change"):
        if (
            isinstance(change, resources.PlannedChange)
            and change.kind is resources.ChangeKind.ROLL_MODEL
            and change.service == service
            and not change.stage.is_final
            and change.stage is not resources.ChangeStage.PENDING
        ):
            return change
    return None


def services(
    view: interfaces.CatalogueView,
) -> dict[str, resources.Service]:
    """Returns services with the version that new groups are to load."""
    found = {}
    for service in view.all("service"):
        assert isinstance(service, resources.Service)
        roll = roll_of(view, service.id)
        if roll is not None:
            service = dataclasses.replace(
                service,
                model_version=roll.model_version or service.model_version,
                adapter=roll.adapter or service.adapter,
            )
        found[service.id] = service
    return found


def groups(
    view: interfaces.CatalogueView,
) -> tuple[resources.ServingGroup, ...]:
    """Returns the live groups."""
    return tuple(
        group
        for group in view.all("serving_group")
        if isinstance(group, resources.ServingGroup)
    )


def wanted_groups(view: interfaces.CatalogueView, service: str) -> int:
    """Returns how many groups of a service are requested."""
    return sum(
        request.groups
        for request in view.all("group_request")
        if isinstance(request, resources.GroupRequest)
        and request.service == service
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """Zones and instances that get no new groups.

    Attributes:
        zones: Zone ids.
        instances: Instance ids.
    """

    zones: frozenset[str]
    instances: frozenset[str]

    def holds(self, group: resources.ServingGroup) -> bool:
        """Whether a group has to go."""
        return group.zone in self.zones or not self.instances.isdisjoint(
            group.members
        )


def stopped(
    view: interfaces.CatalogueView, listing: inventory.Inventory
) -> Outgoing:
    """Returns what takes no new work already."""
    return Outgoing(
        view.drained_zones(),
        view.retired_instances() | listing.leaving_instances(),
    )


def outgoing(
    view: interfaces.CatalogueView, listing: inventory.Inventory
) -> Outgoing:
    """Returns what is stopped or is about to be.

    A drain with a start time counts from `preparing`, while its zone still
    takes work, so that capacity is made elsewhere before it is broken.
    """
    now = stopped(view, listing)
    zones, instances = set(now.zones), set(now.instances)
    for change in view.all("planned_change"):
        assert isinstance(change, resources.PlannedChange)
        if change.stage is resources.ChangeStage.PREPARING:
            instances.update(change.instances)
            if change.kind is resources.ChangeKind.DRAIN_ZONE:
                zones.add(change.zone)
    return Outgoing(frozenset(zones), frozenset(instances))


def situation(
    view: interfaces.CatalogueView,
    listing: inventory.Inventory,
    seen: group_states.GroupStates,
    store: native.WeightStoreState | None,
    now_ms: int,
    wall_ms: int,
    replaced: Collection[str] = (),
    avoided: Collection[str] = (),
    emptied: Collection[str] = (),
) -> situations.Situation:
    """Builds the situation.

    Args:
        view: Catalogue in force.
        listing: Instance list as last read.
        seen: What the readers say.
        store: State of the weight store; None if there is none.
        now_ms: Local time.
        wall_ms: Wall time, which a record would carry.
        replaced: Ids of further groups that are replaced by others.
        avoided: Instances that no group gets, for example slow ones.
        emptied: Ids of stopped groups that have no requests in flight; one
            whose zone stays gets spares for the members that go.

    Returns:
        What `placement.decide` takes.
    """
    going = outgoing(view, listing)
    live = groups(view)
    leaving = {
        group.id
        for group in live
        if going.holds(group)
        and (group.id not in emptied or group.zone in going.zones)
    }
    gone = {
        member
        for group in live
        if group.id in emptied and group.id not in leaving
        for member in group.members
        if member in going.instances
    }
    by_id = services(view)
    missing: dict[str, tuple[int, bool]] = {}
    loading_bytes = 0
    domain_of: dict[str, str] = {}
    for group in live:
        for member in group.members:
            domain_of[member] = group.domain
        states = seen.fresh_states(group.id, group.epoch, now_ms)
        if not states:
            continue
        # A member is missing only if every reader misses it.
        for member in set.intersection(*(set(s.missing) for s in states)):
            missing[member] = min(s.missing[member] for s in states)
        service = by_id.get(group.service)
        best = min(states, key=lambda state: state.unready)
        if service is not None and best.status is members.Status.LOADING:
            loading_bytes += service.weight_bytes * best.unready
    lost = _lost(missing, domain_of)
    nodes = _nodes(view, listing, seen, going, now_ms)
    for member, (_, answers) in missing.items():
        if not answers:
            nodes.pop(member, None)
    for instance in avoided:
        nodes.pop(instance, None)
    quarantined = {
        id for id, until in view.quarantine.items() if until > wall_ms
    }
    taken = {member for group in live for member in group.members}
    for id in nodes:
        # Streams of a dissolved group end before its members are reused.
        if id not in taken and seen.unassigned_state(id, now_ms) != "idle":
            quarantined.add(id)
    return situations.Situation(
        nodes=nodes,
        groups=live,
        requests=tuple(
            request
            for request in view.all("group_request")
            if isinstance(request, resources.GroupRequest)
        ),
        services=by_id,
        lost=lost | gone,
        leaving=frozenset(leaving.union(replaced)),
        quarantined=frozenset(quarantined),
        rate_bytes_per_s=(
            store.rate_bytes_per_s if store is not None else 1 << 40
        ),
        loading_bytes=loading_bytes,
    )


def _lost(
    missing: dict[str, tuple[int, bool]], domain_of: dict[str, str]
) -> frozenset[str]:
    first = {
        domain_of[member]
        for member, (since, _) in missing.items()
        if since >= LOST_AFTER_MS
    }
    return frozenset(
        member
        for member, (since, answers) in missing.items()
        if answers
        or since >= LOST_AFTER_MS
        or (since >= SAME_EVENT_MS and domain_of[member] in first)
    )


def _nodes(
    view: interfaces.CatalogueView,
    listing: inventory.Inventory,
    seen: group_states.GroupStates,
    going: Outgoing,
    now_ms: int,
) -> dict[str, situations.Node]:
    zones = inventory.zone_ids(view)
    domains = inventory.domain_ids(view)
    nodes = {}
    for line in listing.engine_instances():
        zone = zones.get(line.zone, line.zone)
        if (
            line.id in going.instances
            or zone in going.zones
            or seen.unassigned_state(line.id, now_ms) == "silent"
        ):
            continue
        domain = domains.get(line.domain, line.domain)
        nodes[line.id] = situations.Node(id=line.id, domain=domain, zone=zone)
    return nodes
