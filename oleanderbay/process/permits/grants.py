"""The owner's side of permits: grants of requests in flight at upstreams."""

import collections
from collections.abc import Mapping, Sequence

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.permits import asks
from oleanderbay.request import concurrency

# A request needs this long at most from its holder to the upstream, and a
# message from a holder to the owner. Reports this close to a message are not
# compared with it.
SLACK_MS = 100


class _Holding:
    """What one holder has at one upstream."""

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
        # When a message was handled, its `in_flight` and its `ended`.
        self.history: collections.deque[tuple[int, int, int]] = (
            collections.deque(maxlen=32)
        )
        self.count = 0
        self.until_ms = 0
        # An answer may be lost, so what the holder had before counts until
        # its next message shows that it took the answer.
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

    def told(self, ask: asks.Ask, now_ms: int, ttl_ms: int) -> None:
        """Takes note of what the holder says."""
        self.in_flight = ask.in_flight
        self.want = ask.want
        self.before = ask.held
        self.before_until_ms = max(self.until_ms, self.before_until_ms)
        self.count = 0
        self.expires_ms = now_ms + ttl_ms
        if not self.history or now_ms - self.history[-1][0] >= SLACK_MS:
            self.history.append((now_ms, ask.in_flight, ask.ended))

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


class _Owned:
    """What an owner knows of one upstream."""

    def __init__(self, upstream: interfaces.Upstream, since_ms: int) -> None:
        self.upstream = upstream
        self.since_ms = since_ms
        self.limit = concurrency.AdaptiveLimit(upstream)
        self.seeded = False
        self.holders: dict[str, _Holding] = {}
        # Requests at the upstream that no holder accounts for; None while
        # nothing is known. Reports from `orphans_from_ms` on bound them.
        self.orphans: int | None = None
        self.orphans_from_ms = -1

    def bound_orphans(
        self,
        load: interfaces.UpstreamLoad | None,
        now_ms: int,
        settings: asks.PermitSettings,
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
            for holding in self.holders.values():
                running -= holding.running_during(from_ms, load.reported_at_ms)
            running = max(0, running)
            if self.orphans is None or running < self.orphans:
                self.orphans = running


class Grants:
    """Grants permits of the upstreams that this entry owns."""

    def __init__(
        self,
        clock: clocks.Clock,
        membership: interfaces.MembershipView,
        eligible: interfaces.EligibleUpstreams,
        settings: asks.PermitSettings,
    ) -> None:
        self.clock = clock
        self.membership = membership
        self.eligible = eligible
        self.settings = settings
        self._owned: dict[str, _Owned] = {}
        self._by_service: dict[str, dict[str, interfaces.Upstream]] = {}
        self._newest_ask: dict[str, int] = {}
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
            self._newest_ask = {
                entry.start_id: self._newest_ask[entry.start_id]
                for entry in live
                if entry.start_id in self._newest_ask
            }
            for id in list(self._owned):
                if asks.owner_of(id, live).start_id != me:
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
        lines: Sequence[asks.Ask],
    ) -> dict[str, asks.Grant | None]:
        """Answers a holder's request; None means no owner."""
        has_majority = self.check()
        now_ms = self.clock.now_ms()
        # A request that was overtaken on another connection would lower
        # what this holder is known to have in flight.
        newest = self._newest_ask.get(holder, -1)
        if sequence < newest:
            return {ask.upstream: None for ask in lines}
        self._newest_ask[holder] = sequence
        result: dict[str, asks.Grant | None] = {}
        for ask in lines:
            owned = self._find(service, ask.upstream)
            if owned is None:
                result[ask.upstream] = None
                continue
            holding = owned.holders.setdefault(holder, _Holding())
            if ask.tag == asks.start_tag(owned.upstream.start_id):
                owned.limit.on_answers(ask.done, ask.failed, ask.worst_ms)
            since_ms = max(owned.since_ms, self._majority_since_ms)
            ready_ms = since_ms + self.settings.hold_ms
            if not has_majority or now_ms < ready_ms:
                # What holders have in flight is kept, to begin with it.
                holding.told(ask, now_ms, self.settings.permit_ttl_ms)
                result[ask.upstream] = None
                continue
            if owned.orphans is None and owned.orphans_from_ms < ready_ms:
                owned.orphans_from_ms = ready_ms
            result[ask.upstream] = self._grant(owned, holding, ask, now_ms)
        return result

    def limit(self, upstream: str) -> int | None:
        """Returns the limit of an upstream that this entry owns."""
        owned = self._owned.get(upstream)
        return owned.limit.limit if owned else None

    def _forget(self, service: str) -> None:
        self._by_service.pop(service, None)

    def _find(self, service: str, id: str) -> _Owned | None:
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
            if asks.owner_of(id, live).start_id != me:
                return None
            owned = _Owned(upstream, self._view_since_ms)
            self._owned[id] = owned
        owned.upstream = upstream
        self._observe(owned)
        return owned

    def _observe(self, owned: _Owned) -> bool:
        reset = owned.limit.on_upstream(owned.upstream)
        load = self.eligible.load(owned.upstream.id)
        if load is not None:
            reset = owned.limit.on_load(load) or reset
        return reset

    def _grant(
        self, owned: _Owned, holding: _Holding, ask: asks.Ask, now_ms: int
    ) -> asks.Grant:
        mine = max(holding.used(now_ms), ask.in_flight)
        # The holder is alive, so it says itself what it has in flight.
        holding.told(ask, now_ms, self.settings.permit_ttl_ms)
        self._expire(owned, now_ms)
        load = self.eligible.load(owned.upstream.id)
        owned.bound_orphans(load, now_ms, self.settings)
        running = load.running + load.queued if load is not None else 0
        if not owned.seeded:
            owned.seeded = True
            known = sum(h.in_flight for h in owned.holders.values())
            owned.limit.seed(max(running, known))
        limit = owned.limit.limit
        others = sum(
            h.used(now_ms) for h in owned.holders.values() if h is not holding
        )
        if owned.limit.is_cold:
            others += limit if owned.orphans is None else owned.orphans
        else:
            others = max(others, running - mine)
        wanted = sum(h.want for h in owned.holders.values())
        count = min(ask.want, max(0, limit - others))
        if wanted > limit:
            count = min(count, self._fair_share(owned, holding, limit))
        holding.count = count
        holding.until_ms = now_ms + self.settings.permit_ttl_ms
        if count:
            holding.granted_ms = now_ms
        return asks.Grant(
            count=count,
            tag=asks.start_tag(owned.upstream.start_id),
            cold=owned.limit.is_cold,
            contended=wanted > limit,
        )

    def _fair_share(self, owned: _Owned, holding: _Holding, limit: int) -> int:
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
        return shares.get(id(holding), 0)

    def _expire(self, owned: _Owned, now_ms: int) -> None:
        """Counts permits that were not renewed as orphans.

        Their requests may still run.
        """
        for holder, holding in list(owned.holders.items()):
            if holding.expires_ms <= now_ms:
                del owned.holders[holder]
                if owned.orphans is not None:
                    owned.orphans += max(
                        holding.count, holding.before, holding.in_flight
                    )
                owned.orphans_from_ms = max(
                    owned.orphans_from_ms, holding.expires_ms + SLACK_MS
                )
