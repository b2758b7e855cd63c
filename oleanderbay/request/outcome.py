"""Outcomes of requests, and refusals with their reasons."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about whether a request was executed."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused or ended without a response."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_FLEET = "unknown_fleet"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_TEAM = "unknown_team"
    NO_ROUTE = "no_route"
    NO_CAPACITY = "no_capacity"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    TEAM_LIMIT = "team_limit"
    CUT_OFF = "cut_off"
    LEAVING = "leaving"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_LOST = "key_lost"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"
    CANCELLED = "cancelled"
    FAULT = "fault"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Error result that is returned in place of a response.

    Attributes:
        reason: Why there is no response.
        outcome: `NOT_RUN` only if no upstream can have run the request.
        message: Human-readable description in one sentence.
        retry_after_ms: Delay after which a retry may succeed; 0 if a retry
            does not help.
        status: HTTP status code.
    """

    reason: Reason
    outcome: Outcome
    message: str
    retry_after_ms: int = 0
    status: int = 503
