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

        async def attempt(generation: int) -> interfaces.OrderResult:
            return await self._deliver(worker, generation, order)

        await self._repeat(worker, attempt, context)

    async def send_reported(
        self,
        worker: workers.Worker,
        order: Callable[
            [int, interfaces.Report], Awaitable[interfaces.OrderResult]
        ],
        report: interfaces.Report | None = None,
        **context: object,
    ) -> None:
        """Sends an order that depends on the worker's own report.

        Each attempt has a report of its own, as an earlier attempt without a
        response may have been accepted, or a copy of an older order.

        Args:
            worker: The worker.
            order: Sends the order with a fencing token.
            report: The report for the first attempt, if there is one already.
            context: Fields of the log lines, such as the operation.

        Raises:
            OrderError: It was not accepted.
        """
        received = report

        async def attempt(generation: int) -> interfaces.OrderResult:
            nonlocal received
            current, received = received, None
            if current is None:
                found = await self.prober.fetch_report(worker)
                if not isinstance(found, interfaces.Report):
                    return found
                current = found
            if current.started_ms not in (0, worker.started_ms):
                return interfaces.OrderResult.CONFLICT
            return await self._deliver(
                worker,
                generation,
                lambda fence: order(fence, current),
            )

        await self._repeat(worker, attempt, context)

    async def _deliver(
        self,
        worker: workers.Worker,
        generation: int,
        order: Callable[[int], Awaitable[interfaces.OrderResult]],
    ) -> interfaces.OrderResult:
        """Sends an order once, while this gateway owns the domain."""
        owns = functools.partial(self._owns, worker, generation)
        with permissions.required(owns), dialing.connecting_to(worker):
            return await order(generation)

    async def _repeat(
        self,
        worker: workers.Worker,
        attempt_order: Callable[[int], Awaitable[interfaces.OrderResult]],
        context: dict[str, object],
    ) -> None:
        """Repeats an order until it is accepted or can't be.

        Raises:
            OrderError: It was not accepted.
        """
        result = interfaces.OrderResult.UNKNOWN
        for attempt in range(MAX_ORDER_ATTEMPTS):
            if attempt:
                await self.clock.sleep_ms(ORDER_RETRY_DELAY_MS)
            generation = self.ownership.generation
            if not self._owns(worker, generation):
                raise OrderError("the domain has another owner")
            result = await attempt_order(generation)
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
