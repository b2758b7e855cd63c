"""The `demo` command: a small fleet in one process on loopback."""

import argparse
import asyncio
import json
import logging
import sys
from typing import Any

from oleanderbay.cli import codes
from oleanderbay.process import clock as clocks

HOLD_PORT = 8080


def register(subparsers: Any) -> None:
    """Adds the `demo` command to the command line."""
    parser = subparsers.add_parser(
        "demo",
        help="show the system at work with stand-ins",
        description="Runs three entries, stand-ins and engines in one "
        "process on loopback, drains an availability zone while streams run, "
        "kills a group member, loses the answer of a booking and stops an "
        "entry. Ends on its own in under a minute. Exits 0 only if every "
        "promise that it shows has held, 1 otherwise.",
        epilog="example: oleanderbay demo --hold 600",
    )
    parser.add_argument(
        "--hold",
        type=int,
        default=0,
        metavar="SECONDS",
        help="instead of the steps, keep the fleet running for calls by hand",
    )
    parser.add_argument(
        "--port",
        type=int,
        default=HOLD_PORT,
        help="callers' port of the first entry with --hold",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.add_argument(
        "--verbose", action="store_true", help="write the entries' logs"
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the demonstration and returns the exit code."""
    from oleanderbay.process import logs

    logs.configure("info" if args.verbose else "critical")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    if args.hold:
        return asyncio.run(_hold(args))
    return asyncio.run(_show(args))


async def _show(args: argparse.Namespace) -> int:
    from oleanderbay.standins import fleet, scenario

    clock = clocks.SystemClock()
    begun_ms = clock.now_ms()
    shown = fleet.Fleet(fleet.FleetSettings(), clock)

    def progress(line: str) -> None:
        if args.output == "text":
            print(f"{(clock.now_ms() - begun_ms) / 1000:5.1f} s  {line}")
            sys.stdout.flush()

    played = scenario.Scenario(shown, clock, progress)
    progress("starting 3 entries, 15 engines and the stand-ins")
    try:
        held = await played.run()
    finally:
        await shown.close()
    spent_s = (clock.now_ms() - begun_ms) / 1000
    if args.output == "json":
        steps = [
            {"name": s.name, "held": s.held, "figures": s.figures}
            for s in played.steps
        ]
        print(json.dumps({"held": held, "seconds": spent_s, "steps": steps}))
    else:
        broken = sum(not step.held for step in played.steps)
        print(
            f"\n{len(played.steps) - broken} of {len(played.steps)} steps "
            f"and promises held, {spent_s:.1f} s"
        )
    return codes.EXIT_OK if held else codes.EXIT_FAILED


async def _hold(args: argparse.Namespace) -> int:
    from oleanderbay.standins import fleet

    clock = clocks.SystemClock()
    shown = fleet.Fleet(fleet.FleetSettings(base_port=args.port), clock)
    try:
        await shown.start()
        await shown.wait(
            lambda: all(
                made.replication.lease.state().takes_work
                for made in shown.entries
            ),
            5_000,
        )
        await shown.apply(*shown.declarations())
        await shown.wait(
            lambda: shown.eligible_count() >= shown.config.groups, 15_000
        )
        for made in shown.entries:
            print(
                f"{made.me.id} in {made.me.zone}: "
                f"callers http://{made.me.caller_address}, operators "
                f"127.0.0.1:{made.operators.port}, "
                f"admin http://127.0.0.1:{made.admin.port}"
            )
        print(
            "try: curl -N "
            f"http://{shown.entries[0].me.caller_address}/v1/completions "
            f"-H 'Oleanderbay-Fleet: {fleet.FLEET}' "
            f"-H 'Oleanderbay-Team: {fleet.TEAM}' "
            f'-d \'{{"model": "{fleet.MODEL}", "prompt": "hello", '
            '"stream": true}\'',
            flush=True,
        )
        await clock.sleep_ms(args.hold * 1000)
    finally:
        await shown.close()
    return codes.EXIT_OK
