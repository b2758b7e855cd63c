"""Tests of the ownership of fabric domains."""

import asyncio

from oleanderbay.gateway import domain_ownership, interfaces
from oleanderbay.process import clock as clocks
from tests.gateway import parts


def make_ownership():
    store, clock = parts.Store(), clocks.ManualClock()
    return (
        domain_ownership.DomainOwnership(store, clock, "g1", 1_500, 500),
        store,
        clock,
    )


async def test_ownership_ends_with_the_time_to_live():
    """Guards against two owners.

    When the time to live is over, the store assigns the domain to another
    gateway.
    """
    ownership, store, clock = make_ownership()
    assert not ownership.owns("d")
    task = asyncio.create_task(ownership.run())
    await clock.advance(4_000)
    assert ownership.owns("d")
    store.down = True
    await clock.advance(1_499)
    assert ownership.owns("d")
    await clock.advance(1)
    assert not ownership.owns("d")
    store.down = False
    await clock.advance(500)
    assert ownership.owns("d")
    # The ownership also ends while the process is suspended.
    clock.set_ms(clock.now_ms() + 60_000)
    assert not ownership.owns("d")
    task.cancel()


async def test_one_lost_response_does_not_end_ownership():
    """Guards against domains without an owner until the next confirmation."""
    ownership, store, clock = make_ownership()
    respond = store.join
    called_ms = []

    async def join(*arguments):
        called_ms.append(clock.now_ms())
        if len(called_ms) == 2:
            await clock.sleep_ms(500)
            raise interfaces.StoreError("timeout")
        return await respond(*arguments)

    store.join = join
    task = asyncio.create_task(ownership.run())
    for _ in range(40):
        await clock.advance(50)
        assert ownership.owns("d")
    assert called_ms[:4] == [0, 500, 1_000, 1_500]
    task.cancel()


async def test_a_slow_response_counts_from_the_call():
    """Guards against two owners when a response is slow.

    The store starts the time to live when the call arrives there.
    """
    ownership, store, clock = make_ownership()
    respond = store.join

    async def late(*arguments):
        clock.set_ms(clock.now_ms() + 1_400)
        return await respond(*arguments)

    store.join = late
    await ownership.confirm()
    assert ownership.owns("d")
    clock.set_ms(clock.now_ms() + 100)
    assert not ownership.owns("d")


async def test_a_refused_token_stops_orders_until_a_new_one():
    """Guards against orders in a domain that another gateway owns.

    The store may still have confirmed the earlier generation.
    """
    ownership, store, _ = make_ownership()
    await ownership.confirm()
    ownership.record_refusal(1)
    assert not ownership.owns("d")
    await ownership.confirm()
    assert not ownership.owns("d")
    store.generation = 2
    await ownership.confirm()
    assert ownership.owns("d")
    ownership.record_refusal(1)
    assert ownership.owns("d")


async def test_a_leaving_gateway_owns_nothing():
    """Guards against orders that conflict with those of the next owner."""
    ownership, store, _ = make_ownership()
    await ownership.confirm()
    await ownership.release()
    assert store.calls == ["leave"]
    await ownership.confirm()
    assert not ownership.owns("d")


class SharedStore(parts.Store):
    """Store with one partition, which goes to another member after its TTL."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.owner = None
        self.until_ms = 0

    async def join(self, member, ttl_ms, generation):
        if self.owner in (None, member) or (
            self.until_ms <= self.clock.now_ms()
        ):
            self.owner = member
            self.until_ms = self.clock.now_ms() + ttl_ms
        mine = frozenset((0,)) if self.owner == member else frozenset()
        await self.clock.sleep_ms(4)
        return interfaces.Ownership(1, mine)


async def test_domains_of_a_lost_gateway_have_an_owner_within_two_seconds():
    """Guards against domains whose groups are not repaired for longer."""
    clock = clocks.ManualClock()
    store = SharedStore(clock)
    config = parts.SETTINGS.store
    lost, other = (
        domain_ownership.DomainOwnership(
            store,
            clock,
            name,
            config.ownership_ttl_ms,
            config.join_interval_ms,
        )
        for name in ("lost", "other")
    )
    joined = asyncio.create_task(lost.confirm())
    await clock.advance(4)
    await joined
    # Worst case: the other gateway asks just before the time to live ends.
    phase_ms = (config.ownership_ttl_ms - 1) % config.join_interval_ms
    await clock.advance(phase_ms - clock.now_ms())
    task = asyncio.create_task(other.run())
    while not other.owns("d"):
        assert clock.now_ms() <= 2_000
        await clock.advance(1)
    assert not lost.owns("d")
    task.cancel()


async def test_default_settings_allow_a_retry_within_the_time_to_live():
    """Guards against defaults with which one timeout loses all domains."""
    config = parts.SETTINGS.store
    assert (
        2 * max(config.join_interval_ms, config.timeout_ms)
        < config.ownership_ttl_ms
    )


# Incident inc1 (RECOVER): owners without paths to their workers kept the
# domains.
async def test_a_suspended_owner_gives_its_domains_up_and_takes_some_again():
    ownership, store, clock = make_ownership()
    suspended = False
    ownership.suspended = lambda: suspended
    task = asyncio.create_task(ownership.run())
    await clock.advance(1_000)
    assert ownership.owns("d")
    suspended = True
    assert not ownership.owns("d")
    await clock.advance(2_000)
    assert store.calls == ["leave"]
    suspended = False
    await clock.advance(500)
    assert ownership.owns("d")
    task.cancel()
