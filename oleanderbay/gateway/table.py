"""The routing configuration: services, routes, teams and limits."""

import dataclasses
import enum
from collections.abc import Mapping

# Callers of streams leave, also before the first event, when no event has come
# for the longest of this time and these multiples of the route's targets.
MIN_PATIENCE_MS = 2_000
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8


class RouteKind(enum.Enum):
    """How the requests of a route may be sent and retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model that a service can serve.

    Attributes:
        name: The model's name.
        group_size: Number of workers in one serving group.
        expected_share: Expected fraction of the service's work.
        time_factor: Multiplies all processing times of a group.
        load_ms: Time to load the weights from the weight store.
        warm_load_ms: Time to load weights that are staged on the host.
    """

    name: str
    group_size: int
    expected_share: float
    time_factor: float
    load_ms: int
    warm_load_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """Performance figures of a service's model engine.

    Attributes:
        slots: Requests that one group decodes concurrently.
        kv_capacity_tokens: Tokens that fit into a group's KV cache.
        step_ms: Base time of one decoding step.
        step_ms_per_request: Time that each decoding request adds to a step.
        step_ms_per_1000_context_tokens: Time that each 1,000 tokens of a
            request's context add to a step.
        prefill_tokens_per_ms: Prompt tokens processed per millisecond.
        prefill_ms_per_million_token_pairs: Time that each million pairs of
            tokens of a prompt adds to its prefill.
        prefill_chunk_tokens: Most prompt tokens processed in one step.
        steps_per_pass: Decoding steps per pass while requests are decoding.
        loads_per_s: Model loads that may start per second, over all workers.
        full_speed_loads: Concurrent loads that do not slow each other down.
        max_staged_models: Number of models that a host keeps staged.
        cross_domain_factor: Multiplies the times of a group that spans fabric
            domains.
        formation_ms: Time from the order to open a group to its first request.
        mean_prompt_tokens: Mean length of a prompt.
        mean_output_tokens: Mean length of a response.
        models: The models that workers can serve.
    """

    slots: int
    kv_capacity_tokens: int = 0
    step_ms: float = 0.0
    step_ms_per_request: float = 0.0
    step_ms_per_1000_context_tokens: float = 0.0
    prefill_tokens_per_ms: float = 1.0
    prefill_ms_per_million_token_pairs: float = 0.0
    prefill_chunk_tokens: int = 2048
    steps_per_pass: int = 1
    loads_per_s: float = 1.0
    full_speed_loads: int = 1
    max_staged_models: int = 1
    cross_domain_factor: float = 1.0
    formation_ms: int = 0
    mean_prompt_tokens: int = 0
    mean_output_tokens: int = 0
    models: tuple[Model, ...] = ()

    def model(self, name: str) -> Model | None:
        """Returns the model with the given name, or None."""
        for model in self.models:
            if model.name == name:
                return model
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A set of interchangeable workers.

    Attributes:
        name: The service's name.
        health_path: Path of a worker's health check.
        max_connections: Connections that a worker accepts in total; 0 if
            not configured.
        cold_requests_per_s: Requests per second that a cold worker can
            handle; 0 if workers have no cold start.
        engine: The model engine; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int = 0
    cold_requests_per_s: float = 0.0
    engine: Engine | None = None

    @property
    def uses_groups(self) -> bool:
        """Whether groups of workers serve its models, not single workers."""
        return self.engine is not None and bool(self.engine.models)

    def has_model(self, name: str) -> bool:
        """Whether it can serve a model; a plain service ignores its name."""
        return (
            self.engine is None
            or not self.engine.models
            or self.engine.model(name) is not None
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps requests for a host and path prefix to services.

    Attributes:
        name: The route's name.
        host: Value of the Host header.
        path_prefix: Prefix of the path; starts and ends with a slash.
        kind: How the requests may be sent and retried.
        timeout_ms: Longest time until the response is complete.
        latency_target_ms: Latency up to which a response is on time.
        gap_target_ms: Longest gap between parts of a stream that is on time;
            0 if not configured.
        priority: 0 is the most urgent.
        service_weights: Services with the weights of the traffic split.
        max_attempts: Number of workers that one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether another worker may continue a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    latency_target_ms: int
    gap_target_ms: int = 0
    priority: int = 0
    service_weights: tuple[tuple[str, float], ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def patience_ms(self) -> int:
        """How long callers wait for the next event of a stream."""
        if self.kind is not RouteKind.STREAM:
            return self.timeout_ms
        return max(
            MIN_PATIENCE_MS,
            PATIENCE_TARGETS * self.latency_target_ms,
            PATIENCE_GAPS * self.gap_target_ms,
        )

    @property
    def retryable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team whose callers send requests.

    Attributes:
        name: The team's name, which is passed on to workers.
        priority: Overrides the route's priority unless None.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Size and time limits on callers' requests and connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """One version of the routing configuration.

    Attributes:
        version: Version number, assigned by the operators.
        services: Services by name.
        hosts: Routes by host, longest prefix first.
        teams: Teams by key.
        key_required: Whether requests to non-public routes need a key.
        limits: Limits on callers' requests and connections.
    """

    version: int
    services: Mapping[str, Service]
    hosts: Mapping[str, tuple[Route, ...]]
    teams: Mapping[str, Team]
    key_required: bool
    limits: Limits

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def team(self, key: str) -> Team | None:
        """Returns the team that a key belongs to, or None."""
        return self.teams.get(key)
