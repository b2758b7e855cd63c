"""Log of refused requests, with the state of the workers that they needed."""

import collections
from collections.abc import Callable, Mapping

import structlog

from oleanderbay.process import clock as clocks

# Under overload, refusals are as frequent as requests.
LOG_INTERVAL_MS = 1_000

log = structlog.get_logger()


class RefusalLog:
    """Writes at most one line in each interval per kind of refusal."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self._logged_ms: dict[tuple[str, str, str], int] = {}
        self._counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def record(
        self,
        service: str,
        model: str,
        reason: str,
        availability: Callable[[], Mapping[str, int]],
    ) -> None:
        """Records a refusal.

        Args:
            service: Name of the service.
            model: Name of the model; empty for a plain service.
            reason: Why the request was refused.
            availability: Returns the number of the service's workers in each
                state; called only if a line is written.
        """
        key = service, model, reason
        now_ms = self.clock.now_ms()
        self._counts[key] += 1
        if now_ms - self._logged_ms.get(key, -LOG_INTERVAL_MS) < (
            LOG_INTERVAL_MS
        ):
            return
        # Callers choose the names of models, so old keys are dropped.
        for old, logged_ms in tuple(self._logged_ms.items()):
            if now_ms - logged_ms >= 2 * LOG_INTERVAL_MS:
                del self._logged_ms[old]
                if old != key:
                    self._counts.pop(old, None)
        self._logged_ms[key] = now_ms
        log.info(
            "requests refused",
            service=service,
            model=model,
            reason=reason,
            count=self._counts.pop(key),
            **availability(),
        )
