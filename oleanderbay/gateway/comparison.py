"""Comparison of feed offsets, to fetch records that other gateways have."""

import dataclasses
from collections.abc import Iterable, Mapping

import structlog

from oleanderbay.gateway import feed, membership, positions
from oleanderbay.process import clock as clocks

# Records are fetched from a peer only after an offset has been missing for this
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
        waiting_since_ms: Monotonic time from which the delay of the next
            fetch counts.
        logged: Whether the feed has been logged as behind.
    """

    offset: int
    since_ms: int
    waiting_since_ms: int
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

    def topics_to_fetch(self, offsets: Mapping[str, int]) -> list[str]:
        """Returns the topics to fetch from a peer with the given offsets."""
        return [
            name
            for name in self.feeds
            if self._take_overdue(name, offsets.get(name, -1))
        ]

    def topics_to_fetch_from_zone(
        self,
        offsets: Mapping[str, int],
        own_zone: Iterable[membership.Peer],
        relaying: bool,
    ) -> list[str]:
        """Returns the topics to fetch from the relay of another zone.

        Args:
            offsets: Highest offsets in the other zone.
            own_zone: Peers in this zone. Nothing is fetched from the other
                zone if one of them has the missing offset.
            relaying: Whether this gateway is a relay of its zone.
        """
        return [
            name
            for name in self.feeds
            if self._take_overdue(
                name,
                offsets.get(name, -1),
                1 if relaying else NON_RELAY_DELAY_FACTOR,
                own_zone,
            )
        ]

    def _take_overdue(
        self,
        name: str,
        offset: int,
        delay_factor: int = 1,
        preferred: Iterable[membership.Peer] = (),
    ) -> bool:
        """Whether to fetch a topic now; restarts the delay if so.

        Args:
            name: Name of the topic.
            offset: Offset of the other gateway's feed.
            delay_factor: Factor on the delay of a fetch.
            preferred: Peers to fetch from instead if they have the offset.
        """
        own_feed, now_ms = self.feeds[name], self.clock.now_ms()
        missing = self._update_missing(name, offset)
        if (
            missing is None
            or offset <= own_feed.offset
            or now_ms - missing.waiting_since_ms
            < delay_factor * _fetch_delay_ms(own_feed)
            or any(p.offsets.get(name, -1) >= missing.offset for p in preferred)
        ):
            return False
        missing.waiting_since_ms = now_ms
        return True

    def _update_missing(self, name: str, offset: int) -> MissingOffset | None:
        """Returns the offset that a feed lacks, given one of another gateway.

        Peers that read at other times are always ahead in turn. So the first
        offset that is found missing is kept until the own feed has reached it.
        """
        now_ms = self.clock.now_ms()
        own_offset = self.feeds[name].offset
        missing = self._missing.get(name)
        if missing is not None and missing.offset <= own_offset:
            del self._missing[name]
            if missing.logged:
                log.info(
                    "caught up with peers",
                    topic=name,
                    offset=positions.number_in_era(own_offset),
                    behind_ms=now_ms - missing.since_ms,
                )
            missing = None
        if missing is None:
            if offset <= own_offset:
                return None
            missing = MissingOffset(offset, now_ms, now_ms)
            self._missing[name] = missing
        elif not missing.logged and now_ms - missing.since_ms >= BEHIND_LOG_MS:
            missing.logged = True
            log.warning(
                "behind peers",
                topic=name,
                offset=positions.number_in_era(own_offset),
                era=positions.era_of(own_offset),
                missing=positions.number_in_era(missing.offset),
                missing_era=positions.era_of(missing.offset),
            )
        return missing


def _fetch_delay_ms(own_feed: feed.Feed) -> int:
    # While the store answers, wait for the next scheduled read as well.
    answered = own_feed.age_ms() <= own_feed.gap_ms()
    return FETCH_AFTER_MS + answered * own_feed.interval_ms
