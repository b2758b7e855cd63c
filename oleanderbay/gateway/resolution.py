"""Resolves requests by the configuration in force."""

import random

from oleanderbay.gateway import (
    crash_detection,
    interfaces,
    request_state,
    state,
    table,
)
from oleanderbay.request import outcome

# Time after which callers may ask again if there is no forecast.
DEFAULT_RETRY_AFTER_MS = 300


class RequestResolver:
    """Finds the route, the team and the service of a request."""

    def __init__(self, gateway_state: state.State, rng: random.Random) -> None:
        self.gateway_state = gateway_state
        self.rng = rng

    def resolve(
        self, caller_request: interfaces.CallerRequest
    ) -> request_state.RequestState | outcome.Refusal:
        """Resolves route, team and service by the current configuration."""
        current = self.gateway_state.table
        if current is None:
            return _not_run_refusal(
                outcome.Reason.LOG_UNAVAILABLE,
                503,
                "no configuration yet",
            )
        route = current.route(caller_request.host, caller_request.path)
        if route is None:
            return self._unless_behind(
                _not_run_refusal(outcome.Reason.NO_ROUTE, 404, "no such route")
            )
        team = (
            current.team(caller_request.api_key)
            if caller_request.api_key is not None
            else None
        )
        if current.key_required and not route.public and team is None:
            return self._unless_behind(
                _not_run_refusal(
                    outcome.Reason.UNKNOWN_TEAM, 401, "unknown key"
                )
            )
        service = current.services.get(self._choose_service(route))
        if service is None:
            return _not_run_refusal(
                outcome.Reason.UNKNOWN_SERVICE,
                503,
                "no service",
            )
        if not service.has_model(caller_request.model):
            # A later configuration may add the model, so the caller may retry.
            return _not_run_refusal(
                outcome.Reason.UNKNOWN_MODEL,
                503,
                "the service has no such model",
            )
        timeout_ms = min(
            caller_request.timeout_ms or route.timeout_ms, route.timeout_ms
        )
        return request_state.RequestState(
            caller_request=caller_request,
            route=route,
            service=service,
            team=None if route.public and team is None else team,
            deadline_ms=caller_request.arrived_ms + timeout_ms,
            waits_since_ms=caller_request.arrived_ms,
            last_event_id=caller_request.resume_after,
            fingerprint=crash_detection.fingerprint(caller_request, team),
        )

    def _unless_behind(self, refusal: outcome.Refusal) -> outcome.Refusal:
        """Returns a refusal, or one that is not final if it may be wrong.

        A newer configuration that this gateway lacks may have the route or key.
        """
        if not self.gateway_state.is_behind():
            return refusal
        return _not_run_refusal(
            outcome.Reason.LOG_UNAVAILABLE,
            503,
            "a newer configuration is on its way",
        )

    def _choose_service(self, route: table.Route) -> str:
        if len(route.service_weights) == 1:
            return route.service_weights[0][0]
        names = [name for name, _ in route.service_weights]
        weights = [weight for _, weight in route.service_weights]
        return self.rng.choices(names, weights)[0]


def _not_run_refusal(
    reason: outcome.Reason, status: int, message: str
) -> outcome.Refusal:
    return outcome.Refusal(
        reason=reason,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        status=status,
        retry_after_ms=DEFAULT_RETRY_AFTER_MS if status == 503 else 0,
    )
