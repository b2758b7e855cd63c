"""Commands for planned changes: `drain`, `restore`, `retire`, `roll`, `cancel`.

A planned change has an id that comes from the request id, so that a command
that is repeated with the same request id asks for the same change.
"""

import argparse
import datetime
from typing import Any

from oleanderbay.cli import client
from oleanderbay.schema import convert, operators_pb2
from oleanderbay.version import records, resources


def register(subparsers: Any) -> None:
    """Adds the commands to the command line."""
    drain = client.add_parser(
        subparsers,
        "drain",
        _drain,
        "Takes an availability zone out of service. Without --start-at it "
        "takes no new work as soon as entries apply the change.",
        "oleanderbay drain zone-b --wait",
    )
    restore = client.add_parser(
        subparsers,
        "restore",
        _restore,
        "Puts an availability zone back and cancels a drain of it that runs.",
        "oleanderbay restore zone-b",
    )
    for parser in (drain, restore):
        parser.add_argument("zone", metavar="ZONE", help="zone id or name")
    retire = client.add_parser(
        subparsers,
        "retire",
        _retire,
        "Retires instances for good.",
        "oleanderbay retire instance-17 instance-18",
    )
    retire.add_argument("instances", nargs="+", metavar="INSTANCE")
    roll = client.add_parser(
        subparsers,
        "roll",
        _roll,
        "Moves a service to another model version or adapter.",
        "oleanderbay roll north.writer --model-version 8",
    )
    roll.add_argument("service", metavar="SERVICE", help="service id")
    roll.add_argument("--model-version", default="", metavar="VERSION")
    roll.add_argument("--adapter", default="", metavar="ADAPTER")
    for parser in (drain, retire):
        parser.add_argument(
            "--force",
            action="store_true",
            help="do it even if a service is left without capacity",
        )
    for parser in (drain, restore, retire, roll):
        client.add_submission(parser)
        for option, text in (
            ("--start-at", "start then instead of at once"),
            ("--deadline", "fail if it is not done by then"),
        ):
            parser.add_argument(
                option,
                type=_time_ms,
                default=0,
                metavar="TIME",
                help=f"{text}, such as 2030-01-31T08:00+00:00",
            )
    cancel = client.add_parser(
        subparsers,
        "cancel",
        _cancel,
        "Cancels a planned change that is not done.",
        "oleanderbay cancel drain-0123456789abcdef --reason 'wrong zone'",
    )
    cancel.add_argument("id", metavar="CHANGE")
    cancel.add_argument("--reason", default="")
    client.add_submission(cancel)


def _time_ms(text: str) -> int:
    """Reads a point in time; one without a time zone would be ambiguous."""
    try:
        value = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error
    if value.tzinfo is None:
        raise argparse.ArgumentTypeError("needs a time zone, such as +00:00")
    return int(value.timestamp() * 1000)


async def _submit(
    session: client.Session,
    args: argparse.Namespace,
    kind: resources.ChangeKind,
    **values: Any,
) -> int:
    request_id = args.request_id or records.new_id()
    record_id = records.id_of_request(request_id)
    id = f"{args.command}-{record_id[:16]}"
    change = resources.PlannedChange(
        id=id,
        name=id,
        kind=kind,
        start_at_ms=args.start_at,
        deadline_ms=args.deadline,
        **values,
    )
    answer = await session.submit(
        "Apply",
        operators_pb2.ApplyRequest(
            change=convert.change_to_message(
                records.Change(upserts=(records.Upsert(resource=change),))
            ),
            request_id=request_id,
        ),
    )
    return await client.report(session, args, answer, id)


async def _drain(session: client.Session, args: argparse.Namespace) -> int:
    return await _submit(
        session,
        args,
        resources.ChangeKind.DRAIN_ZONE,
        zone=await session.find_zone(args.zone),
        force=args.force,
    )


async def _restore(session: client.Session, args: argparse.Namespace) -> int:
    return await _submit(
        session,
        args,
        resources.ChangeKind.RESTORE_ZONE,
        zone=await session.find_zone(args.zone),
    )


async def _retire(session: client.Session, args: argparse.Namespace) -> int:
    return await _submit(
        session,
        args,
        resources.ChangeKind.RETIRE_INSTANCES,
        instances=tuple(args.instances),
        force=args.force,
    )


async def _roll(session: client.Session, args: argparse.Namespace) -> int:
    return await _submit(
        session,
        args,
        resources.ChangeKind.ROLL_MODEL,
        service=args.service,
        model_version=args.model_version,
        adapter=args.adapter,
    )


async def _cancel(session: client.Session, args: argparse.Namespace) -> int:
    answer = await session.submit(
        "CancelChange",
        operators_pb2.CancelChangeRequest(
            id=args.id,
            request_id=args.request_id or records.new_id(),
            reason=args.reason,
        ),
    )
    return await client.report(session, args, answer, f"cancel {args.id}")
