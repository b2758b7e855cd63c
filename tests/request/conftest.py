"""Fixtures for the tests of requests with idempotency keys."""

import pytest

from tests.request import keyed_world


@pytest.fixture
async def world():
    made = keyed_world.World()
    await made.advance(500)
    yield made
    await made.cluster.close()
