"""Replaces gateways of an earlier version under load, and goes back again.

Gateways of an earlier commit run as processes on loopback before stand-ins.
They are replaced one after the other by the working tree, then by the earlier
version again. In each half a configuration changes, workers leave, and the
demand moves between models, so that groups form and dissolve. What callers and
workers saw is checked: exit code 1 if a rule was broken, 2 if the trial can't
be made.

Example: python -m bench.upgrade_trial d43589d --gateways 7
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import tempfile

from bench import (
    stop_callers,
    stop_fleet,
    upgrade_builds,
    upgrade_fleet,
    upgrade_judge,
)
from oleanderbay.process import clock as clocks

MIN_GATEWAYS, MAX_GATEWAYS = 5, 30
# Memory of one gateway process, with some reserve.
GATEWAY_MB = 150
SETTLE_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """What a trial does.

    Attributes:
        commit: The earlier version.
        gateways: Number of gateways.
        callers: Number of callers.
        pace_ms: Time between two replacements.
        seed: Seed of all draws.
        rounds: How often it goes forward and back.
        allow_changes: Whether the working tree may have uncommitted changes.
        logs: Folder for the gateways' logs; None discards them.
    """

    commit: str
    gateways: int = 7
    callers: int = 30
    pace_ms: int = 500
    seed: int = 1
    rounds: int = 1
    allow_changes: bool = False
    logs: pathlib.Path | None = None


class UsageError(Exception):
    """The options ask for what can't be done; the message says why."""


class Trial:
    """One trial."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.clock = clocks.SystemClock()
        self.started_ms = self.clock.now_ms()

    async def run(self) -> upgrade_judge.Report:
        """Makes the trial.

        Raises:
            BuildError: A version can't be built.
            StartError: A gateway can't be started.
        """
        options = self.options
        newer = await upgrade_builds.working_tree(options.allow_changes)
        with tempfile.TemporaryDirectory(prefix="oleanderbay-") as folder:
            older = await upgrade_builds.build(
                options.commit, pathlib.Path(folder)
            )
            fleet = upgrade_fleet.UpgradeFleet(
                stop_fleet.Options(
                    seed=options.seed, gateways=options.gateways
                ),
                self.clock,
                older,
            )
            try:
                self.say(f"{options.gateways} gateways of {older.name} start")
                await fleet.start()
                return await self._run(fleet, older, newer)
            finally:
                if options.logs is not None:
                    options.logs.mkdir(parents=True, exist_ok=True)
                    (options.logs / "gateways.log").write_text(fleet.logs())
                await fleet.close()

    async def _run(
        self,
        fleet: upgrade_fleet.UpgradeFleet,
        older: upgrade_builds.Build,
        newer: upgrade_builds.Build,
    ) -> upgrade_judge.Report:
        callers = fleet.callers(
            self.options.callers,
            0.2,
            upgrade_fleet.kinds(upgrade_fleet.MODELS[0]),
        )
        callers.start()
        await self.clock.sleep_ms(SETTLE_MS)
        began_ms = self.clock.now_ms()
        for _ in range(self.options.rounds):
            for build in (newer, older):
                await self._replace_all(fleet, callers, build)
        ended_ms = self.clock.now_ms()
        await callers.close()
        # Workers notice the end of a connection a little later.
        await self.clock.sleep_ms(200)
        return upgrade_judge.report(fleet, callers.sent, began_ms, ended_ms)

    async def _replace_all(
        self,
        fleet: upgrade_fleet.UpgradeFleet,
        callers: stop_callers.Callers,
        build: upgrade_builds.Build,
    ) -> None:
        """Replaces all gateways by a version while other things change."""
        hosts = list(fleet.hosts)
        fleet.rng.shuffle(hosts)
        self.say(f"to {build.name}")
        changes = asyncio.create_task(self._change(fleet, callers))
        try:
            for host in hosts:
                fleet.builds[host] = build
                await fleet.stop_gateway(host)
                running = sum(b is build for b in fleet.running.values())
                self.say(
                    f"{running} of {len(hosts)} run {build.name};"
                    f" {len(callers.sent)} requests,"
                    f" groups {len(fleet.open_groups())},"
                    f" violations {len(fleet.violations)}"
                )
                await self.clock.sleep_ms(self.options.pace_ms)
            await changes
        finally:
            changes.cancel()
            await asyncio.gather(changes, return_exceptions=True)

    async def _change(
        self,
        fleet: upgrade_fleet.UpgradeFleet,
        callers: stop_callers.Callers,
    ) -> None:
        """Changes configuration, workers and demand, in a drawn order."""

        async def configure() -> None:
            await fleet.configure(fleet.version + 1)

        async def move_demand() -> None:
            model = upgrade_fleet.MODELS[fleet.version % 2]
            callers.kinds = upgrade_fleet.kinds(model)

        steps = [
            ("the configuration changes", configure),
            ("the demand moves", move_demand),
            (
                "a plain worker leaves",
                lambda: fleet.replace_worker(upgrade_fleet.PLAIN_SERVICE),
            ),
            (
                "a worker of groups leaves",
                lambda: fleet.replace_worker(upgrade_fleet.GROUP_SERVICE),
            ),
        ]
        fleet.rng.shuffle(steps)
        for text, step in steps:
            await self.clock.sleep_ms(fleet.rng.uniform(500, 2_500))
            self.say(text)
            await step()

    def say(self, text: str) -> None:
        """Shows progress."""
        passed_s = (self.clock.now_ms() - self.started_ms) / 1_000
        print(f"{passed_s:6.1f} {text}", file=sys.stderr, flush=True)


def check_options(options: Options) -> None:
    """Checks the options.

    Raises:
        UsageError: They ask for what can't be done.
    """
    if not MIN_GATEWAYS <= options.gateways <= MAX_GATEWAYS:
        raise UsageError(
            f"--gateways must be from {MIN_GATEWAYS} to {MAX_GATEWAYS}"
        )
    for name in ("callers", "rounds"):
        if getattr(options, name) < 1:
            raise UsageError(f"--{name} must be at least 1")
    if options.pace_ms < 0:
        raise UsageError("--pace-ms must not be negative")
    needed_mb = options.gateways * GATEWAY_MB
    available_mb = upgrade_fleet.available_mb()
    if needed_mb > available_mb:
        raise UsageError(
            f"{options.gateways} gateways need {needed_mb} MB;"
            f" {available_mb} MB may be used"
        )


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.upgrade_trial",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    defaults = Options(commit="")
    parser.add_argument("commit", help="the earlier version")
    for name, text in (
        ("gateways", f"{MIN_GATEWAYS} to {MAX_GATEWAYS}"),
        ("callers", "callers that keep their connections"),
        ("pace-ms", "time between two replacements"),
        ("seed", "seed of all draws"),
        ("rounds", "how often it goes forward and back"),
    ):
        parser.add_argument(
            f"--{name}",
            type=int,
            default=getattr(defaults, name.replace("-", "_")),
            help=f"{text}; %(default)s by default",
        )
    parser.add_argument(
        "--allow-changes",
        action="store_true",
        help="use a working tree with uncommitted changes",
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder for the gateways' logs"
    )
    options = Options(**vars(parser.parse_args(arguments)))
    try:
        check_options(options)
        report = asyncio.run(Trial(options).run())
    except (
        UsageError,
        upgrade_builds.BuildError,
        upgrade_fleet.StartError,
    ) as error:
        print(f"upgrade trial: {error}", file=sys.stderr)
        return 2
    print(
        json.dumps(
            {
                "commit": options.commit,
                "seed": options.seed,
                "gateways": options.gateways,
                **dataclasses.asdict(report),
            }
        )
    )
    return 0 if report.holds else 1


if __name__ == "__main__":
    raise SystemExit(main())
