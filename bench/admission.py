"""Which requests are served under overload, and when the others are refused."""

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, cast

import multidict

from bench import harness, naive_admission
from oleanderbay.gateway import (
    budget,
    choice,
    forecast,
    health,
    interfaces,
    load,
    pipeline,
    prediction,
    state,
    table,
    waiting,
    workers,
)
from oleanderbay.process import clock as clocks

SEEDS = (1, 2)
LOADS = (1.0, 1.5, 2.0, 3.0)
DURATION_MS = 25_000
# Requests from the first seconds find empty groups and are not counted.
WARM_UP_MS = 5_000
GROUPS = 8
LATE_WORTH = 0.25
# A caller accepts a wait of this part of the time that it has left.
ACCEPTED_SHARE = 1 / 3
TICK_MS = 25

MODEL = table.Model(
    name="m", size=1, share=1.0, pace=1.0, load_ms=1_000, warm_ms=1_000
)
ENGINE = table.Engine(
    slots=8,
    step_ms=8.0,
    sequence_ms=0.5,
    read_tokens_per_ms=10.0,
    usual_prompt_tokens=600,
    usual_output_tokens=60,
    models=(MODEL,),
)
SERVICE = table.Service(name="s", health_path="", engine=ENGINE)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A route, its part of the requests, and what an answer is worth."""

    name: str
    route: table.Route
    part: float
    worth: float


def _kind(
    name: str, kind: table.Kind, priority: int, target_ms: int, part: float
) -> RequestKind:
    route = table.Route(
        name=name,
        host="",
        path_prefix="/",
        kind=kind,
        timeout_ms=3 * target_ms,
        target_ms=target_ms,
        priority=priority,
        split=(("s", 1.0),),
    )
    return RequestKind(name, route, part, (4.0, 2.0, 1.0)[priority])


KINDS = (
    _kind("chat", table.Kind.STREAM, 0, 500, 0.4),
    _kind("whole", table.Kind.IDEMPOTENT, 1, 3_000, 0.35),
    _kind("batch", table.Kind.NON_IDEMPOTENT, 2, 6_000, 0.25),
)
TEAMS = tuple(f"team{number}" for number in range(10))
# The largest team sends ten times as much as the smallest.
TEAM_PARTS = tuple(1 / (number + 1) for number in range(10))


@dataclasses.dataclass(eq=False, slots=True)
class Request:
    """One request and what became of it.

    Attributes:
        kind: Its kind.
        team: Its team.
        prompt: Tokens of its prompt.
        output: Tokens of its answer.
        arrived_ms: Time at which the caller first sent it.
        sent_ms: Time of the present attempt of the caller.
        retried: Whether the caller has come back.
        on_time_ms: Time of what must be within the target; None for none.
        refused_ms: Waits of the attempts that were refused.
    """

    kind: RequestKind
    team: str
    prompt: int
    output: int
    arrived_ms: int
    sent_ms: int
    retried: bool = False
    on_time_ms: float | None = None
    refused_ms: list[int] = dataclasses.field(default_factory=list)

    @property
    def size(self) -> int:
        return self.prompt + 10 * self.output

    @property
    def end_ms(self) -> int:
        return self.arrived_ms + self.kind.route.timeout_ms

    @property
    def call(self) -> interfaces.Call:
        return interfaces.Call(
            id="",
            method="",
            host="",
            target="",
            headers=multidict.CIMultiDict(),
            model="m",
            prompt_tokens=self.prompt,
            output_tokens=self.output,
        )


def traffic(seed: int, factor: float) -> list[Request]:
    """Draws requests that need a multiple of what the groups can do."""
    rng = random.Random(seed)
    draws = []
    for _ in range(2_000):
        draws.append(_draw(rng, 0))
    mean_ms = sum(_hold_ms(each, ENGINE.slots) for each in draws) / len(draws)
    per_ms = factor * GROUPS * ENGINE.slots / mean_ms
    at_ms = 0.0
    requests: list[Request] = []
    while True:
        at_ms += rng.expovariate(per_ms)
        if at_ms >= DURATION_MS:
            return requests
        requests.append(_draw(rng, int(at_ms)))


def _draw(rng: random.Random, at_ms: int) -> Request:
    kind = rng.choices(KINDS, [each.part for each in KINDS])[0]
    team = rng.choices(TEAMS, TEAM_PARTS)[0]
    # Lengths differ by about a factor of ten between the tenths.
    prompt = round(min(6_000, rng.lognormvariate(math.log(450), 0.75)))
    output = round(min(400, max(2, rng.lognormvariate(math.log(45), 0.75))))
    return Request(kind, team, prompt, output, at_ms, at_ms)


def _step_ms(running: int) -> float:
    return ENGINE.step_ms + ENGINE.sequence_ms * running


def _hold_ms(request: Request, running: int) -> float:
    read_ms = request.prompt / ENGINE.read_tokens_per_ms
    return read_ms + request.output * _step_ms(running)


class Site:
    """Groups of slots, and callers that retry, on a manual clock."""

    def __init__(self, requests: list[Request], seed: int) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.running: dict[str, int] = {}
        self.queued: dict[str, collections.deque[Request]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        for number in range(GROUPS):
            self.running[f"w{number}"] = 0
            self.queued[f"w{number}"] = collections.deque()
        for request in requests:
            self.at(request.arrived_ms, functools.partial(self.arrive, request))

    def at(self, time_ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._sequence), what))

    def run(self) -> None:
        """Runs all events in the order of their times."""
        while self._events:
            time_ms, _, what = heapq.heappop(self._events)
            self.clock.set_ms(math.ceil(time_ms))
            what()

    def arrive(self, request: Request) -> None:
        """Takes a request from its caller."""
        raise NotImplementedError

    def left(self, worker: str, request: Request, held_ms: float) -> None:
        """Is told that a request has left its group."""

    def send(self, worker: str, request: Request) -> None:
        """Sends a request to a group, which queues it if it is full."""
        self.queued[worker].append(request)
        self._fill(worker)

    def refuse(self, request: Request, retry_ms: int) -> None:
        """Refuses a request; its caller may come back."""
        now_ms = self.clock.now_ms()
        request.refused_ms.append(now_ms - request.sent_ms)
        left_ms = request.end_ms - now_ms
        if not request.retried and retry_ms <= ACCEPTED_SHARE * left_ms:
            request.retried = True
            request.sent_ms = now_ms + retry_ms
            self.at(request.sent_ms, lambda: self.arrive(request))

    def _fill(self, worker: str) -> None:
        queue = self.queued[worker]
        while queue and self.running[worker] < ENGINE.slots:
            request = queue.popleft()
            now_ms = self.clock.now_ms()
            if now_ms >= request.end_ms:
                self.left(worker, request, 0)
                continue
            self.running[worker] += 1
            running = self.running[worker]
            hold_ms = _hold_ms(request, running)
            on_time_ms = now_ms + hold_ms
            if request.kind.route.kind is table.Kind.STREAM:
                read_ms = request.prompt / ENGINE.read_tokens_per_ms
                on_time_ms = now_ms + read_ms + _step_ms(running)
            # A whole answer that is not there when the caller leaves is lost.
            if on_time_ms <= request.end_ms:
                request.on_time_ms = on_time_ms
            self.at(
                now_ms + hold_ms,
                functools.partial(self._finish, worker, request, hold_ms),
            )

    def _finish(self, worker: str, request: Request, hold_ms: float) -> None:
        self.running[worker] -= 1
        self.left(worker, request, hold_ms)
        self._fill(worker)


class NaiveSite(Site):
    """Sends each request at once."""

    def arrive(self, request: Request) -> None:
        names = list(self.running)
        held = [self.running[n] + len(self.queued[n]) for n in names]
        self.send(names[naive_admission.least_loaded(held)], request)


class GatewaySite(Site):
    """Admits requests by the gateway's own objects."""

    def __init__(self, requests: list[Request], seed: int) -> None:
        super().__init__(requests, seed)
        known = _Known(self.clock, tuple(self.running))
        self.loads = load.Load()
        self.choices = choice.Choice(
            known,
            health.Health(self.clock),
            self.loads,
            budget.ColdBudget(self.clock, lambda: 1, lambda _: 0),
            self.rng,
            "",
        )
        self.waiting = waiting.Waiting(self.choices, self.clock)
        self._open: dict[waiting.Waiter, Request] = {}
        for time_ms in range(TICK_MS, 2 * DURATION_MS, TICK_MS):
            self.at(time_ms, self._tick)

    def arrive(self, request: Request) -> None:
        now_ms = self.clock.now_ms()
        route = request.kind.route
        free_ms = round(route.target_ms * pipeline.FREE_WAIT_SHARE)
        answer_ms = prediction.answer_ms(ENGINE, route, request.call)
        # The caller states a deadline that counts from its first attempt.
        spent_ms = now_ms - request.arrived_ms
        waiter = waiting.Waiter(
            SERVICE,
            "m",
            (),
            route.priority,
            request.team,
            now_ms + free_ms,
            now_ms
            + max(free_ms, round(route.target_ms - answer_ms - spent_ms)),
        )
        self._open[waiter] = request
        self.waiting.join(waiter)
        self._settle()

    def left(self, worker: str, request: Request, held_ms: float) -> None:
        self.loads.finished(worker)
        if held_ms:
            self.waiting.held("s", "m", round(held_ms))
        self.waiting.wake("s", "m")
        self.at(self.clock.now_ms(), self._settle)

    def _tick(self) -> None:
        self.waiting.look_again("s", "m")
        self._settle()

    def _settle(self) -> None:
        for waiter, request in tuple(self._open.items()):
            if waiter.found is None:
                continue
            del self._open[waiter]
            self.waiting.leave(waiter)
            if isinstance(waiter.found, workers.Worker):
                self.loads.started(waiter.found.id)
                self.send(waiter.found.id, request)
                continue
            left_ms = request.end_ms - self.clock.now_ms()
            wait_ms = self.waiting.forecast_ms(
                SERVICE, "m", request.kind.route.priority
            )
            self.refuse(
                request, forecast.retry_after_ms(wait_ms, left_ms, self.rng)
            )


class _Known(state.State):
    """A state with a fixed set of open groups."""

    def __init__(self, clock: clocks.Clock, names: tuple[str, ...]) -> None:
        # The table and the workers are set here, so that nothing is decoded.
        super().__init__(cast(interfaces.Decoder, None), clock)
        self.table = table.RoutingTable(
            version=1,
            services={"s": SERVICE},
            hosts={},
            teams={},
            keyed=False,
            limits=table.Limits(),
        )
        for name in names:
            self.workers[name] = workers.Worker(
                id=name,
                service="s",
                address="",
                zone="",
                models=("m",),
                membership=workers.Membership(
                    group=name,
                    epoch=1,
                    rank=0,
                    state=workers.MemberState.OPEN,
                ),
            )
        self.revision += 1


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """What became of the requests at one load.

    Attributes:
        goodput: Worth of answers within the target, for each second.
        worth: Worth of all answers, for each second.
        served: Part of the requests that were answered at all.
        shares: Parts served, by kind, team and size class, of each seed.
        late_refusals: Part of the refusals that came too late to be free.
        refused_p99_ms: Wait of refused attempts, 99th percentile.
        free_p99: The same as a part of the target.
    """

    goodput: float
    worth: float
    served: float
    shares: dict[str, float]
    late_refusals: float
    refused_p99_ms: float
    free_p99: float


def measure(site: type[Site], factor: float) -> Measured:
    """Runs all seeds at a multiple of the capacity."""
    requests: list[Request] = []
    for seed in SEEDS:
        drawn = traffic(seed, factor)
        site(drawn, seed).run()
        requests.extend(r for r in drawn if r.arrived_ms >= WARM_UP_MS)
    mean_size = sum(r.size for r in requests) / len(requests)
    seconds = len(SEEDS) * (DURATION_MS - WARM_UP_MS) / 1_000
    goodput = worth = 0.0
    refused: list[tuple[float, int]] = []
    for request in requests:
        target_ms = request.kind.route.target_ms
        refused += [(ms / target_ms, ms) for ms in request.refused_ms]
        if request.on_time_ms is None:
            continue
        each = request.kind.worth * (0.3 + 0.7 * request.size / mean_size)
        if request.on_time_ms - request.arrived_ms <= target_ms:
            goodput += each
            worth += each
        else:
            worth += LATE_WORTH * each
    late = sum(part > pipeline.FREE_WAIT_SHARE + 0.01 for part, _ in refused)
    return Measured(
        goodput=goodput / seconds,
        worth=worth / seconds,
        served=_served(requests),
        shares=_shares(requests),
        late_refusals=late / max(1, len(refused)),
        refused_p99_ms=_p99(ms for _, ms in refused),
        free_p99=_p99(part for part, _ in refused),
    )


def _p99(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) * 99 // 100] if ordered else 0.0


def _served(requests: list[Request]) -> float:
    return sum(r.on_time_ms is not None for r in requests) / len(requests)


def _shares(requests: list[Request]) -> dict[str, float]:
    classes: dict[str, list[Request]] = collections.defaultdict(list)
    for request in requests:
        classes[f"kind.{request.kind.name}"].append(request)
        classes[f"team.{request.team}"].append(request)
    for kind in KINDS:
        found = sorted(classes[f"kind.{kind.name}"], key=lambda r: r.size)
        tenth = len(found) // 10
        classes[f"size.{kind.name}.largest"] = found[-tenth:]
        for third in range(3):
            part = found[
                third * len(found) // 3 : (third + 1) * len(found) // 3
            ]
            classes[f"size.{kind.name}.third{third}"] = part
    return {name: _served(found) for name, found in sorted(classes.items())}


def _least(measured: Measured, prefix: str) -> float:
    """Returns the least part served in a class as a multiple of all."""
    return (
        min(v for k, v in measured.shares.items() if k.startswith(prefix))
        / measured.served
    )


def _largest(measured: Measured) -> float:
    return min(
        measured.shares[f"size.{kind.name}.largest"]
        / max(1e-9, measured.shares[f"kind.{kind.name}"])
        for kind in KINDS
    )


def _inverted(measured: Measured) -> float:
    """Returns by how much a less urgent kind is served more often."""
    parts = [measured.shares[f"kind.{kind.name}"] for kind in KINDS]
    return max(less - more for more, less in itertools.combinations(parts, 2))


def _detail(measured: Measured) -> Mapping[str, Any]:
    return dataclasses.asdict(measured)


def counts() -> Iterator[harness.Result]:
    """Gives all figures; each run gives the same."""
    mine = {factor: measure(GatewaySite, factor) for factor in LOADS}
    naive = {factor: measure(NaiveSite, factor) for factor in LOADS}

    def result(
        name: str, value: float, detail: Mapping[str, Any]
    ) -> harness.Result:
        return harness.Result(
            name=f"admission.{name}",
            value=value,
            unit="ratio",
            deterministic=True,
            detail=detail,
        )

    for factor in LOADS:
        yield harness.Result(
            name=f"admission.goodput_at_{factor:g}",
            value=mine[factor].goodput,
            unit="worth/s",
            deterministic=True,
            detail={
                "seeds": list(SEEDS),
                "gateway": _detail(mine[factor]),
                "naive": _detail(naive[factor]),
            },
        )
    base = mine[1.0].goodput
    yield result(
        "goodput_at_twice_capacity",
        mine[2.0].goodput / base,
        {
            "series": [[f, mine[f].goodput / base] for f in LOADS],
            "naive_series": [[f, naive[f].goodput / base] for f in LOADS],
        },
    )
    for name, function in (
        ("least_kind", lambda m: _least(m, "kind.")),
        ("least_team", lambda m: _least(m, "team.")),
        ("least_size", lambda m: _least(m, "size.")),
        ("largest_tenth", _largest),
        ("urgent_behind", _inverted),
        ("late_refusals", lambda m: m.late_refusals),
    ):
        yield result(
            f"{name}_at_three_times_capacity",
            function(mine[3.0]),
            {
                "series": [[f, function(mine[f])] for f in LOADS],
                "naive_series": [[f, function(naive[f])] for f in LOADS],
            },
        )


run = counts
