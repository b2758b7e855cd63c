"""Operators' changes: accepted as a whole or rejected with reasons."""

import dataclasses

from oleanderbay.version import (
    catalogue,
    fields,
    records,
    references,
    resources,
    stages,
    validation,
    verdicts,
)

_Code = verdicts.ConflictCode
_Conflicts = tuple[verdicts.Conflict, ...]
_Result = tuple[catalogue.Catalogue, _Conflicts]


def check(state: catalogue.Catalogue, change: records.Change) -> _Conflicts:
    """Returns why a change would be rejected if it were appended now."""
    return apply(state, state.offset + 1, change)[1]


def stale(kind: str, id: str, expected: int, version: int) -> verdicts.Conflict:
    """Returns the conflict of a proposal that expected another version."""
    if not version:
        message = f"does not exist; version {expected} was expected"
    elif not expected:
        message = f"exists already at version {version}"
    else:
        message = f"is at version {version}, not {expected}"
    return verdicts.Conflict(
        code=_Code.STALE_VERSION,
        kind=kind,
        id=id,
        path="version",
        expected=expected,
        version=version,
        message=message,
    )


def invalid(
    resource: resources.Resource,
) -> tuple[verdicts.Conflict, ...]:
    """Returns the mistakes in a resource's fields as conflicts."""
    kind = fields.kind_of(resource)
    return tuple(
        verdicts.Conflict(
            code=_Code.INVALID,
            kind=kind,
            id=resource.id,
            path=mistake.path,
            value=mistake.value,
            message=mistake.reason,
        )
        for mistake in validation.check(resource)
    )


def apply(
    state: catalogue.Catalogue, offset: int, change: records.Change
) -> _Result:
    """Applies a change; the catalogue counts only without conflicts."""
    conflicts = _check_alone(state, change)
    if conflicts:
        return state, tuple(conflicts)
    after = state
    for delete in change.deletes:
        gone = after.get(delete.kind, delete.id)
        after = after.remove(delete.kind, delete.id)
        if isinstance(gone, resources.PlannedChange):
            after = stages.release(after, gone)
        elif isinstance(gone, resources.Zone):
            after = after.put_zone_out(gone.id, "")
    # All names are freed before any is taken, so that two resources can
    # exchange theirs.
    for upsert in change.upserts:
        kind = fields.kind_of(upsert.resource)
        if after.get(kind, upsert.resource.id) is not None:
            after = after.remove(kind, upsert.resource.id)
    for upsert in change.upserts:
        resource = dataclasses.replace(upsert.resource, version=offset)
        kind = fields.kind_of(resource)
        winner = after.names.get((kind, resource.fleet, resource.name))
        if winner is not None:
            conflicts.append(
                verdicts.Conflict(
                    code=_Code.NAME_TAKEN,
                    kind=kind,
                    id=resource.id,
                    path="name",
                    value=resource.name,
                    winner=winner,
                    message=f"the name belongs to {winner}",
                )
            )
        elif isinstance(resource, resources.PlannedChange):
            after, found = stages.accept(after, resource)
            conflicts.extend(found)
        else:
            after = after.put(resource)
    conflicts.extend(_check_links(state, after, change))
    return after, tuple(conflicts)


def _check_alone(
    state: catalogue.Catalogue, change: records.Change
) -> list[verdicts.Conflict]:
    """Checks each item of a change by itself."""
    conflicts: list[verdicts.Conflict] = []
    seen: set[tuple[str, str]] = set()
    items = [
        (fields.kind_of(upsert.resource), upsert.resource.id, upsert.expected)
        for upsert in change.upserts
    ] + [(item.kind, item.id, item.expected) for item in change.deletes]
    deleted = {(item.kind, item.id) for item in change.deletes}
    for kind, id, expected in items:
        if (kind, id) in seen:
            conflicts.append(
                verdicts.Conflict(
                    code=_Code.REPEATED,
                    kind=kind,
                    id=id,
                    message="appears twice in one change",
                )
            )
        seen.add((kind, id))
        if kind == "serving_group" or kind not in resources.RESOURCE_KINDS:
            conflicts.append(
                verdicts.Conflict(
                    code=_Code.WRONG_KIND,
                    kind=kind,
                    id=id,
                    message="operators can't change this kind",
                )
            )
            continue
        current = state.get(kind, id)
        version = current.version if current is not None else 0
        # Version 0 stands for "does not exist", which can't be deleted.
        missing = current is None and (kind, id) in deleted
        if version != expected or missing:
            conflicts.append(stale(kind, id, expected, version))
    for upsert in change.upserts:
        conflicts.extend(invalid(upsert.resource))
        conflicts.extend(_check_planned(upsert))
    for delete in change.deletes:
        current = state.get(delete.kind, delete.id)
        if isinstance(current, resources.PlannedChange) and (
            not current.stage.is_final
            or state.zones_out.get(current.zone) == current.id
        ):
            conflicts.append(
                verdicts.Conflict(
                    code=_Code.IN_USE,
                    kind=delete.kind,
                    id=delete.id,
                    message="cancel the change or restore its zone first",
                )
            )
    return conflicts


def _check_planned(upsert: records.Upsert) -> list[verdicts.Conflict]:
    change = upsert.resource
    if not isinstance(change, resources.PlannedChange):
        return []
    if not upsert.expected and change.stage is resources.ChangeStage.PENDING:
        return []
    return [
        verdicts.Conflict(
            code=_Code.WRONG_KIND,
            kind="planned_change",
            id=change.id,
            path="stage",
            value=change.stage.value,
            message="a planned change starts as pending and is then changed "
            "by its stages only",
        )
    ]


def _check_links(
    before: catalogue.Catalogue,
    after: catalogue.Catalogue,
    change: records.Change,
) -> list[verdicts.Conflict]:
    """Checks the resources that a change links, in the state after it."""
    conflicts: list[verdicts.Conflict] = []
    for upsert in change.upserts:
        resource = upsert.resource
        kind = fields.kind_of(resource)
        dangling = _dangling(after, resource)
        conflicts.extend(dangling)
        if not dangling:
            reason = _shape(before, after, resource)
            if reason:
                conflicts.append(
                    verdicts.Conflict(
                        code=_Code.INVALID,
                        kind=kind,
                        id=resource.id,
                        path="instances_per_group",
                        message=reason,
                    )
                )
    for delete in change.deletes:
        count = after.uses.get((delete.kind, delete.id), 0)
        if count:
            conflicts.append(
                verdicts.Conflict(
                    code=_Code.IN_USE,
                    kind=delete.kind,
                    id=delete.id,
                    value=str(count),
                    message=f"{count} other resources refer to it",
                )
            )
    return conflicts


def _dangling(
    after: catalogue.Catalogue, resource: resources.Resource
) -> list[verdicts.Conflict]:
    return [
        verdicts.Conflict(
            code=_Code.DANGLING_REFERENCE,
            kind=fields.kind_of(resource),
            id=resource.id,
            path=target.path,
            value=target.id,
            message=f"there is no {target.kind} {target.id!r}",
        )
        for target in references.of(resource)
        if after.get(target.kind, target.id) is None
    ]


def _shape(
    before: catalogue.Catalogue,
    after: catalogue.Catalogue,
    resource: resources.Resource,
) -> str:
    """Returns why a group shape that the change states fits nowhere."""
    domains = after.table("domain").rows.values()
    if isinstance(resource, resources.GroupRequest):
        service = after.get("service", resource.service)
        if not isinstance(service, resources.Service):
            return ""
        if service.kind is resources.ServiceKind.PLAIN:
            return "a plain service has no groups"
        return validation.check_shape(service, resource.zones, domains)
    if isinstance(resource, resources.Service):
        old = before.get("service", resource.id)
        if (
            isinstance(old, resources.Service)
            and old.instances_per_group == resource.instances_per_group
            and old.kind is resource.kind
        ):
            return ""
        for request in after.table("group_request").rows.values():
            assert isinstance(request, resources.GroupRequest)
            if request.service == resource.id:
                if resource.kind is resources.ServiceKind.PLAIN:
                    return "a plain service has no groups"
                reason = validation.check_shape(
                    resource, request.zones, domains
                )
                if reason:
                    return reason
    return ""
