"""Times until a configuration is in force and lost domains have a holder."""

import asyncio
import logging
import random
from collections.abc import Iterable, Iterator, Sequence

import structlog

from bench import changes_fleet, harness

SEED = 1
VERSIONS = 15
FAST_VERSIONS = 30
FAST_INTERVAL_S = 1 / 3
# Time for the last version to come into force everywhere.
END_S = 6
# A slow answer within the client's limit for a call, and one beyond it.
SLOW_MS = (300, 1_000)
# The store refuses one gateway's calls, or never answers them.
FAULTS = ("refuse", "silent")
WORLDS = 8
LOSSES = 5
PAUSE_MS = 4_000


def _distribution(
    name: str, delays: Sequence[changes_fleet.Delay], **detail: object
) -> harness.Result:
    """Reports the worst time without a disturbance, and the distribution.

    Without an undisturbed time the figure is unlimited, so that its bound does
    not pass. The detail has the worst of all times as well.
    """
    ordered = sorted(delay.ms for delay in delays if not delay.disturbed)
    return harness.Result(
        name=f"changes.{name}",
        value=ordered[-1] if ordered else float("inf"),
        unit="ms",
        detail={
            "median": _percentile(ordered, 0.5),
            "p99": _percentile(ordered, 0.99),
            "samples": len(ordered),
            "disturbed": len(delays) - len(ordered),
            "worst_disturbed": max(delay.ms for delay in delays),
            **detail,
        },
    )


def _percentile(ordered: Sequence[float], part: float) -> float:
    if not ordered:
        return float("inf")
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


async def _in_force(
    name: str,
    count: int,
    interval_s: float | None = None,
    answer_ms: int = changes_fleet.ANSWER_MS,
    fault: str = "",
) -> list[harness.Result]:
    """Writes versions that add and remove routes in turn.

    Args:
        name: Name of the figure.
        count: Number of versions.
        interval_s: Time between versions; None for 0.5 to 1.5 s.
        answer_ms: Delay of the store's answers.
        fault: What the store does to each call of one of the gateways.
    """
    rng = random.Random(SEED)
    async with changes_fleet.fleet() as fleet:
        fleet.site.answer_ms = answer_ms
        cut, others = [], fleet.followers
        if fault:
            fleet.broken.faults[fault] = 1 << 30
            cut, others = fleet.followers[:1], fleet.followers[1:]
            cut[0].client.address = fleet.broken.address
        # Waiting reads that began before the change end within 2 s.
        await asyncio.sleep(3)
        for version in range(2, count + 2):
            added = changes_fleet.ADDED_ROUTES * (version % 2 == 0)
            await fleet.write(version, changes_fleet.ROUTES + added)
            await asyncio.sleep(
                rng.uniform(0.5, 1.5) if interval_s is None else interval_s
            )
        await asyncio.sleep(END_S)
        detail = {"versions": count, "answer_ms": answer_ms}
        results = [
            _distribution(
                name, fleet.delays(others), gateways=len(others), **detail
            )
        ]
        if cut:
            results.append(
                _distribution(
                    f"{name}_there",
                    fleet.delays(cut),
                    gateways=len(cut),
                    **detail,
                )
            )
        return results


async def _losses(pause_ms: int) -> list[changes_fleet.Loss]:
    """Loses holders in several fleets side by side."""
    disturbances = changes_fleet.Disturbances()
    await disturbances.start()

    async def one(seed: int) -> list[changes_fleet.Loss]:
        owners = changes_fleet.Owners(seed, disturbances)
        await owners.start()
        try:
            return [await owners.lose(pause_ms) for _ in range(LOSSES)]
        finally:
            await owners.close()

    found = await asyncio.gather(*(one(SEED + n) for n in range(WORLDS)))
    await disturbances.close()
    return [loss for losses in found for loss in losses]


def _taken_over(
    name: str, losses: Iterable[changes_fleet.Loss]
) -> Iterator[harness.Result]:
    found = [loss for loss in losses if loss.by_domain]
    domains = sorted(
        delay.ms
        for loss in found
        for delay in loss.by_domain
        if not delay.disturbed
    )
    yield _distribution(
        name,
        [max(loss.by_domain, key=lambda delay: delay.ms) for loss in found],
        domains=len(domains),
        domain_median=_percentile(domains, 0.5),
        domain_p99=_percentile(domains, 0.99),
    )
    yield harness.Result(
        name=f"changes.{name}_shared",
        value=sum(loss.shared for loss in found),
        unit="count",
    )


def run() -> Iterator[harness.Result]:
    """Runs everything."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield from asyncio.run(_in_force("in_force", VERSIONS))
    yield from asyncio.run(
        _in_force("in_force_fast", FAST_VERSIONS, FAST_INTERVAL_S)
    )
    for fault in FAULTS:
        yield from asyncio.run(
            _in_force(f"in_force_{fault}", VERSIONS, fault=fault)
        )
        yield from asyncio.run(
            _in_force(
                f"in_force_{fault}_fast",
                FAST_VERSIONS,
                FAST_INTERVAL_S,
                fault=fault,
            )
        )
    for slow_ms in SLOW_MS:
        yield from asyncio.run(
            _in_force(f"in_force_slow_{slow_ms}", VERSIONS, answer_ms=slow_ms)
        )
    yield from _taken_over("killed", asyncio.run(_losses(0)))
    yield from _taken_over("paused", asyncio.run(_losses(PAUSE_MS)))
