"""Workers that want no requests from this gateway for a time."""

from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks

# Longest rest that is kept. A worker that wants none for longer leaves.
MAX_REST_MS = 3_600_000


class Rests:
    """Knows until when each worker wants no requests from this gateway.

    A worker asks each gateway by itself, so what one was asked says nothing
    about the others. A new incarnation of a worker has asked for nothing.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        # Start time of the incarnation and the end of its rest, by worker id.
        self._rests: dict[str, tuple[int, int]] = {}

    @property
    def any(self) -> bool:
        """Whether any worker may want no requests."""
        return bool(self._rests)

    def record(self, worker: workers.Worker, rest_ms: int) -> None:
        """Records that a worker wants no requests for a time."""
        self.drop_ended()
        now_ms = self.clock.boot_ms()
        until_ms = now_ms + min(rest_ms, MAX_REST_MS)
        self._rests[worker.id] = (
            worker.started_ms,
            max(until_ms, now_ms + self.left_ms(worker)),
        )

    def drop_ended(self) -> None:
        """Forgets the rests that are over."""
        now_ms = self.clock.boot_ms()
        self._rests = {
            worker_id: rest
            for worker_id, rest in self._rests.items()
            if rest[1] > now_ms
        }

    def left_ms(self, worker: workers.Worker) -> int:
        """Returns for how long a worker wants no requests; 0 if it takes them.

        Suspension of this process counts, as the worker goes on meanwhile.
        """
        rest = self._rests.get(worker.id)
        if rest is None or rest[0] != worker.started_ms:
            return 0
        return max(0, rest[1] - self.clock.boot_ms())
