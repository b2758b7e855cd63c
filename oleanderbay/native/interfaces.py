"""Services that an entry needs, as Protocol types with data and errors."""

import dataclasses
import enum
from collections.abc import AsyncIterator, Sequence
from typing import Protocol

# A list of 12,000 instances takes about 3 MB; other bodies are smaller, except
# those that have a limit of their own.
MAX_BODY_BYTES = 16_777_216


class PlatformError(Exception):
    """A fault at the platform's side."""


class PlatformUnavailableError(PlatformError):
    """The service refused or could not be reached; nothing was done."""


class PlatformUnknownError(PlatformError):
    """The answer was lost; the operation may have taken effect."""


class RecordsExpiredError(PlatformError):
    """Records before `first` are gone.

    Attributes:
        first: Oldest offset that the log still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
        self.first = first


class OrderRefusedError(PlatformError):
    """An engine refused an order, for example for its fencing number."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream; offsets start at 1 and have no gaps."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records read in offset order.

    Attributes:
        records: The records from the offset asked for.
        first: Oldest offset held.
        end: Offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    first: int
    end: int


class LogService(Protocol):
    """The append-only log."""

    async def append(self, stream: str, data: bytes, timeout_ms: int) -> int:
        """Appends a record and returns its offset.

        Raises:
            PlatformUnavailableError: Nothing was appended.
            PlatformUnknownError: The record may be appended, now or later.
        """
        ...

    async def read(
        self,
        stream: str,
        start: int,
        limit: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> LogPage:
        """Reads from an offset, waiting up to `wait_ms` for a first record.

        Raises:
            RecordsExpiredError: `start` is older than what the log holds.
            PlatformError: The log could not be read.
        """
        ...


class InstanceState(enum.StrEnum):
    """States in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One line of the instance list.

    Attributes:
        id: Unique id.
        role: `entry`, `engine` or `plain`.
        address: `host:port` of its HTTP interface.
        zone: The platform's name of its availability zone.
        domain: The platform's name of its fabric domain; may be empty.
        state: Whether it is about to leave.
        accelerators: Number of accelerators.
        peer_address: `host:port` for peers; entries only.
    """

    id: str
    role: str
    address: str
    zone: str
    domain: str = ""
    state: InstanceState = InstanceState.LIVE
    accelerators: int = 4
    peer_address: str = ""


class InstanceList(Protocol):
    """The lagging list of instances."""

    async def instances(self, timeout_ms: int) -> Sequence[Instance]:
        """Returns all lines.

        Raises:
            PlatformError: The list could not be read.
        """
        ...

    async def announce(self, instance: Instance, timeout_ms: int) -> None:
        """Adds or replaces a line.

        Raises:
            PlatformError: The line may not have been written.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightStoreState:
    """What the weight store says of itself.

    Attributes:
        rate_bytes_per_s: Total rate that it allows.
        active_loads: Loads in progress.
    """

    rate_bytes_per_s: int
    active_loads: int


class WeightStore(Protocol):
    """The rate-limited store that engines load weights from."""

    async def state(self, timeout_ms: int) -> WeightStoreState:
        """Returns its state.

        Raises:
            PlatformError: The store could not be reached.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to an engine.

    Attributes:
        fence: Fencing number: the epoch of the group.
        group: Id of the group; empty dissolves the member's role.
        service: Id of the service.
        rank: Rank of the member in its group.
        size: Members of the group.
        model: Model to load.
        model_version: Version to load.
        adapter: Adapter to load; may be empty.
        expected_start_id: Process start that the order is meant for; empty
            for any.
        valid_ms: Age after which the engine should ignore the order.
    """

    fence: int
    group: str
    service: str
    rank: int
    size: int
    model: str
    model_version: str
    adapter: str = ""
    expected_start_id: str = ""
    valid_ms: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """What an engine says of itself; it lags.

    Attributes:
        instance: Instance id.
        start_id: Process start id.
        group: Group that it serves; empty if none.
        epoch: Fencing number of the newest order that it obeyed.
        rank: Rank in the group.
        service: Service id of the group.
        model: Model that is loaded.
        model_version: Version that is loaded.
        adapter: Adapter that is loaded.
        ready: Whether the model is loaded and serves.
        cold: Whether it has just started and can handle only light load.
        running: Requests in flight at the engine.
        queued: Requests waiting in the engine.
        served: Requests completed since the process started.
        time_to_first_token_ms: Recent median.
        time_per_token_ms: Recent median.
        cache_sequence: Sequence number of its newest cache event.
        sequence: Number of the report, rising within a process start.
        age_ms: How old the figures were when the report was sent.
    """

    instance: str
    start_id: str
    group: str = ""
    epoch: int = 0
    rank: int = 0
    service: str = ""
    model: str = ""
    model_version: str = ""
    adapter: str = ""
    ready: bool = False
    cold: bool = True
    running: int = 0
    queued: int = 0
    served: int = 0
    time_to_first_token_ms: float = 0.0
    time_per_token_ms: float = 0.0
    cache_sequence: int = 0
    sequence: int = 0
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A change of an engine's prompt-prefix cache.

    Attributes:
        sequence: Rises by one with each event of a process start.
        added: Hashes of prefix blocks that were added.
        removed: Hashes of prefix blocks that were removed.
    """

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class ModelEngine(Protocol):
    """The control side of one engine; requests go over HTTP directly."""

    async def report(self, timeout_ms: int) -> EngineReport:
        """Returns the newest report.

        Raises:
            PlatformError: The engine could not be reached.
        """
        ...

    async def order(self, order: Order, timeout_ms: int) -> EngineReport:
        """Gives an order over a new connection and returns the report after.

        Raises:
            OrderRefusedError: The engine refused it.
            PlatformUnavailableError: No byte reached the engine.
            PlatformUnknownError: The order may have taken effect.
        """
        ...

    async def cancel(self, request_id: str, timeout_ms: int) -> None:
        """Cancels a request at the engine.

        Raises:
            PlatformError: The engine could not be reached.
        """
        ...

    def cache_events(self, since: int) -> AsyncIterator[CacheEvent]:
        """Yields cache events after a sequence number."""
        ...

    async def export_cache(self, block: int, timeout_ms: int) -> bytes:
        """Returns the KV cache of a prefix block.

        Raises:
            PlatformError: The block is not cached or can't be read.
        """
        ...

    async def import_cache(
        self, block: int, data: bytes, timeout_ms: int
    ) -> None:
        """Stores the KV cache of a prefix block.

        Raises:
            PlatformError: The engine did not take it.
        """
        ...
