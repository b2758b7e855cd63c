"""Choice of the upstream for a request."""

import dataclasses
import random
from collections.abc import Callable, Collection, Sequence

from oleanderbay.process import interfaces
from oleanderbay.request import outcome, prefixes

SAMPLES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """Weights of a choice, in shares of an upstream's limit.

    Attributes:
        distance: What another zone costs.
        affinity: What a prompt that is cached in full is worth.
        loaded: Share of its limit from which a zone counts as loaded, so
            that upstreams of other zones are sampled too.
        report_trust_ms: Age up to which a load report counts in full; its
            weight halves with each further such period.
    """

    distance: float = 0.25
    affinity: float = 0.5
    loaded: float = 0.8
    report_trust_ms: int = 2_000


class _Own:
    """Requests of this entry at one upstream."""

    __slots__ = ("at_report", "in_flight", "reported_at_ms")

    def __init__(self) -> None:
        self.in_flight = 0
        self.at_report = 0
        self.reported_at_ms = -1


class _Pool:
    """The eligible upstreams of a service, listed by zone."""

    __slots__ = ("by_zone", "ids")

    def __init__(self, upstreams: Sequence[interfaces.Upstream]) -> None:
        self.by_zone: dict[str, list[interfaces.Upstream]] = {}
        for upstream in sorted(upstreams, key=lambda u: u.id):
            self.by_zone.setdefault(upstream.zone, []).append(upstream)
        self.ids = {upstream.id: upstream for upstream in upstreams}


_Rank = tuple[bool, bool, float]


class Router:
    """Chooses among eligible upstreams by sampling.

    Entries see the same stale reports; each compares only a few random
    upstreams, so they do not all pick the same one.
    """

    def __init__(
        self,
        eligible: interfaces.EligibleUpstreams,
        rng: random.Random,
        index: prefixes.PrefixIndex | None = None,
        room: Callable[[interfaces.Upstream], int] | None = None,
        settings: RoutingSettings | None = None,
    ) -> None:
        """Makes a router.

        Args:
            eligible: Upstreams that may get work.
            rng: Source of samples.
            index: Prefix index, for model services.
            room: Further requests that this entry's permits allow at an
                upstream; upstreams with room come first.
            settings: Weights.
        """
        self.eligible = eligible
        self.index = index
        self.room = room
        self.settings = settings or RoutingSettings()
        self._rng = rng
        self._pools: dict[str, _Pool] = {}
        self._own: dict[str, _Own] = {}
        eligible.on_change(self._forget_pool)

    def choose(
        self,
        service: str,
        zone: str,
        prefix: Sequence[int],
        exclude: Collection[str],
        now_ms: int,
        allows: Callable[[str], bool] | None = None,
    ) -> interfaces.Upstream | outcome.Refusal:
        """Returns the upstream for a request.

        Args:
            service: Id of the service.
            zone: Id of the zone that is preferred: this entry's.
            prefix: Block hashes of the prompt; empty for plain services.
            exclude: Ids of upstreams that the request may not use again.
            now_ms: Monotonic time.
            allows: Whether upstreams in a zone may be used.
        """
        pool = self._pools.get(service)
        if pool is None:
            pool = _Pool(self.eligible.upstreams(service))
            self._pools[service] = pool
        zones = [z for z in pool.by_zone if allows is None or allows(z)]
        best: interfaces.Upstream | None = None
        best_rank: _Rank | None = None

        def consider(upstream: interfaces.Upstream) -> None:
            nonlocal best, best_rank
            if upstream.id in exclude:
                return
            rank = self._rank(upstream, zone, prefix, now_ms)
            if best_rank is None or rank < best_rank:
                best, best_rank = upstream, rank

        if zone in zones:
            for upstream in self._sample(pool.by_zone[zone]):
                consider(upstream)
        if self.index is not None and prefix:
            for id in self.index.best(prefix):
                holder = pool.ids.get(id)
                if holder is not None and holder.zone in zones:
                    consider(holder)
        if (
            best_rank is None
            or best_rank[0]
            or best_rank[1]
            or best_rank[2] > self.settings.loaded
        ):
            others = [z for z in zones if z != zone]
            for _ in range(SAMPLES if others else 0):
                # Zones are weighted by size, as if sampled from one list.
                other = self._rng.choices(
                    others, [len(pool.by_zone[z]) for z in others]
                )[0]
                consider(self._rng.choice(pool.by_zone[other]))
        if best is None:
            # Only if everything sampled was excluded is the list walked.
            for name in zones:
                for upstream in pool.by_zone[name]:
                    consider(upstream)
        if best is None:
            return outcome.Refusal(
                reason=outcome.Reason.NO_CAPACITY,
                outcome=outcome.Outcome.NOT_RUN,
                message="no eligible upstream is left for this request",
                retry_after_ms=1_000,
            )
        return best

    def record_start(self, upstream: str) -> None:
        """Counts a request as in flight at an upstream."""
        self._own.setdefault(upstream, _Own()).in_flight += 1

    def record_end(self, upstream: str) -> None:
        """Ends a request that `record_start` counted."""
        own = self._own[upstream]
        own.in_flight -= 1
        if own.in_flight == 0:
            del self._own[upstream]

    def in_flight(self, upstream: str) -> int:
        """Returns this entry's requests in flight at an upstream."""
        own = self._own.get(upstream)
        return own.in_flight if own else 0

    def expected_load(self, upstream: str, now_ms: int) -> float:
        """Returns requests in flight by the aged report and own requests."""
        own = self._own.get(upstream)
        load = self.eligible.load(upstream)
        if load is None:
            return own.in_flight if own else 0
        reported = float(load.running + load.queued)
        excess_ms = now_ms - load.reported_at_ms - self.settings.report_trust_ms
        if excess_ms > 0:
            reported *= 0.5 ** (excess_ms / self.settings.report_trust_ms)
        if own is None:
            return reported
        if load.reported_at_ms != own.reported_at_ms:
            own.reported_at_ms = load.reported_at_ms
            own.at_report = own.in_flight
        since = max(0, own.in_flight - own.at_report)
        return max(reported + since, float(own.in_flight))

    def _rank(
        self,
        upstream: interfaces.Upstream,
        zone: str,
        prefix: Sequence[int],
        now_ms: int,
    ) -> _Rank:
        load = self.eligible.load(upstream.id)
        cold = load is not None and load.cold
        limit = upstream.cold_limit if cold else upstream.warm_limit
        usage = (self.expected_load(upstream.id, now_ms) + 1) / max(1, limit)
        no_room = self.room is not None and self.room(upstream) <= 0
        overloaded = usage > 1
        score = usage
        if upstream.zone != zone:
            score += self.settings.distance
        if prefix and self.index is not None and not overloaded:
            overlap = self.index.overlap(upstream.id, prefix)
            score -= self.settings.affinity * overlap / len(prefix)
        return no_room, overloaded, score

    def _sample(
        self, upstreams: Sequence[interfaces.Upstream]
    ) -> list[interfaces.Upstream]:
        count = len(upstreams)
        if count <= SAMPLES:
            return self._rng.sample(upstreams, count)
        random_of = self._rng.random
        return [upstreams[int(random_of() * count)] for _ in range(SAMPLES)]

    def _forget_pool(self, service: str) -> None:
        self._pools.pop(service, None)
