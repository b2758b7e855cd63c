"""Which fabric domains this gateway owns."""

from collections.abc import Callable

import structlog
import xxhash

from oleanderbay.gateway import interfaces, positions
from oleanderbay.process import clock as clocks

log = structlog.get_logger()


class DomainOwnership:
    """Keeps this gateway in the set of gateways that share the domains.

    Attributes:
        member: Name of this run of the gateway in that set.
        generation: Generation of the last assignment.
        partitions: Partitions that the store assigned.
        confirmed_ms: Time of the last confirmed assignment, on the clock
            that includes suspension; -1 for never.
        refused_generation: Latest generation whose orders a worker refused
            because it had seen a later one.
        suspended: Whether this gateway can't do an owner's duties, so that
            others should.
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
        self._renewing = False
        self.suspended: Callable[[], bool] = lambda: False

    async def run(self) -> None:
        """Confirms the ownership periodically until cancelled."""
        while not self.leaving:
            called_ms = self.clock.now_ms()
            if self._renewing:
                self._renewing = not await self._withdraw()
            elif not self.suspended():
                await self.confirm()
            elif self.confirmed_ms >= 0:
                await self._withdraw()
            # The interval is counted from the start of the call. Counted from
            # its end, one call that times out would use up the time to live.
            elapsed_ms = self.clock.now_ms() - called_ms
            await self.clock.sleep_ms(max(0, self.interval_ms - elapsed_ms))

    async def confirm(self) -> None:
        """Joins the owners or renews the membership."""
        called_ms = self.clock.boot_ms()
        try:
            assignment = await self.store.join(
                self.member, self.ttl_ms, self.generation
            )
        except interfaces.StoreError as error:
            log.debug("ownership not confirmed", error=str(error))
            return
        if assignment.generation != self.generation:
            log.info(
                "ownership",
                generation=positions.number_in_era(
                    assignment.generation, positions.GENERATION_BITS
                ),
                era=positions.era_of(
                    assignment.generation, positions.GENERATION_BITS
                ),
                partitions=sorted(assignment.partitions),
            )
        self.generation = assignment.generation
        self.partitions = assignment.partitions
        # The store starts the time to live when the call arrives, which is
        # never before it was made.
        self.confirmed_ms = called_ms

    async def release(self) -> None:
        """Gives up all domains."""
        self.leaving = True
        await self._withdraw()

    def renew(self) -> None:
        """Gives up the current generation in order to get a new one."""
        self.refused_generation = max(self.refused_generation, self.generation)
        self._renewing = True

    async def _withdraw(self) -> bool:
        """Gives up all domains; returns whether the store has confirmed."""
        self.partitions = frozenset()
        self.confirmed_ms = -1
        try:
            await self.store.leave(self.member)
        except interfaces.StoreError as error:
            log.info("ownership lapses", error=str(error))
            return False
        return True

    def owns(self, domain: str) -> bool:
        """Whether this gateway may send orders to workers of a domain now."""
        if (
            self.confirmed_ms < 0
            or self.leaving
            or self.suspended()
            or self.refused_generation >= self.generation
            or self.clock.boot_ms() - self.confirmed_ms >= self.ttl_ms
        ):
            return False
        partition = (
            xxhash.xxh64_intdigest(domain.encode()) % self.store.partitions
        )
        return partition in self.partitions

    def record_refusal(self, generation: int) -> None:
        """Records that a worker has seen a later generation."""
        self.refused_generation = max(self.refused_generation, generation)
        log.info("orders refused for a later owner", generation=generation)
