"""The `gateway` command: runs one gateway on the users' platform."""

import argparse
import asyncio
import os
import pathlib
import resource
import signal
import sys
from typing import Any

from oleanderbay.cli import codes

SETTINGS_VARIABLE = "OLEANDERBAY_CONFIG"


def register(subparsers: Any) -> None:
    """Adds the `gateway` command to the command line."""
    parser = subparsers.add_parser(
        "gateway",
        help="run one gateway before workers of a shared store",
        description="Runs one gateway until SIGINT or SIGTERM, then stops "
        "gracefully. Exits 0 after a graceful stop, 2 for invalid settings.",
        epilog="example: oleanderbay gateway --settings gateway.json5",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings file; ${SETTINGS_VARIABLE} by default",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Serves until a signal and returns the exit code."""
    # The settings of a running gateway hold nothing that may change. A SIGHUP
    # that comes during the imports would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from oleanderbay.gateway import settings, telemetry
    from oleanderbay.process import logs

    if args.settings is None:
        print("--settings is required", file=sys.stderr)
        return codes.EXIT_USAGE
    try:
        config = settings.load(pathlib.Path(args.settings))
    except settings.SettingsError as error:
        for mistake in error.mistakes:
            print(f"{args.settings}: {mistake}", file=sys.stderr)
        return codes.EXIT_USAGE
    logs.configure(config.logging.level)
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    try:
        code = asyncio.run(_serve(config))
    except telemetry.TelemetryError as error:
        print(f"{args.settings}: {error}", file=sys.stderr)
        return codes.EXIT_USAGE
    # Everything is closed. To free all modules, the interpreter may take longer
    # than what is left of the grace period.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


async def _serve(config: Any) -> int:
    from oleanderbay.gateway import entry
    from oleanderbay.platform import http_headers, orders, records, store

    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    metadata = store.HttpStore(
        config.store.address, config.store.partitions, config.store.timeout_ms
    )
    giver = orders.HttpOrders(
        config.workers.order_timeout_ms, config.workers.connect_timeout_ms
    )
    gateway = entry.Gateway(
        config,
        metadata,
        giver,
        records.JsonDecoder(),
        http_headers.HeaderTranslator(),
    )
    await metadata.start()
    await giver.start()
    await gateway.start()
    await stop.wait()
    await gateway.stop_gracefully()
    await metadata.close()
    await giver.close()
    return codes.EXIT_OK
