"""Tests of the settings: a mistake ends the start with a one-line error."""

import dataclasses
import json
import typing

import pytest

from oleanderbay.cli import codes, main
from oleanderbay.gateway import settings
from oleanderbay.platform import store
from tests.gateway import parts, template

TREE = json.loads(json.dumps(dataclasses.asdict(parts.SETTINGS)))
SECTIONS = typing.get_type_hints(settings.Settings)
MANDATORY = [
    (section, field.name)
    for section, kind in SECTIONS.items()
    for field in dataclasses.fields(kind)
    if field.default is dataclasses.MISSING
]


def test_the_settings_round_trip():
    """Guards against a field that the parser does not support."""
    assert settings.parse(json.dumps(TREE)) == parts.SETTINGS


@pytest.mark.parametrize(
    ("section", "field"),
    [*MANDATORY, *((name, "unknown") for name in SECTIONS)],
)
def test_a_missing_or_unknown_setting_is_named(
    section, field, tmp_path, capsys
):
    """The error must name the setting that prevented the start."""
    tree = json.loads(json.dumps(TREE))
    if tree[section].pop(field, None) is None:
        tree[section][field] = 1
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(tree))
    code = main.main(["gateway", "--settings", str(path)])
    (line,) = capsys.readouterr().err.splitlines()
    assert code == codes.EXIT_USAGE and f"{section}.{field}" in line


@pytest.mark.parametrize("section", SECTIONS)
def test_a_section_that_is_not_an_object_is_named(section):
    """The start must end with an error message rather than a traceback."""
    with pytest.raises(settings.SettingsError, match=section):
        settings.parse(json.dumps({**TREE, section: 3}))


@pytest.mark.parametrize(
    "gateway_id", ["g" * 256, "ä" * 128, "\ud800", "g\udfff"]
)
def test_an_id_that_the_store_can_not_hold_is_rejected(
    gateway_id, tmp_path, capsys
):
    """A gateway with it started, and its addresses were never exchanged."""
    tree = json.loads(json.dumps(TREE))
    path = tmp_path / "gateway.json5"
    tree["entry"]["id"] = "ä" * 127 + "g"
    assert settings.parse(json.dumps(tree)).entry.id == tree["entry"]["id"]
    tree["entry"]["id"] = gateway_id
    with pytest.raises(settings.SettingsError):
        settings.parse(json.dumps(tree))
    path.write_text(json.dumps(tree))
    code = main.main(["gateway", "--settings", str(path)])
    (line,) = capsys.readouterr().err.splitlines()
    assert code == codes.EXIT_USAGE
    assert "entry.id" in line and "255 bytes" in line


def test_ids_are_limited_by_the_keys_of_the_store():
    assert settings.MAX_ID_BYTES == store.MAX_KEY_BYTES


@pytest.mark.parametrize("text", ["", "{", "[" * 5_000, "{a: 1, a: 2}"])
def test_an_invalid_settings_file_is_rejected(text, tmp_path, capsys):
    """The start must end with an error message rather than a traceback."""
    path = tmp_path / "gateway.json5"
    path.write_text(text)
    assert main.main(["gateway", "--settings", str(path)]) == codes.EXIT_USAGE
    assert len(capsys.readouterr().err.splitlines()) == 1


def _read(values):
    return settings.parse(template.render(values))


def test_the_template_of_the_platform_is_filled_in():
    """Guards against a placeholder whose value is not taken over."""
    filled = _read(template.VALUES)
    assert filled.store.partitions == 24
    assert filled.workers.heartbeat_ms == 1_200
    assert filled.workers.stall_ms == 6_000
    assert filled.limits.retry_ratio == 0.2
    assert filled.limits.retry_extra == 105
    assert filled.limits.retry_window_ms == 10_000
    assert filled.limits.load_window_ms == 5_000
    assert filled.stop.grace_ms == 8_000
    assert filled.peers.seeds == tuple(template.VALUES["seeds"])


@pytest.mark.parametrize(
    ("path", "section", "field", "factor"),
    [
        ("heartbeat_ms", "workers", "heartbeat_ms", 1),
        ("bounds.stall_ms", "workers", "stall_ms", 1),
        ("bounds.retry_budget_ratio", "limits", "retry_ratio", 1),
        ("bounds.budget_extra", "limits", "retry_extra", 1),
        ("bounds.budget_window_s", "limits", "retry_window_ms", 1_000),
        ("bounds.ceiling_window_s", "limits", "load_window_ms", 1_000),
        ("bounds.grace_s", "stop", "grace_ms", 1_000),
    ],
)
@pytest.mark.parametrize("value", [0, 0.0, 7, 7.0, 39.33, 1_800, None])
def test_a_gateway_starts_with_any_number_of_the_platform(
    path, section, field, factor, value
):
    """No gateway of a small deployment that stated 39.33 retries started.

    Times are whole milliseconds, so a fraction of one is rounded.
    """
    found = getattr(
        getattr(_read(template.changed(path, value)), section), field
    )
    default = getattr(getattr(parts.SETTINGS, section), field)
    if value is None:
        assert found == default
    elif field.endswith("_ms"):
        assert found == round(value * factor) and isinstance(found, int)
    else:
        assert found == value


@pytest.mark.parametrize("value", [1, 48, 48.0, 4_096])
def test_a_whole_number_may_be_written_as_a_fraction(value):
    """JSON does not tell 48 and 48.0 apart."""
    partitions = _read(template.changed("platform.parts", value)).store
    assert partitions.partitions == value
    assert isinstance(partitions.partitions, int)


@pytest.mark.parametrize(
    "path", ["seeds", "listen.directory", "platform.parts"]
)
def test_a_gateway_starts_without_an_optional_value(path):
    """A gateway may be the first of its site, or serve no directory."""
    assert _read(template.changed(path, None))


@pytest.mark.parametrize(
    ("path", "named"),
    [
        ("node", "entry.id"),
        ("zone", "entry.zone"),
        ("ip", "entry.host"),
        ("listen.front", "listeners.callers"),
        ("listen.ready", "listeners.readiness"),
        ("internal_ports", "peers.port"),
        ("platform.address", "store.address"),
    ],
)
def test_a_mandatory_value_that_is_missing_is_named(path, named):
    """The error must name the setting rather than a position in the text."""
    with pytest.raises(settings.SettingsError, match=named):
        _read(template.changed(path, None))


@pytest.mark.parametrize("value", [-1, "x", True, 1.5])
def test_a_number_of_partitions_that_makes_no_sense_is_rejected(value):
    """Guards against rounding what is no time."""
    text = template.render(template.changed("platform.parts", value)).replace(
        "True", "true"
    )
    with pytest.raises(settings.SettingsError):
        settings.parse(text)
