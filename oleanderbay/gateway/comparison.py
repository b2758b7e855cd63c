"""Which topics another gateway has newer records of, and for how long."""

from collections.abc import Iterable, Mapping

from oleanderbay.gateway import feed, membership, summaries
from oleanderbay.process import clock as clocks

# A peer's newer offset counts after this time, in which the own read of the
# store usually gets there by itself.
FETCH_AFTER_MS = 250
# A gateway that is no relay waits for another zone's records this many times
# as long, so that its relays fetch them first and not every gateway does.
NON_RELAY_DELAY_FACTOR = 2


class OffsetComparison:
    """Compares the own offsets with those that others state."""

    def __init__(
        self, clock: clocks.Clock, feeds: Mapping[str, feed.Feed]
    ) -> None:
        self.clock = clock
        self.feeds = feeds

    def topics_to_fetch(self, peer: membership.Peer) -> list[str]:
        """Returns the topics to fetch from a peer."""
        now_ms = self.clock.now_ms()
        found = []
        for name, own in self.feeds.items():
            if peer.offsets.get(name, -1) <= own.offset:
                peer.ahead_since_ms.pop(name, None)
                continue
            since_ms = peer.ahead_since_ms.setdefault(name, now_ms)
            if now_ms - since_ms >= _fetch_delay_ms(own):
                peer.ahead_since_ms[name] = now_ms
                found.append(name)
        return found

    def topics_to_fetch_from_zone(
        self,
        view: summaries.ZoneView,
        own_zone: Iterable[membership.Peer],
        relaying: bool,
    ) -> list[str]:
        """Returns the topics to fetch from the relay of another zone.

        The highest offset of a zone is nearly always ahead, so the time
        counts from the first summary with an offset that is still missing.
        A peer of the own zone that has it is asked instead.
        """
        now_ms = self.clock.now_ms()
        patience = 1 if relaying else NON_RELAY_DELAY_FACTOR
        found = []
        for name, own in self.feeds.items():
            missing, since_ms = view.awaited_offsets.get(name, (-1, now_ms))
            if missing <= own.offset:
                missing, since_ms = view.summary.offsets.get(name, -1), now_ms
                view.awaited_offsets[name] = missing, since_ms
            if (
                missing > own.offset
                and now_ms - since_ms >= patience * _fetch_delay_ms(own)
                and all(p.offsets.get(name, -1) < missing for p in own_zone)
            ):
                view.awaited_offsets[name] = missing, now_ms
                found.append(name)
        return found


def _fetch_delay_ms(own: feed.Feed) -> int:
    # While the store answers, its own read brings the records.
    answered = own.age_ms() < 2 * FETCH_AFTER_MS + own.wait_ms
    return FETCH_AFTER_MS + answered * own.interval_ms
