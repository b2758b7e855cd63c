"""Tests that only the adapter refers to the platform's wire protocol."""

import ast
import pathlib
import re
from collections.abc import Iterator

import pytest

import oleanderbay
from oleanderbay.platform import names

ROOT = pathlib.Path(oleanderbay.__file__).parent
ADAPTER = ROOT / "platform"
# Names from the adapter that other modules may use as well: common words of the
# gateway and standard header names.
ALLOWED_ELSEWHERE = frozenset(
    (
        "/readyz",
        "Last-Event-Id",
        "X-Request-Id",
        "cold_per_s",
        "end_offset",
        "form_ms",
        "header_timeout_ms",
        "health_path",
        "idle_timeout_ms",
        "in_flight",
        "kv_capacity_tokens",
        "loads_at_once",
        "loads_per_s",
        "max_attempts",
        "max_body_bytes",
        "max_connections",
        "max_header_bytes",
        "non_idempotent",
        "path_prefix",
        "step_ms",
        "timeout_ms",
        "ttl_ms",
        "wait_ms",
    )
)
# Names of the protocol that COMPOUND does not match.
ADDITIONAL_NAMES = frozenset(("close_mode", "cutover", "tenants"))
# The adapter is specific to one platform and is replaced together with it, so
# it must contain nothing but conversions.
MAX_ADAPTER_LINES = 1_500
COMPOUND = re.compile(r"/[\w./-]+|X-[\w-]+|[a-z0-9]+(_[a-z0-9]+)+")


def _wire_names() -> frozenset[str]:
    constants = {
        value
        for name, value in vars(names).items()
        if name.isupper() and not value.isalpha()
    }
    for path in ADAPTER.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            value = node.value if isinstance(node, ast.Constant) else None
            if isinstance(value, str) and COMPOUND.fullmatch(value):
                constants.add(value)
    return frozenset(constants - ALLOWED_ELSEWHERE | ADDITIONAL_NAMES)


def _names_in(text: str, wire_names: frozenset[str]) -> Iterator[str]:
    for name in wire_names:
        # A name that is part of a longer path or word does not count.
        before = r"(?<![a-z_])" if name.startswith("/") else r"(?<![\w-])"
        after = r"(?![\w-])" if name[-1].isalnum() else ""
        if re.search(before + re.escape(name) + after, text, re.IGNORECASE):
            yield name


def test_only_the_adapter_uses_names_of_the_platform():
    """Otherwise several modules would have to change with the platform."""
    wire_names = _wire_names()
    for path in sorted(ROOT.rglob("*.py")):
        package = path.relative_to(ROOT).parts[0]
        if package not in ("platform", "standins"):
            used = sorted(_names_in(path.read_text(), wire_names))
            assert not used, (
                f"{path.relative_to(ROOT)}: {used}; use the gateway's own "
                "names, or add common words to ALLOWED_ELSEWHERE"
            )


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('headers["x-expect-instance"] = worker.id', ["X-Expect-Instance"]),
        ('get(f"http://{worker.address}/report")', ["/report"]),
        ('get("http://127.0.0.1:8000/log-join")', ["/log-join"]),
        ('key = "evacuate/zone-a"', ["evacuate/"]),
        ('topic = "keyed.servers"', ["keyed.servers"]),
        ('body["queue_depth"], body["tenants"]', ["queue_depth", "tenants"]),
        ('operation(close_mode="cutover")', ["close_mode", "cutover"]),
        ('get("/control/report"), zone, slots, "X-Request-Id"', []),
    ],
)
def test_the_check_finds_names_of_the_platform(text, expected):
    """The check must not pass because it never matches anything."""
    assert sorted(_names_in(text, _wire_names())) == expected


def test_the_adapter_stays_small():
    """A growing adapter suggests that it takes decisions of the gateway."""
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.rglob("*.py")
    )
    assert 0 < lines <= MAX_ADAPTER_LINES
