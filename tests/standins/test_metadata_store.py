"""Tests of the stand-in for the platform's metadata store."""

import aiohttp
import pytest

from oleanderbay.platform import names
from oleanderbay.standins import metadata_store

RECORD = b"\x00\x00\x00\x03\x01kv"


async def append(store, topic, body):
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{store.address}/log-append",
            params={"topic": topic, "part": "0"},
            data=body,
        ) as response,
    ):
        return response.status, await response.json()


@pytest.fixture
async def store():
    made = metadata_store.MetadataStore()
    await made.start()
    yield made
    await made.close()


async def test_an_append_names_its_offsets(store):
    """Clients would go by fields that the platform's store does not send."""
    for first in (0, 2):
        answer = await append(store, names.GATEWAYS_TOPIC, 2 * RECORD)
        assert answer == (200, {"offset": first, "end_offset": first + 2})


@pytest.mark.parametrize("topic", metadata_store.READ_ONLY_TOPICS)
async def test_topics_of_others_are_read_only(store, topic):
    """A gateway that writes there would pass all runs but the platform's."""
    assert await append(store, topic, RECORD) == (403, {})
    assert not store.topics
