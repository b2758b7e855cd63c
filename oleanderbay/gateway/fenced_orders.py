"""Gives fenced orders until they are accepted."""

from collections.abc import Awaitable, Callable

from oleanderbay.gateway import domain_ownership, interfaces, probing, workers
from oleanderbay.process import clock as clocks

ORDER_TRIES = 4
ORDER_RETRY_MS = 150

ACCEPTED = (interfaces.OrderResult.DONE, interfaces.OrderResult.BEGUN)


class OrderError(Exception):
    """What an order was given for was not reached."""


class OrderSender:
    """Orders workers of the domains that this gateway owns."""

    def __init__(
        self,
        owner: domain_ownership.DomainOwnership,
        prober: probing.Prober,
        clock: clocks.Clock,
    ) -> None:
        self.owner = owner
        self.prober = prober
        self.clock = clock

    async def send(
        self,
        worker: workers.Worker,
        order: Callable[[int], Awaitable[interfaces.OrderResult]],
    ) -> None:
        """Gives an order until it is accepted.

        Repeating an order is harmless: the worker answers that the state
        already holds.

        Raises:
            OrderError: It was not accepted.
        """
        result = interfaces.OrderResult.UNKNOWN
        for attempt in range(ORDER_TRIES):
            if attempt:
                await self.clock.sleep_ms(ORDER_RETRY_MS)
            if not self.owner.owns(f"{worker.service}/{worker.domain}"):
                raise OrderError("the domain has another owner")
            generation = self.owner.generation
            result = await order(generation)
            if result in ACCEPTED:
                return
            if result is interfaces.OrderResult.FENCED:
                self.owner.refused(generation)
                break
            if result is interfaces.OrderResult.UNREACHABLE and attempt:
                self.prober.suspect(worker)
                break
        raise OrderError(f"{worker.id}: order {result.value}")
