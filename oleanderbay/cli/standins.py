"""The `standin` command: starts one stand-in alone on a port."""

import argparse
import asyncio
import dataclasses
import json
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

from oleanderbay.cli import codes, upstreams
from oleanderbay.process import clock as clocks
from oleanderbay.standins import instances, log


class StandIn(Protocol):
    """What every stand-in class offers."""

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        ...

    async def close(self) -> None:
        """Stops listening."""
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One row of the table of stand-ins.

    Attributes:
        help: One line for `--help`.
        add_arguments: Adds the options of this stand-in.
        make: Makes the stand-in from the parsed options.
    """

    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    make: Callable[[argparse.Namespace], StandIn]


def _log_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--append-delay-ms", type=int, default=0)
    parser.add_argument("--retention-ms", type=int, default=0)
    parser.add_argument("--retention-records", type=int, default=0)


def _make_log(args: argparse.Namespace) -> StandIn:
    return log.LogServer(
        log.Log(
            clocks.SystemClock(),
            retention_ms=args.retention_ms,
            retention_records=args.retention_records,
            faults=log.Faults(append_delay_ms=args.append_delay_ms),
        )
    )


def _instances_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--lag-ms", type=int, default=0)
    parser.add_argument("--ttl-ms", type=int, default=0)


def _make_instances(args: argparse.Namespace) -> StandIn:
    return instances.InstancesServer(
        instances.Instances(
            clocks.SystemClock(),
            ttl_ms=args.ttl_ms,
            faults=instances.Faults(lag_ms=args.lag_ms),
        )
    )


KINDS: dict[str, Kind] = {
    "log": Kind(
        help="append-only log service",
        add_arguments=_log_arguments,
        make=_make_log,
    ),
    "instances": Kind(
        help="lagging instance list",
        add_arguments=_instances_arguments,
        make=_make_instances,
    ),
    "weights": Kind(
        help="rate-limited weight store",
        add_arguments=upstreams.weights_arguments,
        make=upstreams.make_weights,
    ),
    "engine": Kind(
        help="model engine",
        add_arguments=upstreams.engine_arguments,
        make=upstreams.make_engine,
    ),
    "plain": Kind(
        help="plain service",
        add_arguments=upstreams.plain_arguments,
        make=upstreams.make_plain,
    ),
}


def register(subparsers: Any) -> None:
    """Adds the `standin` command to the command line."""
    parser = subparsers.add_parser(
        "standin",
        help="start one stand-in of an outside system",
        description="Starts one stand-in and serves until it is stopped.",
        epilog="example: oleanderbay standin log --port 7001 "
        "--append-delay-ms 10",
    )
    kinds = parser.add_subparsers(dest="standin", metavar="KIND", required=True)
    for name, kind in KINDS.items():
        kind_parser = kinds.add_parser(name, help=kind.help)
        kind_parser.add_argument("--host", default="127.0.0.1")
        kind_parser.add_argument("--port", type=int, default=0)
        kind.add_arguments(kind_parser)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Serves until SIGINT or SIGTERM and returns the exit code.

    Prints one JSON line with the address once it listens.
    """
    return asyncio.run(_serve(KINDS[args.standin].make(args), args))


async def _serve(standin: StandIn, args: argparse.Namespace) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    try:
        await standin.start(args.host, args.port)
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return codes.EXIT_FAILED
    address = getattr(standin, "address", f"{args.host}:{args.port}")
    print(json.dumps({"standin": args.standin, "address": address}), flush=True)
    await stop.wait()
    await standin.close()
    return codes.EXIT_OK
