"""State machine of feeds over a store that is restored from older copies."""

from hypothesis import settings, stateful
from hypothesis import strategies as st

from oleanderbay.gateway import feed, interfaces, positions
from oleanderbay.process import clock as clocks
from tests.gateway import parts

# What another writer writes, which feeds reject.
FOREIGN = b"x"
KEYS = st.sampled_from("abc")
# A feed drops keys that nobody has written again only after this time.
SETTLED_MS = feed.SETTLE_MS + 1


def version(record):
    return -1 if record.value in (None, FOREIGN) else int(record.value)


class Repeats:
    """Tells repeated records, which feeds do not forward."""

    def __init__(self):
        self.values = {}

    def __call__(self, record):
        if record.value == FOREIGN:
            return feed.Effect.REJECTED
        repeats = self.values.get(record.key) == record.value
        self.values[record.key] = record.value
        return feed.Effect.REPEATED if repeats else feed.Effect.CHANGED


class FeedMachine(stateful.RuleBasedStateMachine):
    """One gateway that reads the store, and one that follows it.

    Attributes:
        log: Records of the store, of which offsets are the indexes.
        era: Number of restorations.
        written: What the writer of each key wrote last; None if it left.
        dropped: Version at which the writer of a key last left.
        drops: Version at which it left, by key and position of the record.
    """

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock()
        self.log = []
        self.era = 0
        self.written = {}
        self.dropped = {}
        self.drops = {}
        self.version = 0
        self.reader, self.follower = (
            feed.Feed(
                parts.Store(),
                interfaces.Topic.WORKERS,
                self.clock,
                Repeats(),
                0,
                100,
                lambda known, restored: -1 < version(restored) < version(known),
                keeps_dropped=True,
            )
            for _ in range(2)
        )
        self.seen = {}

    def position(self, offset):
        return positions.combine(self.era, offset)

    def record(self, offset):
        key, value = self.log[offset]
        return interfaces.KeyedRecord(self.position(offset), key, value)

    @stateful.rule(key=KEYS, gone=st.booleans())
    def write(self, key, gone):
        self.version += 1
        self.written[key] = None if gone else str(self.version).encode()
        if gone:
            self.dropped[key] = self.version
        self.log.append((key, self.written[key]))
        if gone:
            self.drops[key, self.position(len(self.log) - 1)] = self.version

    @stateful.rule(key=KEYS)
    def write_foreign(self, key):
        self.log.append((key, FOREIGN))

    @stateful.rule(lost=st.integers(1, 6))
    def restore(self, lost):
        """The store loses its last records."""
        del self.log[len(self.log) - min(lost, len(self.log)) :]
        self.era += 1

    @stateful.rule()
    def repeat(self):
        """Writers that are there write again; the store drops the others."""
        held = dict(self.log)
        for key in dict.fromkeys((*self.written, *held)):
            value = self.written.get(key)
            if value is not None or held.get(key) is not None:
                self.log.append((key, value))
                if value is None:
                    # The writer left before, if there was one.
                    position = self.position(len(self.log) - 1)
                    self.drops[key, position] = self.dropped.get(key, -1)

    @stateful.rule()
    def read(self):
        """The reader reads on, or the whole topic."""
        known = self.reader.offset
        end = self.position(len(self.log))
        now_ms = self.clock.now_ms()
        if (
            self.reader.is_complete()
            and positions.era_of(known) == self.era
            and known <= end
        ):
            start = positions.number_in_era(known)
            records = [
                self.record(offset) for offset in range(start, len(self.log))
            ]
            self.reader.apply_from_reader(
                interfaces.Page(tuple(records), end), False, now_ms
            )
            return
        newest = {key: offset for offset, (key, _) in enumerate(self.log)}
        records = [
            self.record(offset)
            for offset in sorted(newest.values())
            if self.log[offset][1] is not None
        ]
        self.reader.replace(interfaces.Page(tuple(records), end))
        self.reader.apply_from_reader(interfaces.Page((), end), False, now_ms)

    @stateful.rule()
    def follow(self):
        """The follower gets what it lacks from the reader."""
        if not self.reader.is_complete():
            return
        start = self.follower.offset if self.follower.is_complete() else 0
        whole = start < self.reader.complete_offset
        records = self.reader.changed_since(0 if whole else start)
        self.follower.apply_from_reader(
            interfaces.Page(records, self.reader.offset),
            whole,
            self.clock.now_ms(),
        )

    @stateful.rule()
    def fetch(self):
        """The follower fetches as from any peer, which leaves it incomplete."""
        if self.reader.offset > self.follower.offset:
            self.follower.merge(
                self.reader.changed_since(max(0, self.follower.offset)),
                self.reader.offset,
            )

    @stateful.rule(delta_ms=st.sampled_from((100, 1_000, SETTLED_MS)))
    def pass_time(self, delta_ms):
        # Writers repeat what was lost before gateways drop it.
        if delta_ms == SETTLED_MS:
            self.repeat()
            self.read()
            self.follow()
        self.clock.set_ms(self.clock.now_ms() + delta_ms)

    @stateful.invariant()
    def no_feed_goes_back(self):
        """A confirmed change must not be undone by an older record."""
        for name, topic_feed in (("r", self.reader), ("f", self.follower)):
            for key, record in topic_feed.latest.items():
                before = self.seen.get((name, key), -1)
                if record.value is not None:
                    assert version(record) >= before, (name, key)
                    self.seen[name, key] = version(record)
                elif self.written.get(key) is None and key in self.dropped:
                    # A feed may know only that the writer left before.
                    left = self.drops.get(
                        (key, record.offset), self.dropped[key]
                    )
                    self.seen[name, key] = max(before, left)

    def teardown(self):
        """In the end both feeds hold what the writers wrote."""
        for _ in range(3):
            self.repeat()
            self.read()
            self.follow()
            self.clock.set_ms(self.clock.now_ms() + SETTLED_MS)
        self.read()
        self.follow()
        expected = {k: v for k, v in self.written.items() if v is not None}
        for topic_feed in (self.reader, self.follower):
            held = {
                key: record.value
                for key, record in topic_feed.latest.items()
                if record.value is not None
            }
            assert held == expected


TestFeeds = FeedMachine.TestCase
TestFeeds.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
