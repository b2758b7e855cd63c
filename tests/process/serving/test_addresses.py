"""Tests for the selection of entry addresses for callers."""

import dataclasses

from oleanderbay.process import clock, interfaces
from oleanderbay.process.serving import addresses


def _entry(id, zone, leaving=False):
    return interfaces.Entry(
        id=id,
        start_id=id,
        zone=zone,
        caller_address=f"{id}:1",
        peer_address="",
        leaving=leaving,
    )


@dataclasses.dataclass
class Members:
    entries: list

    @property
    def me(self):
        return self.entries[0]

    def live(self):
        return tuple(self.entries)


def _directory(*entries, accepts_work=True, drained=()):
    return addresses.AddressDirectory(
        Members(list(entries)),
        1_000,
        clock.ManualClock(),
        lambda: accepts_work,
        lambda: "ticket",
        lambda: frozenset(drained),
    )


A, B, C = _entry("a", "z1"), _entry("b", "z1"), _entry("c", "z2")


def test_the_callers_zone_is_preferred_and_others_are_fallbacks():
    """A caller of a failed zone needs an address elsewhere."""
    response = _directory(A, B, C).build_response("z1")
    assert sorted(response["addresses"]) == ["a:1", "b:1"]
    assert response["fallbacks"] == ["c:1"]
    assert response["ttl_ms"] == 1_000 and response["ticket"] == "ticket"


def test_responses_rotate_the_addresses():
    """Callers use the first address, so it must not always be the same."""
    directory = _directory(A, B)
    firsts = {directory.build_response("z1")["addresses"][0] for _ in range(4)}
    assert firsts == {"a:1", "b:1"}


def test_leaving_or_refusing_entries_are_not_listed():
    """New requests must not be sent to a leaving or cut-off entry."""
    leaving = dataclasses.replace(B, leaving=True)
    response = _directory(A, leaving, C, accepts_work=False).build_response(
        "z1"
    )
    assert response["addresses"] == ["c:1"] and not response["ticket"]


def test_entries_of_a_drained_zone_are_not_listed():
    """A drained zone must receive no new requests (P4)."""
    response = _directory(A, B, C, drained=("z1",)).build_response("z1")
    assert response["addresses"] == ["c:1"] and not response["fallbacks"]


def test_the_expiry_of_the_last_response_is_kept_for_the_shutdown():
    """An entry must serve until no caller has its address cached."""
    directory = _directory(A, B)
    directory.clock.set_ms(500)
    directory.build_response("z1")
    assert directory.last_expiry_ms == 1_500
    directory = _directory(dataclasses.replace(A, leaving=True), B)
    directory.build_response("z1")
    assert directory.last_expiry_ms == 0
