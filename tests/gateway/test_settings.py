"""Tests of the settings: a mistake ends the start with a one-line error."""

import dataclasses
import json
import typing

import pytest

from oleanderbay.cli import codes, main
from oleanderbay.gateway import settings
from tests.gateway import parts

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


@pytest.mark.parametrize("text", ["", "{", "[" * 5_000, "{a: 1, a: 2}"])
def test_an_invalid_settings_file_is_rejected(text, tmp_path, capsys):
    """The start must end with an error message rather than a traceback."""
    path = tmp_path / "gateway.json5"
    path.write_text(text)
    assert main.main(["gateway", "--settings", str(path)]) == codes.EXIT_USAGE
    assert len(capsys.readouterr().err.splitlines()) == 1
