"""Retry policy: whether and when a failed attempt is retried."""

import dataclasses
import enum
import random

from oleanderbay.request import outcome


class Result(enum.StrEnum):
    """How an attempt ended."""

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Result of one attempt at an upstream.

    Attributes:
        upstream: Id of the upstream.
        result: `NOT_SENT`: no byte can have been sent; `REFUSED`: the
            upstream refused the request without running it; `FAILED`: ended
            before any byte of the response was delivered to the caller;
            `BROKEN`: ended after the first byte was delivered.
        retry_after_ms: Delay that the upstream asked for; 0 if none.
    """

    upstream: str
    result: Result
    retry_after_ms: int = 0

    @property
    def provably_not_run(self) -> bool:
        """Whether the attempt certainly had no effect."""
        return self.result in (Result.NOT_SENT, Result.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """The decision to retry.

    Attributes:
        delay_ms: Delay before the next attempt.
        resume: Whether to resume the stream after the last position that was
            delivered.
    """

    delay_ms: int
    resume: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Limits of retries.

    Attributes:
        max_attempts: Maximum attempts per request, including the first.
        base_delay_ms: Upper bound of the first random delay; the bound
            doubles with each retry.
        max_delay_ms: Upper bound of all random delays.
        budget_burst: Maximum retries that a route's budget accumulates.
    """

    max_attempts: int = 3
    base_delay_ms: int = 20
    max_delay_ms: int = 1_000
    budget_burst: float = 10.0


class RetryBudget:
    """Token bucket that limits the retries and hedges of one route.

    Each first attempt adds a fraction of a token; each retry or hedge takes
    one token.
    """

    def __init__(self, burst: float) -> None:
        self.burst = burst
        # The bucket starts full: failures are likely right after the start,
        # and the burst limits the extra load of their retries.
        self.tokens = burst

    def record_first_attempt(self, share: float) -> None:
        """Adds a fraction of a token for a first attempt."""
        self.tokens = min(self.burst, self.tokens + share)

    def try_take(self) -> bool:
        """Takes one token; returns whether one was available."""
        # Rounding makes ten additions of a share such as 0.1 less than 1.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True


class RetryPolicy:
    """Decides after a failed attempt whether to retry or to give up."""

    def __init__(
        self, rng: random.Random, settings: RetrySettings | None = None
    ) -> None:
        self.settings = settings or RetrySettings()
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}

    def budget_for(self, route: str) -> RetryBudget:
        """Returns the retry budget of a route; creates it on first use."""
        budget = self._budgets.get(route)
        if budget is None:
            budget = RetryBudget(self.settings.budget_burst)
            self._budgets[route] = budget
        return budget

    def decide(
        self,
        route: str,
        attempts: list[Attempt],
        idempotent: bool,
        resumable: bool,
        now_ms: int,
        deadline_ms: int,
        *,
        body_replayable: bool = True,
    ) -> Retry | outcome.Refusal:
        """Decides how to proceed after the newest attempt has failed.

        On a retry, the caller of this method excludes the upstreams that have
        failed from the next selection. It passes a refusal on unchanged: the
        refusal's outcome covers all attempts.
        """
        last = attempts[-1]
        if not idempotent and not last.provably_not_run:
            return self._give_up(attempts, "its effect is not known")
        if last.result is Result.BROKEN and not resumable:
            return self._give_up(
                attempts, "the answer broke off and cannot be resumed"
            )
        # A body that is streamed may have been read unless nothing was sent.
        if not body_replayable and last.result is not Result.NOT_SENT:
            return self._give_up(attempts, "the body can't be sent again")
        if len(attempts) >= self.settings.max_attempts:
            return self._give_up(attempts, "all attempts failed")
        ceiling_ms = min(
            self.settings.max_delay_ms,
            self.settings.base_delay_ms * 2 ** (len(attempts) - 1),
        )
        delay_ms = int(self._rng.uniform(0, ceiling_ms))
        if now_ms + delay_ms >= deadline_ms:
            return self._give_up(attempts, "its deadline leaves no time")
        if not self.budget_for(route).try_take():
            return self._give_up(attempts, "the route's retries are used up")
        return Retry(delay_ms=delay_ms, resume=last.result is Result.BROKEN)

    def hedge_after_ms(
        self,
        enabled: bool,
        idempotent: bool,
        expected_p95_ms: float,
        now_ms: int,
        deadline_ms: int,
    ) -> int | None:
        """Returns the delay before a hedged attempt, or None for no hedge.

        Only short requests are hedged: the second attempt must be able to
        finish before the deadline. The caller of this method takes a token
        from the budget when it starts the hedge.
        """
        if not enabled or not idempotent or expected_p95_ms <= 0:
            return None
        if now_ms + 2 * expected_p95_ms > deadline_ms:
            return None
        return int(expected_p95_ms)

    def _give_up(self, attempts: list[Attempt], why: str) -> outcome.Refusal:
        not_run = all(attempt.provably_not_run for attempt in attempts)
        retry_after_ms = max(
            (attempt.retry_after_ms for attempt in attempts), default=0
        )
        last = attempts[-1]
        refused = last.result is Result.REFUSED
        return outcome.Refusal(
            reason=outcome.Reason.UPSTREAM_REFUSED
            if refused
            else outcome.Reason.UPSTREAM_FAILED,
            outcome=outcome.Outcome.NOT_RUN
            if not_run
            else outcome.Outcome.UNKNOWN,
            message=f"upstream {last.upstream} failed ({last.result}): {why}",
            retry_after_ms=max(retry_after_ms, 100) if not_run else 0,
            status=503 if not_run else 502,
        )
