"""What the operators' commands share: the connection and the output."""

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from oleanderbay.cli import codes
from oleanderbay.process import clock as clocks
from oleanderbay.schema import convert, operators_pb2, operators_pb2_grpc
from oleanderbay.version import difference, fields, resources, verdicts

ADDRESS_VARIABLE = "OLEANDERBAY_OPERATORS"
DEFAULT_ADDRESS = "127.0.0.1:8082"
DEFAULT_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 3_000
WAIT_POLL_MS = 200

# A list of all resources at the design size is a few tens of MB.
MAX_MESSAGE_BYTES = 256_000_000

EXIT_CODES = (
    "exit codes: 0 done; 1 refused, rejected or invalid; 2 wrong usage; "
    "3 not reachable or not accepted, try again; 4 unknown, retry with the "
    "same request id"
)


class CommandError(Exception):
    """A command ends with a message and an exit code.

    Attributes:
        exit_code: One of the codes in `main`.
    """

    def __init__(self, exit_code: int, message: str) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class Session:
    """An open connection to one entry's operators' listener.

    Attributes:
        stub: The generated client.
        timeout_ms: Time for one call.
        clock: Clock for waits.
    """

    def __init__(self, channel: Any, timeout_ms: int) -> None:
        self.stub = operators_pb2_grpc.OperatorsStub(channel)
        self.timeout_ms = timeout_ms
        self.clock = clocks.SystemClock()

    async def call(self, method: str, request: Any) -> Any:
        """Calls a method that changes nothing or is only refused.

        Raises:
            CommandError: The call failed.
        """
        try:
            return await getattr(self.stub, method)(
                request, timeout=self.timeout_ms / 1000
            )
        except grpc.aio.AioRpcError as error:
            kinds = grpc.StatusCode
            if error.code() is kinds.INVALID_ARGUMENT:
                exit_code = codes.EXIT_USAGE
            elif error.code() in (kinds.UNAVAILABLE, kinds.DEADLINE_EXCEEDED):
                exit_code = codes.EXIT_UNAVAILABLE
            else:
                exit_code = codes.EXIT_FAILED
            text = error.details() or error.code().name
            raise CommandError(exit_code, text) from error

    async def submit(self, method: str, request: Any) -> Any:
        """Calls a method that may change something.

        Raises:
            CommandError: The answer was lost, so the outcome is unknown.
        """
        request.timeout_ms = self.timeout_ms
        try:
            # The entry answers by its own deadline; the rest is for the way.
            return await getattr(self.stub, method)(
                request, timeout=self.timeout_ms / 1000 + 2
            )
        except grpc.aio.AioRpcError as error:
            raise CommandError(
                codes.EXIT_UNKNOWN,
                f"unknown: {error.details() or error.code().name}; retry with "
                f"--request-id {request.request_id}",
            ) from error

    async def all_resources(self) -> tuple[resources.Resource, ...]:
        """Returns all resources in force."""
        answer = await self.call("List", operators_pb2.ListRequest())
        return tuple(
            convert.resource_from_message(item) for item in answer.resources
        )

    async def find_zone(self, name: str) -> str:
        """Returns the id of a zone that is given by id or by name.

        Raises:
            CommandError: No zone or several zones are meant.
        """
        answer = await self.call("List", operators_pb2.ListRequest(kind="zone"))
        zones = [item.zone for item in answer.resources]
        found = {zone.id for zone in zones if name in (zone.id, zone.name)}
        if len(found) == 1:
            return found.pop()
        if not found:
            known = ", ".join(zone.id for zone in zones) or "none"
            raise CommandError(
                codes.EXIT_FAILED, f"there is no zone {name!r}; known: {known}"
            )
        raise CommandError(
            codes.EXIT_FAILED,
            f"{name!r} may mean {' or '.join(sorted(found))}; use the id",
        )

    async def wait_in_force(self, offset: int) -> None:
        """Waits until every entry that is heard from applied an offset.

        Raises:
            CommandError: Not within the time of one call.
        """
        deadline_ms = self.clock.now_ms() + self.timeout_ms
        while True:
            where = await self.call("Where", operators_pb2.WhereRequest())
            behind = [
                entry.entry for entry in where.entries if entry.offset < offset
            ]
            if not behind:
                return
            if self.clock.now_ms() >= deadline_ms:
                raise CommandError(
                    codes.EXIT_UNKNOWN,
                    f"accepted at offset {offset}, not yet in force at "
                    + ", ".join(behind),
                )
            await self.clock.sleep_ms(WAIT_POLL_MS)


Command = Callable[[Session, argparse.Namespace], Awaitable[int]]


def add_parser(
    subparsers: Any,
    name: str,
    command: Command,
    description: str,
    example: str,
) -> argparse.ArgumentParser:
    """Adds a command that talks to an entry."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        name,
        help=description[0].lower() + description[1:].split(".")[0],
        description=description,
        epilog=f"example: {example}\n\n{EXIT_CODES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--address",
        default=os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS),
        metavar="HOST:PORT",
        help="operators' listener of an entry (default: the variable "
        f"{ADDRESS_VARIABLE}, else {DEFAULT_ADDRESS})",
    )
    parser.add_argument(
        "--timeout-ms",
        type=_positive,
        default=DEFAULT_TIMEOUT_MS,
        metavar="MS",
        help="time for one call (default: %(default)s)",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.set_defaults(run=run, operators_command=command)
    return parser


def add_submission(parser: argparse.ArgumentParser) -> None:
    """Adds the options of commands that change something."""
    parser.add_argument(
        "--request-id",
        default="",
        metavar="ID",
        help="the same id gives the same result; use it to retry",
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until every entry has it in force",
    )


def run(args: argparse.Namespace) -> int:
    """Runs a command that talks to an entry; returns the exit code."""
    try:
        return asyncio.run(_run(args))
    except CommandError as error:
        print(f"oleanderbay {args.command}: {error}", file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return codes.EXIT_FAILED


async def _run(args: argparse.Namespace) -> int:
    options = (("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),)
    async with grpc.aio.insecure_channel(args.address, options) as channel:
        try:
            await asyncio.wait_for(
                channel.channel_ready(), CONNECT_TIMEOUT_MS / 1000
            )
        except TimeoutError as error:
            # Nothing was sent, so this is never an unknown outcome.
            raise CommandError(
                codes.EXIT_UNAVAILABLE, f"no connection to {args.address}"
            ) from error
        command: Command = args.operators_command
        return await command(Session(channel, args.timeout_ms), args)


def print_json(value: Any) -> None:
    """Prints a value as one line of JSON."""
    print(json.dumps(value, sort_keys=True))


def conflicts_of(answer: Any) -> list[verdicts.Conflict]:
    """Returns the conflicts in an answer."""
    return [
        convert.from_message(item, verdicts.Conflict)
        for item in answer.conflicts
    ]


async def report(
    session: Session, args: argparse.Namespace, answer: Any, what: str
) -> int:
    """Prints what became of a change, waits if asked to.

    Args:
        session: The connection.
        args: Parsed arguments, with those of `add_submission`.
        answer: The answer to the call.
        what: What was asked for, for people.

    Returns:
        The exit code.
    """
    status = convert.enum_text(operators_pb2.Status.DESCRIPTOR, answer.status)
    accepted = answer.status == operators_pb2.STATUS_ACCEPTED
    if accepted and args.wait:
        await session.wait_in_force(answer.offset)
    conflicts = conflicts_of(answer)
    if args.output == "json":
        print_json(
            {
                "status": status,
                "request_id": answer.request_id,
                "offset": answer.offset,
                "retry_after_ms": answer.retry_after_ms,
                "message": answer.message,
                "entries_applied": answer.entries_applied,
                "entries_known": answer.entries_known,
                "in_force_everywhere": accepted and args.wait,
                "conflicts": [fields.to_plain(item) for item in conflicts],
            }
        )
    elif accepted:
        place = (
            "in force at every entry"
            if args.wait
            else f"applied by {answer.entries_applied} of "
            f"{answer.entries_known} entries"
        )
        print(f"{what}: accepted at offset {answer.offset}, {place}")
    else:
        print(f"{what}: {status}: {answer.message}", file=sys.stderr)
        for conflict in conflicts:
            print(difference.conflict_text(conflict), file=sys.stderr)
        if answer.retry_after_ms:
            print(f"try again in {answer.retry_after_ms} ms", file=sys.stderr)
        if answer.status == operators_pb2.STATUS_UNKNOWN:
            print(
                f"retry with --request-id {answer.request_id}",
                file=sys.stderr,
            )
    return {
        operators_pb2.STATUS_ACCEPTED: codes.EXIT_OK,
        operators_pb2.STATUS_NOT_ACCEPTED: codes.EXIT_UNAVAILABLE,
        operators_pb2.STATUS_UNKNOWN: codes.EXIT_UNKNOWN,
    }.get(answer.status, codes.EXIT_FAILED)


def _positive(text: str) -> int:
    value = int(text)
    if value <= 0:
        raise argparse.ArgumentTypeError("must be above 0")
    return value
