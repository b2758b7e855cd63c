"""Tests of the selection of the entries that read reports."""

import dataclasses

from oleanderbay.process import interfaces
from oleanderbay.process.observation import readers


def entry(id, zone="a", leaving=False):
    return interfaces.Entry(
        id=id,
        start_id=id,
        zone=zone,
        caller_address="",
        peer_address="",
        leaving=leaving,
    )


def test_leaving_entries_read_only_when_nobody_else_is_left():
    """The last entries must keep reading reports while they leave.

    Otherwise they find no eligible upstream and refuse the requests that they
    still have to serve.
    """
    local, remote = entry("e1", leaving=True), entry("e2", zone="b")
    assert readers.select_readers("u", "a", [local, remote]) == ["e2"]
    leaving = dataclasses.replace(remote, leaving=True)
    assert readers.select_readers("u", "a", [local, leaving]) == ["e1"]
