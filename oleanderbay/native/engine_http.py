"""The control side of model engines over HTTP."""

import dataclasses
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from oleanderbay.connection import bodies, permissions
from oleanderbay.native import interfaces

REPORT_FIELDS = frozenset(
    field.name for field in dataclasses.fields(interfaces.EngineReport)
)
# Largest cache of a prefix block.
MAX_CACHE_BYTES = 67_108_864


def report_from(body: Any) -> interfaces.EngineReport:
    """Builds a report from JSON; unknown fields are ignored.

    Raises:
        interfaces.PlatformError: The body is no report.
    """
    try:
        known = {k: v for k, v in body.items() if k in REPORT_FIELDS}
        for field in dataclasses.fields(interfaces.EngineReport):
            value = known.get(field.name, field.default)
            kinds = (int, float) if field.type is float else field.type
            if not isinstance(value, kinds):  # type: ignore[arg-type]
                raise TypeError(f"{field.name} is {value!r}")
        return interfaces.EngineReport(**known)
    except (AttributeError, TypeError) as error:
        raise interfaces.PlatformError(f"invalid report: {error}") from error


class HttpEngine:
    """One engine; implements `interfaces.ModelEngine`.

    Reports and cache calls share a session. Each order goes over a connection
    of its own that is opened for it, so that it cannot lie in the buffers of a
    connection that has stopped carrying data.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the shared connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def report(self, timeout_ms: int) -> interfaces.EngineReport:
        """Returns the newest report."""
        async with self._call("GET", "/control/report", timeout_ms) as call:
            return report_from(await call.json())

    async def order(
        self, order: interfaces.Order, timeout_ms: int
    ) -> interfaces.EngineReport:
        """Gives an order over a new connection."""
        connector = permissions.CheckedConnector(force_close=True, limit=1)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            Call(
                session,
                "POST",
                f"http://{self.address}/control/order",
                timeout_ms,
                json=dataclasses.asdict(order),
            ) as call,
        ):
            body = await call.json(allowed=(409,))
            if call.status == 409:
                reason = body.get("refused") if isinstance(body, dict) else body
                raise interfaces.OrderRefusedError(str(reason))
            return report_from(body)

    async def cancel(self, request_id: str, timeout_ms: int) -> None:
        """Cancels a request at the engine."""
        path = f"/control/cancel/{request_id}"
        async with self._call("POST", path, timeout_ms) as call:
            await call.json()

    async def cache_events(
        self, since: int
    ) -> AsyncIterator[interfaces.CacheEvent]:
        """Yields the cache events held after a sequence number."""
        path = f"/control/cache-events?since={since}"
        async with self._call("GET", path, 2_000) as call:
            body = await call.json()
        try:
            events = [
                interfaces.CacheEvent(
                    sequence=int(event["sequence"]),
                    added=tuple(int(block) for block in event["added"]),
                    removed=tuple(int(block) for block in event["removed"]),
                )
                for event in body["events"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise interfaces.PlatformError(
                f"invalid cache events: {error}"
            ) from error
        for event in events:
            yield event

    async def export_cache(self, block: int, timeout_ms: int) -> bytes:
        """Returns the KV cache of a prefix block."""
        path = f"/control/cache/{block}"
        async with self._call("GET", path, timeout_ms) as call:
            return await call.read(max_bytes=MAX_CACHE_BYTES)

    async def import_cache(
        self, block: int, data: bytes, timeout_ms: int
    ) -> None:
        """Stores the KV cache of a prefix block."""
        path = f"/control/cache/{block}"
        async with self._call("PUT", path, timeout_ms, data=data) as call:
            await call.read()

    def _call(
        self, method: str, path: str, timeout_ms: int, **kwargs: Any
    ) -> "Call":
        if self._session is None:
            self._session = aiohttp.ClientSession()
        url = f"http://{self.address}{path}"
        return Call(self._session, method, url, timeout_ms, **kwargs)


class Call:
    """One HTTP exchange whose faults become errors of `interfaces`.

    A connection that cannot be opened means that nothing was sent; any later
    fault leaves the effect unknown.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        timeout_ms: int,
        **kwargs: Any,
    ) -> None:
        self.status = 0
        self._url = url
        # The connect limit is below the total, so a timeout while connecting
        # is told apart from one while waiting for the answer.
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000, sock_connect=timeout_ms / 2000
        )
        self._request = session.request(
            method, url, timeout=timeout, allow_redirects=False, **kwargs
        )
        self._response: aiohttp.ClientResponse | None = None

    async def __aenter__(self) -> "Call":
        try:
            self._response = await self._request
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise interfaces.PlatformUnavailableError(
                f"{self._url}: {error}"
            ) from error
        except permissions.PermissionExpiredError as error:
            raise interfaces.PlatformUnavailableError(
                f"{self._url}: the permission ran out"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._lost(error) from error
        self.status = self._response.status
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._response is not None:
            self._response.release()

    async def read(
        self, allowed: tuple[int, ...] = (), max_bytes: int | None = None
    ) -> bytes:
        """Reads the answer to its end.

        Args:
            allowed: Statuses other than 200 that are no errors.
            max_bytes: Largest body; `interfaces.MAX_BODY_BYTES` by default.

        Raises:
            interfaces.PlatformError: The status is not 200 or in `allowed`.
            interfaces.PlatformUnknownError: The answer was cut off or is too
                large.
        """
        assert self._response is not None
        if max_bytes is None:
            max_bytes = interfaces.MAX_BODY_BYTES
        try:
            data = await bodies.read(self._response, max_bytes)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._lost(error) from error
        if self.status != 200 and self.status not in allowed:
            if self.status >= 500:
                raise self._lost(f"status {self.status}")
            raise interfaces.PlatformUnavailableError(
                f"{self._url}: status {self.status}"
            )
        return data

    async def json(self, allowed: tuple[int, ...] = ()) -> Any:
        """Reads the answer as JSON.

        Raises:
            interfaces.PlatformError: As `read`.
            interfaces.PlatformUnknownError: The answer is not JSON.
        """
        data = (await self.read(allowed)).strip()
        try:
            return json.loads(data) if data else None
        except ValueError as error:
            raise self._lost(error) from error

    def _lost(self, cause: object) -> interfaces.PlatformUnknownError:
        return interfaces.PlatformUnknownError(
            f"{self._url}: answer lost: {cause or type(cause).__name__}"
        )
