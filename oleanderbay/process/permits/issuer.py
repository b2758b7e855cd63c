"""The owner's side of permits: grants of requests in flight at upstreams."""

from collections.abc import Mapping, Sequence

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.permits import messages, owner_state, ownership


class PermitIssuer:
    """Grants permits of the upstreams that this entry owns."""

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
        self._view = ""
        self._view_since_ms = 0
        self._majority_since_ms = -1
        self._majority_seen_ms = -1
        eligible.on_change(lambda service: self._forget(service))

    def check(self) -> bool:
        """Takes note of the view; returns whether a majority confirms it."""
        now_ms = self.clock.now_ms()
        view = self.membership.view_digest()
        if view != self._view:
            self._view = view
            self._view_since_ms = now_ms
            live = self.membership.live()
            me = self.membership.me.start_id
            self._newest_sequence = {
                entry.start_id: self._newest_sequence[entry.start_id]
                for entry in live
                if entry.start_id in self._newest_sequence
            }
            for id in list(self._owned):
                if ownership.owner_of(id, live).start_id != me:
                    del self._owned[id]
        confirmations = self.membership.view_confirmations(
            self.settings.view_max_age_ms
        )
        if 2 * confirmations <= self.membership.known_count():
            return False
        if (
            self._majority_seen_ms < 0
            or now_ms - self._majority_seen_ms > self.settings.lapse_ms
        ):
            self._majority_since_ms = now_ms
        self._majority_seen_ms = now_ms
        return True

    def step(self) -> Mapping[str, list[str]]:
        """Reads load reports; returns holders to revoke, by upstream.

        It runs at least every `lapse_ms`, or the owner has to wait again.
        """
        self.check()
        revoked = {}
        for id, owned in self._owned.items():
            if self._observe(owned):
                revoked[id] = list(owned.holders)
        return revoked

    def handle(
        self,
        holder: str,
        sequence: int,
        service: str,
        lines: Sequence[messages.PermitRequest],
    ) -> dict[str, messages.Grant | None]:
        """Answers a holder's request; None means no owner."""
        has_majority = self.check()
        now_ms = self.clock.now_ms()
        # A request that was overtaken on another connection would lower
        # what this holder is known to have in flight.
        newest = self._newest_sequence.get(holder, -1)
        if sequence < newest:
            return {request.upstream: None for request in lines}
        self._newest_sequence[holder] = sequence
        result: dict[str, messages.Grant | None] = {}
        for request in lines:
            owned = self._find(service, request.upstream)
            if owned is None:
                result[request.upstream] = None
                continue
            state = owned.holders.setdefault(holder, owner_state.HolderState())
            if request.tag == messages.start_tag(owned.upstream.start_id):
                owned.limit.record_results(
                    request.done, request.failed, request.worst_ms
                )
            since_ms = max(owned.since_ms, self._majority_since_ms)
            ready_ms = since_ms + self.settings.hold_ms
            if not has_majority or now_ms < ready_ms:
                # What holders have in flight is kept, to begin with it.
                state.note_request(request, now_ms, self.settings.permit_ttl_ms)
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

    def _forget(self, service: str) -> None:
        self._by_service.pop(service, None)

    def _find(self, service: str, id: str) -> owner_state.OwnedUpstream | None:
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
            me = self.membership.me.start_id
            if ownership.owner_of(id, live).start_id != me:
                return None
            owned = owner_state.OwnedUpstream(upstream, self._view_since_ms)
            self._owned[id] = owned
        owned.upstream = upstream
        self._observe(owned)
        return owned

    def _observe(self, owned: owner_state.OwnedUpstream) -> bool:
        reset = owned.limit.update_upstream(owned.upstream)
        load = self.eligible.load(owned.upstream.id)
        if load is not None:
            reset = owned.limit.apply_load_report(load) or reset
        return reset

    def _grant(
        self,
        owned: owner_state.OwnedUpstream,
        state: owner_state.HolderState,
        request: messages.PermitRequest,
        now_ms: int,
    ) -> messages.Grant:
        mine = max(state.used(now_ms), request.in_flight)
        # The holder is alive, so it says itself what it has in flight.
        state.note_request(request, now_ms, self.settings.permit_ttl_ms)
        self._expire(owned, now_ms)
        load = self.eligible.load(owned.upstream.id)
        owned.bound_orphans(load, now_ms, self.settings)
        running = load.running + load.queued if load is not None else 0
        if not owned.seeded:
            owned.seeded = True
            known = sum(h.in_flight for h in owned.holders.values())
            owned.limit.initialize(max(running, known))
        limit = owned.limit.limit
        others = sum(
            h.used(now_ms) for h in owned.holders.values() if h is not state
        )
        if owned.limit.is_cold:
            others += limit if owned.orphans is None else owned.orphans
        else:
            others = max(others, running - mine)
        wanted = sum(h.want for h in owned.holders.values())
        count = min(request.want, max(0, limit - others))
        if wanted > limit:
            count = min(count, self._fair_share(owned, state, limit))
        state.count = count
        state.until_ms = now_ms + self.settings.permit_ttl_ms
        if count:
            state.granted_ms = now_ms
        return messages.Grant(
            count=count,
            tag=messages.start_tag(owned.upstream.start_id),
            cold=owned.limit.is_cold,
            contended=wanted > limit,
        )

    def _fair_share(
        self,
        owned: owner_state.OwnedUpstream,
        state: owner_state.HolderState,
        limit: int,
    ) -> int:
        """Max-min share of a holder when all want more than the limit."""
        # Of holders with the same share, those with requests in flight come
        # first, since they cannot give them up; then the longest unserved.
        order = sorted(
            owned.holders.values(),
            key=lambda h: (h.want, -h.in_flight, h.granted_ms),
        )
        order = [h for h in order if h.want]
        left = limit
        shares: dict[int, int] = {}
        for index, other in enumerate(order):
            share = min(other.want, left // (len(order) - index))
            shares[id(other)] = share
            left -= share
        for other in sorted(order, key=lambda h: (-h.in_flight, h.granted_ms)):
            if left and shares[id(other)] < other.want:
                shares[id(other)] += 1
                left -= 1
        return shares.get(id(state), 0)

    def _expire(self, owned: owner_state.OwnedUpstream, now_ms: int) -> None:
        """Counts permits that were not renewed as orphans.

        Their requests may still run.
        """
        for holder, state in list(owned.holders.items()):
            if state.expires_ms <= now_ms:
                del owned.holders[holder]
                if owned.orphans is not None:
                    owned.orphans += max(
                        state.count, state.before, state.in_flight
                    )
                owned.orphans_from_ms = max(
                    owned.orphans_from_ms,
                    state.expires_ms + owner_state.SLACK_MS,
                )
