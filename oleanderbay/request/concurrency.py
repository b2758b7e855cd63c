"""The adaptive limit of requests in flight at one upstream."""

import dataclasses

from oleanderbay.process import interfaces


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """How a limit moves.

    Attributes:
        overload_factor: Latency above this multiple of the best round counts as
            overload.
        cold_factor: Latency above this multiple of the best round means that
            the upstream has become cold.
        decrease_factor: Factor of a multiplicative decrease.
    """

    overload_factor: float = 2.0
    cold_factor: float = 8.0
    decrease_factor: float = 0.75


class AdaptiveLimit:
    """Limit of one upstream, kept by the owner of its permits.

    The limit starts at the cold level and doubles after each full round of
    answers at normal latency. Once it has reached the warm limit or met
    slowness, it grows by one a round and shrinks by a factor.

    Attributes:
        limit: Requests that may be in flight now.
        slow_start: Whether the limit still doubles.
        start_id: Process start that the evidence belongs to.
    """

    def __init__(
        self,
        upstream: interfaces.Upstream,
        settings: LimitSettings | None = None,
    ) -> None:
        self.settings = settings or LimitSettings()
        self.upstream = upstream
        self.start_id = upstream.start_id
        self.limit = upstream.cold_limit
        self.slow_start = True
        self.reset_count = 0
        self._reported_cold = False
        self._increase_pending = False
        self._round_responses = 0
        self._round_max_ms = 0.0
        self._best_ms = 0.0
        self._last_served = 0
        self._last_report_ms = -1

    @property
    def is_cold(self) -> bool:
        """Whether the upstream still counts as cold."""
        return self._reported_cold or self.slow_start

    def initialize(self, in_flight: int) -> None:
        """Starts a new owner's limit at what a warm upstream can handle."""
        if not self._reported_cold:
            self.limit = min(
                self.upstream.warm_limit, max(self.limit, in_flight)
            )

    def update_upstream(self, upstream: interfaces.Upstream) -> bool:
        """Takes the newest description; returns whether it caused a reset."""
        changed = upstream.start_id != self.start_id
        self.upstream = upstream
        if changed:
            self.start_id = upstream.start_id
            self._last_served = 0
            self.reset()
        self.limit = min(self.limit, max(1, upstream.warm_limit))
        return changed

    def apply_load_report(self, load: interfaces.UpstreamLoad) -> bool:
        """Takes a load report; returns whether it caused a reset."""
        if load.reported_at_ms <= self._last_report_ms:
            return False
        self._last_report_ms = load.reported_at_ms
        restarted = load.served < self._last_served
        became_cold = load.cold and not self._reported_cold
        became_warm = self._reported_cold and not load.cold
        self._last_served = load.served
        self._reported_cold = load.cold
        if restarted or became_cold:
            self.reset()
            return True
        if became_warm and self._increase_pending:
            self._increase_pending = False
            self._increase()
        return False

    def record_results(
        self, count: int, failures: int, max_first_token_ms: float
    ) -> bool:
        """Takes results of requests; returns whether they caused a reset.

        Args:
            count: Answers that were complete.
            failures: Answers that showed overload or a fault.
            max_first_token_ms: Slowest time to first token among them; 0
                if not known.
        """
        best_ms = self._best_ms
        if best_ms and max_first_token_ms > self.settings.cold_factor * (
            best_ms
        ):
            self.reset()
            return True
        if failures:
            self._decrease()
            return False
        self._round_responses += count
        self._round_max_ms = max(self._round_max_ms, max_first_token_ms)
        if self._round_responses < self.limit:
            return False
        max_ms = self._round_max_ms
        self._start_round()
        if best_ms and max_ms > self.settings.overload_factor * best_ms:
            self._decrease()
            return False
        if max_ms:
            self._best_ms = min(best_ms or max_ms, max_ms)
        self._increase()
        return False

    def reset(self) -> None:
        """Returns to the cold level."""
        self.limit = self.upstream.cold_limit
        self.slow_start = True
        self.reset_count += 1
        self._best_ms = 0.0
        self._increase_pending = False
        self._start_round()

    def _increase(self) -> None:
        # While the upstream says that it is cold, it gets no more than the
        # cold level. A round that it has answered counts when the report,
        # which is late, says otherwise.
        if self._reported_cold:
            self._increase_pending = True
            return
        warm = self.upstream.warm_limit
        self.limit = min(
            warm, self.limit * 2 if self.slow_start else self.limit + 1
        )
        if self.limit >= warm:
            self.slow_start = False

    def _decrease(self) -> None:
        self.slow_start = False
        self.limit = max(
            min(self.upstream.cold_limit, self.upstream.warm_limit),
            int(self.limit * self.settings.decrease_factor),
        )
        self._start_round()

    def _start_round(self) -> None:
        self._round_responses = 0
        self._round_max_ms = 0.0
