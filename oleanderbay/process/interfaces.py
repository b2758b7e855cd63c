"""What the parts of one entry process need from each other."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

from oleanderbay.version import resources


class PeerError(Exception):
    """A peer could not be asked or did not answer in time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry process as others know it.

    Attributes:
        id: Entry id from its settings.
        start_id: Unique id of this run of the process.
        zone: The platform's name of its availability zone.
        caller_address: `host:port` for callers.
        peer_address: `host:port` for peers.
        leaving: Whether it has announced that it leaves.
    """

    id: str
    start_id: str
    zone: str
    caller_address: str
    peer_address: str
    leaving: bool = False


PeerHandler = Callable[[Entry, Any], Awaitable[Any]]


class PeerTransport(Protocol):
    """Messages between entries. Bodies are what msgpack can carry."""

    def register(self, kind: str, handler: PeerHandler) -> None:
        """Sets the handler of a message kind; its result is the answer."""
        ...

    def send(self, start_id: str, kind: str, body: Any) -> None:
        """Queues a message without an answer; drops it if there's no link."""
        ...

    def broadcast(self, kind: str, body: Any) -> None:
        """Queues a message to every linked peer."""
        ...

    async def request(
        self, start_id: str, kind: str, body: Any, timeout_ms: int
    ) -> Any:
        """Sends a message and returns the answer.

        Raises:
            PeerError: No link, no answer in time, or the peer refused.
        """
        ...


class MembershipView(Protocol):
    """Which entries exist, as this entry knows."""

    @property
    def me(self) -> Entry:
        """This entry."""
        ...

    def live(self) -> tuple[Entry, ...]:
        """Entries that are heard from, this one included, by start id."""
        ...

    def known_count(self) -> int:
        """Size of the known set that majorities are counted against."""
        ...

    def view_digest(self) -> str:
        """Digest of the start ids of `live()`."""
        ...

    def view_confirmations(self, max_age_ms: int) -> int:
        """Entries (this one included) that confirmed this view recently."""
        ...


class Freshness(enum.StrEnum):
    """Whether an entry may take new work."""

    FRESH = "fresh"
    OUTAGE = "outage"
    CUT_OFF = "cut_off"

    @property
    def takes_work(self) -> bool:
        """Whether new requests may start."""
        return self is not Freshness.CUT_OFF


class CatalogueView(Protocol):
    """Read access to the configuration in force at one offset."""

    @property
    def offset(self) -> int:
        """Offset of the last record that was applied."""
        ...

    @property
    def quarantine(self) -> Mapping[str, int]:
        """Record time at which an instance may be assigned again."""
        ...

    def get(self, kind: str, id: str) -> resources.Resource | None:
        """Returns a resource by kind and id."""
        ...

    def find(
        self, kind: str, fleet: str, name: str
    ) -> resources.Resource | None:
        """Returns a resource by its name in a fleet's namespace."""
        ...

    def all(self, kind: str) -> tuple[resources.Resource, ...]:
        """Returns all resources of a kind, ordered by id."""
        ...

    def group_of(self, instance: str) -> resources.ServingGroup | None:
        """Returns the live group that holds an instance."""
        ...

    def drained_zones(self) -> frozenset[str]:
        """Ids of zones that take no new work."""
        ...

    def retired_instances(self) -> frozenset[str]:
        """Ids of instances that take no new work."""
        ...


class CatalogueSource(Protocol):
    """Where the catalogue in force comes from."""

    @property
    def current(self) -> CatalogueView:
        """The catalogue in force."""
        ...

    def on_change(self, callback: Callable[[CatalogueView], None]) -> None:
        """Calls back after each new offset was applied."""
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Something that requests can be sent to.

    Attributes:
        id: Group id for a model service, address for a plain one.
        service: Id of the service.
        zone: Id of the zone.
        address: `host:port` of the member that takes requests (rank 0).
        epoch: Epoch of the group; 0 for a plain upstream.
        start_id: Joined process starts of the members; changes when any
            member restarts.
        cold_limit: Requests in flight that it can handle when cold.
        warm_limit: Requests in flight that it can handle when warm.
    """

    id: str
    service: str
    zone: str
    address: str
    epoch: int = 0
    start_id: str = ""
    cold_limit: int = 1
    warm_limit: int = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """Newest load of an upstream as far as this entry knows.

    Attributes:
        running: Requests in flight by the report.
        queued: Requests waiting by the report.
        served: Requests completed since its start.
        cold: Whether it says that it is cold.
        time_to_first_token_ms: Recent median; 0 if not known.
        time_per_token_ms: Recent median; 0 if not known.
        reported_at_ms: Local monotonic time that the figures are from.
        cache_sequence: Newest cache event number.
    """

    running: int = 0
    queued: int = 0
    served: int = 0
    cold: bool = True
    time_to_first_token_ms: float = 0.0
    time_per_token_ms: float = 0.0
    reported_at_ms: int = 0
    cache_sequence: int = 0


class EligibleUpstreams(Protocol):
    """Upstreams that may get new work at this moment."""

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Eligible upstreams of a service, in any order."""
        ...

    def load(self, upstream: str) -> UpstreamLoad | None:
        """Newest load of an upstream."""
        ...

    def suspect(self, upstream: str, reason: str) -> None:
        """Takes an upstream out at once and tells other entries."""
        ...

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Calls back with a service id when its upstreams change."""
        ...


class LogAppender(Protocol):
    """Appends records within the append budget."""

    async def append(
        self, stream: str, data: bytes, use: str, timeout_ms: int
    ) -> int:
        """Appends a record and returns its offset.

        Args:
            stream: Stream name.
            data: The record.
            use: `group`, `claim`, `operator`, `stage` or `checkpoint`; the
                budget sheds in a stated order of uses.
            timeout_ms: How long the whole call may take.

        Raises:
            PlatformUnavailableError: Nothing was appended.
            PlatformUnknownError: The record may yet be appended.
        """
        ...
