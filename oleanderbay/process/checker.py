"""Checks a tree of settings against frozen data classes."""

import dataclasses
import difflib
import math
import re
from collections.abc import Mapping
from typing import Any, get_args, get_origin, get_type_hints


@dataclasses.dataclass(frozen=True, slots=True)
class Mistake:
    """One mistake in a settings file.

    Attributes:
        path: Dotted path of the setting.
        line: Line in the file, from 1; 0 where it is not known.
        found: What the file says, shortened.
        allowed: What would be accepted.
    """

    path: str
    line: int
    found: str
    allowed: str

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.path}: found {self.found}; {self.allowed}"


class Checker:
    """Collects the mistakes of one settings tree."""

    def __init__(self, text: str) -> None:
        self.text = _blank_comments(text)
        self.mistakes: list[Mistake] = []

    def wrong(self, path: tuple[str, ...], found: Any, allowed: str) -> None:
        """Notes a mistake."""
        shown = found if isinstance(found, _Shown) else _shorten(repr(found))
        self.mistakes.append(
            Mistake(
                ".".join(path) or "(file)", self._line(path), shown, allowed
            )
        )

    def section(self, kind: type, tree: Any, path: tuple[str, ...]) -> Any:
        """Returns a data class made from an object; None after mistakes."""
        if not isinstance(tree, Mapping):
            self.wrong(path, tree, "an object is allowed")
            return None
        hints = get_type_hints(kind)
        fields = {f.name: f for f in dataclasses.fields(kind)}
        before = len(self.mistakes)
        for key in tree:
            if key not in fields:
                near = difflib.get_close_matches(str(key), fields, 1, 0.5)
                hint = f"did you mean {near[0]!r}? " if near else ""
                self.wrong(
                    (*path, str(key)),
                    _Shown("an unknown key"),
                    f"{hint}known keys: {', '.join(fields)}",
                )
        values = {}
        for name, field in fields.items():
            inner = (*path, name)
            if name not in tree:
                if field.default is dataclasses.MISSING:
                    self.wrong(inner, _Shown("nothing"), "a value is required")
            elif dataclasses.is_dataclass(hints[name]):
                values[name] = self.section(hints[name], tree[name], inner)
            else:
                values[name] = self.value(
                    hints[name], field.metadata, tree[name], inner
                )
        return kind(**values) if len(self.mistakes) == before else None

    def value(
        self,
        kind: Any,
        limits: Mapping[str, Any],
        found: Any,
        path: tuple[str, ...],
    ) -> Any:
        """Returns a checked value."""
        if get_origin(kind) is tuple:
            if not isinstance(found, list):
                self.wrong(path, found, "a list is allowed")
                return None
            inner = get_args(kind)[0]
            return tuple(
                self.value(inner, limits, item, (*path, str(index)))
                for index, item in enumerate(found)
            )
        if kind is bool:
            if not isinstance(found, bool):
                self.wrong(path, found, "true or false is allowed")
        elif kind is str:
            self._string(limits, found, path)
        elif kind in (int, float):
            return self._number(kind, limits, found, path)
        return found

    def receiver(self, telemetry: Any) -> None:
        """Checks that an OTLP exporter has a receiver."""
        if (
            "otlp" in (telemetry.metrics, telemetry.traces)
            and not telemetry.otlp_endpoint
        ):
            self.wrong(
                ("telemetry", "otlp_endpoint"),
                telemetry.otlp_endpoint,
                "an address is required by the otlp exporter",
            )

    def _string(
        self, limits: Mapping[str, Any], found: Any, path: tuple[str, ...]
    ) -> None:
        choices = limits.get("choices")
        if choices and found not in choices:
            allowed = ", ".join(repr(choice) for choice in choices)
            self.wrong(path, found, f"one of {allowed} is allowed")
        elif not isinstance(found, str):
            self.wrong(path, found, "a string is allowed")
        elif not found and not limits.get("empty", True):
            self.wrong(path, found, "a non-empty string is allowed")
        elif not fits(found, limits.get("max_bytes")):
            self.wrong(
                path,
                found,
                f"a text of at most {limits['max_bytes']} bytes in UTF-8 is "
                "allowed",
            )
        elif found and limits.get("address") and not is_address(found):
            self.wrong(
                path, found, "host:port with a port from 0 to 65535 is allowed"
            )

    def _number(
        self,
        kind: type,
        limits: Mapping[str, Any],
        found: Any,
        path: tuple[str, ...],
    ) -> Any:
        low, high = limits.get("low"), limits.get("high")
        noun = "an integer" if kind is int else "a number"
        if (
            kind is int
            and isinstance(found, float)
            and math.isfinite(found)
            and (limits.get("rounds") or found.is_integer())
        ):
            found = round(found)
        if (
            not isinstance(found, int if kind is int else (int, float))
            or isinstance(found, bool)
            or not math.isfinite(found)
            or found < (-math.inf if low is None else low)
            or found > (math.inf if high is None else high)
        ):
            self.wrong(path, found, f"{noun} from {low} to {high} is allowed")
        return found

    def _line(self, path: tuple[str, ...]) -> int:
        # The parser gives no positions, so the keys of the path are looked
        # up in the text one after the other. A missing key is reported at
        # the line of the section that it belongs to.
        position, line = 0, 0
        for key in path:
            found = re.compile(
                rf"""(?<![\w$])["']?{re.escape(key)}["']?\s*:"""
            ).search(self.text, position)
            if not found:
                break
            position = found.end()
            line = self.text.count("\n", 0, found.start()) + 1
        return line


def fits(text: str, max_bytes: int | None) -> bool:
    """Whether a text has at most a number of bytes in UTF-8; None for any."""
    if max_bytes is None:
        return True
    try:
        return len(text.encode()) <= max_bytes
    except UnicodeEncodeError:
        # JSON strings may contain lone surrogates.
        return False


def is_address(text: str) -> bool:
    """Whether a text is `host:port`."""
    host, _, port = text.rpartition(":")
    return (
        bool(host)
        and re.fullmatch(r"[0-9]{1,5}", port) is not None
        and (int(port) <= 65_535)
    )


class _Shown(str):
    """Text about what was found, as opposed to the value itself."""


def _shorten(text: str) -> str:
    return text if len(text) <= 80 else text[:77] + "..."


def _blank_comments(text: str) -> str:
    """Replaces comments and contents of string values by blanks."""

    def blank(match: re.Match[str]) -> str:
        found = match[0]
        if found[0] in "\"'" and len(found) < 64:
            return found
        return re.sub(r"[^\n]", " ", found)

    pattern = r"""/\*.*?\*/|//[^\n]*|"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*'"""
    return re.sub(pattern, blank, text, flags=re.DOTALL)
