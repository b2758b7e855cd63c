"""Tests of the hold-down of suspected upstreams."""

from oleanderbay.process.observation import members, suspicions


def test_hold_down_doubles_only_after_it_has_ended():
    """Several reports of one failure must not extend its hold-down."""
    suspected = suspicions.Suspicions()
    suspected.record_failure("g", "reset", 0)
    suspected.record_failure("g", "reset", members.INITIAL_HOLD_DOWN_MS - 1)
    assert suspected.reason("g", members.INITIAL_HOLD_DOWN_MS - 1) == "reset"
    assert suspected.reason("g", members.INITIAL_HOLD_DOWN_MS) is None
    suspected.record_failure("g", "stalled", members.INITIAL_HOLD_DOWN_MS)
    assert (
        suspected.reason("g", 3 * members.INITIAL_HOLD_DOWN_MS - 1) == "stalled"
    )
    assert suspected.reason("g", 3 * members.INITIAL_HOLD_DOWN_MS) is None


def test_old_failures_expire():
    """A failure long ago must not lengthen the hold-down of the next one."""
    suspected = suspicions.Suspicions()
    suspected.record_failure("g", "reset", 0)
    now_ms = members.FLAP_RESET_MS + 1
    suspected.drop_expired(now_ms)
    suspected.record_failure("g", "reset", now_ms)
    assert suspected.reason("g", now_ms + members.INITIAL_HOLD_DOWN_MS) is None
