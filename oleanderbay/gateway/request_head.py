"""Heads of callers' requests: what is refused, and where they lead."""

import dataclasses
import json
import re

import multidict
from aiohttp import web

from oleanderbay.gateway import interfaces
from oleanderbay.request import outcome

# A request target in absolute form (RFC 9112, section 3.2.2). User information
# before the host has no meaning here and can disguise the host.
ABSOLUTE = re.compile(
    r"https?://"
    r"(?P<host>(?:\[[0-9a-f:.]+\]|[\w.~!$&'()*+,;=%-]+)(?::[0-9]*)?)"
    r"(?P<rest>(?:[/?].*)?)",
    re.ASCII | re.IGNORECASE,
)


def refusal_response(refusal: outcome.Refusal) -> web.Response:
    """Returns a refusal as an HTTP response."""
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    headers["Content-Type"] = "application/json"
    if refusal.retry_after_ms:
        headers["Retry-After"] = f"{refusal.retry_after_ms / 1000:g}"
    body = {
        "error": {
            "code": refusal.reason.value,
            "outcome": refusal.outcome.value,
            "message": refusal.message,
        }
    }
    return web.Response(
        status=refusal.status, headers=headers, body=json.dumps(body).encode()
    )


def bad_request(message: str, status: int = 400) -> outcome.Refusal:
    """Returns the refusal of a request that no worker has seen."""
    reason = {
        408: outcome.Reason.DEADLINE,
        413: outcome.Reason.TOO_LARGE,
        431: outcome.Reason.TOO_LARGE,
    }.get(status, outcome.Reason.BAD_REQUEST)
    return outcome.Refusal(
        reason=reason,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        status=status,
    )


def check_head(
    request: web.BaseRequest, max_bytes: int
) -> outcome.Refusal | None:
    """Refuses what the HTTP parser accepts and a worker must not get."""
    lines = sum(len(n) + len(v) + 4 for n, v in request.raw_headers)
    target = request.raw_path
    if len(request.method) + len(target) + 12 + lines > max_bytes:
        return bad_request("the headers are too large", 431)
    if request.version not in ((1, 0), (1, 1)):
        return bad_request("the HTTP version is not supported", 505)
    if len(request.headers.getall("Host", ())) != 1:
        return bad_request("there must be one Host header")
    # A fragment or a target in another form would not reach the worker as sent.
    # An OPTIONS request for a host without a path stands for the form "*".
    absolute = ABSOLUTE.fullmatch(target)
    if (
        not (absolute or target.startswith("/"))
        or (absolute and request.method == "OPTIONS" and not absolute["rest"])
        or "#" in target
        or not (target.isascii() and target.isprintable())
        or " " in target
    ):
        return bad_request("the request target is invalid")
    if request.method == "CONNECT":
        return bad_request("the method is not supported")
    if not all(
        value.isascii() or _is_utf8(value) for _, value in request.raw_headers
    ):
        # The HTTP client would leave these bytes out.
        return bad_request("a header is not in UTF-8")
    codings = request.headers.getall("Transfer-Encoding", ())
    if codings and (
        request.version == (1, 0) or [c.lower() for c in codings] != ["chunked"]
    ):
        return bad_request("the transfer encoding is not supported")
    return None


def in_origin_form(call: interfaces.CallerRequest) -> interfaces.CallerRequest:
    """Returns a request whose target is a path, for the host of its target.

    A target in absolute form takes precedence over the header Host.
    """
    absolute = ABSOLUTE.fullmatch(call.target)
    if absolute is None:
        return call
    headers = call.headers.copy()
    headers["Host"] = absolute["host"]
    rest = absolute["rest"]
    return dataclasses.replace(
        call,
        host=absolute["host"].lower(),
        target=rest if rest.startswith("/") else f"/{rest}",
        headers=headers,
    )


def _is_utf8(value: bytes) -> bool:
    try:
        value.decode()
    except UnicodeDecodeError:
        return False
    return True
