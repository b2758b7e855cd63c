"""The request path of one entry: from the callers' listener to upstreams."""

import random
from collections.abc import Callable

import mode

from oleanderbay.connection import upstream as connections
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, telemetry, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.process.observation import engines
from oleanderbay.process.permits import permits
from oleanderbay.process.serving import addresses, cachefeed, callers
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


class Serving(mode.Service):  # type: ignore[misc]
    """Owns everything between callers and upstreams.

    Attributes:
        directory: Answers which addresses to use.
        listener: The listener for callers.
        requests: Runs requests.
        index: Prefix index, fed with cache events by its owner.
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
        arriving: Callable[[], outcome.Refusal | None],
        sending: Callable[[], outcome.Refusal | None],
        engine_at: engines.EngineFactory,
    ) -> None:
        """Makes the request path.

        Args:
            config: Settings of the entry.
            clock: Time.
            rng: Source of samples, jitter and tickets.
            catalogue: The configuration in force.
            membership: Entries that there are.
            transport: Messages to other entries.
            eligible: Upstreams that may get work.
            claims: Claims of keys in the log; None if there is no log.
            metrics: Metrics and traces.
            arriving: Why a new request is refused; None if it isn't.
            sending: Why nothing may be sent to an upstream; None if it may.
            engine_at: Makes the control side of an engine from its address.
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
        self.index = prefixes.PrefixIndex(
            random.Random(rng.random()), lambda id: self.cache_feed.resync(id)
        )
        self.cache_feed = cachefeed.CacheFeed(
            self.index, catalogue, eligible, engine_at, clock
        )
        self.admission = admission.Admission(
            clock,
            admission.AdmissionSettings(max_queued=config.admission.max_queued),
        )
        self.idempotency = idempotency.Idempotency(
            clock, rng, transport, membership, claims
        )
        self.requests = pipeline.Pipeline(
            pipeline.Dependencies(
                catalogue=catalogue,
                admission=self.admission,
                router=routing.Router(
                    eligible, rng, self.index, self.permits.available_permits
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
                prefix_index=self.index,
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
                zone=self.zone,
                sending_refusal=sending,
            )
        )
        self.directory = addresses.Directory(
            membership,
            config.callers.address_ttl_ms,
            clock,
            lambda: arriving() is None,
            self.idempotency.issue_ticket,
            self.drained_names,
        )
        self.listener = callers.CallerListener(
            config.callers,
            self.requests,
            catalogue,
            self.directory,
            self.deadlines,
            clock,
            arriving,
        )

    async def on_start(self) -> None:
        """Starts the parts; the listener last."""
        await self.client.start()
        for part in (
            self.deadlines,
            self.permits,
            self.cache_feed,
            self.admission,
            self.idempotency,
            self.listener,
        ):
            await self.add_runtime_dependency(part)

    async def on_shutdown(self) -> None:
        """Closes the connections to upstreams after all parts have stopped."""
        await self.client.close()

    @property
    def in_progress(self) -> int:
        """Requests that have not ended, with or without their callers."""
        return self.listener.in_progress + len(self.requests.keyed.running)

    def drained_names(self) -> frozenset[str]:
        """Returns the platform's names of zones that take no new work."""
        current = self.catalogue.current
        drained = current.drained_zones()
        if not drained:
            return frozenset()
        return frozenset(
            zone.platform_zone or zone.name
            for zone in current.all("zone")
            if isinstance(zone, resources.Zone) and zone.id in drained
        )

    def zone(self) -> str:
        """Returns the id of this entry's zone."""
        name = self.membership.me.zone
        for zone in self.catalogue.current.all("zone"):
            if isinstance(zone, resources.Zone) and zone.platform_zone == name:
                return zone.id
        return name
