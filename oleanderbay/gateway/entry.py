"""The gateway service: wires its components, starts and stops them."""

import asyncio
import functools
import json
import random
import uuid
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import mode
import structlog

from oleanderbay.gateway import (
    attempt,
    budget,
    connection_pool,
    controller,
    crash_detection,
    demand,
    dialing,
    domain_ownership,
    feed,
    fields,
    health,
    interfaces,
    listener,
    paths,
    pauses,
    peers,
    pipeline,
    positions,
    quarantine,
    quarantine_records,
    queueing,
    request_load,
    selection,
    shared_reads,
    state,
    stopping,
    summaries,
    tunnels,
    worker_client,
    worker_limits,
    workers,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

# Time that connections get to close at the end of a stop.
CLOSE_LIMIT_MS = 50
RETRY_DELAY_MS = 500
# Interval between reads of the gateways' addresses, which find gateways that
# were added while heartbeats did not reach this one.
ADDRESS_REFRESH_MS = 10_000
# The platform removes the entry of a worker that is silent for this many
# heartbeat intervals.
SILENT_HEARTBEATS = 3

log = structlog.get_logger()


class Gateway(mode.Service):  # type: ignore[misc]
    """Creates, runs and stops all components of a gateway process.

    Attributes:
        leaving: Whether a graceful stop has begun.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        store: interfaces.Store,
        orders: interfaces.ConnectedOrders,
        decoder: interfaces.Decoder,
        translator: interfaces.Translator,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.config = config
        self.telemetry = telemetry_module.Telemetry(
            config.telemetry, config.entry.id
        )
        store = self.telemetry.instrument_store(store)
        self.store = store
        self.leaving = False
        self.clock = clock or clocks.SystemClock()
        self.rng = rng or random.Random()
        self.start_id = uuid.uuid4().hex[:12]
        self.gateway_state = state.State(decoder, self.clock)
        self.worker_health = health.HealthTracker(self.clock)
        self.loads = request_load.RequestLoad()
        self.feeds = {
            "configuration": feed.Feed(
                store,
                interfaces.Topic.CONFIGURATION,
                self.clock,
                self.gateway_state.apply_configuration,
                config.store.wait_ms,
                0,
                self.gateway_state.is_outdated_configuration,
            ),
            "workers": feed.Feed(
                store,
                interfaces.Topic.WORKERS,
                self.clock,
                self.gateway_state.apply_worker,
                0,
                config.store.worker_interval_ms,
                self.gateway_state.is_outdated_worker,
                keeps_dropped=True,
                silence_ms=max(
                    feed.SETTLE_MS,
                    SILENT_HEARTBEATS * config.workers.heartbeat_ms,
                ),
            ),
        }
        self.peers = peers.Peers(
            config,
            self.start_id,
            self.clock,
            self.feeds,
            self._heartbeat_contents,
            self._apply_contents,
            self.telemetry,
        )
        self.gateway_state.is_behind = lambda: (
            self.peers.comparison.behind_ms(
                interfaces.Topic.CONFIGURATION.value
            )
            > 0
        )
        self.telemetry.register_gauges(
            self.gateway_state,
            self.feeds,
            self.peers.live,
            self.peers.comparison.behind_ms,
        )
        self.shared_reads = self._create_shared_reads()
        self.peers.handlers[shared_reads.SUBSCRIBE] = (
            self.shared_reads.publisher.serve
        )
        connect_timeout_ms = config.workers.connect_timeout_ms
        self.paths = paths.Paths(
            self.clock,
            self.rng,
            self._receiving_workers,
            functools.partial(
                dialing.try_direct, timeout_ms=connect_timeout_ms
            ),
            self._leave_duties,
        )
        self.dialer = dialing.Dialer(
            self.clock,
            self.rng,
            self.peers.members,
            connect_timeout_ms,
            self.paths,
        )
        orders.open_socket = self.dialer.open_socket
        self.pause_detector = pauses.PauseDetector(self.clock)
        self.tunnels = tunnels.TunnelServer(
            self.clock,
            connect_timeout_ms,
            self.peers.members.is_gateway,
            self._tunnel_target,
            self.pause_detector.settle,
        )
        self.peers.handlers[tunnels.TUNNEL] = self.tunnels.serve
        self.retry_budget = budget.RetryBudget(
            self.clock,
            config.limits.retry_ratio,
            config.limits.retry_extra,
            config.limits.retry_window_ms,
            self.peers.gateway_count,
        )
        self.quarantine = quarantine.PromptQuarantine(
            self.clock, config.limits.quarantine_ms
        )
        self.request_quarantine = quarantine.PromptQuarantine(
            self.clock, config.limits.quarantine_ms, combined=False
        )
        self.crash_detector = crash_detection.CrashDetector(
            self.clock,
            self.request_quarantine.record_crash,
            self.quarantine.record_crash,
            self.dialer.check,
            self.paths.is_broken,
        )
        self.quarantine_records = quarantine_records.QuarantineRecords(
            store,
            self.clock,
            {
                quarantine_records.PARTS: self.quarantine,
                quarantine_records.REQUESTS: self.request_quarantine,
            },
            self.rng,
        )
        self.worker_limits = worker_limits.WorkerLimits(
            self.clock, self.peers.gateway_count, self.peers.rank
        )
        self.selector = selection.WorkerSelector(
            self.gateway_state,
            self.worker_health,
            self.loads,
            budget.ColdStartBudget(
                self.clock, self.peers.gateway_count, self.peers.rank
            ),
            self.worker_limits,
            self.rng,
            config.entry.zone,
        )
        self.queues = queueing.RequestQueues(self.selector, self.clock)
        self.worker_client = worker_client.WorkerClient(
            config.workers,
            self.clock,
            connection_pool.ConnectionPool(
                config.workers,
                self.clock,
                self.peers.gateway_count,
                self.selector.accepting_worker,
            ),
            self.dialer,
            self.telemetry,
        )
        self.domain_ownership = domain_ownership.DomainOwnership(
            store,
            self.clock,
            f"{config.entry.id}/{self.start_id}",
            config.store.ownership_ttl_ms,
            config.store.join_interval_ms,
        )
        self.domain_ownership.suspended = lambda: self.paths.partitioned
        self.worker_health.partitioned = lambda: self.paths.partitioned
        self.demand = demand.Demand(self.clock)
        self.group_controller = controller.GroupController(
            self.gateway_state,
            self.feeds["workers"].uninterrupted_ms,
            self.worker_health,
            self.domain_ownership,
            self.telemetry.instrument_orders(orders),
            self.loads,
            self.demand,
            config,
            self.clock,
            self.rng,
            self.start_id,
            self.telemetry,
        )
        self.listeners = listener.Listeners(
            config,
            self.gateway_state,
            self._create_pipeline(translator),
            translator,
            self.clock,
            self.ready,
            self.addresses,
            self.status,
            self.telemetry,
        )

    def _create_pipeline(
        self, translator: interfaces.Translator
    ) -> pipeline.Pipeline:
        attempts = attempt.AttemptRunner(
            attempt.Dependencies(
                selector=self.selector,
                worker_health=self.worker_health,
                retry_budget=self.retry_budget,
                prompt_quarantine=self.quarantine,
                request_quarantine=self.request_quarantine,
                limits=self.worker_limits,
                client=self.worker_client,
                translator=translator,
                clock=self.clock,
                max_answer_bytes=self.config.workers.max_answer_bytes,
                max_event_bytes=self.config.workers.max_event_bytes,
                telemetry=self.telemetry,
            )
        )
        return pipeline.Pipeline(
            pipeline.Dependencies(
                gateway_state=self.gateway_state,
                queues=self.queues,
                selector=self.selector,
                loads=self.loads,
                worker_health=self.worker_health,
                retry_budget=self.retry_budget,
                prompt_quarantine=self.quarantine,
                request_quarantine=self.request_quarantine,
                crash_detector=self.crash_detector,
                demand=self.demand,
                attempt_runner=attempts,
                pause_detector=self.pause_detector,
                clock=self.clock,
                rng=self.rng,
                telemetry=self.telemetry,
            )
        )

    def _create_shared_reads(self) -> shared_reads.SharedReads:
        entry, silence_ms = (
            self.config.entry,
            self.config.store.reader_silence_ms,
        )
        return shared_reads.SharedReads(
            self.feeds["workers"],
            shared_reads.ReaderElection(
                entry.id,
                entry.zone,
                self.clock,
                self.feeds,
                self.peers.live,
                lambda: self.leaving,
                silence_ms,
            ),
            self.clock,
            functools.partial(
                asyncio.open_connection, port=self.config.peers.port
            ),
            silence_ms,
        )

    async def on_start(self) -> None:
        """Opens the listeners and starts the background tasks."""
        await self.worker_client.start()
        await self.peers.start()
        await self.listeners.start()
        for run in (
            *(topic_feed.run for topic_feed in self.feeds.values()),
            self.pause_detector.run,
            self.peers.run,
            self.shared_reads.run,
            self.domain_ownership.run,
            self.group_controller.run,
            self.quarantine_records.feed.run,
            self.quarantine_records.run,
            self.paths.run,
            self._exchange_addresses,
        ):
            self.add_future(self._supervise(run))
        log.info(
            "gateway started",
            id=self.config.entry.id,
            start_id=self.start_id,
            callers=self.config.listeners.callers,
        )

    async def on_shutdown(self) -> None:
        """Closes the components' connections and exporters."""
        self.shared_reads.close()
        self.crash_detector.close()
        await self.peers.close()
        await self.worker_client.close()
        await self.telemetry.close()

    def ready(self) -> bool:
        """Whether callers should send requests to this gateway.

        One that is partitioned from the workers still serves requests through
        other gateways, to which callers should connect themselves.
        """
        return (
            self.gateway_state.table is not None
            and not self.leaving
            and not (
                self.paths.partitioned and self.peers.members.ready_gateways()
            )
        )

    def addresses(self) -> list[str]:
        """Returns the caller addresses of all gateways that are ready."""
        ready = self.peers.members.caller_addresses()
        if self.ready():
            ready.append(self.config.listeners.callers)
        return ready

    def status(self) -> dict[str, Any]:
        """Returns the state of this gateway for operators."""
        current = self.gateway_state.table
        return {
            "id": self.config.entry.id,
            "ready": self.ready(),
            "version": current.version if current else None,
            "store_age_ms": {
                name: topic_feed.age_ms()
                for name, topic_feed in self.feeds.items()
            },
            "behind_ms": {
                name: self.peers.comparison.behind_ms(name)
                for name in self.feeds
            },
            "peers": sorted(self.peers.members.gateway_ids()),
            "reader": (
                self.shared_reads.subscription.peer.id
                if self.shared_reads.subscription
                and self.shared_reads.is_following()
                else self.config.entry.id
            ),
            "evacuated": sorted(self.gateway_state.evacuated_zones),
            "workers": len(self.gateway_state.workers),
            "skipped_records": self.gateway_state.skipped_records,
            "malformed_datagrams": self.peers.malformed.count,
            "generation": positions.number_in_era(
                self.domain_ownership.generation, positions.GENERATION_BITS
            ),
            "partitions": sorted(self.domain_ownership.partitions),
            "partitioned": self.paths.partitioned,
            "broken_paths": sorted(self.paths.broken),
            "tunnels": self.tunnels.count,
            "lost": sorted(self.worker_health.lost),
            "suspects": sorted(self.worker_health.suspected_workers()),
            "quarantined": self.quarantine.held_parts(),
            "quarantined_requests": [
                request for (request,) in self.request_quarantine.held_parts()
            ],
            "limits": self.worker_limits.stated(),
            "groups": [
                {
                    "name": group.name,
                    "model": group.model,
                    "open": group.open,
                    "members": [w.id for w in group.members.values()],
                    "in_flight": (
                        self.loads.in_flight(group.head.id) if group.head else 0
                    ),
                }
                for group in self.gateway_state.groups().values()
            ],
        }

    async def stop_gracefully(self) -> None:
        """Leaves the directory, completes requests in progress and stops.

        The listeners stay open until callers no longer use directory responses
        that name this gateway, but for at most half of the grace period.
        """
        stop = self.config.stop
        started_ms = self.clock.now_ms()
        end_ms = started_ms + stopping.request_time_ms(stop.grace_ms)
        self.leaving = True
        cached_ms = stop.directory_ttl_ms * stop.kept_factor
        self.listeners.leave(end_ms, started_ms + cached_ms)
        self.tunnels.leave()
        log.info("leaving", in_progress=self.listeners.in_progress)
        self.peers.send_heartbeats()
        # Nothing waits for the store, which may answer late or never.
        self.add_future(self.domain_ownership.release())
        await self.clock.sleep_ms(min(cached_ms, stop.grace_ms // 2))
        await asyncio.gather(
            self.listeners.drain(end_ms), self.tunnels.drain(end_ms)
        )
        await self.listeners.close(CLOSE_LIMIT_MS)
        await self.stop()
        log.info("gateway stopped", after_ms=self.clock.now_ms() - started_ms)

    def _receiving_workers(self) -> list[workers.Worker]:
        return [
            worker
            for worker in self.gateway_state.workers.values()
            if self.selector.may_receive(worker)
        ]

    def _tunnel_target(self, worker_id: str) -> workers.Worker | None:
        """Returns a worker to which other gateways may be connected."""
        worker = self.gateway_state.workers.get(worker_id)
        if (
            worker is None
            or self.paths.is_broken(worker)
            or not self.selector.may_receive(worker)
        ):
            return None
        return worker

    def _leave_duties(self) -> None:
        """Leaves workers to other gateways, which reach them."""
        self.worker_health.forget_own()
        self.worker_client.pool.clear()
        self.peers.send_heartbeats()

    async def _supervise(self, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a background task and restarts it after an exception."""
        while True:
            try:
                await run()
                return
            except Exception as error:
                log.error(
                    "part failed", part=run.__qualname__, error=repr(error)
                )
            await self.clock.sleep_ms(RETRY_DELAY_MS)

    def _heartbeat_contents(self) -> dict[str, Any]:
        """Returns the contents of the next heartbeat.

        Also discards what peers reported that are no longer live.
        """
        live = self.peers.members.load_sources()
        self.loads.retain_peers(live)
        self.demand.retain_peers(live)
        self.shared_reads.election.retain_peers(live)
        self.group_controller.capacity.retain_peers(live)
        known = frozenset(
            (*self.gateway_state.workers, *self.gateway_state.missing_members)
        )
        self.worker_health.retain_peers(live, known)
        self.selector.cold_budget.retain_workers(known)
        self.selector.rests.drop_ended()
        request_report = self.request_quarantine.report()
        return {
            "ready": self.ready(),
            "leaving": self.leaving,
            shared_reads.STORE_ANSWERS: (
                self.shared_reads.election.is_eligible()
            ),
            "in_flight": dict(self.loads.own_counts),
            "demand": self.demand.own_means,
            **self.worker_health.report(),
            "loads_begun": self.group_controller.capacity.recent_loads(),
            "planned": self.group_controller.capacity.planned_groups(),
            "serving": self.demand.has_traffic,
            **summaries.drop_empty(
                {
                    **self.quarantine.report(),
                    "request_crashes": request_report["crashes"],
                    "request_survived": request_report["survived"],
                    "limits": self.worker_limits.report(),
                }
            ),
        }

    def _apply_contents(self, source: str, body: Mapping[str, Any]) -> None:
        """Applies the contents of a peer's heartbeat or a zone's summary."""
        self.shared_reads.election.update_peer(source, body)
        self.loads.update_peer(source, body["in_flight"], body["busy"])
        self.demand.update_peer(source, body["demand"])
        self.worker_health.update_peer(
            source, body["suspects"], body["sound"], body["lost"]
        )
        self.group_controller.capacity.update_peer(
            source, body["loads_begun"], body["planned"]
        )
        self.quarantine.update_peer(body["crashes"], body["survived"])
        self.request_quarantine.update_peer(
            body["request_crashes"], body["request_survived"]
        )
        self.worker_limits.update_peer(body["limits"])
        if body["serving"]:
            self.demand.has_traffic = True

    async def _exchange_addresses(self) -> None:
        """Writes the own address to the store and reads those of peers."""
        body = {"host": self.config.entry.host}
        value = json.dumps(body).encode()
        written = False
        while True:
            try:
                if not written:
                    await self.store.put(
                        interfaces.Topic.GATEWAYS, self.config.entry.id, value
                    )
                page = await self.store.newest(interfaces.Topic.GATEWAYS)
                self._apply_addresses(page.records)
                # A restored store may lack the own record.
                written = any(
                    (record.key, record.value) == (self.config.entry.id, value)
                    for record in page.records
                )
            except interfaces.StoreError as error:
                log.info("addresses not read", error=str(error))
                await self.clock.sleep_ms(RETRY_DELAY_MS)
                continue
            # Gateways that start together write at about the same time, so the
            # topic is read again soon until it names a peer.
            await self.clock.sleep_ms(
                ADDRESS_REFRESH_MS
                if written and len(self.peers.addresses) > 1
                else RETRY_DELAY_MS
            )

    def _apply_addresses(
        self, records: Iterable[interfaces.KeyedRecord]
    ) -> None:
        """Applies all records of the gateways' addresses."""
        registered = {}
        for record in records:
            if record.value is None:
                continue
            try:
                registered[record.key] = fields.host(
                    json.loads(record.value)["host"]
                )
            except fields.PARSE_ERRORS:
                log.warning("address skipped", key=record.key)
        for gateway_id, host in registered.items():
            self.peers.add_address(host, gateway_id)
        self.peers.retain_addresses(registered)
