"""Tests of the choice of the entries that read reports."""

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
    """The last entry that left stopped to read and refused its requests."""
    here, far = entry("e1", leaving=True), entry("e2", zone="b")
    assert readers.select_readers("u", "a", [here, far]) == ["e2"]
    gone = dataclasses.replace(far, leaving=True)
    assert readers.select_readers("u", "a", [here, gone]) == ["e1"]
