"""Planned stops, SIGHUP and configurations of gateways of any version.

Gateways run as processes on loopback before groups of workers. Streams may be
resumed at another worker, workers refuse requests while they are full, and some
fall silent for a moment. What callers and workers saw is checked: exit code 1
if a request was lost or another promise was broken, 2 if a run can't be made.

Example: python -m bench.version_stops 09c6dd2 --silence-ms 3000
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile

from bench import (
    planned_stops,
    stop_callers,
    stop_fleet,
    stop_judge,
    upgrade_builds,
    upgrade_fleet,
    version_fleet,
)
from oleanderbay.process import clock as clocks

WORKING_TREE = "."
SETTLE_MS = 3_000
# How an event of the log is told from others.
CUT_OFF = "response cut off"
STALLED = "the answer stalls"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """What a run does.

    Attributes:
        commit: The version; `.` for the working tree.
        seed: Seed of all draws.
        gateways: Number of gateways.
        callers: Number of callers.
        stops: Number of planned stops.
        together: Number of gateways that are stopped at the same time.
        silence_ms: Mean time between two silences of workers; 0 for none.
        busy: Number of processes that only use processor time.
        second_signals: Whether some stops get a second SIGTERM.
        store_outages: Whether the store refuses calls during some stops.
        logs: Folder for the gateways' logs; None discards them.
    """

    commit: str = WORKING_TREE
    seed: int = 1
    gateways: int = 7
    callers: int = 50
    stops: int = 6
    together: int = 2
    silence_ms: int = 0
    busy: int = 0
    second_signals: bool = False
    store_outages: bool = False
    logs: pathlib.Path | None = None


class UsageError(Exception):
    """The options ask for what can't be done; the message says why."""


class Judge(stop_judge.Judge):
    """Judges requests of which some may run more than once."""

    def _broken(self, request: stop_callers.Sent) -> list[str]:
        broken = super()._broken(request)
        if not request.kind.repeatable:
            return broken
        ran = self.fleet.executions.get(request.id, [])
        # Either of two runs may have ended the answer, and a failure is one.
        allowed = (
            f"{request.id} ran {len(ran)} times"
            if len(ran) <= version_fleet.ATTEMPTS
            else "",
            f"{request.id} was answered with 502",
            f"{request.id} has an answer that is not whole"
            if any(execution.complete for execution in ran)
            else "",
        )
        return [line for line in broken if line not in allowed]


async def run(
    options: Options, build: upgrade_builds.Build
) -> dict[str, object]:
    """Makes one run and returns its report."""
    clock = clocks.SystemClock()
    fleet = version_fleet.VersionFleet(
        stop_fleet.Options(seed=options.seed, gateways=options.gateways),
        clock,
        build,
    )
    async with planned_stops.busy_processes(options.busy):
        try:
            await fleet.start()
            callers = fleet.callers(options.callers, 0.2, version_fleet.kinds())
            callers.start()
            await clock.sleep_ms(SETTLE_MS)
            await _disturb(fleet, options)
            await callers.close()
            # Workers notice the end of a connection a little later.
            await clock.sleep_ms(200)
        finally:
            logs = fleet.logs()
            if options.logs is not None:
                options.logs.mkdir(parents=True, exist_ok=True)
                name = f"{build.name}-{options.seed}.log"
                (options.logs / name).write_text(logs)
            await fleet.close()
    report = Judge(fleet).report(callers.sent)
    return {
        "version": build.name,
        "seed": options.seed,
        "holds": report.holds and not fleet.violations,
        **dataclasses.asdict(report),
        "silences": fleet.silences,
        "violations": fleet.violations,
        "stalled_attempts": logs.count(STALLED),
        "cut_off": logs.count(CUT_OFF),
        "lost_kinds": dict(
            collections.Counter(line.split("(")[1] for line in report.lost)
        ),
    }


async def _disturb(fleet: version_fleet.VersionFleet, options: Options) -> None:
    """Stops gateways while other things change."""
    tasks = [asyncio.create_task(fleet.make_changes(300, 1_000))]
    if options.silence_ms:
        tasks.append(
            asyncio.create_task(
                fleet.silence_workers(options.silence_ms, options.seed)
            )
        )
    try:
        for first in range(0, options.stops, options.together):
            hosts = [
                fleet.hosts[number % options.gateways]
                for number in range(
                    first, min(first + options.together, options.stops)
                )
            ]
            await asyncio.gather(
                *(_stop(fleet, host, options) for host in dict.fromkeys(hosts))
            )
    finally:
        await version_fleet.cancel(tasks)


async def _stop(
    fleet: version_fleet.VersionFleet, host: str, options: Options
) -> None:
    clock, rng = fleet.clock, fleet.rng
    await clock.sleep_ms(rng.uniform(0, 1_300))
    tasks = []
    if options.second_signals and rng.random() < 0.5:
        tasks.append(asyncio.create_task(_signal_again(fleet, host)))
    if options.store_outages and rng.random() < 0.5:
        tasks.append(asyncio.create_task(_lose_store(fleet)))
    try:
        await fleet.stop_gateway(host)
    finally:
        await version_fleet.cancel(tasks)


async def _signal_again(fleet: version_fleet.VersionFleet, host: str) -> None:
    process = fleet.processes.by_name[host]
    await fleet.clock.sleep_ms(fleet.rng.uniform(1, 4_000))
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGTERM)


async def _lose_store(fleet: version_fleet.VersionFleet) -> None:
    """Lets the store refuse or swallow all calls for some seconds."""
    fault = fleet.rng.choice(("refuse", "silent"))
    fleet.store.faults[fault] = 1_000_000
    try:
        await fleet.clock.sleep_ms(fleet.rng.uniform(2_000, 6_000))
    finally:
        fleet.store.faults[fault] = 0


async def _run_all(options: Options, seeds: int) -> int:
    """Makes several runs; returns how many of them broke a promise."""
    broken = 0
    with tempfile.TemporaryDirectory(prefix="oleanderbay-") as folder:
        if options.commit == WORKING_TREE:
            build = await upgrade_builds.working_tree(allow_changes=True)
        else:
            build = await upgrade_builds.build(
                options.commit, pathlib.Path(folder)
            )
        for seed in range(options.seed, options.seed + seeds):
            report = await run(dataclasses.replace(options, seed=seed), build)
            print(json.dumps(report), flush=True)
            broken += not report["holds"]
    return broken


def check_options(options: Options, seeds: int) -> None:
    """Checks the options.

    Raises:
        UsageError: They ask for what can't be done.
    """
    numbers = dataclasses.asdict(options) | {"seeds": seeds}
    for name in ("gateways", "callers", "together", "seeds"):
        if numbers[name] < 1:
            raise UsageError(f"--{name} must be at least 1")
    for name in ("stops", "silence_ms", "busy"):
        if numbers[name] < 0:
            raise UsageError(f"--{name.replace('_', '-')} must not be negative")


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.version_stops",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "commit", nargs="?", default=WORKING_TREE, help="version to run"
    )
    defaults = Options()
    for field in dataclasses.fields(Options):
        default = getattr(defaults, field.name)
        flag = f"--{field.name.replace('_', '-')}"
        if isinstance(default, bool):
            parser.add_argument(flag, action="store_true")
        elif isinstance(default, int):
            parser.add_argument(flag, type=int, default=default)
    parser.add_argument("--logs", type=pathlib.Path)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of runs, from --seed on"
    )
    args = vars(parser.parse_args(arguments))
    seeds = args.pop("seeds")
    options = Options(**args)
    try:
        check_options(options, seeds)
        broken = asyncio.run(_run_all(options, seeds))
    except (
        UsageError,
        upgrade_builds.BuildError,
        upgrade_fleet.StartError,
    ) as error:
        print(f"version stops: {error}", file=sys.stderr)
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
