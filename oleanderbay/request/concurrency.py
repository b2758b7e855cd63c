"""Adaptive concurrency limit of one upstream (slow start and AIMD)."""

import dataclasses

from oleanderbay.process import interfaces


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Parameters of the limit's growth and decrease.

    Attributes:
        overload_factor: A round is overloaded if its latency exceeds this
            multiple of the best round's.
        cold_factor: The upstream has become cold if a latency exceeds this
            multiple of the best round's.
        decrease_factor: Factor of the multiplicative decrease.
    """

    overload_factor: float = 2.0
    cold_factor: float = 8.0
    decrease_factor: float = 0.75


class AdaptiveLimit:
    """Concurrency limit of one upstream, kept by the owner of its permits.

    A round is as many complete responses as the limit. In slow start, the
    limit begins at the cold limit and doubles after each round at normal
    latency. Slow start ends at the warm limit or at the first overload or
    failure; from then on the limit grows by one per round and is multiplied by
    `decrease_factor` on overload or failure.

    Attributes:
        settings: Parameters of growth and decrease.
        upstream: Newest description of the upstream.
        limit: Maximum requests in flight at present.
        slow_start: Whether the limit still doubles per round.
        start_id: Process start in which the results were observed.
        reset_count: Number of resets to the cold limit.
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
        """Whether the upstream is still treated as cold."""
        return self._reported_cold or self.slow_start

    def initialize(self, in_flight: int) -> None:
        """Raises the limit of a new owner to the requests in flight.

        A change of owner must not reduce the limit of a warm upstream to the
        cold limit. The limit of a cold upstream stays as it is.
        """
        if not self._reported_cold:
            self.limit = min(
                self.upstream.warm_limit, max(self.limit, in_flight)
            )

    def update_upstream(self, upstream: interfaces.Upstream) -> bool:
        """Applies a new description; returns whether it caused a reset."""
        changed = upstream.start_id != self.start_id
        self.upstream = upstream
        if changed:
            self.start_id = upstream.start_id
            self._last_served = 0
            self.reset()
        self.limit = min(self.limit, max(1, upstream.warm_limit))
        return changed

    def apply_load_report(self, load: interfaces.UpstreamLoad) -> bool:
        """Applies a load report; returns whether it caused a reset."""
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
        """Records request results; returns whether they caused a reset.

        Args:
            count: Number of complete responses.
            failures: Number of responses that showed overload or a fault.
            max_first_token_ms: Longest time to first token among them; 0 if
                unknown.
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
        """Returns to the cold limit and to slow start."""
        self.limit = self.upstream.cold_limit
        self.slow_start = True
        self.reset_count += 1
        self._best_ms = 0.0
        self._increase_pending = False
        self._start_round()

    def _increase(self) -> None:
        # While the upstream reports that it is cold, the limit stays at the
        # cold limit. Reports lag behind, so a round completed meanwhile
        # raises the limit once a report says that the upstream is warm.
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
