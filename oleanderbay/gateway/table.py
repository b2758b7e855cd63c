"""The routing configuration of one version."""

import dataclasses
import enum
from collections.abc import Mapping


class Kind(enum.Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """One model of a service.

    Attributes:
        name: The model's name.
        size: Workers in one group.
        share: Part of the work that the model is expected to get.
        pace: Factor on all of a group's times.
        load_ms: Time to load the weights from the weight store.
        warm_ms: Time to load them from the host.
    """

    name: str
    size: int
    share: float
    pace: float
    load_ms: int
    warm_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """The figures of a service's model engine.

    Attributes:
        slots: Requests that one group writes at once.
        kv_capacity_tokens: Tokens that one group holds in memory.
        step_ms: Time of one token step.
        sequence_ms: Added time of a step for each request that is writing.
        context_ms_per_k: Added time for each 1,000 tokens of its context.
        read_tokens_per_ms: Prompt tokens that are read in a ms.
        pairs_ms_per_m: Added time for a million pairs of tokens of a prompt.
        chunk: Most prompt tokens read in one step.
        stride: Steps of one pass while requests are writing.
        loads_per_s: Loads that may begin a second, over all workers.
        loads_at_once: Loads that run at full speed together.
        staged_models: Models that a host keeps.
        far_factor: Factor on the times of a group that spans domains.
        form_ms: Time from the order to open to the first request.
        usual_prompt_tokens: Mean length of a prompt.
        usual_output_tokens: Mean length of an answer.
        models: The models that workers can serve.
    """

    slots: int
    kv_capacity_tokens: int = 0
    step_ms: float = 0.0
    sequence_ms: float = 0.0
    context_ms_per_k: float = 0.0
    read_tokens_per_ms: float = 1.0
    pairs_ms_per_m: float = 0.0
    chunk: int = 2048
    stride: int = 1
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    staged_models: int = 1
    far_factor: float = 1.0
    form_ms: int = 0
    usual_prompt_tokens: int = 0
    usual_output_tokens: int = 0
    models: tuple[Model, ...] = ()

    def model(self, name: str) -> Model | None:
        """Returns a model by its name."""
        for model in self.models:
            if model.name == name:
                return model
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A set of workers that do the same.

    Attributes:
        name: The service's name.
        health_path: Path that tells a worker's health.
        max_connections: Connections that a worker accepts from all callers.
        cold_per_s: Requests a second that a cold worker bears; 0 if workers
            have no cold start.
        engine: The model engine; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests of a host and path go.

    Attributes:
        name: The route's name.
        host: Value of the host header.
        path_prefix: Beginning of the path; begins and ends with a slash.
        kind: What may be done with the requests.
        timeout_ms: Longest time until the final answer.
        target_ms: Time within which an answer is on time.
        gap_ms: Longest pause of a stream that is on time; 0 if not stated.
        priority: 0 is the most urgent.
        split: Services with their weights.
        max_attempts: Workers that one request may be sent to.
        public: Whether no key is needed.
        resumable: Whether a stream may go on at another worker.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout_ms: int
    target_ms: int
    gap_ms: int = 0
    priority: int = 0
    split: tuple[tuple[str, float], ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team that calls.

    Attributes:
        name: The team's name, which workers are told.
        priority: Takes the place of the route's priority if given.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """One version of the configuration.

    Attributes:
        version: The operators' number of the version.
        services: Services by name.
        hosts: Routes by host, longest prefix first.
        teams: Teams by key.
        keyed: Whether requests need a key.
        limits: Limits towards callers.
    """

    version: int
    services: Mapping[str, Service]
    hosts: Mapping[str, tuple[Route, ...]]
    teams: Mapping[str, Team]
    keyed: bool
    limits: Limits

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest matching prefix."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def team(self, key: str) -> Team | None:
        """Returns the team that holds a key."""
        return self.teams.get(key)
