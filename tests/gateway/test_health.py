"""Tests of the health tracker."""

from oleanderbay.gateway import health
from oleanderbay.process import clock as clocks


def make_tracker():
    clock = clocks.ManualClock()
    return health.HealthTracker(clock), clock


def test_repeated_failures_exclude_a_worker_with_growing_delays():
    """A worker that always fails must not get a request every second."""
    tracker, clock = make_tracker()
    lengths = []
    for _ in range(5):
        for _ in range(3):
            assert not tracker.is_excluded("w")
            tracker.record_failure("w")
        began_ms = clock.now_ms()
        while tracker.is_excluded("w"):
            clock.set_ms(clock.now_ms() + 500)
        lengths.append(clock.now_ms() - began_ms)
    assert lengths == [1_000, 2_000, 4_000, 8_000, 8_000]


def test_a_success_resets_the_failure_count():
    """A worker that fails only some of its requests stays in use."""
    tracker, _ = make_tracker()
    for _ in range(5):
        tracker.record_failure("w")
        tracker.record_failure("w")
        tracker.record_success("w")
    assert not tracker.is_excluded("w")


def test_a_suspicion_expires_or_is_cleared_by_activity():
    """Otherwise a worker that was slow once would never be used again."""
    tracker, clock = make_tracker()
    tracker.suspect("w")
    assert tracker.is_suspected("w") and tracker.suspected_workers() == ["w"]
    tracker.record_activity("w")
    assert not tracker.is_suspected("w")
    tracker.suspect("w")
    clock.set_ms(health.SUSPICION_TIMEOUT_MS)
    assert not tracker.is_suspected("w") and tracker.suspected_workers() == []


def test_peer_reports_count_until_they_are_replaced_or_the_peer_is_gone():
    """A stale or wrong report of a peer must not keep a worker out of use.

    The peer may have stopped, or a network partition may separate it from a
    worker that this gateway still receives data from.
    """
    tracker, clock = make_tracker()
    clock.set_ms(10_000)
    tracker.update_peer("p", ["w", "v"], [], {"u": 7})
    tracker.record_activity("v")
    assert tracker.is_suspected("w") and not tracker.is_suspected("v")
    assert tracker.is_lost("u", 7) and not tracker.is_lost("u", 8)
    tracker.update_peer("p", [], [], {})
    assert not tracker.is_suspected("w") and not tracker.is_lost("u", 7)
    tracker.update_peer("p", ["w"], [], {"u": 7})
    tracker.retain_peers(frozenset(), frozenset(("w", "u")))
    assert not tracker.is_suspected("w") and not tracker.is_lost("u", 7)


def test_a_report_counts_while_any_peer_still_makes_it():
    """The next heartbeat of a peer must not cancel the reports of others."""
    tracker, clock = make_tracker()
    clock.set_ms(10_000)
    tracker.update_peer("p", ["w"], ["s"], {"u": 7})
    tracker.update_peer("q", ["w"], ["s"], {"u": 7})
    tracker.suspect("s")
    tracker.update_peer("p", [], [], {})
    assert tracker.is_suspected("w") and tracker.is_lost("u", 7)
    assert not tracker.is_suspected("s") and tracker.any_lost()
    tracker.retain_peers(frozenset(("p",)), frozenset(("w", "u", "s")))
    assert not tracker.is_suspected("w") and not tracker.is_lost("u", 7)
    assert tracker.is_suspected("s") and not tracker.any_lost()


def test_a_restarted_worker_is_not_lost():
    """Only the incarnation that was lost is excluded."""
    tracker, _ = make_tracker()
    tracker.lost["w"] = 7
    assert tracker.is_lost("w", 7) and not tracker.is_lost("w", 8)
    tracker.retain_peers(frozenset(), frozenset())
    assert not tracker.is_lost("w", 7)


def test_a_healthy_head_is_not_suspected_for_being_slow():
    """Under overload all heads are slow; excluding them makes it worse."""
    tracker, clock = make_tracker()
    tracker.suspect("w")
    tracker.mark_healthy("w")
    assert not tracker.is_suspected("w")
    assert tracker.healthy_heads() == ["w"]
    clock.set_ms(60_000)
    tracker.suspect("w")
    assert tracker.is_suspected("w")
    tracker.update_peer("p", [], ["w"], {})
    assert not tracker.is_suspected("w")
