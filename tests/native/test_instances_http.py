"""Tests of the instance list adapter against its stand-in."""

import aiohttp
import pytest

from oleanderbay.native import instances_http, interfaces
from oleanderbay.process import clock as clocks
from oleanderbay.standins import instances

LINE = interfaces.Instance(
    id="e1", role="entry", address="127.0.0.1:1", zone="a", peer_address="x:2"
)


async def test_announce_and_list_over_http():
    """A line must come back exactly as it was announced."""
    server = instances.InstancesServer(
        instances.Instances(clocks.SystemClock())
    )
    await server.start("127.0.0.1", 0)
    async with aiohttp.ClientSession() as session:
        client = instances_http.HttpInstanceList(
            f"http://{server.address}", session
        )
        await client.announce(LINE, 1000)
        assert list(await client.instances(1000)) == [LINE]
        server.instances.faults.down = True
        with pytest.raises(interfaces.PlatformUnavailableError):
            await client.instances(1000)
        async with session.post(
            f"http://{server.address}/faults", json={"down": False}
        ) as response:
            assert (await response.json())["down"] is False
        async with session.delete(f"http://{server.address}/instances/e1"):
            pass
        assert list(await client.instances(1000)) == []
    await server.close()


async def test_changes_become_visible_after_the_lag():
    """Membership must be tested against a list that is behind."""
    manual = clocks.ManualClock()
    listed = instances.Instances(manual, ttl_ms=1000)
    listed.faults.lag_ms = 100
    await listed.announce(LINE, 10)
    assert await listed.instances(10) == ()
    await manual.advance(100)
    assert await listed.instances(10) == (LINE,)
    await manual.advance(1001)
    assert await listed.instances(10) == ()


@pytest.mark.parametrize(
    "fields", [[], {"id": "e1"}, {"id": 1, "role": "entry"}, {"state": "odd"}]
)
def test_malformed_lines_are_typed_errors(fields):
    """One bad line must not raise an error of another kind."""
    with pytest.raises((TypeError, ValueError)):
        instances_http.decode(fields)
