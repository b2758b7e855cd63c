"""Polls the instance list and maps names of the platform to catalogue ids."""

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.version import resources

LIST_TIMEOUT_MS = 2_000


class Inventory(mode.Service):
    """Polls the instance list and keeps the last one if a poll fails.

    Attributes:
        instances: Listed instances by id.
        by_address: Listed instances by address.
        read_at_ms: Local time of the last successful read; None before it.
    """

    def __init__(
        self,
        listing: native.InstanceList,
        clock: clocks.Clock,
        interval_ms: int = 1_000,
    ) -> None:
        super().__init__()
        self.instances: dict[str, native.Instance] = {}
        self.by_address: dict[str, native.Instance] = {}
        self.read_at_ms: int | None = None
        self._instance_list = listing
        self._clock = clock
        self._interval_ms = interval_ms

    @mode.Service.task
    async def _read(self) -> None:
        while not self.should_stop:
            await self.step()
            await self._clock.sleep_ms(self._interval_ms)

    async def step(self) -> None:
        """Reads the instance list once."""
        try:
            listed = await self._instance_list.instances(LIST_TIMEOUT_MS)
        except native.PlatformError as error:
            self.log.warning("reading the instance list failed: %s", error)
            return
        self.instances = {instance.id: instance for instance in listed}
        self.by_address = {instance.address: instance for instance in listed}
        self.read_at_ms = self._clock.now_ms()

    def leaving_instances(self) -> frozenset[str]:
        """Returns the ids of instances that are leaving."""
        return frozenset(
            instance.id
            for instance in self.instances.values()
            if instance.state is native.InstanceState.LEAVING
        )

    def engine_instances(self) -> list[native.Instance]:
        """Returns the instances that are model engines."""
        return [i for i in self.instances.values() if i.role == "engine"]


def zone_ids(view: interfaces.CatalogueView) -> dict[str, str]:
    """Returns zone ids by the platform's zone names."""
    return {
        zone.platform_zone or zone.name: zone.id
        for zone in view.all("zone")
        if isinstance(zone, resources.Zone)
    }


def domain_ids(view: interfaces.CatalogueView) -> dict[str, str]:
    """Returns fabric domain ids by the platform's domain names."""
    return {
        domain.platform_domain or domain.name: domain.id
        for domain in view.all("domain")
        if isinstance(domain, resources.Domain)
    }
