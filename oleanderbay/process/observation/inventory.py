"""The instance list as last read, in terms of the catalogue."""

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.version import resources

LIST_TIMEOUT_MS = 2_000


class Inventory(mode.Service):
    """Reads the instance list; keeps the last one while it can't be read.

    Attributes:
        instances: Lines by instance id.
        read_at_ms: Local time of the last list; None before the first.
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
        """Reads the list once."""
        try:
            lines = await self._instance_list.instances(LIST_TIMEOUT_MS)
        except native.PlatformError as error:
            self.log.warning("instance list not read: %s", error)
            return
        self.instances = {line.id: line for line in lines}
        self.by_address = {line.address: line for line in lines}
        self.read_at_ms = self._clock.now_ms()

    def leaving_instances(self) -> frozenset[str]:
        """Returns the instances that are about to leave."""
        return frozenset(
            line.id
            for line in self.instances.values()
            if line.state is native.InstanceState.LEAVING
        )

    def engine_instances(self) -> list[native.Instance]:
        """Returns the lines of model engines."""
        return [i for i in self.instances.values() if i.role == "engine"]


def zone_ids(view: interfaces.CatalogueView) -> dict[str, str]:
    """Returns zone ids by the platform's name of the zone."""
    return {
        zone.platform_zone or zone.name: zone.id
        for zone in view.all("zone")
        if isinstance(zone, resources.Zone)
    }


def domain_ids(view: interfaces.CatalogueView) -> dict[str, str]:
    """Returns domain ids by the platform's name of the domain."""
    return {
        domain.platform_domain or domain.name: domain.id
        for domain in view.all("domain")
        if isinstance(domain, resources.Domain)
    }
