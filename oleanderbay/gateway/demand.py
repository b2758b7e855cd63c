"""Measured work for each model."""

import collections
import math
from collections.abc import Mapping

from oleanderbay.gateway import affinity, planner, table
from oleanderbay.process import clock as clocks

# Time constant of the mean; short enough to follow a wave of traffic, long
# enough not to follow single requests.
SMOOTHING_MS = 3_000
# Callers come back after a refusal, so that one request is refused twice.
REFUSED_WEIGHT = 0.5


class Demand:
    """Averages the slots that requests take, over all gateways.

    Attributes:
        begun: Whether any gateway has seen requests.
        own: Mean of this gateway by model.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.begun = False
        self.own: dict[str, float] = {}
        self._present: collections.Counter[str] = collections.Counter()
        self._refused_ms: collections.Counter[str] = collections.Counter()
        self._by_peer: dict[str, Mapping[str, float]] = {}
        self._sampled_ms = clock.now_ms()

    def started(self, model: str) -> None:
        """Counts a request for a model."""
        self.begun = True
        self._present[model] += 1

    def finished(self, model: str) -> None:
        """Counts the end of a request."""
        self._present[model] -= 1

    def record_refusal(self, model: str, service_ms: float) -> None:
        """Counts a request that found no place, with its predicted time."""
        self._refused_ms[model] += round(REFUSED_WEIGHT * service_ms)

    def update_peer(self, peer_id: str, means: Mapping[str, float]) -> None:
        """Takes the means of a peer."""
        self._by_peer[peer_id] = means

    def retain_peers(self, peer_ids: frozenset[str]) -> None:
        """Forgets all other peers."""
        for peer_id in tuple(self._by_peer):
            if peer_id not in peer_ids:
                del self._by_peer[peer_id]

    def sample(self) -> None:
        """Takes one sample of the requests that are present."""
        now_ms = self.clock.now_ms()
        passed_ms = now_ms - self._sampled_ms
        if passed_ms <= 0:
            return
        self._sampled_ms = now_ms
        weight = 1 - math.exp(-passed_ms / SMOOTHING_MS)
        for model in {*self.own, *self._present, *self._refused_ms}:
            current = self._present[model] + self._refused_ms[model] / passed_ms
            mean = self.own.get(model, 0.0)
            self.own[model] = mean + weight * (current - mean)
        self._refused_ms.clear()

    def mean(self, model: str) -> float:
        """Returns the slots that a model's requests take, everywhere."""
        return self.own.get(model, 0.0) + sum(
            means.get(model, 0.0) for means in self._by_peer.values()
        )

    def needs(
        self,
        service: table.Service,
        capacity: Mapping[str, float],
        local_capacity: Mapping[str, float],
    ) -> dict[str, planner.Need]:
        """Returns demand and capacity of each model of a service.

        Before there are requests, the declared shares stand for the demand
        and each domain is planned by itself, since all begin at once.
        """
        assert service.engine is not None
        models = service.engine.models
        measured = {m.name: self.mean(m.name) for m in models}
        total = sum(measured.values())
        if not self.begun:
            return {
                m.name: planner.Need(
                    affinity.slots_share(m), local_capacity.get(m.name, 0.0)
                )
                for m in models
            }
        # A model without requests at the moment keeps a little of its
        # declared share, so that its first requests find a group.
        return {
            m.name: planner.Need(
                max(measured[m.name], 0.02 * m.expected_share * total),
                capacity.get(m.name, 0.0),
            )
            for m in models
        }
