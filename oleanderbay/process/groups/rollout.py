"""Chooses the groups that a rolling update replaces next.

A rolling update (`ROLL_MODEL`) gives the groups of a service another model
version or adapter.
"""

import dataclasses

from oleanderbay.process import interfaces
from oleanderbay.process.groups import fleet_state
from oleanderbay.process.observation import group_states
from oleanderbay.version import resources


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStep:
    """The next step of all active rolling updates.

    Attributes:
        replaced: Ids of groups that do not count towards the requested
            number, so that replacements are formed for them.
        stopped: Reasons for dissolving groups now, by group id.
    """

    replaced: frozenset[str]
    stopped: dict[str, str]


def has_target_version(
    group: resources.ServingGroup, service: resources.Service
) -> bool:
    """Whether a group has the model version and adapter of its service."""
    return (group.model_version, group.adapter) == (
        service.model_version,
        service.adapter,
    )


def next_step(
    view: interfaces.CatalogueView,
    reported_states: group_states.GroupStates,
    expandable: frozenset[str],
    now_ms: int,
) -> RolloutStep:
    """Chooses at most one group of each service under a rolling update.

    Args:
        view: Catalogue in force.
        reported_states: Member states reported by the readers.
        expandable: Ids of services for which one more group can be formed.
        now_ms: Local time.
    """
    replaced: set[str] = set()
    stopped: dict[str, str] = {}
    services = fleet_state.target_services(view)
    live_groups = fleet_state.live_groups(view)
    for id, service in sorted(services.items()):
        change = fleet_state.active_rollout(view, id)
        if change is None:
            continue
        own_groups = [group for group in live_groups if group.service == id]
        outdated = [
            group
            for group in own_groups
            if not has_target_version(group, service)
        ]
        updated = [
            group for group in own_groups if has_target_version(group, service)
        ]
        serving = {
            group.id
            for group in own_groups
            if reported_states.is_serving(group, now_ms)
        }
        requested = fleet_state.requested_groups(view, id)
        if not outdated:
            continue
        # Groups that do not serve go first, as this costs no capacity.
        outdated.sort(key=lambda g: (g.id in serving, g.epoch))
        first = outdated[0]
        if any(group.id not in serving for group in updated):
            # Replace no further group before every new one serves.
            if len(own_groups) > requested:
                replaced.add(first.id)
            continue
        if len(own_groups) > requested:
            stopped[first.id] = f"{change.id}: a new group serves instead"
            replaced.add(first.id)
        elif id in expandable:
            replaced.add(first.id)
        elif len(own_groups) < requested:
            # Members of the group dissolved last are still in quarantine.
            continue
        elif len(serving - {first.id}) > 0 or change.force:
            stopped[first.id] = f"{change.id}: no room for a group beside it"
    return RolloutStep(frozenset(replaced), stopped)
