"""Which fabric domains take which new groups, by a bounded search."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence

# Positions examined by the exact search. Repairs of one failure stay far
# below; after the loss of a large domain the best greedy order is used.
SEARCH_LIMIT = 4_000

# How long a group that finds no place counts as lost in the cost.
UNPLACED_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Room:
    """Free instances of one domain.

    Attributes:
        domain: Domain id.
        zone: Zone id.
        free: Instances that a new group may use.
    """

    domain: str
    zone: str
    free: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Want:
    """A group that should be formed.

    Attributes:
        key: Unique key.
        request: Id of the group request.
        shape: Instances of the group.
        priority: 0 (lowest) to 9.
        load_bytes: Weights that forming it loads.
        zones: Zones that may hold it; empty means all.
    """

    key: str
    request: str
    shape: int
    priority: int = 5
    load_bytes: int = 0
    zones: tuple[str, ...] = ()

    def fits(self, room: Room, free: int) -> bool:
        """Whether a domain with so many free instances may hold it."""
        return free >= self.shape and (
            not self.zones or room.zone in self.zones
        )


Cost = tuple[float, ...]


def load_order(wants: Sequence[Want]) -> list[Want]:
    """Orders loads by priority, then by groups restored per byte."""
    return sorted(wants, key=lambda w: (-w.priority, w.load_bytes, w.key))


def lost_ms(
    wants: Sequence[Want],
    placed: Mapping[str, str],
    rate_bytes_per_s: int,
) -> Cost:
    """Returns group-milliseconds lost, one figure a priority, highest first.

    Loads pass the weight store one after the other. A group without a place
    is lost for `UNPLACED_MS`.
    """
    cost: dict[int, float] = {}
    elapsed_ms = 0.0
    for want in load_order(wants):
        cost.setdefault(want.priority, 0.0)
        if want.key in placed:
            elapsed_ms += want.load_bytes * 1000 / max(1, rate_bytes_per_s)
            cost[want.priority] += min(elapsed_ms, UNPLACED_MS)
        else:
            cost[want.priority] += UNPLACED_MS
    return tuple(cost.values())


def pack(
    rooms: Sequence[Room],
    wants: Sequence[Want],
    rate_bytes_per_s: int,
    in_zone: Mapping[tuple[str, str], int] | None = None,
) -> dict[str, str]:
    """Chooses a domain for each group.

    Args:
        rooms: Domains with free instances.
        wants: Groups to be formed.
        rate_bytes_per_s: Rate of the weight store.
        in_zone: Groups that stand already, by request and zone.

    Returns:
        Domain by key of the want; wants without a place are left out.
    """
    rooms = sorted(rooms, key=lambda room: room.domain)
    problem = _Problem(rooms, wants, rate_bytes_per_s, in_zone or {})
    if not wants:
        return {}
    orders = [
        load_order(wants),
        sorted(wants, key=lambda w: (-w.priority, -w.shape, w.key)),
    ]
    best: dict[str, str] = {}
    best_cost: Cost | None = None
    for order in orders:
        for spread in (True, False):
            placed = problem.greedy(order, spread)
            cost = problem.cost(placed)
            if best_cost is None or cost < best_cost:
                best, best_cost = placed, cost
    if len(best) == len(wants) or len(wants) > 24:
        return best
    for placed in problem.search(orders[1]):
        cost = problem.cost(placed)
        if best_cost is None or cost < best_cost:
            best, best_cost = placed, cost
    return best


class _Problem:
    def __init__(
        self,
        rooms: Sequence[Room],
        wants: Sequence[Want],
        rate_bytes_per_s: int,
        in_zone: Mapping[tuple[str, str], int],
    ) -> None:
        self.rooms = rooms
        self.wants = wants
        self.rate_bytes_per_s = rate_bytes_per_s
        self.in_zone = in_zone
        self.zone_of = {room.domain: room.zone for room in rooms}

    def cost(self, placed: Mapping[str, str]) -> Cost:
        """Group-time lost, then imbalance between zones, then remainders."""
        counts = dict(self.in_zone)
        request_of = {want.key: want.request for want in self.wants}
        for key, domain in placed.items():
            at = (request_of[key], self.zone_of[domain])
            counts[at] = counts.get(at, 0) + 1
        imbalance = sum(count * count for count in counts.values())
        used: dict[str, int] = {}
        for want in self.wants:
            if want.key in placed:
                domain = placed[want.key]
                used[domain] = used.get(domain, 0) + want.shape
        # A high sum of squares leaves a few large remainders, which fit
        # other shapes, rather than many small ones.
        whole = -sum(
            (room.free - used.get(room.domain, 0)) ** 2 for room in self.rooms
        )
        lost = lost_ms(self.wants, placed, self.rate_bytes_per_s)
        return (*lost, imbalance, whole)

    def greedy(self, order: Sequence[Want], spread: bool) -> dict[str, str]:
        """Places in order, each want into the best domain at that moment."""
        free = {room.domain: room.free for room in self.rooms}
        counts = dict(self.in_zone)
        placed: dict[str, str] = {}
        left = list(order)
        for want in order:
            left.remove(want)
            shapes = {other.shape for other in left}
            best: tuple[tuple[int, int, int, str], Room] | None = None
            for room in self.rooms:
                if not want.fits(room, free[room.domain]):
                    continue
                rest = free[room.domain] - want.shape
                at = (want.request, room.zone)
                score = (
                    counts.get(at, 0) if spread else 0,
                    _waste(rest, shapes),
                    rest,
                    room.domain,
                )
                if best is None or score < best[0]:
                    best = (score, room)
            if best is not None:
                room = best[1]
                placed[want.key] = room.domain
                free[room.domain] -= want.shape
                at = (want.request, room.zone)
                counts[at] = counts.get(at, 0) + 1
        return placed

    def search(self, order: Sequence[Want]) -> Iterator[dict[str, str]]:
        """Yields complete placements within the search limit."""
        budget = [SEARCH_LIMIT]
        free = [room.free for room in self.rooms]
        placed: dict[str, str] = {}

        def visit(at: int) -> Iterator[dict[str, str]]:
            if budget[0] <= 0:
                return
            budget[0] -= 1
            if at == len(order):
                yield dict(placed)
                return
            want = order[at]
            seen: set[tuple[int, str]] = set()
            for index, room in enumerate(self.rooms):
                # Domains of one zone with equal room are alike.
                alike = (free[index], room.zone)
                if alike in seen or not want.fits(room, free[index]):
                    continue
                seen.add(alike)
                free[index] -= want.shape
                placed[want.key] = room.domain
                yield from visit(at + 1)
                del placed[want.key]
                free[index] += want.shape
            yield from visit(at + 1)

        yield from visit(0)


def _waste(rest: int, shapes: set[int]) -> int:
    """Instances of a remainder that the other wanted shapes cannot fill."""
    if not shapes or not rest:
        return 0
    reachable = 1
    for shape in shapes:
        at = shape
        while at <= rest:
            reachable |= reachable << at
            at *= 2
    reachable &= (1 << (rest + 1)) - 1
    return rest - (reachable.bit_length() - 1)
