"""Builds the input of placement decisions from what this entry knows."""

import dataclasses
from collections.abc import Collection

from oleanderbay.native import interfaces as native
from oleanderbay.process import interfaces
from oleanderbay.process.observation import group_states, inventory, members
from oleanderbay.version import resources
from oleanderbay.version import situation as situations

# A member counts as lost after it has been silent for this long, so that a
# short outage does not rebuild its group. A member that answers but has lost
# its role, for example by a restart, can't recover by itself and counts as
# lost at once.
LOST_AFTER_MS = 10_000

# Once one member in a domain is lost, other members there that have been
# missing for half of that time are attributed to the same event and count as
# lost, too.
CORRELATED_LOSS_MS = LOST_AFTER_MS // 2


def active_rollout(
    view: interfaces.CatalogueView, service: str
) -> resources.PlannedChange | None:
    """Returns the rolling update of a service that has started, if any."""
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


def target_services(
    view: interfaces.CatalogueView,
) -> dict[str, resources.Service]:
    """Returns services by id, with the model version for new groups.

    During a rolling update, its model version and adapter replace those of
    the service.
    """
    services = {}
    for service in view.all("service"):
        assert isinstance(service, resources.Service)
        roll = active_rollout(view, service.id)
        if roll is not None:
            service = dataclasses.replace(
                service,
                model_version=roll.model_version or service.model_version,
                adapter=roll.adapter or service.adapter,
            )
        services[service.id] = service
    return services


def live_groups(
    view: interfaces.CatalogueView,
) -> tuple[resources.ServingGroup, ...]:
    """Returns the serving groups in the catalogue."""
    return tuple(
        group
        for group in view.all("serving_group")
        if isinstance(group, resources.ServingGroup)
    )


def requested_groups(view: interfaces.CatalogueView, service: str) -> int:
    """Returns how many groups of a service are requested in total."""
    return sum(
        request.groups
        for request in view.all("group_request")
        if isinstance(request, resources.GroupRequest)
        and request.service == service
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Removals:
    """Zones and instances that are taken out of use and get no new groups.

    Attributes:
        zones: Zone ids.
        instances: Instance ids.
    """

    zones: frozenset[str]
    instances: frozenset[str]

    def affects(self, group: resources.ServingGroup) -> bool:
        """Whether any of the zones or instances belongs to a group."""
        return group.zone in self.zones or not self.instances.isdisjoint(
            group.members
        )


def active_removals(
    view: interfaces.CatalogueView, instance_inventory: inventory.Inventory
) -> Removals:
    """Returns the zones and instances that already take no new work."""
    return Removals(
        view.drained_zones(),
        view.retired_instances() | instance_inventory.leaving_instances(),
    )


def expected_removals(
    view: interfaces.CatalogueView, instance_inventory: inventory.Inventory
) -> Removals:
    """Returns the active removals and those that are being prepared.

    A planned change counts from its stage `preparing`, while its groups still
    take work, so that their replacements are formed before they stop.
    """
    active = active_removals(view, instance_inventory)
    zones, instances = set(active.zones), set(active.instances)
    for change in view.all("planned_change"):
        assert isinstance(change, resources.PlannedChange)
        if change.stage is resources.ChangeStage.PREPARING:
            instances.update(change.instances)
            if change.kind is resources.ChangeKind.DRAIN_ZONE:
                zones.add(change.zone)
    return Removals(frozenset(zones), frozenset(instances))


def build_situation(
    view: interfaces.CatalogueView,
    instance_inventory: inventory.Inventory,
    reported_states: group_states.GroupStates,
    weight_store: native.WeightStoreState | None,
    now_ms: int,
    wall_ms: int,
    replaced: Collection[str] = (),
    excluded: Collection[str] = (),
    idle_groups: Collection[str] = (),
) -> situations.Situation:
    """Builds the input of `placement.decide`.

    Args:
        view: Catalogue in force.
        instance_inventory: Instance list as last read.
        reported_states: Member states reported by the readers.
        weight_store: State of the weight store; None if there is none.
        now_ms: Local time.
        wall_ms: Wall-clock time, as a record appended now would carry it.
        replaced: Ids of further groups that are replaced by others.
        excluded: Ids of instances that are not assigned to groups, for example
            slow ones.
        idle_groups: Ids of stopped groups without requests in flight. Unless
            its zone is removed, such a group gets spares for its members that
            are removed.
    """
    removals = expected_removals(view, instance_inventory)
    live = live_groups(view)
    leaving = {
        group.id
        for group in live
        if removals.affects(group)
        and (group.id not in idle_groups or group.zone in removals.zones)
    }
    removed_members = {
        member
        for group in live
        if group.id in idle_groups and group.id not in leaving
        for member in group.members
        if member in removals.instances
    }
    services = target_services(view)
    missing: dict[str, tuple[int, bool]] = {}
    loading_bytes = 0
    domain_of: dict[str, str] = {}
    for group in live:
        for member in group.members:
            domain_of[member] = group.domain
        states = reported_states.fresh_states(group.id, group.epoch, now_ms)
        if not states:
            continue
        # A member is missing only if every reader reports it so.
        for member in set.intersection(*(set(s.missing) for s in states)):
            missing[member] = min(s.missing[member] for s in states)
        service = services.get(group.service)
        state = min(states, key=lambda s: s.unready)
        if service is not None and state.status is members.Status.LOADING:
            loading_bytes += service.weight_bytes * state.unready
    lost = _lost_members(missing, domain_of)
    nodes = _available_nodes(
        view, instance_inventory, reported_states, removals, now_ms
    )
    for member, (_, answers) in missing.items():
        if not answers:
            nodes.pop(member, None)
    for instance in excluded:
        nodes.pop(instance, None)
    quarantined = {
        id for id, until in view.quarantine.items() if until > wall_ms
    }
    assigned = {member for group in live for member in group.members}
    for id in nodes:
        # Members of a dissolved group are reused only after its streams ended.
        if (
            id not in assigned
            and reported_states.unassigned_state(id, now_ms) != "idle"
        ):
            quarantined.add(id)
    return situations.Situation(
        nodes=nodes,
        groups=live,
        requests=tuple(
            request
            for request in view.all("group_request")
            if isinstance(request, resources.GroupRequest)
        ),
        services=services,
        lost=lost | removed_members,
        leaving=frozenset(leaving.union(replaced)),
        quarantined=frozenset(quarantined),
        rate_bytes_per_s=(
            weight_store.rate_bytes_per_s
            if weight_store is not None
            else 1 << 40
        ),
        loading_bytes=loading_bytes,
    )


def _lost_members(
    missing: dict[str, tuple[int, bool]], domain_of: dict[str, str]
) -> frozenset[str]:
    lost_domains = {
        domain_of[member]
        for member, (since, _) in missing.items()
        if since >= LOST_AFTER_MS
    }
    return frozenset(
        member
        for member, (since, answers) in missing.items()
        if answers
        or since >= LOST_AFTER_MS
        or (since >= CORRELATED_LOSS_MS and domain_of[member] in lost_domains)
    )


def _available_nodes(
    view: interfaces.CatalogueView,
    instance_inventory: inventory.Inventory,
    reported_states: group_states.GroupStates,
    removals: Removals,
    now_ms: int,
) -> dict[str, situations.Node]:
    zones = inventory.zone_ids(view)
    domains = inventory.domain_ids(view)
    nodes = {}
    for instance in instance_inventory.engine_instances():
        zone = zones.get(instance.zone, instance.zone)
        if (
            instance.id in removals.instances
            or zone in removals.zones
            or reported_states.unassigned_state(instance.id, now_ms) == "silent"
        ):
            continue
        domain = domains.get(instance.domain, instance.domain)
        nodes[instance.id] = situations.Node(
            id=instance.id, domain=domain, zone=zone
        )
    return nodes
