"""Which resources a resource refers to."""

import dataclasses
from collections.abc import Iterator

from oleanderbay.version import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """One reference.

    Attributes:
        kind: Kind of the resource referred to.
        id: Its id.
        path: Field that holds the reference.
    """

    kind: str
    id: str
    path: str


# Fields by resource class: (field, kind referred to). The kinds form no
# cycle, so references between resources can't form one either. A group's
# `request` is not listed: a request may be deleted while its groups are live,
# which tells the proposer to dissolve them.
_FIELDS: dict[type[resources.Resource], tuple[tuple[str, str], ...]] = {
    resources.Domain: (("zone", "zone"),),
    resources.Route: (
        ("service", "service"),
        ("team", "team"),
        ("zones", "zone"),
    ),
    resources.GroupRequest: (("service", "service"), ("zones", "zone")),
    resources.PlannedChange: (("zone", "zone"), ("service", "service")),
    resources.ServingGroup: (("service", "service"), ("zone", "zone")),
}


def fields_of(
    cls: type[resources.Resource],
) -> tuple[tuple[str, str], ...]:
    """Returns the fields that hold references, with the kind they name."""
    return (("fleet", "fleet"), *_FIELDS.get(cls, ()))


def of(resource: resources.Resource) -> Iterator[Reference]:
    """Yields the references that a resource holds.

    A planned change in a final stage holds none: it is history and must not
    keep a zone from being deleted.
    """
    if (
        isinstance(resource, resources.PlannedChange)
        and resource.stage.is_final
    ):
        return
    for name, kind in fields_of(type(resource)):
        value = getattr(resource, name)
        if isinstance(value, tuple):
            for index, id in enumerate(value):
                yield Reference(kind, id, f"{name}[{index}]")
        elif value:
            yield Reference(kind, value, name)


def targets(change: resources.PlannedChange) -> tuple[tuple[str, str], ...]:
    """Returns what a planned change acts on while it is not final.

    Two changes with a common target overlap.
    """
    if change.stage.is_final:
        return ()
    ids: tuple[str, ...]
    if change.kind is resources.ChangeKind.RETIRE_INSTANCES:
        ids = change.instances
    elif change.kind is resources.ChangeKind.ROLL_MODEL:
        ids = (change.service,)
    else:
        ids = (change.zone,)
    return tuple((change.kind.value, id) for id in ids)
