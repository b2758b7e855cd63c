"""Which entries keep a link with each other."""

import itertools
import math
from collections.abc import Mapping

from oleanderbay.process.membership import rendezvous

# Up to this size every entry has a link to every other unless it is told
# another size.
FULL_MESH_ENTRIES = 16
# Links between two zones that are next to each other in the ring of zones.
LINKS_BETWEEN_ZONES = 2
# Entries of a zone that read the log when there is no full mesh.
READERS_PER_ZONE = 2


def choose(
    me: str, zones: Mapping[str, str], full_mesh: int = FULL_MESH_ENTRIES
) -> frozenset[str]:
    """Returns the entry ids that an entry keeps links with.

    All entries that know the same entries get a symmetric and connected
    choice without exchanging messages. Beyond the full mesh, entries of a zone
    form a ring with chords over the square root of its size, so that a record
    crosses a zone in about that many hops, and so do the zones.

    Args:
        me: Entry id.
        zones: Zone of each entry id, this one included.
        full_mesh: Number of entries up to which all have links to all.
    """
    if len(zones) <= full_mesh:
        return frozenset(zones) - {me}
    by_zone: dict[str, list[str]] = {}
    for id in sorted(zones):
        by_zone.setdefault(zones[id], []).append(id)
    mine = zones.get(me)
    if mine is None:
        return frozenset()
    chosen = set(_around(me, by_zone[mine]))
    for other in _around(mine, sorted(by_zone)):
        chosen.update(_between(me, mine, other, by_zone))
    return frozenset(chosen - {me})


def _around(item: str, ring: list[str]) -> set[str]:
    index, size = ring.index(item), len(ring)
    chord = max(1, math.isqrt(size))
    return {ring[(index + step) % size] for step in (1, -1, chord, -chord)} - {
        item
    }


def _between(
    me: str, mine: str, other: str, by_zone: Mapping[str, list[str]]
) -> set[str]:
    low, high = sorted((mine, other))
    key = f"{low}\0{high}"
    pairs = itertools.islice(
        zip(
            itertools.cycle(rendezvous.ranked(key, by_zone[low])),
            itertools.cycle(rendezvous.ranked(key, by_zone[high])),
            strict=False,
        ),
        LINKS_BETWEEN_ZONES,
    )
    return {
        high_id if me == low_id else low_id
        for low_id, high_id in pairs
        if me in (low_id, high_id)
    }


def log_readers(
    zones: Mapping[str, str], full_mesh: int = FULL_MESH_ENTRIES
) -> frozenset[str]:
    """Returns the entry ids that always read the log themselves.

    The others get records and confirmations from their neighbours and read
    the log only when those become old, because the log serves a bounded
    number of readers.

    Args:
        zones: Zone of each entry id.
        full_mesh: Number of entries up to which all read.
    """
    if len(zones) <= full_mesh:
        return frozenset(zones)
    by_zone: dict[str, list[str]] = {}
    for id, zone in zones.items():
        by_zone.setdefault(zone, []).append(id)
    return frozenset(
        id
        for zone, ids in by_zone.items()
        for id in rendezvous.ranked(f"log reader\0{zone}", ids)[
            :READERS_PER_ZONE
        ]
    )
