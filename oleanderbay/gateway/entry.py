"""One gateway: its parts, its start and its graceful stop."""

import asyncio
import functools
import json
import random
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import mode
import structlog

from oleanderbay.gateway import (
    attempt,
    budget,
    connection_pool,
    controller,
    demand,
    domain_ownership,
    feed,
    health,
    interfaces,
    listener,
    peers,
    pipeline,
    queueing,
    reading,
    request_load,
    selection,
    state,
    worker_client,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

STOP_STEP_MS = 50
# Time before the end of the grace period at which the process ends.
STOP_MARGIN_MS = 600
RETRY_MS = 500
# The addresses of gateways are read again this often, for those that were
# added while heartbeats did not reach them.
ADDRESSES_EVERY_MS = 10_000

log = structlog.get_logger()


class Gateway(mode.Service):  # type: ignore[misc]
    """Owns all parts of one gateway process.

    Attributes:
        leaving: Whether a planned stop has begun.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        store: interfaces.Store,
        orders: interfaces.Orders,
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
        self.known = state.State(decoder, self.clock)
        self.evidence = health.HealthTracker(self.clock)
        self.loads = request_load.RequestLoad()
        self.feeds = {
            "configuration": feed.Feed(
                store,
                interfaces.Topic.CONFIGURATION,
                self.clock,
                self.known.apply_configuration,
                config.store.wait_ms,
                0,
            ),
            "workers": feed.Feed(
                store,
                interfaces.Topic.WORKERS,
                self.clock,
                self.known.apply_worker,
                0,
                config.store.worker_interval_ms,
            ),
        }
        self.peers = peers.Peers(
            config,
            self.start_id,
            self.clock,
            self.feeds,
            self._contents,
            self._heard,
            self.telemetry,
        )
        self.telemetry.register_gauges(self.known, self.feeds, self.peers.live)
        self.reading = self._reading()
        self.peers.handlers[reading.SUBSCRIBE] = self.reading.publisher.serve
        self.retries = budget.RetryBudget(
            self.clock,
            config.limits.retry_ratio,
            config.limits.retry_extra,
            config.limits.retry_window_ms,
            self.peers.known,
        )
        self.choices = selection.WorkerSelector(
            self.known,
            self.evidence,
            self.loads,
            budget.ColdStartBudget(
                self.clock, self.peers.known, self.peers.rank
            ),
            self.rng,
            config.entry.zone,
        )
        self.waiting = queueing.RequestQueues(self.choices, self.clock)
        self.sender = worker_client.WorkerClient(
            config.workers,
            self.clock,
            connection_pool.ConnectionPool(
                config.workers,
                self.clock,
                self.peers.known,
                self.choices.accepting_worker,
            ),
            self.telemetry,
        )
        self.duties = domain_ownership.DomainOwnership(
            store,
            self.clock,
            f"{config.entry.id}/{self.start_id}",
            config.store.ownership_ttl_ms,
            config.store.join_interval_ms,
        )
        self.demand = demand.Demand(self.clock)
        self.keeper = controller.GroupController(
            self.known,
            self.feeds["workers"].steady_ms,
            self.evidence,
            self.duties,
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
            self.known,
            self._pipeline(translator),
            translator,
            self.clock,
            self.ready,
            self.addresses,
            self.status,
            self.telemetry,
        )

    def _pipeline(self, translator: interfaces.Translator) -> pipeline.Pipeline:
        attempts = attempt.AttemptRunner(
            attempt.Dependencies(
                selector=self.choices,
                worker_health=self.evidence,
                retry_budget=self.retries,
                client=self.sender,
                translator=translator,
                clock=self.clock,
                max_answer_bytes=self.config.workers.max_answer_bytes,
                max_event_bytes=self.config.workers.max_event_bytes,
                telemetry=self.telemetry,
            )
        )
        return pipeline.Pipeline(
            pipeline.Dependencies(
                gateway_state=self.known,
                queues=self.waiting,
                selector=self.choices,
                loads=self.loads,
                worker_health=self.evidence,
                retry_budget=self.retries,
                demand=self.demand,
                attempt_runner=attempts,
                clock=self.clock,
                rng=self.rng,
                telemetry=self.telemetry,
            )
        )

    def _reading(self) -> reading.Reading:
        entry, silence_ms = (
            self.config.entry,
            self.config.store.reader_silence_ms,
        )
        return reading.Reading(
            self.feeds["workers"],
            reading.Candidates(
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
        """Opens the listeners and starts one task for each peer and feed."""
        await self.sender.start()
        await self.peers.start()
        await self.listeners.start()
        for run in (
            *(followed.run for followed in self.feeds.values()),
            self.peers.run,
            self.reading.run,
            self.duties.run,
            self.keeper.run,
            self._announce,
        ):
            self.add_future(self._supervise(run))
        log.info(
            "gateway started",
            id=self.config.entry.id,
            start_id=self.start_id,
            callers=self.config.listeners.callers,
        )

    async def on_shutdown(self) -> None:
        """Closes what the parts used."""
        self.reading.close()
        await self.peers.close()
        await self.sender.close()
        await self.telemetry.close()

    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.known.table is not None and not self.leaving

    def addresses(self) -> list[str]:
        """Returns the callers' addresses of the gateways that are ready."""
        found = self.peers.members.callers()
        if self.ready():
            found.append(self.config.listeners.callers)
        return found

    def status(self) -> dict[str, Any]:
        """Returns what operators see of this gateway."""
        current = self.known.table
        return {
            "id": self.config.entry.id,
            "ready": self.ready(),
            "version": current.version if current else None,
            "store_age_ms": {n: f.age_ms() for n, f in self.feeds.items()},
            "peers": sorted(self.peers.members.ids()),
            "reader": (
                self.reading.source.peer.id
                if self.reading.source and self.reading.follows()
                else self.config.entry.id
            ),
            "evacuated": sorted(self.known.evacuated_zones),
            "workers": len(self.known.workers),
            "skipped_records": self.known.skipped_records,
            "generation": self.duties.generation,
            "partitions": sorted(self.duties.partitions),
            "lost": sorted(self.evidence.lost),
            "suspects": sorted(self.evidence.suspected_workers()),
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
                for group in self.known.groups().values()
            ],
        }

    async def stop_gracefully(self) -> None:
        """Leaves the directory, finishes what was read and stops."""
        stop = self.config.stop
        began_ms = self.clock.now_ms()
        end_ms = began_ms + stop.grace_ms - STOP_MARGIN_MS
        self.leaving = True
        self.listeners.leaving = True
        log.info("leaving", in_progress=self.listeners.in_progress)
        self.peers.send_heartbeats()
        await self.duties.release()
        kept_ms = stop.directory_ttl_ms * stop.kept_factor
        await self.clock.sleep_ms(
            min(kept_ms, stop.grace_ms // 2) - (self.clock.now_ms() - began_ms)
        )
        self.listeners.stop_accepting()
        while self.listeners.in_progress and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(STOP_STEP_MS)
        await self.listeners.close(STOP_STEP_MS)
        await self.stop()

    async def _supervise(self, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a part again after a fault, which would stop it for good."""
        while True:
            try:
                await run()
                return
            except Exception as error:
                log.error(
                    "part failed", part=run.__qualname__, error=repr(error)
                )
            await self.clock.sleep_ms(RETRY_MS)

    def _contents(self) -> dict[str, Any]:
        """Returns what the next heartbeat says of this gateway."""
        live = self.peers.members.sources()
        self.loads.retain_peers(live)
        self.demand.retain_peers(live)
        self.reading.candidates.retain_peers(live)
        self.keeper.capacity.retain_peers(live)
        self.evidence.retain_peers(
            live, frozenset((*self.known.workers, *self.known.missing_members))
        )
        return {
            "ready": self.ready(),
            "leaving": self.leaving,
            reading.STORE_ANSWERS: self.reading.candidates.fit(),
            "in_flight": dict(self.loads.own_counts),
            "demand": self.demand.own_means,
            "suspects": self.evidence.suspected_workers(),
            "sound": self.evidence.healthy_heads(),
            "lost": self.evidence.lost,
            "loads_begun": self.keeper.capacity.recent_loads(),
            "planned": self.keeper.capacity.planned_groups(),
            "serving": self.demand.has_traffic,
        }

    def _heard(self, source: str, body: Mapping[str, Any]) -> None:
        """Takes what a peer or the relay of another zone says."""
        self.reading.candidates.update_peer(source, body)
        self.loads.update_peer(
            source, dict(body["in_flight"]), int(body.get("busy", 1))
        )
        self.demand.update_peer(source, dict(body["demand"]))
        self.evidence.update_peer(
            source, body["suspects"], body["sound"], dict(body["lost"])
        )
        self.keeper.capacity.update_peer(
            source, int(body["loads_begun"]), dict(body["planned"])
        )
        if body["serving"]:
            self.demand.has_traffic = True

    async def _announce(self) -> None:
        """Writes the own address to the store and reads those of others."""
        body = {"host": self.config.entry.host}
        written = False
        while True:
            try:
                if not written:
                    await self.store.put(
                        interfaces.Topic.GATEWAYS,
                        self.config.entry.id,
                        json.dumps(body).encode(),
                    )
                    written = True
                page = await self.store.newest(interfaces.Topic.GATEWAYS)
                for record in page.records:
                    self._learn(record)
            except interfaces.StoreError as error:
                log.info("addresses not read", error=str(error))
                await self.clock.sleep_ms(RETRY_MS)
                continue
            # All gateways of a start write at about the same time.
            await self.clock.sleep_ms(
                ADDRESSES_EVERY_MS
                if len(self.peers.addresses) > 1
                else RETRY_MS
            )

    def _learn(self, record: interfaces.KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            host = str(json.loads(record.value)["host"])
        except (ValueError, KeyError, TypeError):
            log.warning("address skipped", key=record.key)
            return
        self.peers.add_address(host, record.key)
