"""Interfaces between the gateway and the platform that it runs on."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

import multidict
from aiohttp import web

from oleanderbay.connection import aiohttp_internals
from oleanderbay.gateway import table, workers


class StoreError(Exception):
    """A call of the store failed; a write may have taken effect."""


class StoreRefusedError(StoreError):
    """The store refused the call, which had no effect."""


class HistoryGoneError(StoreError):
    """The requested records are no longer retained."""


class ConditionFailedError(StoreRefusedError):
    """The precondition of a write did not hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
        offset: Offset in the topic, with the store's era; see `positions`.
        key: Key of the record.
        value: Value of the key; None if the key was deleted.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records that one read of a keyed topic returns.

    Attributes:
        records: The records in the order of their offsets.
        end_offset: Offset at which the next read starts.
        more: Whether the store holds further records.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """The partitions that the store assigned to a member of a group.

    Attributes:
        generation: Generation of the assignment, with the store's era; see
            `positions`. Increases with each change.
        partitions: Partitions that the member owns.
    """

    generation: int
    partitions: frozenset[int]


class Topic(enum.Enum):
    """The keyed topics that a gateway uses."""

    CONFIGURATION = "configuration"
    WORKERS = "workers"
    GATEWAYS = "gateways"
    QUARANTINE = "quarantine"


class Store(Protocol):
    """The shared metadata store."""

    async def newest(self, topic: Topic) -> Page:
        """Returns the newest record of each key.

        Raises:
            StoreError: The topic could not be read.
        """
        ...

    async def read(self, topic: Topic, start: int, wait_ms: int) -> Page:
        """Returns records from an offset on, waiting until there is one.

        Raises:
            HistoryGoneError: Records from `start` on are no longer retained,
                or the store was restored from a copy that lacks them.
            StoreError: The topic could not be read.
        """
        ...

    async def put(self, topic: Topic, key: str, value: bytes | None) -> None:
        """Appends a record; None as the value deletes the key.

        Raises:
            StoreRefusedError: The record was not written.
            StoreError: The record may have been written.
        """
        ...

    async def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> Ownership:
        """Joins the group of domain owners or renews the membership.

        Args:
            member: Id of the member.
            ttl_ms: Time without a renewal after which the membership expires.
            generation: Latest generation that the member has seen.

        Raises:
            StoreError: The member may not be in the group.
        """
        ...

    async def leave(self, member: str) -> None:
        """Removes a member from the group and releases its partitions.

        Raises:
            StoreError: The member may still be in the group.
        """
        ...

    @property
    def partitions(self) -> int:
        """Number of partitions that `join` assigns to the members."""
        ...


class OrderResult(enum.Enum):
    """Result of an order to a worker.

    Attributes:
        DONE: The worker has carried out the order.
        BEGUN: The worker has accepted the order and is carrying it out.
        CONFLICT: The order contradicts the worker's state.
        FENCED: The worker has seen a higher fencing token.
        REFUSED: The worker refused the order, which had no effect.
        UNREACHABLE: No connection could be established.
        UNKNOWN: The order may have taken effect.
        EXPIRED: The permission for the order ran out before it was sent.
    """

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """A worker's report of its state.

    Attributes:
        worker_id: Id of the worker that responded; empty if not stated.
        membership: Its group membership; None if it belongs to no group.
        models: Names of the models that it has loaded.
        staged: Names of the models that are stored on its host.
        started_ms: Wall-clock time of its start.
        accepted_orders: Number of orders that it has accepted since its start;
            None if not stated.
        in_flight: Number of requests that it is serving.
        queued: Number of requests in its queue.
        time_factor: Factor on its processing times; above 1 if it is slow.
    """

    worker_id: str = ""
    membership: workers.Membership | None = None
    models: tuple[str, ...] = ()
    staged: frozenset[str] = frozenset()
    started_ms: int = 0
    accepted_orders: int | None = None
    in_flight: int = 0
    queued: int = 0
    time_factor: float = 1.0


class Orders(Protocol):
    """Sends orders to workers.

    Each order carries a fencing token, so that a worker can refuse those of
    a former owner. It may also state how many orders the worker has accepted
    so far. The worker then refuses it after any other order, and refuses
    copies of it that arrive late.
    """

    async def join_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        model: str,
        members: Sequence[str],
        accepted_orders: int | None = None,
    ) -> OrderResult:
        """Adds a worker to a group, of which the first member is the head."""
        ...

    async def open_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        accepted_orders: int | None = None,
    ) -> OrderResult:
        """Tells the head of a group to start serving requests."""
        ...

    async def close_group(
        self,
        worker: workers.Worker,
        fence: int,
        group: str,
        epoch: int,
        abrupt: bool,
    ) -> OrderResult:
        """Tells the head of a group to stop serving requests.

        Args:
            worker: The head of the group.
            fence: Fencing token.
            group: Name of the group.
            epoch: Epoch of the group.
            abrupt: Whether it stops at once instead of finishing its queue.
        """
        ...

    async def leave_group(
        self, worker: workers.Worker, fence: int, group: str, epoch: int
    ) -> OrderResult:
        """Removes a worker from its group."""
        ...

    async def stage_model(
        self, worker: workers.Worker, fence: int, model: str
    ) -> OrderResult:
        """Loads a model's weights onto the worker's host."""
        ...

    async def is_healthy(
        self, worker: workers.Worker, path: str, timeout_ms: int
    ) -> bool:
        """Whether a worker reports that it is healthy and not draining."""
        ...

    async def fetch_report(
        self, worker: workers.Worker, timeout_ms: int
    ) -> Report | OrderResult:
        """Fetches a worker's report; `UNREACHABLE` without a connection."""
        ...


class ConnectedOrders(Orders, Protocol):
    """Orders on connections that another object opens.

    Attributes:
        open_socket: Opens a connection to a worker.
    """

    open_socket: aiohttp_internals.OpenSocket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request of a caller.

    Attributes:
        id: Request id that the caller chose for this attempt.
        method: HTTP method.
        host: Host header in lower case.
        target: Path and query as received.
        headers: Headers that are forwarded to a worker.
        body: The complete body; None if the request has none.
        api_key: API key of the caller's team; None if it sent none.
        timeout_ms: Time that the caller waits; 0 if not stated.
        model: Name of the requested model; empty for a plain service.
        prompt_tokens: Number of tokens of the prompt.
        output_tokens: Maximum number of tokens of the response.
        shared_parts: Ids of the parts of its prompt that other requests may
            share.
        resume_after: Id of the last event that the caller received; -1 if it
            does not resume a stream.
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
    shared_parts: tuple[str, ...] = ()
    resume_after: int = -1
    arrived_ms: int = 0

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


class ResponseClass(enum.Enum):
    """Classes of workers' responses, by status and headers.

    Attributes:
        SUCCESS: A successful response to the request.
        FAILURE: An error of the worker.
        NOT_RUN: The worker states that it did not run the request.
        OTHER_WORKER: A worker other than the addressed one responded.
        UNUSABLE: The response belongs to another request, or a successful
            one is not signed or not in the expected encoding.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_WORKER = "other_worker"
    UNUSABLE = "unusable"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Worker and request that a response states; empty if not stated.

    Attributes:
        worker_id: Id of the worker that responded.
        request_id: Id of the request that it responds to.
    """

    worker_id: str = ""
    request_id: str = ""


class Translator(Protocol):
    """Translates between HTTP messages and the gateway's types."""

    def parse_request(
        self, request: web.BaseRequest, body: bytes | None, arrived_ms: int
    ) -> CallerRequest | str:
        """Parses a caller's request; returns an error message if malformed."""
        ...

    def request_headers(
        self,
        request: CallerRequest,
        worker: workers.Worker,
        team: table.Team | None,
        remaining_ms: int,
        priority: int | None,
        resume_after: int,
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of a request to a worker.

        Args:
            request: The caller's request.
            worker: The worker that the request is sent to.
            team: The caller's team; None for an anonymous request.
            remaining_ms: Time left until the deadline.
            priority: Priority of the request; None to send none.
            resume_after: Id of the last event that the caller received; -1
                to start from the beginning.
        """
        ...

    def classify_response(
        self, request: CallerRequest, status: int, headers: Mapping[str, str]
    ) -> ResponseClass:
        """Classifies a worker's response by its status and headers."""
        ...

    def response_origin(self, headers: Mapping[str, str]) -> Origin:
        """Returns the worker and the request ids that a response states."""
        ...

    def failed_worker_id(self, headers: Mapping[str, str]) -> str:
        """Returns the id of the worker that failed; empty if not stated."""
        ...

    def stated_limit_per_s(self, headers: Mapping[str, str]) -> float | None:
        """Returns the rate of requests that a worker states as its limit.

        The limit applies to the requests of all gateways together; None if
        the response states none.
        """
        ...

    def rest_ms(self, status: int, headers: Mapping[str, str]) -> int:
        """Returns for how long a worker wants no requests from this gateway.

        Returns 0 if the response does not say so.
        """
        ...

    def is_leaving(self, headers: Mapping[str, str]) -> bool:
        """Whether a worker states that it drains."""
        ...

    def response_headers(
        self, headers: "multidict.CIMultiDictProxy[str]"
    ) -> multidict.CIMultiDict[str]:
        """Returns the response headers that are forwarded to the caller."""
        ...


class Decoder(Protocol):
    """Decodes the platform's records into the gateway's types."""

    def table(self, value: bytes) -> table.RoutingTable | str:
        """Parses a configuration; returns an error message if invalid."""
        ...

    def worker(self, key: str, value: bytes) -> workers.Worker | str:
        """Parses a worker's record; returns an error message if invalid."""
        ...

    def is_configuration(self, key: str) -> bool:
        """Whether a key is that of the configuration record."""
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Returns the zone that a key marks as evacuated; None if none."""
        ...
