"""Grants permits for owned upstreams to the entries that request them."""

from collections.abc import Mapping, Sequence

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.permits import messages, owner_state, ownership


class PermitIssuer:
    """Grants permits for the upstreams that this entry owns.

    It grants only after a majority of the entries has confirmed its view for
    `PermitSettings.first_grant_delay_ms`.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        membership: interfaces.MembershipView,
        eligible: interfaces.EligibleUpstreams,
        settings: ownership.PermitSettings,
    ) -> None:
        self.clock = clock
        self.membership = membership
        self.eligible = eligible
        self.settings = settings
        self._owned: dict[str, owner_state.OwnedUpstream] = {}
        self._by_service: dict[str, dict[str, interfaces.Upstream]] = {}
        self._newest_sequence: dict[str, int] = {}
        self._view_digest = ""
        self._view_since_ms = 0
        self._majority_since_ms = -1
        self._majority_confirmed_ms = -1
        eligible.on_change(lambda service: self._invalidate_service(service))

    def check_majority(self) -> bool:
        """Updates the view and returns whether a majority confirms it."""
        now_ms = self.clock.now_ms()
        digest = self.membership.view_digest()
        if digest != self._view_digest:
            self._view_digest = digest
            self._view_since_ms = now_ms
            live = self.membership.live()
            own_id = self.membership.me.start_id
            self._newest_sequence = {
                entry.start_id: self._newest_sequence[entry.start_id]
                for entry in live
                if entry.start_id in self._newest_sequence
            }
            for id in list(self._owned):
                if ownership.owner_of(id, live).start_id != own_id:
                    del self._owned[id]
        confirmations = self.membership.view_confirmations(
            self.settings.view_max_age_ms
        )
        if 2 * confirmations <= self.membership.known_count():
            return False
        if (
            self._majority_confirmed_ms < 0
            or now_ms - self._majority_confirmed_ms
            > self.settings.max_majority_gap_ms
        ):
            self._majority_since_ms = now_ms
        self._majority_confirmed_ms = now_ms
        return True

    def collect_revocations(self) -> Mapping[str, list[str]]:
        """Applies load reports and returns holders to revoke, by upstream.

        It must run at least every `max_majority_gap_ms`; otherwise the delay
        before the first grant starts again.
        """
        self.check_majority()
        revoked = {}
        for id, owned in self._owned.items():
            self._update_limit(owned)
            if owned.was_reset:
                owned.was_reset = False
                revoked[id] = list(owned.holders)
        return revoked

    def handle_requests(
        self,
        holder: str,
        sequence: int,
        service: str,
        requests: Sequence[messages.PermitRequest],
    ) -> dict[str, messages.Grant | None]:
        """Returns a grant, or None if this entry cannot grant, by upstream."""
        has_majority = self.check_majority()
        now_ms = self.clock.now_ms()
        # Requests can arrive out of order on different connections. An older
        # one could lower the number of requests counted for this holder.
        newest = self._newest_sequence.get(holder, -1)
        if sequence < newest:
            return {request.upstream: None for request in requests}
        self._newest_sequence[holder] = sequence
        result: dict[str, messages.Grant | None] = {}
        for request in requests:
            owned = self._find_owned(service, request.upstream)
            if owned is None:
                result[request.upstream] = None
                continue
            state = owned.holders.setdefault(holder, owner_state.HolderState())
            if request.tag == messages.start_tag(owned.upstream.start_id):
                owned.limit.record_results(
                    request.succeeded,
                    request.failed,
                    request.max_first_token_ms,
                )
            since_ms = max(owned.since_ms, self._majority_since_ms)
            ready_ms = since_ms + self.settings.first_grant_delay_ms
            if not has_majority or now_ms < ready_ms:
                # Record the requests in flight now, so that they are counted
                # by the first grant.
                state.record_request(
                    request, now_ms, self.settings.permit_ttl_ms
                )
                result[request.upstream] = None
                continue
            if owned.orphans is None and owned.orphans_from_ms < ready_ms:
                owned.orphans_from_ms = ready_ms
            result[request.upstream] = self._grant(
                owned, state, request, now_ms
            )
        return result

    def limit(self, upstream: str) -> int | None:
        """Returns the limit of an upstream that this entry owns."""
        owned = self._owned.get(upstream)
        return owned.limit.limit if owned else None

    def _invalidate_service(self, service: str) -> None:
        self._by_service.pop(service, None)

    def _find_owned(
        self, service: str, id: str
    ) -> owner_state.OwnedUpstream | None:
        upstreams = self._by_service.get(service)
        if upstreams is None:
            upstreams = {u.id: u for u in self.eligible.upstreams(service)}
            self._by_service[service] = upstreams
        upstream = upstreams.get(id)
        if upstream is None:
            return None
        owned = self._owned.get(id)
        if owned is None:
            live = self.membership.live()
            own_id = self.membership.me.start_id
            if ownership.owner_of(id, live).start_id != own_id:
                return None
            owned = owner_state.OwnedUpstream(upstream, self._view_since_ms)
            self._owned[id] = owned
        owned.upstream = upstream
        self._update_limit(owned)
        return owned

    def _update_limit(self, owned: owner_state.OwnedUpstream) -> None:
        if owned.limit.update_upstream(owned.upstream):
            owned.was_reset = True
        load = self.eligible.load(owned.upstream.id)
        if load is not None and owned.limit.apply_load_report(load):
            owned.was_reset = True

    def _grant(
        self,
        owned: owner_state.OwnedUpstream,
        state: owner_state.HolderState,
        request: messages.PermitRequest,
        now_ms: int,
    ) -> messages.Grant:
        own_reserved = max(state.reserved(now_ms), request.in_flight)
        # The holder sent this request, so its own figures are current.
        state.record_request(request, now_ms, self.settings.permit_ttl_ms)
        self._expire_holders(owned, now_ms)
        load = self.eligible.load(owned.upstream.id)
        owned.update_orphans(load, now_ms, self.settings)
        running = load.running + load.queued if load is not None else 0
        if not owned.limit_initialized:
            owned.limit_initialized = True
            reported = sum(each.in_flight for each in owned.holders.values())
            owned.limit.initialize(max(running, reported))
        limit = owned.limit.limit
        others = sum(
            each.reserved(now_ms)
            for each in owned.holders.values()
            if each is not state
        )
        if owned.limit.is_cold:
            others += limit if owned.orphans is None else owned.orphans
        else:
            others = max(others, running - own_reserved)
        total_wanted = sum(each.wanted for each in owned.holders.values())
        count = min(request.wanted, max(0, limit - others))
        if total_wanted > limit:
            count = min(count, self._fair_share(owned, state, limit))
        state.count = count
        state.valid_until_ms = now_ms + self.settings.permit_ttl_ms
        if count:
            state.granted_ms = now_ms
        return messages.Grant(
            count=count,
            tag=messages.start_tag(owned.upstream.start_id),
            cold=owned.limit.is_cold,
            contended=total_wanted > limit,
        )

    def _fair_share(
        self,
        owned: owner_state.OwnedUpstream,
        state: owner_state.HolderState,
        limit: int,
    ) -> int:
        """Returns a holder's max-min fair share of the limit."""
        order = sorted(
            (h for h in owned.holders.values() if h.wanted),
            key=lambda h: h.wanted,
        )
        left, level = limit, 0
        for index, other in enumerate(order):
            level = left // (len(order) - index)
            if other.wanted > level:
                break
            left -= other.wanted
        shares = {id(h): min(h.wanted, level) for h in order}
        left = limit - sum(shares.values())
        # What is left of the division goes first to the holders with the most
        # requests in flight, since they cannot give those up, then to those
        # whose last grant is oldest.
        for other in sorted(order, key=lambda h: (-h.in_flight, h.granted_ms)):
            if left and shares[id(other)] < other.wanted:
                shares[id(other)] += 1
                left -= 1
        return shares.get(id(state), 0)

    def _expire_holders(
        self, owned: owner_state.OwnedUpstream, now_ms: int
    ) -> None:
        """Removes expired holders and counts their permits as orphans.

        Requests of an expired holder may still run at the upstream.
        """
        for holder, state in list(owned.holders.items()):
            if state.expires_ms <= now_ms:
                del owned.holders[holder]
                if owned.orphans is not None:
                    owned.orphans += max(
                        state.count, state.previous_count, state.in_flight
                    )
                owned.orphans_from_ms = max(
                    owned.orphans_from_ms,
                    state.expires_ms + owner_state.MAX_TRANSIT_MS,
                )
