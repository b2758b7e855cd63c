"""Candidates for a service: what the names in a request stand for."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from oleanderbay.request import outcome
from oleanderbay.version import resources


class Configuration(Protocol):
    """The part of a catalogue that routes are resolved in."""

    @property
    def offset(self) -> int:
        """Offset of the last record that was applied."""
        ...

    def find(
        self, kind: str, fleet: str, name: str
    ) -> resources.Resource | None:
        """Returns a resource by its name in a fleet's namespace."""
        ...

    def all(self, kind: str) -> Iterable[resources.Resource]:
        """Returns all resources of a kind, ordered by id."""
        ...

    def drained_zones(self) -> frozenset[str]:
        """Ids of zones that take no new work."""
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidates:
    """What a request may use.

    Attributes:
        service: The service that was named.
        team: The team that sends the request.
        route: Id of the preferred route; the retry budget is kept under it.
        zones: Ids of zones that may serve; `None` means every zone.
        drained: Ids of zones that take no new work.
    """

    service: resources.Service
    team: resources.Team
    route: str
    zones: frozenset[str] | None
    drained: frozenset[str]

    def allows(self, zone: str) -> bool:
        """Whether an upstream in a zone may get the request."""
        if zone in self.drained:
            return False
        return self.zones is None or zone in self.zones


def _refusal(reason: outcome.Reason, message: str) -> outcome.Refusal:
    return outcome.Refusal(
        reason=reason,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        status=404,
    )


class Routes:
    """Resolves names against the configuration in force.

    The routes of each service and team are indexed once per offset, on the
    first request after a change, so a request costs a few lookups.
    """

    def __init__(self) -> None:
        self.offset = -1
        self._by_service: dict[str, list[resources.Route]] = {}

    def resolve(
        self,
        configuration: Configuration,
        fleet_name: str,
        service_name: str,
        team_name: str,
    ) -> Candidates | outcome.Refusal:
        """Returns the candidates of a request, or why it has none."""
        fleet = configuration.find("fleet", "", fleet_name)
        if not isinstance(fleet, resources.Fleet):
            return _refusal(
                outcome.Reason.UNKNOWN_FLEET, f"no fleet named {fleet_name!r}"
            )
        team = configuration.find("team", fleet.id, team_name)
        if not isinstance(team, resources.Team):
            return _refusal(
                outcome.Reason.UNKNOWN_TEAM,
                f"no team named {team_name!r} in fleet {fleet_name!r}",
            )
        service = configuration.find("service", fleet.id, service_name)
        if not isinstance(service, resources.Service):
            return _refusal(
                outcome.Reason.UNKNOWN_SERVICE,
                f"no service named {service_name!r} in fleet {fleet_name!r}",
            )
        self._refresh(configuration)
        routes = [
            route
            for route in self._by_service.get(service.id, ())
            if route.fleet == fleet.id and route.team in ("", team.id)
        ]
        if not routes:
            return _refusal(
                outcome.Reason.NO_ROUTE,
                f"no route lets team {team_name!r} reach {service_name!r}",
            )
        # A route that names the team is more specific than one for all.
        routes.sort(key=lambda r: (r.team == "", -r.weight, r.id))
        zones: frozenset[str] | None = frozenset().union(
            *(route.zones for route in routes)
        )
        if any(not route.zones for route in routes):
            zones = None
        return Candidates(
            service=service,
            team=team,
            route=routes[0].id,
            zones=zones,
            drained=configuration.drained_zones(),
        )

    def _refresh(self, configuration: Configuration) -> None:
        if configuration.offset == self.offset:
            return
        by_service: dict[str, list[resources.Route]] = {}
        for route in configuration.all("route"):
            if isinstance(route, resources.Route):
                by_service.setdefault(route.service, []).append(route)
        self._by_service = by_service
        self.offset = configuration.offset
