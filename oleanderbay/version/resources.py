"""The resources that operators declare, as frozen data classes.

Every resource has a stable unique `id`, a `fleet` (the id of the fleet whose
namespace holds its name), a `name`, and a `version`: the log offset of its
last change (0 before it was accepted).
"""

import dataclasses
import enum

MAX_NAME_LENGTH = 128


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class CallClass(enum.StrEnum):
    """Whether calls of a service may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class ChangeKind(enum.StrEnum):
    """Kinds of planned changes."""

    DRAIN_ZONE = "drain_zone"
    RESTORE_ZONE = "restore_zone"
    RETIRE_INSTANCES = "retire_instances"
    ROLL_MODEL = "roll_model"


class ChangeStage(enum.StrEnum):
    """Stages of a planned change, in order; the last three are final."""

    PENDING = "pending"
    PREPARING = "preparing"
    STOPPING = "stopping"
    DRAINING = "draining"
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"

    @property
    def is_final(self) -> bool:
        """Whether the change can no longer move to another stage."""
        return self in _FINAL_STAGES


_FINAL_STAGES = frozenset(
    (ChangeStage.DONE, ChangeStage.CANCELLED, ChangeStage.FAILED)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resource:
    """What all resources have in common."""

    id: str
    name: str
    fleet: str = ""
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fleet(Resource):
    """A namespace of names; its own `fleet` field is empty."""

    description: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Zone(Resource):
    """An availability zone.

    Attributes:
        region: Region that holds the zone.
        platform_zone: Name that the platform's instance list uses for it.
    """

    region: str
    platform_zone: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Domain(Resource):
    """A fabric domain: instances in one zone with a fast interconnect.

    Attributes:
        zone: Id of the zone.
        platform_domain: Name that the platform's instance list uses for it.
        instance_count: Instances that the domain can hold.
    """

    zone: str
    platform_domain: str = ""
    instance_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Team(Resource):
    """A team that sends requests.

    Attributes:
        share: Weight in fair queueing, above 0.
        priority: 0 (lowest) to 9; the default of the team's requests.
        max_in_flight: Limit an entry puts on the team; 0 means none.
    """

    share: float = 1.0
    priority: int = 5
    max_in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdStart:
    """How an upstream of a service warms up.

    Attributes:
        limit: Requests in flight that a cold upstream can handle.
        warm_limit: Requests in flight that a warm upstream can handle.
    """

    limit: int = 1
    warm_limit: int = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service(Resource):
    """A service that callers name.

    Attributes:
        kind: Model engines or plain upstreams.
        call_class: Whether its calls may be repeated.
        model: Model that its groups load; empty for a plain service.
        model_version: Version of the model.
        adapter: Adapter that its groups load; may be empty.
        weight_bytes: Size of the weights that one instance loads.
        instances_per_group: Members of one serving group; 1 for plain.
        cold_start: Limits while an upstream warms up.
        upstreams: Addresses (`host:port`) of a plain service.
        retry_budget: Retries as a share of first attempts, 0 to 1.
        resumable: Whether its engines resume a stream at a position.
        engines_check_fencing: Whether its engines refuse old fencing numbers.
        hedge: Whether short idempotent calls may be hedged. Checked and
            stored; the request path does not send second attempts yet.
        timeout_ms: Deadline of a request that names none.
    """

    kind: ServiceKind
    call_class: CallClass = CallClass.IDEMPOTENT
    model: str = ""
    model_version: str = ""
    adapter: str = ""
    weight_bytes: int = 0
    instances_per_group: int = 1
    cold_start: ColdStart = ColdStart()
    upstreams: tuple[str, ...] = ()
    retry_budget: float = 0.1
    resumable: bool = False
    engines_check_fencing: bool = True
    hedge: bool = False
    timeout_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route(Resource):
    """Lets a team reach a service.

    Attributes:
        service: Id of the service.
        team: Id of the team; empty means every team of the fleet.
        zones: Ids of zones that may serve it; empty means all.
        weight: Preference among several routes.
    """

    service: str
    team: str = ""
    zones: tuple[str, ...] = ()
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupRequest(Resource):
    """Asks for a number of serving groups of a service.

    Attributes:
        service: Id of the service.
        groups: Number of groups wanted.
        zones: Ids of zones that may hold them; empty means all.
        priority: 0 (lowest) to 9 when capacity is short.
        spares_per_domain: Instances to keep unassigned in each domain used.
    """

    service: str
    groups: int
    zones: tuple[str, ...] = ()
    priority: int = 5
    spares_per_domain: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedChange(Resource):
    """A durable procedure that an operator asked for.

    Attributes:
        kind: What is to be done.
        zone: Id of the zone to drain or restore.
        instances: Ids of instances to retire.
        service: Id of the service to roll.
        model_version: Version to roll to.
        adapter: Adapter to roll to; empty keeps the present one.
        start_at_ms: Wall time from which it may start; 0 means at once.
        deadline_ms: Wall time after which it fails; 0 means none.
        force: Whether warnings about capacity are overridden.
        stage: Progress, changed by `stage` records only.
        detail: Why it is in this stage, for people.
    """

    kind: ChangeKind
    zone: str = ""
    instances: tuple[str, ...] = ()
    service: str = ""
    model_version: str = ""
    adapter: str = ""
    start_at_ms: int = 0
    deadline_ms: int = 0
    force: bool = False
    stage: ChangeStage = ChangeStage.PENDING
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServingGroup(Resource):
    """A group as assigned by the log; made by `assign` records only.

    Attributes:
        request: Id of the group request that it serves.
        service: Id of the service.
        domain: Id (or platform name) of the fabric domain.
        zone: Id of the zone.
        epoch: Offset of the assign record; the fencing number of orders.
        members: Instance ids; the index in the tuple is the member's rank.
        model: Model that the members load.
        model_version: Version of the model.
        adapter: Adapter; may be empty.
    """

    request: str
    service: str
    domain: str
    zone: str
    epoch: int
    members: tuple[str, ...]
    model: str = ""
    model_version: str = ""
    adapter: str = ""


RESOURCE_KINDS: dict[str, type[Resource]] = {
    "fleet": Fleet,
    "zone": Zone,
    "domain": Domain,
    "team": Team,
    "service": Service,
    "route": Route,
    "group_request": GroupRequest,
    "planned_change": PlannedChange,
    "serving_group": ServingGroup,
}
