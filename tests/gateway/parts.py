"""Fixtures and test doubles that tests of the gateway share."""

import asyncio
import functools
import random

from oleanderbay.gateway import (
    budget,
    connection_pool,
    dialing,
    health,
    interfaces,
    membership,
    paths,
    queueing,
    request_load,
    selection,
    settings,
    state,
    table,
    worker_client,
    worker_limits,
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
MODEL_SERVICE = table.Service(
    name="chat",
    health_path="",
    engine=table.Engine(slots=4, models=(MODEL,), loads_per_s=100.0),
)
PLAIN_SERVICE = table.Service(
    name="plain", health_path="", cold_requests_per_s=2.0
)
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


def routing_table(
    version=1, routes=(ROUTE,), services=(MODEL_SERVICE, PLAIN_SERVICE)
):
    return table.RoutingTable(
        version=version,
        services={service.name: service for service in services},
        hosts={"api": tuple(routes)},
        teams={"key": table.Team(name="team")},
        key_required=False,
        limits=table.Limits(),
    )


def worker(worker_id, group=None, rank=0, member="open", **changes):
    """Makes a worker, as a member of a group with epoch 1 if one is named."""
    if group is not None:
        changes["membership"] = workers.Membership(
            group=group, epoch=1, rank=rank, state=workers.MemberState(member)
        )
        changes.setdefault("models", ("small",))
        changes.setdefault("service", "chat")
    fields = {"service": "plain", "address": "127.0.0.1:9", "zone": "z1"}
    return workers.Worker(id=worker_id, **{**fields, **changes})


class Decoder:
    """Decodes records whose values refer to objects of a test."""

    def __init__(self):
        self.objects = {}

    def record(self, offset, key, decoded):
        """Makes a record that is decoded to the given object."""
        value = str(len(self.objects)).encode()
        self.objects[value] = decoded
        return interfaces.KeyedRecord(offset, key, value)

    def table(self, value):
        return self.objects[value]

    def worker(self, key, value):
        return self.objects[value]

    def is_configuration(self, key):
        return key == "config"

    def evacuated_zone(self, key):
        return key.removeprefix("zone/") if key.startswith("zone/") else None


class GatewayParts:
    """A gateway's state and the parts that select workers from it."""

    def __init__(self, clock=None, current=None):
        self.clock = clock or clocks.ManualClock()
        self.decoder = Decoder()
        self.state = state.State(self.decoder, self.clock)
        self.worker_health = health.HealthTracker(self.clock)
        self.loads = request_load.RequestLoad()
        self.cold_budget = budget.ColdStartBudget(
            self.clock, lambda: 1, lambda _: 0
        )
        self.limits = worker_limits.WorkerLimits(
            self.clock, lambda: 1, lambda _: 0
        )
        self.selector = selection.WorkerSelector(
            self.state,
            self.worker_health,
            self.loads,
            self.cold_budget,
            self.limits,
            random.Random(1),
            "z1",
        )
        self.queues = queueing.RequestQueues(self.selector, self.clock)
        self.offset = 0
        self.configure(current or routing_table())

    def configure(self, current):
        self.offset += 1
        self.state.apply_configuration(
            self.decoder.record(self.offset, "config", current)
        )

    def add(self, *added):
        """Applies records of workers."""
        for one in added:
            self.offset += 1
            self.state.apply_worker(
                self.decoder.record(self.offset, one.id, one)
            )

    def drop(self, worker_id):
        """Applies the deletion of a worker's record."""
        self.offset += 1
        self.state.apply_worker(
            interfaces.KeyedRecord(self.offset, worker_id, None)
        )


def make_client(clock=None, accepting_worker=None, gateway_count=1, **changes):
    """Makes a client; `accepting_worker` is passed to its connection pool."""
    config = settings.WorkerSettings(
        **{"connect_timeout_ms": 1_000, "idle_margin_ms": 200, **changes}
    )
    clock = clock or clocks.SystemClock()
    connections = connection_pool.ConnectionPool(
        config, clock, lambda: gateway_count, accepting_worker or {}.get
    )
    dialer = dialing.Dialer(
        clock,
        random.Random(1),
        membership.Membership(SETTINGS, clock),
        config.connect_timeout_ms,
        paths.Paths(
            clock,
            random.Random(1),
            lambda: (),
            functools.partial(dialing.try_direct, timeout_ms=1_000),
            lambda: None,
        ),
    )
    return worker_client.WorkerClient(config, clock, connections, dialer)


class Store:
    """Store that returns scripted answers and raises scripted exceptions.

    A call without an answer left waits forever.
    """

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


async def wait_until(condition, limit_s=20):
    """Waits until a condition holds; the limit ends a hung test."""
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def wait_for(check, limit_s=20):
    """Waits until an asynchronous check returns true."""
    async with asyncio.timeout(limit_s):
        while not await check():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
