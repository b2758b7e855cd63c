"""This entry's line in the instance list, and what the list says of others."""

import random
from collections.abc import Callable

import mode
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process.membership import membership

PERIOD_MS = 1_000
TIMEOUT_MS = 1_000
ANNOUNCE_PERIOD_MS = 5_000


class Listing(mode.Service):
    """Feeds a `Membership` from the instance list and announces this entry."""

    def __init__(
        self,
        members: membership.Membership,
        instance_list: native.InstanceList,
        clock: clocks.Clock,
        rng: random.Random,
        on_read: Callable[[], None],
    ) -> None:
        """Makes the service.

        Args:
            members: What is known of other entries.
            instance_list: The instance list.
            clock: Time.
            rng: Source of jitter.
            on_read: Called after the list was read.
        """
        super().__init__()
        self._members = members
        self._list = instance_list
        self._clock = clock
        self._rng = rng
        self._on_read = on_read
        self._log = structlog.get_logger("listing")

    async def announce(self) -> bool:
        """Announces this entry; returns whether that went well.

        An announcement that it leaves may fail; peers then tell each other.
        """
        me = self._members.me
        state = native.InstanceState.LIVE
        if me.leaving:
            state = native.InstanceState.LEAVING
        try:
            await self._list.announce(
                native.Instance(
                    id=me.id,
                    role="entry",
                    address=me.caller_address,
                    zone=me.zone,
                    state=state,
                    accelerators=0,
                    peer_address=me.peer_address,
                ),
                TIMEOUT_MS,
            )
        except native.PlatformError as error:
            self._log.warning("announcement failed", error=str(error))
            return False
        return True

    @mode.Service.task
    async def _follow(self) -> None:
        announced_ms = -ANNOUNCE_PERIOD_MS
        while not self.should_stop:
            now_ms = self._clock.now_ms()
            if (
                now_ms - announced_ms >= ANNOUNCE_PERIOD_MS
                and await self.announce()
            ):
                announced_ms = now_ms
            try:
                lines = await self._list.instances(TIMEOUT_MS)
            except native.PlatformError as error:
                self._log.warning("instance list failed", error=str(error))
            else:
                self._members.note_list(lines)
                self._on_read()
            await self._clock.sleep_ms(PERIOD_MS * self._rng.uniform(0.9, 1.1))
