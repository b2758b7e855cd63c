"""Bodies of answers, with a limit on their size."""

import aiohttp

# A list of 12,000 instances takes about 3 MB; other bodies are smaller, except
# those that have a limit of their own.
MAX_BODY_BYTES = 16_777_216


async def read(
    response: aiohttp.ClientResponse, max_bytes: int | None = None
) -> bytes:
    """Reads the body of an answer into memory.

    Args:
        response: The answer.
        max_bytes: Largest body that is accepted; `MAX_BODY_BYTES` by default.

    Raises:
        aiohttp.ClientPayloadError: The body is too large or was cut off.
        TimeoutError, OSError: It did not arrive in time.
    """
    limit = MAX_BODY_BYTES if max_bytes is None else max_bytes
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > limit:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the body is larger than {limit} bytes"
            )
    return bytes(body)
