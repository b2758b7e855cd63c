"""Length-prefixed msgpack frames between entries.

A frame is a 4-byte big-endian length and then msgpack of
`[kind, request_id, body]`. A request id of 0 asks for no answer.
"""

import asyncio
import dataclasses
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack

# Bounds what one peer can make another hold in memory. Snapshots are split
# well below it.
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_KIND_LENGTH = 64
_LENGTH = struct.Struct(">I")

# Opens a connection to a host.
Connect = Callable[
    [str], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
]


class FrameError(Exception):
    """A frame that can't be sent or read; the connection is unusable."""


class FrameTooLargeError(FrameError):
    """A frame is longer than the limit."""


class FrameTruncatedError(FrameError):
    """The connection ended inside a frame."""


class FrameMalformedError(FrameError):
    """The content of a frame is not `[kind, request_id, body]`."""


class ConnectionEndedError(FrameError):
    """The connection ended between two frames."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One message.

    Attributes:
        kind: Message kind.
        request_id: Number that the answer repeats; 0 if none is wanted.
        body: What msgpack can carry.
    """

    kind: str
    request_id: int
    body: Any


def encode(
    kind: str, request_id: int, body: Any, max_bytes: int = MAX_FRAME_BYTES
) -> bytes:
    """Returns a frame with its length prefix.

    Raises:
        FrameTooLargeError: The frame is longer than the limit.
        TypeError: msgpack can't carry the body.
    """
    packed: bytes = msgpack.packb([kind, request_id, body])
    if len(packed) > max_bytes:
        raise FrameTooLargeError(
            f"a {kind} frame of {len(packed)} bytes exceeds {max_bytes}"
        )
    return _LENGTH.pack(len(packed)) + packed


def decode(packed: bytes) -> Frame:
    """Reads the content of a frame, without its length prefix.

    Raises:
        FrameMalformedError: It is not a frame.
    """
    try:
        value = msgpack.unpackb(packed)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameMalformedError(
            f"not msgpack: {type(error).__name__}: {error}"
        ) from error
    if not isinstance(value, list) or len(value) != 3:
        raise FrameMalformedError("a frame must be a list of three")
    kind, request_id, body = value
    if not isinstance(kind, str) or not 0 < len(kind) <= MAX_KIND_LENGTH:
        raise FrameMalformedError("the kind must be a short string")
    if type(request_id) is not int or not 0 <= request_id < 1 << 63:
        raise FrameMalformedError("the request id must be an integer")
    return Frame(kind, request_id, body)


async def read(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    *,
    silence_s: float | None = None,
    on_part: Callable[[], None] | None = None,
) -> Frame:
    """Reads one frame.

    Args:
        reader: Incoming stream of the connection.
        max_bytes: Largest content that is accepted.
        silence_s: Longest time without any byte; None for no limit.
        on_part: Called when a part of the frame has arrived.

    Raises:
        TimeoutError: No byte arrived for `silence_s`.
        ConnectionEndedError: The connection ended between two frames.
        FrameTruncatedError: It ended inside a frame.
        FrameTooLargeError: The announced length exceeds the limit.
        FrameMalformedError: The content is not a frame.
    """
    try:
        prefix = await _read_exactly(reader, _LENGTH.size, silence_s, on_part)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise FrameTruncatedError("ended in a length prefix") from error
        raise ConnectionEndedError("the connection ended") from error
    except TimeoutError:
        raise
    except OSError as error:
        raise ConnectionEndedError(str(error)) from error
    (length,) = _LENGTH.unpack(prefix)
    if length > max_bytes:
        raise FrameTooLargeError(
            f"a frame of {length} bytes exceeds {max_bytes}"
        )
    try:
        return decode(await _read_exactly(reader, length, silence_s, on_part))
    except TimeoutError:
        raise
    except (asyncio.IncompleteReadError, OSError) as error:
        raise FrameTruncatedError("ended inside a frame") from error


async def _read_exactly(
    reader: asyncio.StreamReader,
    size: int,
    silence_s: float | None,
    on_part: Callable[[], None] | None,
) -> bytes:
    if silence_s is None and on_part is None:
        return await reader.readexactly(size)
    data = bytearray()
    while len(data) < size:
        async with asyncio.timeout(silence_s):
            part = await reader.read(size - len(data))
        if not part:
            raise asyncio.IncompleteReadError(bytes(data), size)
        data += part
        if on_part is not None:
            on_part()
    return bytes(data)
