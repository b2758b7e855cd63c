"""Assignment of instances to serving groups."""

import dataclasses
from collections.abc import Iterable

from oleanderbay.version import (
    catalogue,
    changes,
    records,
    resources,
    verdicts,
)

_Code = verdicts.ConflictCode
_Result = tuple[catalogue.Catalogue, tuple[verdicts.Conflict, ...]]


def assign(
    state: catalogue.Catalogue,
    offset: int,
    body: records.Assign,
    left_ms: int,
) -> _Result:
    """Makes a serving group or replaces its members, under a new epoch.

    Args:
        state: Catalogue at the offset.
        offset: Offset of the record.
        body: What is proposed.
        left_ms: When members that are replaced left the group.
    """
    group = body.group
    old = state.get("serving_group", group.id)
    version = old.version if old is not None else 0
    if version != body.expected:
        return state, (
            changes.stale("serving_group", group.id, body.expected, version),
        )
    conflicts = [*changes.invalid(group), *_links(state, group)]
    conflicts.extend(_members(state, group))
    winner = state.names.get(("serving_group", group.fleet, group.name))
    if winner not in (None, group.id):
        conflicts.append(
            _conflict(
                _Code.NAME_TAKEN,
                group,
                "name",
                group.name,
                f"the name belongs to {winner}",
                winner=str(winner),
            )
        )
    if conflicts:
        return state, tuple(conflicts)
    after = state.put(dataclasses.replace(group, epoch=offset, version=offset))
    if isinstance(old, resources.ServingGroup):
        left = set(old.members).difference(group.members)
        after = _quarantine(after, sorted(left), left_ms)
    for member in group.members:
        after = after.put_quarantine(member, 0)
    return _forget(after), ()


def dissolve(
    state: catalogue.Catalogue, body: records.Dissolve, left_ms: int
) -> _Result:
    """Ends a serving group."""
    old = state.get("serving_group", body.group)
    version = old.version if old is not None else 0
    if not isinstance(old, resources.ServingGroup) or (
        version != body.expected
    ):
        return state, (
            changes.stale("serving_group", body.group, body.expected, version),
        )
    after = state.remove("serving_group", old.id)
    return _forget(_quarantine(after, old.members, left_ms)), ()


def _conflict(
    code: verdicts.ConflictCode,
    group: resources.ServingGroup,
    path: str,
    value: str,
    message: str,
    winner: str = "",
) -> verdicts.Conflict:
    return verdicts.Conflict(
        code=code,
        kind="serving_group",
        id=group.id,
        path=path,
        value=value,
        message=message,
        winner=winner,
    )


def _links(
    state: catalogue.Catalogue, group: resources.ServingGroup
) -> list[verdicts.Conflict]:
    """Checks what a group says of its request, service and zone."""
    conflicts = []
    request = state.get("group_request", group.request)
    service = state.get("service", group.service)
    for path, kind, value, found in (
        ("request", "group_request", group.request, request),
        ("service", "service", group.service, service),
        ("zone", "zone", group.zone, state.get("zone", group.zone)),
        ("fleet", "fleet", group.fleet, state.get("fleet", group.fleet)),
    ):
        if found is None and value:
            conflicts.append(
                _conflict(
                    _Code.DANGLING_REFERENCE,
                    group,
                    path,
                    value,
                    f"there is no {kind} {value!r}",
                )
            )
    if isinstance(request, resources.GroupRequest):
        if request.service != group.service:
            conflicts.append(
                _conflict(
                    _Code.INVALID,
                    group,
                    "service",
                    group.service,
                    f"the request is for service {request.service}",
                )
            )
        if request.zones and group.zone not in request.zones:
            conflicts.append(
                _conflict(
                    _Code.INVALID,
                    group,
                    "zone",
                    group.zone,
                    "the request does not allow this zone",
                )
            )
    if isinstance(service, resources.Service) and (
        service.kind is resources.ServiceKind.PLAIN
        or len(group.members) != service.instances_per_group
    ):
        conflicts.append(
            _conflict(
                _Code.INVALID,
                group,
                "members",
                str(len(group.members)),
                f"a group of this {service.kind} service has "
                f"{service.instances_per_group} instances",
            )
        )
    if group.zone in state.zones_out:
        conflicts.append(
            _conflict(
                _Code.ZONE_DRAINED,
                group,
                "zone",
                group.zone,
                "the zone takes no new work",
                winner=state.zones_out[group.zone],
            )
        )
    return conflicts


def _members(
    state: catalogue.Catalogue, group: resources.ServingGroup
) -> list[verdicts.Conflict]:
    """Checks that each member is free for this group."""
    conflicts = []
    for index, member in enumerate(group.members):
        path = f"members[{index}]"
        holder = state.holders.get(member)
        if holder is not None and holder != group.id:
            conflicts.append(
                _conflict(
                    _Code.INSTANCE_IN_GROUP,
                    group,
                    path,
                    member,
                    f"the instance belongs to group {holder}",
                    winner=holder,
                )
            )
        if state.in_quarantine(member):
            conflicts.append(
                _conflict(
                    _Code.INSTANCE_IN_QUARANTINE,
                    group,
                    path,
                    member,
                    "the instance may still obey its last group; it is free "
                    f"at record time {state.quarantine[member]} ms",
                )
            )
        if member in state.instances_out:
            conflicts.append(
                _conflict(
                    _Code.INSTANCE_RETIRED,
                    group,
                    path,
                    member,
                    "the instance is being retired",
                    winner=state.instances_out[member],
                )
            )
    return conflicts


def _quarantine(
    state: catalogue.Catalogue, instances: Iterable[str], left_ms: int
) -> catalogue.Catalogue:
    until_ms = left_ms + catalogue.QUARANTINE_MS
    for instance in instances:
        state = state.put_quarantine(instance, until_ms)
    return state


def _forget(state: catalogue.Catalogue) -> catalogue.Catalogue:
    """Drops quarantine that has ended, so that the map stays small."""
    for instance, until_ms in state.quarantine.items():
        if until_ms <= state.time_ms:
            state = state.put_quarantine(instance, 0)
    return state
