"""Which instances form, repair or leave serving groups; pure functions."""

import collections
from collections.abc import Collection, Iterable

from oleanderbay.version import packing, resources
from oleanderbay.version import situation as situations

# Loads that may be ordered ahead of what the weight store delivers. A short
# window keeps a later, more urgent load from waiting behind many others.
LOAD_WINDOW_MS = 60_000


def decide(situation: situations.Situation) -> situations.Plan:
    """Decides what to form, repair and dissolve.

    Groups that are whole are left alone unless the request wants fewer. A
    broken group gets spares of its own domain first, then the members of a
    less important broken group of that domain, then a place elsewhere.
    """
    return _Decision(situation).run()


class _Decision:
    def __init__(self, situation: situations.Situation) -> None:
        self.situation = situation
        self.requests = {r.id: r for r in situation.requests}
        self.formations: list[situations.Formation] = []
        self.dissolutions: list[situations.Dissolution] = []
        self.waiting: dict[str, list[str]] = collections.defaultdict(list)
        taken: set[str] = set()
        lost = situation.lost
        self.missing_of: dict[str, list[str]] = {}
        for group in situation.groups:
            taken.update(group.members)
            if not lost.isdisjoint(group.members):
                self.missing_of[group.id] = [
                    member for member in group.members if member in lost
                ]
        # Free instances by domain; quarantined ones are free soon.
        self.free: dict[str, list[str]] = collections.defaultdict(list)
        self.soon: dict[str, int] = collections.Counter()
        self.zone_of: dict[str, str] = {}
        for id, node in situation.nodes.items():
            self.zone_of[node.domain] = node.zone
            if id in taken:
                continue
            if id in situation.quarantined:
                self.soon[node.domain] += 1
            else:
                self.free[node.domain].append(id)
        for ids in self.free.values():
            ids.sort()

    def run(self) -> situations.Plan:
        kept, broken = self.dismiss_surplus()
        unrepaired = self.repair(broken)
        unrepaired = self.borrow(unrepaired)
        self.place(kept, unrepaired)
        formations, delayed = admit_loads(
            self.formations,
            self.situation.rate_bytes_per_s,
            self.situation.loading_bytes,
        )
        reason = (
            "waits for its turn at the weight store"
            if self.situation.rate_bytes_per_s
            else "the weight store is stalled"
        )
        for formation in delayed:
            self.waiting[formation.request.id].append(reason)
        # A group is dissolved for another only once that one is proposed.
        replaced = [
            situations.Dissolution(
                group=f.replaces, reason="re-formed elsewhere"
            )
            for f in formations
            if f.replaces
        ]
        return situations.Plan(
            formations=tuple(formations),
            dissolutions=(*self.dissolutions, *replaced),
            pending=tuple(self.pending()),
        )

    def missing(self, group: resources.ServingGroup) -> list[str]:
        return self.missing_of.get(group.id, [])

    def priority(self, group: resources.ServingGroup) -> int:
        return self.requests[group.request].priority

    def dismiss_surplus(
        self,
    ) -> tuple[list[resources.ServingGroup], list[resources.ServingGroup]]:
        """Dissolves what nobody wants; returns whole and broken groups."""
        of_request: dict[str, list[resources.ServingGroup]] = (
            collections.defaultdict(list)
        )
        for group in self.situation.groups:
            if group.id in self.situation.leaving:
                continue
            if (
                group.request not in self.requests
                or group.service not in self.situation.services
            ):
                self.dissolve(group, "its request was deleted")
            else:
                of_request[group.request].append(group)
        kept: list[resources.ServingGroup] = []
        broken: list[resources.ServingGroup] = []
        for id, groups in of_request.items():
            wanted = self.requests[id].groups
            groups.sort(key=lambda g: (g.id in self.missing_of, g.epoch))
            for group in groups[wanted:]:
                self.dissolve(group, f"the request wants {wanted} groups")
            for group in groups[:wanted]:
                (broken if group.id in self.missing_of else kept).append(group)
        broken.sort(
            key=lambda g: (-self.priority(g), len(self.missing(g)), g.id)
        )
        return kept, broken

    def dissolve(self, group: resources.ServingGroup, reason: str) -> None:
        self.dissolutions.append(
            situations.Dissolution(group=group.id, reason=reason)
        )
        # Its members are quarantined once the record is applied.
        for member in group.members:
            node = self.situation.nodes.get(member)
            if node is not None:
                self.soon[node.domain] += 1

    def repair(
        self, broken: Iterable[resources.ServingGroup]
    ) -> list[resources.ServingGroup]:
        """Replaces lost members by spares; returns the groups left over."""
        unrepaired = []
        for group in broken:
            free = self.free[group.domain]
            # A lost member that came back takes its own place first.
            back = {m for m in self.missing(group) if self.usable(m)}
            gone = [m for m in self.missing(group) if m not in back]
            if len(gone) > len(free):
                unrepaired.append(group)
                continue
            spares = iter(free[: len(gone)])
            del free[: len(gone)]
            members = tuple(
                next(spares) if member in gone else member
                for member in group.members
            )
            service = self.situation.services[group.service]
            self.formations.append(
                situations.Formation(
                    request=self.requests[group.request],
                    service=service,
                    group=group.id,
                    domain=group.domain,
                    zone=group.zone,
                    members=members,
                    load_bytes=service.weight_bytes * (len(gone) + len(back)),
                )
            )
        return unrepaired

    def usable(self, member: str) -> bool:
        return (
            member in self.situation.nodes
            and member not in self.situation.quarantined
        )

    def borrow(
        self, unrepaired: list[resources.ServingGroup]
    ) -> list[resources.ServingGroup]:
        """Dissolves broken groups whose members complete more urgent ones."""
        by_domain: dict[str, list[resources.ServingGroup]] = (
            collections.defaultdict(list)
        )
        for group in unrepaired:
            by_domain[group.domain].append(group)
        left = []
        for domain, groups in by_domain.items():
            # Sorted most urgent first, so the last one gives its members.
            supply = len(self.free[domain]) + self.soon[domain]
            while groups:
                first = groups[0]
                needed = len(self.missing(first))
                if supply >= needed:
                    # Quarantine ends soon; a load elsewhere costs more.
                    self.wait(first, "waits for the end of a quarantine")
                    supply -= needed
                    groups.pop(0)
                    continue
                donor = groups[-1] if len(groups) > 1 else None
                given = (
                    sum(self.usable(m) for m in donor.members) if donor else 0
                )
                if donor is None or supply + given < needed:
                    break
                groups.pop()
                self.dissolve(donor, f"its members complete {first.id}")
                supply += given
            left.extend(groups)
        return left

    def wait(self, group: resources.ServingGroup, reason: str) -> None:
        self.waiting[group.request].append(reason)
        # What it waits for is not offered to others.
        needed = len(self.missing(group))
        held = min(needed, len(self.free[group.domain]))
        del self.free[group.domain][:held]
        self.soon[group.domain] -= needed - held

    def place(
        self,
        kept: Collection[resources.ServingGroup],
        unrepaired: Iterable[resources.ServingGroup],
    ) -> None:
        """Finds domains for groups that are missing or can't be repaired."""
        wants = []
        old: dict[str, resources.ServingGroup] = {}
        counts: dict[str, int] = collections.Counter(g.request for g in kept)
        in_zone: dict[tuple[str, str], int] = collections.Counter(
            (g.request, g.zone) for g in kept
        )
        for formation in self.formations:
            counts[formation.request.id] += 1
            in_zone[formation.request.id, formation.zone] += 1
        for id, reasons in self.waiting.items():
            counts[id] += len(reasons)
        for group in unrepaired:
            counts[group.request] += 1
            key = f"{group.request}/{group.id}"
            old[key] = group
            wants.append(self.want(key, self.requests[group.request]))
        for request in self.situation.requests:
            if request.service not in self.situation.services:
                continue
            for index in range(request.groups - counts[request.id]):
                wants.append(self.want(f"{request.id}/+{index:05}", request))
        rooms = self.rooms()
        placed = packing.pack(
            rooms, wants, self.situation.rate_bytes_per_s, in_zone
        )
        for want in packing.load_order(wants):
            request = self.requests[want.request]
            domain = placed.get(want.key)
            replaced = old.get(want.key)
            if domain is None:
                self.waiting[request.id].append(
                    "no permitted domain has enough free instances"
                    if replaced is None
                    else f"group {replaced.id} waits for a spare instance"
                )
                continue
            members = tuple(self.free[domain][: want.shape])
            del self.free[domain][: want.shape]
            self.formations.append(
                situations.Formation(
                    request=request,
                    service=self.situation.services[request.service],
                    group="",
                    domain=domain,
                    zone=self.zone_of[domain],
                    members=members,
                    load_bytes=want.load_bytes,
                    replaces=replaced.id if replaced else "",
                )
            )

    def want(self, key: str, request: resources.GroupRequest) -> packing.Want:
        service = self.situation.services[request.service]
        shape = service.instances_per_group
        return packing.Want(
            key=key,
            request=request.id,
            shape=shape,
            priority=request.priority,
            load_bytes=service.weight_bytes * shape,
            zones=request.zones,
        )

    def rooms(self) -> list[packing.Room]:
        # Spares are for repairs, so a new group leaves them in the domain.
        spares = max(
            (r.spares_per_domain for r in self.situation.requests), default=0
        )
        return [
            packing.Room(
                domain=domain,
                zone=self.zone_of[domain],
                free=len(free) - spares,
            )
            for domain, free in self.free.items()
            if len(free) > spares
        ]

    def pending(self) -> Iterable[situations.Pending]:
        for id, reasons in sorted(self.waiting.items()):
            if not reasons:
                continue
            request = self.requests[id]
            service = self.situation.services[request.service]
            nearest = max(
                (
                    (room.free, room.domain)
                    for room in self.rooms()
                    if not request.zones or room.zone in request.zones
                ),
                default=(0, ""),
            )
            yield situations.Pending(
                request=id,
                groups=len(reasons),
                shape=service.instances_per_group,
                reason="; ".join(sorted(set(reasons))),
                nearest_shape=min(nearest[0], service.instances_per_group),
                nearest_domain=nearest[1],
            )


def admit_loads(
    formations: Iterable[situations.Formation],
    rate_bytes_per_s: int,
    loading_bytes: int = 0,
) -> tuple[list[situations.Formation], list[situations.Formation]]:
    """Splits formations into those to propose now and those that wait.

    Args:
        formations: What is to be formed.
        rate_bytes_per_s: Rate of the weight store; 0 while it is stalled.
        loading_bytes: Loads that are ordered and not done.

    Returns:
        Those whose load starts within `LOAD_WINDOW_MS`, in the order of their
        loads, and the rest.
    """
    ordered = sorted(
        formations,
        key=lambda f: (
            -f.request.priority,
            f.load_bytes,
            f.group or "~",
            f.members,
        ),
    )
    window_bytes = rate_bytes_per_s * LOAD_WINDOW_MS / 1000
    now = []
    later = []
    for formation in ordered:
        if formation.load_bytes and loading_bytes >= window_bytes:
            later.append(formation)
            continue
        loading_bytes += formation.load_bytes
        now.append(formation)
    return now, later
