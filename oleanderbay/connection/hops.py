"""Headers that concern one connection only."""

from collections.abc import Iterable

import multidict

# RFC 9110, section 7.6.1, and the older names still in use.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def end_to_end(
    headers: "multidict.MultiMapping[str]", drop: Iterable[str] = ()
) -> multidict.CIMultiDict[str]:
    """Returns the headers that a hop passes on.

    Args:
        headers: Headers as received.
        drop: Lower-case names that are not passed on either.
    """
    dropped = HOP_BY_HOP.union(drop)
    named = headers.getall("Connection", ())
    if named:
        dropped = dropped.union(
            token.strip().lower()
            for value in named
            for token in value.split(",")
        )
    kept: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept
