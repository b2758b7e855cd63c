"""Heartbeats to peers, and the links that carry them."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import mode
import structlog

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.membership import membership, neighbours, peers

PERIOD_MS = 500
# A heartbeat follows an applied record at once, but not more often than this,
# so that a burst of 200 changes a second costs few heartbeats.
EARLIEST_MS = 50
# Entries without the log that one entry tells of a new record at once. Those
# tell others, so all know soon, at a cost that does not grow with the square of
# their number.
EARLY_PEERS = 6
# Heartbeats whose acknowledgement still says something about the present.
MAX_SENT = 64

Status = Callable[[], membership.Heartbeat]
StateCallback = Callable[[membership.PeerState], None]


class Heartbeats(mode.Service):
    """Feeds a `Membership` and keeps the links to its entries.

    Attributes:
        members: What is known of other entries.
    """

    def __init__(
        self,
        members: membership.Membership,
        transport: interfaces.PeerTransport,
        clock: clocks.Clock,
        rng: random.Random,
        status: Status,
        *,
        links: peers.Peers | None = None,
        full_mesh: int = neighbours.FULL_MESH_ENTRIES,
    ) -> None:
        super().__init__()
        self.members = members
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._status = status
        self._links = links
        self._full_mesh = full_mesh
        self._sequence = 0
        self._sent: dict[int, int] = {}
        self._seen: dict[str, int] = {}
        # Offset in the last heartbeat to each peer.
        self._said: dict[str, int] = {}
        self._linked: dict[str, interfaces.Entry] = {}
        self._callbacks: list[StateCallback] = []
        self._early_wanted = asyncio.Event()
        self._log = structlog.get_logger("heartbeats")
        transport.register("heartbeat", self._receive)
        if links is not None:
            links.on_link(self.note_link)

    def on_heartbeat(self, callback: StateCallback) -> None:
        """Calls back with the new state of a peer after each heartbeat."""
        self._callbacks.append(callback)

    def note_link(self, entry: interfaces.Entry, up: bool) -> None:
        """Takes over that a link is up or down."""
        if up:
            self._linked[entry.start_id] = entry
            self.members.note_linked(entry)
            self.update_targets()
            self.beat((entry.start_id,))
        else:
            self._linked.pop(entry.start_id, None)
            self._seen.pop(entry.start_id, None)
            self._said.pop(entry.start_id, None)
            self.members.check()

    def beat_all(self) -> None:
        """Sends a heartbeat to all linked peers now."""
        self.beat(tuple(self._linked))

    def beat(self, start_ids: tuple[str, ...]) -> None:
        """Sends a heartbeat to some linked peers now."""
        self._sequence += 1
        self._sent[self._sequence] = self._clock.now_ms()
        if len(self._sent) > MAX_SENT:
            del self._sent[next(iter(self._sent))]
        said = self._status()
        for start_id in start_ids:
            self._said[start_id] = said.offset
            self._transport.send(
                start_id,
                "heartbeat",
                encode(self._sequence, self._seen.get(start_id, 0), said),
            )

    def beat_soon(self) -> None:
        """Sends a heartbeat before its time, within the lowest period."""
        self._early_wanted.set()

    def leave(self) -> None:
        """Announces to peers that this entry leaves."""
        self.members.start_leaving()
        if self._links is not None:
            self._links.me = self.members.me
        self.beat_all()

    def update_targets(self) -> None:
        """Keeps links with the neighbours among the known entries."""
        if self._links is None:
            return
        chosen = neighbours.choose(
            self.members.me.id, self.members.known_zones(), self._full_mesh
        )
        self._links.set_targets(
            (id, address)
            for id, address in self.members.known_addresses().items()
            if id in chosen
        )

    def early_peers(self) -> tuple[str, ...]:
        """Returns the peers that are told of a new offset at once.

        An entry that appends waits for a majority to apply its records: it
        tells all, and all tell it.
        """
        said = self._status()
        if said.appends_per_s:
            return tuple(self._linked)
        authors, behind = [], []
        for start_id in self._linked:
            state = self.members.state_of(start_id)
            if state is None or self._said.get(start_id) == said.offset:
                continue
            if state.heartbeat.appends_per_s:
                authors.append(start_id)
            elif (
                not state.heartbeat.reads_log
                and state.heartbeat.offset < said.offset
            ):
                behind.append(start_id)
        count = min(EARLY_PEERS, len(behind))
        return tuple(authors + self._rng.sample(behind, count))

    @mode.Service.task
    async def _beat_regularly(self) -> None:
        while not self.should_stop:
            self.beat_all()
            self.members.check()
            await self._clock.sleep_ms(PERIOD_MS * self._rng.uniform(0.9, 1.0))

    @mode.Service.task
    async def _beat_early(self) -> None:
        while not self.should_stop:
            await self._early_wanted.wait()
            self._early_wanted.clear()
            self.beat(self.early_peers())
            await self._clock.sleep_ms(EARLIEST_MS)

    async def _receive(self, entry: interfaces.Entry, body: Any) -> None:
        sequence, echo, heartbeat = decode(body)
        first = entry.start_id not in self._seen
        self._linked.setdefault(entry.start_id, entry)
        self._seen[entry.start_id] = sequence
        sent_ms = self._sent.get(echo)
        if sent_ms is None:
            # It acknowledges nothing recent, so its age is not bounded.
            if first:
                self.beat((entry.start_id,))
            return
        state = self.members.note_heartbeat(entry, heartbeat, sent_ms)
        for callback in self._callbacks:
            callback(state)
        if first or (
            heartbeat.appends_per_s
            and self._said.get(entry.start_id) != self._status().offset
        ):
            self.beat((entry.start_id,))


def encode(
    sequence: int, echo: int, heartbeat: membership.Heartbeat
) -> list[Any]:
    """Returns a heartbeat as a message body.

    Digests travel as bytes: heartbeats are most of the idle traffic.
    """
    age_ms = heartbeat.confirmation_age_ms
    return [
        sequence,
        echo,
        heartbeat.offset,
        bytes.fromhex(heartbeat.digest),
        -1 if age_ms is None else age_ms,
        bytes.fromhex(heartbeat.view_digest),
        heartbeat.leaving,
        heartbeat.appends_per_s,
        heartbeat.reads_log,
    ]


def decode(body: Any) -> tuple[int, int, membership.Heartbeat]:
    """Returns sequence, acknowledged sequence and heartbeat of a body.

    Raises:
        PeerError: It is no heartbeat.
    """
    types = (int, int, int, bytes, int, bytes, bool, int, bool)
    # A newer peer may add fields.
    if not isinstance(body, list) or len(body) < len(types):
        raise interfaces.PeerError("a heartbeat must be a list of nine")
    for value, expected in zip(body, types, strict=False):
        if type(value) is not expected:
            raise interfaces.PeerError("a heartbeat has a wrong field")
    sequence, echo, offset, digest, age_ms, view = body[:6]
    leaving, rate, reads_log = body[6:9]
    if min(sequence, echo, offset, rate) < 0:
        raise interfaces.PeerError("a heartbeat has a negative field")
    return (
        sequence,
        echo,
        membership.Heartbeat(
            offset=offset,
            digest=digest.hex(),
            confirmation_age_ms=None if age_ms < 0 else age_ms,
            view_digest=view.hex(),
            leaving=leaving,
            appends_per_s=rate,
            reads_log=reads_log,
        ),
    )
