"""Tests of `oleanderbay check`."""

import json
import pathlib

import json5
import pytest

from oleanderbay.cli import main
from oleanderbay.gateway import settings

GATEWAY = pathlib.Path("examples/settings/gateway.json5")


def test_valid_files_pass():
    """The examples are what operators copy."""
    assert main.main(["check", "examples/settings/entry.json5"]) == 0
    assert main.main(["check", str(GATEWAY)]) == 0
    assert main.main(["check", "examples/declarations/cedar-shelf"]) == 0


def test_every_mistake_is_printed_with_its_place(tmp_path, capsys):
    """Scripts read the output as JSON and people read the errors."""
    file = tmp_path / "entry.json5"
    file.write_text('{\n  entry: { id: "", zome: "z" },\n}')
    assert main.main(["check", str(file), "--output", "json"]) == 1
    answer = json.loads(capsys.readouterr().out)
    assert answer["valid"] is False
    paths = [mistake["path"] for mistake in answer["mistakes"]]
    assert {"entry.id", "entry.zome", "entry.zone", "callers"} <= set(paths)
    assert main.main(["check", str(file)]) == 1
    errors = capsys.readouterr().err
    assert "line 2: entry.zome" in errors and "did you mean 'zone'" in errors


def test_the_gateway_example_shows_every_setting_with_its_default():
    """A setting without an example is found only in the source."""
    shown = json5.loads(GATEWAY.read_text())
    loaded = settings.load(GATEWAY)
    for section, values in shown.items():
        made = getattr(loaded, section)
        assert set(values) == set(type(made).__dataclass_fields__)
        for name, field in type(made).__dataclass_fields__.items():
            if section not in ("entry", "listeners", "peers", "store"):
                assert getattr(made, name) == field.default


@pytest.mark.parametrize(
    ("old", "new", "path", "found", "allowed"),
    [
        ("grace_ms:", "grace:", "stop.grace", "an unknown key", "'grace_ms'"),
        ("limits: {", "limit: {", "limit", "an unknown key", "'limits'"),
        ('id: "gateway-1",', "", "entry.id", "nothing", "value is required"),
        ("port: 8093", "port: 0", "peers.port", "0", "from 1 to 65535"),
        ('"info"', '"loud"', "logging.level", "'loud'", "'debug', 'info'"),
        (
            'traces: "none"',
            'traces: "otlp"',
            "telemetry.otlp_endpoint",
            "''",
            "an address is required",
        ),
        ("seeds: []", "seeds: 1", "peers.seeds", "1", "a list is allowed"),
        (
            "127.0.0.1:9003",
            "http://store",
            "store.address",
            "'http://store'",
            "host:port",
        ),
    ],
)
def test_each_mistake_in_gateway_settings_is_one_line(
    tmp_path, capsys, old, new, path, found, allowed
):
    """A gateway's mistakes were checked against an entry's settings."""
    text = GATEWAY.read_text()
    assert text.count(old) == 1
    file = tmp_path / "gateway.json5"
    file.write_text(text.replace(old, new))
    assert main.main(["check", str(file)]) == 1
    (line,) = capsys.readouterr().err.splitlines()
    assert f" {path}: found {found}; " in line and allowed in line


def test_serve_refuses_invalid_settings_as_wrong_usage(tmp_path, capsys):
    """An entry must not start with half of its settings."""
    file = tmp_path / "entry.json5"
    file.write_text("{")
    assert main.main(["serve", "--settings", str(file)]) == 2
    assert "JSON with comments" in capsys.readouterr().err


def test_every_command_is_found_by_its_own_name():
    """Only the module of the named command is imported."""
    for names in main.FAMILIES.values():
        for name in names:
            try:
                main.main([name, "--help"])
            except SystemExit as end:
                assert end.code == 0
