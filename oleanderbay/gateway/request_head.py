"""Validation and normalization of the heads of callers' requests."""

import dataclasses
import json
import re

import multidict
from aiohttp import web

from oleanderbay.gateway import interfaces
from oleanderbay.request import outcome

# A request target in absolute form (RFC 9112, section 3.2.2). User information
# before the host is rejected: it has no use here and can disguise the host.
ABSOLUTE_FORM = re.compile(
    r"https?://"
    r"(?P<host>(?:\[[0-9a-f:.]+\]|[\w.~!$&'()*+,;=%-]+)(?::[0-9]*)?)"
    r"(?P<rest>(?:[/?].*)?)",
    re.ASCII | re.IGNORECASE,
)


def refusal_response(refusal: outcome.Refusal) -> web.Response:
    """Converts a refusal into an HTTP response."""
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
    """Returns a refusal for a request that was not sent to any worker."""
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


def validate_head(
    request: web.BaseRequest, max_bytes: int
) -> outcome.Refusal | None:
    """Refuses requests that the parser accepts but workers must not get."""
    header_bytes = sum(len(n) + len(v) + 4 for n, v in request.raw_headers)
    target = request.raw_path
    if len(request.method) + len(target) + 12 + header_bytes > max_bytes:
        return bad_request("the headers are too large", 431)
    if request.version not in ((1, 0), (1, 1)):
        return bad_request("the HTTP version is not supported", 505)
    if len(request.headers.getall("Host", ())) != 1:
        return bad_request("there must be one Host header")
    # A fragment or a target in another form would not be forwarded unchanged.
    # An OPTIONS request for a host without a path means the target "*".
    absolute = ABSOLUTE_FORM.fullmatch(target)
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
        # The HTTP client would drop these bytes.
        return bad_request("a header is not in UTF-8")
    codings = request.headers.getall("Transfer-Encoding", ())
    if codings and (
        request.version == (1, 0) or [c.lower() for c in codings] != ["chunked"]
    ):
        return bad_request("the transfer encoding is not supported")
    return None


def to_origin_form(
    caller_request: interfaces.CallerRequest,
) -> interfaces.CallerRequest:
    """Converts a target in absolute form into a path and a host.

    The host of such a target takes precedence over the Host header.
    """
    absolute = ABSOLUTE_FORM.fullmatch(caller_request.target)
    if absolute is None:
        return caller_request
    headers = caller_request.headers.copy()
    headers["Host"] = absolute["host"]
    rest = absolute["rest"]
    return dataclasses.replace(
        caller_request,
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
