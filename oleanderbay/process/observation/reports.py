"""Polls member reports and exchanges the resulting states between entries."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.observation import (
    engines,
    group_states,
    inventory,
    members,
    readers,
)
from oleanderbay.version import resources

POLL_INTERVAL_MS = 500
# Shorter than the interval, so that one unresponsive engine does not delay the
# states of the others.
POLL_TIMEOUT_MS = 450
MAX_CONCURRENT_POLLS = 256
RESYNC_TIMEOUT_MS = 1_000

# A reader of up to this many groups sends the states of all of them each time,
# so that a lost message leaves no gap. At the design size an entry reads about
# one group.
FULL_UPDATE_MAX_GROUPS = 32

# A load figure that changed by a smaller fraction is not sent until a larger
# change of the state.
LOAD_CHANGE_THRESHOLD = 0.25

# Key in a message about a suspected failure. Each message is forwarded once.
SUSPECTED_UPSTREAM_KEY = "doubt"

Listener = Callable[[], None]


class ReportService(mode.Service):
    """Polls the engines assigned to this entry and broadcasts their state.

    Attributes:
        members: State of the instances that this entry reads.
        group_states: Group states from all readers, including this entry.
        engine_adapters: Adapters of the instances that this entry reads.
        reader_assignment: Which entries read an upstream.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        peers: interfaces.PeerTransport,
        listing: inventory.Inventory,
        engine_at: engines.EngineFactory,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self.members = members.MemberTracker()
        self.group_states = group_states.GroupStates()
        self.engine_adapters = engines.EngineAdapters(listing, engine_at)
        self.reader_assignment = readers.ReaderAssignment(membership)
        self._catalogue = catalogue
        self._membership = membership
        self._peers = peers
        self._inventory = listing
        self._clock = clock
        self._sequence = 0
        self._sent: dict[str, members.GroupState] = {}
        self._listeners: list[Listener] = []
        self._suspicion_handlers: list[Callable[[str, str], None]] = []
        # Readers for which a full update is being requested.
        self._resyncing: set[str] = set()
        peers.register("reports", self._on_message)

    def on_change(self, listener: Listener) -> None:
        """Registers a callback for new group states."""
        self._listeners.append(listener)

    def on_suspicion(self, handler: Callable[[str, str], None]) -> None:
        """Registers a callback for upstreams that a peer suspects.

        The callback gets the upstream and the reason.
        """
        self._suspicion_handlers.append(handler)

    def broadcast_suspicion(self, upstream: str, reason: str) -> None:
        """Notifies all peers that an upstream is suspected to have failed."""
        self._peers.broadcast(
            "reports",
            {SUSPECTED_UPSTREAM_KEY: upstream, "reason": reason, "hops": 2},
        )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            started_ms = self._clock.now_ms()
            await self.step()
            elapsed_ms = self._clock.now_ms() - started_ms
            await self._clock.sleep_ms(max(0, POLL_INTERVAL_MS - elapsed_ms))

    async def on_stop(self) -> None:
        """Closes the engine adapters."""
        await self.engine_adapters.close()

    def assigned_groups(self) -> list[resources.ServingGroup]:
        """Returns the groups that this entry reads."""
        view = self._catalogue.current
        platform_names = {
            id: name for name, id in inventory.zone_ids(view).items()
        }
        own_id = self._membership.me.start_id
        return [
            group
            for group in view.all("serving_group")
            if isinstance(group, resources.ServingGroup)
            and own_id
            in self.reader_assignment.readers_of(
                group.id, platform_names.get(group.zone, group.zone)
            )
        ]

    def _unassigned_instances(self) -> list[str]:
        """Returns the unassigned instances that this entry reads."""
        view = self._catalogue.current
        own_id = self._membership.me.start_id
        return [
            instance.id
            for instance in self._inventory.engine_instances()
            if view.group_of(instance.id) is None
            and own_id
            in self.reader_assignment.readers_of(instance.id, instance.zone)
        ]

    async def step(self) -> None:
        """Polls all assigned instances once and publishes their state."""
        groups = self.assigned_groups()
        unassigned = self._unassigned_instances()
        instances = [m for group in groups for m in group.members] + unassigned
        self.members.retain(instances)
        await self.engine_adapters.retain(instances)
        limit = asyncio.Semaphore(MAX_CONCURRENT_POLLS)
        await asyncio.gather(*(self._poll(id, limit) for id in instances))
        self.publish(groups, unassigned)

    async def _poll(self, instance: str, limit: asyncio.Semaphore) -> None:
        async with limit:
            engine = self.engine_adapters.get(instance)
            if engine is None:
                return
            try:
                report = await engine.report(POLL_TIMEOUT_MS)
            except native.PlatformError as error:
                self.log.debug("polling %s failed: %s", instance, error)
                return
            if report.instance == instance:
                self.members.record_report(report, self._clock.now_ms())

    def publish(
        self, groups: list[resources.ServingGroup], unassigned: list[str]
    ) -> None:
        """Assesses groups and instances and broadcasts an update."""
        now_ms = self._clock.now_ms()
        states = {g.id: self.members.assess(g, now_ms) for g in groups}
        changed = {
            id: state
            for id, state in states.items()
            if _needs_sending(self._sent.get(id), state)
        }
        for id, state in changed.items():
            old = self._sent.get(id)
            if old is None or old.status is not state.status:
                self.log.info(
                    "group %s at epoch %d is now %s %s",
                    id,
                    state.epoch,
                    state.status.value,
                    state.reason,
                )
        self._sequence += 1
        full = self._sequence == 1 or len(states) <= FULL_UPDATE_MAX_GROUPS
        sent = states if full else changed
        body = {
            "origin": self._membership.me.start_id,
            "sequence": self._sequence,
            "age_ms": 0,
            "full": full,
            "groups": {
                id: group_states.pack_state(state) for id, state in sent.items()
            },
            "gone": [id for id in self._sent if id not in states],
            "idle": self._unassigned_states(unassigned, now_ms),
        }
        self._sent = {id: sent.get(id) or self._sent[id] for id in states}
        self.group_states.apply_update(body, now_ms)
        self.group_states.drop_stale(now_ms)
        self._peers.broadcast("reports", body)
        self._notify_listeners()

    def _unassigned_states(
        self, unassigned: list[str], now_ms: int
    ) -> dict[str, str]:
        states = {}
        for id in unassigned:
            member = self.members.get(id)
            report = member.report
            if report is None or not member.is_fresh(now_ms):
                states[id] = "silent"
            elif report.running or report.queued:
                states[id] = "busy"
            else:
                states[id] = "idle"
        return states

    async def _on_message(self, sender: interfaces.Entry, body: Any) -> Any:
        """Handles updates, suspected failures and requests for full updates."""
        now_ms = self._clock.now_ms()
        if not isinstance(body, Mapping):
            raise interfaces.PeerError("expected a map")
        if "want" in body:
            return self.group_states.full_update(str(body["want"]), now_ms)
        if SUSPECTED_UPSTREAM_KEY in body:
            self._on_suspicion(body)
            return None
        try:
            is_new = self.group_states.apply_update(body, now_ms)
            if is_new is None:
                # Earlier updates are missing. A link handles its messages one
                # at a time, so the response to a request awaited here would
                # never be read.
                origin = str(body["origin"])
                if origin not in self._resyncing:
                    self._resyncing.add(origin)
                    self.add_future(self._resync(sender, origin))
        except group_states.InvalidUpdateError as error:
            self.log.warning("update from %s rejected: %s", sender.id, error)
            raise interfaces.PeerError(str(error)) from error
        if is_new:
            # Not all peers are linked with each other, so new updates are
            # forwarded.
            self._peers.broadcast("reports", dict(body))
            self._notify_listeners()
        return None

    async def _resync(self, sender: interfaces.Entry, origin: str) -> None:
        """Requests and applies the full update of a reader."""
        try:
            full = await self._peers.request(
                sender.start_id, "reports", {"want": origin}, RESYNC_TIMEOUT_MS
            )
            if full is not None and self.group_states.apply_update(
                full, self._clock.now_ms()
            ):
                self._peers.broadcast("reports", dict(full))
                self._notify_listeners()
        except (interfaces.PeerError, group_states.InvalidUpdateError) as error:
            # The next update from this reader triggers another request.
            self.log.info("full update from %s failed: %s", sender.id, error)
        finally:
            self._resyncing.discard(origin)

    def _on_suspicion(self, body: Mapping[str, Any]) -> None:
        upstream, reason = (
            str(body[SUSPECTED_UPSTREAM_KEY]),
            str(body.get("reason", "")),
        )
        hops = body.get("hops")
        for handler in self._suspicion_handlers:
            handler(upstream, reason)
        if isinstance(hops, int) and 1 < hops <= 2:
            forwarded = {
                SUSPECTED_UPSTREAM_KEY: upstream,
                "reason": reason,
                "hops": hops - 1,
            }
            self._peers.broadcast("reports", forwarded)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def _needs_sending(
    old: members.GroupState | None, new: members.GroupState
) -> bool:
    """Whether a state has to be sent, given the one that was sent last."""
    if old is None or (
        (old.epoch, old.status, old.start_id, old.cold, old.unready, old.slow)
        != (
            new.epoch,
            new.status,
            new.start_id,
            new.cold,
            new.unready,
            new.slow,
        )
    ):
        return True
    if new.missing or old.missing:
        return True
    if max(old.age_ms, new.age_ms) > group_states.ASSUMED_REPORT_AGE_MS:
        return True
    for name in (
        "running",
        "queued",
        "time_to_first_token_ms",
        "time_per_token_ms",
    ):
        before, after = getattr(old, name), getattr(new, name)
        if (before == 0) != (after == 0):
            return True
        if abs(after - before) > LOAD_CHANGE_THRESHOLD * max(before, 1):
            return True
    return old.cache_sequence != new.cache_sequence or old.served != new.served
