"""Which workers this gateway reaches by itself."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection, Sequence

import structlog

from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks

# Interval at which paths are checked while some are broken.
CHECK_INTERVAL_MS = 500
# Workers of each kind that one check connects to: any, and those with a broken
# path. More would only add connections, since a partition affects all workers.
SAMPLE_SIZE = 8
# Broken paths that start a check of all paths. A single one is as likely to be
# the fault of its worker's link.
MIN_BROKEN = 2
# Shares of the sampled workers that are reached, up to which the gateway counts
# as partitioned and from which it no longer does.
PARTITIONED_SHARE = 0.25
RESTORED_SHARE = 0.75

log = structlog.get_logger()


class Paths:
    """Tells broken paths of this gateway from workers that are lost.

    A path is broken if this gateway could not connect to a worker while
    another gateway could. With broken paths to most workers, the gateway is
    partitioned: what it finds about workers then says nothing about them.

    Attributes:
        partitioned: Whether other gateways reach the workers but this one
            does not.
        broken: Workers with a broken path, mapped to the start time of their
            incarnation.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        known_workers: Callable[[], Collection[workers.Worker]],
        connect: Callable[[workers.Worker], Awaitable[bool]],
        on_partition: Callable[[], None],
    ) -> None:
        """Creates a tracker that knows no broken path.

        Args:
            clock: Source of time.
            rng: Source of the samples.
            known_workers: Returns the workers that may get requests.
            connect: Whether a direct connection to a worker can be opened.
            on_partition: Called when the gateway has become partitioned.
        """
        self.clock = clock
        self.rng = rng
        self.known_workers = known_workers
        self.connect = connect
        self.on_partition = on_partition
        self.partitioned = False
        self.broken: dict[str, int] = {}
        self._suspected = asyncio.Event()

    def is_broken(self, worker: workers.Worker) -> bool:
        """Whether a worker should be reached through another gateway."""
        return (
            self.partitioned
            or self.broken.get(worker.id, -1) == worker.started_ms
        )

    def record_reached(self, worker: workers.Worker) -> None:
        """Records a direct connection to a worker."""
        if not self.partitioned:
            self.broken.pop(worker.id, None)

    def record_broken(self, worker: workers.Worker) -> None:
        """Records that only another gateway could connect to a worker."""
        if self.broken.get(worker.id, -1) != worker.started_ms:
            self.broken[worker.id] = worker.started_ms
            log.info("path to worker broken", worker=worker.id)
        self._suspected.set()

    async def run(self) -> None:
        """Checks paths while some are broken, until cancelled."""
        while True:
            await self._suspected.wait()
            await self.check()
            if not self.partitioned and not self.broken:
                self._suspected.clear()
                continue
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    async def check(self) -> None:
        """Connects to some workers, and updates which paths are broken."""
        known = {worker.id: worker for worker in self.known_workers()}
        self.broken = {
            worker_id: started_ms
            for worker_id, started_ms in self.broken.items()
            if worker_id in known and known[worker_id].started_ms == started_ms
        }
        if not self.broken and not self.partitioned:
            return
        sampled = self._sample(known.values())
        broken = self._sample(
            [
                known[worker_id]
                for worker_id in self.broken
                if worker_id in known
            ]
        )
        tried = {worker.id: worker for worker in (*sampled, *broken)}
        reached = dict(
            zip(
                tried,
                await asyncio.gather(*map(self.connect, tried.values())),
                strict=True,
            )
        )
        for worker_id in tried:
            if reached[worker_id]:
                self.broken.pop(worker_id, None)
        if sampled:
            self._update(
                [worker.id for worker in sampled if reached[worker.id]],
                len(sampled),
                min(MIN_BROKEN, len(known)),
            )

    def _sample(
        self, candidates: Collection[workers.Worker]
    ) -> list[workers.Worker]:
        return self.rng.sample(
            list(candidates), min(SAMPLE_SIZE, len(candidates))
        )

    def _update(
        self, reached: Sequence[str], tried: int, min_broken: int
    ) -> None:
        reached_share = len(reached) / tried
        if self.partitioned:
            if reached_share >= RESTORED_SHARE:
                self.partitioned = False
                self.broken.clear()
                log.info("paths to workers restored")
        elif (
            reached_share <= PARTITIONED_SHARE
            and len(self.broken) >= min_broken
        ):
            self.partitioned = True
            log.warning(
                "partitioned from workers",
                tried=tried,
                reached=list(reached),
                broken=len(self.broken),
            )
            self.on_partition()
