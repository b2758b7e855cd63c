"""Measured work for each model."""

import math
from collections.abc import Callable, Mapping

from oleanderbay.gateway import load, planner, table, workers
from oleanderbay.process import clock as clocks

# Time constant of the mean; short enough to follow a wave of traffic, long
# enough not to follow single requests.
SMOOTHING_MS = 3_000


class Demand:
    """Averages the slots that requests take, over all gateways.

    Attributes:
        begun: Whether any gateway has seen requests.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        loads: load.Load,
        waiting: Callable[[], Mapping[str, int]],
    ) -> None:
        self.clock = clock
        self.loads = loads
        self.waiting = waiting
        self.begun = False
        self._mean: dict[str, float] = {}
        self._told_waiting: dict[str, Mapping[str, int]] = {}
        self._sampled_ms = clock.now_ms()

    def told(self, peer_id: str, waiting: Mapping[str, int]) -> None:
        """Takes the number of requests that wait at a peer."""
        self._told_waiting[peer_id] = waiting

    def keep(self, peer_ids: frozenset[str]) -> None:
        """Forgets all other peers."""
        for peer_id in tuple(self._told_waiting):
            if peer_id not in peer_ids:
                del self._told_waiting[peer_id]

    def sample(self, groups: Mapping[tuple[str, int], workers.Group]) -> None:
        """Takes one sample of the requests in flight and waiting."""
        now_ms = self.clock.now_ms()
        weight = 1 - math.exp(-(now_ms - self._sampled_ms) / SMOOTHING_MS)
        self._sampled_ms = now_ms
        current: dict[str, float] = {}
        for group in groups.values():
            if group.head is not None and group.model:
                current[group.model] = current.get(
                    group.model, 0.0
                ) + self.loads.at(group.head.id)
        for waiting in (self.waiting(), *self._told_waiting.values()):
            for label, count in waiting.items():
                current[label] = current.get(label, 0.0) + count
        if any(current.values()):
            self.begun = True
        for model in {*self._mean, *current}:
            mean = self._mean.get(model, 0.0)
            self._mean[model] = mean + weight * (current.get(model, 0.0) - mean)

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
        measured = {m.name: self._mean.get(m.name, 0.0) for m in models}
        if not self.begun or sum(measured.values()) <= 0:
            return {
                m.name: planner.Need(
                    m.share * m.pace, local_capacity.get(m.name, 0.0)
                )
                for m in models
            }
        # A model without requests at the moment keeps a little of its
        # declared share, so that its first requests find a group.
        total = sum(measured.values())
        return {
            m.name: planner.Need(
                max(measured[m.name], 0.02 * m.share * total),
                capacity.get(m.name, 0.0),
            )
            for m in models
        }
