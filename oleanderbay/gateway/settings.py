"""Settings of a gateway: their sections, defaults and validation."""

import dataclasses
import pathlib

from oleanderbay.process import checker, sections, settings_text

SettingsError = settings_text.SettingsError
TelemetrySettings = sections.TelemetrySettings
# Ids of gateways are keys of the store, which states their length in a byte.
MAX_ID_BYTES = 255


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Identity of this gateway.

    Attributes:
        id: Id that is unique among the gateways.
        zone: Its availability zone.
        host: IP address at which peers reach it.
    """

    id: str = sections.setting(empty=False, max_bytes=MAX_ID_BYTES)
    zone: str = sections.setting(empty=False)
    host: str = sections.setting(empty=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenerSettings:
    """Addresses to listen on, each `host:port`.

    Attributes:
        callers: Address for callers' requests.
        readiness: Address for readiness, status and metrics.
        directory: Address of the directory, which tells callers where to
            connect; empty if this gateway serves none.
        directory_path: Path of the directory.
    """

    callers: str = sections.setting(empty=False, address=True)
    readiness: str = sections.setting(empty=False, address=True)
    directory: str = sections.setting("", address=True)
    directory_path: str = "/directory"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Communication between gateways.

    Attributes:
        port: UDP and TCP port, the same for all gateways.
        seeds: Hosts of some gateways, with or without a port; entries may be
            outdated. A gateway that starts while the store is unavailable
            gets the configuration and the workers' records from them.
        heartbeat_ms: Minimum interval between heartbeats.
        max_heartbeats_per_s: Maximum number of heartbeats that this gateway
            sends per second. With more peers the interval grows, up to one
            second.
        live_ms: Minimum time without a heartbeat after which a peer is no
            longer considered live.
        forget_ms: Time without a heartbeat after which a peer no longer
            counts towards the shares of global limits.
        full_mesh_gateways: Maximum number of known gateways for which each
            sends heartbeats to all others; with more, zones exchange
            summaries.
    """

    port: int = sections.setting(low=1, high=65_535)
    seeds: tuple[str, ...] = ()
    heartbeat_ms: int = sections.milliseconds(200)
    max_heartbeats_per_s: int = sections.setting(200, low=1, high=100_000)
    live_ms: int = sections.milliseconds(1_500)
    forget_ms: int = sections.milliseconds(6_000)
    full_mesh_gateways: int = sections.setting(8, low=1, high=100_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """Access to the shared metadata store.

    Attributes:
        address: `host:port` of the store.
        partitions: Number of partitions of a topic.
        timeout_ms: Longest time without a byte of the store's response; a
            waiting read adds `wait_ms` to that of the first.
        wait_ms: Time that a read of the configuration waits at the store for
            new records.
        worker_interval_ms: Interval between reads of the workers' records.
        reader_silence_ms: Age of the last store response of the zone's reader
            at which a gateway reads the workers' records itself. It should
            exceed `worker_interval_ms` by the time of several reads. With 0,
            each gateway always reads for itself.
        ownership_ttl_ms: Time without a confirmation after which an owner
            loses its domains. Together with `join_interval_ms` it is below
            2 s, the time within which domains must be taken over.
        join_interval_ms: Interval between confirmations of ownership.
    """

    address: str = sections.setting(empty=False, address=True)
    partitions: int = sections.setting(1, low=1, high=10_000)
    timeout_ms: int = sections.milliseconds(500)
    wait_ms: int = sections.milliseconds(2_000, low=0)
    worker_interval_ms: int = sections.milliseconds(500)
    reader_silence_ms: int = sections.milliseconds(800, low=0)
    ownership_ttl_ms: int = sections.milliseconds(1_400)
    join_interval_ms: int = sections.milliseconds(500)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerSettings:
    """Connections and orders to workers.

    Attributes:
        connect_timeout_ms: Timeout for establishing a connection.
        order_timeout_ms: Timeout of an order.
        stall_ms: Time after which a group with a lost member breaks.
        heartbeat_ms: Interval between a worker's records.
        max_answer_bytes: Maximum size of a response that is buffered.
        max_event_bytes: Maximum size of an event of a stream.
        idle_ms: Time for which an idle connection is reused if the worker
            states no keep-alive timeout; 0 disables reuse.
        idle_margin_ms: Safety margin that is subtracted from the worker's
            keep-alive timeout.
        idle_per_worker: Maximum number of idle connections to a worker, over
            all gateways. If there are more gateways than that, none are kept.
        idle_in_all: Maximum number of idle connections of this gateway.
    """

    connect_timeout_ms: int = sections.milliseconds(250)
    order_timeout_ms: int = sections.milliseconds(600)
    stall_ms: int = sections.milliseconds(6_000, low=0, rounds=True)
    heartbeat_ms: int = sections.milliseconds(1_200, low=0, rounds=True)
    max_answer_bytes: int = sections.setting(8_388_608, low=1_024, high=1 << 30)
    max_event_bytes: int = sections.setting(262_144, low=256, high=1 << 24)
    idle_ms: int = sections.milliseconds(1_000, low=0)
    idle_margin_ms: int = sections.milliseconds(500, low=0)
    idle_per_worker: int = sections.setting(32, low=0, high=100_000)
    idle_in_all: int = sections.setting(128, low=0, high=100_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Limits that apply to all gateways together.

    Attributes:
        retry_ratio: Maximum number of retries as a ratio of requests.
        retry_extra: Number of retries per window that are allowed in
            addition to the ratio.
        retry_window_ms: Length of the window in which retries are counted.
        load_window_ms: Length of the window in which model loads are counted.
        quarantine_ms: Time for which requests with a part of a prompt that
            crashes workers are refused.
    """

    retry_ratio: float = sections.setting(0.2, low=0.0, high=1_000_000.0)
    retry_extra: float = sections.setting(10.0, low=0.0, high=1_000_000_000.0)
    retry_window_ms: int = sections.milliseconds(10_000, low=0, rounds=True)
    load_window_ms: int = sections.milliseconds(5_000, low=0, rounds=True)
    quarantine_ms: int = sections.milliseconds(600_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopSettings:
    """Graceful shutdown.

    Attributes:
        grace_ms: Maximum time from the signal to the end of the process.
        directory_ttl_ms: Time for which callers may cache a directory
            response.
        kept_factor: Factor by which some callers exceed that time.
    """

    grace_ms: int = sections.milliseconds(8_000, low=0, rounds=True)
    directory_ttl_ms: int = sections.milliseconds(1_000)
    kept_factor: int = sections.setting(3, low=1, high=10)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a gateway."""

    entry: EntrySettings
    listeners: ListenerSettings
    peers: PeerSettings
    store: StoreSettings
    workers: WorkerSettings = WorkerSettings()
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
    telemetry: sections.TelemetrySettings = sections.TelemetrySettings()
    logging: sections.LoggingSettings = sections.LoggingSettings()


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file can't be read or is invalid.
    """
    return parse(settings_text.read(path))


def parse(text: str) -> Settings:
    """Parses and validates the text of a settings file.

    Raises:
        SettingsError: The text is invalid; the error lists every mistake.
    """
    validator = checker.Checker(text)
    checked = validator.section(Settings, settings_text.parse(text), ())
    if checked is not None:
        validator.receiver(checked.telemetry)
    if validator.mistakes:
        raise SettingsError(tuple(validator.mistakes))
    assert isinstance(checked, Settings)
    return checked


def split_address(address: str) -> tuple[str, int]:
    """Splits an address `host:port` into its host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
