"""Tests of zone summaries."""

import dataclasses

from oleanderbay.gateway import positions, request_load, summaries


def test_sums_combine_contents_of_all_gateways():
    """With wrong sums, other zones would select workers by a wrong load."""
    one = {
        **summaries.EMPTY_CONTENTS,
        "in_flight": {"w": 2, "v": 1},
        "demand": {"m": 1.5},
        "suspects": ["w"],
        "lost": {"u": 7},
        "loads_begun": 1,
        "planned": {"m": 1},
        "crashes": {"p": ["w/1"]},
        "survived": {"q": 70},
        "request_crashes": {"r": ["w/1"]},
        "request_survived": {"s": 70},
        "limits": {"w": (2.5, 70)},
    }
    two = {
        **one,
        "in_flight": {"w": 3},
        "suspects": ["v"],
        "lost": {"u": 9},
        "serving": True,
        "crashes": {"p": ["v/1", "w/1"]},
        "survived": {"q": 50},
        "request_crashes": {"r": ["v/1"]},
        "request_survived": {"s": 90},
        "limits": {"w": (None, 50), "v": (1.0, 9)},
    }
    assert summaries.sum_contents([one, two, summaries.EMPTY_CONTENTS]) == {
        "in_flight": {"w": 5, "v": 1},
        "busy": 2,
        "demand": {"m": 3.0},
        "suspects": ["v", "w"],
        "sound": [],
        "lost": {"u": 9},
        "loads_begun": 2,
        "planned": {"m": 2},
        "serving": True,
        "crashes": {"p": ["v/1", "w/1"]},
        "survived": {"q": 50},
        "request_crashes": {"r": ["v/1", "w/1"]},
        "request_survived": {"s": 70},
        "limits": {"w": (None, 50), "v": (1.0, 9)},
    }


def test_a_summary_of_an_earlier_version_is_accepted():
    """During an upgrade, zones would be cut off from each other."""
    sums = dict(summaries.EMPTY_CONTENTS)
    for added_later in (
        *summaries.CRASH_KEYS,
        *summaries.SURVIVAL_KEYS,
        "limits",
    ):
        del sums[added_later]
    parsed = summaries.parse_summary({**summary("a").body(None), "sums": sums})
    assert parsed.sums == summaries.EMPTY_CONTENTS


def test_a_summary_states_the_eras_of_its_offsets():
    """Gateways of other zones would take restored records for old ones."""
    position = positions.combine(3, 7)
    built = dataclasses.replace(summary("a"), offsets={"workers": position})
    body = built.body(None)
    assert body["offsets"] == {"workers": 7}
    assert summaries.parse_summary(body).offsets == {"workers": position}


def test_zone_counts_as_number_of_its_busy_gateways():
    """Counted as one gateway, a zone would seem to use nearly all slots."""
    loads = request_load.RequestLoad()
    loads.update_peer("p", {"w": 2})
    loads.update_peer("zone/z", {"w": 18}, gateways=8)
    assert loads.own_share(["w"]) == 2.0
    loads.update_peer("zone/z", {}, gateways=0)
    assert loads.own_share(["w"]) == 1.0


def summary(relay, gateways=(), sequence=1):
    """Makes a summary; `gateways` are pairs of an id and whether it relays."""
    listed = tuple(
        summaries.ListedGateway(id_, "s", id_, id_, True, False, relays)
        for id_, relays in gateways
    )
    return summaries.Summary(
        zone="z1",
        id=relay,
        start_id="s",
        host="h",
        sequence=sequence,
        interval_ms=200,
        store_age_ms=0,
        offsets={},
        digest=summaries.digest(listed),
        sums=summaries.EMPTY_CONTENTS,
        gateways=listed,
    )


def test_summary_of_own_zone_is_ignored():
    """Otherwise a gateway would count its own load twice."""
    zones = summaries.ZoneSummaries("z1")
    assert not zones.apply(summary("a"), 0, 200, 1_500) and not zones.views
    assert summaries.ZoneSummaries("z2").apply(summary("a"), 0, 200, 1_500)


def test_current_relay_is_kept_until_it_is_silent_or_no_relay():
    """Without it, sums would alternate between relays with each datagram.

    A relay that the other's list no longer has as a relay must be replaced.
    """
    zones = summaries.ZoneSummaries("z2")
    both = (("a", True), ("b", True))
    assert zones.apply(summary("a", both), 0, 200, 1_500)
    assert not zones.apply(summary("b", both), 400, 200, 1_500)
    assert zones.apply(summary("b", both, 2), 401, 200, 1_500)
    without = (("a", True), ("b", False))
    assert not zones.apply(summary("a", both, 2), 500, 200, 1_500)
    assert zones.apply(summary("a", without, 3), 500, 200, 1_500)
    assert not zones.apply(summary("a", without, 3), 500, 200, 1_500)
