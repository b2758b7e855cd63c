"""Rules of planned changes: overlap, stages and what they take out."""

import collections
import dataclasses

from oleanderbay.version import catalogue, resources, verdicts

_Catalogue = catalogue.Catalogue
_Code = verdicts.ConflictCode
_Result = tuple[_Catalogue, tuple[verdicts.Conflict, ...]]

_ORDER = {stage: index for index, stage in enumerate(resources.ChangeStage)}

_KINDS = resources.ChangeKind
_STAGES = resources.ChangeStage


def in_effect(change: resources.PlannedChange) -> bool:
    """Whether a change has taken something out or put something back.

    See `Catalogue.drained_zones` for the rule. Final stages other than
    `done` are not in effect by themselves; what was taken out before stays.
    """
    if change.stage in (_STAGES.CANCELLED, _STAGES.FAILED):
        return False
    if change.start_at_ms == 0:
        return True
    first = (
        _STAGES.PREPARING
        if change.kind is _KINDS.RESTORE_ZONE
        else _STAGES.STOPPING
    )
    return _ORDER[change.stage] >= _ORDER[first]


def accept(state: _Catalogue, change: resources.PlannedChange) -> _Result:
    """Checks a new planned change and lets it take effect.

    Args:
        state: Catalogue without the change.
        change: The change with its version set.

    Returns:
        The catalogue with the change, and why it must be rejected.
    """
    conflicts = tuple(_overlaps(state, change))
    if not conflicts and not change.force:
        conflicts = tuple(_capacity(state, change))
    if not conflicts and change.kind is _KINDS.ROLL_MODEL:
        service = state.get("service", change.service)
        if (
            isinstance(service, resources.Service)
            and service.kind is resources.ServiceKind.PLAIN
        ):
            conflicts = (
                _conflict(
                    _Code.INVALID,
                    change,
                    "a plain service has no model",
                    path="service",
                    value=change.service,
                ),
            )
    if conflicts:
        return state, conflicts
    result = state.put(change)
    if in_effect(change):
        result = _take_effect(result, change)
    return result, ()


def move(
    state: _Catalogue,
    id: str,
    expected: int,
    stage: resources.ChangeStage,
    detail: str,
    offset: int,
) -> _Result:
    """Moves a planned change to another stage."""
    change = state.get("planned_change", id)
    if not isinstance(change, resources.PlannedChange):
        return state, (
            verdicts.Conflict(
                code=_Code.DANGLING_REFERENCE,
                kind="planned_change",
                id=id,
                message="there is no such planned change",
            ),
        )
    if change.version != expected:
        return state, (
            _conflict(
                _Code.STALE_VERSION,
                change,
                f"the change is at version {change.version} and "
                f"{change.stage}, not at version {expected}",
                expected=expected,
                version=change.version,
            ),
        )
    if change.stage.is_final or _ORDER[stage] < _ORDER[change.stage]:
        return state, (
            _conflict(
                _Code.WRONG_STAGE,
                change,
                f"a change that is {change.stage} can't become {stage}",
                path="stage",
                value=stage.value,
                version=change.version,
            ),
        )
    moved = dataclasses.replace(
        change, stage=stage, detail=detail, version=offset
    )
    result = state.put(moved)
    if in_effect(moved) and not in_effect(change):
        result = _take_effect(result, moved)
    if stage is _STAGES.CANCELLED:
        result = release(result, moved)
    if stage is _STAGES.DONE and moved.kind is _KINDS.ROLL_MODEL:
        result = _roll(result, moved, offset)
    return result, ()


def release(state: _Catalogue, change: resources.PlannedChange) -> _Catalogue:
    """Returns a catalogue where a change holds nothing out any more."""
    if state.zones_out.get(change.zone) == change.id:
        state = state.put_zone_out(change.zone, "")
    for instance in change.instances:
        if state.instances_out.get(instance) == change.id:
            state = state.put_instance_out(instance, "")
    return state


def _conflict(
    code: _Code,
    change: resources.PlannedChange,
    message: str,
    *,
    path: str = "",
    value: str = "",
    expected: int = 0,
    version: int = 0,
    winner: str = "",
) -> verdicts.Conflict:
    return verdicts.Conflict(
        code=code,
        kind="planned_change",
        id=change.id,
        message=message,
        path=path,
        value=value,
        expected=expected,
        version=version,
        winner=winner,
    )


def _overlaps(
    state: _Catalogue, change: resources.PlannedChange
) -> list[verdicts.Conflict]:
    """Finds accepted changes that the new one contradicts."""
    kind = change.kind
    found: list[tuple[str, str, str | None]] = []
    if kind is _KINDS.DRAIN_ZONE:
        found += [
            ("zone", change.zone, state.running.get((other, change.zone)))
            for other in (_KINDS.DRAIN_ZONE.value, _KINDS.RESTORE_ZONE.value)
        ]
        found.append(("zone", change.zone, state.zones_out.get(change.zone)))
    elif kind is _KINDS.RESTORE_ZONE:
        running = state.running.get((kind.value, change.zone))
        found.append(("zone", change.zone, running))
        drain = state.running.get((_KINDS.DRAIN_ZONE.value, change.zone))
        if drain is None and change.zone not in state.zones_out:
            return [
                _conflict(
                    _Code.INVALID,
                    change,
                    "the zone is in service; there is nothing to restore",
                    path="zone",
                    value=change.zone,
                )
            ]
    elif kind is _KINDS.RETIRE_INSTANCES:
        for index, instance in enumerate(change.instances):
            winner = state.running.get((kind.value, instance))
            winner = winner or state.instances_out.get(instance)
            found.append((f"instances[{index}]", instance, winner))
    else:
        winner = state.running.get((kind.value, change.service))
        found.append(("service", change.service, winner))
    conflicts = []
    seen = set()
    for path, value, winner in found:
        if winner is None or (path, winner) in seen:
            continue
        seen.add((path, winner))
        conflicts.append(
            _conflict(
                _Code.OVERLAPS,
                change,
                f"{winner} was accepted first and changes the same thing",
                path=path,
                value=value,
                winner=winner,
            )
        )
    return conflicts


def _zones_leaving(state: _Catalogue) -> set[str]:
    """Zones that are out or will be, by accepted changes."""
    drains = {
        zone for kind, zone in state.running if kind == _KINDS.DRAIN_ZONE.value
    }
    return drains | set(state.zones_out)


def _capacity(
    state: _Catalogue, change: resources.PlannedChange
) -> list[verdicts.Conflict]:
    """Finds services that the change would leave without a group."""
    leaving = _zones_leaving(state)
    retired = set(state.instances_out)
    retired.update(
        id
        for kind, id in state.running
        if kind == _KINDS.RETIRE_INSTANCES.value
    )
    if change.kind is _KINDS.DRAIN_ZONE:
        zones = set(state.table("zone").rows)
        rest = zones - leaving - {change.zone}
        if zones and not rest:
            return [
                _conflict(
                    _Code.NEEDS_FORCE,
                    change,
                    f"0 of {len(zones)} zones would be left in service",
                    path="zone",
                    value=change.zone,
                )
            ]
    elif change.kind is not _KINDS.RETIRE_INSTANCES:
        return []
    after_zones = leaving | {change.zone}
    after_retired = retired | set(change.instances)
    before: collections.Counter[str] = collections.Counter()
    after: collections.Counter[str] = collections.Counter()
    for group in state.table("serving_group").rows.values():
        assert isinstance(group, resources.ServingGroup)
        if group.zone in leaving or not retired.isdisjoint(group.members):
            continue
        before[group.service] += 1
        if group.zone not in after_zones and after_retired.isdisjoint(
            group.members
        ):
            after[group.service] += 1
    return [
        _conflict(
            _Code.NEEDS_FORCE,
            change,
            f"service {service} would have 0 of its {count} groups left",
            path="zone" if change.zone else "instances",
            value=change.zone or ",".join(change.instances[:3]),
        )
        for service, count in sorted(before.items())
        if not after[service]
    ]


def _take_effect(
    state: _Catalogue, change: resources.PlannedChange
) -> _Catalogue:
    if change.kind is _KINDS.DRAIN_ZONE:
        return state.put_zone_out(change.zone, change.id)
    if change.kind is _KINDS.RETIRE_INSTANCES:
        for instance in change.instances:
            state = state.put_instance_out(instance, change.id)
        return state
    if change.kind is _KINDS.RESTORE_ZONE:
        key = (_KINDS.DRAIN_ZONE.value, change.zone)
        drain = state.get("planned_change", state.running.get(key, ""))
        if isinstance(drain, resources.PlannedChange):
            state = state.put(
                dataclasses.replace(
                    drain,
                    stage=_STAGES.CANCELLED,
                    detail=f"cancelled by {change.id}",
                    version=change.version,
                )
            )
        return state.put_zone_out(change.zone, "")
    return state


def _roll(
    state: _Catalogue, change: resources.PlannedChange, offset: int
) -> _Catalogue:
    """Makes the rolled version the service's own."""
    service = state.get("service", change.service)
    if not isinstance(service, resources.Service):
        return state
    return state.put(
        dataclasses.replace(
            service,
            model_version=change.model_version or service.model_version,
            adapter=change.adapter or service.adapter,
            version=offset,
        )
    )
