"""Capacity by model, and the loads that may begin."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from oleanderbay.gateway import (
    demand,
    dissolution,
    health,
    planner,
    state,
    table,
    workers,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.process import clock as clocks

# Loads are left to spare below the limit of the weight store, since each
# owner hears of the others' loads a heartbeat late.
LOAD_SHARE = 0.7

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """The groups that serve or will serve, at one moment.

    Attributes:
        models: Model of each of them.
        counts: Their number by model.
    """

    models: Mapping[Key, str]
    counts: Mapping[str, int]


class Standings:
    """Counts the groups that serve or will serve.

    What the records say is gone through once for each change of them. Losses
    and closed groups are not in the records and are taken out of each count.
    """

    def __init__(
        self,
        known: state.State,
        evidence: health.Health,
        ended: dissolution.Dissolution,
    ) -> None:
        self.known = known
        self.evidence = evidence
        self.dissolution = ended
        self._recorded: dict[str, dict[Key, workers.Group]] = {}
        self._revision = -1

    def count(self, service: table.Service) -> Standing:
        """Returns the groups of a service."""
        models = {
            key: group.model
            for key, group in self._of(service).items()
            if key not in self.dissolution.closed
            and not self.dissolution.closing(key)
            and not self.evidence.lost_among(group.members.values())
        }
        return Standing(models, collections.Counter(models.values()))

    def _of(self, service: table.Service) -> Mapping[Key, workers.Group]:
        if self._revision != self.known.revision:
            self._recorded = {}
            self._revision = self.known.revision
        if service.name not in self._recorded:
            self._recorded[service.name] = {
                key: group
                for key, group in self.known.groups().items()
                if _stands(service, group, self.known.evacuated)
            }
        return self._recorded[service.name]


def _stands(
    service: table.Service, group: workers.Group, evacuated: frozenset[str]
) -> bool:
    """Whether a group is whole, stays and may serve, by the records."""
    assert service.engine is not None
    model = service.engine.model(group.model)
    return (
        group.service == service.name
        and model is not None
        and group.complete(model.group_size)
        and not any(
            worker.draining or worker.zone in evacuated
            for worker in group.members.values()
        )
    )


class Capacity:
    """Counts loads and planned conversions over all gateways.

    Attributes:
        peer_loads: Loads that peers have begun within the window.
        peer_planned: Groups by model that peers' conversions will allow.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        config: settings_module.Settings,
        needs: demand.Demand,
    ) -> None:
        self.clock = clock
        self.config = config
        self.demand = needs
        self.peer_loads: dict[str, int] = {}
        self.peer_planned: dict[str, Mapping[str, int]] = {}
        self._begun: collections.deque[int] = collections.deque()
        self._planned: list[tuple[int, str]] = []

    def begin_loads(self, count: int) -> None:
        """Counts loads; those before the first request are not limited."""
        if self.demand.begun:
            self._begun.extend([self.clock.now_ms()] * count)

    def loads_begun(self) -> int:
        """Returns the own loads within the window of the limit."""
        before_ms = self.clock.now_ms() - self.config.limits.load_window_ms
        while self._begun and self._begun[0] <= before_ms:
            self._begun.popleft()
        return len(self._begun)

    def loads_left(self, engine: table.Engine) -> int:
        """Returns the loads that may begin now."""
        if not self.demand.begun:
            return 1 << 20
        window_s = self.config.limits.load_window_ms / 1000
        allowed = int(LOAD_SHARE * engine.loads_per_s * window_s)
        return allowed - self.loads_begun() - sum(self.peer_loads.values())

    def plan(self, model: str) -> None:
        """Counts a group that a conversion will soon allow."""
        until_ms = self.clock.now_ms() + self.config.workers.stall_ms
        self._planned.append((until_ms, model))

    def planned(self) -> dict[str, int]:
        """Returns groups by model that own conversions will soon allow."""
        now_ms = self.clock.now_ms()
        self._planned = [item for item in self._planned if item[0] > now_ms]
        return dict(collections.Counter(model for _, model in self._planned))

    def converting(self) -> bool:
        """Whether any gateway has begun a conversion lately."""
        return bool(self.planned()) or any(self.peer_planned.values())

    def update_peer(
        self, peer_id: str, loads: int, planned: Mapping[str, int]
    ) -> None:
        """Takes what a peer has begun."""
        self.peer_loads[peer_id] = loads
        self.peer_planned[peer_id] = planned

    def retain_peers(self, peer_ids: frozenset[str]) -> None:
        """Forgets what all other peers said."""
        for peer_id in tuple(self.peer_loads):
            if peer_id not in peer_ids:
                del self.peer_loads[peer_id]
                del self.peer_planned[peer_id]

    def needs(
        self,
        service: table.Service,
        standing: Standing,
        forming: Iterable[str],
        local: Iterable[Key],
    ) -> dict[str, planner.Need]:
        """Returns demand and capacity of each model of a service.

        Args:
            service: The service.
            standing: Its groups that serve or will serve.
            forming: Models of groups that no record shows yet.
            local: Groups in the domain that is planned.
        """
        assert service.engine is not None
        slots = service.engine.slots
        groups = collections.Counter(standing.counts)
        groups.update(forming)
        for planned in (self.planned(), *self.peer_planned.values()):
            groups.update(planned)
        here = collections.Counter(
            standing.models[key] for key in local if key in standing.models
        )
        return self.demand.needs(
            service,
            {name: float(count * slots) for name, count in groups.items()},
            {name: float(count * slots) for name, count in here.items()},
        )
