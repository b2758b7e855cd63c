"""Assembles the request path of an entry: caller listener to upstreams."""

import random
from collections.abc import Callable

import mode

from oleanderbay.connection import upstream as connections
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, telemetry, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.process.observation import engines
from oleanderbay.process.permits import permits
from oleanderbay.process.serving import addresses, cache_feed, callers
from oleanderbay.request import (
    admission,
    claim_log,
    delivery,
    idempotency,
    outcome,
    pipeline,
    prefixes,
    retry,
    routing,
)
from oleanderbay.version import resources


class RequestService(mode.Service):  # type: ignore[misc]
    """Owns the components that carry requests from callers to upstreams.

    Attributes:
        directory: Returns the addresses that callers should use.
        listener: HTTP listener for requests from callers.
        pipeline: Executes requests.
        prefix_index: Prefixes cached by each upstream, updated by
            `cache_feed`.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        transport: interfaces.PeerTransport,
        eligible: interfaces.EligibleUpstreams,
        claims: claim_log.ClaimLog | None,
        metrics: telemetry.Telemetry,
        intake_refusal: Callable[[], outcome.Refusal | None],
        sending_refusal: Callable[[], outcome.Refusal | None],
        engine_factory: engines.EngineFactory,
    ) -> None:
        """Creates the components without starting them.

        Args:
            config: Settings of the entry.
            clock: Source of the time.
            rng: Random numbers for sampling, jitter and tickets.
            catalogue: Source of the configuration in force.
            membership: View of the live entries.
            transport: Sends messages to other entries.
            eligible: Upstreams that may receive requests.
            claims: Log of claims on idempotency keys; None if there is no
                log.
            metrics: Telemetry for metrics and traces.
            intake_refusal: Returns the refusal that new requests receive;
                None if they are accepted.
            sending_refusal: Returns the refusal while nothing may be sent to
                upstreams; None otherwise.
            engine_factory: Creates an engine client from an address.
        """
        super().__init__()
        self.config = config
        self.catalogue = catalogue
        self.membership = membership
        self.deadlines = watch.Watch(clock)
        self.client = connections.UpstreamClient(
            config.upstreams, clock, self.deadlines
        )
        self.permits = permits.Permits(clock, transport, membership, eligible)
        self.prefix_index = prefixes.PrefixIndex(
            random.Random(rng.random()),
            lambda id: self.cache_feed.schedule_resync(id),
        )
        self.cache_feed = cache_feed.CacheFeed(
            self.prefix_index, catalogue, eligible, engine_factory, clock
        )
        self.admission = admission.Admission(
            clock,
            admission.AdmissionSettings(max_queued=config.admission.max_queued),
        )
        self.idempotency = idempotency.Idempotency(
            clock, rng, transport, membership, claims
        )
        self.pipeline = pipeline.Pipeline(
            pipeline.Dependencies(
                catalogue=catalogue,
                admission=self.admission,
                router=routing.Router(
                    eligible,
                    rng,
                    self.prefix_index,
                    self.permits.available_permits,
                ),
                permits=self.permits,
                retry_policy=retry.RetryPolicy(
                    rng,
                    retry.RetrySettings(
                        max_attempts=config.upstreams.max_attempts
                    ),
                ),
                idempotency=self.idempotency,
                eligible=eligible,
                prefix_index=self.prefix_index,
                client=self.client,
                delivery=delivery.Delivery(
                    config.upstreams,
                    config.callers.buffer_bytes,
                    self.deadlines,
                    clock,
                    metrics.instruments,
                ),
                deadlines=self.deadlines,
                telemetry=metrics,
                clock=clock,
                config=config.upstreams,
                max_wait_ms=config.admission.max_wait_ms,
                zone=self.zone_id,
                sending_refusal=sending_refusal,
            )
        )
        self.directory = addresses.AddressDirectory(
            membership,
            config.callers.address_ttl_ms,
            clock,
            lambda: intake_refusal() is None,
            self.idempotency.issue_ticket,
            self.drained_zone_names,
        )
        self.listener = callers.CallerListener(
            config.callers,
            self.pipeline,
            catalogue,
            self.directory,
            self.deadlines,
            clock,
            intake_refusal,
        )

    async def on_start(self) -> None:
        """Starts the components, with the listener last."""
        await self.client.start()
        for component in (
            self.deadlines,
            self.permits,
            self.cache_feed,
            self.admission,
            self.idempotency,
            self.listener,
        ):
            await self.add_runtime_dependency(component)

    async def on_shutdown(self) -> None:
        """Closes upstream connections after all components have stopped."""
        await self.client.close()

    @property
    def in_progress(self) -> int:
        """Number of unfinished requests.

        Includes requests with an idempotency key that still run although
        their caller has disconnected.
        """
        return self.listener.in_progress + len(self.pipeline.keyed.running)

    def drained_zone_names(self) -> frozenset[str]:
        """Returns the platform names of drained zones.

        A zone without a platform name is listed under its own name.
        """
        current = self.catalogue.current
        drained = current.drained_zones()
        if not drained:
            return frozenset()
        return frozenset(
            zone.platform_zone or zone.name
            for zone in current.all("zone")
            if isinstance(zone, resources.Zone) and zone.id in drained
        )

    def zone_id(self) -> str:
        """Returns the id of this entry's zone."""
        name = self.membership.me.zone
        for zone in self.catalogue.current.all("zone"):
            if isinstance(zone, resources.Zone) and zone.platform_zone == name:
                return zone.id
        return name
