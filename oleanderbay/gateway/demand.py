"""Measured demand for each model."""

import collections
import math
from collections.abc import Mapping

from oleanderbay.gateway import affinity, planner, table
from oleanderbay.process import clock as clocks

# Time constant of the exponential mean: short enough to follow a wave of
# traffic, long enough to ignore single requests.
SMOOTHING_MS = 3_000
# Callers retry after a refusal, so the same request is refused twice.
REFUSED_WEIGHT = 0.5
# A mean below this counts as none, and is not kept.
MIN_MEAN = 0.001


class Demand:
    """Averages the slots that requests take, over all gateways.

    Attributes:
        has_traffic: Whether any gateway has received requests.
        own_means: Mean of this gateway by model.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.has_traffic = False
        self.own_means: dict[str, float] = {}
        self._in_progress: collections.Counter[str] = collections.Counter()
        self._refused_ms: collections.Counter[str] = collections.Counter()
        self._by_peer: dict[str, Mapping[str, float]] = {}
        self._sampled_ms = clock.now_ms()

    def record_start(self, model: str) -> None:
        """Counts a request for a model."""
        self.has_traffic = True
        self._in_progress[model] += 1

    def record_end(self, model: str) -> None:
        """Counts the end of a request."""
        self._in_progress[model] -= 1
        if not self._in_progress[model]:
            del self._in_progress[model]

    def record_refusal(self, model: str, service_ms: float) -> None:
        """Counts a request that found no slot, with its predicted time."""
        self._refused_ms[model] += round(REFUSED_WEIGHT * service_ms)

    def update_peer(self, peer_id: str, means: Mapping[str, float]) -> None:
        """Replaces the means of a peer."""
        self._by_peer[peer_id] = means

    def retain_peers(self, peer_ids: frozenset[str]) -> None:
        """Forgets all other peers."""
        for peer_id in tuple(self._by_peer):
            if peer_id not in peer_ids:
                del self._by_peer[peer_id]

    def sample(self) -> None:
        """Updates the means from the requests that are in progress."""
        now_ms = self.clock.now_ms()
        elapsed_ms = now_ms - self._sampled_ms
        if elapsed_ms <= 0:
            return
        self._sampled_ms = now_ms
        weight = 1 - math.exp(-elapsed_ms / SMOOTHING_MS)
        for model in {*self.own_means, *self._in_progress, *self._refused_ms}:
            current = (
                self._in_progress[model] + self._refused_ms[model] / elapsed_ms
            )
            mean = self.own_means.get(model, 0.0)
            self.own_means[model] = mean + weight * (current - mean)
        self._refused_ms.clear()
        self.own_means = {
            model: mean
            for model, mean in self.own_means.items()
            if mean >= MIN_MEAN or self._in_progress[model]
        }

    def mean(self, model: str) -> float:
        """Returns the slots that a model's requests take at all gateways."""
        return self.own_means.get(model, 0.0) + sum(
            means.get(model, 0.0) for means in self._by_peer.values()
        )

    def by_model(
        self,
        service: table.Service,
        capacity: Mapping[str, float],
        local_capacity: Mapping[str, float],
    ) -> dict[str, planner.ModelDemand]:
        """Returns demand and capacity of each model of a service.

        Before the first request, the declared shares are used as the demand
        and only the domain's own capacity counts: all domains form their
        groups at the same time, so each is planned by itself.

        Args:
            service: The service.
            capacity: Slots by model, over all domains.
            local_capacity: Slots by model in the domain that is planned.
        """
        assert service.engine is not None
        models = service.engine.models
        measured = {m.name: self.mean(m.name) for m in models}
        total = sum(measured.values())
        if not self.has_traffic:
            return {
                m.name: planner.ModelDemand(
                    affinity.slot_demand(m), local_capacity.get(m.name, 0.0)
                )
                for m in models
            }
        # A model without requests at the moment keeps a little of its
        # declared share, so that its first requests find a group.
        return {
            m.name: planner.ModelDemand(
                max(measured[m.name], 0.02 * m.expected_share * total),
                capacity.get(m.name, 0.0),
            )
            for m in models
        }
