"""Stateful test of serving groups under arbitrary sequences of failures.

The invariants are checked after each tick.
"""

import asyncio
import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from oleanderbay.checks import invariants
from oleanderbay.checks import records as event_records
from oleanderbay.process.groups import orders
from oleanderbay.process.observation import members
from oleanderbay.version import resources
from tests.process import world as worlds

INSTANCES = [f"{domain}{at}" for domain in "abc" for at in range(3)]
ZONES = ["za", "zb", "zc"]

# Entries and engines are checked once per tick.
DETECTION_MS = invariants.DETECTION_LIMIT_MS + worlds.TICK_MS

# The initial hold-down of a flapping member keeps its group out of service for
# this long.
FAULT_DETECTION_MS = members.INITIAL_HOLD_DOWN_MS


class GroupsMachine(stateful.RuleBasedStateMachine):
    """Three entries, nine engines in three zones, and groups of two members."""

    checks_fencing = True

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = worlds.World(
            worlds.lines_of("abc", 3),
            worlds.items_of(
                "abc", 3, engines_check_fencing=self.checks_fencing
            ),
            checks_fencing=self.checks_fencing,
            load_ms=700,
        )
        self.world.after_tick = self.check
        self.random = random.Random(1)
        self.healthy_ms = {}
        self.fault_ms = {}
        # Group, start and end of each request, by request id.
        self.streams = {}
        self.events = []
        self.drained = frozenset()
        self.changes = 0
        self.checked_orders = 0
        self.pass_time(16)

    def teardown(self):
        for engine in self.world.engines.values():
            self.runner.run(engine.stop_loading())
        self.runner.close()

    # Rules.

    @stateful.invariant()
    def time_passes(self):
        """Varies the state of the system in which the next rule runs."""
        self.pass_time(self.random.choice((1, 1, 3, 8, 25)))

    @stateful.rule(ticks=st.integers(1, 30))
    def pass_time(self, ticks):
        self.runner.run(self.world.run(ticks * worlds.TICK_MS))

    @stateful.rule(id=st.sampled_from(INSTANCES), down=st.booleans())
    def reach(self, id, down):
        self.world.engine(id).down = down
        self.record_fault(id)

    @stateful.rule(id=st.sampled_from(INSTANCES))
    def restart(self, id):
        self.record_fault(id)
        self.world.engine(id).set_faults({"restart": True})
        self.world.engine(id).running.clear()

    @stateful.rule(zone=st.sampled_from("abc"), down=st.booleans())
    def lose_domain(self, zone, down):
        for at in range(3):
            self.reach(f"{zone}{at}", down)

    @stateful.rule(at=st.integers(0, 2))
    def pause_one_entry(self, at):
        for index, entry in enumerate(self.world.entries):
            entry.paused = index == at

    @stateful.rule()
    def resume_entries(self):
        for entry in self.world.entries:
            if entry.paused:
                entry.paused = False
                # A resumed process may send orders before it reads anything.
                self.runner.run(entry.orders.send_due())

    @stateful.rule(entry=st.integers(0, 2), id=st.sampled_from(INSTANCES))
    def cut(self, entry, id):
        self.world.cut = {(f"e{entry}", id)}

    @stateful.rule(down=st.booleans())
    def stop_log(self, down):
        self.world.log_down = down

    @stateful.rule(count=st.integers(0, 2))
    def lose_appends(self, count):
        self.world.lose_appends = count

    @stateful.rule(id=st.sampled_from(INSTANCES), held=st.booleans())
    def hold_orders(self, id, held):
        self.world.engine(id).hold_orders = held
        self.record_fault(id)

    @stateful.rule(at=st.integers(0, 9))
    def deliver_late(self, at):
        """Delivers an order that the network delayed."""
        waiting = [
            engine
            for engine in self.world.engines.values()
            if engine.held_orders
        ]
        if waiting:
            engine = waiting[at % len(waiting)]
            self.record_fault(engine.instance)
            order = engine.held_orders.pop(at % len(engine.held_orders))
            self.runner.run(_accept_order(engine, order))

    @stateful.rule(id=st.sampled_from(INSTANCES))
    def lose_order_answer(self, id):
        self.world.engine(id).lose_answers = 1

    @stateful.rule(zone=st.sampled_from(ZONES))
    def drain(self, zone):
        self.add_change(kind=resources.ChangeKind.DRAIN_ZONE, zone=zone)

    @stateful.rule(zone=st.sampled_from(ZONES))
    def restore(self, zone):
        self.add_change(kind=resources.ChangeKind.RESTORE_ZONE, zone=zone)

    @stateful.rule(id=st.sampled_from(INSTANCES))
    def retire(self, id):
        # Limited, so that enough instances remain to form groups.
        if len(self.world.whole.retired_instances()) < 2:
            self.add_change(
                kind=resources.ChangeKind.RETIRE_INSTANCES, instances=(id,)
            )

    @stateful.rule(version=st.sampled_from("123"))
    def roll(self, version):
        self.add_change(
            kind=resources.ChangeKind.ROLL_MODEL,
            service="s",
            model_version=version,
        )

    def add_change(self, **fields):
        if self.world.log_down:
            return
        self.changes += 1
        self.world.change(id=f"c{self.changes}", **fields)

    def record_fault(self, id):
        self.fault_ms[id] = self.world.clock.now_ms()

    def update_streams(self, now_ms):
        """Removes finished streams and starts new ones at every entry."""
        for engine in self.world.engines.values():
            engine.running[:] = [
                stream
                for stream in engine.running
                if self.streams[stream.request_id][2] > now_ms
            ]
        newest = max(e.current.offset for e in self.world.entries)
        for entry in self.world.entries:
            # Simplified freshness rule of section 6.2 of the design page.
            fresh = entry.confirmation_age_ms() <= 3_000 or (
                self.world.log_down and entry.current.offset == newest
            )
            if entry.paused or not fresh:
                continue
            for upstream in entry.eligible.upstreams("s"):
                engine = self.world.engines[upstream.address]
                if len(engine.running) < 2:
                    self.start_stream(entry, upstream, engine, now_ms)

    def start_stream(self, entry, upstream, engine, now_ms):
        request = f"r{len(self.streams)}"
        group = entry.current.get("serving_group", upstream.id)
        end_ms = now_ms + self.random.choice((500, 5_000, 30_000))
        self.streams[request] = (group, now_ms, end_ms)
        self.events.append(
            event_records.WorkStarted(
                at_ms=now_ms,
                upstream=upstream.id,
                zone=upstream.zone,
                request=request,
            )
        )
        engine.add_stream(request)

    # Invariants.

    def check(self):
        now_ms = self.world.clock.now_ms()
        for engine in self.world.engines.values():
            cut = engine.instance in {id for _, id in self.world.cut}
            if engine.down or engine.hold_orders or cut:
                self.record_fault(engine.instance)
        self.record_healthy(now_ms)
        for entry in self.world.entries:
            if entry.paused:
                continue
            for upstream in entry.eligible.upstreams("s"):
                group = entry.current.get("serving_group", upstream.id)
                for member in group.members:
                    last_healthy_ms = self.healthy_ms.get((member, group.epoch))
                    assert last_healthy_ms is not None, (
                        f"{member} never served {group}"
                    )
                    assert now_ms - last_healthy_ms <= DETECTION_MS, (
                        f"{entry.id} offers {group.id} without {member} "
                        f"after {now_ms - last_healthy_ms} ms"
                    )
        self.check_records(now_ms)
        self.check_orders()
        self.check_streams()
        self.update_streams(now_ms)

    def record_healthy(self, now_ms):
        for group in self.world.groups():
            for rank, member in enumerate(group.members):
                engine = self.world.engine(member)
                role = engine.role
                if (
                    not engine.down
                    and role is not None
                    and engine.ready
                    and (role.group, role.fence, role.rank)
                    == (group.id, group.epoch, rank)
                ):
                    self.healthy_ms[member, group.epoch] = now_ms

    def check_records(self, now_ms):
        # A drain is in effect once more than half of the entries applied it.
        applied = collections.Counter(
            zone
            for entry in self.world.entries
            for zone in entry.current.drained_zones()
        )
        drained = {zone for zone, count in applied.items() if count >= 2}
        previous = self.drained
        for zone in drained - previous:
            self.events.append(
                event_records.ZoneTakenOut(at_ms=now_ms, zone=zone)
            )
        for zone in previous - drained:
            self.events.append(
                event_records.ZoneReturned(at_ms=now_ms, zone=zone)
            )
        self.drained = drained
        members = [m for g in self.world.groups() for m in g.members]
        assert len(members) == len(set(members)), "instance in two groups"
        assert not list(invariants.drained_zones(self.events))

    def check_orders(self):
        for instance, sent_ms, order in self.world.sent_orders[
            self.checked_orders :
        ]:
            group = self.world.whole.group_of(instance)
            if group is None or order.fence >= group.epoch:
                continue
            epoch_end_ms = self.world.appended_ms[group.epoch - 1]
            assert sent_ms - epoch_end_ms <= orders.ORDER_LEASE_MS, (
                f"order of epoch {order.fence} sent to {instance} "
                f"{sent_ms - epoch_end_ms} ms after epoch {group.epoch} began"
            )
        self.checked_orders = len(self.world.sent_orders)
        for engine in self.world.engines.values():
            for record in engine.records:
                if record["event"] != "order" or record["refusal"]:
                    continue
                if self.checks_fencing:
                    assert record["order"]["fence"] >= record["previous_fence"]

    def check_streams(self):
        for engine in self.world.engines.values():
            for record in engine.records:
                if record["event"] != "interrupted":
                    continue
                group, start_ms, _ = self.streams[record["request_id"]]
                # Only a fault may end a stream early: one that occurred after
                # its start, or before it but was not detected by then.
                faults_ms = [self.fault_ms.get(m, -1) for m in group.members]
                assert max(faults_ms) >= start_ms - FAULT_DETECTION_MS, (
                    f"{record} ended a stream of {group} without a fault"
                )
            engine.records.clear()


class NonFencingMachine(GroupsMachine):
    """The same with engines that don't check fencing numbers."""

    checks_fencing = False


async def _accept_order(engine, order):
    engine.order(order)


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=12,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestGroups = GroupsMachine.TestCase
TestGroups.settings = SETTINGS
TestNonFencing = NonFencingMachine.TestCase
TestNonFencing.settings = SETTINGS
