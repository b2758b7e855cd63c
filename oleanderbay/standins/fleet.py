"""A small fleet in one process: entries, stand-ins and their declarations."""

import dataclasses
import random
from collections.abc import Iterator
from typing import Any

import grpc

from oleanderbay.checks import records as checks
from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import entry, settings
from oleanderbay.schema import convert, operators_pb2, operators_pb2_grpc
from oleanderbay.standins import (
    engine,
    engine_state,
    evidence,
    instances,
    log,
    plain,
)
from oleanderbay.version import records, resources

HOST = "127.0.0.1"
FLEET, TEAM, MODEL, DESK = "demo", "team-one", "writer", "desk"
CHANGE_TIMEOUT_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Size and speed of a fleet.

    Attributes:
        zones: Names of the availability zones; each has one entry and one
            fabric domain.
        groups: Serving groups wanted over all zones.
        members: Engines in a group.
        engines_per_zone: Engines in each zone.
        token_interval_ms: Time between tokens of an engine.
        load_ms: Time that an engine takes to load its model.
        base_port: Callers' port of the first entry; 0 takes free ports.
        seed: Seed of all randomness.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    groups: int = 6
    members: int = 2
    engines_per_zone: int = 5
    token_interval_ms: float = 20.0
    load_ms: int = 300
    base_port: int = 0
    seed: int = 1


class Fleet:
    """Owns all parts of a fleet.

    Attributes:
        entries: The entries, one for each zone.
        engines: The engines by instance id.
        desks: The plain service whose calls must not be repeated.
        lost: Wall time at which engines were killed, by instance id.
        log: State of the log stand-in.
        instances: State of the instance list stand-in.
    """

    def __init__(
        self, config: FleetSettings, clock: clocks.Clock | None = None
    ) -> None:
        self.config = config
        self.clock = clock or clocks.SystemClock()
        self.entries: list[entry.Entry] = []
        self.engines: dict[str, engine.EngineStandIn] = {}
        self.desks = [plain.PlainStandIn(), plain.PlainStandIn()]
        self.lost: dict[str, int] = {}
        self.log = log.Log(self.clock, faults=log.Faults(append_delay_ms=10))
        self.instances = instances.Instances(
            self.clock, faults=instances.Faults(lag_ms=200)
        )
        self._log_server = log.LogServer(self.log)
        self._instances_server = instances.InstancesServer(self.instances)

    async def start(self) -> None:
        """Starts the stand-ins, then the entries."""
        await self._log_server.start(HOST, 0)
        await self._instances_server.start(HOST, 0)
        for desk in self.desks:
            await desk.start(HOST, 0)
        for zone in self.config.zones:
            for number in range(self.config.engines_per_zone):
                await self._start_engine(f"{zone}-{number}", zone)
        for number in range(len(self.config.zones)):
            made = entry.Entry(
                self.entry_settings(number),
                self.clock,
                random.Random(self.config.seed + number),
            )
            self.entries.append(made)
            await made.start()

    async def close(self) -> None:
        """Stops everything that still runs."""
        for made in self.entries:
            if not made.should_stop:
                await made.close()
        for standin in self.engines.values():
            await standin.close()
        for desk in self.desks:
            await desk.close()
        await self._instances_server.close()
        await self._log_server.close()

    def entry_settings(self, number: int) -> settings.Settings:
        """Returns the settings of one entry."""
        base = self.config.base_port
        return settings.check(
            {
                "entry": {
                    "id": f"entry-{number}",
                    "zone": self.config.zones[number],
                },
                "callers": {
                    "port": base + number if base else 0,
                    "address_ttl_ms": 1_000,
                },
                "peers": {"port": 0},
                "operators": {"port": 0},
                "admin": {"port": 0},
                "platform": {
                    "log": f"http://{self._log_server.address}",
                    "instances": f"http://{self._instances_server.address}",
                    "instances_interval_ms": 500,
                    "appends_per_s": 300,
                },
            }
        )

    def declarations(self) -> tuple[resources.Resource, ...]:
        """Returns the resources of the fleet."""
        zones = self.config.zones
        cold = resources.ColdStart(limit=2, warm_limit=16)
        return (
            resources.Fleet(id=FLEET, name=FLEET),
            *(
                resources.Zone(
                    id=f"id-{zone}",
                    name=zone,
                    fleet=FLEET,
                    region="demo",
                    platform_zone=zone,
                )
                for zone in zones
            ),
            *(
                resources.Domain(
                    id=f"domain-{zone}",
                    name=f"domain-{zone}",
                    fleet=FLEET,
                    zone=f"id-{zone}",
                    platform_domain=f"domain-{zone}",
                    instance_count=self.config.engines_per_zone,
                )
                for zone in zones
            ),
            resources.Team(id=TEAM, name=TEAM, fleet=FLEET),
            resources.Service(
                id=MODEL,
                name=MODEL,
                fleet=FLEET,
                kind=resources.ServiceKind.MODEL,
                model="demo-model",
                model_version="1",
                instances_per_group=self.config.members,
                cold_start=cold,
                resumable=True,
            ),
            resources.Service(
                id=DESK,
                name=DESK,
                fleet=FLEET,
                kind=resources.ServiceKind.PLAIN,
                call_class=resources.CallClass.NON_IDEMPOTENT,
                cold_start=cold,
                upstreams=tuple(desk.address for desk in self.desks),
            ),
            *(
                resources.Route(id=f"to-{id}", name=id, fleet=FLEET, service=id)
                for id in (MODEL, DESK)
            ),
            resources.GroupRequest(
                id="groups",
                name="groups",
                fleet=FLEET,
                service=MODEL,
                groups=self.config.groups,
            ),
        )

    async def apply(self, *items: resources.Resource) -> int:
        """Applies resources through an entry; returns the offset.

        Raises:
            RuntimeError: The change was not accepted.
        """
        upserts = tuple(records.Upsert(resource=item) for item in items)
        request = operators_pb2.ApplyRequest(
            change=convert.change_to_message(records.Change(upserts=upserts)),
            request_id=records.new_id(),
            timeout_ms=CHANGE_TIMEOUT_MS,
        )
        running = next(e for e in self.entries if not e.should_stop)
        address = f"{HOST}:{running.operators.port}"
        async with grpc.aio.insecure_channel(address) as channel:
            answer: Any = await operators_pb2_grpc.OperatorsStub(channel).Apply(
                request, timeout=2 * CHANGE_TIMEOUT_MS / 1000
            )
        if answer.status != operators_pb2.Status.Value("STATUS_ACCEPTED"):
            raise RuntimeError(f"the change was not accepted: {answer}")
        return int(answer.offset)

    async def wait(self, condition: Any, timeout_ms: int) -> bool:
        """Waits until a condition holds; returns whether it did in time."""
        until_ms = self.clock.now_ms() + timeout_ms
        while not condition():
            if self.clock.now_ms() >= until_ms:
                return False
            await self.clock.sleep_ms(50)
        return True

    def in_force(self, offset: int) -> bool:
        """Whether all running entries have applied an offset."""
        return all(
            made.replication.follower.current.offset >= offset
            for made in self.entries
            if not made.should_stop
        )

    def live_groups(self) -> list[resources.ServingGroup]:
        """Returns the groups by the first running entry."""
        running = next(e for e in self.entries if not e.should_stop)
        return [
            group
            for group in running.replication.follower.current.all(
                "serving_group"
            )
            if isinstance(group, resources.ServingGroup)
        ]

    def eligible_count(self) -> int:
        """Returns the fewest eligible groups that an entry knows."""
        return min(
            len(made.groups.eligible.upstreams(MODEL))
            for made in self.entries
            if not made.should_stop
        )

    def bookings(self) -> int:
        """Returns how many calls the plain service has run."""
        return sum(len(desk.executions) for desk in self.desks)

    async def kill(self, instance: str) -> None:
        """Kills an engine; its line stays in the list."""
        self.lost[instance] = self.clock.wall_ms()
        await self.engines[instance].close()

    def work(self) -> Iterator[checks.Record]:
        """Yields what the upstreams recorded, for the checks."""
        for instance, standin in self.engines.items():
            zone = instance.rpartition("-")[0]
            for item in standin.records:
                yield from evidence.engine_records(item, instance, zone)
        for desk in self.desks:
            for run in desk.executions:
                yield checks.WorkStarted(
                    at_ms=run.at_ms,
                    upstream=desk.address,
                    zone="",
                    request=run.request_id,
                    key=run.key,
                    non_idempotent=True,
                )
        for instance, at_ms in self.lost.items():
            yield checks.MemberLost(at_ms=at_ms, instance=instance)

    async def _start_engine(self, instance: str, zone: str) -> None:
        standin = engine.EngineStandIn(
            instance,
            engine_state.EngineSettings(
                token_interval_ms=self.config.token_interval_ms,
                load_ms=self.config.load_ms,
                cold_limit=2,
                warm_after=4,
            ),
            self.clock,
        )
        await standin.start(HOST, 0)
        self.engines[instance] = standin
        self.instances.put(
            native.Instance(
                id=instance,
                role="engine",
                address=standin.address,
                zone=zone,
                domain=f"domain-{zone}",
            )
        )
