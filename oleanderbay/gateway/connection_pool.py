"""Idle connections to workers."""

from collections.abc import Callable

from oleanderbay.gateway import settings, worker_connection, workers
from oleanderbay.process import clock as clocks


class Pool:
    """Keeps idle connections for the next requests to the same workers.

    Attributes:
        idle: Idle connections by worker id, the newest last.
    """

    def __init__(
        self,
        config: settings.WorkerSettings,
        clock: clocks.Clock,
        gateways: Callable[[], int],
        receiving: Callable[[str], workers.Worker | None],
    ) -> None:
        """Keeps no connection yet.

        Args:
            config: How long and how many connections are kept.
            clock: Source of time.
            gateways: Returns the number of gateways that share the bound for
                one worker.
            receiving: Returns a worker by its id if it may get new requests.
        """
        self.config = config
        self.clock = clock
        self.gateways = gateways
        self.receiving = receiving
        self.idle: dict[str, list[worker_connection.Link]] = {}
        # Until when each idle connection may be used, the oldest first.
        self._until_ms: dict[worker_connection.Link, int] = {}
        self._closed = False

    @property
    def on(self) -> bool:
        """Whether the settings allow to keep connections."""
        config = self.config
        return bool(
            config.idle_ms and config.idle_per_worker and config.idle_in_all
        )

    def take(self, worker: workers.Worker) -> worker_connection.Link | None:
        """Returns an idle connection to a worker, prepared for a request."""
        while found := self.idle.get(worker.id):
            connection = found[-1]
            until_ms = self._until_ms[connection]
            self._forget(connection)
            if (
                self.clock.now_ms() < until_ms
                and self._leads_to(connection, self.receiving(worker.id))
                and connection.quiet()
            ):
                connection.begin(self.config.connect_timeout_ms)
                return connection
            connection.close()
        return None

    def put(self, connection: worker_connection.Link) -> None:
        """Keeps a connection after a whole answer, or closes it."""
        worker = connection.worker
        kept_ms = self._kept_ms(connection)
        if (
            worker is None
            or kept_ms <= 0
            or not self._leads_to(connection, self.receiving(worker.id))
            or not connection.fit
        ):
            connection.close()
            return
        self.idle.setdefault(worker.id, []).append(connection)
        self._until_ms[connection] = self.clock.now_ms() + kept_ms
        connection.left = self._drop
        self._trim(worker.id)
        while len(self._until_ms) > self.config.idle_in_all:
            self._drop(next(iter(self._until_ms)))

    def review(self) -> None:
        """Closes connections that are too old or whose worker is out."""
        now_ms = self.clock.now_ms()
        for worker_id, found in tuple(self.idle.items()):
            worker = self.receiving(worker_id)
            for connection in tuple(found):
                if self._until_ms[connection] <= now_ms or not self._leads_to(
                    connection, worker
                ):
                    self._drop(connection)
            self._trim(worker_id)

    def close(self) -> None:
        """Closes all idle connections and keeps no further one."""
        self._closed = True
        for connection in tuple(self._until_ms):
            self._drop(connection)

    def _trim(self, worker_id: str) -> None:
        """Closes the oldest connections beyond the share of this gateway."""
        most = self.config.idle_per_worker // max(1, self.gateways())
        while len(self.idle.get(worker_id, ())) > most:
            self._drop(self.idle[worker_id][0])

    def _kept_ms(self, connection: worker_connection.Link) -> int:
        """Returns for how long a connection may still be used."""
        if self._closed or not self.on:
            return 0
        stated_ms = connection.stated_idle_ms
        whole_ms = (
            self.config.idle_ms
            if stated_ms is None
            else stated_ms - self.config.idle_margin_ms
        )
        return connection.answered_ms + whole_ms - self.clock.now_ms()

    def _leads_to(
        self, connection: worker_connection.Link, worker: workers.Worker | None
    ) -> bool:
        """Whether a connection leads to this incarnation of a worker."""
        made = connection.worker
        return (
            made is not None
            and worker is not None
            and (made.id, made.address, made.started_ms)
            == (worker.id, worker.address, worker.started_ms)
        )

    def _drop(self, connection: worker_connection.Link) -> None:
        self._forget(connection)
        connection.close()

    def _forget(self, connection: worker_connection.Link) -> None:
        connection.left = None
        self._until_ms.pop(connection, None)
        if connection.worker is None:
            return
        found = self.idle.get(connection.worker.id, [])
        if connection in found:
            found.remove(connection)
        if not found:
            self.idle.pop(connection.worker.id, None)
