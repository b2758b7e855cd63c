"""The weight store over HTTP."""

import aiohttp

from oleanderbay.native import engine_http, interfaces


class HttpWeightStore:
    """Implements `interfaces.WeightStore`."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def state(self, timeout_ms: int) -> interfaces.WeightStoreState:
        """Returns the store's rate and load."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        url = f"http://{self.address}/v1/state"
        async with engine_http.Call(
            self._session, "GET", url, timeout_ms
        ) as call:
            body = await call.json()
        try:
            return interfaces.WeightStoreState(
                rate_bytes_per_s=int(body["rate_bytes_per_s"]),
                active_loads=int(body["active_loads"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise interfaces.PlatformError(
                f"invalid weight store state: {error}"
            ) from error
