"""The `check` command: checks a file without any network calls."""

import argparse
import dataclasses
import json
import pathlib
import sys
from collections.abc import Mapping
from typing import Any

import json5

from oleanderbay.cli import codes, declared
from oleanderbay.gateway import settings as gateway_settings
from oleanderbay.process import settings as entry_settings


def register(subparsers: Any) -> None:
    """Adds the `check` command to the command line."""
    parser = subparsers.add_parser(
        "check",
        help="check settings or declarations",
        description="Checks settings of an entry or of a gateway, or a file "
        "or directory of declarations, and prints every mistake. Makes no "
        "network calls. Exits 0 if there is none, 1 if there are some.",
        epilog="example: oleanderbay check examples/settings/entry.json5",
    )
    parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Checks the file and returns the exit code."""
    if declared.is_declarations(args.file):
        return declared.check(args.file, args.output)
    kind = _kind(args.file)
    try:
        if kind == "gateway":
            gateway_settings.load(args.file)
        else:
            entry_settings.load(args.file)
    except (
        entry_settings.SettingsError,
        gateway_settings.SettingsError,
    ) as error:
        if args.output == "json":
            mistakes = [
                {
                    "path": mistake.path,
                    "line": mistake.line,
                    "found": mistake.found,
                    "allowed": mistake.allowed,
                }
                for mistake in error.mistakes
            ]
            print(json.dumps({"valid": False, "mistakes": mistakes}))
        else:
            for mistake in error.mistakes:
                print(f"{args.file}: {mistake}", file=sys.stderr)
        return codes.EXIT_FAILED
    if args.output == "json":
        print(json.dumps({"valid": True, "mistakes": []}))
    else:
        article = "a" if kind == "gateway" else "an"
        print(f"{args.file}: valid settings of {article} {kind}")
    return codes.EXIT_OK


def _kind(path: pathlib.Path) -> str:
    """Tells the two kinds of settings apart by the sections they name."""
    try:
        tree = json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError):
        return "entry"
    if not isinstance(tree, Mapping):
        return "entry"
    gateway = {f.name for f in dataclasses.fields(gateway_settings.Settings)}
    entry = {f.name for f in dataclasses.fields(entry_settings.Settings)}
    only_gateway = len((gateway - entry) & tree.keys())
    only_entry = len((entry - gateway) & tree.keys())
    return "gateway" if only_gateway > only_entry else "entry"
