"""Tests of the ownership of domains."""

import asyncio

from oleanderbay.gateway import domain_ownership, interfaces
from oleanderbay.process import clock as clocks
from tests.gateway import parts


def owner():
    store, clock = parts.Store(), clocks.ManualClock()
    return (
        domain_ownership.DomainOwnership(store, clock, "g1", 1_500, 500),
        store,
        clock,
    )


async def test_ownership_ends_with_the_time_to_live():
    """The store gives the domain to another gateway from then on."""
    made, store, clock = owner()
    assert not made.owns("d")
    task = asyncio.create_task(made.run())
    await clock.advance(4_000)
    assert made.owns("d")
    store.down = True
    await clock.advance(1_499)
    assert made.owns("d")
    await clock.advance(1)
    assert not made.owns("d")
    store.down = False
    await clock.advance(500)
    assert made.owns("d")
    # A suspended process finds its ownership over when it wakes.
    clock.set_ms(clock.now_ms() + 60_000)
    assert not made.owns("d")
    task.cancel()


async def test_one_lost_answer_does_not_end_ownership():
    """All domains would be without a holder until the next confirmation."""
    made, store, clock = owner()
    answer = store.join
    asked_ms = []

    async def join(*arguments):
        asked_ms.append(clock.now_ms())
        if len(asked_ms) == 2:
            await clock.sleep_ms(500)
            raise interfaces.StoreError("timeout")
        return await answer(*arguments)

    store.join = join
    task = asyncio.create_task(made.run())
    for _ in range(40):
        await clock.advance(50)
        assert made.owns("d")
    assert asked_ms[:4] == [0, 500, 1_000, 1_500]
    task.cancel()


async def test_a_slow_answer_counts_from_the_call():
    """The store counts from the arrival of the call, not of its answer."""
    made, store, clock = owner()
    answer = store.join

    async def late(*arguments):
        clock.set_ms(clock.now_ms() + 1_400)
        return await answer(*arguments)

    store.join = late
    await made.confirm()
    assert made.owns("d")
    clock.set_ms(clock.now_ms() + 100)
    assert not made.owns("d")


async def test_a_refused_token_stops_orders_until_a_new_one():
    """Another gateway owns the domain, whatever the store said here."""
    made, store, _ = owner()
    await made.confirm()
    made.record_refusal(1)
    assert not made.owns("d")
    await made.confirm()
    assert not made.owns("d")
    store.generation = 2
    await made.confirm()
    assert made.owns("d")
    made.record_refusal(1)
    assert made.owns("d")


async def test_a_leaving_gateway_owns_nothing():
    """Its orders would cross those of the next owner."""
    made, store, _ = owner()
    await made.confirm()
    await made.release()
    assert store.calls == ["leave"]
    await made.confirm()
    assert not made.owns("d")


class SharedStore(parts.Store):
    """Gives one partition to the first member and, once it is silent, on."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.holder = None
        self.until_ms = 0

    async def join(self, member, ttl_ms, generation):
        if self.holder in (None, member) or (
            self.until_ms <= self.clock.now_ms()
        ):
            self.holder = member
            self.until_ms = self.clock.now_ms() + ttl_ms
        mine = frozenset((0,)) if self.holder == member else frozenset()
        await self.clock.sleep_ms(4)
        return interfaces.Ownership(1, mine)


async def test_lost_domains_have_a_holder_within_two_seconds():
    """Groups of the domains would go without repair for longer."""
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
    # The worst moment: the other one asks just before the time to live ends.
    phase_ms = (config.ownership_ttl_ms - 1) % config.join_interval_ms
    await clock.advance(phase_ms - clock.now_ms())
    task = asyncio.create_task(other.run())
    while not other.owns("d"):
        assert clock.now_ms() <= 2_000
        await clock.advance(1)
    assert not lost.owns("d")
    task.cancel()


async def test_a_lost_answer_is_made_up_for_within_the_time_to_live():
    """With the usual settings one timeout would hand all domains on."""
    config = parts.SETTINGS.store
    assert (
        2 * max(config.join_interval_ms, config.timeout_ms)
        < config.ownership_ttl_ms
    )
