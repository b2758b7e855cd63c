"""Tests of attempts with workers that answer what a script says."""

import pytest

from tests.gateway import scripted_worker
from tests.gateway.scripted_worker import (
    STREAMING,
    answer,
    events,
    running_pipeline,
    stream,
)

JSON = ("Content-Type: application/json",)
ERROR = b'{"error": "no such session"}\n\n'
BROKEN = stream(0, 2, framing="open")


# A stream broke off and the next worker answered with an error: its head and
# body went into the middle of the stream, which ended as if it were complete.
@pytest.mark.parametrize(
    "status", [301, 400, 401, 404, 409, 410, 413, 422, 429, 500, 502, 503, 504]
)
@pytest.mark.parametrize("promised", [False, True])
async def test_an_error_does_not_continue_a_stream(status, promised):
    headers = (*JSON, *(scripted_worker.NOT_EXECUTED if promised else ()))
    error = answer(ERROR, *headers, status=status)
    async with running_pipeline(
        (BROKEN,), (error,) * 5, max_attempts=2, **STREAMING
    ) as harness:
        caller = await harness.call("/stream")
        assert caller.status == 200 and caller.heads == 1
        assert caller.body == events(0, 2) and not caller.complete


async def test_a_stream_goes_on_after_a_worker_that_answers_with_an_error():
    """One worker that can't resume the stream must not end it."""
    async with running_pipeline(
        (BROKEN,),
        (answer(ERROR, *JSON, status=404),),
        (stream(2, 5),),
        max_attempts=3,
        **STREAMING,
    ) as harness:
        harness.workers[1].script *= 2
        harness.workers[2].script *= 2
        caller = await harness.call("/stream")
        resumed = caller.body == events(0, 5) and caller.complete
        # Either of the other workers may come first.
        assert resumed and caller.heads == 1
