"""The configuration in force at one offset, as an immutable value."""

import dataclasses
import functools
import hashlib
from collections.abc import Iterable
from typing import Any

import immutables
import msgpack

from oleanderbay.version import fields, references, resources
from oleanderbay.version.verdicts import Verdict

# A request id may be retried safely for an hour of record time.
REQUEST_ID_RETENTION_MS = 3_600_000

# Bounds the memory for applied ids during bursts; a proposal whose base is
# older than the ids that are left is refused instead of applied twice.
MAX_APPLIED_IDS = 20_000

# The newest verdicts are kept whatever their age: after a long idle time
# record time advances in large steps, which must not drop the verdicts that
# callers are waiting for or refuse proposals that were made a moment ago.
MIN_APPLIED_IDS = 256

# Order lease plus maximum age of an order (section 6.4 of the design page).
QUARANTINE_MS = 10_000

# A record from an entry with a wrong clock moves record time by at most this.
MAX_TIME_STEP_MS = 86_400_000

# A record whose time is further ahead than this has a wrong time. Up to it,
# quarantine counts from the record's own time, because record time that still
# catches up after an idle time would end it early.
MAX_TIME_LAG_MS = 30 * 86_400_000

_MODULUS = 2**128


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A retained verdict with the record time that it was made at."""

    verdict: Verdict
    at_ms: int


class Table:
    """Resources of one kind by id; immutable."""

    def __init__(self, rows: "immutables.Map[str, resources.Resource]") -> None:
        self.rows = rows

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Table) and self.rows == other.rows

    def __hash__(self) -> int:
        return hash(self.rows)

    @functools.cached_property
    def ordered(self) -> tuple[resources.Resource, ...]:
        """Resources by id; sorted on first use."""
        return tuple(row for _, row in sorted(self.rows.items()))


@functools.cache
def _empty_table() -> Table:
    return Table(immutables.Map())


def row_hash(*row: Any) -> int:
    """Returns what one row of state adds to the digest."""
    packed = msgpack.packb(row)
    digest = hashlib.blake2b(packed, digest_size=16).digest()
    return int.from_bytes(digest, "big")


def resource_hash(resource: resources.Resource) -> int:
    """Returns what a resource adds to the digest."""
    return row_hash("r", fields.kind_of(resource), fields.to_sparse(resource))


def verdict_hash(verdict: Verdict, at_ms: int) -> int:
    """Returns what a retained verdict adds to the digest.

    Messages for people are left out: versions that word them differently
    must not take each other for diverged.
    """
    return row_hash(
        "applied",
        verdict.id,
        verdict.offset,
        at_ms,
        verdict.accepted,
        verdict.body_digest,
        [conflict.code.value for conflict in verdict.conflicts],
    )


_Key = tuple[str, str]
_EMPTY: Any = immutables.Map()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Catalogue:
    """State after the record at `offset`; implements `CatalogueView`.

    Every method that changes something returns a new catalogue and costs
    O(log n).

    Attributes:
        offset: Offset of the last record applied.
        time_ms: Highest record time seen; it never goes back.
        floor: Records up to this offset have no retained verdict.
        skipped: Number of malformed records.
        tables: Resources by kind.
        names: Ids by kind, fleet and name.
        uses: Number of references to a resource, by kind and id.
        holders: Ids of live groups by instance.
        quarantine: Record time at which an instance may be assigned again.
        zones_out: Change that keeps a zone from new work, by zone.
        instances_out: Change that keeps an instance from new work.
        applied: Retained verdicts by record id.
        applied_order: Record ids by the offset of their verdict.
        oldest: Offset of the oldest retained verdict; 0 if there is none.
        running: Ids of planned changes that are not final, by what they
            change.
        carried: Records of newer versions by offset.
        total: Sum of the hashes of all rows modulo 2^128.
    """

    offset: int = 0
    time_ms: int = 0
    floor: int = 0
    skipped: int = 0
    tables: "immutables.Map[str, Table]" = _EMPTY
    names: "immutables.Map[tuple[str, str, str], str]" = _EMPTY
    uses: "immutables.Map[_Key, int]" = _EMPTY
    holders: "immutables.Map[str, str]" = _EMPTY
    quarantine: "immutables.Map[str, int]" = _EMPTY
    zones_out: "immutables.Map[str, str]" = _EMPTY
    instances_out: "immutables.Map[str, str]" = _EMPTY
    applied: "immutables.Map[str, Applied]" = _EMPTY
    applied_order: "immutables.Map[int, str]" = _EMPTY
    oldest: int = 0
    running: "immutables.Map[_Key, str]" = _EMPTY
    carried: "immutables.Map[int, bytes]" = _EMPTY
    total: int = 0

    @classmethod
    def empty(cls) -> "Catalogue":
        """Returns the state before the first record."""
        return cls()

    @functools.cached_property
    def digest(self) -> str:
        """Equal for two catalogues exactly if their states are equal."""
        packed = msgpack.packb(
            [
                self.total.to_bytes(16, "big"),
                self.time_ms,
                self.floor,
                self.skipped,
            ]
        )
        return hashlib.blake2b(packed, digest_size=16).hexdigest()

    def get(self, kind: str, id: str) -> resources.Resource | None:
        """Returns a resource by kind and id."""
        table = self.tables.get(kind)
        return table.rows.get(id) if table is not None else None

    def find(
        self, kind: str, fleet: str, name: str
    ) -> resources.Resource | None:
        """Returns a resource by its name in a fleet's namespace."""
        id = self.names.get((kind, fleet, name))
        return self.get(kind, id) if id is not None else None

    def all(self, kind: str) -> tuple[resources.Resource, ...]:
        """Returns all resources of a kind, ordered by id."""
        return self.table(kind).ordered

    def table(self, kind: str) -> Table:
        """Returns the resources of a kind."""
        return self.tables.get(kind, _empty_table())

    def group_of(self, instance: str) -> resources.ServingGroup | None:
        """Returns the live group that holds an instance."""
        group = self.get("serving_group", self.holders.get(instance, ""))
        return group if isinstance(group, resources.ServingGroup) else None

    @functools.cached_property
    def _drained_zones(self) -> frozenset[str]:
        return frozenset(self.zones_out)

    @functools.cached_property
    def _retired_instances(self) -> frozenset[str]:
        return frozenset(self.instances_out)

    def drained_zones(self) -> frozenset[str]:
        """Ids of zones that take no new work.

        A drain without a start time takes its zone out as soon as its record
        is applied, whatever its stage: waiting for a driver or for weights to
        load elsewhere could take longer than the few seconds that are
        promised. A drain with a start time leaves the zone in while it is
        `pending` or `preparing`, so that capacity can be prepared elsewhere
        first, and takes it out from `stopping` on. The zone stays out after
        `done` or `failed` until a restore; `cancelled` puts it back.
        """
        return self._drained_zones

    def retired_instances(self) -> frozenset[str]:
        """Ids of instances that take no new work.

        The stages are those of `drained_zones`. An instance stays out until
        its change is cancelled or deleted.
        """
        return self._retired_instances

    def verdict(self, record_id: str) -> Verdict | None:
        """Returns the retained verdict on a record."""
        kept = self.applied.get(record_id)
        return kept.verdict if kept is not None else None

    def in_quarantine(self, instance: str) -> bool:
        """Whether an instance may not be assigned yet, by record time."""
        return self.quarantine.get(instance, 0) > self.time_ms

    def put(self, resource: resources.Resource) -> "Catalogue":
        """Returns a catalogue with a resource added or replaced.

        The caller has freed a name that the resource takes over.
        """
        kind = fields.kind_of(resource)
        base = self
        if base.get(kind, resource.id) is not None:
            base = base.remove(kind, resource.id)
        rows = base.table(kind).rows.set(resource.id, resource)
        holders, running = base.holders, base.running
        if isinstance(resource, resources.ServingGroup):
            holders = holders.update(
                dict.fromkeys(resource.members, resource.id)
            )
        elif isinstance(resource, resources.PlannedChange):
            running = running.update(
                dict.fromkeys(references.targets(resource), resource.id)
            )
        return dataclasses.replace(
            base,
            tables=base.tables.set(kind, Table(rows)),
            names=base.names.set(
                (kind, resource.fleet, resource.name), resource.id
            ),
            uses=base._count(references.of(resource), 1),
            holders=holders,
            running=running,
            total=(base.total + resource_hash(resource)) % _MODULUS,
        )

    def remove(self, kind: str, id: str) -> "Catalogue":
        """Returns a catalogue without a resource that exists."""
        table = self.table(kind)
        resource = table.rows[id]
        holders, running = self.holders, self.running
        if isinstance(resource, resources.ServingGroup):
            holders = _without(holders, resource.members, id)
        elif isinstance(resource, resources.PlannedChange):
            running = _without(running, references.targets(resource), id)
        names = self.names
        key = (kind, resource.fleet, resource.name)
        if names.get(key) == id:
            names = names.delete(key)
        rows = table.rows.delete(id)
        return dataclasses.replace(
            self,
            tables=(
                self.tables.set(kind, Table(rows))
                if rows
                else self.tables.delete(kind)
            ),
            names=names,
            uses=self._count(references.of(resource), -1),
            holders=holders,
            running=running,
            total=(self.total - resource_hash(resource)) % _MODULUS,
        )

    def _count(
        self, targets: Iterable[references.Reference], step: int
    ) -> "immutables.Map[_Key, int]":
        with self.uses.mutate() as uses:
            for target in targets:
                key = (target.kind, target.id)
                count = uses.get(key, 0) + step
                if count:
                    uses[key] = count
                else:
                    uses.pop(key, None)
            return uses.finish()

    def put_row(self, attribute: str, key: Any, value: Any) -> "Catalogue":
        """Sets or (with None) deletes a row of a small map."""
        rows = getattr(self, attribute)
        total = self.total
        if key in rows:
            total -= row_hash(attribute, key, rows[key])
            rows = rows.delete(key)
        if value is not None:
            total += row_hash(attribute, key, value)
            rows = rows.set(key, value)
        changes: dict[str, Any] = {attribute: rows, "total": total % _MODULUS}
        return dataclasses.replace(self, **changes)

    def put_quarantine(self, instance: str, until_ms: int) -> "Catalogue":
        """Returns a catalogue where an instance waits; 0 ends the wait."""
        return self.put_row("quarantine", instance, until_ms or None)

    def put_zone_out(self, zone: str, change: str) -> "Catalogue":
        """Returns a catalogue where a change holds a zone out; "" ends it."""
        return self.put_row("zones_out", zone, change or None)

    def put_instance_out(self, instance: str, change: str) -> "Catalogue":
        """Returns a catalogue where a change holds an instance out."""
        return self.put_row("instances_out", instance, change or None)

    def put_carried(self, offset: int, data: bytes) -> "Catalogue":
        """Returns a catalogue that carries a record of a newer version."""
        return self.put_row("carried", offset, data)

    def put_applied(self, verdict: Verdict, at_ms: int) -> "Catalogue":
        """Returns a catalogue that retains a verdict."""
        added = verdict_hash(verdict, at_ms)
        return dataclasses.replace(
            self,
            applied=self.applied.set(verdict.id, Applied(verdict, at_ms)),
            applied_order=self.applied_order.set(verdict.offset, verdict.id),
            oldest=self.oldest or verdict.offset,
            total=(self.total + added) % _MODULUS,
        )

    def drop_oldest(self) -> "Catalogue":
        """Returns a catalogue without the oldest retained verdict."""
        id = self.applied_order[self.oldest]
        kept = self.applied[id]
        gone = verdict_hash(kept.verdict, kept.at_ms)
        order = self.applied_order.delete(self.oldest)
        oldest = self.oldest + 1 if order else 0
        # Each offset is passed once in the life of the log.
        while oldest and oldest not in order:
            oldest += 1
        return dataclasses.replace(
            self,
            floor=self.oldest,
            oldest=oldest,
            applied=self.applied.delete(id),
            applied_order=order,
            total=(self.total - gone) % _MODULUS,
        )


def _without(
    index: "immutables.Map[Any, str]", keys: Iterable[Any], id: str
) -> "immutables.Map[Any, str]":
    with index.mutate() as draft:
        for key in keys:
            if draft.get(key) == id:
                del draft[key]
        return draft.finish()
