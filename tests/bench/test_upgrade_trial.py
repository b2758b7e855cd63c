"""Tests of the trial of upgrades, and a short run of it."""

import pathlib

import pytest

from bench import (
    stop_callers,
    stop_fleet,
    upgrade_builds,
    upgrade_fleet,
    upgrade_judge,
    upgrade_trial,
)
from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker
from tests.gateway import parts

# Earlier versions, the preferred one first; a clone may lack it. Those before
# dc434f9 lose requests in planned stops.
COMMITS = ("dc434f9", "HEAD")
STATE = workers.MemberState
KIND = stop_callers.KINDS[0]


@pytest.fixture
def fleet():
    build = upgrade_builds.Build(
        name="",
        folder=pathlib.Path(),
        command=(),
        template="",
        environment={},
    )
    return upgrade_fleet.UpgradeFleet(
        stop_fleet.Options(), clocks.SystemClock(), build
    )


def join(worker, group, epoch, members):
    return worker.obey(
        {
            "fence": 1,
            "operation": "join",
            "group": group,
            "epoch": epoch,
            "members": [member.id for member in members],
            "model": "small",
        }
    )


async def open_group(fleet, members):
    for worker in members:
        worker.load_ms = 0
        join(worker, "g1", 1, members)
    await parts.wait_until(
        lambda: all(w.group.state is STATE.READY for w in members)
    )
    order = {"fence": 1, "operation": "open", "group": "g1", "epoch": 1}
    members[0].obey(order)
    await parts.wait_until(lambda: upgrade_fleet.serves(members[0]))


# A trial that overlooks the rules it is made for shows nothing.
async def test_a_join_from_a_group_that_serves_is_a_violation(fleet):
    first, second, third = fleet.workers[-3:]
    await open_group(fleet, [first, second])
    assert fleet.violations == []
    join(second, "g2", 2, [second, third])
    assert [line.split(":")[0] for line in fleet.violations] == ["TWO"]


async def test_a_join_after_the_group_has_closed_is_allowed(fleet):
    first, second, third = fleet.workers[-3:]
    await open_group(fleet, [first, second])
    first.set_state(STATE.READY)
    join(second, "g2", 2, [second, third])
    assert fleet.violations == []


async def test_a_group_that_opens_without_a_member_is_a_violation(fleet):
    first, second = fleet.workers[-2:]
    first.load_ms, second.load_ms = 0, 10_000
    for worker in (first, second):
        join(worker, "g1", 1, [first, second])
    await parts.wait_until(lambda: first.group.state is STATE.READY)
    first.obey({"fence": 1, "operation": "open", "group": "g1", "epoch": 1})
    await parts.wait_until(lambda: upgrade_fleet.serves(first))
    assert [line.split(":")[0] for line in fleet.violations] == ["PARTIAL"]
    await second.close()


async def test_a_request_that_reaches_a_drained_worker_is_a_violation(fleet):
    worker = fleet.workers[0]
    fleet.drained_ms[worker.id] = 1_000
    worker.executions = [
        group_worker.Execution(
            request_id="q", headers={}, path="/", body=b"", began_ms=began_ms
        )
        for began_ms in (
            900,
            1_000 + upgrade_fleet.DRAIN_MS,
            1_001 + upgrade_fleet.DRAIN_MS,
        )
    ]
    assert [line.split(":")[0] for line in fleet.late_requests()] == ["DRAIN"]


def request(name, ended_ms, **fields):
    return stop_callers.Sent(
        **{
            "id": name,
            "kind": KIND,
            "gateway": "g",
            "start": 1,
            "slow": False,
            "sent_ms": ended_ms - 100,
            "ended_ms": ended_ms,
            "status": 503,
            "complete": True,
            **fields,
        }
    )


def test_doubled_and_foreign_answers_break_a_trial(fleet):
    execution = stop_fleet.Execution(ended_ms=0, complete=True)
    fleet.executions = {"q1": [execution] * 2, "q2": [execution]}
    sent = [request("q1", 500), request("q2", 900, answered_id="q1")]
    report = upgrade_judge.report(fleet, sent, 0, 1_000)
    assert len(report.doubled) == len(report.foreign) == 1
    assert not report.holds
    assert report.worst_gap_ms == {KIND.name: 1_000}
    assert report.refused == {KIND.name: 2}


def test_the_worst_gap_is_the_longest_time_without_an_answer(fleet):
    body = b"".join(b"id: %d\n\n" % number for number in range(12))
    execution = stop_fleet.Execution(ended_ms=0, complete=True)
    fleet.executions = {name: [execution] for name in ("q1", "q2")}
    sent = [
        request(name, ended_ms, status=200, body=body)
        for name, ended_ms in (("q2", 900), ("q1", 500))
    ]
    report = upgrade_judge.report(fleet, sent, 100, 1_000)
    assert report.worst_gap_ms == {KIND.name: 400}
    assert report.answered == 2 and not report.broken


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["no-such-commit"], "unknown commit 'no-such-commit'"),
        (["HEAD", "--gateways", "4"], "--gateways must be from 5 to 30"),
        (["HEAD", "--callers", "0"], "--callers must be at least 1"),
        (["HEAD", "--pace-ms", "-1"], "--pace-ms must not be negative"),
    ],
)
def test_bad_options_end_with_one_line(capsys, arguments, message):
    assert upgrade_trial.main([*arguments, "--allow-changes"]) == 2
    printed = capsys.readouterr()
    assert printed.out == ""
    assert printed.err.splitlines() == [f"upgrade trial: {message}"]


def test_a_trial_that_needs_too_much_memory_does_not_start(capsys, monkeypatch):
    monkeypatch.setattr(upgrade_fleet, "available_mb", lambda: 1_000)
    assert upgrade_trial.main(["HEAD", "--gateways", "7"]) == 2
    assert "7 gateways need 1050 MB" in capsys.readouterr().err


# The report names a commit, which must be what was run.
async def test_a_changed_working_tree_is_refused(monkeypatch):
    async def answer(*arguments):
        return " M oleanderbay/gateway/entry.py"

    monkeypatch.setattr(upgrade_builds, "_git", answer)
    with pytest.raises(upgrade_builds.BuildError, match=r"gateway/entry\.py"):
        await upgrade_builds.working_tree()


# A gateway that can't be started left the others running.
async def test_a_gateway_that_does_not_start_ends_the_trial(
    monkeypatch, capsys
):
    build = upgrade_builds.build

    async def broken_build(commit, folder):
        built = await build(commit, folder)
        (folder / "oleanderbay" / "cli" / "gateway.py").write_text("broken")
        return built

    monkeypatch.setattr(upgrade_builds, "build", broken_build)
    fleets = []
    make = upgrade_fleet.UpgradeFleet

    def note(*arguments):
        fleets.append(make(*arguments))
        return fleets[-1]

    monkeypatch.setattr(upgrade_fleet, "UpgradeFleet", note)
    trial = upgrade_trial.Trial(
        upgrade_trial.Options(commit="HEAD", gateways=5, allow_changes=True)
    )
    with pytest.raises(upgrade_fleet.StartError, match="NameError"):
        await trial.run()
    processes = fleets[0].processes.by_name.values()
    assert all(process.returncode is not None for process in processes)


async def _find_commit(folder):
    """Returns the first of the earlier versions that this clone holds."""
    for commit in COMMITS:
        try:
            await upgrade_builds.build(commit, folder / commit)
        except upgrade_builds.BuildError as error:
            print(error)
            continue
        return commit
    raise AssertionError("this clone holds no earlier version")


# Gateways of two versions that serve side by side must keep all promises.
async def test_an_upgrade_and_a_rollback_break_no_rule(tmp_path):
    options = upgrade_trial.Options(
        commit=await _find_commit(tmp_path),
        gateways=5,
        pace_ms=0,
        allow_changes=True,
        logs=tmp_path / "logs",
    )
    report = await upgrade_trial.Trial(options).run()
    if not report.holds:
        print((options.logs / "gateways.log").read_text())
    assert report.lost == report.doubled == report.foreign == []
    assert report.broken == []
    assert report.holds
    assert report.replaced == 10
