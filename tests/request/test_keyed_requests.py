"""Tests of the sink that stores the response of a request with a key."""

import sys

import pytest

from oleanderbay.request import keyed_requests


class Sink:
    """A caller's connection that takes everything."""

    async def begin(self, status, headers):
        pass

    async def write(self, data):
        pass

    async def end(self):
        pass


async def _recorded(chunks, max_bytes):
    recorder = keyed_requests.RecordingSink(Sink(), max_bytes)
    await recorder.begin(200, {})
    for chunk in chunks:
        await recorder.write(chunk)
    await recorder.end()
    return recorder


@pytest.mark.parametrize("chunk", [b"x" * 100, b""])
async def test_a_long_response_is_not_kept_beyond_its_limit(chunk):
    """An empty chunk was kept for each further write, for the whole stream."""
    recorder = await _recorded([chunk] * 10_000, 250)
    assert len(recorder.chunks) <= 3
    assert sys.getsizeof(recorder.chunks) < 1_000
    assert len(recorder.stored_response().body) <= 251


@pytest.mark.parametrize("size", [0, 249, 250, 251, 400])
async def test_the_size_of_a_response_above_the_limit_is_seen(size):
    """Claims don't store a body that is longer than the limit."""
    recorder = await _recorded([b"x" * 50] * (size // 50) + [b"x"], 250)
    written = size // 50 * 50 + 1
    assert len(recorder.stored_response().body) == min(written, 251)
    assert recorder.complete
