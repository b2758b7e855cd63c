"""Requests of many kinds, teams and sizes for the overload benchmark."""

import dataclasses
import math
import random

import multidict

from oleanderbay.gateway import interfaces, table

DURATION_MS = 25_000
GROUPS = 8

MODEL = table.Model(
    name="m",
    group_size=1,
    expected_share=1.0,
    time_factor=1.0,
    load_ms=1_000,
    warm_load_ms=1_000,
)
ENGINE = table.Engine(
    slots=8,
    step_ms=8.0,
    step_ms_per_request=0.5,
    prefill_tokens_per_ms=10.0,
    mean_prompt_tokens=600,
    mean_output_tokens=60,
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
    name: str, kind: table.RouteKind, priority: int, target_ms: int, part: float
) -> RequestKind:
    route = table.Route(
        name=name,
        host="",
        path_prefix="/",
        kind=kind,
        timeout_ms=3 * target_ms,
        latency_target_ms=target_ms,
        priority=priority,
        service_weights=(("s", 1.0),),
    )
    return RequestKind(name, route, part, (4.0, 2.0, 1.0)[priority])


KINDS = (
    _kind("chat", table.RouteKind.STREAM, 0, 500, 0.4),
    _kind("whole", table.RouteKind.IDEMPOTENT, 1, 3_000, 0.35),
    _kind("batch", table.RouteKind.NON_IDEMPOTENT, 2, 6_000, 0.25),
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
    def call(self) -> interfaces.CallerRequest:
        return interfaces.CallerRequest(
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
    mean_ms = sum(hold_ms(each, ENGINE.slots) for each in draws) / len(draws)
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


def step_ms(running: int) -> float:
    return ENGINE.step_ms + ENGINE.step_ms_per_request * running


def hold_ms(request: Request, running: int) -> float:
    read_ms = request.prompt / ENGINE.prefill_tokens_per_ms
    return read_ms + request.output * step_ms(running)
