"""Translates between HTTP messages and the platform's headers."""

import math
from collections.abc import Mapping

import multidict
from aiohttp import web

from oleanderbay.connection import hops
from oleanderbay.gateway import interfaces, table, workers
from oleanderbay.platform import names

# Request headers that the gateway consumes or sets itself; they are not
# forwarded from the caller's request.
CONSUMED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Content-Length",
        "Expect",
        names.DEADLINE,
        names.TEAM,
        names.EXPECTED_WORKER,
        names.PRIORITY,
        names.LAST_EVENT_ID,
    )
)
MAX_DEADLINE_MS = 3_600_000
MAX_REST_S = 86_400.0


class HeaderTranslator:
    """Parses and builds the platform's headers."""

    def parse_request(
        self, request: web.BaseRequest, body: bytes | None, arrived_ms: int
    ) -> interfaces.CallerRequest | str:
        """Parses a caller's request; returns an error message if malformed."""
        received = request.headers
        request_id = received.get(names.REQUEST_ID, "")
        # Workers echo the id, which matches a response to its request.
        if not request_id:
            return f"there is no {names.REQUEST_ID} header"
        try:
            timeout_ms = int(received.get(names.DEADLINE, "0") or 0)
            prompt, _, output = received.get(names.TOKEN_COUNTS, "").partition(
                ","
            )
            resume_after = int(received.get(names.LAST_EVENT_ID, "-1") or -1)
            return interfaces.CallerRequest(
                id=request_id,
                method=request.method,
                host=received.get("Host", "").lower(),
                target=request.raw_path,
                headers=hops.end_to_end(received, CONSUMED_HEADERS),
                body=body,
                api_key=_bearer_token(received.get("Authorization", "")),
                timeout_ms=min(max(0, timeout_ms), MAX_DEADLINE_MS),
                model=received.get(names.MODEL, ""),
                prompt_tokens=int(prompt or 0),
                output_tokens=int(output or 0),
                shared_parts=_shared_parts(received),
                resume_after=resume_after,
                arrived_ms=arrived_ms,
            )
        except ValueError as error:
            return str(error)

    def request_headers(
        self,
        request: interfaces.CallerRequest,
        worker: workers.Worker,
        team: table.Team | None,
        remaining_ms: int,
        priority: int | None,
        resume_after: int,
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of a request to a worker."""
        sent = request.headers.copy()
        sent[names.DEADLINE] = str(remaining_ms)
        sent[names.EXPECTED_WORKER] = worker.id
        if team is not None:
            sent[names.TEAM] = team.name
        if priority is not None:
            sent[names.PRIORITY] = str(min(9, max(0, priority)))
        if resume_after >= 0:
            sent[names.LAST_EVENT_ID] = str(resume_after)
        return sent

    def classify_response(
        self,
        request: interfaces.CallerRequest,
        status: int,
        headers: Mapping[str, str],
    ) -> interfaces.ResponseClass:
        """Classifies a worker's response by its status and headers."""
        echoed = headers.get(names.REQUEST_ID, "")
        if echoed and echoed != request.id:
            return interfaces.ResponseClass.UNUSABLE
        if status == 421:
            return interfaces.ResponseClass.OTHER_WORKER
        if names.NOT_EXECUTED in headers:
            return interfaces.ResponseClass.NOT_RUN
        if 200 <= status < 300:
            if (
                not echoed
                or names.SIGNATURE not in headers
                or "Content-Encoding" in headers
            ):
                return interfaces.ResponseClass.UNUSABLE
            return interfaces.ResponseClass.SUCCESS
        return interfaces.ResponseClass.FAILURE

    def response_origin(self, headers: Mapping[str, str]) -> interfaces.Origin:
        """Returns the worker and the request ids that a response states."""
        return interfaces.Origin(
            headers.get(names.WORKER_ID, ""), headers.get(names.REQUEST_ID, "")
        )

    def failed_worker_id(self, headers: Mapping[str, str]) -> str:
        """Returns the id of the worker that failed; empty if not stated."""
        return headers.get(names.FAILED_WORKER, "")

    def stated_limit_per_s(self, headers: Mapping[str, str]) -> float | None:
        """Returns the rate of requests that a worker states as its limit."""
        try:
            per_s = float(headers[names.RATE_LIMIT])
        except (KeyError, ValueError):
            return None
        return per_s if math.isfinite(per_s) and per_s >= 0 else None

    def rest_ms(self, status: int, headers: Mapping[str, str]) -> int:
        """Returns for how long a worker wants no requests; 0 if it says none.

        The platform states seconds; dates and negative numbers are ignored.
        """
        if status != 503:
            return 0
        try:
            rest_s = float(headers.get("Retry-After", "0"))
        except ValueError:
            return 0
        if not math.isfinite(rest_s) or rest_s <= 0:
            return 0
        return math.ceil(1_000 * min(rest_s, MAX_REST_S))

    def is_leaving(self, headers: Mapping[str, str]) -> bool:
        """Whether a worker states that it leaves."""
        return headers.get(names.LEAVING, "").strip() == "1"

    def response_headers(
        self, headers: "multidict.CIMultiDictProxy[str]"
    ) -> multidict.CIMultiDict[str]:
        """Returns the response headers that are forwarded to the caller."""
        return hops.end_to_end(headers, frozenset(("content-length",)))


def _shared_parts(received: "multidict.MultiMapping[str]") -> tuple[str, ...]:
    """Returns the ids of a prompt's parts without the last one.

    The last part belongs to the request or to its session.
    """
    parts = ",".join(received.getall(names.PROMPT_PREFIX, ())).split(",")
    ids = (part.partition(":")[0].strip().lower() for part in parts[:-1])
    return tuple(filter(None, ids))


def _bearer_token(authorization: str) -> str | None:
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()
