"""One attempt of a request at one upstream."""

import dataclasses
from collections.abc import Mapping

from oleanderbay.connection import caller as callers
from oleanderbay.connection import http
from oleanderbay.connection import upstream as connections
from oleanderbay.process import interfaces
from oleanderbay.request import outcome
from oleanderbay.version import resources, routes

ATTEMPT = "Oleanderbay-Attempt"
RESUME_FROM = "Oleanderbay-Resume-From"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One request as it is sent to an upstream.

    Attributes:
        context: Who calls.
        candidates: The service, team and route that the caller named.
        method: HTTP method.
        path: Path and query for the upstream, already encoded.
        headers: Headers for the upstream, without hop-by-hop ones.
        body: The body in memory, or one that can be read once.
        prompt: Text whose prefix may be cached; empty for a plain service.
        stream: Whether the answer is a stream of events.
        non_idempotent: Whether it may run at most once.
        priority: 0 to 9.
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
        """The service that the caller named."""
        return self.candidates.service

    @property
    def team(self) -> resources.Team:
        """The team that calls."""
        return self.candidates.team

    @property
    def body_replayable(self) -> bool:
        """Whether the body can be sent a second time."""
        return self.body is None or isinstance(self.body, bytes)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """An attempt without an answer.

    Attributes:
        outcome: `NOT_RUN` only if the request cannot have run there.
        message: What went wrong, for people.
        unreachable: Whether no connection could be made.
        stalled: Whether the connection carried nothing for too long.
    """

    outcome: outcome.Outcome
    message: str
    unreachable: bool = False
    stalled: bool = False


async def send_request(
    client: connections.UpstreamClient,
    call: CallerRequest,
    upstream: interfaces.Upstream,
    number: int,
    position: int,
    trace: Mapping[str, str],
    timeout_ms: int,
) -> connections.Exchange | FailedAttempt:
    """Sends a request and waits until its answer begins.

    Args:
        client: Connections to upstreams.
        call: The request.
        upstream: Where to send it.
        number: Number of the attempt, from 0.
        position: First position of a stream that is still wanted.
        trace: Headers that propagate the trace.
        timeout_ms: Time to the headers of the answer.
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
            # An idle connection may be dead; a repeated attempt and a call
            # that may run once only can't take that risk.
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
        )
    return await _classify_response(exchange, call)


async def _classify_response(
    exchange: connections.Exchange, call: CallerRequest
) -> connections.Exchange | FailedAttempt:
    """Tells an answer from an upstream's refusal or failure."""
    refused = exchange.headers.get(callers.OUTCOME) == outcome.Outcome.NOT_RUN
    model = call.service.kind is resources.ServiceKind.MODEL
    if refused or (model and exchange.status >= 500):
        failure = FailedAttempt(
            outcome=(
                outcome.Outcome.NOT_RUN if refused else outcome.Outcome.UNKNOWN
            ),
            message=f"the upstream answered with status {exchange.status}",
        )
        exchange.abort()
        return failure
    if not exchange.framed:
        # A body that ends with the connection looks the same whether it is
        # complete or cut off.
        exchange.abort()
        return FailedAttempt(
            outcome=outcome.Outcome.UNKNOWN,
            message="the answer has neither a length nor chunks",
        )
    return exchange
