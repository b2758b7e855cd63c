"""Tests of which addresses callers are told to use."""

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


def test_the_callers_zone_comes_first_and_others_are_fallbacks():
    """A caller of a failed zone needs an address elsewhere."""
    answer = _directory(A, B, C).build_response("z1")
    assert sorted(answer["addresses"]) == ["a:1", "b:1"]
    assert answer["fallbacks"] == ["c:1"]
    assert answer["ttl_ms"] == 1_000 and answer["ticket"] == "ticket"


def test_answers_take_turns():
    """Callers use the first address, so it must not always be the same."""
    directory = _directory(A, B)
    firsts = {directory.build_response("z1")["addresses"][0] for _ in range(4)}
    assert firsts == {"a:1", "b:1"}


def test_entries_that_leave_or_take_no_work_are_not_named():
    """New work must not be sent to a leaving or cut-off entry."""
    leaving = dataclasses.replace(B, leaving=True)
    answer = _directory(A, leaving, C, accepts_work=False).build_response("z1")
    assert answer["addresses"] == ["c:1"] and not answer["ticket"]


def test_entries_of_a_drained_zone_are_not_named():
    """A zone out of service must get no new work (P4)."""
    answer = _directory(A, B, C, drained=("z1",)).build_response("z1")
    assert answer["addresses"] == ["c:1"] and not answer["fallbacks"]


def test_the_end_of_the_last_answer_is_kept_for_the_shutdown():
    """An entry must serve until no caller holds its address any more."""
    directory = _directory(A, B)
    directory.clock.set_ms(500)
    directory.build_response("z1")
    assert directory.last_expiry_ms == 1_500
    directory = _directory(dataclasses.replace(A, leaving=True), B)
    directory.build_response("z1")
    assert directory.last_expiry_ms == 0
