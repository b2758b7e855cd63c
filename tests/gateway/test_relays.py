"""Tests of zones that exchange summaries, under failures."""

import msgpack
import pytest

from tests.gateway import network

SIZES = {"za": 5, "zb": 5, "zc": 5}
# R15 allows 6 s.
LEFT_TARGET_MS = 3_000
STOP_LIMIT_MS = 1_000


def settled(sizes=SIZES, **settings):
    """Starts gateways, waits until all know each other, checks each step."""
    made = network.Network()
    made.start(sizes, **settings)
    made.run(8_000)
    assert made.complete()
    size = len(made.members)

    def never_more_than_once():
        for one in made.members.values():
            assert one.loads.in_flight(network.WORKER) <= size

    made.checks.append(never_more_than_once)
    return made


def between_zones(made):
    """Returns the datagrams that left their sender's zone."""
    zones = {one.host: one.zone for one in made.members.values()}
    return [
        (sender, body)
        for sender, host, body in made.sent
        if zones.get(host, sender.zone) != sender.zone
    ]


def test_up_to_eight_gateways_send_what_they_sent_before():
    """A small fleet must not change its messages or pay for a hop."""
    made = settled({"za": 3, "zb": 3, "zc": 2})
    made.sent.clear()
    made.run(2_000)
    assert all("summaries" not in body for _, _, body in made.sent)
    assert all("summarized" not in body for _, _, body in made.sent)
    assert len(made.sent) == 8 * 7 * 10


def test_only_relays_send_to_other_zones():
    """Each gateway's heartbeats to all zones cost a third of a day."""
    made = settled()
    made.sent.clear()
    made.run(2_000)
    relays = {one.id for zone in SIZES for one in made.relays(zone)}
    crossed = between_zones(made)
    assert {sender.id for sender, _ in crossed} == relays
    assert all("summaries" in body for _, body in crossed)
    assert len(crossed) == len(relays) * 4 * 10


@pytest.mark.parametrize("lost", [[0], [1], [0, 1], [2]])
def test_a_killed_gateway_leaves_the_directory_and_counts_for_a_time(lost):
    """Callers would be sent to it, or the others exceed global limits.

    The lost ones are given by their place among the relays of their zone.
    """
    made = settled()
    relays = made.relays("za")
    others = [
        one
        for one in made.members.values()
        if one.zone == "za" and one not in relays
    ]
    killed = [[*relays, *others][place] for place in lost]
    made.kill(*killed)
    names = {one.id for one in killed}
    began_ms = made.clock.now_ms()
    made.until(
        lambda: (
            not any(one.directory() & names for one in made.members.values())
        ),
        LEFT_TARGET_MS,
    )
    made.until(made.complete, LEFT_TARGET_MS)
    # The 6 s count from the last heartbeat, at most 200 ms before.
    made.run(5_800 - (made.clock.now_ms() - began_ms))
    assert {one.known() for one in made.members.values()} == {15}
    made.run(3_000)
    assert {one.known() for one in made.members.values()} == {15 - len(lost)}


def test_the_loss_of_one_relay_hides_no_other_gateway():
    """Callers would lose a zone that serves."""
    made = settled()
    (first, second) = made.relays("zb")
    made.kill(first)

    def all_listed():
        for one in made.members.values():
            assert set(made.members) - {one.id} <= one.directory()

    made.checks.append(all_listed)
    made.run(3_000)
    made.kill(second)
    made.checks.remove(all_listed)
    made.run(3_000)
    assert made.complete()


def test_zones_find_each_other_after_the_loss_of_all_relays():
    """The remembered relays of both zones would be dead addresses."""
    made = settled()
    made.kill(*(one for zone in SIZES for one in made.relays(zone)))
    made.until(made.complete, 6_000)


@pytest.mark.parametrize("leaves", [0, 1, 2])
@pytest.mark.parametrize("rate", [200, 10])
@pytest.mark.parametrize("size", [1, 5])
def test_a_planned_stop_leaves_all_directories_within_a_second(
    leaves, rate, size
):
    """Callers would get closed connections from it, also at long intervals."""
    made = settled({**SIZES, "za": size}, max_heartbeats_per_s=rate)
    relays = made.relays("za")
    others = [
        one
        for one in made.members.values()
        if one.zone == "za" and one not in relays
    ]
    stopped = [*relays, *others][leaves % size]
    stopped.leave()
    made.until(
        lambda: (
            not any(
                stopped.id in one.directory() for one in made.members.values()
            )
        ),
        STOP_LIMIT_MS,
    )


def test_a_killed_gateway_leaves_within_the_limit_at_long_intervals():
    """R15 holds as well where heartbeats come once a second."""
    made = settled(max_heartbeats_per_s=10)
    (first, _) = made.relays("za")
    assert first.peers.interval_ms() == 1_000
    made.kill(first)
    made.until(
        lambda: (
            not any(
                first.id in one.directory() for one in made.members.values()
            )
        ),
        6_000,
    )


def test_zones_that_were_cut_off_find_each_other_again():
    """The zones would stay apart, or spend more than their shares."""
    made = settled()
    made.cut = lambda one, other: (one.zone == "za") != (other.zone == "za")
    made.run(5_700)
    assert {one.known() for one in made.members.values()} == {15}
    made.run(10_000)
    assert {one.known() for one in made.members.values()} == {5, 10}
    for one in made.members.values():
        assert one.loads.in_flight(network.WORKER) == (
            5 if one.zone == "za" else 10
        )
    made.sent.clear()
    made.run(10_000)
    heartbeats = [b for _, b in between_zones(made) if "summaries" not in b]
    # Every ten heartbeats the 5 that know no others try all addresses, and
    # the 10 others two of them.
    assert 0 < len(heartbeats) <= (5 * 10 + 10 * 2) * 5
    made.cut = lambda one, other: False
    made.until(made.complete, 3_000)
    assert {one.known() for one in made.members.values()} == {15}


def test_gateways_may_disagree_about_the_limit_of_the_full_mesh():
    """Some would not hear others, or count them twice."""
    made = network.Network()
    made.start({"za": 3, "zb": 3}, full_mesh_gateways=100)
    made.start({"za": 2, "zb": 2, "zc": 5}, first=3, full_mesh_gateways=8)
    for one in made.members.values():
        for other in made.members.values():
            one.peers.add_address(other.host, other.id)
    made.run(8_000)
    assert made.complete()

    def never_more_than_once():
        for one in made.members.values():
            assert one.loads.in_flight(network.WORKER) <= 15
            assert one.known() == 15

    made.checks.append(never_more_than_once)
    made.run(5_000)
    assert made.complete()


def test_a_gateway_of_an_earlier_version_hears_all_others():
    """It would drop the other zones from its directory during an upgrade."""
    made = network.Network()
    made.start(SIZES)
    (old,) = made.start({"za": 1}, first=5, full_mesh_gateways=100)
    old.peers._summaries_received = lambda body: None
    made.run(8_000)
    assert made.complete()


@pytest.mark.parametrize("size", [3, 11])
def test_all_gateways_start_at_once_with_a_few_seeds(size):
    """After the loss of all gateways service returns within 12 s (R16)."""
    made = network.Network()
    seeds = ["10.97.0.0", "10.98.0.1"]
    made.start(dict.fromkeys(SIZES, size), addresses=seeds)

    def never_more_than_once():
        for one in made.members.values():
            assert one.loads.in_flight(network.WORKER) <= 3 * size

    made.checks.append(never_more_than_once)
    made.run(1_000)
    for one in made.members.values():
        for other in made.members.values():
            one.peers.add_address(other.host, other.id)
    made.until(made.complete, 3_000)


def test_a_list_is_asked_for_once_for_each_summary():
    """Each answer without the list would be followed by another request."""
    made = settled()
    sender, _, body = next(
        sent
        for sent in reversed(made.sent)
        if "summaries" in sent[2] and not sent[2]["forwarded"]
    )
    (new,) = made.start({"zd": 1})
    made.sent.clear()
    made.drop = lambda body: True
    for _ in range(3):
        new.peers._received(msgpack.packb(body))
    asked = [(host, body["lists"]) for _, host, body in made.sent]
    assert asked == [(sender.host, [sender.zone])]


def test_a_list_that_was_lost_is_asked_for():
    """A dead gateway would stay in the directory of another zone."""
    made = settled()
    gone = next(
        one
        for one in made.members.values()
        if one.zone == "za" and one not in made.relays("za")
    )
    made.kill(gone)
    made.drop = lambda body: any(
        "gateways" in one for one in body.get("summaries", ())
    )
    made.run(2_500)
    assert not made.complete()
    made.drop = lambda body: False
    made.until(made.complete, 500)


@pytest.mark.parametrize("seed", range(3))
def test_lost_datagrams_count_nothing_twice_and_no_gateway_too_few(seed):
    """Shares of global limits would sum up to more than the limit."""
    made = network.Network(seed)
    made.start(SIZES)
    made.run(8_000)
    made.loss = 0.3

    def holds():
        for one in made.members.values():
            assert one.loads.in_flight(network.WORKER) <= 15
            assert one.known() >= 15

    made.checks.append(holds)
    made.run(20_000)
    made.loss = 0.0
    made.until(made.complete, 3_000)


def test_new_gateways_and_zones_are_counted_by_all():
    """The fleet would exceed its limits by the shares of the new ones."""
    made = settled()
    made.checks.clear()
    (first, _) = made.relays("zc")
    made.kill(first)
    made.start({"zc": 1, "zd": 3}, first=5)
    began = made.members["zc-5"]
    assert began.known() >= 18
    made.until(made.complete, 6_000)
    made.run(1_000)
    assert all(
        one.known() >= len(made.members) for one in made.members.values()
    )
