"""The `serve` command: runs one entry."""

import argparse
import asyncio
import pathlib
import resource
import signal
import sys
from typing import Any

import structlog

from oleanderbay.cli import codes


def register(subparsers: Any) -> None:
    """Adds the `serve` command to the command line."""
    parser = subparsers.add_parser(
        "serve",
        help="run one entry",
        description="Runs one entry until SIGINT or SIGTERM, then shuts "
        "down gracefully. Exits 0 after a graceful shutdown, 1 if requests "
        "had to be cut off, 2 for invalid settings.",
        epilog="example: oleanderbay serve --settings entry.json5",
    )
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Serves until a signal and returns the exit code."""
    from oleanderbay.process import entry, logs, settings

    try:
        config = settings.load(args.settings)
    except settings.SettingsError as error:
        for mistake in error.mistakes:
            print(f"{args.settings}: {mistake}", file=sys.stderr)
        return codes.EXIT_USAGE
    logs.configure(config.logging.level)
    # Each stream in progress takes two connections.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return asyncio.run(_serve(entry.Entry(config)))


async def _serve(served: Any) -> int:
    stop, again = asyncio.Event(), asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            again.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, on_signal)
    try:
        await served.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        await served.close()
        return codes.EXIT_FAILED
    # Ends also when a part of the entry has crashed, so that whoever runs the
    # process can start it again.
    try:
        await served.wait(stop)
    except Exception as error:
        return await _crashed(served, error)
    if not stop.is_set():
        return await _crashed(served, served.crash_reason)
    graceful = await served.shut_down(again)
    return codes.EXIT_OK if graceful else codes.EXIT_FAILED


async def _crashed(served: Any, error: BaseException | None) -> int:
    structlog.get_logger().error("entry crashed", error=repr(error))
    await served.close()
    return codes.EXIT_FAILED
