"""One attempt of a request at one upstream."""

import dataclasses
import re
from collections.abc import Mapping

from oleanderbay.connection import caller as callers
from oleanderbay.connection import http
from oleanderbay.connection import upstream as connections
from oleanderbay.process import interfaces
from oleanderbay.request import outcome
from oleanderbay.version import resources, routes

ATTEMPT = "Oleanderbay-Attempt"
RESUME_FROM = "Oleanderbay-Resume-From"
RETRY_AFTER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Longest delay that is passed on to callers.
MAX_RETRY_AFTER_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A caller's request in the form in which it is sent to upstreams.

    Attributes:
        context: Identity and request headers of the caller.
        candidates: The resolved service, team and route.
        method: HTTP method.
        path: Path and query for the upstream, already encoded.
        headers: Headers for the upstream, without hop-by-hop headers.
        body: The body in memory, or a stream that can be read only once.
        prompt: Text whose prefix may be cached; empty for a plain service.
        stream: Whether the response is an event stream.
        non_idempotent: Whether the request may run at most once.
        priority: Priority, 0 to 9.
        deadline_at_ms: Monotonic time of the deadline.
    """

    context: callers.CallerContext
    candidates: routes.Candidates
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | http.StreamedBody | None
    prompt: str = ""
    stream: bool = False
    non_idempotent: bool = False
    priority: int = 5
    deadline_at_ms: int = 0

    @property
    def service(self) -> resources.Service:
        """The requested service."""
        return self.candidates.service

    @property
    def team(self) -> resources.Team:
        """The team of the caller."""
        return self.candidates.team

    @property
    def body_replayable(self) -> bool:
        """Whether the body can be sent again in a retry."""
        return self.body is None or isinstance(self.body, bytes)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """An attempt that ended without a complete response.

    Attributes:
        outcome: `NOT_RUN` only if the upstream can't have run the request.
        message: Human-readable cause.
        unreachable: Whether the request can't have left this entry, e.g.
            because no connection could be made.
        stalled: Whether the connection timed out without receiving data.
        stale_connection: Whether a connection that had been used before
            carried bytes that belong to another request, which says nothing
            about the upstream.
        expired: Whether the permission to send the request ran out before it
            was sent.
        retry_after_ms: Delay that the upstream asked for; 0 if none.
    """

    outcome: outcome.Outcome
    message: str
    unreachable: bool = False
    stalled: bool = False
    stale_connection: bool = False
    expired: bool = False
    retry_after_ms: int = 0


async def send_request(
    client: connections.UpstreamClient,
    call: CallerRequest,
    upstream: interfaces.Upstream,
    number: int,
    position: int,
    trace: Mapping[str, str],
    timeout_ms: int,
) -> connections.Exchange | FailedAttempt:
    """Sends a request to an upstream and waits for the response headers.

    Args:
        client: HTTP client for upstreams.
        call: The request.
        upstream: The target.
        number: Number of the attempt, from 0.
        position: Stream position from which to resume; 0 for the whole stream.
        trace: Headers that propagate the trace context.
        timeout_ms: Time limit for the response headers.
    """
    headers = {
        **call.headers,
        **trace,
        callers.REQUEST_ID: call.context.request_id,
        callers.PRIORITY: str(call.priority),
        ATTEMPT: str(number),
    }
    if position:
        headers[RESUME_FROM] = str(position)
    if call.context.key:
        headers[callers.KEY] = call.context.key
    try:
        exchange = await client.open(
            upstream.address,
            call.method,
            call.path,
            headers,
            call.body,
            # The peer may have closed an idle connection, which leaves the
            # outcome of a request unknown. Retries and requests that may run
            # at most once avoid that risk by opening a new connection.
            new_connection=call.non_idempotent or number > 0,
            timeout_ms=timeout_ms,
        )
    except connections.UpstreamError as error:
        return FailedAttempt(
            outcome=(
                outcome.Outcome.UNKNOWN
                if error.sent
                else outcome.Outcome.NOT_RUN
            ),
            message=str(error),
            unreachable=not error.sent,
            stalled=error.stalled,
            expired=error.expired,
        )
    names_request = (
        exchange.headers.get(callers.REQUEST_ID) == call.context.request_id
    )
    client.record_naming(upstream.address, names_request)
    return _classify_response(exchange, call, names_request)


def parse_retry_after(text: str) -> int:
    """Returns the delay of a Retry-After in seconds, in ms; 0 if it has none.

    Dates are ignored, as the clock of an upstream may differ.
    """
    if not RETRY_AFTER.fullmatch(text):
        return 0
    return min(MAX_RETRY_AFTER_MS, round(1_000 * float(text)))


def _classify_response(
    exchange: connections.Exchange, call: CallerRequest, names_request: bool
) -> connections.Exchange | FailedAttempt:
    """Returns a usable response, or a failure if the upstream failed."""
    refused = exchange.headers.get(callers.OUTCOME) == outcome.Outcome.NOT_RUN
    model = call.service.kind is resources.ServiceKind.MODEL
    if exchange.progress.reused and not names_request:
        exchange.abort()
        return FailedAttempt(
            outcome=outcome.Outcome.UNKNOWN,
            message="the answer does not name the request",
            stale_connection=True,
        )
    if refused or (model and exchange.status >= 500):
        failure = FailedAttempt(
            outcome=(
                outcome.Outcome.NOT_RUN if refused else outcome.Outcome.UNKNOWN
            ),
            message=f"the upstream answered with status {exchange.status}",
            retry_after_ms=parse_retry_after(
                exchange.headers.get("Retry-After", "")
            ),
        )
        exchange.abort()
        return failure
    if not exchange.framed:
        # A body that is delimited only by the end of the connection can't be
        # distinguished from a truncated one.
        exchange.abort()
        return FailedAttempt(
            outcome=outcome.Outcome.UNKNOWN,
            message="the answer has neither a length nor chunks",
        )
    return exchange
