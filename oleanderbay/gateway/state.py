"""The configuration in force and the registered workers."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

import structlog

from oleanderbay.gateway import feed, interfaces, positions, table, workers
from oleanderbay.process import clock as clocks

# Records arrive up to one read interval after they were written, so the end of
# a cold start that is computed from them varies by that much.
COLD_TOLERANCE_MS = 500
# Workers that said themselves that they drain, and that are remembered in case
# an older record of them arrives.
MAX_SAID_DRAINING = 1_024
# Keys of which a skipped record is logged only once.
MAX_LOGGED_KEYS = 1_024

log = structlog.get_logger()


class State:
    """The contents of the metadata store, as read by this gateway so far.

    Attributes:
        table: Configuration in force; None before the first one is read.
        table_offset: Offset of the record with that configuration.
        evacuated_zones: Zones whose workers must get no new requests.
        workers: Registered workers by id.
        missing_members: Group members other than heads whose records were
            dropped while they were not draining. They may still be running
            and have lost only their connection to the store.
        cold_until_ms: Monotonic end of the cold start, by worker id.
        revision: Incremented with each change of the workers or zones.
        skipped_records: Number of records that could not be decoded.
        is_behind: Returns whether another gateway has a newer configuration.
    """

    def __init__(
        self, decoder: interfaces.Decoder, clock: clocks.Clock
    ) -> None:
        self.decoder = decoder
        self.clock = clock
        self.table: table.RoutingTable | None = None
        self.table_offset = -1
        self.evacuated_zones: frozenset[str] = frozenset()
        self.workers: dict[str, workers.Worker] = {}
        self.missing_members: dict[str, workers.Worker] = {}
        self.cold_until_ms: dict[str, int] = {}
        self.revision = 0
        self.skipped_records = 0
        self.is_behind: Callable[[], bool] = lambda: False
        # Keys, as an ordered set, whose skipped records were logged.
        self._logged: dict[str, None] = {}
        # Start time of the incarnation, by worker id.
        self._said_draining: dict[str, int] = {}
        self._groups: dict[tuple[str, int], workers.Group] = {}
        self._groups_revision = -1
        self._by_service: dict[str, tuple[workers.Worker, ...]] = {}
        self._by_service_revision = -1
        self._domains: dict[str, Mapping[str, tuple[workers.Worker, ...]]] = {}
        self._domains_revision = -1

    def apply_configuration(self, record: interfaces.KeyedRecord) -> None:
        """Applies a record of the configuration topic."""
        if self.decoder.is_configuration(record.key):
            self._apply_table(record)
            return
        zone = self.decoder.evacuated_zone(record.key)
        if zone is None:
            return
        if record.value is None:
            self.evacuated_zones = self.evacuated_zones - {zone}
        else:
            self.evacuated_zones = self.evacuated_zones | {zone}
        self.revision += 1
        log.info("zones without new work", zones=sorted(self.evacuated_zones))

    def is_outdated_configuration(
        self, known: interfaces.KeyedRecord, restored: interfaces.KeyedRecord
    ) -> bool:
        """Whether a restored configuration is older than the known one."""
        if (
            not self.decoder.is_configuration(known.key)
            or known.value is None
            or restored.value is None
        ):
            return False
        known_table = self.decoder.table(known.value)
        restored_table = self.decoder.table(restored.value)
        if isinstance(restored_table, str):
            return True
        return (
            not isinstance(known_table, str)
            and restored_table.version < known_table.version
        )

    def is_outdated_worker(
        self, known: interfaces.KeyedRecord, restored: interfaces.KeyedRecord
    ) -> bool:
        """Whether a restored record of a worker is older than the known one.

        Within one start of a worker, the number of its orders only grows, and
        a worker that drains does not become ready again.
        """
        before = self.workers.get(known.key)
        if before is None or restored.value is None:
            return False
        worker = self.decoder.worker(restored.key, restored.value)
        if isinstance(worker, str):
            return False
        return (worker.started_ms, worker.sequence, worker.draining) < (
            before.started_ms,
            before.sequence,
            before.draining,
        )

    def apply_worker(self, record: interfaces.KeyedRecord) -> feed.Effect:
        """Applies a record of the workers topic.

        A record that can't be used is another writer's. It names no worker and
        says nothing about the one that is known by this id, which may serve
        its group: taking it out would dissolve the group.

        Returns:
            `REPEATED` if the record repeats the worker's previous one. All
            fields are compared, since worker selection, grouping and repairs
            use them. The remaining cold time is compared by the end of the
            cold start that follows from it.
        """
        if record.value is None:
            removed = self.workers.pop(record.key, None)
            if removed is not None:
                self.revision += 1
                log.info("worker gone", worker=record.key)
                membership = removed.membership
                if membership and membership.rank and not removed.draining:
                    self.missing_members[removed.id] = removed
            self.cold_until_ms.pop(record.key, None)
            self._logged.pop(record.key, None)
            return _effect(removed is None)
        worker = self.decoder.worker(record.key, record.value)
        reason = worker if isinstance(worker, str) else self._flaw_of(worker)
        if reason or isinstance(worker, str):
            self._record_skipped(record, reason)
            return feed.Effect.REJECTED
        confirms = False
        if self._said_draining.get(worker.id, -1) == worker.started_ms:
            confirms = worker.draining
            worker = dataclasses.replace(worker, draining=True)
        if confirms:
            del self._said_draining[worker.id]
        self.missing_members.pop(worker.id, None)
        previous = self.workers.get(worker.id)
        if (
            previous is not None
            and previous.started_ms == worker.started_ms
            and previous.sequence > worker.sequence
        ):
            log.info(
                "worker record outdated",
                worker=worker.id,
                sequence=worker.sequence,
                known=previous.sequence,
                offset=positions.number_in_era(record.offset),
            )
        # Gateways that follow this one may not know it from the worker itself.
        repeats = not confirms and self._is_repeat(previous, worker)
        if worker.remaining_cold_ms <= 0:
            self.cold_until_ms.pop(worker.id, None)
        elif not repeats:
            self.cold_until_ms[worker.id] = (
                self.clock.now_ms() + worker.remaining_cold_ms
            )
        if previous is None or previous.started_ms != worker.started_ms:
            log.info(
                "worker registered", worker=worker.id, domain=worker.domain
            )
        if previous != worker:
            self.workers[worker.id] = worker
            self.revision += 1
        return _effect(repeats)

    def mark_draining(self, worker: workers.Worker) -> None:
        """Applies that a worker has said in a response that it drains.

        This holds like its record, and until a new incarnation registers.
        """
        if self._said_draining.get(worker.id, -1) == worker.started_ms:
            return
        self._said_draining.pop(worker.id, None)
        self._said_draining[worker.id] = worker.started_ms
        while len(self._said_draining) > MAX_SAID_DRAINING:
            del self._said_draining[next(iter(self._said_draining))]
        known = self.workers.get(worker.id)
        if known is None or known.started_ms != worker.started_ms:
            return
        log.info("worker drains", worker=worker.id)
        self.workers[worker.id] = dataclasses.replace(known, draining=True)
        self.revision += 1

    def groups(self) -> dict[tuple[str, int], workers.Group]:
        """Returns the groups reported by the workers, by name and epoch."""
        if self._groups_revision != self.revision:
            self._groups = workers.build_groups(
                (*self.workers.values(), *self.missing_members.values())
            )
            self._groups_revision = self.revision
        return self._groups

    def forget_missing_member(self, worker_id: str) -> None:
        """Removes a worker from `missing_members`."""
        if self.missing_members.pop(worker_id, None) is not None:
            self.revision += 1

    def service_workers(self, name: str) -> Iterable[workers.Worker]:
        """Returns the workers of a service."""
        if self._by_service_revision != self.revision:
            found: dict[str, list[workers.Worker]] = {}
            for worker in self.workers.values():
                found.setdefault(worker.service, []).append(worker)
            self._by_service = {k: tuple(v) for k, v in found.items()}
            self._by_service_revision = self.revision
        return self._by_service.get(name, ())

    def workers_by_domain(
        self, service: str
    ) -> Mapping[str, tuple[workers.Worker, ...]]:
        """Returns the workers of a service by fabric domain."""
        if self._domains_revision != self.revision:
            self._domains = {}
            self._domains_revision = self.revision
        found = self._domains.get(service)
        if found is None:
            by_domain: dict[str, list[workers.Worker]] = {}
            for worker in self.service_workers(service):
                by_domain.setdefault(worker.domain, []).append(worker)
            found = {k: tuple(v) for k, v in by_domain.items()}
            self._domains[service] = found
        return found

    def is_cold(self, worker: workers.Worker) -> bool:
        """Whether a worker is in a cold start."""
        until_ms = self.cold_until_ms.get(worker.id)
        return until_ms is not None and self.clock.now_ms() < until_ms

    def _flaw_of(self, worker: workers.Worker) -> str:
        """Returns why a record is not this worker's; empty if it may be.

        A worker that is not known yet may come before the configuration that
        names its service.
        """
        previous = self.workers.get(worker.id)
        if self.table is None or previous is None:
            return ""
        if (
            worker.service != previous.service
            and worker.service not in self.table.services
        ):
            return "service is not configured"
        if previous.domain and not worker.domain:
            return "domain is missing"
        return ""

    def _is_repeat(
        self, previous: workers.Worker | None, worker: workers.Worker
    ) -> bool:
        if worker.remaining_cold_ms <= 0:
            return previous == worker
        # Compares with the end that was last forwarded to followers. If each
        # repeat updated it, small shifts would add up without being forwarded.
        until_ms = self.cold_until_ms.get(worker.id)
        if previous is None or until_ms is None:
            return False
        shift_ms = self.clock.now_ms() + worker.remaining_cold_ms - until_ms
        return abs(shift_ms) <= COLD_TOLERANCE_MS and worker == (
            dataclasses.replace(
                previous, remaining_cold_ms=worker.remaining_cold_ms
            )
        )

    def _apply_table(self, record: interfaces.KeyedRecord) -> None:
        if record.value is None or record.offset <= self.table_offset:
            return
        new_table = self.decoder.table(record.value)
        if isinstance(new_table, str):
            self._record_skipped(record, new_table)
            return
        if self.table is not None and new_table.version < self.table.version:
            return
        self.table = new_table
        self.table_offset = record.offset
        self.revision += 1
        log.info(
            "configuration in force",
            version=new_table.version,
            offset=positions.number_in_era(record.offset),
            era=positions.era_of(record.offset),
            routes=sum(len(routes) for routes in new_table.hosts.values()),
        )

    def _record_skipped(
        self, record: interfaces.KeyedRecord, reason: str
    ) -> None:
        self.skipped_records += 1
        if record.key in self._logged:
            return
        self._logged[record.key] = None
        while len(self._logged) > MAX_LOGGED_KEYS:
            del self._logged[next(iter(self._logged))]
        log.warning(
            "record skipped",
            key=record.key,
            reason=reason,
            offset=positions.number_in_era(record.offset),
        )


def _effect(repeats: bool) -> feed.Effect:
    return feed.Effect.REPEATED if repeats else feed.Effect.CHANGED
