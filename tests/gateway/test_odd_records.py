"""Tests that records of workers that are accepted can be used."""

import json

import hypothesis
import msgpack
import multidict
import pytest
from hypothesis import strategies

from oleanderbay.connection import frames
from oleanderbay.gateway import interfaces, state, tunnels
from oleanderbay.platform import http_headers, records
from oleanderbay.process import clock as clocks
from tests import worker_entries
from tests.gateway import parts

RECORD = worker_entries.GROUPED
ODD_NUMBERS = (-1, 2**63, 10**30, 10**400, 1e300, float("inf"), float("nan"))
NESTED = json.loads("[" * 900 + "]" * 900)
ODD_TEXTS = ("", "a\nb", "\ud800", "x" * 100_000, "1.2.3.4:99999", "h/p:80")
ODD_VALUES = (*ODD_NUMBERS, *ODD_TEXTS, NESTED, None, True, {}, [[]])


def use(key, record):
    """Takes a record through everything that uses it; ignores a refused one."""
    decoder = records.JsonDecoder()
    value = json.dumps(record).encode()
    decoded = decoder.worker(key, value)
    if isinstance(decoded, str):
        return
    gateway = parts.GatewayParts()
    gateway.state.decoder = decoder
    mate = {**RECORD, "group": {**RECORD["group"], "rank": 1}}
    plain = {**RECORD, "service": "plain", "group": None}
    for offset, (other_key, other) in enumerate(
        ((key, record), ("mate", mate), ("plain", plain))
    ):
        gateway.state.apply_worker(
            interfaces.KeyedRecord(
                10 + offset, other_key, json.dumps(other).encode()
            )
        )
    gateway.state.apply_worker(interfaces.KeyedRecord(20, key, value))
    gateway.worker_health.suspect(key)
    for service, model in (
        (parts.MODEL_SERVICE, "small"),
        (parts.PLAIN_SERVICE, ""),
    ):
        gateway.selector.availability(service, model)
        for _ in range(2):
            gateway.selector.select(service, model, ())
            gateway.worker_health.forget_own()
    gateway.worker_health.lost[key] = decoded.started_ms
    gateway.worker_health.update_peer(
        "p", **renamed(gateway.worker_health.report())
    )
    packed = msgpack.packb(gateway.worker_health.report())
    assert msgpack.unpackb(packed)["lost"] == {key: decoded.started_ms}
    frames.encode(tunnels.TUNNEL, 1, [decoded.id, decoded.started_ms])
    sent = http_headers.HeaderTranslator().request_headers(
        request(), decoded, None, 1_000, None, -1
    )
    for text in sent.values():
        text.encode("ascii")
        assert "\n" not in text and "\r" not in text
    host, port = decoded.address.rsplit(":", 1)
    assert host and 0 < int(port) < 65_536
    assert not set("/@?# ") & set(host)


def renamed(report):
    return {
        "suspects": report["suspects"],
        "healthy": report["sound"],
        "lost": report["lost"],
    }


def request():
    return interfaces.CallerRequest(
        id="r",
        method="GET",
        host="api",
        target="/",
        headers=multidict.CIMultiDict(),
    )


FIELDS = tuple(RECORD)


# Reports of operators: machines that read one odd entry among those of the
# workers ended again and again, or stopped following the list.
@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda v: repr(v)[:20])
@pytest.mark.parametrize("field", (*FIELDS, "group.epoch", "group.rank"))
def test_an_odd_field_of_a_record_is_refused_or_usable(field, value):
    if field.startswith("group."):
        group = {**RECORD["group"], field.partition(".")[2]: value}
        use("w", {**RECORD, "group": group})
    else:
        use("w", {**RECORD, field: value})
        use("w", {**RECORD, "service": "plain", "group": None, field: value})


@pytest.mark.parametrize("key", ["w\n", "w\x00", "\ud800", "", "ü", "w" * 255])
def test_an_odd_key_of_a_record_is_refused_or_usable(key):
    use(key, RECORD)


@hypothesis.given(
    strategies.fixed_dictionaries(
        {},
        optional={
            name: strategies.one_of(
                strategies.just(RECORD[name]),
                strategies.sampled_from(ODD_VALUES),
                strategies.integers(),
                strategies.text(max_size=20),
            )
            for name in FIELDS
        },
    )
)
def test_odd_records_are_refused_or_usable(changes):
    use("w", {**RECORD, **changes})


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"\xff\xfe",
        b"",
        b"9" * 5_000,
        b'{"slots":' + b"9" * 5_000 + b"}",
    ],
)
def test_odd_bytes_are_refused(value):
    known = state.State(records.JsonDecoder(), clocks.ManualClock())
    known.apply_worker(interfaces.KeyedRecord(1, "w", value))
    assert not known.workers and known.skipped_records == 1
