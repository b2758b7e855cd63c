"""Tests of how long a suspected upstream gets no new work."""

from oleanderbay.process.observation import members, suspicions


def test_the_hold_doubles_only_after_it_has_ended():
    """Reports of one failure from several entries must not add up."""
    found = suspicions.Suspicions()
    found.note("g", "reset", 0)
    found.note("g", "reset", members.FIRST_HOLD_MS - 1)
    assert found.reason("g", members.FIRST_HOLD_MS - 1) == "reset"
    assert found.reason("g", members.FIRST_HOLD_MS) is None
    found.note("g", "stalled", members.FIRST_HOLD_MS)
    assert found.reason("g", 3 * members.FIRST_HOLD_MS - 1) == "stalled"
    assert found.reason("g", 3 * members.FIRST_HOLD_MS) is None


def test_an_old_failure_is_forgotten():
    """An upstream that failed long ago must not start with a long hold."""
    found = suspicions.Suspicions()
    found.note("g", "reset", 0)
    now_ms = members.FORGET_FLAPS_MS + 1
    found.forget_old(now_ms)
    found.note("g", "reset", now_ms)
    assert found.reason("g", now_ms + members.FIRST_HOLD_MS) is None
