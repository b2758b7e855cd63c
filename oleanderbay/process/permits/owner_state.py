"""State that an owner of permits keeps for its upstreams and holders."""

import collections

from oleanderbay.process import interfaces
from oleanderbay.process.permits import messages, ownership
from oleanderbay.request import concurrency

# Longest time that a request needs from its holder to the upstream, and a
# message from a holder to the owner. A load report is compared only with
# messages that are at least this far from it.
MAX_TRANSIT_MS = 100


class HolderState:
    """Permits and requests of one holder at one upstream.

    Attributes:
        history: Receipt time, `in_flight` and `total_ended` of recent permit
            requests.
        count: Size of the last grant.
        valid_until_ms: Time at which `count` expires.
        previous_count: Size of the grant before. The last reply may have been
            lost, so both count until the next permit request shows whether it
            arrived.
        previous_until_ms: Time at which `previous_count` expires.
        in_flight: Requests that the holder has in flight.
        wanted: Requests that the holder wants to have in flight.
        expires_ms: Time at which the holder expires unless it sends another
            permit request.
        granted_ms: Time of the last grant above 0; -1 if none.
    """

    __slots__ = (
        "count",
        "expires_ms",
        "granted_ms",
        "history",
        "in_flight",
        "previous_count",
        "previous_until_ms",
        "valid_until_ms",
        "wanted",
    )

    def __init__(self) -> None:
        self.history: collections.deque[tuple[int, int, int]] = (
            collections.deque(maxlen=32)
        )
        self.count = 0
        self.valid_until_ms = 0
        self.previous_count = 0
        self.previous_until_ms = 0
        self.in_flight = 0
        self.wanted = 0
        self.expires_ms = 0
        self.granted_ms = -1

    def reserved(self, now_ms: int) -> int:
        """Returns the most requests that the holder may have in flight."""
        reserved = self.in_flight
        if now_ms < self.valid_until_ms:
            reserved = max(reserved, self.count)
        if now_ms < self.previous_until_ms:
            reserved = max(reserved, self.previous_count)
        return reserved

    def record_request(
        self, request: messages.PermitRequest, now_ms: int, ttl_ms: int
    ) -> None:
        """Stores the figures of a permit request."""
        self.in_flight = request.in_flight
        self.wanted = request.wanted
        self.previous_count = request.granted
        self.previous_until_ms = max(
            self.valid_until_ms, self.previous_until_ms
        )
        self.count = 0
        self.expires_ms = now_ms + ttl_ms
        if not self.history or now_ms - self.history[-1][0] >= MAX_TRANSIT_MS:
            self.history.append(
                (now_ms, request.in_flight, request.total_ended)
            )

    def min_running_during(self, from_ms: int, to_ms: int) -> int:
        """Returns a lower bound of the requests that ran for the whole period.

        This is the number in flight at a permit request before the period,
        less all requests that ended until a permit request after it.
        """
        before = None
        for received_ms, in_flight, total_ended in self.history:
            if received_ms <= from_ms - MAX_TRANSIT_MS:
                before = (in_flight, total_ended)
            elif before is not None and received_ms >= to_ms + MAX_TRANSIT_MS:
                ended = total_ended - before[1]
                return max(0, before[0] - ended) if ended >= 0 else 0
        return 0


class OwnedUpstream:
    """State of one upstream at its owner.

    Attributes:
        upstream: Last known description of the upstream.
        since_ms: Time from which this entry owns it.
        limit: Limit of the requests in flight of all holders together.
        limit_initialized: Whether the limit was initialized from the requests
            in flight.
        holders: State of each holder, by start id.
        orphans: Upper bound of the requests at the upstream that belong to no
            known holder; None while unknown.
        orphans_from_ms: Time from which on load reports can lower `orphans`.
        was_reset: Whether the limit was reset and the holders were not told.
    """

    def __init__(self, upstream: interfaces.Upstream, since_ms: int) -> None:
        self.upstream = upstream
        self.since_ms = since_ms
        self.limit = concurrency.AdaptiveLimit(upstream)
        self.limit_initialized = False
        self.holders: dict[str, HolderState] = {}
        self.orphans: int | None = None
        self.orphans_from_ms = -1
        self.was_reset = False

    def update_orphans(
        self,
        load: interfaces.UpstreamLoad | None,
        now_ms: int,
        settings: ownership.PermitSettings,
    ) -> None:
        """Lowers the number of orphans as far as the load report allows.

        The load report and the holders' newest permit requests are from
        different times, so the maximum of both could miss a request that only
        one of them includes.
        """
        if now_ms - self.orphans_from_ms >= settings.orphan_timeout_ms:
            self.orphans = 0
        if load is None or not load.reported_at_ms:
            # Without load reports, only the holders' own figures are available.
            self.orphans = self.orphans or 0
            return
        from_ms = load.reported_at_ms - settings.max_report_lag_ms
        if from_ms >= self.orphans_from_ms:
            running = load.running + load.queued
            for holder in self.holders.values():
                running -= holder.min_running_during(
                    from_ms, load.reported_at_ms
                )
            running = max(0, running)
            if self.orphans is None or running < self.orphans:
                self.orphans = running
