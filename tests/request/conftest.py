"""Fixtures for the tests of requests with idempotency keys."""

import pytest

from tests.request import idempotency_harness


@pytest.fixture
async def harness():
    harness = idempotency_harness.IdempotencyHarness()
    await harness.advance(500)
    yield harness
    await harness.cluster.close()
