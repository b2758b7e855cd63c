"""At-most-once execution of requests with an idempotency key."""

import asyncio
import dataclasses
import random
from typing import Any

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.request import claim_log, claims, keys, outcome

CLAIM_KIND = "claim"
OUTCOME_KIND = "outcome"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IdempotencySettings:
    """Retention times and limits of idempotency keys.

    Attributes:
        ticket_retention_ms: Age from which a ticketed key is refused.
        log_retention_ms: Age from which a key without a ticket is refused.
        log_in_progress_ms: Age up to which a claim in the log without an
            outcome counts as in progress.
        max_skew_ms: How far a time of issue may lie in the future.
        max_claims: Maximum number of ticketed keys that an entry stores.
        max_answer_bytes: Largest response body that is stored for replay.
        grace_ms: Time after its deadline for which a request without a
            recorded outcome still counts as in progress.
        peer_timeout_ms: Timeout of a request to the home entry.
        outcome_interval_ms: Interval at which outcomes are sent to the log
            and to home entries.
        max_pending: Maximum number of outcomes queued for other entries.
    """

    ticket_retention_ms: int = 600_000
    log_retention_ms: int = 86_400_000
    log_in_progress_ms: int = 600_000
    max_skew_ms: int = 60_000
    max_claims: int = 50_000
    max_answer_bytes: int = 16_384
    grace_ms: int = 5_000
    peer_timeout_ms: int = 1_000
    outcome_interval_ms: int = 200
    max_pending: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The outcome of an earlier request with the same key.

    Attributes:
        record: The recorded outcome, which may lack the response.
    """

    record: claims.OutcomeRecord


class Claim:
    """The right to send the request of a key, once.

    It ends with the first call of one of its methods; later calls have no
    effect. If none is called, the outcome of the key stays unknown.

    Attributes:
        id: Unique id of the claim.
    """

    __slots__ = ("_closed", "_home", "_idempotency", "id")

    def __init__(self, idempotency: "Idempotency", id: str, home: str) -> None:
        self.id = id
        self._idempotency = idempotency
        self._home = home
        self._closed = False

    def record_response(self, response: claims.StoredResponse) -> None:
        """Records the response, which later requests with the key get."""
        stored: claims.StoredResponse | None = response
        if len(response.body) > self._idempotency.settings.max_answer_bytes:
            stored = None
        self._close(claims.OutcomeRecord(outcome.Outcome.ANSWERED, stored))

    def release(self) -> None:
        """Frees the key.

        Must only be called if no byte can have reached an upstream.
        """
        self._close(None)

    def record_unknown(self) -> None:
        """Records that the request may have run."""
        self._close(claims.OutcomeRecord(outcome.Outcome.UNKNOWN))

    def _close(self, record: claims.OutcomeRecord | None) -> None:
        if not self._closed:
            self._closed = True
            self._idempotency.record_outcome(self._home, self.id, record)


class Idempotency(mode.Service):
    """Claims keys before requests are sent and records their outcomes.

    Attributes:
        clock: Clock for deadlines and ages of keys.
        transport: Sends requests to other entries.
        membership: The live entries.
        settings: Retention times and limits.
        claim_table: Claims of keys whose tickets this process issued.
        claim_log: Claims of keys without a ticket; None if there is no log.
        dropped_outcomes: Number of outcomes dropped from the full queue for
            other entries.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        transport: interfaces.PeerTransport,
        membership: interfaces.MembershipView,
        log: claim_log.ClaimLog | None,
        settings: IdempotencySettings | None = None,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.transport = transport
        self.membership = membership
        self.settings = settings or IdempotencySettings()
        self.claim_table = claims.ClaimTable(
            self.settings.ticket_retention_ms, self.settings.max_claims
        )
        self.claim_log = log
        self.dropped_outcomes = 0
        self._rng = rng
        # The final send in `on_stop` may overlap with a periodic one.
        self._send_lock = asyncio.Lock()
        # Outcomes for other entries: start id of the home entry, claim id,
        # encoded record, and the time at which the home entry has removed the
        # key.
        self._outbox: list[tuple[str, str, list[Any] | None, int]] = []
        transport.register(CLAIM_KIND, self._on_claim)
        transport.register(OUTCOME_KIND, self._on_outcome)

    def issue_ticket(self) -> str:
        """Issues a ticket, which callers get together with addresses."""
        return str(
            keys.Ticket(
                start_id=self.membership.me.start_id,
                issued_ms=self.clock.now_ms(),
                nonce=f"{self._rng.getrandbits(64):016x}",
            )
        )

    async def claim_key(
        self, key: keys.Key, digest: bytes, deadline_ms: int
    ) -> Claim | Replay | outcome.Refusal:
        """Claims a key before its request is sent.

        Args:
            key: The key.
            digest: Hash of the request; see `keys.request_digest`.
            deadline_ms: Monotonic deadline of the request.

        Returns:
            A claim if the request may be sent, once; the recorded outcome of
            an earlier request; or a refusal, in which case the request must
            not be sent.
        """
        claim_id = f"{self._rng.getrandbits(128):032x}"
        if key.ticket is None:
            return await self._claim_in_log(key, digest, claim_id, deadline_ms)
        home = key.ticket.start_id
        outcome_timeout_ms = max(0, deadline_ms - self.clock.now_ms())
        outcome_timeout_ms += self.settings.grace_ms
        me = self.membership.me.start_id
        status: claims.ClaimStatus
        record: claims.OutcomeRecord | None
        if home == me:
            status, record = self._claim_locally(
                key.id,
                digest,
                key.ticket.issued_ms,
                claim_id,
                me,
                outcome_timeout_ms,
            )
        else:
            body = [
                key.id,
                digest,
                key.ticket.issued_ms,
                claim_id,
                outcome_timeout_ms,
            ]
            try:
                data = await self.transport.request(
                    home,
                    CLAIM_KIND,
                    body,
                    self.settings.peer_timeout_ms,
                )
                status = claims.ClaimStatus(data[0])
                record = None
                if data[1] is not None:
                    record = claims.OutcomeRecord.decode(data[1])
            except (interfaces.PeerError, ValueError, TypeError):
                # The home entry may have recorded the claim and only be slow.
                # The request won't be sent, so the claim is released.
                self.record_outcome(home, claim_id, None)
                return claims.REFUSALS[claims.ClaimStatus.LOST]
            except asyncio.CancelledError:
                self.record_outcome(home, claim_id, None)
                raise
        return self._claim_result(status, record, claim_id, home, deadline_ms)

    def record_outcome(
        self, home: str, claim_id: str, record: claims.OutcomeRecord | None
    ) -> None:
        """Records or queues the outcome of a claim; called by `Claim`.

        Args:
            home: Start id of the home entry; empty for a claim in the log.
            claim_id: Id of the claim.
            record: The outcome; None releases the key as not run.
        """
        if not home:
            assert self.claim_log is not None
            self.claim_log.queue_outcome(claim_id, record)
        elif home == self.membership.me.start_id:
            self._record_locally(claim_id, record)
        else:
            if len(self._outbox) >= self.settings.max_pending:
                # The key of the dropped outcome stays without an outcome,
                # which counts as unknown.
                self._outbox.pop(0)
                self.dropped_outcomes += 1
            self._outbox.append(
                (
                    home,
                    claim_id,
                    record.encode() if record else None,
                    self.clock.now_ms() + self.settings.ticket_retention_ms,
                )
            )

    async def send_outcomes(self) -> None:
        """Sends queued outcomes to the log and to home entries."""
        async with self._send_lock:
            await self._send_pending()

    async def _send_pending(self) -> None:
        now_ms = self.clock.now_ms()
        self.claim_table.prune(now_ms)
        if self.claim_log is not None and self.claim_log.pending_count:
            try:
                await self.claim_log.flush()
            except native.PlatformError:
                pass
        live_entries = {entry.start_id for entry in self.membership.live()}
        batches: dict[str, list[tuple[str, str, list[Any] | None, int]]] = {}
        for queued in self._outbox:
            batches.setdefault(queued[0], []).append(queued)
        for home, outcomes in batches.items():
            if home in live_entries:
                body = [[claim_id, data] for _, claim_id, data, _ in outcomes]
                try:
                    await self.transport.request(
                        home, OUTCOME_KIND, body, self.settings.peer_timeout_ms
                    )
                except interfaces.PeerError:
                    continue
                sent = {queued[1] for queued in outcomes}
                self._outbox = [
                    queued for queued in self._outbox if queued[1] not in sent
                ]
        self._outbox = [queued for queued in self._outbox if queued[3] > now_ms]

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.send_outcomes()
            await self.clock.sleep_ms(self.settings.outcome_interval_ms)

    async def on_stop(self) -> None:
        """Sends the outcomes that are still queued."""
        await self.send_outcomes()

    def _claim_locally(
        self,
        key: bytes,
        digest: bytes,
        issued_ms: int,
        claim_id: str,
        claimer: str,
        outcome_timeout_ms: int,
    ) -> tuple[claims.ClaimStatus, claims.OutcomeRecord | None]:
        live_entries = {entry.start_id for entry in self.membership.live()}
        return self.claim_table.claim(
            key,
            digest,
            issued_ms,
            claim_id,
            claimer,
            outcome_timeout_ms,
            live_entries,
            self.clock.now_ms(),
        )

    def _record_locally(
        self, claim_id: str, record: claims.OutcomeRecord | None
    ) -> None:
        if record is None:
            self.claim_table.release(claim_id)
        else:
            self.claim_table.record_outcome(claim_id, record)

    async def _claim_in_log(
        self, key: keys.Key, digest: bytes, claim_id: str, deadline_ms: int
    ) -> Claim | Replay | outcome.Refusal:
        now_wall_ms = self.clock.wall_ms()
        if key.issued_ms > now_wall_ms + self.settings.max_skew_ms:
            return outcome.Refusal(
                reason=outcome.Reason.BAD_REQUEST,
                outcome=outcome.Outcome.NOT_RUN,
                message="the key's time of issue lies in the future",
                status=400,
            )
        if now_wall_ms - key.issued_ms >= self.settings.log_retention_ms:
            return claims.REFUSALS[claims.ClaimStatus.EXPIRED]
        if self.claim_log is None:
            return claims.LOG_UNAVAILABLE_REFUSAL
        try:
            holder = await self.claim_log.claim(
                key.id, key.issued_ms, digest, claim_id
            )
        except native.PlatformError:
            return claims.LOG_UNAVAILABLE_REFUSAL
        except claim_log.HistoryExpiredError:
            return claims.REFUSALS[claims.ClaimStatus.EXPIRED]
        if holder is None:
            return claims.RELEASED_HOLDER_REFUSAL
        if holder.claim_id == claim_id:
            return self._claim_result(
                claims.ClaimStatus.RUN, None, claim_id, "", deadline_ms
            )
        if holder.digest != digest:
            status = claims.ClaimStatus.REUSED
        elif holder.record is not None:
            status = claims.ClaimStatus.DONE
        else:
            live_entries = {entry.start_id for entry in self.membership.live()}
            status = claims.ClaimStatus.LOST
            age_ms = now_wall_ms - holder.claimed_at_ms
            if (
                holder.claimer in live_entries
                and age_ms < self.settings.log_in_progress_ms
            ):
                status = claims.ClaimStatus.IN_PROGRESS
        return self._claim_result(
            status, holder.record, claim_id, "", deadline_ms
        )

    def _claim_result(
        self,
        status: claims.ClaimStatus,
        record: claims.OutcomeRecord | None,
        claim_id: str,
        home: str,
        deadline_ms: int,
    ) -> Claim | Replay | outcome.Refusal:
        match status:
            case claims.ClaimStatus.RUN:
                if self.clock.now_ms() >= deadline_ms:
                    self.record_outcome(home, claim_id, None)
                    return outcome.Refusal(
                        reason=outcome.Reason.DEADLINE,
                        outcome=outcome.Outcome.NOT_RUN,
                        message="the deadline passed while a key was claimed",
                        status=504,
                    )
                return Claim(self, claim_id, home)
            case claims.ClaimStatus.DONE if record is not None:
                return Replay(record)
        return claims.REFUSALS[status]

    async def _on_claim(self, peer: interfaces.Entry, body: Any) -> Any:
        try:
            key, digest, issued_ms, claim_id, outcome_timeout_ms = body
            if not (
                isinstance(key, bytes)
                and isinstance(digest, bytes)
                and isinstance(claim_id, str)
                and isinstance(issued_ms, int)
                and isinstance(outcome_timeout_ms, int)
            ):
                raise ValueError("a field has the wrong type")
        except (TypeError, ValueError) as error:
            raise interfaces.PeerError("malformed claim") from error
        status, record = self._claim_locally(
            key, digest, issued_ms, claim_id, peer.start_id, outcome_timeout_ms
        )
        return [status.value, record.encode() if record else None]

    async def _on_outcome(self, peer: interfaces.Entry, body: Any) -> Any:
        try:
            outcomes = [
                (
                    str(claim_id),
                    claims.OutcomeRecord.decode(data)
                    if data is not None
                    else None,
                )
                for claim_id, data in body
            ]
        except (TypeError, ValueError) as error:
            raise interfaces.PeerError("malformed outcome") from error
        for claim_id, record in outcomes:
            self._record_locally(claim_id, record)
        return True
