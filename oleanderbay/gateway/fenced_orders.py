"""Sends fenced orders to workers and retries them until accepted."""

import functools
from collections.abc import Awaitable, Callable

import structlog

from oleanderbay.connection import permissions
from oleanderbay.gateway import (
    dialing,
    domain_ownership,
    interfaces,
    probing,
    workers,
)
from oleanderbay.process import clock as clocks

MAX_ORDER_ATTEMPTS = 4
ORDER_RETRY_DELAY_MS = 150

ACCEPTED = (interfaces.OrderResult.DONE, interfaces.OrderResult.BEGUN)

log = structlog.get_logger()


class OrderError(Exception):
    """An order failed, or a worker is not in the state that it requires."""


class OrderSender:
    """Sends orders to workers of the domains that this gateway owns."""

    def __init__(
        self,
        ownership: domain_ownership.DomainOwnership,
        prober: probing.Prober,
        clock: clocks.Clock,
    ) -> None:
        self.ownership = ownership
        self.prober = prober
        self.clock = clock

    async def send(
        self,
        worker: workers.Worker,
        order: Callable[[int], Awaitable[interfaces.OrderResult]],
        **context: object,
    ) -> None:
        """Sends an order until it is accepted, by any path to the worker.

        Orders are idempotent: a worker that is already in the state asked for
        accepts the order again.

        Args:
            worker: The worker.
            order: Sends the order with a fencing token.
            context: Fields of the log lines, such as the operation.

        Raises:
            OrderError: It was not accepted.
        """
        result = interfaces.OrderResult.UNKNOWN
        for attempt in range(MAX_ORDER_ATTEMPTS):
            if attempt:
                await self.clock.sleep_ms(ORDER_RETRY_DELAY_MS)
            generation = self.ownership.generation
            owns = functools.partial(self._owns, worker, generation)
            if not owns():
                raise OrderError("the domain has another owner")
            with permissions.required(owns), dialing.connecting_to(worker):
                result = await order(generation)
            log.info(
                "order",
                worker=worker.id,
                fence=generation,
                result=result.value,
                **context,
            )
            if result in ACCEPTED:
                return
            if result is interfaces.OrderResult.FENCED:
                self.ownership.record_refusal(generation)
                break
            if result is interfaces.OrderResult.UNREACHABLE and attempt:
                self.prober.suspect(worker)
                break
        raise OrderError(
            f"worker {worker.id} did not accept the order: {result.value}"
        )

    def owns(self, worker: workers.Worker) -> bool:
        """Whether orders to a worker may be sent now."""
        return self.ownership.owns(f"{worker.service}/{worker.domain}")

    def _owns(self, worker: workers.Worker, generation: int) -> bool:
        """Whether an order with the fence of a generation may be sent now."""
        return self.owns(worker) and self.ownership.generation == generation
