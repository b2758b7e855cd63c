"""Commands on declarations: `plan`, `apply`, `import`, and their check."""

import argparse
import pathlib
import sys
from typing import Any

import json5

from oleanderbay.cli import client, codes
from oleanderbay.schema import convert, operators_pb2
from oleanderbay.version import (
    declarations,
    difference,
    fields,
    records,
    resources,
)

DECLARED_KINDS = frozenset(declarations.SECTIONS.values())


def register(subparsers: Any) -> None:
    """Adds the commands to the command line."""
    plan = client.add_parser(
        subparsers,
        "plan",
        _plan,
        "Shows how declarations differ from what is in force. Changes nothing.",
        "oleanderbay plan declarations/ --prune",
    )
    plan.add_argument(
        "--drift",
        action="store_true",
        help="report drift, with undeclared resources of the same fleets; "
        "exits 1 if there is any",
    )
    apply = client.add_parser(
        subparsers,
        "apply",
        _apply,
        "Applies declarations as a whole or not at all.",
        "oleanderbay apply declarations/ --wait --request-id change-412",
    )
    client.add_submission(apply)
    apply.add_argument(
        "--yes", action="store_true", help="confirms what --prune deletes"
    )
    for parser in (plan, apply):
        parser.add_argument(
            "--prune",
            action="store_true",
            help="delete resources of the declared fleets that no file names",
        )
    importing = client.add_parser(
        subparsers,
        "import",
        _import,
        "Adds another fleet's declarations. Reports every name that is used "
        "twice and resolves none.",
        "oleanderbay import other-fleet/ --commit",
    )
    client.add_submission(importing)
    importing.add_argument(
        "--commit",
        action="store_true",
        help="add the resources if nothing conflicts; without it only the "
        "report is printed",
    )
    for parser in (plan, apply, importing):
        parser.add_argument("path", type=pathlib.Path, metavar="FILE|DIR")


def is_declarations(path: pathlib.Path) -> bool:
    """Whether `check` should take a path for declarations, not settings."""
    if path.is_dir():
        return True
    try:
        value = json5.loads(path.read_text())
    except (OSError, ValueError, RecursionError):
        return False
    return isinstance(
        value, dict
    ) and not declarations.SECTIONS.keys().isdisjoint(value)


def check(path: pathlib.Path, output: str) -> int:
    """Checks declarations without network calls; prints every mistake.

    Returns:
        The exit code.
    """
    try:
        declared = declarations.load(path)
    except declarations.DeclarationsError as error:
        lines = [fields.to_plain(item) for item in error.mistakes]
    else:
        lines = [
            {
                "path": ".".join(
                    part for part in (place, conflict.path) if part
                ),
                "value": conflict.value or conflict.winner,
                "reason": conflict.message,
            }
            for place, conflict in declarations.check(declared)
        ]
    if output == "json":
        client.print_json({"valid": not lines, "mistakes": lines})
    elif lines:
        for line in lines:
            print(
                f"{line['path']}: {line['reason']} (found {line['value']})",
                file=sys.stderr,
            )
    else:
        print(f"{path}: {len(declared.items)} valid declarations")
    return codes.EXIT_FAILED if lines else codes.EXIT_OK


def _load(
    path: pathlib.Path, known: tuple[resources.Resource, ...]
) -> declarations.Declarations:
    try:
        return declarations.load(path, known)
    except declarations.DeclarationsError as error:
        raise client.CommandError(codes.EXIT_FAILED, str(error)) from error


async def _compare(
    session: client.Session, args: argparse.Namespace, prune: bool
) -> difference.Plan:
    in_force = await session.all_resources()
    declared = _load(args.path, in_force)
    fleets = declared.fleets() if prune else frozenset()
    return difference.compare(
        in_force, declared.resources, fleets, DECLARED_KINDS
    )


async def _plan(session: client.Session, args: argparse.Namespace) -> int:
    plan = await _compare(session, args, args.prune or args.drift)
    conflicts = []
    if plan.differences:
        answer = await session.call(
            "Plan",
            operators_pb2.PlanRequest(
                change=convert.change_to_message(plan.change)
            ),
        )
        conflicts = client.conflicts_of(answer)
    if args.output == "json":
        client.print_json(difference.to_plain(plan, conflicts))
    elif args.drift:
        print(difference.drift_text(plan))
    else:
        print(difference.to_text(plan, conflicts))
    if args.drift:
        return codes.EXIT_FAILED if plan.differences else codes.EXIT_OK
    return codes.EXIT_FAILED if conflicts else codes.EXIT_OK


async def _apply(session: client.Session, args: argparse.Namespace) -> int:
    plan = await _compare(session, args, args.prune)
    if not plan.differences:
        if args.output == "json":
            client.print_json({"status": "accepted", "changes": 0})
        else:
            print("nothing to apply")
        return codes.EXIT_OK
    deletes = plan.count(difference.Action.DELETE)
    if deletes and not args.yes:
        print(difference.to_text(plan))
        raise client.CommandError(
            codes.EXIT_USAGE, f"--prune deletes {deletes} resources; add --yes"
        )
    if args.output == "text":
        print(difference.to_text(plan))
    answer = await session.submit(
        "Apply",
        operators_pb2.ApplyRequest(
            change=convert.change_to_message(plan.change),
            request_id=args.request_id or records.new_id(),
        ),
    )
    return await client.report(session, args, answer, "apply")


async def _import(session: client.Session, args: argparse.Namespace) -> int:
    declared = _load(args.path, ())
    request = operators_pb2.ImportRequest(
        resources=[
            convert.resource_to_message(resource)
            for resource in declared.resources
        ],
        commit=args.commit,
        request_id=args.request_id or records.new_id(),
    )
    answer = await session.submit("Import", request)
    conflicts = client.conflicts_of(answer)
    if args.output == "json" and not answer.HasField("result"):
        client.print_json(
            {
                "to_create": answer.to_create,
                "already_present": answer.already_present,
                "clashes": [convert.to_plain(item) for item in answer.clashes],
                "conflicts": [fields.to_plain(item) for item in conflicts],
            }
        )
    elif args.output == "text":
        for clash in answer.clashes:
            word = "blocking" if clash.blocking else "separate fleets"
            print(
                f"name {clash.kind} {clash.name!r}: {clash.id} and "
                f"{clash.other_id} ({word})"
            )
        for conflict in conflicts:
            print(difference.conflict_text(conflict))
        print(
            f"{answer.to_create} to create, {answer.already_present} already "
            "present"
        )
    if answer.HasField("result"):
        return await client.report(session, args, answer.result, "import")
    blocked = conflicts or any(clash.blocking for clash in answer.clashes)
    return codes.EXIT_FAILED if blocked else codes.EXIT_OK
