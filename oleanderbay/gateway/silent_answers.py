"""Answers of workers that fell silent, kept until another one replaces them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from oleanderbay.gateway import request_load, stream_relay, worker_client


class SilentAnswer:
    """A stream whose worker has fallen silent, while another one is asked.

    The worker may be sound, and the other one may refuse. The answer is closed
    when an event of another worker has arrived, or with the request.

    Attributes:
        relay: The relay of the stream, with its worker and response.
        loads: Counts the request at the worker until `release` is called.
        events: Number of its events that the caller has received.
    """

    def __init__(
        self, relay: stream_relay.StreamRelay, loads: request_load.RequestLoad
    ) -> None:
        self.relay = relay
        self.loads = loads
        # The next attempt counts its own events in the state of the request.
        self.events = relay.request.events
        loads.record_start(relay.worker.id)

    def goes_on(self) -> bool:
        """Whether the worker has sent an event, or the end of its stream."""
        return self.relay.has_progress()

    def release(self) -> None:
        """Ends the count of the request at the worker."""
        self.loads.record_end(self.relay.worker.id)

    def close(self) -> None:
        """Ends the request at the worker."""
        self.release()
        self.relay.worker_response.close()

    @contextlib.asynccontextmanager
    async def interrupts(self, interval_ms: int) -> AsyncIterator[None]:
        """Ends a wait for another worker once this one goes on.

        Args:
            interval_ms: Time that the other worker has in any case, and
                between two looks at this one.

        Raises:
            AttemptError: This worker goes on and the other one is late.
        """
        limit = asyncio.timeout(None)
        checks = asyncio.create_task(self._check(limit, interval_ms))
        try:
            async with limit:
                yield
        except TimeoutError as error:
            raise worker_client.AttemptError(
                "no answer before an earlier worker went on", True, True
            ) from error
        finally:
            checks.cancel()
            await asyncio.gather(checks, return_exceptions=True)

    async def _check(self, limit: asyncio.Timeout, interval_ms: int) -> None:
        while True:
            await self.relay.clock.sleep_ms(interval_ms)
            if self.goes_on():
                limit.reschedule(asyncio.get_running_loop().time())
                return
