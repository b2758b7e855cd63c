"""One entry: the tree of its services, its start and its shutdown."""

import asyncio
import random
import socket
import uuid

import aiohttp
import mode
import structlog

from oleanderbay.native import (
    engine_http,
    instances_http,
    log_http,
    weights_http,
)
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, telemetry
from oleanderbay.process import settings as settings_module
from oleanderbay.process.configuration import (
    applied,
    replication,
    submission,
    versions,
)
from oleanderbay.process.groups import service as groups
from oleanderbay.process.operators import (
    admin,
    listener,
    servicer,
    watches,
)
from oleanderbay.process.serving import service as serving
from oleanderbay.request import claim_log, outcome

# Time for the announcement of leaving to reach peers, who name this entry in
# address answers until then.
ANNOUNCE_MS = 1_000
# How often the end of requests in progress is looked for.
SHUTDOWN_STEP_MS = 50
# Last part of a shutdown's limit, in which all new requests are refused: one
# that is accepted later may need more time than is left.
LATE_SHARE = 2 / 3

log = structlog.get_logger()


class Entry(mode.Service):  # type: ignore[misc]
    """Owns all parts of one entry process.

    Attributes:
        me: This entry as others know it.
        replication: Keeps the configuration in force.
        groups: Forms serving groups and says which may serve.
        serving: The request path.
        closing: Whether new requests are refused because it leaves.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.config = config
        self.clock = clock or clocks.SystemClock()
        self.rng = rng or random.Random()
        self.closing = False
        self.telemetry = telemetry.Telemetry(config.telemetry, config.entry.id)
        self.sessions: list[aiohttp.ClientSession] = []
        self.store: weights_http.HttpWeightStore | None = None

    def build(self) -> None:
        """Makes the parts; needs a running event loop."""
        config, clock = self.config, self.clock
        self.callers_config = settings_module.with_port(
            config.callers, _port(config.callers)
        )
        peers_port = _port(config.peers)
        self.me = interfaces.Entry(
            id=config.entry.id,
            start_id=uuid.uuid4().hex,
            zone=config.entry.zone,
            caller_address=config.callers.advertise
            or f"{config.callers.host}:{self.callers_config.port}",
            peer_address=f"{config.peers.host}:{peers_port}",
        )
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.sessions.append(session)
        platform_log = log_http.HttpLog(config.platform.log, session)
        listing = instances_http.HttpInstanceList(
            config.platform.instances, session
        )
        if config.platform.weights:
            self.store = weights_http.HttpWeightStore(
                config.platform.weights.removeprefix("http://").rstrip("/")
            )
        self.replication = replication.Replication(
            self.me,
            platform_log,
            listing,
            clock,
            self.rng,
            replication.Settings(
                listen_address=self.me.peer_address,
                appends_per_s=float(config.platform.appends_per_s),
                retention_ms=config.platform.log_retention_ms,
            ),
        )
        source = self.replication.follower
        self.groups = groups.GroupManager(
            clock,
            catalogue=source,
            membership=self.replication.members,
            transport=self.replication.transport,
            appender=self.replication.appender,
            instance_list=listing,
            weight_store=self.store,
            engine_at=engine_http.HttpEngine,
            confirmation_age_ms=self.replication.lease.confirmation_age_ms,
            interval_ms=config.platform.instances_interval_ms,
        )
        self.serving = serving.RequestService(
            config,
            clock,
            self.rng,
            catalogue=source,
            membership=self.replication.members,
            transport=self.replication.transport,
            eligible=self.groups.eligible,
            claims=claim_log.ClaimLog(
                clock,
                platform_log,
                self.replication.appender,
                self.me.start_id,
            ),
            metrics=self.telemetry,
            intake_refusal=self.arriving,
            sending_refusal=self.sending,
            engine_factory=engine_http.HttpEngine,
        )
        self.serving.listener.config = self.callers_config
        self.operators = listener.Listener(
            servicer.Servicer(
                submission.Submission(
                    source=source,
                    appender=self.replication.appender,
                    verdict_source=applied.AppliedVerdicts(source, clock),
                    versions=versions.Versions(self.replication),
                    clock=clock,
                    author=self.me.start_id,
                ),
                watches.Watches(source, clock),
            ),
            f"{config.operators.host}:{config.operators.port}",
        )
        self.admin = admin.AdminListener(
            config.admin, self.telemetry, self.readiness, self.groups.status
        )

    async def on_start(self) -> None:
        """Starts the parts in the order of their dependencies."""
        self.build()
        await self.add_runtime_dependency(self.admin)
        await self.add_runtime_dependency(self.replication)
        await self.add_runtime_dependency(self.groups)
        await self.add_runtime_dependency(self.serving)
        await self.operators.start()
        log.info(
            "entry started",
            entry=self.me.id,
            start_id=self.me.start_id,
            zone=self.me.zone,
            callers=self.me.caller_address,
            peers=self.me.peer_address,
            operators=f"{self.config.operators.host}:{self.operators.port}",
            admin=f"{self.config.admin.host}:{self.admin.port}",
        )

    async def on_stop(self) -> None:
        """Stops the operators' listener before the parts it uses."""
        await self.operators.close()

    async def on_shutdown(self) -> None:
        """Closes what the parts used."""
        for session in self.sessions:
            await session.close()
        if self.store is not None:
            await self.store.close()
        # Exporters may wait for the network, which must not hold the loop.
        await asyncio.to_thread(self.telemetry.close)

    def readiness(self) -> dict[str, bool]:
        """Returns the conditions of readiness."""
        return {
            "configuration": self.replication.lease.started,
            "fresh": self.replication.lease.state().takes_work,
            "not_leaving": not self.replication.members.me.leaving,
        }

    def arriving(self) -> outcome.Refusal | None:
        """Returns why a new request is refused; None if it isn't."""
        if self.closing:
            return outcome.Refusal(
                reason=outcome.Reason.LEAVING,
                outcome=outcome.Outcome.NOT_RUN,
                message="this entry is leaving; use another address",
                retry_after_ms=100,
            )
        return self.sending()

    def sending(self) -> outcome.Refusal | None:
        """Returns why nothing may be sent to upstreams; None if it may."""
        if self.replication.lease.state().takes_work:
            return None
        return outcome.Refusal(
            reason=outcome.Reason.CUT_OFF,
            outcome=outcome.Outcome.NOT_RUN,
            message="this entry does not know the newest configuration",
            retry_after_ms=1_000,
        )

    async def shut_down(self, again: asyncio.Event | None = None) -> bool:
        """Leaves without interrupting requests, then stops.

        Args:
            again: Set by a second signal.

        Returns:
            Whether every request in progress came to its end.
        """
        config = self.config.shutdown
        begun_ms = self.clock.now_ms()
        early_ms = (1 - LATE_SHARE) * config.limit_ms

        def over() -> bool:
            aborted = again is not None and again.is_set()
            if aborted and config.second_signal == "abort":
                return True
            spent_ms = self.clock.now_ms() - begun_ms
            return bool(config.limit_ms) and spent_ms >= config.limit_ms

        log.info("entry leaves", entry=self.me.id)
        await self.replication.leave()
        until_ms = self.serving.directory.last_expiry_ms
        if len(self.replication.members.live()) > 1:
            until_ms = max(
                until_ms,
                self.clock.now_ms()
                + ANNOUNCE_MS
                + self.config.callers.address_ttl_ms,
            )
        while self.clock.now_ms() < until_ms and not over():
            spent_ms = self.clock.now_ms() - begun_ms
            if config.limit_ms and spent_ms >= early_ms:
                self.closing = True
            await self.clock.sleep_ms(SHUTDOWN_STEP_MS)
        self.closing = True
        await self.serving.listener.drain(over)
        while self.serving.in_progress and not over():
            await self.clock.sleep_ms(SHUTDOWN_STEP_MS)
        cut_off = self.serving.in_progress
        log.info("entry stops", entry=self.me.id, cut_off=cut_off)
        await self.stop()
        return cut_off == 0

    async def close(self) -> None:
        """Stops at once, also after a start that failed."""
        await self.stop()


def _port(listener: settings_module.Listener) -> int:
    """Returns the port to listen on; peers and callers are told of it."""
    if listener.port:
        return listener.port
    with socket.socket() as probe:
        probe.bind((listener.host, 0))
        port: int = probe.getsockname()[1]
        return port
