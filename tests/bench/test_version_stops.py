"""Tests of the judge of stops of any version, and a short run of it."""

import json
import types

import pytest

from bench import (
    stop_callers,
    stop_fleet,
    upgrade_builds,
    version_fleet,
    version_stops,
)

REPEATABLE, *_ = version_fleet.kinds()
ONCE = next(kind for kind in version_fleet.kinds() if not kind.repeatable)


def judge(kind, completed, **changes):
    """Judges one answered request.

    Args:
        kind: Kind of the request.
        completed: Whether each of its executions was complete.
        **changes: Other values of what the caller saw.
    """
    sent = stop_callers.Sent(
        **{
            "id": "q",
            "kind": kind,
            "gateway": "g",
            "start": 1,
            "slow": False,
            "sent_ms": 0,
            "ended_ms": 500,
            "complete": True,
            "status": 200,
            "body": b"".join(b"id: %d\n" % number for number in range(20)),
            **changes,
        }
    )
    executions = [
        stop_fleet.Execution(ended_ms=400, complete=complete)
        for complete in completed
    ]
    fleet = types.SimpleNamespace(
        stops=[],
        executions={"q": executions},
        began=lambda: {"q"},
        options=stop_fleet.Options(),
    )
    return version_stops.Judge(fleet).report([sent])


@pytest.mark.parametrize("completed", [[True], [True, False], [False, True]])
def test_either_of_two_workers_may_complete_a_request_that_may_be_repeated(
    completed,
):
    report = judge(REPEATABLE, completed)
    assert report.holds, (report.lost, report.broken)


# Guards against a judge that allows for all requests what it may for some.
@pytest.mark.parametrize(
    ("kind", "completed", "changes"),
    [
        (ONCE, [True, True], {}),
        (ONCE, [True], {"status": 502}),
        (REPEATABLE, [False, False], {}),
        (REPEATABLE, [False, True, True], {}),
        (REPEATABLE, [True, True], {"status": 503}),
        (REPEATABLE, [True], {"body": b"id: 0\n"}),
    ],
    ids=[
        "ran-twice",
        "failed",
        "not-whole",
        "ran-too-often",
        "refused-and-ran",
        "lacks-events",
    ],
)
def test_answers_that_are_not_true_break_promises(kind, completed, changes):
    assert judge(kind, completed, **changes).broken


def test_a_response_that_ends_early_is_lost():
    report = judge(REPEATABLE, [False], complete=False)
    assert report.lost and not report.holds


@pytest.mark.parametrize(
    "arguments", [["no-such-commit"], [".", "--gateways", "0"]]
)
def test_a_run_that_cannot_be_made_is_one_line(arguments, capsys):
    assert version_stops.main(arguments) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


# Incident of 2026-12-06: streams of sound workers that fell silent were lost,
# which rigs without full workers and second attempts did not show.
async def test_no_stream_is_lost_while_workers_fall_silent_and_gateways_stop():
    build = await upgrade_builds.working_tree(allow_changes=True)
    report = await version_stops.run(
        version_stops.Options(
            seed=31, gateways=3, callers=50, stops=2, silence_ms=1_000
        ),
        build,
    )
    assert report["holds"], json.dumps(report)
    assert report["answered"] > 100 and report["stalled_attempts"]
