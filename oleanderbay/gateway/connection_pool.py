"""Pool of idle connections to workers."""

from collections.abc import Callable

from oleanderbay.gateway import settings, worker_connection, workers
from oleanderbay.process import clock as clocks


class ConnectionPool:
    """Keeps idle connections for reuse by later requests to the same worker.

    Attributes:
        idle: Idle connections by worker id, the most recently used last.
    """

    def __init__(
        self,
        config: settings.WorkerSettings,
        clock: clocks.Clock,
        gateway_count: Callable[[], int],
        accepting_worker: Callable[[str], workers.Worker | None],
    ) -> None:
        """Creates an empty pool.

        Args:
            config: Limits on the age and number of idle connections.
            clock: Source of time.
            gateway_count: Returns the number of gateways among which the limit
                per worker is divided.
            accepting_worker: Returns the worker with the given id, or None if
                it must not get new requests.
        """
        self.config = config
        self.clock = clock
        self.gateway_count = gateway_count
        self.accepting_worker = accepting_worker
        self.idle: dict[str, list[worker_connection.WorkerConnection]] = {}
        # Time at which each idle connection expires, in order of insertion.
        self._expires_ms: dict[worker_connection.WorkerConnection, int] = {}
        self._closed = False

    @property
    def enabled(self) -> bool:
        """Whether the settings allow idle connections."""
        config = self.config
        return bool(
            config.idle_ms and config.idle_per_worker and config.idle_in_all
        )

    def acquire(
        self, worker: workers.Worker
    ) -> worker_connection.WorkerConnection | None:
        """Returns an idle connection that is ready for a request, or None."""
        while connections := self.idle.get(worker.id):
            connection = connections[-1]
            expires_ms = self._expires_ms[connection]
            self._remove(connection)
            if (
                self.clock.now_ms() < expires_ms
                and self._belongs_to(
                    connection, self.accepting_worker(worker.id)
                )
                and connection.has_no_input()
            ):
                connection.prepare_reuse(self.config.connect_timeout_ms)
                return connection
            connection.close()
        return None

    def release(self, connection: worker_connection.WorkerConnection) -> None:
        """Adds a connection after a complete response, or closes it."""
        worker = connection.worker
        remaining_ms = self._remaining_ms(connection)
        if (
            worker is None
            or remaining_ms <= 0
            or not self._belongs_to(
                connection, self.accepting_worker(worker.id)
            )
            or not connection.reusable
        ):
            connection.close()
            return
        self.idle.setdefault(worker.id, []).append(connection)
        self._expires_ms[connection] = self.clock.now_ms() + remaining_ms
        connection.on_unusable = self._discard
        self._trim(worker.id)
        while len(self._expires_ms) > self.config.idle_in_all:
            self._discard(next(iter(self._expires_ms)))

    def close_expired(self) -> None:
        """Closes connections that expired or whose worker is unavailable."""
        now_ms = self.clock.now_ms()
        for worker_id, connections in tuple(self.idle.items()):
            worker = self.accepting_worker(worker_id)
            for connection in tuple(connections):
                if self._expires_ms[
                    connection
                ] <= now_ms or not self._belongs_to(connection, worker):
                    self._discard(connection)
            self._trim(worker_id)

    def close(self) -> None:
        """Closes all idle connections; later ones are closed on release."""
        self._closed = True
        self.clear()

    def clear(self) -> None:
        """Closes all idle connections."""
        for connection in tuple(self._expires_ms):
            self._discard(connection)

    def _trim(self, worker_id: str) -> None:
        """Closes the oldest connections beyond this gateway's share."""
        limit = self.config.idle_per_worker // max(1, self.gateway_count())
        while len(self.idle.get(worker_id, ())) > limit:
            self._discard(self.idle[worker_id][0])

    def _remaining_ms(
        self, connection: worker_connection.WorkerConnection
    ) -> int:
        """Returns for how long a connection may still be kept idle."""
        if self._closed or not self.enabled:
            return 0
        advertised_ms = connection.advertised_idle_ms
        idle_limit_ms = (
            self.config.idle_ms
            if advertised_ms is None
            else advertised_ms - self.config.idle_margin_ms
        )
        return connection.response_end_ms + idle_limit_ms - self.clock.now_ms()

    def _belongs_to(
        self,
        connection: worker_connection.WorkerConnection,
        worker: workers.Worker | None,
    ) -> bool:
        """Whether a connection was opened to this incarnation of a worker."""
        opened_to = connection.worker
        return (
            opened_to is not None
            and worker is not None
            and (opened_to.id, opened_to.address, opened_to.started_ms)
            == (worker.id, worker.address, worker.started_ms)
        )

    def _discard(self, connection: worker_connection.WorkerConnection) -> None:
        self._remove(connection)
        connection.close()

    def _remove(self, connection: worker_connection.WorkerConnection) -> None:
        connection.on_unusable = None
        self._expires_ms.pop(connection, None)
        if connection.worker is None:
            return
        connections = self.idle.get(connection.worker.id, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self.idle.pop(connection.worker.id, None)
