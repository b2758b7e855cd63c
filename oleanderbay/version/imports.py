"""Examination of another fleet's resources before they are added."""

import dataclasses

from oleanderbay.version import (
    catalogue,
    changes,
    fields,
    records,
    resources,
    verdicts,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NameClash:
    """A name of the import that another resource has too.

    Attributes:
        kind: Resource kind.
        name: The name.
        id: Id of the incoming resource.
        fleet: Fleet of the incoming resource.
        other_id: Id of the resource that has the name.
        other_fleet: Fleet of that resource.
        blocking: Whether both are in one namespace, so that one of them must
            be renamed first.
    """

    kind: str
    name: str
    id: str
    fleet: str
    other_id: str
    other_fleet: str
    blocking: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What an import would do.

    Attributes:
        clashes: Every name that is used twice.
        conflicts: Every reason why it can't be applied.
        change: The change that adds what is not there yet.
        already_present: Incoming resources that exist already as they are.
    """

    clashes: tuple[NameClash, ...]
    conflicts: tuple[verdicts.Conflict, ...]
    change: records.Change
    already_present: int

    @property
    def is_clear(self) -> bool:
        """Whether the change can be applied."""
        return not self.conflicts and not any(
            clash.blocking for clash in self.clashes
        )


def examine(
    state: catalogue.Catalogue, incoming: tuple[resources.Resource, ...]
) -> Report:
    """Compares incoming resources with the catalogue; changes nothing."""
    by_name: dict[tuple[str, str], list[resources.Resource]] = {}
    for kind in resources.RESOURCE_KINDS:
        for resource in state.all(kind):
            by_name.setdefault((kind, resource.name), []).append(resource)
    clashes = []
    upserts = []
    present = 0
    for resource in incoming:
        kind = fields.kind_of(resource)
        existing = state.get(kind, resource.id)
        if existing is not None and _same(existing, resource):
            present += 1
            continue
        same_name = by_name.setdefault((kind, resource.name), [])
        clashes += [
            NameClash(
                kind=kind,
                name=resource.name,
                id=resource.id,
                fleet=resource.fleet,
                other_id=other.id,
                other_fleet=other.fleet,
                blocking=other.fleet == resource.fleet,
            )
            for other in same_name
        ]
        same_name.append(resource)
        # An id that exists with other content becomes a conflict, because
        # an import only adds.
        upserts.append(
            records.Upsert(
                resource=dataclasses.replace(resource, version=0), expected=0
            )
        )
    change = records.Change(upserts=tuple(upserts))
    return Report(
        clashes=tuple(clashes),
        conflicts=changes.check(state, change) if upserts else (),
        change=change,
        already_present=present,
    )


def _same(one: resources.Resource, other: resources.Resource) -> bool:
    return dataclasses.replace(one, version=0) == dataclasses.replace(
        other, version=0
    )
