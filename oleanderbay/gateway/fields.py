"""Checks of the fields of messages and records of other gateways.

Builds of different age run side by side. Each check accepts everything that
any build sends, and nothing with which a later calculation or call could fail.
"""

import ipaddress
import math
import re
from typing import Any

import msgpack

# Largest number in a message. The sum over all gateways fits into msgpack.
MAX_NUMBER = 2**40
# Longest id, zone, host or address.
MAX_NAME_LENGTH = 512
# Conditions of the encoding of a host name that is sent to or connected to.
HOST_NAME = re.compile(r"[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63}){0,126}")
# Exceptions that reading an untrusted message may raise. Deeply nested ones
# raise RecursionError or one of msgpack.
PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    msgpack.UnpackException,
)


def text(value: Any, max_length: int | None = None) -> str:
    """Returns a string.

    Raises:
        TypeError, ValueError: It is none, or longer than the limit.
    """
    if not isinstance(value, str):
        raise TypeError(f"a string is expected, not {type(value).__name__}")
    if max_length is not None and len(value) > max_length:
        raise ValueError(f"a string of {len(value)} characters is too long")
    return value


def name(value: Any) -> str:
    """Returns a string that is neither empty nor long.

    Raises:
        TypeError, ValueError: It is none.
    """
    if not text(value, MAX_NAME_LENGTH):
        raise ValueError("a name is empty")
    return str(value)


def host(value: Any) -> str:
    """Returns an IP address or host name that sockets accept.

    Other strings make a datagram socket raise an error other than OSError, on
    which asyncio closes it.

    Raises:
        TypeError, ValueError: It is none.
    """
    if HOST_NAME.fullmatch(name(value)) is None:
        ipaddress.ip_address(value)
    return str(value)


def address(value: Any) -> str:
    """Returns an address for callers; an empty one is given to no caller.

    Raises:
        TypeError, ValueError: It is none.
    """
    return text(value, MAX_NAME_LENGTH)


def whole(value: Any, low: int = 0, high: int = MAX_NUMBER) -> int:
    """Returns a whole number within limits.

    Raises:
        TypeError, ValueError: It is none.
    """
    if type(value) is not int:
        raise TypeError(
            f"a whole number is expected, not {type(value).__name__}"
        )
    if not low <= value <= high:
        raise ValueError(f"a number is not within {low} and {high}")
    return value


def span_ms(value: Any) -> int:
    """Returns a time span; a negative one counts as 0.

    Raises:
        TypeError, ValueError: It is none.
    """
    return max(0, whole(value, -MAX_NUMBER))


def number(value: Any) -> float:
    """Returns a finite number that is not negative.

    Raises:
        TypeError, ValueError: It is none.
    """
    if type(value) not in (int, float):
        raise TypeError(f"a number is expected, not {type(value).__name__}")
    if not (math.isfinite(value) and 0 <= value <= MAX_NUMBER):
        raise ValueError(f"a number is not within 0 and {MAX_NUMBER}")
    return float(value)


def flag(value: Any) -> bool:
    """Returns a truth value.

    Raises:
        TypeError: It is none.
    """
    if not isinstance(value, bool):
        raise TypeError(
            f"a truth value is expected, not {type(value).__name__}"
        )
    return value


def mapping(value: Any) -> dict[str, Any]:
    """Returns a mapping with strings as keys.

    Raises:
        TypeError: It is none.
    """
    if not isinstance(value, dict):
        raise TypeError(f"a mapping is expected, not {type(value).__name__}")
    # This runs for each heartbeat, so calls per item are avoided.
    if not all([type(key) is str for key in value]):
        raise TypeError("the keys of a mapping are not all strings")
    return value


def texts(value: Any) -> list[str]:
    """Returns a list of strings.

    Raises:
        TypeError: It is none.
    """
    return [text(item) for item in items(value)]


def items(value: Any) -> list[Any] | tuple[Any, ...]:
    """Returns a list.

    Raises:
        TypeError: It is none; a string or mapping is none either.
    """
    if not isinstance(value, (list, tuple)):
        raise TypeError(f"a list is expected, not {type(value).__name__}")
    return value


def counts(value: Any) -> dict[str, int]:
    """Returns whole numbers by name.

    Raises:
        TypeError, ValueError: They are none.
    """
    found = mapping(value)
    for count in found.values():
        if type(count) is not int or not 0 <= count <= MAX_NUMBER:
            whole(count)
    return dict(found)
