"""The `oleanderbay` command."""

import argparse
import importlib
import sys
from collections.abc import Sequence

import oleanderbay
from oleanderbay.cli.codes import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN,
    EXIT_USAGE,
)

__all__ = [
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_UNAVAILABLE",
    "EXIT_UNKNOWN",
    "EXIT_USAGE",
    "main",
]

# Commands by module. Only the module of the command in use is imported:
# importing all of them takes longer than an entry takes to start.
FAMILIES: dict[str, frozenset[str]] = {
    "serve": frozenset({"serve"}),
    "gateway": frozenset({"gateway"}),
    "gateways": frozenset({"gateways"}),
    "check": frozenset({"check"}),
    "standins": frozenset({"standin"}),
    "demo": frozenset({"demo"}),
    "declared": frozenset({"plan", "apply", "import"}),
    "show": frozenset({"get", "watch", "status"}),
    "planned": frozenset({"drain", "restore", "retire", "roll", "cancel"}),
}


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command.

    Args:
        argv: Arguments after the program's name; the process's by default.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(
        prog="oleanderbay", description=oleanderbay.__doc__
    )
    parser.add_argument(
        "--version", action="version", version=oleanderbay.__version__
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    arguments = list(sys.argv[1:] if argv is None else argv)
    named = [f for f, names in FAMILIES.items() if names & {*arguments[:1]}]
    for family in named or FAMILIES:
        importlib.import_module(f"oleanderbay.cli.{family}").register(commands)
    args = parser.parse_args(arguments)
    if args.command is None:
        parser.print_help()
        return EXIT_USAGE
    code: int = args.run(args)
    return code
