"""Choosing among a sample of the groups against choosing among all."""

import collections
import dataclasses
import functools
import heapq
import itertools
import logging
import math
import random
from collections.abc import Callable, Iterator
from typing import Any, cast

import structlog

from bench import harness
from oleanderbay.gateway import (
    budget,
    health,
    interfaces,
    request_load,
    selection,
    state,
    table,
    worker_limits,
    workers,
)
from oleanderbay.process import clock as clocks

SEEDS = (1, 2)
SIZES = (60, 375)
LOADS = (0.5, 0.8, 0.95)
GATEWAYS = 7
ZONES = 3
SLOTS = 8
# Mean time for which a request holds a slot.
HOLD_MS = 1_000
DURATION_MS = 6_000
WARM_UP_MS = 2_000
HEARTBEAT_MS = 200
LOOK_MS = 50
ALL = 1 << 30

MODEL = table.Model(
    name="m",
    group_size=1,
    expected_share=1.0,
    time_factor=1.0,
    load_ms=1_000,
    warm_load_ms=1_000,
)
SERVICE = table.Service(
    name="s", health_path="", engine=table.Engine(slots=SLOTS, models=(MODEL,))
)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request.

    Attributes:
        arrived_ms: Time of its arrival.
        hold_ms: Time for which it holds a slot.
    """

    arrived_ms: float
    hold_ms: float


class Gateway:
    """One gateway's loads, choice and queue."""

    def __init__(
        self,
        known: state.State,
        clock: clocks.Clock,
        rng: random.Random,
        zone: str,
        sample_above: int,
    ) -> None:
        self.zone = zone
        self.loads = request_load.RequestLoad()
        self.choices = selection.WorkerSelector(
            known,
            health.HealthTracker(clock),
            self.loads,
            budget.ColdStartBudget(clock, lambda: 1, lambda _: 0),
            worker_limits.WorkerLimits(clock, lambda: 1, lambda _: 0),
            rng,
            zone,
        )
        self.choices.sampling_threshold = sample_above
        self.queue: collections.deque[Request] = collections.deque()


class Site:
    """Gateways that see the loads of their peers a heartbeat late.

    Attributes:
        waits_ms: Times from arrival to a slot.
        largest: Largest number of requests at one group, at each look.
        far: Requests that went to another zone.
        chosen: Requests that were sent.
    """

    def __init__(self, groups: int, seed: int, sample_above: int) -> None:
        self.clock = clocks.ManualClock()
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.waits_ms: list[float] = []
        self.largest: list[int] = []
        self.far = self.chosen = 0
        self.running = dict.fromkeys(map(str, range(groups)), 0)
        self.queued: dict[str, collections.deque[tuple[Gateway, Request]]] = {
            name: collections.deque() for name in self.running
        }
        known = _known(self.clock, tuple(self.running))
        self.gateways = [
            Gateway(
                known, self.clock, self.rng, f"z{number % ZONES}", sample_above
            )
            for number in range(GATEWAYS)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def run(self, factor: float) -> None:
        """Plays requests that need a part of all slots."""
        traffic = random.Random(self.rng.random())
        per_ms = factor * len(self.running) * SLOTS / HOLD_MS
        at_ms = 0.0
        while (at_ms := at_ms + traffic.expovariate(per_ms)) < DURATION_MS:
            # The mean of this distribution is 1.
            hold_ms = HOLD_MS * traffic.lognormvariate(-0.32, 0.8)
            self._at(
                at_ms,
                functools.partial(
                    self._arrive,
                    traffic.choice(self.gateways),
                    Request(at_ms, hold_ms),
                ),
            )
        for number in range(GATEWAYS):
            offset_ms = number * HEARTBEAT_MS / GATEWAYS
            for beat in range(DURATION_MS // HEARTBEAT_MS):
                self._at(
                    offset_ms + beat * HEARTBEAT_MS,
                    functools.partial(self._beat, number),
                )
        for time_ms in range(WARM_UP_MS, DURATION_MS, LOOK_MS):
            self._at(time_ms, self._look)
        while self._events and self._events[0][0] < DURATION_MS:
            self.now_ms, _, what = heapq.heappop(self._events)
            self.clock.set_ms(math.ceil(self.now_ms))
            what()

    def _at(self, time_ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._sequence), what))

    def _arrive(self, gateway: Gateway, request: Request) -> None:
        gateway.queue.append(request)
        self._drain(gateway)

    def _drain(self, gateway: Gateway) -> None:
        while gateway.queue:
            chosen = gateway.choices.select(SERVICE, "m", ())
            if not isinstance(chosen, workers.Worker):
                return
            request = gateway.queue.popleft()
            gateway.loads.record_start(chosen.id)
            self.chosen += 1
            self.far += chosen.zone != gateway.zone
            self.queued[chosen.id].append((gateway, request))
            self._fill(chosen.id)

    def _fill(self, name: str) -> None:
        while self.queued[name] and self.running[name] < SLOTS:
            gateway, request = self.queued[name].popleft()
            self.running[name] += 1
            if request.arrived_ms >= WARM_UP_MS:
                self.waits_ms.append(self.now_ms - request.arrived_ms)
            self._at(
                self.now_ms + request.hold_ms,
                functools.partial(self._finish, gateway, name),
            )

    def _finish(self, gateway: Gateway, name: str) -> None:
        self.running[name] -= 1
        gateway.loads.record_end(name)
        self._fill(name)
        self._drain(gateway)

    def _beat(self, number: int) -> None:
        sender = self.gateways[number]
        for other in self.gateways:
            if other is not sender:
                other.loads.update_peer(
                    str(number), dict(sender.loads.own_counts)
                )
                self._drain(other)

    def _look(self) -> None:
        self.largest.append(
            max(self.running[n] + len(self.queued[n]) for n in self.running)
        )


def _known(clock: clocks.Clock, names: tuple[str, ...]) -> state.State:
    """Returns a state with open groups of one member in several zones."""
    # The table and the workers are set here, so that nothing is decoded.
    known = state.State(cast(interfaces.Decoder, None), clock)
    known.table = table.RoutingTable(
        version=1,
        services={"s": SERVICE},
        hosts={},
        teams={},
        key_required=False,
        limits=table.Limits(),
    )
    for number, name in enumerate(names):
        known.workers[name] = workers.Worker(
            id=name,
            service="s",
            address="",
            zone=f"z{number % ZONES}",
            models=("m",),
            membership=workers.Membership(
                group=name, epoch=1, rank=0, state=workers.MemberState.OPEN
            ),
        )
    known.revision += 1
    return known


def measure(groups: int, factor: float, sample_above: int) -> dict[str, Any]:
    """Plays all seeds; gives loads as parts of the slots of a group."""
    waits_ms: list[float] = []
    largest: list[int] = []
    far = chosen = 0
    for seed in SEEDS:
        site = Site(groups, seed, sample_above)
        site.run(factor)
        waits_ms += site.waits_ms
        largest += site.largest
        far += site.far
        chosen += site.chosen
    waits_ms.sort()
    return {
        "mean_wait_ms": sum(waits_ms) / len(waits_ms),
        "p99_wait_ms": waits_ms[len(waits_ms) * 99 // 100],
        "largest_load": max(largest) / SLOTS,
        "mean_largest_load": sum(largest) / len(largest) / SLOTS,
        "other_zone": far / chosen,
        "requests": len(waits_ms),
    }


def run() -> Iterator[harness.Result]:
    """Compares the choices; each run gives the same figures."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for groups, factor in itertools.product(SIZES, LOADS):
        sampled = measure(groups, factor, selection.SAMPLING_THRESHOLD)
        full = measure(groups, factor, ALL)
        detail = {
            "sampled": sampled,
            "full": full,
            "samples": [
                selection.LOCAL_SAMPLE_SIZE,
                selection.REMOTE_SAMPLE_SIZE,
            ],
        }
        for name, unit in (("largest_load", "ratio"), ("mean_wait_ms", "ms")):
            yield harness.Result(
                name=f"choosing.{name}_{groups}_at_{factor:g}",
                value=sampled[name],
                unit=unit,
                deterministic=True,
                detail=detail,
            )
