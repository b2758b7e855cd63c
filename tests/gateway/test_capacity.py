"""Tests of counting the active groups."""

import dataclasses
import random

import pytest

from oleanderbay.gateway import (
    capacity,
    dissolution,
    interfaces,
    table,
    tasks,
    workers,
)
from tests.gateway import parts


def make_counter(gateway):
    """Makes a counter with a dissolution of which only `closed` is used."""
    group_dissolution = dissolution.Dissolution.__new__(dissolution.Dissolution)
    group_dissolution.closed = set()
    group_dissolution.tasks = tasks.KeyedTasks(Exception)
    return capacity.ActiveGroupCounter(
        gateway.state, gateway.worker_health, group_dissolution
    ), group_dissolution


def expected_models(gateway, group_dissolution, engine):
    """Computes the active groups without a cache."""
    found = {}
    for key, group in gateway.state.groups().items():
        model = engine.model(group.model)
        members = group.members.values()
        if (
            model is not None
            and key not in group_dissolution.closed
            and group.complete(model.group_size)
            and not any(w.draining for w in members)
            and not any(
                gateway.worker_health.is_lost(w.id, w.started_ms)
                for w in members
            )
        ):
            found[key] = group.model
    return found


def make_random_change(gateway, group_dissolution, rng):
    name = f"g{rng.randrange(4)}"
    rank = rng.randrange(2)
    match rng.choices(range(7), (2, 1, 2, 1, 1, 1, 12))[0]:
        case 0:
            gateway.drop(f"{name}{rank}")
        case 1:
            gateway.worker_health.lost[f"{name}{rank}"] = rng.randrange(2)
        case 2:
            gateway.worker_health.lost.clear()
        case 3:
            group_dissolution.closed ^= {(name, 1)}
        case 4:
            gateway.worker_health.update_peer("p", (), (), {f"{name}{rank}": 0})
        case 5:
            model = table.Model(**{**MODEL, "group_size": rng.choice((1, 2))})
            engine = table.Engine(slots=4, models=(model,))
            service = table.Service(name="chat", health_path="", engine=engine)
            gateway.configure(
                parts.routing_table(gateway.offset, services=(service,))
            )
        case _:
            state = rng.choice(("open", "ready", "joining"))
            gateway.add(
                parts.worker(
                    f"{name}{rank}",
                    name,
                    rank,
                    state,
                    draining=rng.random() < 0.2,
                    started_ms=rng.randrange(2),
                )
            )


MODEL = {
    "name": "small",
    "group_size": 2,
    "expected_share": 1.0,
    "time_factor": 1.0,
    "load_ms": 1,
    "warm_load_ms": 1,
}


@pytest.mark.parametrize("seed", range(10))
def test_counts_follow_each_change(seed):
    """Guards against plans for groups that no longer exist.

    They occur if a cached count outlives a change.
    """
    rng = random.Random(seed)
    gateway = parts.GatewayParts()
    counter, group_dissolution = make_counter(gateway)
    seen = set()
    for _ in range(200):
        make_random_change(gateway, group_dissolution, rng)
        service = gateway.state.table.services["chat"]
        found = counter.count(service)
        assert found.models == expected_models(
            gateway, group_dissolution, service.engine
        )
        assert sum(found.counts.values()) == len(found.models)
        seen.add(len(found.models))
    assert len(seen) > 2


def test_groups_are_checked_once_for_each_change(monkeypatch):
    """Guards against visiting all members of all groups in each pass."""
    gateway = parts.GatewayParts()
    gateway.add(
        *(
            parts.worker(f"g{n}{r}", f"g{n}", r)
            for n in range(9)
            for r in (0, 1)
        )
    )
    counter, _ = make_counter(gateway)
    checked = []
    complete = workers.Group.complete
    monkeypatch.setattr(
        workers.Group,
        "complete",
        lambda group, size: checked.append(group.name) or complete(group, size),
    )
    for _ in range(5):
        assert counter.count(parts.MODEL_SERVICE).counts == {"small": 9}
    assert len(checked) == 9
    gateway.drop("g01")
    assert counter.count(parts.MODEL_SERVICE).counts == {"small": 9}
    gateway.state.forget_missing_member("g01")
    assert counter.count(parts.MODEL_SERVICE).counts == {"small": 8}


def test_groups_of_an_evacuated_zone_do_not_count():
    """Guards against counting capacity that gets no requests (issue 11).

    If all groups of a model were in such a zone, it seemed to have enough
    capacity. It refused all requests, and no workers were converted to it.
    """
    gateway = parts.GatewayParts()
    gateway.add(*(parts.worker(f"g{rank}", "g", rank) for rank in (0, 1)))
    counter, _ = make_counter(gateway)
    assert counter.count(parts.MODEL_SERVICE).counts == {"small": 1}
    for value, count in ((b"x", 0), (None, 1)):
        gateway.offset += 1
        gateway.state.apply_configuration(
            interfaces.KeyedRecord(gateway.offset, "zone/z1", value)
        )
        assert counter.count(parts.MODEL_SERVICE).counts["small"] == count


def test_groups_of_another_service_do_not_count():
    """Guards against counting another service's groups.

    If two services had a model of the same name, each counted the capacity of
    the other.
    """
    gateway = parts.GatewayParts()
    gateway.add(*(parts.worker(f"g{rank}", "g", rank) for rank in (0, 1)))
    counter, _ = make_counter(gateway)
    other = dataclasses.replace(parts.MODEL_SERVICE, name="other")
    assert counter.count(parts.MODEL_SERVICE).counts == {"small": 1}
    assert not counter.count(other).models
