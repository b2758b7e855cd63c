"""Comparison of feed offsets, to fetch records that other gateways have."""

import dataclasses
from collections.abc import Iterable, Mapping

import structlog

from oleanderbay.gateway import feed, membership, summaries
from oleanderbay.process import clock as clocks

# Records are fetched from a peer only after its offset has been ahead for this
# long, since the next read of the store usually returns them before.
FETCH_AFTER_MS = 250
# Gateways that are not relays wait this many times as long before they fetch
# from another zone, so that the relays fetch the records first and the others
# get them within the zone.
NON_RELAY_DELAY_FACTOR = 2
# A feed that lacks an offset for this long is logged as behind. The slowest
# regular read of the store returns its records earlier.
BEHIND_LOG_MS = 1_000

log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class MissingOffset:
    """An offset that another gateway has reached and the own feed has not.

    Attributes:
        offset: The offset.
        since_ms: Monotonic time since which it is known to be missing.
        logged: Whether the feed has been logged as behind.
    """

    offset: int
    since_ms: int
    logged: bool = False


class OffsetComparison:
    """Compares this gateway's feed offsets with those of other gateways."""

    def __init__(
        self, clock: clocks.Clock, feeds: Mapping[str, feed.Feed]
    ) -> None:
        self.clock = clock
        self.feeds = feeds
        self._missing: dict[str, MissingOffset] = {}

    def behind_ms(self, name: str) -> int:
        """Returns for how long a feed has lacked records that a peer has."""
        missing = self._missing.get(name)
        if missing is None or missing.offset <= self.feeds[name].offset:
            return 0
        return self.clock.now_ms() - missing.since_ms

    def _observe(self, name: str, offset: int) -> None:
        """Records the offset of another gateway's feed."""
        now_ms = self.clock.now_ms()
        own_offset = self.feeds[name].offset
        missing = self._missing.get(name)
        if missing is not None and missing.offset <= own_offset:
            del self._missing[name]
            if missing.logged:
                log.info(
                    "caught up with peers",
                    topic=name,
                    offset=own_offset,
                    behind_ms=now_ms - missing.since_ms,
                )
            missing = None
        if missing is None:
            if offset > own_offset:
                self._missing[name] = MissingOffset(offset, now_ms)
            return
        if not missing.logged and now_ms - missing.since_ms >= BEHIND_LOG_MS:
            missing.logged = True
            log.warning(
                "behind peers",
                topic=name,
                offset=own_offset,
                missing=missing.offset,
            )

    def topics_to_fetch(self, peer: membership.Peer) -> list[str]:
        """Returns the topics to fetch from a peer."""
        now_ms = self.clock.now_ms()
        found = []
        for name, own_feed in self.feeds.items():
            self._observe(name, peer.offsets.get(name, -1))
            if peer.offsets.get(name, -1) <= own_feed.offset:
                peer.ahead_since_ms.pop(name, None)
                continue
            since_ms = peer.ahead_since_ms.setdefault(name, now_ms)
            if now_ms - since_ms >= _fetch_delay_ms(own_feed):
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

        The highest offset in a zone is almost always ahead of a single feed.
        So the delay is measured for one particular offset, from the first
        summary that has it until the own feed reaches it. Nothing is fetched
        from the other zone if a peer in this zone has that offset.
        """
        now_ms = self.clock.now_ms()
        delay_factor = 1 if relaying else NON_RELAY_DELAY_FACTOR
        found = []
        for name, own_feed in self.feeds.items():
            self._observe(name, view.summary.offsets.get(name, -1))
            missing, since_ms = view.awaited_offsets.get(name, (-1, now_ms))
            if missing <= own_feed.offset:
                missing, since_ms = view.summary.offsets.get(name, -1), now_ms
                view.awaited_offsets[name] = missing, since_ms
            if (
                missing > own_feed.offset
                and now_ms - since_ms
                >= delay_factor * _fetch_delay_ms(own_feed)
                and all(p.offsets.get(name, -1) < missing for p in own_zone)
            ):
                view.awaited_offsets[name] = missing, now_ms
                found.append(name)
        return found


def _fetch_delay_ms(own_feed: feed.Feed) -> int:
    # While the store answers, wait for the next scheduled read as well.
    answered = own_feed.age_ms() < 2 * FETCH_AFTER_MS + own_feed.wait_ms
    return FETCH_AFTER_MS + answered * own_feed.interval_ms
