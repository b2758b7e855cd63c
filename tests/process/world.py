"""Entries, engines and a log in one process, without sockets."""

import dataclasses
import itertools

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock, interfaces
from oleanderbay.process.groups import change_controller, orders, proposer
from oleanderbay.process.observation import eligibility, inventory, reports
from oleanderbay.version import apply, catalogue, records, resources
from tests.process import engines

TICK_MS = 500

# Lists of eligible upstreams follow the readers' messages after this long.
SETTLE_MS = eligibility.REBUILD_INTERVAL_MS


class Entry:
    """One entry's group services."""

    def __init__(self, world, id, zone):
        self.world = world
        self.id = id
        self.paused = False
        self.current = catalogue.Catalogue.empty()
        self.confirmed_ms = 0
        self.handlers = {}
        self.outbox = []
        self.listeners = []
        self.me = interfaces.Entry(
            id=id,
            start_id=id,
            zone=zone,
            caller_address="",
            peer_address="",
        )
        self.inventory = inventory.Inventory(world, world.clock)
        age = self.confirmation_age_ms
        self.reports = reports.ReportService(
            self, self, self, self.inventory, self.engine_at, world.clock
        )
        self.eligible = eligibility.Eligibility(
            self, self.inventory, self.reports, world.clock
        )
        self.orders = orders.OrderSender(
            self, self, self.reports, age, world.clock
        )
        self.proposer = proposer.Proposer(
            self,
            self,
            self.inventory,
            self.reports,
            self,
            world,
            age,
            world.clock,
            world.new_id,
        )
        self.change_controller = change_controller.ChangeController(
            self,
            self,
            self.inventory,
            self.reports,
            self,
            self.engine_at,
            age,
            world.clock,
            new_id=world.new_id,
        )

    def engine_at(self, address):
        return engines.EngineClient(
            self.world, self.id, self.world.engines[address]
        )

    def confirmation_age_ms(self):
        return self.world.clock.now_ms() - self.confirmed_ms

    # CatalogueSource.

    def on_change(self, callback):
        self.listeners.append(callback)

    def follow(self):
        """Applies the log as far as it can be read."""
        if self.world.log_down:
            return
        for offset in range(self.current.offset + 1, len(self.world.log) + 1):
            self.current, _ = apply.apply_record(
                self.current, offset, self.world.log[offset - 1]
            )
        self.confirmed_ms = self.world.clock.now_ms()
        for callback in self.listeners:
            callback(self.current)

    # MembershipView.

    def live(self):
        return tuple(e.me for e in self.world.entries if not e.paused)

    # PeerTransport.

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def broadcast(self, kind, body):
        self.outbox.append((kind, body))

    async def request(self, start_id, kind, body, timeout_ms):
        other = self.world.entry(start_id)
        return await other.handlers[kind](self.me, body)

    # LogAppender.

    async def append(self, stream, data, use, timeout_ms):
        return self.world.append(data)

    async def step(self):
        self.follow()
        await self.inventory.step()
        await self.reports.step()
        await self.orders.send_due()
        await self.proposer.propose_due()
        await self.change_controller.advance_all()


class World:
    """Everything; `tick` runs one step of every entry that is not paused."""

    def __init__(self, lines, items, entries=3, **engine_settings):
        self.clock = clock.ManualClock()
        self._ids = itertools.count(1)
        self.log = []
        self._whole = catalogue.Catalogue.empty()
        self.log_down = False
        self.lose_appends = 0
        self.block_move_ms = 1
        self.store_rate = 1 << 40
        self.cut = set()
        self.sent_orders = []
        self.appended_ms = []
        self.after_tick = lambda: None
        self.engines = {
            line.address: engines.Engine(self, line, **engine_settings)
            for line in lines
        }
        self.lines = {line.id: line for line in lines}
        zones = sorted({line.zone for line in lines})
        self.entries = [
            Entry(self, f"e{at}", zones[at % len(zones)])
            for at in range(entries)
        ]
        self.add(
            records.Change(
                upserts=tuple(records.Upsert(resource=item) for item in items)
            )
        )

    def new_id(self):
        """Record ids that are the same in every run."""
        return f"{next(self._ids):032x}"

    def entry(self, id):
        return next(e for e in self.entries if e.id == id)

    def engine(self, instance):
        return self.engines[instance]

    @property
    def whole(self):
        """The catalogue that the whole log gives."""
        for offset in range(self._whole.offset + 1, len(self.log) + 1):
            self._whole, _ = apply.apply_record(
                self._whole, offset, self.log[offset - 1]
            )
        return self._whole

    def groups(self):
        return self.whole.all("serving_group")

    def add(self, body):
        """Appends a record as an operator's call would."""
        self.appended_ms.append(self.clock.now_ms())
        self.log.append(
            records.encode(
                records.Record(
                    id=self.new_id(),
                    author="operator",
                    base=len(self.log),
                    at_ms=self.clock.wall_ms(),
                    body=body,
                )
            )
        )

    def change(self, **fields):
        """Starts a planned change."""
        change = resources.PlannedChange(name=fields["id"], **fields)
        self.add(records.Change(upserts=(records.Upsert(resource=change),)))

    def stage(self, change):
        found = self.whole.get("planned_change", change)
        return found.stage if found else None

    def append(self, data):
        if self.log_down:
            raise native.PlatformUnavailableError("log is down")
        self.log.append(data)
        self.appended_ms.append(self.clock.now_ms())
        if self.lose_appends:
            self.lose_appends -= 1
            raise native.PlatformUnknownError("answer lost")
        return len(self.log)

    # InstanceList and WeightStore.

    async def instances(self, timeout_ms):
        return list(self.lines.values())

    async def state(self, timeout_ms):
        return native.WeightStoreState(
            rate_bytes_per_s=self.store_rate, active_loads=0
        )

    async def run(self, duration_ms):
        """Runs all entries for a time."""
        for _ in range(duration_ms // TICK_MS):
            await self.clock.advance(TICK_MS - SETTLE_MS)
            for entry in self.entries:
                if not entry.paused:
                    await entry.step()
                    await self.deliver(entry)
            await self.clock.advance(SETTLE_MS)
            self.after_tick()

    async def deliver(self, sender):
        messages, sender.outbox = sender.outbox, []
        for kind, body in messages:
            for other in self.entries:
                if other is sender or other.paused:
                    continue
                await other.handlers[kind](sender.me, body)

    def offered(self, service="s"):
        """Upstream ids that any entry offers, by entry."""
        return {
            entry.id: {u.id for u in entry.eligible.upstreams(service)}
            for entry in self.entries
            if not entry.paused
        }

    def offered_by_all(self, service="s"):
        return set.intersection(*self.offered(service).values())


def lines_of(domains, per_domain):
    """Instances `{domain}{n}` in zone `z` + first letter of the domain."""
    return [
        native.Instance(
            id=f"{domain}{at}",
            role="engine",
            address=f"{domain}{at}",
            zone=f"z{domain[0]}",
            domain=domain,
        )
        for domain in domains
        for at in range(per_domain)
    ]


def items_of(zones, groups, **service):
    """A fleet with one service of groups of two."""
    fields = {"instances_per_group": 2, "model": "m", "model_version": "1"}
    return (
        resources.Fleet(id="f", name="f"),
        *(
            resources.Zone(
                id=f"z{zone}", name=f"z{zone}", fleet="f", region="r"
            )
            for zone in zones
        ),
        resources.Service(
            id="s",
            name="s",
            fleet="f",
            kind=resources.ServiceKind.MODEL,
            **{**fields, **service},
        ),
        resources.GroupRequest(
            id="q", name="q", fleet="f", service="s", groups=groups
        ),
    )


def replaced(line, **fields):
    return dataclasses.replace(line, **fields)


async def started(domains="ab", per_domain=3, groups=2, **options):
    """A world in which every group that fits serves."""
    service = options.pop("service", {})
    world = World(
        lines_of(domains, per_domain),
        items_of(sorted({d[0] for d in domains}), groups, **service),
        **options,
    )
    await world.run(5_000)
    assert len(world.offered_by_all()) == groups
    return world


def by_zone(world, zone):
    """The groups in a zone, in the order of their ids."""
    return [group for group in world.groups() if group.zone == zone]
