"""Tests of how long a suspected upstream gets no new work."""

from oleanderbay.process.observation import members, suspicions


def test_the_hold_doubles_only_after_it_has_ended():
    """Reports of one failure from several entries must not add up."""
    found = suspicions.Suspicions()
    found.record_failure("g", "reset", 0)
    found.record_failure("g", "reset", members.INITIAL_HOLD_DOWN_MS - 1)
    assert found.reason("g", members.INITIAL_HOLD_DOWN_MS - 1) == "reset"
    assert found.reason("g", members.INITIAL_HOLD_DOWN_MS) is None
    found.record_failure("g", "stalled", members.INITIAL_HOLD_DOWN_MS)
    assert found.reason("g", 3 * members.INITIAL_HOLD_DOWN_MS - 1) == "stalled"
    assert found.reason("g", 3 * members.INITIAL_HOLD_DOWN_MS) is None


def test_an_old_failure_is_forgotten():
    """An upstream that failed long ago must not start with a long hold."""
    found = suspicions.Suspicions()
    found.record_failure("g", "reset", 0)
    now_ms = members.FLAP_RESET_MS + 1
    found.drop_expired(now_ms)
    found.record_failure("g", "reset", now_ms)
    assert found.reason("g", now_ms + members.INITIAL_HOLD_DOWN_MS) is None
