"""Tests of parsing idempotency keys and tickets."""

import uuid

import pytest

from oleanderbay.request import keys, outcome

TICKET = str(keys.Ticket(start_id="s1", issued_ms=17, nonce="n"))


def test_same_suffix_with_another_ticket_is_another_key():
    """The ticket is part of the key and determines where it is claimed.

    When the ticket had its own header, a key that was sent again with a newer
    ticket was claimed at two entries and ran twice (found by `make failures`).
    """
    key = keys.parse_key("scope", f"{TICKET}:booking")
    assert isinstance(key, keys.Key)
    assert key.ticket == keys.Ticket(start_id="s1", issued_ms=17, nonce="n")
    newer = str(keys.Ticket(start_id="s2", issued_ms=18, nonce="m"))
    other = keys.parse_key("scope", f"{newer}:booking")
    assert isinstance(other, keys.Key)
    assert other.id != key.id


@pytest.mark.parametrize(
    "value",
    ["tk.", "tk.17", TICKET, f"{TICKET}:", "tk.x.n.s1:k", "tk.-1.n.s1:k"],
)
def test_malformed_ticket_is_refused_as_not_run(value):
    """As a key without a ticket, it would be claimed in the log instead."""
    _assert_refused(value)


@pytest.mark.parametrize(
    "issued",
    ["+1", "0x1", "1_0", " 1", "1 ", "01", "A", "\u0661", "\uff11", "-0", ""],
)
def test_a_ticket_has_one_spelling(issued):
    """Other spellings of the number were tickets that no entry had issued."""
    assert keys.parse_ticket(f"tk.{issued}.n.s1") is None
    _assert_refused(f"tk.{issued}.n.s1:k")


@pytest.mark.parametrize("issued_ms", [0, 1, 16, 171, 2**53])
def test_an_issued_ticket_is_parsed(issued_ms):
    ticket = keys.Ticket(start_id="s.1", issued_ms=issued_ms, nonce="n")
    assert keys.parse_ticket(str(ticket)) == ticket


def _assert_refused(value):
    refused = keys.parse_key("scope", value, issued_header="1")
    assert isinstance(refused, outcome.Refusal)
    assert refused.outcome is outcome.Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("value", "issued"),
    (
        ("", "1"),
        ("x" * 256, "1"),
        ("a\x00b", "1"),
        ("k", ""),
        ("k", "-1"),
        ("k", "²"),
        ("k", "1" * 17),
        ("tk.x:k", ""),
        ("tk.zz.n.s:k", ""),
        ("tk.-1.n.s:k", ""),
        ("tk.1.n.s", ""),
        ("tk.1.n.s:", ""),
        (str(uuid.UUID(int=0, version=4)), ""),
    ),
)
def test_malformed_key_headers_are_refused(value, issued):
    """A key of unknown age could never be removed from the records."""
    result = keys.parse_key("s", value, issued)
    assert isinstance(result, outcome.Refusal)
    assert result.outcome is outcome.Outcome.NOT_RUN


def test_time_of_issue_is_read_from_uuid7():
    """The first 48 bits of a UUIDv7 are a Unix time in milliseconds."""
    at_ms = 1_700_000_000_123
    value = uuid.UUID(int=(at_ms << 80) | (7 << 76) | (2 << 62))
    assert keys.parse_key("s", str(value)).issued_ms == at_ms
