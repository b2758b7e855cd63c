"""Tests of the selection of workers."""

import random

import pytest

from oleanderbay.gateway import interfaces, selection
from tests.gateway import parts

NO_WORKER = selection.NoWorker


def two_groups():
    gateway = parts.GatewayParts()
    for name in ("g", "h"):
        gateway.add(
            parts.worker(f"{name}0", name, 0),
            parts.worker(f"{name}1", name, 1, member="ready"),
        )
    return gateway


def selected(gateway, service=parts.MODEL_SERVICE, tried=(), **more):
    """Returns the ids of the workers that selections return."""
    found = {
        gateway.selector.select(service, "small", tried, **more)
        for _ in range(40)
    }
    return {w if isinstance(w, NO_WORKER) else w.id for w in found}


def test_requests_go_to_the_heads_of_open_groups():
    """Only heads serve; equally loaded groups share the requests."""
    gateway = two_groups()
    assert selected(gateway) == {"g0", "h0"}
    assert selected(gateway, tried={"g0"}) == {"h0"}
    assert selected(gateway, tried={"g0", "h0"}) == {NO_WORKER.NONE_ELIGIBLE}


def evacuated(gateway):
    gateway.state.apply_configuration(
        interfaces.KeyedRecord(9, "zone/z2", b"1")
    )


@pytest.mark.parametrize(
    "change",
    [
        lambda k: (k.drop("g1"), k.worker_health.lost.update(g1=0)),
        lambda k: (k.drop("g1"), k.state.forget_missing_member("g1")),
        lambda k: k.drop("g0"),
        lambda k: k.add(parts.worker("g0", "g", 0, member="ready")),
        lambda k: k.add(parts.worker("g0", "g", 0, member="closing")),
        lambda k: k.add(parts.worker("g1", "other", 1, member="ready")),
        lambda k: k.add(parts.worker("g1", "g", 1, draining=True)),
        lambda k: k.worker_health.suspect("g0"),
        lambda k: k.worker_health.lost.update(g1=0),
        lambda k: (k.add(parts.worker("g1", "g", 1, zone="z2")), evacuated(k)),
    ],
)
def test_a_group_that_is_not_fully_available_gets_no_request(change):
    """No request may start in an incomplete, draining or lost group."""
    gateway = two_groups()
    change(gateway)
    assert selected(gateway) == {"h0"}


def test_a_member_without_a_record_is_not_assumed_lost():
    """A partition between members and the store must not stop whole groups."""
    gateway = two_groups()
    gateway.drop("g1")
    assert selected(gateway) == {"g0", "h0"}


def test_the_less_loaded_group_is_selected_until_all_are_full():
    """Requests of peer gateways count like those of this gateway."""
    gateway = two_groups()
    gateway.loads.record_start("g0")
    assert selected(gateway) == {"h0"}
    gateway.loads.update_peer("p", {"h0": 5})
    assert selected(gateway) == {"g0"}
    gateway.loads.update_peer("p", {"h0": 5, "g0": 4})
    assert selected(gateway) == {NO_WORKER.ALL_FULL}
    assert selected(gateway, max_fill=2.0) == {"g0", "h0"}
    gateway.loads.retain_peers(frozenset())
    assert selected(gateway) == {"h0"}


def test_the_local_zone_is_preferred_on_equal_load():
    """Traffic between zones is expensive."""
    gateway = parts.GatewayParts()
    gateway.add(
        parts.worker("near", slots=4), parts.worker("far", slots=4, zone="z2")
    )
    assert selected(gateway, parts.PLAIN_SERVICE) == {"near"}
    gateway.loads.update_peer("p", {"near": 1})
    assert selected(gateway, parts.PLAIN_SERVICE) == {"far"}


def test_failures_never_exclude_all_workers():
    """Failures that the requests cause must not stop the whole service."""
    gateway = parts.GatewayParts()
    gateway.add(parts.worker("a", slots=4), parts.worker("b", slots=4))
    for _ in range(3):
        gateway.worker_health.record_failure("a")
    assert selected(gateway, parts.PLAIN_SERVICE) == {"b"}
    for _ in range(3):
        gateway.worker_health.record_failure("b")
    assert selected(gateway, parts.PLAIN_SERVICE) == {"a", "b"}


def test_a_cold_worker_gets_only_its_request_rate():
    """`peek` must not consume the rate."""
    gateway = parts.GatewayParts()
    gateway.add(parts.worker("a", slots=9, remaining_cold_ms=60_000))
    for _ in range(5):
        gateway.selector.peek(parts.PLAIN_SERVICE, "", ())
    found = [
        gateway.selector.select(parts.PLAIN_SERVICE, "", ()) for _ in range(3)
    ]
    assert found[2] is NO_WORKER.ALL_FULL and found[1].id == "a"


@pytest.mark.parametrize(
    "sampling_threshold", [0, selection.SAMPLING_THRESHOLD]
)
@pytest.mark.parametrize("seed", range(30))
def test_can_select_agrees_with_peek(seed, sampling_threshold, monkeypatch):
    """Otherwise a stream fails over although no worker would be selected."""
    monkeypatch.setattr(selection, "LOCAL_SAMPLE_SIZE", 1)
    rng = random.Random(seed)
    seen = set()
    for _ in range(30):
        gateway = parts.GatewayParts()
        gateway.selector.sampling_threshold = sampling_threshold
        names = [f"w{n}" for n in range(4)]
        for name in names[: rng.randrange(5)]:
            remaining_cold_ms = rng.choice((0, 60_000))
            gateway.add(
                parts.worker(name, slots=2, remaining_cold_ms=remaining_cold_ms)
            )
            gateway.loads.update_peer(name, {name: rng.randrange(4)})
            for _ in range(rng.choice((0, 3))):
                gateway.worker_health.record_failure(name)
            if rng.random() < 0.2:
                gateway.worker_health.suspect(name)
        for name in rng.sample(names, rng.randrange(3)):
            gateway.cold_budget.record_request(name)
            gateway.cold_budget.record_request(name)
        tried = rng.sample(names, rng.randrange(3))
        peeked = gateway.selector.peek(parts.PLAIN_SERVICE, "", tried)
        can_select = gateway.selector.can_select(parts.PLAIN_SERVICE, "", tried)
        assert can_select == (not isinstance(peeked, selection.NoWorker))
        seen.add(can_select)
    assert seen == {True, False}


def test_can_select_stops_at_the_first_suitable_group(monkeypatch):
    """It runs for each event of a stream and must not visit all groups."""
    gateway = parts.GatewayParts()
    for number in range(100):
        name = f"g{number}"
        gateway.add(parts.worker(name, name), parts.worker(name + "b", name, 1))
    checked = []
    monkeypatch.setattr(
        gateway.worker_health, "is_suspected", lambda name: checked.append(name)
    )
    assert gateway.selector.can_select(parts.MODEL_SERVICE, "small", ())
    assert len(checked) == 1


def test_a_failover_needs_a_worker_with_room():
    """Under overload, a failover would start work that is late as well."""
    gateway = parts.GatewayParts()
    gateway.add(parts.worker("a", slots=10), parts.worker("b", slots=10))
    gateway.loads.update_peer("p", {"a": 7, "b": 7})
    assert gateway.selector.can_select(parts.PLAIN_SERVICE, "", set())
    assert not gateway.selector.can_select(parts.PLAIN_SERVICE, "", set(), 0.7)


def many_groups(count=200, zones=4):
    """Creates groups of two in several zones; the gateway is in the first."""
    gateway = parts.GatewayParts()
    for number in range(count):
        zone = f"z{number % zones + 1}"
        name = f"g{number}"
        gateway.add(
            parts.worker(name, name, 0, zone=zone),
            parts.worker(name + "b", name, 1, member="ready", zone=zone),
        )
    return gateway


def test_a_selection_among_many_groups_checks_only_a_sample(monkeypatch):
    """Visiting all of hundreds of groups for each request is too slow."""
    gateway = many_groups()
    checked = []
    monkeypatch.setattr(
        gateway.worker_health, "is_suspected", lambda name: checked.append(name)
    )
    gateway.selector.peek(parts.MODEL_SERVICE, "small", ())
    assert (
        0
        < len(checked)
        <= selection.LOCAL_SAMPLE_SIZE + selection.REMOTE_SAMPLE_SIZE
    )


def test_a_sample_contains_workers_of_the_local_zone():
    """Traffic between zones is expensive, and most groups are remote."""
    gateway = many_groups(zones=25)
    found = {
        gateway.selector.select(parts.MODEL_SERVICE, "small", ())
        for _ in range(40)
    }
    assert {worker.zone for worker in found} == {"z1"}


@pytest.mark.parametrize("fault", ["full", "failing", "suspected", "tried"])
def test_the_only_suitable_worker_of_many_is_found(fault):
    """A sample that lacks it must not lead to a refusal or a failure."""
    gateway = many_groups()
    others = [f"g{n}" for n in range(200) if n != 77]
    tried = others if fault == "tried" else ()
    for name in others:
        if fault == "full":
            gateway.loads.own_counts[name] = 4
        elif fault == "failing":
            for _ in range(3):
                gateway.worker_health.record_failure(name)
        elif fault == "suspected":
            gateway.worker_health.suspect(name)
    assert selected(gateway, tried=tried) == {"g77"}
    gateway.drop("g77")
    expected_by_fault = {"full": NO_WORKER.ALL_FULL, "failing": None}
    expected = expected_by_fault.get(fault, NO_WORKER.NONE_ELIGIBLE)
    assert expected is None or selected(gateway, tried=tried) == {expected}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("each", [1, 2, 3])
def test_sampling_balances_load_like_a_full_comparison(seed, each):
    """Requests must not wait at one group while others have free slots."""
    largest = {}
    for sampling_threshold in (selection.SAMPLING_THRESHOLD, 1_000):
        gateway = many_groups()
        gateway.selector.rng = random.Random(seed)
        gateway.selector.sampling_threshold = sampling_threshold
        for _ in range(each * 200):
            worker = gateway.selector.select(parts.MODEL_SERVICE, "small", ())
            gateway.loads.record_start(worker.id)
        largest[sampling_threshold] = max(gateway.loads.own_counts.values())
    assert largest[selection.SAMPLING_THRESHOLD] <= largest[1_000] + 1
