"""Entries of workers in the metadata store, with all fields of the platform."""

import json

# Fields that every entry has.
PLAIN = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 3,
    "born": 17,
}
# Fields of a worker that serves models in groups, besides those.
GROUPED = {
    **PLAIN,
    "service": "chat",
    "domain": "d1",
    "models": [{"name": "small"}],
    "staged": [{"name": "small"}],
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
}


def encode(base=PLAIN, without=(), **changes):
    """Returns an entry with fields changed, added or left out."""
    body = {**base, **changes}
    for name in without:
        del body[name]
    return json.dumps(body).encode()
