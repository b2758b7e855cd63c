"""Permits that an entry holds, and its requests that wait for permits."""

import asyncio
import collections
from collections.abc import Callable

from oleanderbay.process import interfaces
from oleanderbay.process.permits import messages, ownership
from oleanderbay.request import outcome


class Permit:
    """Allows one request in flight at an upstream; must be closed."""

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
        """The upstream to which the request may be sent."""
        return self._held.upstream

    def close(self, first_token_ms: float = 0.0, failed: bool = False) -> None:
        """Releases the permit; further calls have no effect.

        Args:
            first_token_ms: Time to first token, or 0 if there was no response.
                Without a response the request does not count as a sign that
                the upstream can handle its load.
            failed: Whether the request failed because of overload or a fault.
        """
        if not self._closed:
            self._closed = True
            self._release(self._held, first_token_ms, failed)


class HeldPermits:
    """Permits of this entry for one upstream, and the requests using them.

    Attributes:
        upstream: Last known description of the upstream.
        tag: `start_tag` of its process start.
        granted: Number of requests that this entry may have in flight.
        valid_until_ms: Time at which `granted` expires.
        last_share: Last grant; the limit while there is no owner.
        was_warm: Whether the upstream was warm at the last grant.
        contended: Whether the holders together wanted more than the limit at
            the last grant.
        last_contended_ms: Time of the last contended grant; -1 if none.
        no_owner: Whether the last permit request got no grant from an owner.
        in_flight: Requests that hold a permit.
        waiters: Deadline and future of each request that waits for a permit.
        request_now: Whether to send a permit request at once.
        last_used_ms: Time at which a request last started or ended.
        last_request_ms: Time of the last permit request; -1 if none.
        succeeded: Responses not yet reported to the owner.
        failed: Failures not yet reported to the owner.
        max_first_token_ms: Longest time to first token since the last reply
            of the owner.
        total_ended: Requests that have ended so far.
    """

    def __init__(self, upstream: interfaces.Upstream, now_ms: int) -> None:
        self.upstream = upstream
        self.tag = messages.start_tag(upstream.start_id)
        self.granted = 0
        self.valid_until_ms = -1
        self.last_share = 0
        self.was_warm = False
        self.contended = False
        self.last_contended_ms = -1
        self.no_owner = False
        self.in_flight = 0
        self.waiters: collections.deque[
            tuple[int, asyncio.Future[Permit | outcome.Refusal]]
        ] = collections.deque()
        self.request_now = False
        self.last_used_ms = now_ms
        self.last_request_ms = -1
        self.succeeded = 0
        self.failed = 0
        self.max_first_token_ms = 0
        self.total_ended = 0

    def clear_grant(self) -> None:
        """Discards the current and the last grant."""
        self.granted = 0
        self.last_share = 0
        self.was_warm = False

    def available(
        self,
        load: interfaces.UpstreamLoad | None,
        now_ms: int,
        load_max_age_ms: int,
    ) -> int:
        """Returns how many more requests may start; negative if too many run.

        Also clears the grant if the load report shows that a warm upstream is
        cold again.
        """
        if load is not None and load.cold and self.was_warm:
            self.clear_grant()
        if now_ms < self.valid_until_ms:
            return self.granted - self.in_flight
        if not (self.no_owner and self.was_warm):
            return -self.in_flight
        # Without an owner, requests go only to an upstream that is known to be
        # warm, and no more than this entry's last share.
        if load is not None and now_ms - load.reported_at_ms > load_max_age_ms:
            return -self.in_flight
        return self.last_share - self.in_flight

    def wanted(self, now_ms: int, idle_ms: int) -> int:
        """Returns the number of permits to request from the owner."""
        # The spare permit can itself cause contention, so it is not requested
        # again until `idle_ms` after the last contended grant.
        spare = (
            self.was_warm
            and (
                self.last_contended_ms < 0
                or now_ms - self.last_contended_ms >= idle_ms
            )
            and now_ms - self.last_used_ms < idle_ms
        )
        return self.in_flight + len(self.waiters) + spare

    def is_request_due(
        self, now_ms: int, settings: ownership.PermitSettings
    ) -> bool:
        """Whether to send a permit request to the owner now."""
        if self.request_now:
            return True
        since_ms = now_ms - self.last_request_ms
        if self.waiters:
            return since_ms >= settings.poll_ms
        if self.in_flight or self.granted or self.succeeded or self.failed:
            return since_ms >= settings.permit_ttl_ms // 2
        return False

    def is_idle(self, now_ms: int, settings: ownership.PermitSettings) -> bool:
        """Whether this object can be deleted.

        Results not yet reported are dropped if the upstream has no owner.
        """
        return (
            not self.in_flight
            and not self.waiters
            and not self.request_now
            and (self.no_owner or not (self.succeeded or self.failed))
            and now_ms >= self.valid_until_ms
            and now_ms - self.last_used_ms >= settings.idle_ms
        )

    def build_request(
        self, now_ms: int, settings: ownership.PermitSettings
    ) -> messages.PermitRequest:
        """Returns a permit request for the owner and marks it as sent."""
        self.request_now = False
        self.last_request_ms = now_ms
        return messages.PermitRequest(
            upstream=self.upstream.id,
            tag=self.tag,
            wanted=self.wanted(now_ms, settings.idle_ms),
            in_flight=self.in_flight,
            granted=self.granted if now_ms < self.valid_until_ms else 0,
            succeeded=self.succeeded,
            failed=self.failed,
            max_first_token_ms=self.max_first_token_ms,
            total_ended=self.total_ended,
        )
