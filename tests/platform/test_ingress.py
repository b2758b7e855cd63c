"""Tests of what is passed on between callers and workers."""

import multidict
import pytest
from aiohttp import test_utils

from oleanderbay.gateway import interfaces, table, workers
from oleanderbay.platform import ingress

TRANSLATOR = ingress.HeaderTranslator()
WORKER = workers.Worker(id="w1", service="chat", address="a:1", zone="z1")
VERDICT = interfaces.ResponseClass


def call(**headers):
    given = {"Host": "Api.Test", "X-Request-Id": "r1"}
    given.update({k.replace("_", "-"): v for k, v in headers.items()})
    request = test_utils.make_mocked_request("POST", "/a%2Fb?q=1", given)
    return TRANSLATOR.parse_request(request, b"body", 7)


def sent(found, team=None, priority=None, resume_after=-1):
    return TRANSLATOR.request_headers(
        found, WORKER, team, 900, priority, resume_after
    )


def test_a_request_is_read_unchanged():
    """A decoded path or a lost header changes what the worker runs."""
    found = call(
        Authorization="Bearer k1 ",
        X_Deadline_Ms="250",
        X_Model="small",
        X_Token_Counts="12,34",
        Last_Event_Id="6",
    )
    assert (found.id, found.host, found.target) == (
        "r1",
        "api.test",
        "/a%2Fb?q=1",
    )
    assert found.path == "/a%2Fb" and found.body == b"body"
    assert (found.api_key, found.timeout_ms, found.model) == (
        "k1",
        250,
        "small",
    )
    assert (found.prompt_tokens, found.output_tokens) == (12, 34)
    assert found.resume_after == 6 and found.arrived_ms == 7


@pytest.mark.parametrize("value", ["Basic k1", "Bearer", "k1", ""])
def test_other_credentials_are_no_key(value):
    """Any text taken for a key would be looked up as one."""
    assert call(Authorization=value).api_key is None


@pytest.mark.parametrize(
    "headers",
    [
        {"X_Deadline_Ms": "soon"},
        {"X_Token_Counts": "1,x"},
        {"Last_Event_Id": "x"},
        {"X_Deadline_Ms": "9" * 5_000},
    ],
)
def test_malformed_headers_are_named(headers):
    """An exception would cost the caller its connection."""
    assert isinstance(call(**headers), str)


def test_nothing_of_the_connection_reaches_a_worker():
    """A hop's own headers would break the framing of the next hop."""
    found = call(
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
    assert dict(sent(found)) == {
        "Host": "Api.Test",
        "X-Request-Id": "r1",
        "X-Kept": "yes",
        "X-Deadline-Ms": "900",
        "X-Expect-Instance": "w1",
    }


def test_keys_and_forged_names_never_reach_a_worker():
    """A worker must get the team's name in place of its key."""
    found = call(
        authorization="Bearer k1",
        x_tenant="forged",
        x_expect_instance="w9",
        x_request_priority="0",
        x_deadline_ms="5",
        last_event_id="3",
    )
    plain = sent(found)
    assert not {"Authorization", "X-Tenant", "X-Request-Priority"} & set(plain)
    assert "Last-Event-Id" not in plain
    whole = sent(found, table.Team(name="team"), 12, 4)
    assert whole.getall("X-Tenant") == ["team"]
    assert whole.getall("X-Expect-Instance") == ["w1"]
    assert whole.getall("X-Deadline-Ms") == ["900"]
    assert whole["X-Request-Priority"] == "9"
    assert whole["Last-Event-Id"] == "4"
    assert "k1" not in str(whole)


MINE = {"X-Request-Id": "r1"}
SEAL = {"X-Response-Seal": "s"}
OTHER = {"X-Request-Id": "r2"}
NOT_RUN = {"X-Not-Executed": "1"}


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, MINE | SEAL, VERDICT.SUCCESS),
        (200, MINE, VERDICT.UNUSABLE),
        (200, SEAL, VERDICT.UNUSABLE),
        (200, OTHER | SEAL, VERDICT.UNUSABLE),
        (200, MINE | SEAL | {"Content-Encoding": "x"}, VERDICT.UNUSABLE),
        (503, OTHER | NOT_RUN, VERDICT.UNUSABLE),
        (503, NOT_RUN, VERDICT.NOT_RUN),
        (503, {}, VERDICT.FAILURE),
        (302, {}, VERDICT.FAILURE),
        (421, {}, VERDICT.OTHER_WORKER),
    ],
)
def test_an_answer_is_judged_by_its_head(status, headers, verdict):
    """Another caller's or an unsigned answer must not be passed on."""
    given = multidict.CIMultiDictProxy(multidict.CIMultiDict(headers))
    assert TRANSLATOR.classify_response(call(), status, given) is verdict


def test_an_answer_loses_only_its_framing():
    """A stated length is wrong once the answer is framed anew."""
    given = multidict.CIMultiDict(
        [
            ("Content-Length", "5"),
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Set-Cookie", "a"),
            ("Set-Cookie", "b"),
            ("X-Response-Seal", "s"),
        ]
    )
    kept = TRANSLATOR.response_headers(multidict.CIMultiDictProxy(given))
    assert list(kept.items()) == [
        ("Set-Cookie", "a"),
        ("Set-Cookie", "b"),
        ("X-Response-Seal", "s"),
    ]
    assert TRANSLATOR.failed_worker_id({"At-Server": "w3"}) == "w3"
    told = TRANSLATOR.response_origin(
        {"X-Instance-Id": "w3", "X-Request-Id": "r1"}
    )
    assert (told.worker_id, told.request_id) == ("w3", "r1")
