"""Wrappers of `Orders` and `Store` that record spans and metrics."""

import contextlib
from collections.abc import Awaitable, Sequence
from typing import Any, TypeVar

from opentelemetry import trace

from oleanderbay.gateway import interfaces, workers
from oleanderbay.gateway import telemetry as telemetry_module

_Result = TypeVar(
    "_Result",
    bool,
    interfaces.OrderResult,
    interfaces.Report | interfaces.OrderResult,
)


def instrument_orders(
    telemetry: telemetry_module.Telemetry, inner: interfaces.Orders
) -> interfaces.Orders:
    """Returns orders that record a span and a count for each call."""
    return _InstrumentedOrders(telemetry, inner)


def instrument_store(
    telemetry: telemetry_module.Telemetry, inner: interfaces.Store
) -> interfaces.Store:
    """Returns a store that counts reads and failed calls."""
    return _InstrumentedStore(telemetry, inner)


class _InstrumentedOrders:
    """Orders that record a span and a count for each call."""

    def __init__(
        self, telemetry: telemetry_module.Telemetry, inner: interfaces.Orders
    ) -> None:
        self.telemetry = telemetry
        self.inner = inner

    async def join_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        model: str,
        members: Sequence[str],
        accepted_orders: int | None = None,
    ) -> interfaces.OrderResult:
        return await self._record_order(
            "join",
            worker,
            self.inner.join_group(
                worker, fence, group, epoch, model, members, accepted_orders
            ),
        )

    async def open_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        accepted_orders: int | None = None,
    ) -> interfaces.OrderResult:
        return await self._record_order(
            "open",
            worker,
            self.inner.open_group(worker, fence, group, epoch, accepted_orders),
        )

    async def close_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        abrupt: bool,
    ) -> interfaces.OrderResult:
        return await self._record_order(
            "close",
            worker,
            self.inner.close_group(worker, fence, group, epoch, abrupt),
        )

    async def leave_group(
        self, worker: workers.Worker, fence: int, group: str, epoch: int
    ) -> interfaces.OrderResult:
        return await self._record_order(
            "leave", worker, self.inner.leave_group(worker, fence, group, epoch)
        )

    async def stage_model(
        self, worker: workers.Worker, fence: int, model: str
    ) -> interfaces.OrderResult:
        return await self._record_order(
            "stage", worker, self.inner.stage_model(worker, fence, model)
        )

    async def is_healthy(
        self, worker: workers.Worker, path: str, timeout_ms: int
    ) -> bool:
        return await self._record_order(
            "health", worker, self.inner.is_healthy(worker, path, timeout_ms)
        )

    async def fetch_report(
        self, worker: workers.Worker, timeout_ms: int
    ) -> interfaces.Report | interfaces.OrderResult:
        return await self._record_order(
            "report", worker, self.inner.fetch_report(worker, timeout_ms)
        )

    async def _record_order(
        self, operation: str, worker: workers.Worker, order: Awaitable[_Result]
    ) -> _Result:
        with self.telemetry.span(
            "order",
            trace.SpanKind.CLIENT,
            {"operation": operation, "worker": worker.id},
        ):
            outcome = await order
            if isinstance(outcome, bool):
                result = "done" if outcome else "unhealthy"
            elif isinstance(outcome, interfaces.Report):
                result = "done"
            else:
                result = outcome.value
            self.telemetry.set_span_attributes({"result": result})
        self.telemetry.instruments.orders.add(
            1, {"operation": operation, "result": result}
        )
        return outcome


class _InstrumentedStore:
    """Store that counts reads and failed calls."""

    def __init__(
        self, telemetry: telemetry_module.Telemetry, inner: interfaces.Store
    ) -> None:
        self.telemetry = telemetry
        self.inner = inner

    @property
    def partitions(self) -> int:
        return self.inner.partitions

    async def newest(self, topic: interfaces.Topic) -> interfaces.Page:
        return await self._read("newest", topic, self.inner.newest(topic))

    async def read(
        self, topic: interfaces.Topic, start: int, wait_ms: int
    ) -> interfaces.Page:
        return await self._read(
            "read", topic, self.inner.read(topic, start, wait_ms)
        )

    async def put(
        self, topic: interfaces.Topic, key: str, value: bytes | None
    ) -> None:
        with self._count_failures("put"):
            await self.inner.put(topic, key, value)

    async def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> interfaces.Ownership:
        with self._count_failures("join"):
            return await self.inner.join(member, ttl_ms, generation)

    async def leave(self, member: str) -> None:
        with self._count_failures("leave"):
            await self.inner.leave(member)

    async def _read(
        self,
        operation: str,
        topic: interfaces.Topic,
        read: Awaitable[interfaces.Page],
    ) -> interfaces.Page:
        result = "failed"
        try:
            with self._count_failures(operation):
                page = await read
            result = "ok"
            return page
        except interfaces.HistoryGoneError:
            result = "history_gone"
            raise
        finally:
            self.telemetry.instruments.store_reads.add(
                1, {"topic": topic.value, "result": result}
            )

    @contextlib.contextmanager
    def _count_failures(self, operation: str) -> Any:
        try:
            yield
        except interfaces.HistoryGoneError:
            raise
        except interfaces.StoreError:
            self.telemetry.instruments.store_failures.add(
                1, {"operation": operation}
            )
            raise
