"""State machine that mixes the failures of the log, the network and entries.

Every catalogue is compared with a naive reference that applies the whole
history of the log from offset zero.
"""

import asyncio

import msgpack
from hypothesis import settings, stateful
from hypothesis import strategies as st

from oleanderbay.native import interfaces as native
from oleanderbay.version import apply, catalogue, checkpoint, records
from tests.process.configuration import cluster

COUNT = 5
LIMIT_MS = 6_000
NODES = st.integers(0, COUNT - 1)


class ReplicationMachine(stateful.RuleBasedStateMachine):
    """Five entries, one log, one list."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.entries = cluster.Cluster(COUNT)
        self.history = []
        self.reference = [catalogue.Catalogue.empty()]
        self.accepted_ms = {}
        self.refused = []
        self.appends = []
        self.late = []
        self.offsets = {}
        self.serial = 0
        append_now = self.entries.log.append_now

        def record(name, data):
            offset = append_now(name, data)
            self.history.append(data)
            state, _ = apply.apply_record(self.reference[-1], offset, data)
            self.reference.append(state)
            return offset

        self.entries.log.append_now = record
        self.run(self.entries.__aenter__())
        self.entries.log.append_now("config", cluster.fleet_record())

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def team(self, name, base=None):
        base = len(self.history) if base is None else base
        state = self.reference[base]
        old = state.get("team", name)
        self.serial += 1
        return cluster.team_record(
            name,
            base=base,
            expected=old.version if old else 0,
            record_id=records.id_of_request(f"change {self.serial}"),
            max_in_flight=self.serial,
        )

    @stateful.rule(name=st.sampled_from("abc"), back=st.integers(0, 3))
    def append(self, name, back):
        """Appends a change, possibly from a stale base."""
        base = max(0, len(self.history) - back)
        self.entries.log.append_now("config", self.team(name, base))

    @stateful.rule(
        length=st.integers(0, 60), kind=st.sampled_from(["cut", "new", "dup"])
    )
    def append_odd(self, length, kind):
        """Appends a truncated, newer or duplicate record."""
        data = self.team("a")
        if kind == "cut":
            data = data[:length]
        elif kind == "new":
            fields = msgpack.unpackb(data) | {"schema": 99}
            data = msgpack.packb(fields)
        else:
            data = self.history[length % len(self.history)]
        self.entries.log.append_now("config", data)

    @stateful.rule(
        node=NODES, lost=st.integers(0, 2), held=st.sampled_from([0, 300])
    )
    def append_through(self, node, lost, held):
        """Appends through an entry whose answers are lost or come late."""
        if f"e{node}" not in self.entries.nodes:
            return
        faults = self.entries.log.faults
        faults.lose_answers = lost
        faults.hold_appends, faults.hold_ms = int(held > 0), held
        appender = self.entries[node].replica.appender
        data = self.team("d")
        task = self.loop.create_task(
            appender.append("config", data, "operator", 2_000)
        )
        self.appends.append((data, task))

    @stateful.rule(node=NODES, held=st.booleans())
    def write_checkpoint(self, node, held):
        """Appends a checkpoint now or much later."""
        if f"e{node}" not in self.entries.nodes:
            return
        follower = self.entries[node].replica.follower
        parts = checkpoint.dump(follower.current, "test", 300)
        if held:
            self.late += parts
        else:
            for data in parts:
                self.entries.log.append_now("config", data)

    @stateful.rule()
    def append_late_checkpoint(self):
        """Appends the parts that were delayed."""
        for data in self.late:
            self.entries.log.append_now("config", data)
        self.late = []

    @stateful.rule(back=st.integers(0, 5))
    def expire(self, back):
        """Expires all but the last records."""
        self.entries.log.expire("config", len(self.history) + 1 - back)

    @stateful.rule(down=st.booleans())
    def set_log(self, down):
        """Stops or restores the log."""
        self.entries.log.faults.down = down

    @stateful.rule(
        delay_ms=st.sampled_from([0, 200, 1_500]),
        reorder=st.booleans(),
        skip=st.integers(0, 3),
    )
    def set_reads(self, delay_ms, reorder, skip):
        """Makes the log slow, out of order or incomplete."""
        faults = self.entries.log.faults
        faults.read_delay_ms = delay_ms
        faults.reorder_pages, faults.skip_records = reorder, skip

    @stateful.rule(node=NODES, cut=st.booleans())
    def set_cut(self, node, cut):
        """Cuts one entry off from the log, or reconnects it."""
        if f"e{node}" in self.entries.nodes:
            self.entries[node].log.cut = cut

    @stateful.rule(blocked=st.sets(st.tuples(NODES, NODES), max_size=12))
    def set_network(self, blocked):
        """Blocks messages, also in one direction only."""
        self.entries.network.blocked = {(f"e{a}", f"e{b}") for a, b in blocked}

    @stateful.rule(side=st.sets(NODES, max_size=COUNT))
    def partition(self, side):
        """Separates some entries from the others."""
        self.entries.partition(side, set(range(COUNT)) - side)

    @stateful.rule(node=NODES, paused=st.booleans())
    def pause(self, node, paused):
        """Pauses or resumes the process of an entry."""
        if f"e{node}" in self.entries.nodes:
            running = self.entries[node].clock.running
            (running.clear if paused else running.set)()

    @stateful.rule(node=NODES)
    def restart(self, node):
        """Kills an entry or starts it anew, without any state."""
        if f"e{node}" in self.entries.nodes:
            self.run(self.entries.kill(f"e{node}"))
        else:
            self.run(self.entries.start(f"e{node}"))

    @stateful.rule(steps=st.sampled_from([1, 5, 40]))
    def advance(self, steps):
        """Lets time pass, checking in between."""
        for _ in range(steps):
            self.run(self.entries.clock.advance(100))
            self.check()

    def check(self):
        """Checks every entry; accepted offsets are noted when they appear."""
        now_ms = self.entries.clock.now_ms()
        due = max(
            (o for o, at in self.accepted_ms.items() if now_ms - at > LIMIT_MS),
            default=0,
        )
        for node in self.entries.nodes.values():
            current = node.replica.follower.current
            assert current.digest == self.reference[current.offset].digest
            start_id = node.entry.start_id
            assert current.offset >= self.offsets.get(start_id, 0)
            self.offsets[start_id] = current.offset
            assert not node.replica.lease.diverged
            if not node.clock.running.is_set():
                continue
            if node.state.takes_work:
                assert current.offset >= due, (node.id, node.state, due)
            for offset in range(current.offset, 0, -1):
                if offset in self.accepted_ms:
                    break
                if node.replica.follower.is_accepted(offset):
                    self.accepted_ms[offset] = now_ms
        for data, task in list(self.appends):
            if task.done():
                self.appends.remove((data, task))
                self.check_append(data, task)
        for data in self.refused:
            assert data not in self.history

    def check_append(self, data, task):
        """Checks what an append said against the log itself."""
        try:
            offset = task.result()
        except native.PlatformUnavailableError:
            self.refused.append(data)
        except (native.PlatformUnknownError, asyncio.CancelledError):
            return
        else:
            assert self.history[offset - 1] == data

    def teardown(self):
        """Heals everything; all entries must then agree and serve."""
        entries = self.entries
        entries.log.faults.down = False
        entries.log.faults.read_delay_ms = 0
        entries.network.blocked = set()
        for node in entries.nodes.values():
            node.log.cut = False
            node.clock.running.set()
        if entries.nodes:
            self.advance(100)
            self.check_healed()
        for _, task in self.appends:
            task.cancel()
        self.run(entries.__aexit__())
        self.run(self.loop.shutdown_asyncgens())
        self.loop.close()

    def check_healed(self):
        """An entry with any state must have caught up."""
        newest = max(node.offset for node in self.entries.nodes.values())
        if newest < len(self.history):
            # Nobody had the state and the log had expired it.
            assert self.entries.log.stream("config").first > newest + 1
            return
        for node in self.entries.nodes.values():
            assert node.offset == newest, (node.id, node.offset, newest)
            assert node.state.value == "fresh"


TestReplicationMachine = ReplicationMachine.TestCase
TestReplicationMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=20, stateful_step_count=25
)
