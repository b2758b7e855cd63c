"""The log service over HTTP.

`POST /streams/{stream}/records` appends the request body and answers
`{"offset": n}`. `GET /streams/{stream}/records?start=&limit=&wait_ms=`
answers msgpack `{"first", "end", "records": [[offset, data], ...]}`, or 410
with `{"first": n}` when `start` has expired.
"""

import json
from typing import Any

import aiohttp
import msgpack

from oleanderbay.connection import bodies
from oleanderbay.native import interfaces

# A server that answers with one of these has not carried out the request.
# Other 5xx statuses may come from something between the two ends, after the
# request took effect.
REFUSED_STATUSES = frozenset((*range(400, 500), 503))
# A page of 512 records, as many as any reader asks for, takes 131 MB if each
# is a part of a checkpoint.
MAX_PAGE_BYTES = 150_000_000


class HttpLog:
    """A client of the log service.

    Attributes:
        base_url: `http://host:port` of the service.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self.base_url = base_url.rstrip("/")
        self._session = session

    async def append(self, stream: str, data: bytes, timeout_ms: int) -> int:
        """Appends a record and returns its offset.

        Raises:
            PlatformUnavailableError: Nothing was appended.
            PlatformUnknownError: The record may be appended, now or later.
        """
        try:
            async with self._session.post(
                f"{self.base_url}/streams/{stream}/records",
                data=data,
                timeout=_timeout(timeout_ms),
            ) as response:
                body = await bodies.read(response, interfaces.MAX_BODY_BYTES)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise translate(error, "append") from error
        check_status(status, "append")
        try:
            offset = json.loads(body)["offset"]
        except (ValueError, KeyError, TypeError) as error:
            raise interfaces.PlatformUnknownError(
                "the log's answer to an append is malformed"
            ) from error
        if type(offset) is not int or offset < 1:
            raise interfaces.PlatformUnknownError(
                f"the log answered an append with offset {offset!r}"
            )
        return offset

    async def read(
        self,
        stream: str,
        start: int,
        limit: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> interfaces.LogPage:
        """Reads from an offset, waiting up to `wait_ms` for a first record.

        Raises:
            RecordsExpiredError: `start` is older than what the log holds.
            PlatformError: The log could not be read.
        """
        try:
            async with self._session.get(
                f"{self.base_url}/streams/{stream}/records",
                params={"start": start, "limit": limit, "wait_ms": wait_ms},
                timeout=_timeout(timeout_ms),
            ) as response:
                body = await bodies.read(response, MAX_PAGE_BYTES)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise translate(error, "read") from error
        try:
            if status == 410:
                raise interfaces.RecordsExpiredError(
                    int(json.loads(body)["first"])
                )
            check_status(status, "read")
            return _page(msgpack.unpackb(body))
        except interfaces.PlatformError:
            raise
        except Exception as error:
            # msgpack raises errors of several unrelated types.
            raise interfaces.PlatformUnknownError(
                "the log's answer to a read is malformed"
            ) from error


def translate(error: Exception, operation: str) -> interfaces.PlatformError:
    """Returns the platform error for a fault of the HTTP client.

    Only a failure to connect proves that nothing was sent.
    """
    message = f"{operation}: {type(error).__name__}: {error}"
    if isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    ):
        return interfaces.PlatformUnavailableError(message)
    return interfaces.PlatformUnknownError(message)


def check_status(status: int, operation: str) -> None:
    """Raises the platform error of an HTTP status that is not a success.

    Raises:
        PlatformUnavailableError: The request was refused.
        PlatformUnknownError: It may have taken effect.
    """
    if 200 <= status < 300:
        return
    message = f"{operation}: HTTP status {status}"
    if status in REFUSED_STATUSES:
        raise interfaces.PlatformUnavailableError(message)
    raise interfaces.PlatformUnknownError(message)


def _page(fields: Any) -> interfaces.LogPage:
    records = tuple(
        interfaces.LogRecord(_integer(offset), _data(data))
        for offset, data in fields["records"]
    )
    return interfaces.LogPage(
        records, _integer(fields["first"]), _integer(fields["end"])
    )


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise TypeError(f"expected an integer, found {value!r}")
    return value


def _data(value: Any) -> bytes:
    if type(value) is not bytes:
        raise TypeError(f"expected bytes, found {type(value).__name__}")
    return value


def _timeout(timeout_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=timeout_ms / 1000)
