"""Differences between declarations and the configuration in force."""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Any

from oleanderbay.version import fields, records, resources, verdicts


class Action(enum.StrEnum):
    """What applying the declarations does to a resource."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FieldDifference:
    """One field that differs."""

    field: str
    in_force: Any
    declared: Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One resource that differs.

    Attributes:
        action: What applying does.
        kind: Resource kind.
        id: Resource id.
        fleet: Fleet of the resource.
        name: Name; the declared one if there is one.
        version: Version in force; 0 if there is none.
        changed: Fields that differ, of an update.
        resource: The declared resource; None for a delete.
    """

    action: Action
    kind: str
    id: str
    fleet: str
    name: str
    version: int
    changed: tuple[FieldDifference, ...] = ()
    resource: resources.Resource | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """All differences in a fixed order, and the change that ends them."""

    differences: tuple[Difference, ...]

    @property
    def change(self) -> records.Change:
        """The change to apply; each item expects the version in force."""
        return records.Change(
            upserts=tuple(
                records.Upsert(
                    resource=difference.resource, expected=difference.version
                )
                for difference in self.differences
                if difference.resource is not None
            ),
            deletes=tuple(
                records.Delete(
                    kind=difference.kind,
                    id=difference.id,
                    expected=difference.version,
                )
                for difference in self.differences
                if difference.action is Action.DELETE
            ),
        )

    def count(self, action: Action) -> int:
        """Returns how many differences need an action."""
        return sum(item.action is action for item in self.differences)


def compare(
    in_force: Iterable[resources.Resource],
    declared: Iterable[resources.Resource],
    prune_fleets: frozenset[str] = frozenset(),
    kinds: frozenset[str] = frozenset(resources.RESOURCE_KINDS),
) -> Plan:
    """Compares declarations with the configuration in force.

    Args:
        in_force: Resources in force.
        declared: Resources that the files declare.
        prune_fleets: Fleets whose resources are deleted when the files don't
            name them. Resources outside any fleet and fleets themselves are
            never deleted, because other files may rely on them.
        kinds: Kinds that may be deleted.
    """
    current = {
        (fields.kind_of(resource), resource.id): resource
        for resource in in_force
    }
    order = list(resources.RESOURCE_KINDS)
    found = []
    wanted = set()
    for resource in declared:
        kind = fields.kind_of(resource)
        wanted.add((kind, resource.id))
        old = current.get((kind, resource.id))
        changed = _changed(old, resource) if old is not None else ()
        if old is not None and not changed:
            continue
        found.append(
            Difference(
                action=Action.CREATE if old is None else Action.UPDATE,
                kind=kind,
                id=resource.id,
                fleet=resource.fleet,
                name=resource.name,
                version=old.version if old is not None else 0,
                changed=changed,
                resource=resource,
            )
        )
    for (kind, id), old in current.items():
        if (
            (kind, id) not in wanted
            and kind in kinds
            and old.fleet in prune_fleets
        ):
            found.append(
                Difference(
                    action=Action.DELETE,
                    kind=kind,
                    id=id,
                    fleet=old.fleet,
                    name=old.name,
                    version=old.version,
                )
            )
    found.sort(key=lambda item: (order.index(item.kind), item.id))
    return Plan(differences=tuple(found))


def _changed(
    old: resources.Resource, new: resources.Resource
) -> tuple[FieldDifference, ...]:
    before, after = fields.to_plain(old), fields.to_plain(new)
    return tuple(
        FieldDifference(field=name, in_force=before[name], declared=value)
        for name, value in after.items()
        if name != "version" and before[name] != value
    )


_SIGNS = {Action.CREATE: "+", Action.UPDATE: "~", Action.DELETE: "-"}


def to_text(plan: Plan, conflicts: Iterable[verdicts.Conflict] = ()) -> str:
    """Returns a plan as text for people."""
    lines = []
    for item in plan.differences:
        version = f" (version {item.version})" if item.version else ""
        lines.append(
            f"{_SIGNS[item.action]} {item.kind} {item.id} "
            f"{item.name!r}{version}"
        )
        lines += [
            f"    {part.field}: {part.in_force!r} -> {part.declared!r}"
            for part in item.changed
        ]
    counts = ", ".join(f"{plan.count(action)} to {action}" for action in Action)
    lines.append(counts if plan.differences else "no differences")
    lines += [conflict_text(conflict) for conflict in conflicts]
    return "\n".join(lines)


def conflict_text(conflict: verdicts.Conflict) -> str:
    """Returns a conflict as one line for people."""
    subject = f"{conflict.kind} {conflict.id}".strip() or "change"
    where = f" {conflict.path}" if conflict.path else ""
    value = f" (found {conflict.value})" if conflict.value else ""
    return f"! {subject}{where}: {conflict.message}{value} [{conflict.code}]"


def drift_text(plan: Plan) -> str:
    """Returns how what is in force differs from the declarations."""
    words = {
        Action.CREATE: "declared, not in force",
        Action.UPDATE: "differs",
        Action.DELETE: "in force, not declared",
    }
    lines = []
    for item in plan.differences:
        lines.append(
            f"{item.kind} {item.id} {item.name!r}: {words[item.action]}"
        )
        lines += [
            f"    {part.field}: declared {part.declared!r}, in force "
            f"{part.in_force!r}"
            for part in item.changed
        ]
    lines.append(
        f"{len(plan.differences)} resources drifted"
        if plan.differences
        else "no drift"
    )
    return "\n".join(lines)


def to_plain(
    plan: Plan, conflicts: Iterable[verdicts.Conflict] = ()
) -> dict[str, Any]:
    """Returns a plan as plain values for JSON output."""
    return {
        "differences": [
            {
                "action": item.action.value,
                "kind": item.kind,
                "id": item.id,
                "fleet": item.fleet,
                "name": item.name,
                "version": item.version,
                "changed": [dataclasses.asdict(part) for part in item.changed],
            }
            for item in plan.differences
        ],
        "conflicts": [fields.to_plain(conflict) for conflict in conflicts],
    }
