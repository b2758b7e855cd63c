"""Capacity by model, and the loads from the weight store that may begin."""

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

# Share of the weight store's limit that is used. The rest is a reserve, since
# each owner learns of the others' loads one heartbeat late.
LOAD_LIMIT_SHARE = 0.7

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveGroups:
    """The groups that serve or will serve, at one moment.

    Attributes:
        models: Model of each group.
        counts: Number of groups by model.
    """

    models: Mapping[Key, str]
    counts: Mapping[str, int]


class ActiveGroupCounter:
    """Counts the groups that serve or will serve.

    The groups that are active by the workers' records are cached until the
    records change. Lost workers and closed groups are not in the records and
    are excluded from each count.
    """

    def __init__(
        self,
        gateway_state: state.State,
        worker_health: health.HealthTracker,
        group_dissolution: dissolution.Dissolution,
    ) -> None:
        self.gateway_state = gateway_state
        self.worker_health = worker_health
        self.dissolution = group_dissolution
        self._by_service: dict[str, dict[Key, workers.Group]] = {}
        self._revision = -1

    def count(self, service: table.Service) -> ActiveGroups:
        """Returns the active groups of a service."""
        models = {
            key: group.model
            for key, group in self._recorded(service).items()
            if key not in self.dissolution.closed
            and not self.dissolution.is_closing(key)
            and not self.worker_health.lost_among(group.members.values())
        }
        return ActiveGroups(models, collections.Counter(models.values()))

    def _recorded(self, service: table.Service) -> Mapping[Key, workers.Group]:
        """Returns the groups that are active by the records."""
        if self._revision != self.gateway_state.revision:
            self._by_service = {}
            self._revision = self.gateway_state.revision
        if service.name not in self._by_service:
            self._by_service[service.name] = {
                key: group
                for key, group in self.gateway_state.groups().items()
                if _is_active(
                    service, group, self.gateway_state.evacuated_zones
                )
            }
        return self._by_service[service.name]


def _is_active(
    service: table.Service, group: workers.Group, evacuated: frozenset[str]
) -> bool:
    """Whether a group is complete and may serve, by the workers' records."""
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
        peer_loads: Loads that each peer has begun within the window.
        peer_planned: Groups by model that each peer's conversions will allow.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        config: settings_module.Settings,
        measured_demand: demand.Demand,
    ) -> None:
        self.clock = clock
        self.config = config
        self.demand = measured_demand
        self.peer_loads: dict[str, int] = {}
        self.peer_planned: dict[str, Mapping[str, int]] = {}
        # Start times of the own loads within the window.
        self._load_times_ms: collections.deque[int] = collections.deque()
        # Expiry time and model of each group that a conversion will allow.
        self._planned: list[tuple[int, str]] = []

    def record_loads(self, count: int) -> None:
        """Counts loads; those before the first request are not limited."""
        if self.demand.has_traffic:
            self._load_times_ms.extend([self.clock.now_ms()] * count)

    def recent_loads(self) -> int:
        """Returns the own loads within the window of the limit."""
        window_start_ms = (
            self.clock.now_ms() - self.config.limits.load_window_ms
        )
        while self._load_times_ms and self._load_times_ms[0] <= window_start_ms:
            self._load_times_ms.popleft()
        return len(self._load_times_ms)

    def remaining_loads(self, engine: table.Engine) -> int:
        """Returns the number of loads that may begin now."""
        if not self.demand.has_traffic:
            return 1 << 20
        window_s = self.config.limits.load_window_ms / 1000
        allowed = int(LOAD_LIMIT_SHARE * engine.loads_per_s * window_s)
        return allowed - self.recent_loads() - sum(self.peer_loads.values())

    def record_planned(self, model: str) -> None:
        """Counts a group that a conversion will soon allow."""
        expiry_ms = self.clock.now_ms() + self.config.workers.stall_ms
        self._planned.append((expiry_ms, model))

    def planned_groups(self) -> dict[str, int]:
        """Returns groups by model that own conversions will soon allow."""
        now_ms = self.clock.now_ms()
        self._planned = [item for item in self._planned if item[0] > now_ms]
        return dict(collections.Counter(model for _, model in self._planned))

    def converting(self) -> bool:
        """Whether any gateway has recently begun a conversion."""
        return bool(self.planned_groups()) or any(self.peer_planned.values())

    def update_peer(
        self, peer_id: str, loads: int, planned: Mapping[str, int]
    ) -> None:
        """Replaces the loads and planned groups of a peer."""
        self.peer_loads[peer_id] = loads
        self.peer_planned[peer_id] = planned

    def retain_peers(self, peer_ids: frozenset[str]) -> None:
        """Forgets all other peers."""
        for peer_id in tuple(self.peer_loads):
            if peer_id not in peer_ids:
                del self.peer_loads[peer_id]
                del self.peer_planned[peer_id]

    def demand_by_model(
        self,
        service: table.Service,
        active: ActiveGroups,
        forming: Iterable[str],
        local: Iterable[Key],
    ) -> dict[str, planner.ModelDemand]:
        """Returns demand and capacity of each model of a service.

        Args:
            service: The service.
            active: Its groups that serve or will serve.
            forming: Models of groups that no record shows yet.
            local: Groups in the domain that is planned.
        """
        assert service.engine is not None
        slots = service.engine.slots
        groups = collections.Counter(active.counts)
        groups.update(forming)
        for planned in (self.planned_groups(), *self.peer_planned.values()):
            groups.update(planned)
        local_groups = collections.Counter(
            active.models[key] for key in local if key in active.models
        )
        return self.demand.by_model(
            service,
            {name: float(count * slots) for name, count in groups.items()},
            {
                name: float(count * slots)
                for name, count in local_groups.items()
            },
        )
