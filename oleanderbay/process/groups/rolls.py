"""Which groups a roll of a model version or adapter replaces next."""

import dataclasses

from oleanderbay.process import interfaces
from oleanderbay.process.groups import fleet
from oleanderbay.process.observation import group_states
from oleanderbay.version import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The next step of the rolls that are under way.

    Attributes:
        replaced: Groups that others are formed for; they count for nothing.
        stopped: Groups to dissolve now, with the reason.
    """

    replaced: frozenset[str]
    stopped: dict[str, str]


def is_current(
    group: resources.ServingGroup, service: resources.Service
) -> bool:
    """Whether a group loads the version that the service wants."""
    return (group.model_version, group.adapter) == (
        service.model_version,
        service.adapter,
    )


def next_step(
    view: interfaces.CatalogueView,
    seen: group_states.GroupStates,
    room: frozenset[str],
    now_ms: int,
) -> Step:
    """Chooses one group of each service that is rolled.

    Args:
        view: Catalogue in force.
        seen: What the readers say.
        room: Services that have free instances for one more group.
        now_ms: Local time.
    """
    replaced: set[str] = set()
    stopped: dict[str, str] = {}
    by_id = fleet.services(view)
    live = fleet.groups(view)
    for id, service in sorted(by_id.items()):
        change = fleet.roll_of(view, id)
        if change is None:
            continue
        mine = [group for group in live if group.service == id]
        old = [group for group in mine if not is_current(group, service)]
        new = [group for group in mine if is_current(group, service)]
        serving = {group.id for group in mine if seen.is_serving(group, now_ms)}
        wanted = fleet.wanted_groups(view, id)
        if not old:
            continue
        # Broken groups go first: nothing is lost by stopping them.
        old.sort(key=lambda g: (g.id in serving, g.epoch))
        first = old[0]
        if any(group.id not in serving for group in new):
            # The last new group has to serve before another one goes.
            if len(mine) > wanted:
                replaced.add(first.id)
            continue
        if len(mine) > wanted:
            stopped[first.id] = f"{change.id}: a new group serves instead"
            replaced.add(first.id)
        elif id in room:
            replaced.add(first.id)
        elif len(mine) < wanted:
            # The members of the last one are still in quarantine.
            continue
        elif len(serving - {first.id}) > 0 or change.force:
            stopped[first.id] = f"{change.id}: no room for a group beside it"
    return Step(frozenset(replaced), stopped)
