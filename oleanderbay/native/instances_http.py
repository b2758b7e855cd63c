"""The instance list over HTTP.

`GET /instances` answers a JSON list of lines; `PUT /instances/{id}` adds or
replaces one.
"""

import dataclasses
import json
from collections.abc import Sequence
from typing import Any

import aiohttp

from oleanderbay.connection import bodies
from oleanderbay.native import interfaces, log_http


class HttpInstanceList:
    """A client of the instance list.

    Attributes:
        base_url: `http://host:port` of the service.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self.base_url = base_url.rstrip("/")
        self._session = session

    async def instances(self, timeout_ms: int) -> Sequence[interfaces.Instance]:
        """Returns all lines.

        Raises:
            PlatformError: The list could not be read.
        """
        body = await self._call("GET", "instances", None, timeout_ms)
        try:
            return tuple(decode(line) for line in json.loads(body))
        except (ValueError, TypeError) as error:
            raise interfaces.PlatformUnknownError(
                "the instance list is malformed"
            ) from error

    async def announce(
        self, instance: interfaces.Instance, timeout_ms: int
    ) -> None:
        """Adds or replaces a line.

        Raises:
            PlatformError: The line may not have been written.
        """
        await self._call(
            "PUT",
            f"instances/{instance.id}",
            dataclasses.asdict(instance),
            timeout_ms,
        )

    async def _call(
        self, method: str, path: str, body: Any, timeout_ms: int
    ) -> bytes:
        try:
            async with self._session.request(
                method,
                f"{self.base_url}/{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000),
            ) as response:
                answer = await bodies.read(response, interfaces.MAX_BODY_BYTES)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise log_http.translate(error, f"{method} {path}") from error
        log_http.check_status(status, f"{method} {path}")
        return answer


def decode(fields: Any) -> interfaces.Instance:
    """Returns a line of the list; unknown fields are ignored.

    Raises:
        TypeError: A field is missing or has another type.
        ValueError: The state is unknown.
    """
    if not isinstance(fields, dict):
        raise TypeError(f"expected an object, found {type(fields).__name__}")
    known: dict[str, Any] = {}
    for field in dataclasses.fields(interfaces.Instance):
        if field.name not in fields:
            continue
        value = fields[field.name]
        if field.name == "state":
            value = interfaces.InstanceState(value)
        expected = int if field.name == "accelerators" else str
        if not isinstance(value, expected) or isinstance(value, bool):
            raise TypeError(f"{field.name} has the wrong type: {value!r}")
        known[field.name] = value
    return interfaces.Instance(**known)
