"""Commands that show what is in force: `get`, `watch` and `status`."""

import argparse
import sys
from typing import Any

import grpc

from oleanderbay.cli import client, codes
from oleanderbay.schema import convert, operators_pb2
from oleanderbay.version import fields, resources


def register(subparsers: Any) -> None:
    """Adds the commands to the command line."""
    get = client.add_parser(
        subparsers,
        "get",
        _get,
        "Shows resources in force.",
        "oleanderbay get service --fleet north --name writer --where",
    )
    get.add_argument(
        "kind",
        nargs="?",
        default="",
        choices=("", *resources.RESOURCE_KINDS),
        metavar="KIND",
        help=f"one of {', '.join(resources.RESOURCE_KINDS)}",
    )
    get.add_argument("id", nargs="?", default="", metavar="ID")
    get.add_argument("--fleet", default="", help="id of the fleet")
    get.add_argument("--name", default="", help="name within the fleet")
    get.add_argument(
        "--where",
        action="store_true",
        help="also show the offset in force at each entry and its age",
    )
    watch = client.add_parser(
        subparsers,
        "watch",
        _watch,
        "Shows the state and then every update until interrupted.",
        "oleanderbay watch planned_change --output json",
    )
    watch.add_argument(
        "kinds",
        nargs="*",
        metavar="KIND",
        help="kinds of interest (default: all)",
    )
    watch.add_argument(
        "--after",
        type=int,
        default=0,
        metavar="OFFSET",
        help="resume after this offset",
    )
    watch.add_argument(
        "--count",
        type=int,
        default=0,
        metavar="N",
        help="end after N updates (default: never)",
    )
    status = client.add_parser(
        subparsers,
        "status",
        _status,
        "Shows planned changes, their stages and how far they are in force. "
        "Without an id it also shows the entries.",
        "oleanderbay status drain-0123456789abcdef",
    )
    status.add_argument("id", nargs="?", default="", metavar="CHANGE")


def _entry_plain(where: Any) -> list[dict[str, Any]]:
    return [convert.to_plain(entry) for entry in where.entries]


def _print_entries(where: Any) -> None:
    for entry in where.entries:
        print(
            f"entry {entry.entry} ({entry.zone}): offset {entry.offset}, "
            f"confirmed {entry.age_ms} ms ago"
        )
    print(f"{len(where.entries)} of {where.entries_known} entries heard from")


def _print_resource(resource: resources.Resource) -> None:
    plain = fields.to_plain(resource)
    shown = ", ".join(
        f"{name}={value!r}"
        for name, value in plain.items()
        if name not in ("id", "version")
    )
    print(
        f"{fields.kind_of(resource)} {resource.id} "
        f"(version {resource.version}): {shown}"
    )


async def _get(session: client.Session, args: argparse.Namespace) -> int:
    if (args.id or args.name) and not args.kind:
        raise client.CommandError(codes.EXIT_USAGE, "KIND is required")
    if args.id or args.name:
        answer = await session.call(
            "Get",
            operators_pb2.GetRequest(
                kind=args.kind, id=args.id, fleet=args.fleet, name=args.name
            ),
        )
        found = [answer.resource]
    else:
        answer = await session.call(
            "List",
            operators_pb2.ListRequest(kind=args.kind, fleet=args.fleet),
        )
        found = list(answer.resources)
    items = [convert.resource_from_message(item) for item in found]
    where = None
    if args.where:
        where = await session.call("Where", operators_pb2.WhereRequest())
    if args.output == "json":
        value: dict[str, Any] = {
            "offset": answer.offset,
            "resources": [
                {"kind": fields.kind_of(item), "fields": fields.to_plain(item)}
                for item in items
            ],
        }
        if where is not None:
            value["entries"] = _entry_plain(where)
            value["entries_known"] = where.entries_known
        client.print_json(value)
        return codes.EXIT_OK
    for item in items:
        _print_resource(item)
    if where is not None:
        _print_entries(where)
    return codes.EXIT_OK


async def _watch(session: client.Session, args: argparse.Namespace) -> int:
    call = session.stub.Watch(
        operators_pb2.WatchRequest(kinds=args.kinds, after_offset=args.after)
    )
    seen = 0
    offset = args.after
    try:
        async for event in call:
            offset = event.offset or offset
            _print_event(event, args.output)
            seen += 1
            if args.count and seen >= args.count:
                call.cancel()
                return codes.EXIT_OK
    except grpc.aio.AioRpcError as error:
        if error.code() is grpc.StatusCode.INVALID_ARGUMENT:
            raise client.CommandError(
                codes.EXIT_USAGE, error.details() or ""
            ) from error
        raise client.CommandError(
            codes.EXIT_UNAVAILABLE,
            f"{error.details()}; resume with --after {offset}",
        ) from error
    print("the entry ended the watch", file=sys.stderr)
    return codes.EXIT_UNAVAILABLE


def _print_event(event: Any, output: str) -> None:
    items = [convert.resource_from_message(item) for item in event.upserts]
    if output == "json":
        client.print_json(
            {
                "offset": event.offset,
                "initial": event.initial,
                "upserts": [
                    {
                        "kind": fields.kind_of(item),
                        "fields": fields.to_plain(item),
                    }
                    for item in items
                ],
                "deletes": [
                    {"kind": item.kind, "id": item.id} for item in event.deletes
                ],
            }
        )
    else:
        print(f"offset {event.offset}{' initial' if event.initial else ''}")
        for item in items:
            _print_resource(item)
        for key in event.deletes:
            print(f"{key.kind} {key.id} deleted")
    sys.stdout.flush()


async def _status(session: client.Session, args: argparse.Namespace) -> int:
    ids = [args.id]
    if not args.id:
        answer = await session.call(
            "List", operators_pb2.ListRequest(kind="planned_change")
        )
        ids = [item.planned_change.id for item in answer.resources]
    changes = [
        await session.call(
            "ChangeStatus", operators_pb2.ChangeStatusRequest(id=id)
        )
        for id in ids
    ]
    where = await session.call("Where", operators_pb2.WhereRequest())
    if args.output == "json":
        client.print_json(
            {
                "changes": [
                    {
                        "change": convert.to_plain(item.change),
                        "in_effect": item.in_effect,
                        "entries_applied": item.entries_applied,
                        "entries_known": item.entries_known,
                    }
                    for item in changes
                ],
                "entries": _entry_plain(where),
                "entries_known": where.entries_known,
            }
        )
        return codes.EXIT_OK
    for item in changes:
        change = convert.to_plain(item.change)
        target = (
            change.get("zone")
            or change.get("service")
            or ", ".join(change.get("instances", ()))
        )
        effect = "in effect" if item.in_effect else "not in effect"
        print(
            f"{change['id']}: {change['kind']} {target}: {change['stage']}, "
            f"{effect}, applied by {item.entries_applied} of "
            f"{item.entries_known} entries"
            + (f"; {change['detail']}" if change.get("detail") else "")
        )
    if not args.id:
        _print_entries(where)
    return codes.EXIT_OK
