"""Determines which upstreams may get new work.

Implements `interfaces.EligibleUpstreams`.
"""

from collections.abc import Callable, Iterator

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.observation import (
    inventory,
    members,
    reports,
    suspicions,
)
from oleanderbay.version import resources

# Maximum age of the lists of eligible upstreams when they are read. It makes a
# process that was paused rebuild them before it uses them.
MAX_LIST_AGE_MS = 250

# Minimum time between rebuilds caused by updates from readers. At the design
# size, thousands of updates arrive each second.
REBUILD_INTERVAL_MS = 100


class Eligibility:
    """Maintains the list of eligible upstreams of each service.

    An upstream is eligible depending on the catalogue, the instance list, the
    group states from all readers, and suspected failures.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        listing: inventory.Inventory,
        reports_service: reports.ReportService,
        clock: clocks.Clock,
    ) -> None:
        self._catalogue = catalogue
        self._inventory = listing
        self._reports = reports_service
        self._clock = clock
        self._suspicions = suspicions.Suspicions()
        self._lists: dict[str, tuple[interfaces.Upstream, ...]] = {}
        self._built_ms: int | None = None
        self._has_changes = False
        self._listeners: list[Callable[[str], None]] = []
        catalogue.on_change(lambda _: self.rebuild())
        reports_service.on_change(self._on_reports)
        reports_service.on_suspicion(self._exclude)

    def upstreams(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Returns the eligible upstreams of a service, in any order."""
        age_ms = self._list_age_ms()
        if age_ms is None or age_ms > MAX_LIST_AGE_MS:
            self.rebuild()
        else:
            self._on_reports(has_changes=False)
        return self._lists.get(service, ())

    def load(self, upstream: str) -> interfaces.UpstreamLoad | None:
        """Returns the newest load; None without reports.

        Plain services never report a load.
        """
        now_ms = self._clock.now_ms()
        newest: tuple[int, members.GroupState] | None = None
        for reader in self._reports.group_states.readers.values():
            state = reader.groups.get(upstream)
            if state and (newest is None or reader.as_of_ms > newest[0]):
                newest = (reader.as_of_ms, state)
        if newest is None:
            return None
        as_of_ms, state = newest
        return interfaces.UpstreamLoad(
            running=state.running,
            queued=state.queued,
            served=state.served,
            cold=state.cold,
            time_to_first_token_ms=state.time_to_first_token_ms,
            time_per_token_ms=state.time_per_token_ms,
            reported_at_ms=min(as_of_ms, now_ms),
            cache_sequence=state.cache_sequence,
        )

    def suspect(self, upstream: str, reason: str) -> None:
        """Excludes an upstream immediately and notifies other entries."""
        self._exclude(upstream, reason)
        self._reports.broadcast_suspicion(upstream, reason)

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for changes to the upstreams of a service.

        The callback gets the id of the service.
        """
        self._listeners.append(callback)

    def ineligibility_reason(self, group: resources.ServingGroup) -> str:
        """Returns why a group is not eligible, or an empty string if it is."""
        now_ms = self._clock.now_ms()
        view = self._catalogue.current
        if group.zone in view.drained_zones():
            return "its zone is drained"
        if not view.retired_instances().isdisjoint(group.members):
            return "a member is retired"
        if not self._inventory.leaving_instances().isdisjoint(group.members):
            return "a member is leaving"
        suspected = self._suspicions.reason(group.id, now_ms)
        if suspected is not None:
            return f"suspected: {suspected}"
        states = self._reports.group_states.fresh_states(
            group.id, group.epoch, now_ms
        )
        if not states:
            return "no reader knows it"
        for state in states:
            if state.status is members.Status.CONTRADICTED:
                return state.reason
        # One reader that reports the group healthy is enough: the others may
        # just be unable to reach a member.
        if not any(state.status is members.Status.OK for state in states):
            return states[0].reason or states[0].status.value
        return ""

    def _list_age_ms(self) -> int | None:
        if self._built_ms is None:
            return None
        return self._clock.now_ms() - self._built_ms

    def _on_reports(self, has_changes: bool = True) -> None:
        """Rebuilds the lists if changes are pending and it is not too soon."""
        self._has_changes = self._has_changes or has_changes
        age_ms = self._list_age_ms()
        if self._has_changes and (
            age_ms is None or age_ms >= REBUILD_INTERVAL_MS
        ):
            self.rebuild()

    def rebuild(self) -> None:
        """Rebuilds all lists and reports which services changed."""
        self._has_changes = False
        self._built_ms = self._clock.now_ms()
        self._suspicions.drop_expired(self._built_ms)
        lists: dict[str, list[interfaces.Upstream]] = {}
        for upstream in (*self._group_upstreams(), *self._plain_upstreams()):
            lists.setdefault(upstream.service, []).append(upstream)
        previous = self._lists
        self._lists = {id: tuple(items) for id, items in lists.items()}
        for service in previous.keys() | self._lists.keys():
            if previous.get(service) != self._lists.get(service):
                for listener in self._listeners:
                    listener(service)

    def _group_upstreams(self) -> Iterator[interfaces.Upstream]:
        view = self._catalogue.current
        now_ms = self._clock.now_ms()
        for group in view.all("serving_group"):
            assert isinstance(group, resources.ServingGroup)
            service = view.get("service", group.service)
            first_member = self._inventory.instances.get(group.members[0])
            if (
                not isinstance(service, resources.Service)
                or first_member is None
                or self.ineligibility_reason(group)
            ):
                continue
            states = self._reports.group_states.fresh_states(
                group.id, group.epoch, now_ms
            )
            healthy = [s for s in states if s.status is members.Status.OK]
            cold = service.cold_start
            has_slow_member = any(state.slow for state in states)
            yield interfaces.Upstream(
                id=group.id,
                service=group.service,
                zone=group.zone,
                address=first_member.address,
                epoch=group.epoch,
                start_id=healthy[0].start_id,
                cold_limit=cold.limit,
                # A slow member halves the limit of the group.
                warm_limit=max(
                    cold.limit, cold.warm_limit // (1 + has_slow_member)
                ),
            )

    def _plain_upstreams(self) -> Iterator[interfaces.Upstream]:
        view = self._catalogue.current
        zones = inventory.zone_ids(view)
        drained = view.drained_zones()
        retired = view.retired_instances() | self._inventory.leaving_instances()
        now_ms = self._clock.now_ms()
        for service in view.all("service"):
            assert isinstance(service, resources.Service)
            if service.kind is not resources.ServiceKind.PLAIN:
                continue
            for address in service.upstreams:
                instance = self._inventory.by_address.get(address)
                zone = (
                    zones.get(instance.zone, instance.zone) if instance else ""
                )
                if (
                    zone in drained
                    or (instance is not None and instance.id in retired)
                    or self._suspicions.reason(address, now_ms) is not None
                ):
                    continue
                yield interfaces.Upstream(
                    id=address,
                    service=service.id,
                    zone=zone,
                    address=address,
                    cold_limit=service.cold_start.limit,
                    warm_limit=service.cold_start.warm_limit,
                )

    def _exclude(self, upstream: str, reason: str) -> None:
        self._suspicions.record_failure(upstream, reason, self._clock.now_ms())
        self.rebuild()
