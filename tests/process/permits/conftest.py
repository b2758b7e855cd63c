"""Fixtures of the tests of permits."""

import pytest

from tests.process.permits import world as worlds


@pytest.fixture
async def world():
    made = worlds.World()
    yield made
    await made.close()
