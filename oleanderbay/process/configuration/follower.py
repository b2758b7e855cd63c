"""Reads the configuration log in order and applies it."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable

import mode
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import deadline, interfaces
from oleanderbay.process.configuration import divergence, freshness
from oleanderbay.process.membership import membership, neighbours
from oleanderbay.version import apply, catalogue, verdicts
from oleanderbay.version import records as records_module

# Records applied without a break. One takes about 0.12 ms, and streams that
# the same process relays must not wait for a whole page.
SLICE_RECORDS = 16

RecordCallback = Callable[[native.LogRecord, verdicts.Verdict], None]
Recover = Callable[[catalogue.Catalogue], Awaitable[catalogue.Catalogue | None]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds of reading the log.

    Attributes:
        page_records: Records asked for in one read.
        wait_ms: Time that the log may hold a read that has nothing new. A
            read counts as a confirmation from when it was sent, so this is
            part of its age.
        read_timeout_ms: Time for an answer beyond `wait_ms`; a later answer
            would confirm nothing that is still fresh.
        slow_ms: Time for an answer beyond which the next read does not wait
            for new records, so that its age stays below the lease.
        first_backoff_ms: Wait after a first failed read.
        last_backoff_ms: Wait after many.
        pending_records: Records kept that came before their turn.
        recent_bytes: Applied records kept for peers that lost the log.
        full_mesh: Number of entries up to which all read the log.
        indirect_age_ms: Age of the confirmation from which an entry that
            others read the log for reads it itself.
    """

    page_records: int = 512
    wait_ms: int = 500
    read_timeout_ms: int = 2_500
    slow_ms: int = 300
    first_backoff_ms: int = 50
    last_backoff_ms: int = 500
    pending_records: int = 4_096
    recent_bytes: int = 4 * 1024 * 1024
    full_mesh: int = neighbours.FULL_MESH_ENTRIES
    indirect_age_ms: int = 1_500


class Follower(mode.Service):
    """Implements `CatalogueSource`; offsets only go forward.

    Attributes:
        reachable: Whether this entry reads the log and the last read
            succeeded.
    """

    def __init__(
        self,
        log: native.LogService,
        lease: freshness.FreshnessLease,
        members: membership.Membership,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        recover: Recover | None = None,
        limits: Limits | None = None,
    ) -> None:
        super().__init__()
        self.limits = limits or Limits()
        self.reachable = False
        self._slow = False
        self._log_service = log
        self._lease = lease
        self._members = members
        self._clock = clock
        self._rng = rng
        self._recover = recover
        self._current = catalogue.Catalogue.empty()
        self._pending: dict[int, native.LogRecord] = {}
        self._recent: collections.deque[native.LogRecord] = collections.deque()
        self._recent_bytes = 0
        self._divergence = divergence.DivergenceCheck()
        self._callbacks: list[Callable[[interfaces.CatalogueView], None]] = []
        self._record_callbacks: list[RecordCallback] = []
        # Woken when this entry or a peer has moved forward.
        self._progress: set[asyncio.Future[None]] = set()
        self._log = structlog.get_logger("follower")

    @property
    def current(self) -> catalogue.Catalogue:
        """The catalogue in force."""
        return self._current

    def on_change(
        self, callback: Callable[[interfaces.CatalogueView], None]
    ) -> None:
        """Calls back after each new offset was applied."""
        self._callbacks.append(callback)

    def on_record(self, callback: RecordCallback) -> None:
        """Calls back with each applied record and its verdict."""
        self._record_callbacks.append(callback)

    def install(self, state: catalogue.Catalogue) -> bool:
        """Takes over a newer catalogue from a checkpoint or a peer.

        Returns:
            Whether it was newer; an older one changes nothing.
        """
        # Records from peers may have overtaken the state that was loaded at
        # the start; they were applied from the first on, so there is a state.
        self._lease.started = True
        if state.offset <= self._current.offset:
            return False
        self._current = state
        self._recent.clear()
        self._recent_bytes = 0
        self._after(state.offset)
        self.accept(())
        return True

    def accept(self, records: Iterable[native.LogRecord]) -> int:
        """Applies records that are next; keeps those that came too early.

        Args:
            records: From the log or a peer, in any order.

        Returns:
            The number of records that were applied.
        """
        for record in records:
            if record.offset > self._current.offset:
                self._pending[record.offset] = record
        applied = 0
        while self._pending:
            record_now = self._pending.pop(self._current.offset + 1, None)
            if record_now is None:
                break
            self._apply(record_now)
            applied += 1
        if self._pending:
            self._drop_pending()
        return applied

    async def catch_up(self, records: Iterable[native.LogRecord]) -> int:
        """Like `accept`, but lets other tasks run in between."""
        ordered = sorted(records, key=lambda record: record.offset)
        applied = 0
        for start in range(0, len(ordered), SLICE_RECORDS):
            if start:
                await self._clock.sleep_ms(0)
            applied += self.accept(ordered[start : start + SLICE_RECORDS])
        return applied

    def recent(
        self, start: int, limit: int, max_bytes: int
    ) -> list[native.LogRecord] | None:
        """Returns applied records from an offset on; None if they are gone."""
        if start > self._current.offset:
            return []
        if not self._recent or start < self._recent[0].offset:
            return None
        found: list[native.LogRecord] = []
        size = 0
        index = start - self._recent[0].offset
        while index < len(self._recent) and len(found) < limit:
            size += len(self._recent[index].data)
            if found and size > max_bytes:
                break
            found.append(self._recent[index])
            index += 1
        return found

    def note_peer(self, state: membership.PeerState) -> None:
        """Compares a peer's digest and wakes those who wait for peers."""
        self._divergence.note_peer(
            state.entry.start_id,
            state.heartbeat.offset,
            state.heartbeat.digest,
        )
        self._check_divergence()
        self._wake()

    async def wait_offset(self, offset: int, timeout_ms: int) -> None:
        """Waits until this entry has applied an offset.

        Raises:
            TimeoutError: It has not in time.
        """
        await self._wait_until(
            lambda: self._current.offset >= offset, timeout_ms
        )

    async def wait_accepted(self, offset: int, timeout_ms: int) -> None:
        """Waits until more than half of the known entries applied an offset.

        Only then may a change be reported as accepted.

        Raises:
            TimeoutError: They have not in time.
        """
        await self._wait_until(lambda: self.is_accepted(offset), timeout_ms)

    def is_accepted(self, offset: int) -> bool:
        """Whether more than half of the known entries applied an offset."""
        if self._current.offset < offset:
            return False
        count = self._members.applied_count(offset)
        # While it leaves, this entry is no longer in the known set of others.
        count += self._members.counts(self._members.me)
        return 2 * count > self._members.known_count()

    @mode.Service.task
    async def _follow(self) -> None:
        backoff_ms = self.limits.first_backoff_ms
        while not self.should_stop:
            if not self._reads_itself():
                # Peers are asked at once, not after time for an own read.
                self.reachable = False
                await self._clock.sleep_ms(self.limits.indirect_age_ms / 4)
                continue
            if await self.read_once():
                backoff_ms = self.limits.first_backoff_ms
                continue
            await self._clock.sleep_ms(backoff_ms * self._rng.uniform(0.5, 1.5))
            backoff_ms = min(backoff_ms * 2, self.limits.last_backoff_ms)

    def _reads_itself(self) -> bool:
        readers = neighbours.log_readers(
            self._members.known_zones(), self.limits.full_mesh
        )
        if self._members.me.id in readers:
            return True
        age_ms = self._lease.confirmation_age_ms()
        return age_ms is None or age_ms > self.limits.indirect_age_ms

    async def read_once(self) -> bool:
        """Reads one page and applies it; returns whether that went well."""
        sent_ms = self._clock.now_ms()
        start = self._current.offset + 1
        # The first confirmation is what a starting entry waits for.
        first = self._lease.confirmation_age_ms() is None
        wait_ms = 0 if self._slow or first else self.limits.wait_ms
        try:
            page = await self._log_service.read(
                records_module.STREAM,
                start,
                self.limits.page_records,
                wait_ms,
                wait_ms + self.limits.read_timeout_ms,
            )
        except native.RecordsExpiredError as error:
            self._log.warning("records expired", first=error.first, start=start)
            await self._recover_state()
            return False
        except native.PlatformError as error:
            self._log.debug("log read failed", error=str(error))
            self.reachable = False
            return False
        self.reachable = True
        took_ms = self._clock.now_ms() - sent_ms
        self._slow = took_ms > wait_ms + self.limits.slow_ms
        if page.end < start:
            # A log that lost its end, or another log; its end says nothing
            # about what was accepted.
            self._log.error("log ends early", end=page.end, start=start)
            return False
        before = self._current.offset
        await self.catch_up(page.records)
        self._lease.note_tail(sent_ms, page.end)
        moved = self._current.offset > before
        # A page with a gap or without its first record is read again.
        return moved or self._current.offset >= page.end - 1

    async def _recover_state(self) -> None:
        if self._recover is None:
            return
        state = await self._recover(self._current)
        if state is not None:
            self.install(state)

    def _apply(self, record: native.LogRecord) -> None:
        self._current, verdict = apply.apply_record(
            self._current, record.offset, record.data
        )
        self._recent.append(record)
        self._recent_bytes += len(record.data)
        while self._recent_bytes > self.limits.recent_bytes:
            self._recent_bytes -= len(self._recent.popleft().data)
        self._after(record.offset)
        for callback in self._record_callbacks:
            callback(record, verdict)

    def _after(self, offset: int) -> None:
        self._divergence.note_mine(offset, self._current.digest)
        self._check_divergence()
        self._lease.note_applied(offset)
        for callback in self._callbacks:
            try:
                callback(self._current)
            except Exception:
                # The catalogue is in force whatever a listener makes of it.
                self._log.exception("change callback failed", offset=offset)
        self._wake()

    def _check_divergence(self) -> None:
        diverged = self._divergence.diverged_at is not None
        if diverged != self._lease.diverged:
            self._lease.diverged = diverged
            self._log.error(
                "state diverged from peers" if diverged else "state agrees",
                offset=self._divergence.diverged_at,
            )

    def _drop_pending(self) -> None:
        for offset in [o for o in self._pending if o <= self._current.offset]:
            del self._pending[offset]
        while len(self._pending) > self.limits.pending_records:
            del self._pending[max(self._pending)]

    def _wake(self) -> None:
        for waiter in self._progress:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait_until(
        self, condition: Callable[[], bool], timeout_ms: int
    ) -> None:
        end_ms = self._clock.now_ms() + timeout_ms
        while not condition():
            waiter: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            self._progress.add(waiter)
            try:
                await deadline.within(
                    self._clock, waiter, end_ms - self._clock.now_ms()
                )
            finally:
                self._progress.discard(waiter)
