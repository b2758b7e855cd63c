"""What an owner of permits knows of its upstreams and their holders."""

import collections

from oleanderbay.process import interfaces
from oleanderbay.process.permits import messages, ownership
from oleanderbay.request import concurrency

# A request needs this long at most from its holder to the upstream, and a
# message from a holder to the owner. Reports this close to a message are not
# compared with it.
SLACK_MS = 100


class HolderState:
    """What one holder has at one upstream.

    Attributes:
        history: When a message was handled, its `in_flight` and its `ended`.
        count: Requests that it was last granted.
        until_ms: Until when `count` is valid.
        before: Requests that it was granted before. An answer may be lost, so
            they count until the next message shows that it took the answer.
        before_until_ms: Until when `before` is valid.
        in_flight: Requests that it has in flight.
        want: Requests that it would like to have in flight.
        expires_ms: When it counts as gone unless it sends a message.
        granted_ms: When it was last granted any; -1 if never.
    """

    __slots__ = (
        "before",
        "before_until_ms",
        "count",
        "expires_ms",
        "granted_ms",
        "history",
        "in_flight",
        "until_ms",
        "want",
    )

    def __init__(self) -> None:
        self.history: collections.deque[tuple[int, int, int]] = (
            collections.deque(maxlen=32)
        )
        self.count = 0
        self.until_ms = 0
        self.before = 0
        self.before_until_ms = 0
        self.in_flight = 0
        self.want = 0
        self.expires_ms = 0
        self.granted_ms = -1

    def used(self, now_ms: int) -> int:
        """Returns what the holder may have in flight at a time."""
        used = self.in_flight
        if now_ms < self.until_ms:
            used = max(used, self.count)
        if now_ms < self.before_until_ms:
            used = max(used, self.before)
        return used

    def note_request(
        self, request: messages.PermitRequest, now_ms: int, ttl_ms: int
    ) -> None:
        """Takes note of what the holder says."""
        self.in_flight = request.in_flight
        self.want = request.want
        self.before = request.held
        self.before_until_ms = max(self.until_ms, self.before_until_ms)
        self.count = 0
        self.expires_ms = now_ms + ttl_ms
        if not self.history or now_ms - self.history[-1][0] >= SLACK_MS:
            self.history.append((now_ms, request.in_flight, request.ended))

    def running_during(self, from_ms: int, to_ms: int) -> int:
        """Returns how many of its requests ran all the time, at least.

        These are the requests of a message before, less all that had ended
        by a message after it.
        """
        before = None
        for told_ms, in_flight, ended in self.history:
            if told_ms <= from_ms - SLACK_MS:
                before = (in_flight, ended)
            elif before is not None and told_ms >= to_ms + SLACK_MS:
                gone = ended - before[1]
                return max(0, before[0] - gone) if gone >= 0 else 0
        return 0


class OwnedUpstream:
    """What an owner knows of one upstream.

    Attributes:
        upstream: The upstream as last known.
        since_ms: Since when this entry owns it.
        limit: Requests that all holders together may have in flight.
        seeded: Whether the limit started from the requests in flight.
        holders: What each holder has, by start id.
        orphans: Requests at the upstream that no holder accounts for; None
            while nothing is known.
        orphans_from_ms: Time from which on reports bound the orphans.
    """

    def __init__(self, upstream: interfaces.Upstream, since_ms: int) -> None:
        self.upstream = upstream
        self.since_ms = since_ms
        self.limit = concurrency.AdaptiveLimit(upstream)
        self.seeded = False
        self.holders: dict[str, HolderState] = {}
        self.orphans: int | None = None
        self.orphans_from_ms = -1

    def bound_orphans(
        self,
        load: interfaces.UpstreamLoad | None,
        now_ms: int,
        settings: ownership.PermitSettings,
    ) -> None:
        """Lowers the number of orphans by what is known now.

        A report and the holders' newest messages are from different times,
        so the larger of both could miss a request that only one contains.
        """
        if now_ms - self.orphans_from_ms >= settings.orphan_hold_ms:
            self.orphans = 0
        if load is None or not load.reported_at_ms:
            # Without reports only the holders' own figures can be had.
            self.orphans = self.orphans or 0
            return
        from_ms = load.reported_at_ms - settings.report_age_ms
        if from_ms >= self.orphans_from_ms:
            running = load.running + load.queued
            for holder in self.holders.values():
                running -= holder.running_during(from_ms, load.reported_at_ms)
            running = max(0, running)
            if self.orphans is None or running < self.orphans:
                self.orphans = running
