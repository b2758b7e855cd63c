"""Tests of the listener for callers over a raw socket."""

import multidict
import pytest

from oleanderbay.request import outcome
from tests.gateway import listener_harness

REFUSAL = outcome.Refusal(
    reason=outcome.Reason.UPSTREAM_FAILED,
    outcome=outcome.Outcome.UNKNOWN,
    message="failed",
    status=502,
)


async def _begin_again(caller_response):
    await caller_response.begin(200, multidict.CIMultiDict())


async def _send_complete(caller_response):
    await caller_response.send_complete(404, multidict.CIMultiDict(), b"error")


async def _refuse(caller_response):
    await caller_response.refuse(REFUSAL)


# A fault of the pipeline wrote a whole error into the middle of a stream.
@pytest.mark.parametrize(
    "write_second_head", [_begin_again, _send_complete, _refuse]
)
async def test_a_response_has_one_head(write_second_head):
    async def run(caller_request, caller_response):
        await caller_response.begin(200, multidict.CIMultiDict())
        await caller_response.write(b"data")
        await write_second_head(caller_response)

    async with listener_harness.running_listener() as harness:
        harness.pipeline_harness.pipeline.run = run
        received = await harness.exchange(listener_harness.GET)
        harness.errors.clear()
        assert received.count(b"HTTP/1.1 ") == 1
        assert received.endswith(b"4\r\ndata\r\n")
