"""The template of a gateway's settings, with the values of a sample site."""

import json
import pathlib

from oleanderbay.standins import settings_template

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
    return settings_template.render(PATH.read_text(), values)
