"""Tests of `oleanderbay gateways` against a small local server."""

import asyncio
import json

import pytest
from aiohttp import test_utils, web

from oleanderbay.cli import main

GROUP = {"name": "g-1", "model": "small", "members": ["w1", "w2"]}
FIRST = {
    "id": "g1",
    "ready": True,
    "version": 7,
    "store_age_ms": {"configuration": 40, "workers": 90},
    "peers": ["g2"],
    "partitions": [0, 2],
    "lost": ["w9"],
    "suspects": ["w2"],
    "groups": [{**GROUP, "open": True, "in_flight": 3}],
}
SECOND = {
    **FIRST,
    "id": "g2",
    "ready": False,
    "version": None,
    "store_age_ms": {"configuration": 1 << 30, "workers": 5},
    "peers": [],
    "partitions": [],
    "lost": [],
    "groups": [{**GROUP, "open": False, "in_flight": 2}],
}


@pytest.fixture
async def command(capsys):
    """Runs the command before servers with the given bodies of /status."""
    servers = []

    async def run(*statuses, arguments=()):
        for status in statuses:

            async def answer(request, status=status):
                return web.Response(**status)

            application = web.Application()
            application.router.add_get("/status", answer)
            servers.append(test_utils.TestServer(application))
            await servers[-1].start_server()
        addresses = [f"127.0.0.1:{server.port}" for server in servers]
        code = await asyncio.to_thread(
            main.main, ["gateways", *addresses, *arguments]
        )
        return code, *capsys.readouterr(), addresses

    yield run
    for server in servers:
        await server.close()


def _body(status):
    return {"text": json.dumps(status)}


async def test_a_partitioned_gateway_shows(command):
    """Guards against a partition that looks like a gateway that starts."""
    cut = {
        **FIRST,
        "ready": False,
        "partitioned": True,
        "broken_paths": ["w5"],
    }
    code, out, _, _ = await command(_body(cut))
    assert code == 0
    assert "partitioned from workers" in out
    assert any(
        line.split() == ["w5", "path", "broken", "g1"]
        for line in out.splitlines()
    )


async def test_each_table_is_readable(command):
    """Operators compare gateways at a glance."""
    code, out, _, (one, two) = await command(_body(FIRST), _body(SECOND))
    assert code == 0
    gateways, groups, workers = (
        [line.split() for line in table.splitlines()]
        for table in out.strip().split("\n\n")
    )
    assert gateways[1:] == [
        ["g1", one, "yes", "7", "90", "ms", "g2", "0,", "2"],
        ["g2", two, "no", "none", "never", "read", "none", "none"],
    ]
    assert groups[1:] == [
        ["g-1", "small", "at", "1", "of", "2", "w1,", "w2", "3"]
    ]
    assert workers[1:] == [
        ["w2", "suspected", "g1,", "g2"],
        ["w9", "lost", "g1"],
    ]


@pytest.mark.parametrize(
    ("status", "error"),
    [
        ({"status": 503}, "answered with status 503"),
        ({"text": "not json"}, "no status of a gateway"),
        ({"text": "[]"}, "no status of a gateway"),
        ({"text": json.dumps({"id": "g3"})}, "no status of a gateway"),
        (_body({**FIRST, "groups": [{"name": "g"}]}), "no status of a gateway"),
    ],
)
async def test_a_gateway_without_a_status_is_named(command, status, error):
    """One that fails must neither hide the others nor pass as healthy."""
    code, out, errors, addresses = await command(_body(FIRST), status)
    assert code == 3
    assert "g1" in out
    assert errors.startswith(f"{addresses[1]}: ") and error in errors


async def test_scripts_read_json(command):
    """A gateway that is down is named beside what the others say."""
    down = f"127.0.0.1:{test_utils.unused_port()}"
    code, out, errors, addresses = await command(
        _body(FIRST), arguments=[down, "--output", "json"]
    )
    shown = json.loads(out)
    assert code == 3 and errors == ""
    assert shown["gateways"][0]["address"] == addresses[0]
    assert shown["gateways"][0]["version"] == 7
    assert shown["groups"][0]["open_at"] == 1
    assert shown["workers"][0]["state"] == "suspected"
    assert shown["failed"][0]["address"] == down


def test_an_address_without_a_port_is_wrong_usage(capsys):
    """It would otherwise be reported as a gateway that is down."""
    with pytest.raises(SystemExit) as ended:
        main.main(["gateways", "10.0.0.1"])
    assert ended.value.code == 2
    assert "not host:port" in capsys.readouterr().err
