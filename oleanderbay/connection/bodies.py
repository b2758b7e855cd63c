"""Bodies of answers, with a limit on their size."""

import aiohttp


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Reads the body of an answer into memory.

    Raises:
        aiohttp.ClientPayloadError: The body is too large or was cut off.
        TimeoutError, OSError: It did not arrive in time.
    """
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the body is larger than {max_bytes} bytes"
            )
    return bytes(body)
