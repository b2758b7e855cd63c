"""Tests of the translation of headers between callers and workers."""

import multidict
import pytest
from aiohttp import test_utils

from oleanderbay.gateway import interfaces, table, workers
from oleanderbay.platform import http_headers

TRANSLATOR = http_headers.HeaderTranslator()
WORKER = workers.Worker(id="w1", service="chat", address="a:1", zone="z1")
RESPONSE_CLASS = interfaces.ResponseClass


def parse(**headers):
    received = {"Host": "Api.Test", "X-Request-Id": "r1"}
    received.update({k.replace("_", "-"): v for k, v in headers.items()})
    request = test_utils.make_mocked_request("POST", "/a%2Fb?q=1", received)
    return TRANSLATOR.parse_request(request, b"body", 7)


def forwarded(parsed, team=None, priority=None, resume_after=-1):
    return TRANSLATOR.request_headers(
        parsed, WORKER, team, 900, priority, resume_after
    )


def test_a_request_is_parsed_unchanged():
    """A decoded path or a dropped header would change what the worker runs."""
    parsed = parse(
        Authorization="Bearer k1 ",
        X_Deadline_Ms="250",
        X_Model="small",
        X_Token_Counts="12,34",
        Last_Event_Id="6",
    )
    assert (parsed.id, parsed.host, parsed.target) == (
        "r1",
        "api.test",
        "/a%2Fb?q=1",
    )
    assert parsed.path == "/a%2Fb" and parsed.body == b"body"
    assert (parsed.api_key, parsed.timeout_ms, parsed.model) == (
        "k1",
        250,
        "small",
    )
    assert (parsed.prompt_tokens, parsed.output_tokens) == (12, 34)
    assert parsed.resume_after == 6 and parsed.arrived_ms == 7


@pytest.mark.parametrize(
    ("value", "shared"),
    [
        ("5C1E:800,91bd:410,e440:250", ("5c1e", "91bd")),
        ("5c1e:800, 91bd:410", ("5c1e",)),
        ("5c1e:800", ()),
        ("", ()),
        (",:,x", ()),
    ],
)
def test_the_last_part_of_a_prompt_is_not_shared(value, shared):
    """It belongs to one request, so failures of others don't concern it."""
    assert parse(X_Prompt_Prefix=value).shared_parts == shared


@pytest.mark.parametrize("value", ["Basic k1", "Bearer", "k1", ""])
def test_only_bearer_tokens_are_api_keys(value):
    """Other credentials must not be looked up as API keys."""
    assert parse(Authorization=value).api_key is None


@pytest.mark.parametrize(
    "headers",
    [
        {"X_Deadline_Ms": "soon"},
        {"X_Token_Counts": "1,x"},
        {"Last_Event_Id": "x"},
        {"X_Deadline_Ms": "9" * 5_000},
    ],
)
def test_malformed_headers_give_an_error_message(headers):
    """An exception would close the caller's connection without a response."""
    assert isinstance(parse(**headers), str)


def test_hop_by_hop_headers_are_not_forwarded():
    """Hop-by-hop headers would break the message framing of the next hop."""
    parsed = parse(
        Connection="close, X-Private",
        X_Private="1",
        Transfer_Encoding="chunked",
        Keep_Alive="5",
        TE="trailers",
        Upgrade="h2c",
        Expect="100-continue",
        Content_Length="4",
        X_Kept="yes",
    )
    assert dict(forwarded(parsed)) == {
        "Host": "Api.Test",
        "X-Request-Id": "r1",
        "X-Kept": "yes",
        "X-Deadline-Ms": "900",
        "X-Expect-Instance": "w1",
    }


def test_keys_and_forged_headers_are_not_forwarded():
    """A worker must receive the team's name instead of its key."""
    parsed = parse(
        authorization="Bearer k1",
        x_tenant="forged",
        x_expect_instance="w9",
        x_request_priority="0",
        x_deadline_ms="5",
        last_event_id="3",
    )
    anonymous = forwarded(parsed)
    assert not {"Authorization", "X-Tenant", "X-Request-Priority"} & set(
        anonymous
    )
    assert "Last-Event-Id" not in anonymous
    complete = forwarded(parsed, table.Team(name="team"), 12, 4)
    assert complete.getall("X-Tenant") == ["team"]
    assert complete.getall("X-Expect-Instance") == ["w1"]
    assert complete.getall("X-Deadline-Ms") == ["900"]
    assert complete["X-Request-Priority"] == "9"
    assert complete["Last-Event-Id"] == "4"
    assert "k1" not in str(complete)


SAME_REQUEST = {"X-Request-Id": "r1"}
SIGNED = {"X-Response-Seal": "s"}
OTHER_REQUEST = {"X-Request-Id": "r2"}
NOT_EXECUTED = {"X-Not-Executed": "1"}


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, SAME_REQUEST | SIGNED, RESPONSE_CLASS.SUCCESS),
        (200, SAME_REQUEST, RESPONSE_CLASS.UNUSABLE),
        (200, SIGNED, RESPONSE_CLASS.UNUSABLE),
        (200, OTHER_REQUEST | SIGNED, RESPONSE_CLASS.UNUSABLE),
        (
            200,
            SAME_REQUEST | SIGNED | {"Content-Encoding": "x"},
            RESPONSE_CLASS.UNUSABLE,
        ),
        (503, OTHER_REQUEST | NOT_EXECUTED, RESPONSE_CLASS.UNUSABLE),
        (503, NOT_EXECUTED, RESPONSE_CLASS.NOT_RUN),
        (503, {}, RESPONSE_CLASS.FAILURE),
        (302, {}, RESPONSE_CLASS.FAILURE),
        (421, {}, RESPONSE_CLASS.OTHER_WORKER),
    ],
)
def test_a_response_is_classified_by_its_headers(status, headers, expected):
    """Another request's or an unsigned response must not be forwarded."""
    received = multidict.CIMultiDictProxy(multidict.CIMultiDict(headers))
    assert TRANSLATOR.classify_response(parse(), status, received) is expected


def test_only_framing_headers_are_removed_from_a_response():
    """The gateway frames the response again, so that its length may differ."""
    received = multidict.CIMultiDict(
        [
            ("Content-Length", "5"),
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Set-Cookie", "a"),
            ("Set-Cookie", "b"),
            ("X-Response-Seal", "s"),
        ]
    )
    returned = TRANSLATOR.response_headers(multidict.CIMultiDictProxy(received))
    assert list(returned.items()) == [
        ("Set-Cookie", "a"),
        ("Set-Cookie", "b"),
        ("X-Response-Seal", "s"),
    ]
    assert TRANSLATOR.failed_worker_id({"At-Server": "w3"}) == "w3"
    origin = TRANSLATOR.response_origin(
        {"X-Instance-Id": "w3", "X-Request-Id": "r1"}
    )
    assert (origin.worker_id, origin.request_id) == ("w3", "r1")


@pytest.mark.parametrize(
    ("value", "per_s"),
    [("2.5", 2.5), ("0", 0.0), ("x", None), ("nan", None), ("-1", None)],
)
def test_only_a_rate_is_a_stated_limit(value, per_s):
    """A malformed limit must not stop all requests to the worker."""
    assert TRANSLATOR.stated_limit_per_s({"Server-Limit": value}) == per_s
    assert TRANSLATOR.stated_limit_per_s({}) is None


@pytest.mark.parametrize(
    ("status", "value", "rest_ms"),
    [
        (503, "3", 3_000),
        (503, "0.0004", 1),
        (503, "1e300", 86_400_000),
        (503, "-1", 0),
        (503, "nan", 0),
        (503, "inf", 0),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", 0),
        (503, "", 0),
        (429, "3", 0),
        (200, "3", 0),
    ],
)
def test_only_seconds_with_a_503_ask_for_a_rest(status, value, rest_ms):
    """A malformed value must not keep a worker from getting requests."""
    assert TRANSLATOR.rest_ms(status, {"Retry-After": value}) == rest_ms
    assert TRANSLATOR.rest_ms(status, {}) == 0
