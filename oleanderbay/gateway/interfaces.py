"""What the gateway needs from the platform that it runs on."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

import multidict
from aiohttp import web

from oleanderbay.gateway import table, workers


class StoreError(Exception):
    """The store gave no answer; a write may have taken effect."""


class StoreRefusedError(StoreError):
    """The store refused the call; nothing was done."""


class HistoryGoneError(StoreError):
    """The records that were asked for are no longer kept."""


class ConditionFailedError(StoreRefusedError):
    """The condition of a write did not hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic.

    Attributes:
        offset: Its offset.
        key: Its key.
        value: Its value; None if the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records of a keyed topic.

    Attributes:
        records: The records in the order of their offsets.
        end_offset: Offset of the next record to come.
        more: Whether the store has further records already.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """What the store assigned to a member of an ownership group.

    Attributes:
        generation: Rises with each change of the assignment.
        partitions: Partitions that belong to the member.
    """

    generation: int
    partitions: frozenset[int]


class Topic(enum.Enum):
    """The keyed topics that a gateway uses."""

    CONFIGURATION = "configuration"
    WORKERS = "workers"
    GATEWAYS = "gateways"


class Store(Protocol):
    """The shared metadata store."""

    async def newest(self, topic: Topic) -> Page:
        """Returns the newest record of each key.

        Raises:
            StoreError: The topic could not be read.
        """
        ...

    async def read(self, topic: Topic, start: int, wait_ms: int) -> Page:
        """Returns records from an offset, waiting for the first one.

        Raises:
            HistoryGoneError: Records from `start` on are no longer kept.
            StoreError: The topic could not be read.
        """
        ...

    async def put(self, topic: Topic, key: str, value: bytes | None) -> None:
        """Appends a record.

        Raises:
            StoreRefusedError: Nothing was written.
            StoreError: It may have been written.
        """
        ...

    async def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> Ownership:
        """Joins the group that shares the domains, or stays in it.

        Raises:
            StoreError: The member may not be in the group.
        """
        ...

    async def leave(self, member: str) -> None:
        """Gives up all partitions of a member.

        Raises:
            StoreError: The member may still be in the group.
        """
        ...

    @property
    def partitions(self) -> int:
        """Number of partitions that `join` spreads over its members."""
        ...


class OrderResult(enum.Enum):
    """What became of an order to a worker."""

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a worker says of itself when asked.

    Attributes:
        worker_id: Id of the worker that answered, if it says so.
        membership: Its group.
        models: Models that it has loaded.
        staged: Models on its host.
        born_ms: Wall time of its start.
        in_flight: Requests that it serves.
        queued: Requests that wait there.
        pace: Above 1 if it is slow.
    """

    worker_id: str = ""
    membership: workers.Membership | None = None
    models: tuple[str, ...] = ()
    staged: frozenset[str] = frozenset()
    born_ms: int = 0
    in_flight: int = 0
    queued: int = 0
    pace: float = 1.0


class Orders(Protocol):
    """Orders to workers. Each is fenced."""

    async def join(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        model: str,
        members: Sequence[str],
    ) -> OrderResult:
        """Makes a worker a member of a group; the first member is the head."""
        ...

    async def open(
        self, worker: workers.Worker, fence: int, group: str, epoch: int
    ) -> OrderResult:
        """Lets the head of a group serve."""
        ...

    async def close_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        abrupt: bool,
    ) -> OrderResult:
        """Lets the head of a group stop serving."""
        ...

    async def leave(
        self, worker: workers.Worker, fence: int, group: str, epoch: int
    ) -> OrderResult:
        """Takes a worker out of a group."""
        ...

    async def stage(
        self, worker: workers.Worker, fence: int, model: str
    ) -> OrderResult:
        """Loads a model onto the worker's host."""
        ...

    async def healthy(
        self, worker: workers.Worker, path: str, timeout_ms: int
    ) -> bool:
        """Whether a worker answers that it is healthy and does not leave."""
        ...

    async def report(
        self, worker: workers.Worker, timeout_ms: int
    ) -> Report | OrderResult:
        """Asks a worker for its state; `UNREACHABLE` without a connection."""
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One request of a caller.

    Attributes:
        id: The caller's id of this attempt.
        method: HTTP method.
        host: Host that the caller named.
        target: Path and query, as sent.
        headers: Headers that are passed on to a worker.
        body: The whole body; None if the request has none.
        api_key: Key of the caller's team; None if there is none.
        timeout_ms: Time that the caller waits; 0 if it did not say.
        model: Model that is asked for; empty for a plain service.
        prompt_tokens: Length of the prompt.
        output_tokens: Most tokens of the answer.
        resume_after: Id of the last event that the caller has; -1 for none.
        arrived_ms: Monotonic time of arrival.
    """

    id: str
    method: str
    host: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bytes | None = None
    api_key: str | None = None
    timeout_ms: int = 0
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: int = -1
    arrived_ms: int = 0

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


class ResponseClass(enum.Enum):
    """What the head of a worker's answer says."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_WORKER = "other_worker"
    UNUSABLE = "unusable"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Whose answer a head says it is; empty where it does not say.

    Attributes:
        worker_id: The worker that answers.
        request_id: The request that is answered.
    """

    worker_id: str = ""
    request_id: str = ""


class Translator(Protocol):
    """The platform's way to write requests and answers."""

    def parse_request(
        self, request: web.BaseRequest, body: bytes | None, arrived_ms: int
    ) -> CallerRequest | str:
        """Reads a caller's request; a text says what is malformed."""
        ...

    def request_headers(
        self,
        call: CallerRequest,
        worker: workers.Worker,
        team: table.Team | None,
        left_ms: int,
        priority: int | None,
        resume_after: int,
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of a request to a worker."""
        ...

    def classify_response(
        self, call: CallerRequest, status: int, headers: Mapping[str, str]
    ) -> ResponseClass:
        """Judges the head of a worker's answer."""
        ...

    def response_origin(self, headers: Mapping[str, str]) -> Origin:
        """Returns whose answer it is to which request."""
        ...

    def failed_worker_id(self, headers: Mapping[str, str]) -> str:
        """Returns the id of the worker at fault; empty if it isn't told."""
        ...

    def response_headers(
        self, headers: "multidict.CIMultiDictProxy[str]"
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers that are passed on to the caller."""
        ...


class Decoder(Protocol):
    """The platform's records as product types."""

    def table(self, value: bytes) -> table.RoutingTable | str:
        """Reads a configuration; a text says what is wrong."""
        ...

    def worker(self, key: str, value: bytes) -> workers.Worker | str:
        """Reads a worker's record; a text says what is wrong."""
        ...

    def is_configuration(self, key: str) -> bool:
        """Whether a key holds the configuration."""
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Returns the zone whose evacuation a key stands for."""
        ...
