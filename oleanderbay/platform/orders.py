"""Client for the HTTP control API of the platform's workers."""

import asyncio
import json
import socket
from collections.abc import Sequence
from typing import Any

import aiohttp

from oleanderbay.connection import (
    aiohttp_internals,
    bodies,
    permissions,
    sockets,
)
from oleanderbay.gateway import interfaces, workers
from oleanderbay.platform import names, records

RESULT_BY_STATUS = {
    200: interfaces.OrderResult.DONE,
    202: interfaces.OrderResult.BEGUN,
    400: interfaces.OrderResult.REFUSED,
    409: interfaces.OrderResult.CONFLICT,
    412: interfaces.OrderResult.FENCED,
    421: interfaces.OrderResult.REFUSED,
    429: interfaces.OrderResult.REFUSED,
    503: interfaces.OrderResult.REFUSED,
}

# A worker's report holds a few short fields.
MAX_BODY_BYTES = 65_536
# With its head and the frames of its chunks, which may be small.
MAX_CONNECTION_BYTES = 16 * MAX_BODY_BYTES


class HttpOrders:
    """Sends orders to workers and reads their reports over HTTP.

    Attributes:
        timeout_ms: Timeout of an order.
        connect_timeout_ms: Timeout for establishing a connection.
        open_socket: Opens connections to workers; see `ConnectedOrders`.
    """

    def __init__(self, timeout_ms: int, connect_timeout_ms: int) -> None:
        self.timeout_ms = timeout_ms
        self.connect_timeout_ms = connect_timeout_ms
        self.open_socket: aiohttp_internals.OpenSocket = self._connect
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the client session; requires a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp_internals.limit_answers(
                aiohttp_internals.SocketConnector(
                    lambda host, port: self.open_socket(host, port),
                    force_close=True,
                ),
                MAX_CONNECTION_BYTES,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

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
        """Adds a worker to a group; see `Orders.join_group`."""
        return await self._order(
            worker,
            fence,
            accepted_orders,
            operation="join",
            group=group,
            epoch=epoch,
            model=model,
            members=list(members),
        )

    async def open_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        accepted_orders: int | None = None,
    ) -> interfaces.OrderResult:
        """Tells the head to start serving; see `Orders.open_group`."""
        return await self._order(
            worker,
            fence,
            accepted_orders,
            operation="open",
            group=group,
            epoch=epoch,
        )

    async def close_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        abrupt: bool,
    ) -> interfaces.OrderResult:
        """Tells the head to stop serving; see `Orders.close_group`."""
        return await self._order(
            worker,
            fence,
            operation="close",
            group=group,
            epoch=epoch,
            close_mode="cutover" if abrupt else "queue",
        )

    async def leave_group(
        self, worker: workers.Worker, fence: int, group: str, epoch: int
    ) -> interfaces.OrderResult:
        """Removes a worker from its group; see `Orders.leave_group`."""
        return await self._order(
            worker, fence, operation="leave", group=group, epoch=epoch
        )

    async def stage_model(
        self, worker: workers.Worker, fence: int, model: str
    ) -> interfaces.OrderResult:
        """Loads a model onto the worker's host; see `Orders.stage_model`."""
        return await self._order(worker, fence, operation="stage", model=model)

    async def is_healthy(
        self, worker: workers.Worker, path: str, timeout_ms: int
    ) -> bool:
        """Checks a worker's health endpoint; see `Orders.is_healthy`."""
        assert self._session is not None
        try:
            async with self._session.get(
                f"http://{worker.address}{path}",
                headers={names.EXPECTED_WORKER: worker.id},
                timeout=self._timeout(timeout_ms),
            ) as response:
                return (
                    response.status == 200
                    and response.headers.get(names.WORKER_ID) == worker.id
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def fetch_report(
        self, worker: workers.Worker, timeout_ms: int
    ) -> interfaces.Report | interfaces.OrderResult:
        """Fetches a worker's report of its state; see `Orders.fetch_report`."""
        assert self._session is not None
        try:
            async with self._session.get(
                f"http://{worker.address}{names.REPORT_PATH}",
                headers={names.EXPECTED_WORKER: worker.id},
                timeout=self._timeout(timeout_ms),
            ) as response:
                body = await bodies.read(response, MAX_BODY_BYTES)
                if response.status != 200:
                    return RESULT_BY_STATUS.get(
                        response.status, interfaces.OrderResult.UNKNOWN
                    )
                return records.parse_report(
                    json.loads(body),
                    response.headers.get(names.WORKER_ID, ""),
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return interfaces.OrderResult.UNREACHABLE
        except records.PARSE_ERRORS:
            return interfaces.OrderResult.UNKNOWN

    async def _connect(self, host: str, port: int) -> socket.socket:
        async with asyncio.timeout(self.connect_timeout_ms / 1000):
            return await sockets.connect(host, port)

    async def _order(
        self,
        worker: workers.Worker,
        fence: int,
        accepted_orders: int | None = None,
        **body: Any,
    ) -> interfaces.OrderResult:
        assert self._session is not None
        if accepted_orders is not None:
            body["expected"] = accepted_orders
        try:
            async with self._session.post(
                f"http://{worker.address}{names.ORDER_PATH}",
                data=json.dumps({**body, "fence": fence}).encode(),
                headers={
                    "Content-Type": "application/json",
                    names.EXPECTED_WORKER: worker.id,
                },
                timeout=self._timeout(self.timeout_ms),
            ) as response:
                await bodies.read(response, MAX_BODY_BYTES)
                return RESULT_BY_STATUS.get(
                    response.status, interfaces.OrderResult.UNKNOWN
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return interfaces.OrderResult.UNREACHABLE
        except permissions.PermissionExpiredError:
            return interfaces.OrderResult.EXPIRED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return interfaces.OrderResult.UNKNOWN

    def _timeout(self, total_ms: int) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=total_ms / 1000)
