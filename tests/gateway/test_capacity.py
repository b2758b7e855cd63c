"""Tests of counting the groups that serve."""

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


def standings(known):
    """Counts groups; only the closed ones of the dissolution are used."""
    ended = dissolution.Dissolution.__new__(dissolution.Dissolution)
    ended.closed = set()
    ended.tasks = tasks.KeyedTasks(Exception)
    return capacity.ActiveGroupCounter(
        known.state, known.evidence, ended
    ), ended


def expected(known, ended, engine):
    """Goes through all groups anew."""
    found = {}
    for key, group in known.state.groups().items():
        model = engine.model(group.model)
        members = group.members.values()
        if (
            model is not None
            and key not in ended.closed
            and group.complete(model.group_size)
            and not any(w.draining for w in members)
            and not any(
                known.evidence.is_lost(w.id, w.started_ms) for w in members
            )
        ):
            found[key] = group.model
    return found


def change(known, ended, rng):
    name = f"g{rng.randrange(4)}"
    rank = rng.randrange(2)
    match rng.choices(range(7), (2, 1, 2, 1, 1, 1, 12))[0]:
        case 0:
            known.drop(f"{name}{rank}")
        case 1:
            known.evidence.lost[f"{name}{rank}"] = rng.randrange(2)
        case 2:
            known.evidence.lost.clear()
        case 3:
            ended.closed ^= {(name, 1)}
        case 4:
            known.evidence.update_peer("p", (), (), {f"{name}{rank}": 0})
        case 5:
            model = table.Model(**{**MODEL, "group_size": rng.choice((1, 2))})
            engine = table.Engine(slots=4, models=(model,))
            service = table.Service(name="chat", health_path="", engine=engine)
            known.configure(parts.tables(known.offset, services=(service,)))
        case _:
            state = rng.choice(("open", "ready", "joining"))
            known.add(
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
    """A count kept too long would plan for groups that are gone."""
    rng = random.Random(seed)
    known = parts.Known()
    counted, ended = standings(known)
    seen = set()
    for _ in range(200):
        change(known, ended, rng)
        service = known.state.table.services["chat"]
        found = counted.count(service)
        assert found.models == expected(known, ended, service.engine)
        assert sum(found.counts.values()) == len(found.models)
        seen.add(len(found.models))
    assert len(seen) > 2


def test_records_are_gone_through_once_for_each_change(monkeypatch):
    """Each step at the owner would visit all members of all groups."""
    known = parts.Known()
    known.add(
        *(
            parts.worker(f"g{n}{r}", f"g{n}", r)
            for n in range(9)
            for r in (0, 1)
        )
    )
    counted, _ = standings(known)
    looked = []
    complete = workers.Group.complete
    monkeypatch.setattr(
        workers.Group,
        "complete",
        lambda group, size: looked.append(group.name) or complete(group, size),
    )
    for _ in range(5):
        assert counted.count(parts.ENGINE).counts == {"small": 9}
    assert len(looked) == 9
    known.drop("g01")
    assert counted.count(parts.ENGINE).counts == {"small": 9}
    known.state.forget_missing_member("g01")
    assert counted.count(parts.ENGINE).counts == {"small": 8}


def test_groups_of_an_evacuated_zone_do_not_count():
    """Guards against capacity that gets no requests (issue 11).

    With its only groups in such a zone, a model had room by the count and
    refused all requests, and no workers were converted to it.
    """
    known = parts.Known()
    known.add(*(parts.worker(f"g{rank}", "g", rank) for rank in (0, 1)))
    counted, _ = standings(known)
    assert counted.count(parts.ENGINE).counts == {"small": 1}
    for value, count in ((b"x", 0), (None, 1)):
        known.offset += 1
        known.state.apply_configuration(
            interfaces.KeyedRecord(known.offset, "zone/z1", value)
        )
        assert counted.count(parts.ENGINE).counts["small"] == count


def test_groups_of_another_service_do_not_count():
    """Two services with a model of one name each had the other's capacity."""
    known = parts.Known()
    known.add(*(parts.worker(f"g{rank}", "g", rank) for rank in (0, 1)))
    counted, _ = standings(known)
    other = dataclasses.replace(parts.ENGINE, name="other")
    assert counted.count(parts.ENGINE).counts == {"small": 1}
    assert not counted.count(other).models
