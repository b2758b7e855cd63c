"""Fills in the template of a gateway's settings as the users' platform does."""

import json
import pathlib
import re

PATH = pathlib.Path(__file__).parents[2] / "deploy" / "gateway.json5"
# The values that the platform provides, as its pages show them.
VALUES = {
    "node": "edge-z1-1",
    "zone": "z1",
    "ip": "127.0.0.1",
    "listen": {
        "front": "127.0.0.1:8227",
        "ready": "127.0.0.1:8220",
        "directory": "127.0.0.1:8224",
    },
    "internal_ports": [7340, 7355],
    "seeds": ["127.0.0.1:8229", "127.0.0.2:8229"],
    "platform": {"address": "127.0.0.1:8223", "parts": 24},
    "heartbeat_ms": 1200,
    "bounds": {
        "stall_ms": 6000,
        "retry_budget_ratio": 0.2,
        "budget_extra": 105,
        "budget_window_s": 10,
        "ceiling_window_s": 5,
        "grace_s": 8,
    },
}
SECTION = re.compile(r"\{\{#(?P<name>[^}]+)\}\}(?P<text>.*?)\{\{/(?P=name)\}\}")
VALUE = re.compile(r"\{\{(?P<name>[^}]+)\}\}")


def changed(path, value):
    """Returns `VALUES` with one value replaced; None removes it."""
    values = json.loads(json.dumps(VALUES))
    *sections, name = path.split(".")
    section = values
    for key in sections:
        section = section[key]
    if value is None:
        del section[name]
    else:
        section[name] = value
    return values


def render(values):
    """Returns the settings text for the given values."""

    def section(match):
        found = _lookup(values, match["name"])
        if found is None or found is False:
            return ""
        if not isinstance(found, list):
            return match["text"].replace("{{.}}", _text(found))
        return "".join(
            match["text"]
            .replace("{{.}}", _text(item))
            .replace("{{,}}", "," if number < len(found) else "")
            for number, item in enumerate(found, 1)
        )

    text = SECTION.sub(section, PATH.read_text())
    return VALUE.sub(lambda match: _text(_lookup(values, match["name"])), text)


def _lookup(values, name):
    found = values
    for key in name.split("."):
        if isinstance(found, list):
            found = found[int(key)] if int(key) < len(found) else None
        else:
            found = (found or {}).get(key)
    return found


def _text(value):
    return "" if value is None else str(value)
