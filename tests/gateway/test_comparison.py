"""Tests of which records are fetched from which gateway."""

import dataclasses

from oleanderbay.gateway import comparison
from tests.gateway import network


def fetched(relaying, own_zone_offset):
    """Returns when records of another zone are fetched, in ms."""
    made = network.Network()
    members = made.start({"za": 5, "zb": 5})
    made.run(3_000)
    one, peer = members[:2]
    (view,) = one.peers.members.zones.views.values()
    view.summary = dataclasses.replace(view.summary, offsets={"workers": 7})
    peer = dataclasses.replace(
        one.peers.live[peer.id], offsets={"workers": own_zone_offset}
    )
    compared = comparison.OffsetComparison(made.clock, one.peers.feeds)
    times = []
    for now_ms in range(0, 1_000, 50):
        made.clock.set_ms(3_000 + now_ms)
        # The zone reads on, so that its highest offset is always ahead.
        view.summary.offsets["workers"] += 1
        if compared.topics_to_fetch_from_zone(view, [peer], relaying):
            times.append(now_ms)
    return times


def test_a_relay_fetches_from_another_zone_before_the_others_do():
    """All gateways of a zone that the store refuses would fetch at once."""
    after_ms = comparison.FETCH_AFTER_MS
    assert fetched(True, -1) == [after_ms, 2 * after_ms, 3 * after_ms]
    assert fetched(False, -1) == [2 * after_ms]


def test_a_gateway_of_the_own_zone_is_asked_first():
    """Records would cross zones once for each gateway."""
    assert fetched(True, 100) == []
