"""Routing: selection of an upstream for a request by sampling."""

import dataclasses
import random
from collections.abc import Callable, Collection, Sequence

from oleanderbay.process import interfaces
from oleanderbay.request import outcome, prefixes

# Upstreams compared per selection, in this entry's zone and in the others.
SAMPLE_SIZE = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """Weights of the score by which upstreams are compared.

    The weights are fractions of an upstream's concurrency limit.

    Attributes:
        zone_penalty: Added for an upstream in another zone.
        cache_bonus: Subtracted for a prompt that is cached in full.
        load_threshold: Score of the best upstream found so far above which
            upstreams of other zones are sampled too.
        report_half_life_ms: Age up to which a load report has full weight;
            its weight halves with each further such period.
    """

    zone_penalty: float = 0.25
    cache_bonus: float = 0.5
    load_threshold: float = 0.8
    report_half_life_ms: int = 2_000


class _OwnLoad:
    """Load that this entry itself has put on one upstream.

    Attributes:
        in_flight: Requests in flight.
        at_report: Requests that were in flight when this entry first used the
            newest load report.
        reported_at_ms: Time of that report.
    """

    __slots__ = ("at_report", "in_flight", "reported_at_ms")

    def __init__(self) -> None:
        self.in_flight = 0
        self.at_report = 0
        self.reported_at_ms = -1


class _CandidatePool:
    """The eligible upstreams of a service, by zone and by id."""

    __slots__ = ("by_zone", "ids")

    def __init__(self, upstreams: Sequence[interfaces.Upstream]) -> None:
        self.by_zone: dict[str, list[interfaces.Upstream]] = {}
        for upstream in sorted(upstreams, key=lambda u: u.id):
            self.by_zone.setdefault(upstream.zone, []).append(upstream)
        self.ids = {upstream.id: upstream for upstream in upstreams}


# Sort key of an upstream, lowest first: whether this entry has no free permit
# for it, whether it is overloaded, and its score.
_Rank = tuple[bool, bool, float]


class Router:
    """Selects the best of a few randomly sampled eligible upstreams.

    All entries see the same, slightly outdated load reports. If each compared
    all upstreams, they would all pick the same one and overload it.
    """

    def __init__(
        self,
        eligible: interfaces.EligibleUpstreams,
        rng: random.Random,
        index: prefixes.PrefixIndex | None = None,
        available_permits: Callable[[interfaces.Upstream], int] | None = None,
        settings: RoutingSettings | None = None,
    ) -> None:
        """Initializes the router.

        Args:
            eligible: Upstreams that may get requests.
            rng: Random number generator for sampling.
            index: Index of cached prompt prefixes, for model services.
            available_permits: Returns how many more requests this entry's
                permits allow at an upstream. Upstreams with permits left are
                preferred, because asking the owner costs a round trip.
            settings: Weights of the score.
        """
        self.eligible = eligible
        self.index = index
        self.available_permits = available_permits
        self.settings = settings or RoutingSettings()
        self._rng = rng
        self._pools: dict[str, _CandidatePool] = {}
        self._own_loads: dict[str, _OwnLoad] = {}
        eligible.on_change(self._discard_pool)

    def choose(
        self,
        service: str,
        zone: str,
        prefix: Sequence[int],
        exclude: Collection[str],
        now_ms: int,
        allows: Callable[[str], bool] | None = None,
    ) -> interfaces.Upstream | outcome.Refusal:
        """Selects the upstream for a request.

        Args:
            service: Id of the service.
            zone: Id of the preferred zone, i.e. the zone of this entry.
            prefix: Block hashes of the prompt; empty for plain services.
            exclude: Ids of upstreams that this request must not use.
            now_ms: Monotonic time.
            allows: Returns whether upstreams in a zone may be used; None
                allows all zones.
        """
        pool = self._pools.get(service)
        if pool is None:
            pool = _CandidatePool(self.eligible.upstreams(service))
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
            for id in self.index.find_holders(prefix):
                holder = pool.ids.get(id)
                if holder is not None and holder.zone in zones:
                    consider(holder)
        if (
            best_rank is None
            or best_rank[0]
            or best_rank[1]
            or best_rank[2] > self.settings.load_threshold
        ):
            others = [z for z in zones if z != zone]
            for _ in range(SAMPLE_SIZE if others else 0):
                # Weighting the zones by size gives each upstream the same
                # probability.
                other = self._rng.choices(
                    others, [len(pool.by_zone[z]) for z in others]
                )[0]
                consider(self._rng.choice(pool.by_zone[other]))
        if best is None:
            # All sampled upstreams were excluded: compare every upstream.
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
        """Records that a request to an upstream has started."""
        self._own_loads.setdefault(upstream, _OwnLoad()).in_flight += 1

    def record_end(self, upstream: str) -> None:
        """Records the end of a request that `record_start` counted."""
        own = self._own_loads[upstream]
        own.in_flight -= 1
        if own.in_flight == 0:
            del self._own_loads[upstream]

    def in_flight(self, upstream: str) -> int:
        """Returns the requests of this entry in flight at an upstream."""
        own = self._own_loads.get(upstream)
        return own.in_flight if own else 0

    def expected_load(self, upstream: str, now_ms: int) -> float:
        """Estimates the requests in flight at an upstream.

        Combines the load report, weighted by its age, with the requests that
        this entry has started since the report.
        """
        own = self._own_loads.get(upstream)
        load = self.eligible.load(upstream)
        if load is None:
            return own.in_flight if own else 0
        reported = float(load.running + load.queued)
        excess_ms = (
            now_ms - load.reported_at_ms - self.settings.report_half_life_ms
        )
        if excess_ms > 0:
            reported *= 0.5 ** (excess_ms / self.settings.report_half_life_ms)
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
        no_permit = (
            self.available_permits is not None
            and self.available_permits(upstream) <= 0
        )
        overloaded = usage > 1
        score = usage
        if upstream.zone != zone:
            score += self.settings.zone_penalty
        if prefix and self.index is not None and not overloaded:
            overlap = self.index.count_cached_blocks(upstream.id, prefix)
            score -= self.settings.cache_bonus * overlap / len(prefix)
        return no_permit, overloaded, score

    def _sample(
        self, upstreams: Sequence[interfaces.Upstream]
    ) -> list[interfaces.Upstream]:
        count = len(upstreams)
        if count <= SAMPLE_SIZE:
            return self._rng.sample(upstreams, count)
        random_float = self._rng.random
        return [
            upstreams[int(random_float() * count)] for _ in range(SAMPLE_SIZE)
        ]

    def _discard_pool(self, service: str) -> None:
        self._pools.pop(service, None)
