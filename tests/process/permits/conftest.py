"""Fixtures for the permit tests."""

import pytest

from tests.process.permits import permit_harness


@pytest.fixture
async def harness():
    instance = permit_harness.PermitHarness()
    yield instance
    await instance.close()
