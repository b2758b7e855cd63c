"""Tests of the decisions about other entries: view, lease, divergence."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderbay.connection import peer
from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import (
    bootstrap,
    divergence,
    freshness,
    relay,
)
from oleanderbay.process.configuration import follower as followers
from oleanderbay.process.membership import heartbeats, membership, neighbours


def entry(id, run="1", address=None):
    return interfaces.Entry(
        id=id,
        start_id=f"{id}-{run}",
        zone="a",
        caller_address="",
        peer_address=address or f"{id}:2",
    )


def line(id, state=native.InstanceState.LIVE):
    return native.Instance(
        id=id,
        role="entry",
        address="",
        zone="a",
        state=state,
        peer_address=f"{id}:2",
    )


def said(offset=0, age_ms=0, view="", leaving=False):
    return membership.Heartbeat(
        offset=offset,
        digest="00",
        confirmation_age_ms=age_ms,
        view_digest=view,
        leaving=leaving,
    )


class View:
    """A membership and a lease of entry `a` among a to e."""

    def __init__(self, ids="abcde"):
        self.clock = clocks.ManualClock()
        self.members = membership.Membership(entry("a"), self.clock)
        self.lease = freshness.FreshnessLease(self.members, self.clock)
        self.lease.started = True
        self.members.note_list([line(id) for id in ids])

    def hear(self, ids, run="1", **fields):
        for id in ids:
            state = self.members.note_heartbeat(
                entry(id, run), said(**fields), self.clock.now_ms()
            )
            self.lease.note_peer(state)


def test_new_start_replaces_the_old_one():
    """A replaced process must not be mistaken for the old one."""
    view = View()
    view.hear("b")
    view.hear("b", run="2")
    assert [e.start_id for e in view.members.live()] == ["a-1", "b-2"]
    assert view.members.known_count() == 5
    view.members.note_linked(entry("z", address="b:2"))
    assert "b" not in view.members.known_zones()


def test_late_heartbeat_of_an_old_link_changes_nothing():
    """A message held up by the network must not make a peer look older."""
    view = View()
    view.clock.set_ms(1_000)
    view.hear("b", offset=5)
    view.members.note_heartbeat(entry("b"), said(offset=3), 500)
    assert view.members.heard()[0].heartbeat.offset == 5


def test_view_confirmations_expire():
    """A permit owner must not count confirmations of the past."""
    view = View()
    view.hear("bc")
    view.hear("bc", view=view.members.view_digest())
    assert view.members.view_confirmations(1_000) == 3
    view.clock.set_ms(1_001)
    assert view.members.view_confirmations(1_000) == 1


def test_left_entry_returns_only_as_a_new_start():
    """A lagging list must not bring back an entry that left."""
    view = View()
    view.hear("b", leaving=True)
    assert view.members.known_count() == 4
    view.members.note_list([line(id) for id in "abcde"])
    assert view.members.known_count() == 4
    view.hear("b", run="2")
    assert view.members.known_count() == 5
    # The list may be too old to show it, but not for ever.
    view.members.note_list([line(id) for id in "acde"])
    assert view.members.known_count() == 5
    view.clock.set_ms(membership.UNLISTED_MS + 1)
    view.members.note_list([line(id) for id in "acde"])
    assert view.members.known_count() == 4


def test_confirmation_of_a_peer_counts_from_what_it_acknowledged():
    """The age must include the time that the message was under way."""
    view = View()
    view.clock.set_ms(10_000)
    view.lease.note_applied(7)
    state = view.members.note_heartbeat(
        entry("b"), said(offset=7, age_ms=500), 9_000
    )
    view.lease.note_peer(state)
    assert view.lease.confirmation_age_ms() == 1_500


def test_confirmation_waits_until_the_offset_is_applied():
    """A peer that is ahead confirms nothing about this entry's state."""
    view = View()
    view.hear("b", offset=7)
    assert view.lease.confirmation_age_ms() is None
    view.lease.note_applied(6)
    assert view.lease.confirmation_age_ms() is None
    view.lease.note_applied(7)
    assert view.lease.confirmation_age_ms() == 0


@pytest.mark.parametrize(
    "peers, own, expected",
    [
        ("bc", 5, interfaces.Freshness.OUTAGE),
        ("b", 5, interfaces.Freshness.CUT_OFF),
        ("bcde", 4, interfaces.Freshness.CUT_OFF),
    ],
)
def test_outage_needs_a_majority_that_is_not_ahead(peers, own, expected):
    """One of any majority has applied whatever was accepted."""
    view = View()
    view.lease.note_applied(own)
    view.lease.note_tail(0, own + 1)
    view.clock.set_ms(20_000)
    view.hear(peers, offset=5, age_ms=10_000)
    assert view.lease.state() is expected


def test_peer_fresh_at_a_newer_offset_ends_the_outage():
    """The log is reachable for others, so changes may be accepted."""
    view = View()
    view.lease.note_tail(0, 1)
    view.clock.set_ms(20_000)
    view.hear("bcd", age_ms=10_000)
    assert view.lease.state() is interfaces.Freshness.OUTAGE
    view.hear("e", offset=1, age_ms=0)
    assert view.lease.state() is interfaces.Freshness.CUT_OFF


def test_unread_list_and_peers_without_confirmation_do_not_count():
    """A majority of a known set of one would mean nothing."""
    clock = clocks.ManualClock()
    members = membership.Membership(entry("a"), clock)
    lease = freshness.FreshnessLease(members, clock)
    lease.started = True
    lease.note_tail(0, 1)
    clock.set_ms(5_000)
    assert lease.state() is interfaces.Freshness.CUT_OFF
    view = View()
    view.lease.note_tail(0, 1)
    view.clock.set_ms(20_000)
    view.hear("bcde", age_ms=None)
    assert view.lease.state() is interfaces.Freshness.CUT_OFF


def test_divergence_needs_two_agreeing_peers_and_more_than_agree_here():
    """The healthy majority must not stop because of two diverged entries."""
    check = divergence.DivergenceCheck()
    check.note_mine(5, "x")
    check.note_peer("b", 5, "y")
    assert check.diverged_at is None
    check.note_peer("c", 5, "y")
    assert check.diverged_at == 5
    check.note_peer("d", 5, "x")
    check.note_peer("e", 5, "x")
    assert check.diverged_at is None
    check.note_peer("f", 6, "y")
    check.note_peer("g", 6, "y")
    check.note_mine(6, "x")
    assert check.diverged_at == 6


BODIES = st.recursive(
    st.none()
    | st.integers()
    | st.binary(max_size=4)
    | st.booleans()
    | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=9)
        | st.dictionaries(
            st.sampled_from(["id", "start_id", "zone", "attempt"]), inner
        )
    ),
)


@settings(derandomize=True, deadline=None)
@given(BODIES)
def test_any_handshake_is_read_or_refused(body):
    """The first bytes of a connection come from anybody."""
    try:
        hello = peer.decode_hello(body)
    except peer.HandshakeError:
        return
    assert hello.id and hello.start_id


@settings(derandomize=True, deadline=None, max_examples=200)
@given(BODIES)
def test_any_relay_body_is_answered_or_a_typed_error(body):
    """Peers' requests and answers must not raise errors of other kinds."""
    view = View()
    follower = followers.Follower(
        None, view.lease, view.members, view.clock, None
    )
    serving = relay.Relay(
        follower, Handlers(), view.members, None, view.clock, None
    )

    async def call():
        for handler in (serving._give_records, serving._give_snapshot):
            try:
                assert await handler(entry("b"), body) == []
            except interfaces.PeerError:
                pass
        for read in (relay._records, lambda b: bootstrap._offer("b", b)):
            try:
                assert read(body) == [] or body[2] > 0
            except interfaces.PeerError:
                pass

    asyncio.run(call())


class Handlers:
    """A transport that takes handlers only."""

    def register(self, kind, handler):
        setattr(self, kind, handler)


@settings(derandomize=True, deadline=None)
@given(BODIES)
def test_any_body_is_a_heartbeat_or_a_typed_error(body):
    """A peer's heartbeat must never raise an error of another kind."""
    try:
        sequence, echo, heartbeat = heartbeats.decode(body)
    except interfaces.PeerError:
        return
    assert heartbeats.encode(sequence, echo, heartbeat)[:3] == body[:3]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(1, 120), st.integers(1, 6))
def test_neighbours_are_symmetric_connected_and_bounded(count, zone_count):
    """Every entry must reach every other, also when one is missing."""
    zones = {f"e{n:04}": f"z{n * 7 % zone_count}" for n in range(count)}
    chosen = {id: neighbours.choose(id, zones) for id in zones}
    for id, others in chosen.items():
        assert all(id in chosen[other] for other in others)
        if count > neighbours.FULL_MESH_ENTRIES:
            assert len(others) <= 4 + 2 * 4
    for missing in [None, *list(zones)[:5]]:
        rest = set(zones) - {missing}
        reached, todo = set(), sorted(rest)[:1]
        while todo:
            id = todo.pop()
            if id not in reached:
                reached.add(id)
                todo += [o for o in chosen[id] if o != missing]
        assert reached == rest
    readers = neighbours.log_readers(zones)
    if count > neighbours.FULL_MESH_ENTRIES:
        assert {zones[id] for id in readers} == set(zones.values())
        assert len(readers) <= 2 * zone_count
