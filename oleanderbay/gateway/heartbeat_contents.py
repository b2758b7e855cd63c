"""Loads and findings in heartbeats, and their sums in zone summaries.

The fields that each build sends are required. Fields that were added later are
optional, and their absence means that the sender has nothing to report.
"""

from collections.abc import Mapping
from typing import Any

from oleanderbay.gateway import fields

# Heartbeat field with the result of `ReaderElection.is_eligible`.
STORE_ANSWERS = "store_answers"


def parse_heartbeat(body: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the checked contents of a heartbeat.

    Raises:
        One of `fields.PARSE_ERRORS`: They are malformed.
    """
    return {
        **_parse(body),
        # A heartbeat reports the requests of one gateway.
        "busy": fields.whole(body.get("busy", 1)),
        # Gateways before 88e01a0 don't send it, and serve no subscribers.
        STORE_ANSWERS: fields.flag(body.get(STORE_ANSWERS, False)),
    }


def parse_sums(body: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the checked sums of a summary.

    Raises:
        One of `fields.PARSE_ERRORS`: They are malformed.
    """
    return {**_parse(body), "busy": fields.whole(body["busy"])}


def _parse(body: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "in_flight": fields.counts(body["in_flight"]),
        "demand": {
            model: fields.number(mean)
            for model, mean in fields.mapping(body["demand"]).items()
        },
        "suspects": fields.texts(body["suspects"]),
        "sound": fields.texts(body["sound"]),
        "lost": {
            worker_id: fields.whole(started_ms, -(2**63), 2**63 - 1)
            for worker_id, started_ms in fields.mapping(body["lost"]).items()
        },
        "loads_begun": fields.whole(body["loads_begun"]),
        "planned": fields.counts(body["planned"]),
        "serving": fields.flag(body["serving"]),
        # Sent since 7132e4f, e81720f and 12098c1, and left out if empty since
        # 80068e2.
        "crashes": _parse_crashes(body.get("crashes", {})),
        "survived": fields.counts(body.get("survived", {})),
        "request_crashes": _parse_crashes(body.get("request_crashes", {})),
        "request_survived": fields.counts(body.get("request_survived", {})),
        "limits": _parse_limits(body.get("limits", {})),
    }


def _parse_crashes(value: Any) -> dict[str, list[str]]:
    return {
        part: fields.texts(incarnations)
        for part, incarnations in fields.mapping(value).items()
    }


def _parse_limits(value: Any) -> dict[str, tuple[float | None, int]]:
    limits: dict[str, tuple[float | None, int]] = {}
    for worker_id, statement in fields.mapping(value).items():
        per_s, age_ms = fields.items(statement)
        # A worker may state any finite rate.
        if per_s is not None:
            per_s = fields.number(min(per_s, fields.MAX_NUMBER))
        limits[worker_id] = per_s, fields.whole(age_ms)
    return limits
