"""Planned stops of gateways that run as separate processes on loopback.

Callers keep using their connections until a gateway's process has gone. What
they and the workers saw is checked against the promises of a planned stop.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import sys
from collections.abc import AsyncIterator

from bench import stop_fleet, stop_judge
from oleanderbay.process import clock as clocks


async def run(options: stop_fleet.Options) -> tuple[stop_judge.Report, str]:
    """Makes one run; returns what it has shown and the gateways' logs."""
    clock = clocks.SystemClock()
    fleet = stop_fleet.Fleet(options, clock)
    async with busy_processes(options.busy):
        try:
            await fleet.start()
            callers = fleet.callers(
                options.callers, options.slow_share, options.kinds
            )
            callers.start()
            await clock.sleep_ms(1_500)
            changes = (
                asyncio.create_task(fleet.make_changes(300, 1_500))
                if options.changes
                else None
            )
            for first in range(0, options.stops, options.together):
                stopped = [
                    fleet.hosts[number % options.gateways]
                    for number in range(
                        first, min(first + options.together, options.stops)
                    )
                ]
                await asyncio.gather(
                    *(
                        _stop_later(fleet, host)
                        for host in dict.fromkeys(stopped)
                    )
                )
            if changes is not None:
                changes.cancel()
            await callers.close()
            # Workers notice the end of a connection a little later.
            await clock.sleep_ms(200)
        finally:
            logs = fleet.logs()
            await fleet.close()
    return stop_judge.Judge(fleet).report(callers.sent), logs


async def _stop_later(fleet: stop_fleet.Fleet, host: str) -> None:
    if fleet.options.together > 1:
        await fleet.clock.sleep_ms(fleet.rng.uniform(0, 3_000))
    await fleet.stop_gateway(host)


@contextlib.asynccontextmanager
async def busy_processes(count: int) -> AsyncIterator[None]:
    """Runs processes that only use processor time."""
    busy = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-c", "while True: pass"
        )
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            await process.wait()


def main() -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.planned_stops", description=__doc__
    )
    defaults = stop_fleet.Options()
    for field in dataclasses.fields(stop_fleet.Options):
        default = getattr(defaults, field.name)
        flag = f"--{field.name.replace('_', '-')}"
        if isinstance(default, bool):
            parser.add_argument(flag, action="store_true")
        elif not isinstance(default, tuple):
            parser.add_argument(flag, type=type(default), default=default)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of runs, from --seed on"
    )
    parser.add_argument(
        "--logs", action="store_true", help="print the logs of failed runs"
    )
    args = vars(parser.parse_args())
    seeds, logs_wanted = args.pop("seeds"), args.pop("logs")
    broken = 0
    first = args.pop("seed")
    for seed in range(first, first + seeds):
        report, logs = asyncio.run(run(stop_fleet.Options(seed=seed, **args)))
        print(
            json.dumps({"seed": seed, **dataclasses.asdict(report)}), flush=True
        )
        if not report.holds:
            broken += 1
            if logs_wanted:
                print(logs, file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
