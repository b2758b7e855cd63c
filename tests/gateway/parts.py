"""Small parts that tests of the gateway share."""

import asyncio
import random

from oleanderbay.gateway import (
    budget,
    connection_pool,
    health,
    interfaces,
    load,
    queueing,
    selection,
    settings,
    state,
    table,
    worker_client,
    workers,
)
from oleanderbay.process import clock as clocks

MODEL = table.Model(
    name="small",
    group_size=2,
    expected_share=1.0,
    time_factor=1.0,
    load_ms=1_000,
    warm_load_ms=1_000,
)
ENGINE = table.Service(
    name="chat",
    health_path="",
    engine=table.Engine(slots=4, models=(MODEL,), loads_per_s=100.0),
)
PLAIN = table.Service(name="plain", health_path="", cold_requests_per_s=2.0)
ROUTE = table.Route(
    name="r",
    host="api",
    path_prefix="/",
    kind=table.RouteKind.IDEMPOTENT,
    timeout_ms=5_000,
    latency_target_ms=800,
    service_weights=(("plain", 1.0),),
    max_attempts=3,
)
SETTINGS = settings.Settings(
    entry=settings.EntrySettings(id="g1", zone="z1", host="127.0.0.1"),
    listeners=settings.ListenerSettings(callers="a:1", readiness="a:2"),
    peers=settings.PeerSettings(port=1),
    store=settings.StoreSettings(address="a:3"),
)


def tables(version=1, routes=(ROUTE,), services=(ENGINE, PLAIN)):
    return table.RoutingTable(
        version=version,
        services={service.name: service for service in services},
        hosts={"api": tuple(routes)},
        teams={"key": table.Team(name="team")},
        key_required=False,
        limits=table.Limits(),
    )


def worker(worker_id, group=None, rank=0, member="open", **changes):
    """Describes a worker; a group is given by its name, its epoch is 1."""
    if group is not None:
        changes["membership"] = workers.Membership(
            group=group, epoch=1, rank=rank, state=workers.MemberState(member)
        )
        changes.setdefault("models", ("small",))
        changes.setdefault("service", "chat")
    fields = {"service": "plain", "address": "127.0.0.1:9", "zone": "z1"}
    return workers.Worker(id=worker_id, **{**fields, **changes})


class Decoder:
    """Reads records whose value stands for an object made before."""

    def __init__(self):
        self.made = {}

    def record(self, offset, key, made):
        value = str(len(self.made)).encode()
        self.made[value] = made
        return interfaces.KeyedRecord(offset, key, value)

    def table(self, value):
        return self.made[value]

    def worker(self, key, value):
        return self.made[value]

    def is_configuration(self, key):
        return key == "config"

    def evacuated_zone(self, key):
        return key.removeprefix("zone/") if key.startswith("zone/") else None


class Known:
    """A gateway's state and what chooses from it."""

    def __init__(self, clock=None, current=None):
        self.clock = clock or clocks.ManualClock()
        self.decoder = Decoder()
        self.state = state.State(self.decoder, self.clock)
        self.evidence = health.HealthTracker(self.clock)
        self.loads = load.Load()
        self.cold = budget.ColdStartBudget(self.clock, lambda: 1, lambda _: 0)
        self.choices = selection.WorkerSelector(
            self.state,
            self.evidence,
            self.loads,
            self.cold,
            random.Random(1),
            "z1",
        )
        self.waiting = queueing.RequestQueues(self.choices, self.clock)
        self.offset = 0
        self.configure(current or tables())

    def configure(self, current):
        self.offset += 1
        self.state.apply_configuration(
            self.decoder.record(self.offset, "config", current)
        )

    def add(self, *found):
        for one in found:
            self.offset += 1
            self.state.apply_worker(
                self.decoder.record(self.offset, one.id, one)
            )

    def drop(self, worker_id):
        self.offset += 1
        self.state.apply_worker(
            interfaces.KeyedRecord(self.offset, worker_id, None)
        )


def sender(clock=None, receiving=None, gateways=1, **changes):
    """Makes a sender; `receiving` returns a worker that is in service."""
    config = settings.WorkerSettings(
        **{"connect_timeout_ms": 1_000, "idle_margin_ms": 200, **changes}
    )
    clock = clock or clocks.SystemClock()
    idle = connection_pool.Pool(
        config, clock, lambda: gateways, receiving or {}.get
    )
    return worker_client.Sender(config, clock, idle)


class Store:
    """Gives scripted answers; an exception is raised, a future awaited."""

    partitions = 1

    def __init__(self):
        self.answers = []
        self.calls = []
        self.generation = 1
        self.down = False

    async def newest(self, topic):
        return await self._next("newest")

    async def read(self, topic, start, wait_ms):
        return await self._next(start)

    async def join(self, member, ttl_ms, generation):
        if self.down:
            raise interfaces.StoreError("down")
        return interfaces.Ownership(self.generation, frozenset((0,)))

    async def leave(self, member):
        self.calls.append("leave")

    async def _next(self, call):
        self.calls.append(call)
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


async def until(condition, limit_s=20):
    """Waits for something that happens soon; the limit ends a hung test."""
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
