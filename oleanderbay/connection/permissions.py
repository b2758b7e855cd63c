"""Permissions that must still hold when a request is written to a connection.

A process may be paused or delayed between the check of a permission and the
write that depends on it, for instance while a connection is opened.
"""

import contextlib
import contextvars
from collections.abc import Callable, Iterator
from typing import Any

import aiohttp
from aiohttp import connector


class PermissionExpiredError(Exception):
    """The permission for a request ran out before the request was written."""


_HOLDS: contextvars.ContextVar[Callable[[], bool] | None] = (
    contextvars.ContextVar("permission", default=None)
)


@contextlib.contextmanager
def required(holds: Callable[[], bool]) -> Iterator[None]:
    """Requires a permission for the requests that the current task sends.

    Args:
        holds: Returns whether the permission holds at this moment.
    """
    token = _HOLDS.set(holds)
    try:
        yield
    finally:
        _HOLDS.reset(token)


def check() -> None:
    """Checks the permission of the current task, if one is required.

    Raises:
        PermissionExpiredError: It no longer holds.
    """
    holds = _HOLDS.get()
    if holds is not None and not holds():
        raise PermissionExpiredError


class CheckedConnector(aiohttp.TCPConnector):
    """Checks the permission of the current task once a connection is open."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> connector.Connection:
        """Returns the connection to use for a request.

        Raises:
            PermissionExpiredError: The request must no longer be sent.
        """
        opened = await super().connect(req, traces, timeout)
        try:
            check()
        except PermissionExpiredError:
            opened.close()
            raise
        return opened
