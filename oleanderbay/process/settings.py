"""The checked settings of one entry process."""

import dataclasses
import pathlib
from collections.abc import Iterator
from typing import Any, get_type_hints

from oleanderbay.process import checker, sections, settings_text

SettingsError = settings_text.SettingsError


def _port(default: Any = dataclasses.MISSING) -> Any:
    return sections.setting(default, low=0, high=65_535)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Who this entry is.

    Attributes:
        id: Unique id of the entry.
        zone: The platform's name of its availability zone.
    """

    id: str = sections.setting(empty=False)
    zone: str = sections.setting(empty=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallersSettings:
    """The listener for callers.

    Attributes:
        host: IP address to listen on.
        port: Port; 0 takes any free one.
        advertise: `host:port` that callers use; the listener's by default.
        max_header_bytes: Longest header line or field.
        max_body_bytes: Largest request body.
        keyed_body_bytes: Largest body of a request with an idempotency key;
            such a body is held in memory to compare repeated calls.
        buffer_bytes: Request and answer bodies up to this size are held in
            memory, so that an idempotent call can be tried again.
        address_ttl_ms: How long callers may keep an address answer.
        max_deadline_ms: Longest deadline that a caller may ask for.
    """

    host: str = sections.setting("127.0.0.1", empty=False)
    port: int = _port()
    advertise: str = ""
    max_header_bytes: int = sections.setting(16_384, low=1_024, high=1_048_576)
    max_body_bytes: int = sections.setting(16_777_216, low=1_024, high=1 << 34)
    keyed_body_bytes: int = sections.setting(1_048_576, low=1_024, high=1 << 26)
    buffer_bytes: int = sections.setting(65_536, low=0, high=1 << 24)
    address_ttl_ms: int = sections.milliseconds(5_000)
    max_deadline_ms: int = sections.milliseconds(600_000, high=86_400_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenerSettings:
    """A listener for peers, operators or administration.

    Attributes:
        host: IP address to listen on.
        port: Port; 0 takes any free one.
    """

    host: str = sections.setting("127.0.0.1", empty=False)
    port: int = _port()


Listener = CallersSettings | ListenerSettings


def with_port(listener: CallersSettings, port: int) -> CallersSettings:
    """Returns the settings with the port that is really used."""
    return dataclasses.replace(listener, port=port)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Where the platform's services are.

    Attributes:
        log: Base address of the log service.
        instances: Base address of the instance list.
        weights: Base address of the weight store; empty if there is none.
        instances_interval_ms: How often the list is read.
        appends_per_s: Appends that this entry may make a second.
        log_retention_ms: How long the log keeps records; checkpoints are
            written at half of it.
    """

    log: str = sections.setting(empty=False)
    instances: str = sections.setting(empty=False)
    weights: str = ""
    instances_interval_ms: int = sections.milliseconds(1_000)
    appends_per_s: int = sections.setting(50, low=1, high=1_000)
    log_retention_ms: int = sections.milliseconds(
        86_400_000, low=60_000, high=31_536_000_000
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """Connections to upstreams.

    Attributes:
        connect_timeout_ms: Time to establish a connection.
        first_byte_timeout_ms: Time to the answer's headers.
        stall_ms: Time without any event on a stream before a new
            connection is tried.
        idle_ms: Age at which an unused connection is closed.
        keepalive_ms: Time without data before the kernel probes the
            connection; it is closed after four times this.
        max_event_bytes: Largest event of a stream.
        max_response_bytes: Largest answer that is not streamed.
        max_attempts: Attempts of one request.
    """

    connect_timeout_ms: int = sections.milliseconds(1_000)
    first_byte_timeout_ms: int = sections.milliseconds(30_000)
    stall_ms: int = sections.milliseconds(5_000)
    idle_ms: int = sections.milliseconds(15_000)
    keepalive_ms: int = sections.milliseconds(2_000, low=1_000)
    max_event_bytes: int = sections.setting(262_144, low=1_024, high=1 << 24)
    max_response_bytes: int = sections.setting(
        8_388_608, low=1_024, high=1 << 30
    )
    max_attempts: int = sections.setting(4, low=1, high=16)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Queueing of requests.

    Attributes:
        max_queued: Requests that wait for one service at most.
        max_wait_ms: Longest time that a request waits.
    """

    max_queued: int = sections.setting(256, low=1, high=100_000)
    max_wait_ms: int = sections.milliseconds(5_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownSettings:
    """Graceful shutdown.

    Attributes:
        limit_ms: Time after which requests in progress are cut off; 0
            waits without a limit. Requests that come after a third of it
            are refused.
        second_signal: Whether a second signal is ignored or ends the
            process at once.
    """

    limit_ms: int = sections.milliseconds(120_000, low=0, high=86_400_000)
    second_signal: str = sections.setting("abort", choices=("abort", "ignore"))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TelemetrySettings(sections.TelemetrySettings):
    """Metrics and traces; an entry exposes metrics unless told otherwise."""

    metrics: str = sections.setting(
        "prometheus", choices=sections.METRICS_EXPORTERS
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of an entry."""

    entry: EntrySettings
    callers: CallersSettings
    peers: ListenerSettings
    operators: ListenerSettings
    admin: ListenerSettings
    platform: PlatformSettings
    upstreams: UpstreamSettings = UpstreamSettings()
    admission: AdmissionSettings = AdmissionSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
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
    return check(settings_text.parse(text), text)


def check(tree: Any, text: str = "") -> Settings:
    """Checks a settings tree as a whole.

    Args:
        tree: The parsed file.
        text: Its text, for line numbers.

    Raises:
        SettingsError: With every mistake of the tree.
    """
    check_run = checker.Checker(text)
    checked = check_run.section(Settings, tree, ())
    if checked is not None:
        _relations(checked, check_run)
    if check_run.mistakes:
        raise SettingsError(
            tuple(sorted(check_run.mistakes, key=lambda m: m.line))
        )
    assert isinstance(checked, Settings)
    return checked


def _relations(settings: Settings, check_run: checker.Checker) -> None:
    """Checks what no single value shows."""
    check_run.receiver(settings.telemetry)
    ports: dict[tuple[str, int], str] = {}
    for name in ("callers", "peers", "operators", "admin"):
        listener = getattr(settings, name)
        place = (listener.host, listener.port)
        if listener.port and place in ports:
            check_run.wrong(
                (name, "port"),
                listener.port,
                f"a port that {ports[place]} does not use is allowed",
            )
        ports[place] = name


def paths(kind: type = Settings, prefix: str = "") -> Iterator[str]:
    """Yields the dotted paths of all settings."""
    hints = get_type_hints(kind)
    for field in dataclasses.fields(kind):
        if dataclasses.is_dataclass(hints[field.name]):
            inner = hints[field.name]
            assert isinstance(inner, type)
            yield from paths(inner, f"{prefix}{field.name}.")
        else:
            yield f"{prefix}{field.name}"
