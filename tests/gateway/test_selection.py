"""Tests of choosing a worker."""

import random

import pytest

from oleanderbay.gateway import interfaces, selection
from tests.gateway import parts

MISSING = selection.NoWorker


def two_groups():
    known = parts.Known()
    for name in ("g", "h"):
        known.add(
            parts.worker(f"{name}0", name, 0),
            parts.worker(f"{name}1", name, 1, member="ready"),
        )
    return known


def picks(known, service=parts.ENGINE, tried=(), **more):
    """Returns who may be picked."""
    found = {
        known.choices.select(service, "small", tried, **more) for _ in range(40)
    }
    return {w if isinstance(w, MISSING) else w.id for w in found}


def test_requests_go_to_the_heads_of_open_groups():
    """Only heads serve; equal groups share the requests."""
    known = two_groups()
    assert picks(known) == {"g0", "h0"}
    assert picks(known, tried={"g0"}) == {"h0"}
    assert picks(known, tried={"g0", "h0"}) == {MISSING.NONE_ELIGIBLE}


def evacuated(known):
    known.state.apply_configuration(interfaces.KeyedRecord(9, "zone/z2", b"1"))


@pytest.mark.parametrize(
    "change",
    [
        lambda k: (k.drop("g1"), k.evidence.lost.update(g1=0)),
        lambda k: (k.drop("g1"), k.state.forget_missing_member("g1")),
        lambda k: k.drop("g0"),
        lambda k: k.add(parts.worker("g0", "g", 0, member="ready")),
        lambda k: k.add(parts.worker("g0", "g", 0, member="closing")),
        lambda k: k.add(parts.worker("g1", "other", 1, member="ready")),
        lambda k: k.add(parts.worker("g1", "g", 1, draining=True)),
        lambda k: k.evidence.suspect("g0"),
        lambda k: k.evidence.lost.update(g1=0),
        lambda k: (k.add(parts.worker("g1", "g", 1, zone="z2")), evacuated(k)),
    ],
)
def test_a_group_that_lacks_anything_gets_no_request(change):
    """No request may begin in an incomplete, draining or lost group."""
    known = two_groups()
    change(known)
    assert picks(known) == {"h0"}


def test_a_member_whose_record_vanished_is_not_taken_for_lost():
    """A cut between members and the store alone would stop whole groups."""
    known = two_groups()
    known.drop("g1")
    assert picks(known) == {"g0", "h0"}


def test_the_emptier_group_is_chosen_until_all_are_full():
    """Load of peers counts like the own."""
    known = two_groups()
    known.loads.started("g0")
    assert picks(known) == {"h0"}
    known.loads.update_peer("p", {"h0": 5})
    assert picks(known) == {"g0"}
    known.loads.update_peer("p", {"h0": 5, "g0": 4})
    assert picks(known) == {MISSING.ALL_FULL}
    assert picks(known, max_fill=2.0) == {"g0", "h0"}
    known.loads.retain_peers(frozenset())
    assert picks(known) == {"h0"}


def test_the_own_zone_comes_first_on_equal_load():
    """Bytes between zones cost."""
    known = parts.Known()
    known.add(
        parts.worker("near", slots=4), parts.worker("far", slots=4, zone="z2")
    )
    assert picks(known, parts.PLAIN) == {"near"}
    known.loads.update_peer("p", {"near": 1})
    assert picks(known, parts.PLAIN) == {"far"}


def test_failures_never_exclude_all_workers():
    """A service would end for failures that are the requests' fault."""
    known = parts.Known()
    known.add(parts.worker("a", slots=4), parts.worker("b", slots=4))
    for _ in range(3):
        known.evidence.record_failure("a")
    assert picks(known, parts.PLAIN) == {"b"}
    for _ in range(3):
        known.evidence.record_failure("b")
    assert picks(known, parts.PLAIN) == {"a", "b"}


def test_a_cold_worker_gets_only_its_share():
    """A look ahead must not use the share up."""
    known = parts.Known()
    known.add(parts.worker("a", slots=9, cold_remaining_ms=60_000))
    for _ in range(5):
        known.choices.peek(parts.PLAIN, "", ())
    found = [known.choices.select(parts.PLAIN, "", ()) for _ in range(3)]
    assert found[2] is MISSING.ALL_FULL and found[1].id == "a"


@pytest.mark.parametrize(
    "sampling_threshold", [0, selection.SAMPLING_THRESHOLD]
)
@pytest.mark.parametrize("seed", range(30))
def test_a_possible_choice_is_one_that_would_be_made(
    seed, sampling_threshold, monkeypatch
):
    """A stream would wait for another worker that no choice returns."""
    monkeypatch.setattr(selection, "LOCAL_SAMPLE_SIZE", 1)
    rng = random.Random(seed)
    seen = set()
    for _ in range(30):
        known = parts.Known()
        known.choices.sampling_threshold = sampling_threshold
        names = [f"w{n}" for n in range(4)]
        for name in names[: rng.randrange(5)]:
            cold_remaining_ms = rng.choice((0, 60_000))
            known.add(
                parts.worker(name, slots=2, cold_remaining_ms=cold_remaining_ms)
            )
            known.loads.update_peer(name, {name: rng.randrange(4)})
            for _ in range(rng.choice((0, 3))):
                known.evidence.record_failure(name)
            if rng.random() < 0.2:
                known.evidence.suspect(name)
        for name in rng.sample(names, rng.randrange(3)):
            known.cold.record_request(name)
            known.cold.record_request(name)
        tried = rng.sample(names, rng.randrange(3))
        made = known.choices.peek(parts.PLAIN, "", tried)
        possible = known.choices.can_select(parts.PLAIN, "", tried)
        assert possible == (not isinstance(made, selection.NoWorker))
        seen.add(possible)
    assert seen == {True, False}


def test_a_search_for_another_group_ends_at_the_first(monkeypatch):
    """Each event of a stream would cost a look at all members of all groups."""
    known = parts.Known()
    for number in range(100):
        name = f"g{number}"
        known.add(parts.worker(name, name), parts.worker(name + "b", name, 1))
    looked = []
    monkeypatch.setattr(
        known.evidence, "suspected", lambda name: looked.append(name)
    )
    assert known.choices.can_select(parts.ENGINE, "small", ())
    assert len(looked) == 1


def test_a_request_moves_only_to_a_worker_with_room():
    """Under overload every move would begin work that is late as well."""
    known = parts.Known()
    known.add(parts.worker("a", slots=10), parts.worker("b", slots=10))
    known.loads.update_peer("p", {"a": 7, "b": 7})
    assert known.choices.can_select(parts.PLAIN, "", set())
    assert not known.choices.can_select(parts.PLAIN, "", set(), 0.7)


def many_groups(count=200, zones=4):
    """Groups of two in several zones; the first one is the gateway's."""
    known = parts.Known()
    for number in range(count):
        zone = f"z{number % zones + 1}"
        name = f"g{number}"
        known.add(
            parts.worker(name, name, 0, zone=zone),
            parts.worker(name + "b", name, 1, member="ready", zone=zone),
        )
    return known


def test_a_choice_among_many_looks_at_a_sample(monkeypatch):
    """Each request would cost a look at each of hundreds of groups."""
    known = many_groups()
    looked = []
    monkeypatch.setattr(
        known.evidence, "suspected", lambda name: looked.append(name)
    )
    known.choices.peek(parts.ENGINE, "small", ())
    assert (
        0
        < len(looked)
        <= selection.LOCAL_SAMPLE_SIZE + selection.REMOTE_SAMPLE_SIZE
    )


def test_a_sample_holds_workers_of_the_own_zone():
    """Bytes between zones cost, and most groups are in other zones."""
    known = many_groups(zones=25)
    found = {known.choices.select(parts.ENGINE, "small", ()) for _ in range(40)}
    assert {worker.zone for worker in found} == {"z1"}


@pytest.mark.parametrize("fault", ["full", "failing", "suspected", "tried"])
def test_the_only_good_worker_of_many_is_found(fault):
    """A request would be refused or fail although there is a place for it."""
    known = many_groups()
    others = [f"g{n}" for n in range(200) if n != 77]
    tried = others if fault == "tried" else ()
    for name in others:
        if fault == "full":
            known.loads.own[name] = 4
        elif fault == "failing":
            for _ in range(3):
                known.evidence.record_failure(name)
        elif fault == "suspected":
            known.evidence.suspect(name)
    assert picks(known, tried=tried) == {"g77"}
    known.drop("g77")
    missing = {"full": MISSING.ALL_FULL, "failing": None}
    expected = missing.get(fault, MISSING.NONE_ELIGIBLE)
    assert expected is None or picks(known, tried=tried) == {expected}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("each", [1, 2, 3])
def test_a_sample_spreads_requests_like_a_choice_among_all(seed, each):
    """Requests would wait at a group while others have free slots."""
    largest = {}
    for sampling_threshold in (selection.SAMPLING_THRESHOLD, 1_000):
        known = many_groups()
        known.choices.rng = random.Random(seed)
        known.choices.sampling_threshold = sampling_threshold
        for _ in range(each * 200):
            worker = known.choices.select(parts.ENGINE, "small", ())
            known.loads.started(worker.id)
        largest[sampling_threshold] = max(known.loads.own.values())
    assert largest[selection.SAMPLING_THRESHOLD] <= largest[1_000] + 1
