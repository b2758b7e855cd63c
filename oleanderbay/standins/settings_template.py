"""Fills in the template of a gateway's settings as the users' platform does."""

import re
from collections.abc import Mapping
from typing import Any

SECTION = re.compile(r"\{\{#(?P<name>[^}]+)\}\}(?P<text>.*?)\{\{/(?P=name)\}\}")
VALUE = re.compile(r"\{\{(?P<name>[^}]+)\}\}")


def render(template: str, values: Mapping[str, Any]) -> str:
    """Returns a template's text with the given values filled in.

    A section is left out without its value, and repeated for each item of a
    list.
    """

    def section(match: re.Match[str]) -> str:
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

    text = SECTION.sub(section, template)
    return VALUE.sub(lambda match: _text(_lookup(values, match["name"])), text)


def _lookup(values: Mapping[str, Any], name: str) -> Any:
    found: Any = values
    for key in name.split("."):
        if isinstance(found, list):
            found = found[int(key)] if int(key) < len(found) else None
        else:
            found = (found or {}).get(key)
    return found


def _text(value: Any) -> str:
    return "" if value is None else str(value)
