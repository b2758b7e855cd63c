"""The parts that keep entries at the same configuration, as one service."""

import dataclasses
import random

import mode
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import (
    appender,
    bootstrap,
    budget,
    checkpoints,
    follower,
    freshness,
    relay,
)
from oleanderbay.process.membership import (
    heartbeats,
    listing,
    membership,
    peers,
)
from oleanderbay.version import records

FIRST_RETRY_MS = 100
LAST_RETRY_MS = 2_000
# Majorities are counted over direct heartbeats, so bounded links would leave
# outage mode, acceptance and permits without one. Heartbeats of 65 bytes twice
# a second to 39 peers stay below the 6 KB/s of the control plane.
FULL_MESH_ENTRIES = 40


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """What operators may set.

    Attributes:
        listen_address: `host:port` to listen on for peers; port 0 takes any
            free port; empty listens on none.
        retention_ms: Time for which the log keeps records.
        appends_per_s: Appends that the log takes from all entries together.
        full_mesh_entries: Number of entries up to which all have links to
            all.
        freshness_limits: Times of the freshness lease.
        follower_limits: Bounds of reading the log.
    """

    listen_address: str = ""
    retention_ms: int = 24 * 3_600_000
    appends_per_s: float = 300.0
    full_mesh_entries: int = FULL_MESH_ENTRIES
    freshness_limits: freshness.Limits = dataclasses.field(
        default_factory=freshness.Limits
    )
    follower_limits: follower.Limits = dataclasses.field(
        default_factory=follower.Limits
    )


class Replication(mode.Service):
    """Peers, membership, follower, lease, appender and checkpoints.

    Attributes:
        transport: Messages to peers.
        members: Which entries exist.
        lease: Whether this entry may accept new work.
        follower: The configuration in force.
        appender: Appends within the budget.
    """

    def __init__(
        self,
        me: interfaces.Entry,
        log: native.LogService,
        instance_list: native.InstanceList | None,
        clock: clocks.Clock,
        rng: random.Random,
        settings: Settings | None = None,
        *,
        transport: interfaces.PeerTransport | None = None,
    ) -> None:
        """Wires the parts.

        Args:
            me: This entry.
            log: The log service.
            instance_list: The instance list.
            clock: Source of time.
            rng: Source of jitter.
            settings: What operators may set.
            transport: Messages to peers in tests; links over TCP by default.
        """
        super().__init__()
        settings = settings or Settings()
        self.settings = settings
        self._clock = clock
        self._rng = rng
        self._log = structlog.get_logger("replication")
        self._others_append = False
        self.links: peers.Peers | None = None
        if transport is None:
            self.links = peers.Peers(
                me, clock, rng, listen_address=settings.listen_address
            )
            transport = self.links
        self.transport = transport
        self.members = membership.Membership(me, clock)
        self.lease = freshness.FreshnessLease(
            self.members, clock, settings.freshness_limits
        )
        self.loader = bootstrap.Bootstrap(log, transport, self.members)
        self.follower = follower.Follower(
            log,
            self.lease,
            self.members,
            clock,
            rng,
            recover=self.loader.recover,
            limits=settings.follower_limits,
        )
        self.budget = budget.AppendBudget(clock, settings.appends_per_s)
        self.appender = appender.Appender(log, self.budget, clock, rng)
        self.heartbeats = heartbeats.Heartbeats(
            self.members,
            transport,
            clock,
            rng,
            self.status,
            links=self.links,
            full_mesh=settings.full_mesh_entries,
        )
        self.listing: listing.Listing | None = None
        if instance_list is not None:
            self.listing = listing.Listing(
                self.members,
                instance_list,
                clock,
                rng,
                self.heartbeats.update_targets,
            )
        self.relay = relay.Relay(
            self.follower, transport, self.members, self.loader, clock, rng
        )
        self.checkpoints = checkpoints.CheckpointWriter(
            self.follower,
            self.appender,
            self.lease,
            self.members,
            clock,
            rng,
            retention_ms=settings.retention_ms,
        )
        self.heartbeats.on_heartbeat(self._note_peer)
        self.follower.on_change(self._note_change)

    def status(self) -> membership.Heartbeat:
        """Returns what the next heartbeat says."""
        current = self.follower.current
        return membership.Heartbeat(
            offset=current.offset,
            digest=current.digest,
            confirmation_age_ms=self.lease.confirmation_age_ms(),
            view_digest=self.members.view_digest(),
            leaving=self.members.me.leaving,
            appends_per_s=self.appender.appends_per_s(),
            reads_log=self.follower.reachable,
        )

    async def on_first_start(self) -> None:
        """Adds the services that start and stop with this one."""
        if self.links is not None:
            await self.add_runtime_dependency(self.links)
            self.settings = dataclasses.replace(
                self.settings, listen_address=self.links.listen_address
            )
        await self.add_runtime_dependency(self.heartbeats)
        if self.listing is not None:
            await self.add_runtime_dependency(self.listing)
        await self.add_runtime_dependency(self.relay)

    async def on_stop(self) -> None:
        """Cancels the appends in progress."""
        await self.appender.close()

    async def leave(self) -> None:
        """Announces that this entry leaves; it goes on following the log."""
        self.heartbeats.leave()
        if self.listing is not None:
            await self.listing.announce()

    @mode.Service.task
    async def _bootstrap(self) -> None:
        # Until there is a state, the lease refuses new work.
        backoff_ms = FIRST_RETRY_MS
        while not self.should_stop:
            try:
                self.follower.install(await self.loader.load())
                break
            except bootstrap.NoStateError as error:
                self._log.warning("cannot serve yet", reason=str(error))
            await self._clock.sleep_ms(backoff_ms * self._rng.uniform(0.5, 1.5))
            backoff_ms = min(2 * backoff_ms, LAST_RETRY_MS)
        if self.should_stop:
            return
        await self.add_runtime_dependency(self.follower)
        await self.add_runtime_dependency(self.checkpoints)

    def _note_peer(self, state: membership.PeerState) -> None:
        self.lease.note_peer(state)
        self.follower.note_peer(state)
        self.relay.note_peer(state)
        if state.heartbeat.appends_per_s or self._others_append:
            others = sum(
                s.heartbeat.appends_per_s for s in self.members.heard()
            )
            self._others_append = others > 0
            self.budget.set_others(self.members.known_count(), others)

    def _note_change(self, view: interfaces.CatalogueView) -> None:
        self.appender.note_end(records.STREAM, view.offset + 1)
        self.heartbeats.beat_soon()
