"""Which fabric domains this gateway owns."""

import structlog
import xxhash

from oleanderbay.gateway import interfaces
from oleanderbay.process import clock as clocks

log = structlog.get_logger()


class DomainOwnership:
    """Keeps this gateway among the owners of the domains.

    Attributes:
        member: Name of this run of the gateway among the owners.
        generation: Generation of the last assignment.
        partitions: Partitions that the store assigned.
        confirmed_ms: Time of the last confirmed assignment, on the clock
            that counts suspension; -1 for never.
        refused_generation: Generation whose orders a worker refused because
            it had seen a later one.
    """

    def __init__(
        self,
        store: interfaces.Store,
        clock: clocks.Clock,
        member: str,
        ttl_ms: int,
        interval_ms: int,
    ) -> None:
        self.store = store
        self.clock = clock
        self.member = member
        self.ttl_ms = ttl_ms
        self.interval_ms = interval_ms
        self.generation = 0
        self.partitions: frozenset[int] = frozenset()
        self.confirmed_ms = -1
        self.refused_generation = -1
        self.leaving = False

    async def run(self) -> None:
        """Confirms the ownership until cancelled."""
        while not self.leaving:
            asked_ms = self.clock.now_ms()
            await self.confirm()
            # The interval counts from the call. Counted from its answer, one
            # call that times out would use up the time to live.
            spent_ms = self.clock.now_ms() - asked_ms
            await self.clock.sleep_ms(max(0, self.interval_ms - spent_ms))

    async def confirm(self) -> None:
        """Joins the owners or stays among them."""
        asked_ms = self.clock.boot_ms()
        try:
            given = await self.store.join(
                self.member, self.ttl_ms, self.generation
            )
        except interfaces.StoreError as error:
            log.debug("ownership not confirmed", error=str(error))
            return
        if given.generation != self.generation:
            log.info(
                "ownership",
                generation=given.generation,
                partitions=sorted(given.partitions),
            )
        self.generation = given.generation
        self.partitions = given.partitions
        # The store counts from the arrival of the call at the latest.
        self.confirmed_ms = asked_ms

    async def release(self) -> None:
        """Gives up all domains."""
        self.leaving = True
        self.partitions = frozenset()
        try:
            await self.store.leave(self.member)
        except interfaces.StoreError as error:
            log.info("ownership lapses", error=str(error))

    def owns(self, domain: str) -> bool:
        """Whether this gateway may give orders in a domain now."""
        if (
            self.confirmed_ms < 0
            or self.leaving
            or self.refused_generation >= self.generation
            or self.clock.boot_ms() - self.confirmed_ms >= self.ttl_ms
        ):
            return False
        partition = (
            xxhash.xxh64_intdigest(domain.encode()) % self.store.partitions
        )
        return partition in self.partitions

    def refused(self, generation: int) -> None:
        """Notes that a worker has seen a later generation."""
        self.refused_generation = max(self.refused_generation, generation)
        log.info("orders refused for a later owner", generation=generation)
