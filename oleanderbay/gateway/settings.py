"""The checked settings of one gateway."""

import dataclasses
import pathlib

from oleanderbay.process import checker, sections, settings_text

SettingsError = settings_text.SettingsError
TelemetrySettings = sections.TelemetrySettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Who this gateway is.

    Attributes:
        id: Unique id.
        zone: Its availability zone.
        host: IP address that peers reach it at.
    """

    id: str = sections.setting(empty=False)
    zone: str = sections.setting(empty=False)
    host: str = sections.setting(empty=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenerSettings:
    """Addresses to listen on, each `host:port`.

    Attributes:
        callers: For callers' requests.
        readiness: For readiness, status and metrics.
        directory: For callers that ask where to connect; empty if this
            gateway does not answer them.
        directory_path: Path of the directory's answers.
    """

    callers: str = sections.setting(empty=False, address=True)
    readiness: str = sections.setting(empty=False, address=True)
    directory: str = sections.setting("", address=True)
    directory_path: str = "/directory"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Messages between gateways.

    Attributes:
        port: Port of all gateways, for UDP and TCP.
        seeds: Hosts of some gateways, with or without a port; they may be
            stale. A gateway that starts while the store is down gets the
            configuration and the workers' records from them.
        heartbeat_ms: Time between heartbeats, at least.
        max_heartbeats_per_s: Most heartbeats that this gateway sends a
            second; with more peers it sends them less often, down to one a
            second to each.
        live_ms: Time after which a silent peer is left out, at least.
        forget_ms: Time after which a silent peer no longer counts towards
            the shares of global limits.
        full_mesh_gateways: Up to this number of known gateways, each sends
            heartbeats to all others; above it, zones exchange summaries.
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
    """The shared metadata store.

    Attributes:
        address: `host:port` of the store.
        partitions: Partitions of a topic.
        timeout_ms: Time for one call, without the wait of a read.
        wait_ms: How long a read of the configuration waits there.
        worker_interval_ms: Time between reads of the workers' records.
        reader_silence_ms: Age of the zone's reader's last answer from the
            store at which a gateway reads the workers' records itself; it
            should exceed `worker_interval_ms` by some reads. With 0 each
            gateway always reads for itself.
        ownership_ttl_ms: Time after which a silent owner loses its domains.
            Together with one join interval it is below 2 s, in which domains
            have to be taken over.
        join_interval_ms: Time between confirmations of ownership.
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
        connect_timeout_ms: Time to establish a connection.
        order_timeout_ms: Time for the answer to an order.
        stall_ms: Time after which a group with a lost member is broken.
        heartbeat_ms: Time between two records of a worker.
        max_answer_bytes: Largest answer that is held in memory.
        max_event_bytes: Largest event of a stream.
        idle_ms: Longest time that an idle connection to a worker is reused
            if the worker states no time; 0 opens a connection for each
            request.
        idle_margin_ms: Subtracted from the time that a worker states.
        idle_per_worker: Idle connections to one worker from all gateways
            together; with more gateways than that none are kept.
        idle_in_all: Idle connections of this gateway.
    """

    connect_timeout_ms: int = sections.milliseconds(250)
    order_timeout_ms: int = sections.milliseconds(600)
    stall_ms: int = sections.milliseconds(6_000)
    heartbeat_ms: int = sections.milliseconds(1_200)
    max_answer_bytes: int = sections.setting(8_388_608, low=1_024, high=1 << 30)
    max_event_bytes: int = sections.setting(262_144, low=256, high=1 << 24)
    idle_ms: int = sections.milliseconds(1_000, low=0)
    idle_margin_ms: int = sections.milliseconds(500, low=0)
    idle_per_worker: int = sections.setting(32, low=0, high=100_000)
    idle_in_all: int = sections.setting(128, low=0, high=100_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Limits that all gateways keep together.

    Attributes:
        retry_ratio: Repeats as a share of requests.
        retry_extra: Repeats in addition, in one window.
        retry_window_ms: The window in which repeats are counted.
        load_window_ms: The window in which loads are counted.
    """

    retry_ratio: float = sections.setting(0.2, low=0.0, high=10.0)
    retry_extra: int = sections.setting(10, low=0, high=1_000_000)
    retry_window_ms: int = sections.milliseconds(10_000)
    load_window_ms: int = sections.milliseconds(5_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopSettings:
    """Graceful shutdown.

    Attributes:
        grace_ms: Time from the signal to the end of the process.
        directory_ttl_ms: How long callers may keep a directory answer.
        kept_factor: How many times that some callers keep it.
    """

    grace_ms: int = sections.milliseconds(8_000)
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
    """Reads and checks a settings file.

    Raises:
        SettingsError: The file can't be read or holds mistakes.
    """
    return parse(settings_text.read(path))


def parse(text: str) -> Settings:
    """Checks the text of a settings file.

    Raises:
        SettingsError: With every mistake of the text.
    """
    check_run = checker.Checker(text)
    checked = check_run.section(Settings, settings_text.parse(text), ())
    if checked is not None:
        check_run.receiver(checked.telemetry)
    if check_run.mistakes:
        raise SettingsError(tuple(check_run.mistakes))
    assert isinstance(checked, Settings)
    return checked


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
