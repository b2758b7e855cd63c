"""The engine stand-in's promises to the tests that use it."""

import dataclasses
import json

import aiohttp
import pytest

from oleanderbay.native import interfaces
from oleanderbay.standins import engine, engine_state, tokens

ORDER = interfaces.Order(
    fence=7,
    group="g1",
    service="s1",
    rank=0,
    size=1,
    model="m",
    model_version="1",
)


@pytest.fixture
async def standin():
    settings = engine_state.EngineSettings(cold_limit=100)
    stand_in = engine.EngineStandIn("i1", settings)
    await stand_in.start("127.0.0.1", 0)
    yield stand_in
    await stand_in.close()


async def _ready(stand_in):
    assert stand_in.order(ORDER) == ""
    while not stand_in.ready:
        await stand_in.clock.sleep_ms(1)


async def _post(stand_in, body, headers=None):
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{stand_in.address}/v1/completions",
            json=body,
            headers=headers or {},
        ) as response,
    ):
        return response.status, response.headers, await response.text()


async def test_stream_resumes_at_position(standin):
    """Guards against a resumed stream that repeats or skips a token."""
    await _ready(standin)
    headers = {
        engine.REQUEST_ID: "r1",
        engine.ATTEMPT: "2",
        engine.RESUME_FROM: "3",
    }
    body = {"prompt": "tee times", "max_tokens": 6, "stream": True}
    status, _, text = await _post(standin, body, headers)
    assert status == 200
    events = text.strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    ids = [event.split("\n")[0] for event in events[:-1]]
    assert ids == ["id: r1/2/3", "id: r1/2/4", "id: r1/2/5"]
    words = [
        json.loads(event.split("data: ")[1])["choices"][0]["text"]
        for event in events[:-1]
    ]
    assert "".join(words) == tokens.answer("tee times", 6).removeprefix(
        tokens.answer("tee times", 3)
    )


async def test_rank_1_refuses_as_not_run(standin):
    """Guards against a request served by a member that leads no group."""
    standin.order(dataclasses.replace(ORDER, rank=1))
    while not standin.ready:
        await standin.clock.sleep_ms(1)
    status, headers, _ = await _post(standin, {"prompt": "x"})
    assert (status, headers[engine.OUTCOME]) == (503, "not-run")
    assert not [r for r in standin.records if r["event"] == "executed"]


async def test_cold_engine_records_overload(standin):
    """Guards against an overload that leaves no trace for the checks."""
    await _ready(standin)
    standin.settings = dataclasses.replace(standin.settings, cold_limit=0)
    status, headers, _ = await _post(standin, {"prompt": "x"})
    assert status == 500
    assert engine.OUTCOME not in headers
    assert standin.records[-1]["event"] == "overload"


async def test_truncated_and_dropped_answers_ran(standin):
    """Guards against a lost answer that looks like a refusal."""
    await _ready(standin)
    standin.set_faults({"truncate": 1})
    with pytest.raises(aiohttp.ClientError):
        await _post(standin, {"prompt": "x", "stream": True})
    standin.set_faults({"drop_answer": 1})
    with pytest.raises(aiohttp.ClientError):
        await _post(standin, {"prompt": "x"})
    executed = [r for r in standin.records if r["event"] == "executed"]
    assert len(executed) == 2


@pytest.mark.parametrize("checks", [True, False])
def test_older_fence(checks):
    """Guards against a fencing stand-in that obeys an old number."""
    settings = engine_state.EngineSettings(checks_fencing=checks)
    state = engine_state.EngineState("i1", settings)
    newer = dataclasses.replace(ORDER, fence=9, group="")
    older = dataclasses.replace(ORDER, fence=8, group="", service="old")
    assert state.order(newer) == ""
    assert bool(state.order(older)) is checks
    assert state.role == (newer if checks else older)
