"""The store of a simulation: workers' records, and owners of one domain."""

from oleanderbay.gateway import interfaces, positions
from tests.gateway import group_network


class Assignments:
    """Gives one domain to one of the gateways at a time.

    A holder that is alive gives the domain up when it learns of a new
    generation, unless all assignments are made anew at once.

    Attributes:
        held_until_ms: Time until which an owner may count on the domain, by
            its name.
    """

    partitions = 1

    def __init__(self, clock, links):
        self.clock = clock
        self.links = links
        self.generation = 0
        self.wanted = ""
        self.holder = ""
        self.members = {}
        self.down = False
        self.held_until_ms = {}
        self._history = []

    async def join(self, member, ttl_ms, generation):
        await self.clock.sleep_ms(4)
        if self.down or not self.links.is_open(member, group_network.STORE):
            raise interfaces.StoreError("down")
        now_ms = self.clock.now_ms()
        for other, (_, until_ms) in tuple(self.members.items()):
            if until_ms <= now_ms and other != member:
                await self.leave(other)
        if member not in self.members:
            self.generation += 1
            self.wanted = self.wanted or member
        self.members[member] = (generation, now_ms + ttl_ms)
        if self.holder != self.wanted and (
            not self.holder
            or (self.holder == member and generation >= self.generation)
        ):
            self.holder = self.wanted
        held = member == self.holder == self.wanted
        if held:
            self.held_until_ms[member] = now_ms + ttl_ms
        self._history.append(
            (now_ms, self.generation, self.holder, dict(self.members))
        )
        if not self.links.is_open(group_network.STORE, member):
            raise interfaces.StoreError("the answer is lost")
        return interfaces.Ownership(
            self.generation, frozenset((0,)) if held else frozenset()
        )

    async def leave(self, member):
        if self.members.pop(member, None) is not None:
            self.generation += 1
        if self.holder == member:
            self.holder = ""
        if self.wanted == member:
            self.wanted = next(iter(self.members), "")

    def rebalance(self, member, at_once):
        """Assigns the domain to a member.

        Args:
            member: The member.
            at_once: Whether the holder loses it without having learned of it.
        """
        if member in self.members:
            self.generation += 1
            self.wanted = member
            if at_once:
                self.holder = member

    def restore(self, until_ms):
        """Returns to the state of an earlier time, in a new era."""
        generation, holder, members = 0, "", {}
        for at_ms, known, held, joined in self._history:
            if at_ms <= until_ms:
                generation, holder, members = known, held, joined
        era = positions.era_of(self.generation, positions.GENERATION_BITS) + 1
        self.generation = positions.combine(
            era,
            positions.number_in_era(generation, positions.GENERATION_BITS),
            positions.GENERATION_BITS,
        )
        self.members = dict(members)
        self.holder = self.wanted = holder


class Records:
    """The workers' records, and which zones are evacuated.

    Attributes:
        era: Number of restorations.
        entries: Position, worker id and record, which is None if dropped.
        written_ms: Time of the last record, by worker id.
        drain_ms: Time at which the store had the first record that says that
            a worker drains, by id and start time of the worker.
        zones: Position, zone and whether it is evacuated.
        evacuated_ms: Time of the evacuation of the zones that are evacuated.
    """

    def __init__(self, clock):
        self.clock = clock
        self.era = 0
        self.entries = []
        self.written_ms = {}
        self.drain_ms = {}
        self.zones = []
        self.evacuated_ms = {}
        self._times = []

    def append(self, worker_id, record):
        """Adds a record, or drops the worker's one."""
        now_ms = self.clock.now_ms()
        if record is None:
            self.written_ms.pop(worker_id, None)
        else:
            self.written_ms[worker_id] = now_ms
            if record.draining:
                self.drain_ms.setdefault((worker_id, record.started_ms), now_ms)
        offset = positions.combine(self.era, len(self.entries) + 1)
        self.entries.append((offset, worker_id, record))
        self._times.append(now_ms)

    def latest(self):
        """Returns the last entry of each worker."""
        return {entry[1]: entry for entry in self.entries}

    def set_evacuated(self, zone, evacuated):
        """Evacuates a zone, or takes that back."""
        self.zones.append((len(self.zones) + 1, zone, evacuated))
        if evacuated:
            self.evacuated_ms.setdefault(zone, self.clock.now_ms())
        else:
            self.evacuated_ms.pop(zone, None)

    def restore(self, until_ms):
        """Returns to the records of an earlier time, in a new era.

        The workers that are alive write their records again soon.
        """
        self.era += 1
        kept = [
            (entry[1], entry[2], at_ms)
            for entry, at_ms in zip(self.entries, self._times, strict=True)
            if at_ms <= until_ms
        ]
        self.entries = [
            (positions.combine(self.era, number + 1), worker_id, record)
            for number, (worker_id, record, _) in enumerate(kept)
        ]
        self._times = [at_ms for _, _, at_ms in kept]
        now_ms = self.clock.now_ms()
        # Expiry starts anew.
        self.written_ms = {
            worker_id: now_ms
            for worker_id, entry in self.latest().items()
            if entry[2] is not None
        }
