"""Whether and when a request is tried again."""

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
    """What is known of one attempt at an upstream.

    Attributes:
        upstream: Id of the upstream.
        result: `NOT_SENT`: no byte can have left; `REFUSED`: the upstream
            refused before running; `FAILED`: ended before a byte of the
            answer was delivered; `BROKEN`: ended after one was.
        retry_after_ms: What the upstream asked for, if it did.
    """

    upstream: str
    result: Result
    retry_after_ms: int = 0

    @property
    def provably_not_run(self) -> bool:
        """Whether the attempt can have had no effect."""
        return self.result in (Result.NOT_SENT, Result.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Try again.

    Attributes:
        delay_ms: How long to wait first.
        resume: Whether to resume at the last position that was delivered.
    """

    delay_ms: int
    resume: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Bounds of retries.

    Attributes:
        max_attempts: Attempts of a request, the first one included.
        base_delay_ms: Upper end of the first random delay; it doubles.
        max_delay_ms: Upper end of any random delay.
        budget_burst: Retries that a route may save up.
    """

    max_attempts: int = 3
    base_delay_ms: int = 20
    max_delay_ms: int = 1_000
    budget_burst: float = 10.0


class RetryBudget:
    """Retries and hedges of one route as a share of its first attempts."""

    def __init__(self, burst: float) -> None:
        self.burst = burst
        # A route that has just started may retry a little: failures at that
        # moment are likely and the burst bounds what they can cost.
        self.tokens = burst

    def record_first_attempt(self, share: float) -> None:
        """Earns a share of a retry."""
        self.tokens = min(self.burst, self.tokens + share)

    def try_take(self) -> bool:
        """Spends one retry; returns whether there was one."""
        # Sums of shares such as 0.1 fall short of 1 by rounding.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True


class RetryPolicy:
    """Decides on the result of an attempt."""

    def __init__(
        self, rng: random.Random, settings: RetrySettings | None = None
    ) -> None:
        self.settings = settings or RetrySettings()
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}

    def budget_for(self, route: str) -> RetryBudget:
        """Returns the budget of a route."""
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
    ) -> Retry | outcome.Refusal:
        """Decides after the last of a request's attempts has failed.

        The caller excludes the upstreams of all attempts when it chooses
        again. It passes a refusal on; its outcome covers all attempts.
        """
        last = attempts[-1]
        if not idempotent and not last.provably_not_run:
            return self._give_up(attempts, "its effect is not known")
        if last.result is Result.BROKEN and not resumable:
            return self._give_up(
                attempts, "the answer broke off and cannot be resumed"
            )
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
        """Returns when to start a second attempt, or None for never.

        Only short calls are hedged: a second attempt must be able to finish
        within the deadline. The caller takes it from the budget when it
        starts it.
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
