"""What a caller says about its request in headers."""

import dataclasses
import re
import uuid
from collections.abc import Mapping

from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome
from oleanderbay.version import resources

FLEET = "Oleanderbay-Fleet"
TEAM = "Oleanderbay-Team"
PRIORITY = "Oleanderbay-Priority"
DEADLINE = "Oleanderbay-Deadline-Ms"
KEY = "Idempotency-Key"
KEY_ISSUED = "Oleanderbay-Key-Issued-Ms"
IDEMPOTENT = "Oleanderbay-Idempotent"
REQUEST_ID = "Oleanderbay-Request-Id"
OUTCOME = "Oleanderbay-Outcome"

MAX_KEY_LENGTH = 255

_INTEGER = re.compile(r"[0-9]{1,15}")
_PRINTABLE = re.compile(r"[\x21-\x7e]+")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerContext:
    """Who calls and how the call is to be treated.

    Attributes:
        request_id: Id that the system gave to the request.
        fleet: Name of the fleet.
        team: Name of the team.
        priority: 0 to 9; None for the team's default.
        deadline_at_ms: Monotonic time of the deadline; 0 if none was named.
        key: Idempotency key; empty if there is none.
        key_issued_ms: Wall time when the key was made; 0 if not said.
        traceparent: Trace context of the caller; may be empty.
        idempotent: What the caller says of the call; None if nothing.
    """

    request_id: str
    fleet: str
    team: str
    priority: int | None = None
    deadline_at_ms: int = 0
    key: str = ""
    key_issued_ms: int = 0
    traceparent: str = ""
    idempotent: bool | None = None


def new_request_id() -> str:
    """Returns a unique request id, 32 hex digits."""
    return uuid.uuid4().hex


def parse(
    headers: Mapping[str, str],
    request_id: str,
    clock: clocks.Clock,
    max_deadline_ms: int,
) -> CallerContext | outcome.Refusal:
    """Reads the caller's headers.

    Args:
        headers: Headers without regard to case.
        request_id: Id of this request.
        clock: For the deadline.
        max_deadline_ms: Longest deadline accepted.

    Returns:
        The context, or a refusal that names the wrong header.
    """
    names: dict[str, str] = {}
    for header in (FLEET, TEAM):
        value = headers.get(header, "")
        if not value or len(value) > resources.MAX_NAME_LENGTH:
            return bad_request(
                f"the header {header} must name a "
                f"{header.rsplit('-', 1)[1].lower()} in at most "
                f"{resources.MAX_NAME_LENGTH} characters"
            )
        names[header] = value
    numbers: dict[str, int | None] = {}
    for header, low, high in (
        (PRIORITY, 0, 9),
        (DEADLINE, 0, max_deadline_ms),
        (KEY_ISSUED, 0, 10**15),
    ):
        text = headers.get(header)
        numbers[header] = None
        if text is None:
            continue
        if not _INTEGER.fullmatch(text) or not low <= int(text) <= high:
            return bad_request(
                f"the header {header} must be an integer from {low} to {high}"
            )
        numbers[header] = int(text)
    text = headers.get(KEY)
    if text is not None and (
        len(text) > MAX_KEY_LENGTH or not _PRINTABLE.fullmatch(text)
    ):
        return bad_request(
            f"the header {KEY} must be 1 to {MAX_KEY_LENGTH} printable "
            "ASCII characters without spaces"
        )
    marked = headers.get(IDEMPOTENT)
    if marked not in (None, "true", "false"):
        return bad_request(f"the header {IDEMPOTENT} must be true or false")
    deadline_ms = numbers[DEADLINE]
    if deadline_ms == 0:
        return outcome.Refusal(
            reason=outcome.Reason.DEADLINE,
            outcome=outcome.Outcome.NOT_RUN,
            message="the deadline has already passed",
            status=504,
        )
    return CallerContext(
        request_id=request_id,
        fleet=names[FLEET],
        team=names[TEAM],
        priority=numbers[PRIORITY],
        deadline_at_ms=clock.now_ms() + deadline_ms if deadline_ms else 0,
        key=headers.get(KEY, ""),
        key_issued_ms=numbers[KEY_ISSUED] or 0,
        # An invalid one is ignored, as the recommendation asks.
        traceparent=headers.get("traceparent", "")[:128],
        idempotent=None if marked is None else marked == "true",
    )


def bad_request(message: str) -> outcome.Refusal:
    """Returns the refusal of a request that can't be understood."""
    return outcome.Refusal(
        reason=outcome.Reason.BAD_REQUEST,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        status=400,
    )
