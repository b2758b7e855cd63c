"""Whether this entry may accept new work: the freshness lease."""

import dataclasses

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.membership import membership

# Offsets of confirmations that wait for this entry to catch up.
MAX_PENDING = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Times of the freshness lease.

    Attributes:
        freshness_ms: Age of the newest confirmation up to which an entry is
            fresh.
        outage_ms: Age up to which an entry without one serves after more than
            half of the known entries were at or behind its offset. An accepted
            change was applied by more than half, so one accepted before then
            is in force here. Far below the limit of 6,000 ms for the age of a
            configuration in use.
    """

    freshness_ms: int = 3_000
    outage_ms: int = membership.DEAD_AFTER_MS


class FreshnessLease:
    """Decides from confirmations, all counted on this entry's own clock.

    A confirmation is a point in time at which this entry's applied offset
    covered the whole log. It comes from a read of the tail, which counts from
    when the read was sent, or from a peer's confirmation, which counts from
    when this entry sent the message that the peer acknowledged.

    Attributes:
        started: Whether there is a catalogue to serve with at all.
        diverged: Whether this entry's state differs from that of its peers.
    """

    def __init__(
        self,
        members: membership.Membership,
        clock: clocks.Clock,
        limits: Limits | None = None,
    ) -> None:
        self.started = False
        self.diverged = False
        self._members = members
        self._clock = clock
        self._limits = limits or Limits()
        self._started_ms = clock.now_ms()
        self._applied = 0
        self._confirmed_ms: int | None = None
        self._pending: dict[int, int] = {}
        # When each peer was last known to be at or behind this entry.
        self._level_ms: dict[str, int] = {}

    def note_applied(self, offset: int) -> None:
        """Tells that this entry has applied an offset."""
        self._applied = max(self._applied, offset)
        for pending in [o for o in self._pending if o <= self._applied]:
            self._confirm(self._pending.pop(pending))
        heard = {s.entry.start_id: s for s in self._members.heard()}
        self._level_ms = {
            start_id: level_ms
            for start_id, level_ms in self._level_ms.items()
            if start_id in heard
        }
        for state in heard.values():
            self._compare(state)

    def note_tail(self, sent_ms: int, end: int) -> None:
        """Tells what a read of the tail showed.

        Args:
            sent_ms: When the read was sent.
            end: Offset that the next append would have got.
        """
        self._covered(end - 1, sent_ms)

    def note_peer(self, state: membership.PeerState) -> None:
        """Tells what a peer said of itself."""
        confirmed_ms = state.confirmed_ms
        if confirmed_ms is not None:
            self._covered(state.heartbeat.offset, confirmed_ms)
        self._compare(state)

    @property
    def confirmed_since_start(self) -> bool:
        """Whether a confirmation is newer than this run of the process."""
        confirmed_ms = self._confirmed_ms
        return confirmed_ms is not None and confirmed_ms >= self._started_ms

    def confirmation_age_ms(self) -> int | None:
        """Age of the newest confirmation; None before the first.

        One from before this run of the process is no confirmation of it.
        """
        if self._confirmed_ms is None or not self.confirmed_since_start:
            return None
        return self._clock.now_ms() - self._confirmed_ms

    def state(self) -> interfaces.Freshness:
        """Returns whether new work may start, as of now."""
        if not self.started or self.diverged:
            return interfaces.Freshness.CUT_OFF
        age_ms = self.confirmation_age_ms()
        if age_ms is not None and age_ms < self._limits.freshness_ms:
            return interfaces.Freshness.FRESH
        if self._serves_in_outage():
            return interfaces.Freshness.OUTAGE
        return interfaces.Freshness.CUT_OFF

    def _serves_in_outage(self) -> bool:
        # Before the first read of the instance list the known set may lack
        # most entries, and a majority of it would mean nothing.
        if not self._members.list_read:
            return False
        now_ms = self._clock.now_ms()
        level = int(self.confirmed_since_start)
        for state in self._members.vouching():
            if state.heartbeat.offset > self._applied:
                confirmed_ms = state.confirmed_ms
                if (
                    confirmed_ms is not None
                    and now_ms - confirmed_ms < self._limits.freshness_ms
                ):
                    return False
            level_ms = self._level_ms.get(state.entry.start_id)
            if (
                level_ms is not None
                and now_ms - level_ms <= self._limits.outage_ms
            ):
                level += 1
        return 2 * level > self._members.known_count()

    def _compare(self, state: membership.PeerState) -> None:
        if state.heartbeat.offset <= self._applied:
            start_id = state.entry.start_id
            old_ms = self._level_ms.get(start_id, state.heard_ms)
            self._level_ms[start_id] = max(old_ms, state.heard_ms)

    def _covered(self, offset: int, confirmed_ms: int) -> None:
        if offset <= self._applied:
            self._confirm(confirmed_ms)
            return
        newest_ms = max(confirmed_ms, self._pending.get(offset, confirmed_ms))
        self._pending[offset] = newest_ms
        if len(self._pending) > MAX_PENDING:
            del self._pending[min(self._pending)]

    def _confirm(self, confirmed_ms: int) -> None:
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms
