"""What an entry holds at one upstream, and its requests in flight there."""

import asyncio
import collections
from collections.abc import Callable

from oleanderbay.process import interfaces
from oleanderbay.process.permits import messages, ownership
from oleanderbay.request import outcome


class Permit:
    """One request in flight at an upstream; must be closed."""

    __slots__ = ("_closed", "_held", "_release")

    def __init__(
        self,
        held: "HeldPermits",
        release: Callable[["HeldPermits", float, bool], None],
    ) -> None:
        self._held = held
        self._release = release
        self._closed = False

    @property
    def upstream(self) -> interfaces.Upstream:
        """The upstream that the request may be sent to."""
        return self._held.upstream

    def close(self, first_token_ms: float = 0.0, failed: bool = False) -> None:
        """Ends the request; further calls do nothing.

        Args:
            first_token_ms: Time to first token; 0 if there was no answer, in
                which case the request is no evidence that the upstream handles
                its load.
            failed: Whether the end showed overload or a fault.
        """
        if not self._closed:
            self._closed = True
            self._release(self._held, first_token_ms, failed)


class HeldPermits:
    """What this entry holds at one upstream.

    Attributes:
        upstream: The upstream as last known.
        tag: `start_tag` of its process start.
        granted: Requests that this entry may have in flight.
        valid_until_ms: Until when `granted` holds.
        last_share: The last grant; the limit while there is no owner.
        was_warm: Whether the upstream was warm at the last grant.
        contended: Whether other holders wanted more at the last grant.
        contended_ms: When that was so last; -1 if never.
        no_owner: Whether the last request found no owner.
        in_flight: Requests that hold a permit.
        waiters: Deadline and result of each request that waits.
        urgent: Whether the owner is to be asked at once.
        used_ms: When a request last began or ended.
        polled_ms: When the owner was last asked.
        done: Answers since the last request to the owner.
        failed: Failures since then.
        worst_ms: Slowest time to first token since then.
        ended: All requests that have ended.
    """

    def __init__(self, upstream: interfaces.Upstream, now_ms: int) -> None:
        self.upstream = upstream
        self.tag = messages.start_tag(upstream.start_id)
        self.granted = 0
        self.valid_until_ms = -1
        self.last_share = 0
        self.was_warm = False
        self.contended = False
        self.contended_ms = -1
        self.no_owner = False
        self.in_flight = 0
        self.waiters: collections.deque[
            tuple[int, asyncio.Future[Permit | outcome.Refusal]]
        ] = collections.deque()
        self.urgent = False
        self.used_ms = now_ms
        self.polled_ms = -1
        self.done = 0
        self.failed = 0
        self.worst_ms = 0
        self.ended = 0

    def clear_grant(self) -> None:
        """Forgets what the owner has granted."""
        self.granted = 0
        self.last_share = 0
        self.was_warm = False

    def room(
        self,
        load: interfaces.UpstreamLoad | None,
        now_ms: int,
        load_max_age_ms: int,
    ) -> int:
        """Returns how many more requests may start now."""
        if load is not None and load.cold and self.was_warm:
            self.clear_grant()
        if now_ms < self.valid_until_ms:
            return self.granted - self.in_flight
        if not (self.no_owner and self.was_warm):
            return -self.in_flight
        # Without an owner, only an upstream that is known to be warm now
        # gets work, and no more than this entry's last share.
        if load is not None and now_ms - load.reported_at_ms > load_max_age_ms:
            return -self.in_flight
        return self.last_share - self.in_flight

    def want(self, now_ms: int, idle_ms: int) -> int:
        """Returns how many requests it would like to have in flight."""
        # A spare permit may be what makes the upstream contended, so it is
        # not asked for again at once.
        spare = (
            self.was_warm
            and (self.contended_ms < 0 or now_ms - self.contended_ms >= idle_ms)
            and now_ms - self.used_ms < idle_ms
        )
        return self.in_flight + len(self.waiters) + spare

    def is_due(self, now_ms: int, settings: ownership.PermitSettings) -> bool:
        """Whether the owner has to be asked now."""
        if self.urgent:
            return True
        since_ms = now_ms - self.polled_ms
        if self.waiters:
            return since_ms >= settings.poll_ms
        if self.in_flight or self.granted or self.done or self.failed:
            return since_ms >= settings.permit_ttl_ms // 2
        return False

    def is_idle(self, now_ms: int, settings: ownership.PermitSettings) -> bool:
        """Whether nothing is left to keep.

        Evidence for an upstream that has no owner any more is dropped.
        """
        return (
            not self.in_flight
            and not self.waiters
            and not self.urgent
            and (self.no_owner or not (self.done or self.failed))
            and now_ms >= self.valid_until_ms
            and now_ms - self.used_ms >= settings.idle_ms
        )

    def next_request(
        self, now_ms: int, settings: ownership.PermitSettings
    ) -> messages.PermitRequest:
        """Returns the line for the owner and marks it as sent."""
        self.urgent = False
        self.polled_ms = now_ms
        return messages.PermitRequest(
            upstream=self.upstream.id,
            tag=self.tag,
            want=self.want(now_ms, settings.idle_ms),
            in_flight=self.in_flight,
            held=self.granted if now_ms < self.valid_until_ms else 0,
            done=self.done,
            failed=self.failed,
            worst_ms=self.worst_ms,
            ended=self.ended,
        )
