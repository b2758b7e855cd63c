"""Which entries exist and are heard from."""

import dataclasses
import hashlib
from collections.abc import Callable, Iterable

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces

DEAD_AFTER_MS = 2_000
# The instance list may lag by a minute; what it has not shown for twice that
# and is not heard from either is gone.
UNLISTED_MS = 120_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """What an entry says of itself.

    Attributes:
        offset: Offset of the last applied record.
        digest: Digest of the catalogue at that offset.
        confirmation_age_ms: How long ago it knew to have applied the whole
            log; None if it never did since it started.
        view_digest: Digest of its view.
        leaving: Whether it leaves.
        appends_per_s: Appends to the log that it makes.
        reads_log: Whether it reads the log itself; otherwise it has to be told
            of new records.
    """

    offset: int
    digest: str
    confirmation_age_ms: int | None
    view_digest: str
    leaving: bool = False
    appends_per_s: int = 0
    reads_log: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerState:
    """The newest heartbeat of a peer.

    Attributes:
        entry: The peer.
        heartbeat: What it said.
        heard_ms: Local time at which it cannot yet have said so: when this
            entry sent the message that the heartbeat acknowledges. Messages
            that were held up by the network or by a pause of this process
            count from then, not from when they were read.
    """

    entry: interfaces.Entry
    heartbeat: Heartbeat
    heard_ms: int

    @property
    def confirmed_ms(self) -> int | None:
        """Local time at which it had surely applied the whole log."""
        age_ms = self.heartbeat.confirmation_age_ms
        return None if age_ms is None else self.heard_ms - age_ms


@dataclasses.dataclass(slots=True)
class Known:
    """An entry that majorities are counted against.

    Attributes:
        peer_address: `host:port` for peers.
        zone: Zone name.
        listed: Whether the instance list has shown it.
        since_ms: When it became known.
    """

    peer_address: str
    zone: str
    listed: bool
    since_ms: int


class Membership:
    """Implements `MembershipView`; its owner feeds it what it hears.

    The known set grows by the instance list and by handshakes and shrinks only
    by the list and by leave announcements, so that a majority of it stays a
    majority while entries are merely silent.

    Attributes:
        list_read: Whether the instance list was read at least once.
    """

    def __init__(self, me: interfaces.Entry, clock: clocks.Clock) -> None:
        self._me = me
        self._clock = clock
        self._known: dict[str, Known] = {
            me.id: Known(me.peer_address, me.zone, False, clock.now_ms())
        }
        self._peers: dict[str, PeerState] = {}
        # Start id of the run that left, for each entry id.
        self._left: dict[str, str] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._last_view = ""
        self.list_read = False

    @property
    def me(self) -> interfaces.Entry:
        """This entry."""
        return self._me

    def start_leaving(self) -> None:
        """Marks this entry as leaving."""
        self._me = dataclasses.replace(self._me, leaving=True)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back when the view has changed."""
        self._callbacks.append(callback)

    def live(self) -> tuple[interfaces.Entry, ...]:
        """Entries that are heard from, this one included, by start id."""
        entries = [self._me]
        entries += [state.entry for state in self.heard()]
        return tuple(sorted(entries, key=lambda entry: entry.start_id))

    def heard(self) -> list[PeerState]:
        """Returns the states of peers that are heard from."""
        oldest_ms = self._clock.now_ms() - DEAD_AFTER_MS
        return [
            state
            for state in self._peers.values()
            if state.heard_ms >= oldest_ms
        ]

    def state_of(self, start_id: str) -> PeerState | None:
        """Returns the newest state of a peer, heard from or not."""
        return self._peers.get(start_id)

    def known_count(self) -> int:
        """Size of the known set that majorities are counted against."""
        return len(self._known)

    def known_zones(self) -> dict[str, str]:
        """Zone of each known entry id."""
        return {id: known.zone for id, known in self._known.items()}

    def known_addresses(self) -> dict[str, str]:
        """Peer address of each known entry id but this one's."""
        return {
            id: known.peer_address
            for id, known in self._known.items()
            if id != self._me.id and known.peer_address
        }

    def vouching(self) -> list[PeerState]:
        """Returns the peers that count towards a majority in an outage.

        A peer counts only if it has confirmed its state against the log since
        it started: one that took its state from others during an outage may
        lack what its earlier run had applied.
        """
        return [
            state
            for state in self.heard()
            if state.entry.id in self._known
            and state.heartbeat.confirmation_age_ms is not None
        ]

    def counts(self, entry: interfaces.Entry) -> bool:
        """Whether an entry is one that majorities are counted over."""
        return entry.id in self._known and not entry.leaving

    def applied_count(self, offset: int) -> int:
        """Known entries, this one not included, that applied an offset."""
        return sum(
            1
            for state in self._peers.values()
            if self.counts(state.entry) and state.heartbeat.offset >= offset
        )

    def view_digest(self) -> str:
        """Digest of the start ids of `live()`."""
        oldest_ms = self._clock.now_ms() - DEAD_AFTER_MS
        ids = [i for i, s in self._peers.items() if s.heard_ms >= oldest_ms]
        view = "\0".join(sorted((*ids, self._me.start_id)))
        return hashlib.blake2b(view.encode(), digest_size=8).hexdigest()

    def view_confirmations(self, max_age_ms: int) -> int:
        """Entries (this one included) that confirmed this view recently."""
        digest = self.view_digest()
        oldest_ms = self._clock.now_ms() - max_age_ms
        return 1 + sum(
            1
            for state in self.heard()
            if state.heartbeat.view_digest == digest
            and state.heard_ms >= oldest_ms
            and state.entry.id in self._known
        )

    def note_list(self, lines: Iterable[native.Instance]) -> None:
        """Takes over the entries of the instance list."""
        listed = {line.id: line for line in lines if line.role == "entry"}
        self.list_read = True
        for id, line in listed.items():
            if line.state is not native.InstanceState.LIVE:
                self._forget(id)
                self._left.pop(id, None)
            elif id not in self._left:
                self._know(id, line.peer_address, line.zone, True)
        for id in list(self._left):
            if id not in listed:
                # A later line of this id is a new run.
                del self._left[id]
        oldest_ms = self._clock.now_ms() - UNLISTED_MS
        live = {entry.id for entry in self.live()}
        for id, known in list(self._known.items()):
            # One that the list has not shown yet may be too new for it.
            gone = known.listed or (
                known.since_ms < oldest_ms and id not in live
            )
            if gone and id not in listed:
                self._forget(id)
        self.check()

    def note_linked(self, entry: interfaces.Entry) -> None:
        """Takes over an entry from its handshake."""
        if entry.leaving or self._left.get(entry.id) == entry.start_id:
            return
        self._left.pop(entry.id, None)
        self._know(entry.id, entry.peer_address, entry.zone, False)
        self._drop_older_runs(entry)
        self.check()

    def note_heartbeat(
        self,
        entry: interfaces.Entry,
        heartbeat: Heartbeat,
        heard_ms: int,
    ) -> PeerState:
        """Takes over what a peer says of itself and returns its new state."""
        entry = dataclasses.replace(entry, leaving=heartbeat.leaving)
        old = self._peers.get(entry.start_id)
        if old is not None and old.heard_ms > heard_ms:
            # It came late over a link that was replaced in the meantime.
            return old
        state = PeerState(entry=entry, heartbeat=heartbeat, heard_ms=heard_ms)
        self._peers[entry.start_id] = state
        if (
            old is not None
            and old.entry == entry
            and old.heard_ms >= self._clock.now_ms() - DEAD_AFTER_MS
            and entry.id in self._known
        ):
            # The usual case: this peer was in the view and stays in it.
            return state
        if heartbeat.leaving:
            self._left[entry.id] = entry.start_id
            self._known.pop(entry.id, None)
        else:
            self.note_linked(entry)
        self.check()
        return state

    def check(self) -> None:
        """Calls back if the view has changed since the last check."""
        oldest_ms = self._clock.now_ms() - 60 * DEAD_AFTER_MS
        for start_id, state in list(self._peers.items()):
            if state.heard_ms < oldest_ms:
                del self._peers[start_id]
        digest = self.view_digest()
        if digest != self._last_view:
            self._last_view = digest
            for callback in self._callbacks:
                callback()

    def _know(self, id: str, address: str, zone: str, listed: bool) -> None:
        known = self._known.get(id)
        if known is None:
            # A process at the same address has replaced the old one.
            for other, old in list(self._known.items()):
                if address and old.peer_address == address:
                    self._forget(other)
            self._known[id] = Known(address, zone, listed, self._clock.now_ms())
        else:
            known.peer_address = address or known.peer_address
            known.zone = zone or known.zone
            known.listed = known.listed or listed

    def _forget(self, id: str) -> None:
        if id != self._me.id:
            self._known.pop(id, None)

    def _drop_older_runs(self, entry: interfaces.Entry) -> None:
        for start_id, state in list(self._peers.items()):
            if state.entry.id == entry.id and start_id != entry.start_id:
                del self._peers[start_id]
