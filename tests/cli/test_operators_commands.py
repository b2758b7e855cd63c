"""Tests of the operators' commands against an entry on loopback."""

import asyncio
import json
import pathlib

import json5
import pytest

from oleanderbay.cli import client, declared, main
from oleanderbay.process import clock
from oleanderbay.process.configuration import submission
from oleanderbay.process.operators import listener as listeners
from oleanderbay.process.operators import servicer as servicers
from oleanderbay.process.operators import watches
from tests.process.configuration import test_submission

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples" / "declarations"
FLEETS = [
    json5.loads(path.read_text())["fleets"][0]
    for path in sorted(EXAMPLES.glob("*/fleet.json5"))
]


@pytest.fixture
async def entry():
    fake = test_submission.FakeEntry()
    fake.use_clock(clock.SystemClock())
    servicer = servicers.Servicer(
        fake.submissions, watches.Watches(fake, fake.submissions.clock)
    )
    listener = listeners.Listener(servicer, "127.0.0.1:0")
    await listener.start()
    fake.address = f"127.0.0.1:{listener.port}"
    yield fake
    await listener.close(0)


@pytest.fixture
def command(entry, capsys):
    """Runs a command line; returns exit code, output and errors."""

    async def run(*arguments, json_output=False):
        options = ["--address", entry.address]
        if json_output:
            options += ["--output", "json"]
        argv = [arguments[0], *options, *map(str, arguments[1:])]
        code = await asyncio.to_thread(main.main, argv)
        captured = capsys.readouterr()
        output = (
            json.loads(captured.out)
            if json_output and captured.out
            else captured.out
        )
        return code, output, captured.err

    return run


async def test_plan_apply_and_drift_of_a_directory(command, entry):
    code, out, _ = await command("plan", EXAMPLES)
    assert code == 0 and len(FLEETS) == 2
    for fleet in FLEETS:
        assert f"+ fleet {fleet['id']} '{fleet['name']}'" in out
    assert entry.appends == 0
    code, out, _ = await command("plan", EXAMPLES, "--drift")
    assert code == 1
    code, out, err = await command("apply", EXAMPLES, "--wait")
    assert code == 0, err
    assert "in force at every entry" in out
    code, out, _ = await command("apply", EXAMPLES)
    assert (code, out) == (0, "nothing to apply\n")
    assert entry.appends == 1
    code, out, _ = await command("plan", EXAMPLES, "--drift")
    assert (code, out) == (0, "no drift\n")


async def test_prune_needs_a_confirmation(command, entry, tmp_path):
    text = '{fleets: [{id: "f1", name: "fleet one"}], fleet: "f1",'
    text += 'teams: [{id: "t1", name: "team one"}]}'
    (tmp_path / "a.json").write_text(text)
    code, out, err = await command("apply", tmp_path, "--prune")
    assert code == main.EXIT_USAGE and "--yes" in err
    assert "- service s1 'writer'" in out
    assert entry.current.get("service", "s1")
    code, _, _ = await command("apply", tmp_path, "--prune", "--yes")
    assert code == 0
    assert entry.current.get("service", "s1") is None
    assert entry.current.get("team", "t1").share == 1.0


async def test_conflicts_and_mistakes_exit_1(command, tmp_path):
    path = tmp_path / "a.json"
    path.write_text('{fleet: "f9", teams: [{name: "t"}]}')
    code, out, _ = await command("plan", path)
    assert code == 1 and "there is no fleet 'f9'" in out
    code, _, err = await command("apply", path)
    assert code == 1 and "there is no fleet 'f9'" in err
    path.write_text("{teams: 3}")
    code, _, err = await command("apply", path)
    assert code == 1 and "must be a list" in err


async def test_drain_status_cancel_and_restore(command, entry):
    code, out, _ = await command(
        "drain", "zone 1", "--request-id", "r1", json_output=True
    )
    assert code == 0 and out["status"] == "accepted"
    assert entry.current.drained_zones() == {"z1"}
    code, again, _ = await command(
        "drain", "zone 1", "--request-id", "r1", json_output=True
    )
    assert (code, again["offset"]) == (0, out["offset"])
    code, out, _ = await command("status", json_output=True)
    (line,) = out["changes"]
    assert line["in_effect"] and line["change"]["zone"] == "z1"
    change = line["change"]["id"]
    code, out, _ = await command("status", change)
    assert code == 0 and "drain_zone z1: pending, in effect" in out
    code, _, err = await command("drain", "z1")
    assert code == 1 and change in err and "overlaps" in err
    code, _, _ = await command("cancel", change, "--reason", "wrong zone")
    assert code == 0 and not entry.current.drained_zones()
    code, _, err = await command("restore", "z1")
    assert code == 1 and "nothing to restore" in err
    code, _, err = await command("drain", "nowhere")
    assert code == 1 and "known: z1, z2, z3" in err


async def test_a_drain_of_all_zones_needs_force(command, entry):
    for zone in ("z1", "z2"):
        assert (await command("drain", zone))[0] == 0
    code, _, err = await command("drain", "z3")
    assert code == 1 and "0 of 3 zones would be left" in err
    assert (await command("drain", "z3", "--force"))[0] == 0
    assert entry.current.drained_zones() == {"z1", "z2", "z3"}


async def test_retire_and_roll(command, entry):
    assert (await command("retire", "i1", "i2"))[0] == 0
    assert entry.current.retired_instances() == {"i1", "i2"}
    assert (await command("roll", "s1", "--model-version", "2"))[0] == 0
    code, _, err = await command("roll", "s1")
    assert code == 1 and "is required" in err


async def test_get_shows_resources_and_entries(command):
    code, out, _ = await command("get", "team", "t1", "--where")
    assert code == 0
    assert "team t1 (version 1): name='team one'" in out
    assert "3 of 3 entries heard from" in out
    code, out, _ = await command("get", "zone", json_output=True)
    assert [item["fields"]["id"] for item in out["resources"]] == [
        "z1",
        "z2",
        "z3",
    ]
    code, _, err = await command("get", "team", "none")
    assert code == 1 and "none" in err


async def test_watch_prints_the_state(command):
    code, out, _ = await command("watch", "team", "--count", "1")
    assert code == 0
    assert out.startswith("offset 1 initial\nteam t1")
    code, _, err = await command("watch", "nothing")
    assert code == main.EXIT_USAGE and "must be one of" in err


async def test_import_reports_before_it_commits(command, entry):
    code, out, _ = await command("import", EXAMPLES)
    assert code == 0 and "0 already present" in out
    assert "name team 'operations': " in out
    assert entry.appends == 0
    code, _, _ = await command("import", EXAMPLES, "--commit")
    assert code == 0
    for fleet in FLEETS:
        assert entry.current.get("fleet", fleet["id"])


async def test_exit_codes_of_refused_and_unknown(command, entry):
    entry.faults = [test_submission.ShedError("budget is exhausted")]
    code, _, err = await command("drain", "z1")
    assert code == main.EXIT_UNAVAILABLE and "try again in 250 ms" in err
    entry.faults = ["dropped"] * 100
    code, _, err = await command(
        "drain", "z1", "--timeout-ms", "50", "--request-id", "r"
    )
    assert code == main.EXIT_UNKNOWN and "--request-id r" in err
    assert submission.Status.UNKNOWN in err


def test_no_entry_is_never_an_unknown_outcome(capsys, monkeypatch):
    monkeypatch.setattr(client, "CONNECT_TIMEOUT_MS", 100)
    code = main.main(["drain", "z1", "--address", "127.0.0.1:1"])
    assert code == main.EXIT_UNAVAILABLE
    assert "no connection" in capsys.readouterr().err


def test_check_of_declarations(capsys, tmp_path):
    assert declared.is_declarations(EXAMPLES)
    assert declared.check(EXAMPLES, "text") == 0
    path = tmp_path / "a.json5"
    path.write_text('{fleet: "f", routes: [{name: "r", service: "s"}]}')
    assert declared.is_declarations(path)
    capsys.readouterr()
    assert declared.check(path, "json") == 1
    output = json.loads(capsys.readouterr().out)
    assert [item["path"] for item in output["mistakes"]] == [
        "a.json5:routes[0].fleet",
        "a.json5:routes[0].service",
    ]
    path.write_text("{admin: {port: 1}}")
    assert not declared.is_declarations(path)


@pytest.mark.parametrize(
    "argv",
    [
        ["drain", "z", "--start-at", "tomorrow"],
        ["drain", "z", "--start-at", "2030-01-31T08:00"],
        ["drain"],
        ["get", "nothing"],
        ["plan", "x", "--timeout-ms", "0"],
    ],
)
def test_wrong_usage_exits_2(argv, capsys):
    with pytest.raises(SystemExit) as caught:
        main.main(argv)
    assert caught.value.code == main.EXIT_USAGE
    assert "error" in capsys.readouterr().err
