"""Tests of evidence about workers."""

from oleanderbay.gateway import health
from oleanderbay.process import clock as clocks


def judged():
    clock = clocks.ManualClock()
    return health.HealthTracker(clock), clock


def test_three_failures_in_a_row_exclude_for_longer_each_time():
    """A worker that fails always must not get a request every second."""
    found, clock = judged()
    lengths = []
    for _ in range(5):
        for _ in range(3):
            assert not found.excluded("w")
            found.record_failure("w")
        began_ms = clock.now_ms()
        while found.excluded("w"):
            clock.set_ms(clock.now_ms() + 500)
        lengths.append(clock.now_ms() - began_ms)
    assert lengths == [1_000, 2_000, 4_000, 8_000, 8_000]


def test_a_success_in_between_starts_the_count_again():
    """A worker that fails a share of requests stays in use."""
    found, _ = judged()
    for _ in range(5):
        found.record_failure("w")
        found.record_failure("w")
        found.record_success("w")
    assert not found.excluded("w")


def test_a_suspicion_ends_by_itself_or_by_a_byte():
    """A worker that was slow once would otherwise never be used again."""
    found, clock = judged()
    found.suspect("w")
    assert found.suspected("w") and found.suspected_workers() == ["w"]
    found.record_activity("w")
    assert not found.suspected("w")
    found.suspect("w")
    clock.set_ms(health.SUSPICION_TIMEOUT_MS)
    assert not found.suspected("w") and found.suspected_workers() == []


def test_peers_suspicions_count_until_they_end_or_the_peer_does():
    """A silent peer's word or a cut at a peer must not hide a worker."""
    found, clock = judged()
    clock.set_ms(10_000)
    found.update_peer("p", ["w", "v"], [], {"u": 7})
    found.record_activity("v")
    assert found.suspected("w") and not found.suspected("v")
    assert found.is_lost("u", 7) and not found.is_lost("u", 8)
    found.update_peer("p", [], [], {})
    assert not found.suspected("w") and not found.is_lost("u", 7)
    found.update_peer("p", ["w"], [], {"u": 7})
    found.retain_peers(frozenset(), frozenset(("w", "u")))
    assert not found.suspected("w") and not found.is_lost("u", 7)


def test_what_one_peer_takes_back_another_may_still_say():
    """One peer's next heartbeat would end the word of all others."""
    found, clock = judged()
    clock.set_ms(10_000)
    found.update_peer("p", ["w"], ["s"], {"u": 7})
    found.update_peer("q", ["w"], ["s"], {"u": 7})
    found.suspect("s")
    found.update_peer("p", [], [], {})
    assert found.suspected("w") and found.is_lost("u", 7)
    assert not found.suspected("s") and found.any_lost()
    found.retain_peers(frozenset(("p",)), frozenset(("w", "u", "s")))
    assert not found.suspected("w") and not found.is_lost("u", 7)
    assert found.suspected("s") and not found.any_lost()


def test_a_restarted_worker_is_not_lost():
    """Only the incarnation that was found gone is left out."""
    found, _ = judged()
    found.lost["w"] = 7
    assert found.is_lost("w", 7) and not found.is_lost("w", 8)
    found.retain_peers(frozenset(), frozenset())
    assert not found.is_lost("w", 7)


def test_a_sound_head_is_not_suspected_for_being_slow():
    """Under overload all heads are slow; leaving them out makes it worse."""
    found, clock = judged()
    found.suspect("w")
    found.mark_healthy("w")
    assert not found.suspected("w")
    assert found.healthy_heads() == ["w"]
    clock.set_ms(60_000)
    found.suspect("w")
    assert found.suspected("w")
    found.update_peer("p", [], ["w"], {})
    assert not found.suspected("w")
