"""Figures of the policy for requests."""

import asyncio
import dataclasses
import functools
import gc
import math
import random
from collections.abc import Iterator
from typing import Any

from bench import fakes_requests as fakes
from bench import harness
from bench import loops_requests as loops
from bench import naive_requests as naive
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.request import (
    claim_log,
    claims,
    idempotency,
    keys,
    prefixes,
    routing,
)

GROUPS = (10, 100, 375, 1_000, 3_750)
LOOP = "loop over a fake clock; no sockets"


def run() -> Iterator[harness.Result]:
    """Yields all figures."""
    yield from choice_times()
    yield from goodput()
    yield from fairness()
    yield from prefix_hits()
    yield from cold_fleet()
    yield from key_times()
    yield from permit_bytes()
    yield from counts()


def counts() -> Iterator[harness.Result]:
    """Yields the figures that are the same on every run."""
    compared = [[size, _compared(size)] for size in GROUPS]
    yield harness.Result(
        name="requests.choice_compared_growth",
        value=compared[-1][1] / compared[0][1],
        unit="ratio",
        deterministic=True,
        detail={"series": compared, "note": "upstreams compared per choice"},
    )
    calls = 200
    for name, ticketed in (("ticket", True), ("claim", False)):
        log = asyncio.run(_key_appends(calls, ticketed))
        yield harness.Result(
            name=f"requests.appends_before_send_by_{name}",
            value=log.claim_appends / calls,
            unit="count",
            deterministic=True,
            detail={
                "calls": calls,
                "outcome_appends": log.outcome_appends,
                "note": "outcomes of a log claim follow in batches, after "
                "the answer; " + LOOP,
            },
        )


def _compared(size: int) -> float:
    """Upstreams whose load is looked at, per choice."""
    fleet = fakes.make_fleet(clocks.ManualClock(), size, zones=3)
    rng = random.Random(size)
    for id in fleet.list:
        fleet.loads[id] = interfaces.UpstreamLoad(
            running=rng.randrange(16), cold=False
        )
    ranked = 0

    def available_permits(upstream: interfaces.Upstream) -> int:
        nonlocal ranked
        ranked += 1
        return 1

    router = routing.Router(fleet, rng, available_permits=available_permits)
    for _ in range(1_000):
        router.choose("s", "z1", (), (), 100)
    return ranked / 1_000


def choice_times() -> Iterator[harness.Result]:
    """Processor time of one choice by number of groups."""
    times = {}
    naive_times = {}
    for size in GROUPS:
        clock = clocks.ManualClock()
        rng = random.Random(size)
        fleet = fakes.make_fleet(clock, size, zones=3)
        for id in fleet.list:
            fleet.loads[id] = interfaces.UpstreamLoad(
                running=rng.randrange(16), cold=False
            )
        index = prefixes.PrefixIndex(rng, lambda id: None)
        prompts = [
            tuple(rng.getrandbits(63) for _ in range(16)) for _ in range(64)
        ]
        for id in fleet.list:
            for prompt in rng.sample(prompts, 4):
                index.record_sent_prefix(id, prompt)
        router = routing.Router(
            fleet, rng, index, available_permits=lambda u: 1
        )
        for id in fleet.list:
            for _ in range(rng.randrange(3)):
                router.record_start(id)
        turn = iter(range(10**9))

        def choose(router: Any = router, prompts: Any = prompts) -> None:
            prompt = prompts[next(turn) % 64]  # noqa: B023
            router.choose("s", "z1", prompt, (), 100)

        # Passes of the collector over this benchmark's own objects would
        # grow with the number of groups.
        gc.collect()
        gc.freeze()
        times[size] = harness.cpu_us_per_call(choose, 4_000)
        other = naive.Router(fleet)
        naive_times[size] = harness.cpu_us_per_call(
            functools.partial(other.choose, "s", "z1", (), (), 100), 200
        )
        gc.unfreeze()
    detail = {
        "series": [[size, times[size]] for size in GROUPS],
        "naive_series": [[size, naive_times[size]] for size in GROUPS],
        "note": "three zones, 16 prompt blocks, permits with room",
    }
    yield harness.Result(
        name="requests.choice_time_375",
        value=times[375],
        unit="us",
        detail=detail,
    )
    growth = times[GROUPS[-1]] / times[GROUPS[0]]
    yield harness.Result(
        name="requests.choice_growth",
        value=growth / (math.log(GROUPS[-1]) / math.log(GROUPS[0])),
        unit="ratio",
        detail={
            "growth": growth,
            "logarithmic_growth": math.log(GROUPS[-1]) / math.log(GROUPS[0]),
            "naive_growth": naive_times[3_750] / naive_times[10],
        },
    )


def goodput() -> Iterator[harness.Result]:
    """First tokens within 1 s at twice the capacity."""
    capacity_per_s = 32 / 0.4
    good = {}
    naive_good = {}
    for factor in (1, 2):
        rates = {"a": capacity_per_s * factor / 2, "b": capacity_per_s * factor}
        rates["b"] /= 2
        load = loops.Load(rates, seed=factor)
        asyncio.run(load.run(60))
        good[factor] = load.goodput()
        load = loops.Load(rates, seed=factor)
        load.run_naive(60)
        naive_good[factor] = load.goodput()
    yield harness.Result(
        name="requests.goodput_at_twice_capacity",
        value=good[2] / good[1],
        unit="ratio",
        deterministic=True,
        detail={
            "at_capacity": good[1],
            "at_twice": good[2],
            "naive_at_capacity": naive_good[1],
            "naive_at_twice": naive_good[2],
            "note": "60 s, 32 servers, 200 to 600 ms a request, Poisson "
            "arrivals; " + LOOP,
        },
    )


def fairness() -> Iterator[harness.Result]:
    """First token of a team within its share beside a flood."""
    capacity_per_s = 32 / 0.4
    quiet = loops.Load(
        {"small": 0.4 * capacity_per_s, "big": 0.4 * capacity_per_s}, seed=5
    )
    asyncio.run(quiet.run(60))
    rates = {"small": 0.4 * capacity_per_s, "big": 5 * capacity_per_s}
    flood = loops.Load(rates, seed=5)
    asyncio.run(flood.run(60))
    plain = loops.Load(rates, seed=5)
    plain.run_naive(60)
    # Requests that all last equally long end in step, so that a newcomer
    # waits for the next common end whatever the order of the queue.
    in_step = loops.Load(rates, seed=5, spread=0.0)
    asyncio.run(in_step.run(60))
    before_ms = loops.p95(quiet.first_tokens["small"])
    after_ms = loops.p95(flood.first_tokens["small"])
    yield harness.Result(
        name="requests.fairness_first_token_p95",
        value=after_ms / before_ms,
        unit="ratio",
        deterministic=True,
        detail={
            "alone_ms": before_ms,
            "beside_ten_times_share_ms": after_ms,
            "served_before": len(quiet.first_tokens["small"]),
            "served_after": len(flood.first_tokens["small"]),
            "naive_ms": loops.p95(plain.first_tokens["small"]),
            "with_equal_durations_ms": loops.p95(in_step.first_tokens["small"]),
            "note": "equal shares, the small team at 0.4 of the capacity, the "
            "big one at ten times its half, 200 to 600 ms a request; " + LOOP,
        },
    )


def prefix_hits() -> Iterator[harness.Result]:
    """Cached prompt blocks against round robin."""
    ours = loops.PrefixLoad(seed=3)
    router = routing.Router(ours.fleet, ours.rng, ours.index)
    ours.run(router, 30_000)
    other = loops.PrefixLoad(seed=3)
    other.run(naive.Router(other.fleet), 30_000)
    detail = {
        "hit_rate": ours.hit_rate,
        "round_robin_hit_rate": other.hit_rate,
        "busiest_over_mean": ours.balance,
        "round_robin_busiest_over_mean": other.balance,
        "resyncs": ours.resyncs,
        "note": "60 engines that cache 12 of 600 prompts each, events late "
        "and 1% lost, no load reports; " + LOOP,
    }
    yield harness.Result(
        name="requests.prefix_hits_over_round_robin",
        value=ours.hit_rate / other.hit_rate,
        unit="ratio",
        deterministic=True,
        detail=detail,
    )
    yield harness.Result(
        name="requests.prefix_balance_over_round_robin",
        value=ours.balance / other.balance,
        unit="ratio",
        deterministic=True,
        detail=detail,
    )


def cold_fleet() -> Iterator[harness.Result]:
    """Sixty cold engines behind seven entries that all restarted."""

    async def ramp() -> tuple[int, loops.ColdFleet]:
        fleet = loops.ColdFleet(7, 60, run_ms=2_000, seed=1)
        reached_ms = await fleet.run(150, 40_000, stop_at=912)
        await fleet.close()
        return reached_ms, fleet

    reached_ms, fleet = asyncio.run(ramp())
    # One controller that sees everything doubles 1, 2, 4, 8, 16.
    ideal_ms = 4 * fleet.run_ms
    detail = {
        "reached_ms": reached_ms,
        "first_request_ms": fleet.first_ms(),
        "ideal_ms": ideal_ms,
        "series": [list(point) for point in fleet.series[::20]],
        "note": "full rate is 95% of 960 requests in flight; an engine handles "
        "1 when cold and twice as much after each full round of 2 s; " + LOOP,
    }
    yield harness.Result(
        name="requests.cold_fleet_overloads",
        value=fleet.overloads(),
        unit="count",
        deterministic=True,
        detail=detail,
    )
    after_ms = reached_ms - fleet.first_ms() if reached_ms else math.inf
    yield harness.Result(
        name="requests.cold_fleet_ramp",
        value=after_ms / ideal_ms,
        unit="ratio",
        deterministic=True,
        detail=detail,
    )
    yield harness.Result(
        name="requests.cold_fleet_ramp_with_owners_wait",
        value=(reached_ms or math.inf) / ideal_ms,
        unit="ratio",
        deterministic=True,
        detail=detail,
    )


def key_times() -> Iterator[harness.Result]:
    """Processor time that a ticket or a claim adds to a call."""
    for name, ticketed in (("ticket", True), ("claim", False)):
        value = harness.cpu_us_per_call(
            functools.partial(_run_keys, ticketed), 1
        )
        yield harness.Result(
            name=f"requests.key_time_by_{name}",
            value=value / 200,
            unit="us",
            detail={"note": "claim and outcome at the home entry; " + LOOP},
        )


def _run_keys(ticketed: bool) -> None:
    asyncio.run(_key_appends(200, ticketed))


async def _key_appends(calls: int, ticketed: bool) -> claim_log.ClaimLog:
    clock = clocks.ManualClock()
    cluster = fakes.Cluster(clock, 1)
    node = cluster.nodes["s0"]
    service = fakes.Log(clock)
    log = claim_log.ClaimLog(clock, service, service, "s0")
    entry = idempotency.Idempotency(clock, random.Random(1), node, node, log)
    for number in range(calls):
        text = f"{entry.issue_ticket()}:k" if ticketed else f"k{number}"
        key = keys.parse_key("s", text, str(clock.wall_ms()))
        assert isinstance(key, keys.Key)
        claim = await entry.claim_key(key, b"0" * 16, 10_000)
        assert isinstance(claim, idempotency.Claim)
        claim.record_response(claims.StoredResponse(status=200, body=b"done"))
        if number % 50 == 49:
            await entry.send_outcomes()
    return log


def permit_bytes() -> Iterator[harness.Result]:
    """Bytes that a node sends for permits, by number of entries."""
    series = []
    for entries in (3, 7, 14, 28):
        series.append([entries, asyncio.run(_permit_bytes(entries, 60, 20))])
    by_held = []
    for held in (5, 10, 20, 40):
        by_held.append([held, asyncio.run(_permit_bytes(7, 60, held))])
    yield harness.Result(
        name="requests.permit_bytes_per_node",
        value=series[1][1],
        unit="B/s",
        deterministic=True,
        detail={
            "series": series,
            "by_upstreams_in_use": by_held,
            "note": "7 entries, one long request at each of 20 of 60 warm "
            "upstreams; requests and answers, without TCP; " + LOOP,
        },
    )


async def _permit_bytes(entries: int, upstreams: int, held: int) -> float:
    world = loops.ColdFleet(entries, upstreams, run_ms=2_000, seed=1)
    for id, upstream in world.fleet.list.items():
        # A limit that holds all requests, so that none waits and polls.
        world.fleet.list[id] = dataclasses.replace(
            upstream, cold_limit=64, warm_limit=64
        )
        world.fleet.loads[id] = interfaces.UpstreamLoad(
            cold=False, served=100, reported_at_ms=1
        )
    world.engines.clear()
    now_ms = 0
    while now_ms < 6_000:
        await world.tick(500)
        now_ms = world.clock.now_ms()
        for id, load in world.fleet.loads.items():
            world.fleet.loads[id] = interfaces.UpstreamLoad(
                cold=False, served=load.served + 1, reported_at_ms=now_ms
            )
    rng = random.Random(7)
    for holder in world.permits.values():
        for id in rng.sample(sorted(world.fleet.list), held):
            world.cluster.spawn(
                holder.acquire(world.fleet.list[id], now_ms + 60_000)
            )
    for _ in range(60):
        await world.tick(50)
    before = sum(node.sent_bytes for node in world.cluster.nodes.values())
    for _ in range(200):
        await world.tick(50)
    after = sum(node.sent_bytes for node in world.cluster.nodes.values())
    await world.close()
    return (after - before) / 10 / entries
