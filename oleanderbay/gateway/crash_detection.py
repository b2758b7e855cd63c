"""Detection of workers that a request has crashed."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable

import structlog
import xxhash

from oleanderbay.gateway import interfaces, settings, table, tasks, workers
from oleanderbay.process import clock as clocks

# Delays of the checks after a connection broke. A crashed worker may refuse
# connections slightly later than it breaks the open ones, and stays away for
# seconds.
CHECK_DELAYS_MS = (20, 80, 300)
CONNECT_TIMEOUT_MS = 500

log = structlog.get_logger()

# Opens a connection to a worker and closes it again.
Connect = Callable[[workers.Worker], Awaitable[None]]
# Counts the crash of a worker against requests or against parts of prompts.
RecordCrash = Callable[[workers.Worker, Iterable[str]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request that a worker broke off.

    Attributes:
        fingerprint: What it shares with its repeats.
        shared_parts: Parts of its prompt that the break alone does not count
            against, since a worker may also close an idle connection.
    """

    fingerprint: str
    shared_parts: tuple[str, ...] = ()


class CrashDetector:
    """Finds out whether workers that broke off requests have crashed.

    A connection also breaks if a worker has too many of them, closes an idle
    one or is cut off. A crashed worker refuses new connections.

    Attributes:
        connect: Opens a connection; raises `ConnectionRefusedError` if nothing
            listens at the worker's address.
        record_requests: Called with a crashed worker and the fingerprints of
            the requests that it broke off.
        record_parts: Called with a crashed worker and the parts of a prompt
            that it broke off.
        is_path_broken: Whether other gateways reach a worker and this one
            does not; known after `connect`.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        record_requests: RecordCrash,
        record_parts: RecordCrash,
        connect: Connect | None = None,
        is_path_broken: Callable[[workers.Worker], bool] = lambda _: False,
    ) -> None:
        self.clock = clock
        self.record_requests = record_requests
        self.record_parts = record_parts
        self.connect = connect or open_connection
        self.is_path_broken = is_path_broken
        self._breaks: dict[tuple[str, int], set[tuple[str, ...]]] = {}
        self._broken_off: dict[tuple[str, int], set[BrokenRequest]] = {}
        self._tasks = tasks.KeyedTasks(OSError)

    def check(self, worker: workers.Worker, broken: BrokenRequest) -> None:
        """Checks a worker that broke off a request before its answer."""
        key = (worker.id, worker.started_ms)
        self._broken_off.setdefault(key, set()).add(broken)
        self._tasks.start(key, self._check(key, worker))

    def record_break(
        self, worker: workers.Worker, shared_parts: tuple[str, ...]
    ) -> None:
        """Counts a break against parts of a prompt, unless the path broke."""
        key = (worker.id, worker.started_ms)
        self._breaks.setdefault(key, set()).add(shared_parts)
        self._tasks.start(("path", key), self._check_path(key, worker))

    def close(self) -> None:
        """Ends all checks."""
        self._tasks.close()

    async def _check_path(
        self, key: tuple[str, int], worker: workers.Worker
    ) -> None:
        try:
            # A worker that crashed is reached by no gateway.
            await self._refuses_connections(worker)
            if self.is_path_broken(worker):
                log.info("break of a path", worker=worker.id)
                return
            for parts in self._breaks[key]:
                self.record_parts(worker, parts)
        finally:
            del self._breaks[key]

    async def _check(
        self, key: tuple[str, int], worker: workers.Worker
    ) -> None:
        try:
            for delay_ms in CHECK_DELAYS_MS:
                await self.clock.sleep_ms(delay_ms)
                if await self._refuses_connections(worker):
                    self._record(worker, self._broken_off[key])
                    return
        finally:
            del self._broken_off[key]

    def _record(
        self, worker: workers.Worker, broken_off: Iterable[BrokenRequest]
    ) -> None:
        fingerprints = {broken.fingerprint for broken in broken_off}
        log.info(
            "worker crashed", worker=worker.id, requests=sorted(fingerprints)
        )
        self.record_requests(worker, fingerprints)
        for parts in {broken.shared_parts for broken in broken_off}:
            self.record_parts(worker, parts)

    async def _refuses_connections(self, worker: workers.Worker) -> bool:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await self.connect(worker)
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            return False
        return False


async def open_connection(worker: workers.Worker) -> None:
    """Opens a connection to a worker and closes it again.

    Raises:
        ConnectionRefusedError: Nothing listens at the worker's address.
        OSError: The worker is not reachable.
    """
    _, writer = await asyncio.open_connection(
        *settings.split_address(worker.address)
    )
    writer.transport.abort()


def fingerprint(
    request: interfaces.CallerRequest, team: table.Team | None
) -> str:
    """Returns what requests with the same target, caller and body share."""
    digest = xxhash.xxh64()
    for field in (
        request.method,
        request.host,
        request.target,
        team.name if team is not None else "",
    ):
        digest.update(field.encode("utf-8", "surrogateescape") + b"\n")
    digest.update(request.body or b"")
    return digest.hexdigest()
