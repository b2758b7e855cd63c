"""At most one run of a call that must not be repeated."""

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
    """Retention and bounds of keys.

    Attributes:
        ticket_retention_ms: Age from which a ticketed key is refused.
        log_retention_ms: Age from which a key without a ticket is refused.
        log_run_ms: Age up to which a claim in the log without an outcome
            counts as in progress.
        skew_ms: How far a time of issue may lie in the future.
        max_claims: Ticketed keys that one entry keeps.
        max_answer_bytes: Largest body that is kept for replay.
        grace_ms: How long after its deadline a call without a recorded
            outcome counts as in progress.
        peer_timeout_ms: Longest wait for the home entry.
        step_ms: How often outcomes are passed on.
        max_pending: Outcomes for other entries that are kept.
    """

    ticket_retention_ms: int = 600_000
    log_retention_ms: int = 86_400_000
    log_run_ms: int = 600_000
    skew_ms: int = 60_000
    max_claims: int = 50_000
    max_answer_bytes: int = 16_384
    grace_ms: int = 5_000
    peer_timeout_ms: int = 1_000
    step_ms: int = 200
    max_pending: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The outcome of an earlier call with the same key.

    Attributes:
        record: What is known of it; its answer may not have been kept.
    """

    record: claims.Record


class Claim:
    """The right to send one call once; must be closed by one method.

    A claim that is never closed leaves its key unknown for good.
    """

    __slots__ = ("_closed", "_home", "_owner", "id")

    def __init__(self, owner: "Idempotency", id: str, home: str) -> None:
        self.id = id
        self._owner = owner
        self._home = home
        self._closed = False

    def answered(self, answer: claims.Answer) -> None:
        """Records the answer; later calls with the key get it again."""
        kept: claims.Answer | None = answer
        if len(answer.body) > self._owner.settings.max_answer_bytes:
            kept = None
        self._close(claims.Record(outcome.Outcome.ANSWERED, kept))

    def not_run(self) -> None:
        """Frees the key. Only if no byte can have reached an upstream."""
        self._close(None)

    def unknown(self) -> None:
        """Records that the call may have run."""
        self._close(claims.Record(outcome.Outcome.UNKNOWN))

    def _close(self, record: claims.Record | None) -> None:
        if not self._closed:
            self._closed = True
            self._owner.settle(self._home, self.id, record)


class Idempotency(mode.Service):
    """Claims keys before calls are sent and records their outcomes.

    Attributes:
        table: Claims of keys whose tickets this process issued.
        claim_log: Claims of keys without a ticket; None if there is no log.
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
        self.table = claims.ClaimTable(
            self.settings.ticket_retention_ms, self.settings.max_claims
        )
        self.claim_log = log
        self.dropped = 0
        self._rng = rng
        # The last step, at the stop, may meet a periodic one.
        self._step_lock = asyncio.Lock()
        # Outcomes for other entries: home, claim id, encoded record, and the
        # time after which the home has forgotten the key.
        self._outbox: list[tuple[str, str, list[Any] | None, int]] = []
        transport.register(CLAIM_KIND, self._on_claim)
        transport.register(OUTCOME_KIND, self._on_outcome)

    def ticket(self) -> str:
        """Issues a ticket for an address answer."""
        return str(
            keys.Ticket(
                start_id=self.membership.me.start_id,
                issued_ms=self.clock.now_ms(),
                nonce=f"{self._rng.getrandbits(64):016x}",
            )
        )

    async def begin(
        self, key: keys.Key, digest: bytes, deadline_ms: int
    ) -> Claim | Replay | outcome.Refusal:
        """Claims a key before its call is sent.

        Args:
            key: The key.
            digest: Hash of the request; see `keys.body_digest`.
            deadline_ms: Monotonic deadline of the request.

        Returns:
            A claim if the call may be sent, once; the recorded outcome of an
            earlier call; or a refusal, in which case it must not be sent.
        """
        claim = f"{self._rng.getrandbits(128):032x}"
        if key.ticket is None:
            return await self._begin_in_log(key, digest, claim, deadline_ms)
        home = key.ticket.start_id
        run_ms = max(0, deadline_ms - self.clock.now_ms())
        run_ms += self.settings.grace_ms
        me = self.membership.me.start_id
        verdict: claims.Verdict
        record: claims.Record | None
        if home == me:
            verdict, record = self._claim_here(
                key.id, digest, key.ticket.issued_ms, claim, me, run_ms
            )
        else:
            body = [key.id, digest, key.ticket.issued_ms, claim, run_ms]
            try:
                data = await self.transport.request(
                    home,
                    CLAIM_KIND,
                    body,
                    self.settings.peer_timeout_ms,
                )
                verdict = claims.Verdict(data[0])
                record = None
                if data[1] is not None:
                    record = claims.Record.decode(data[1])
            except (interfaces.PeerError, ValueError, TypeError):
                # The home may have noted the claim. Nothing will be sent for
                # it, so it is given back in case the home is only slow.
                self.settle(home, claim, None)
                return claims.REFUSALS[claims.Verdict.LOST]
            except asyncio.CancelledError:
                self.settle(home, claim, None)
                raise
        return self._conclude(verdict, record, claim, home, deadline_ms)

    def settle(
        self, home: str, claim: str, record: claims.Record | None
    ) -> None:
        """Passes an outcome on; called by `Claim`."""
        if not home:
            assert self.claim_log is not None
            self.claim_log.put(claim, record)
        elif home == self.membership.me.start_id:
            self._settle_here(claim, record)
        else:
            if len(self._outbox) >= self.settings.max_pending:
                # The key stays without an outcome, which reads as unknown.
                self._outbox.pop(0)
                self.dropped += 1
            self._outbox.append(
                (
                    home,
                    claim,
                    record.encode() if record else None,
                    self.clock.now_ms() + self.settings.ticket_retention_ms,
                )
            )

    async def step(self) -> None:
        """Passes outcomes on to the log and to home entries."""
        async with self._step_lock:
            await self._pass_on()

    async def _pass_on(self) -> None:
        now_ms = self.clock.now_ms()
        self.table.prune(now_ms)
        if self.claim_log is not None and self.claim_log.pending:
            try:
                await self.claim_log.flush()
            except native.PlatformError:
                pass
        live = {entry.start_id for entry in self.membership.live()}
        batches: dict[str, list[tuple[str, str, list[Any] | None, int]]] = {}
        for line in self._outbox:
            batches.setdefault(line[0], []).append(line)
        for home, lines in batches.items():
            if home in live:
                body = [[claim, data] for _, claim, data, _ in lines]
                try:
                    await self.transport.request(
                        home, OUTCOME_KIND, body, self.settings.peer_timeout_ms
                    )
                except interfaces.PeerError:
                    continue
                sent = {line[1] for line in lines}
                self._outbox = [
                    line for line in self._outbox if line[1] not in sent
                ]
        self._outbox = [line for line in self._outbox if line[3] > now_ms]

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.step()
            await self.clock.sleep_ms(self.settings.step_ms)

    async def on_stop(self) -> None:
        """Passes on what is left."""
        await self.step()

    def _claim_here(
        self,
        key: bytes,
        digest: bytes,
        issued_ms: int,
        claim: str,
        claimer: str,
        run_ms: int,
    ) -> tuple[claims.Verdict, claims.Record | None]:
        live = {entry.start_id for entry in self.membership.live()}
        return self.table.claim(
            key,
            digest,
            issued_ms,
            claim,
            claimer,
            run_ms,
            live,
            self.clock.now_ms(),
        )

    def _settle_here(self, claim: str, record: claims.Record | None) -> None:
        if record is None:
            self.table.release(claim)
        else:
            self.table.record(claim, record)

    async def _begin_in_log(
        self, key: keys.Key, digest: bytes, claim: str, deadline_ms: int
    ) -> Claim | Replay | outcome.Refusal:
        now_wall_ms = self.clock.wall_ms()
        if key.issued_ms > now_wall_ms + self.settings.skew_ms:
            return outcome.Refusal(
                reason=outcome.Reason.BAD_REQUEST,
                outcome=outcome.Outcome.NOT_RUN,
                message="the key's time of issue lies in the future",
                status=400,
            )
        if now_wall_ms - key.issued_ms >= self.settings.log_retention_ms:
            return claims.REFUSALS[claims.Verdict.EXPIRED]
        if self.claim_log is None:
            return claims.LOG_UNAVAILABLE
        try:
            winner = await self.claim_log.claim(
                key.id, key.issued_ms, digest, claim
            )
        except native.PlatformError:
            return claims.LOG_UNAVAILABLE
        except claim_log.HistoryGoneError:
            return claims.REFUSALS[claims.Verdict.EXPIRED]
        if winner is None:
            return claims.LOST_CLAIM
        if winner.claim == claim:
            return self._conclude(
                claims.Verdict.RUN, None, claim, "", deadline_ms
            )
        if winner.digest != digest:
            verdict = claims.Verdict.REUSED
        elif winner.record is not None:
            verdict = claims.Verdict.DONE
        else:
            live = {entry.start_id for entry in self.membership.live()}
            verdict = claims.Verdict.LOST
            age_ms = now_wall_ms - winner.at_ms
            if winner.author in live and age_ms < self.settings.log_run_ms:
                verdict = claims.Verdict.IN_PROGRESS
        return self._conclude(verdict, winner.record, claim, "", deadline_ms)

    def _conclude(
        self,
        verdict: claims.Verdict,
        record: claims.Record | None,
        claim: str,
        home: str,
        deadline_ms: int,
    ) -> Claim | Replay | outcome.Refusal:
        match verdict:
            case claims.Verdict.RUN:
                if self.clock.now_ms() >= deadline_ms:
                    self.settle(home, claim, None)
                    return outcome.Refusal(
                        reason=outcome.Reason.DEADLINE,
                        outcome=outcome.Outcome.NOT_RUN,
                        message="the deadline passed while a key was claimed",
                        status=504,
                    )
                return Claim(self, claim, home)
            case claims.Verdict.DONE if record is not None:
                return Replay(record)
        return claims.REFUSALS[verdict]

    async def _on_claim(self, peer: interfaces.Entry, body: Any) -> Any:
        try:
            key, digest, issued_ms, claim, run_ms = body
            if not (
                isinstance(key, bytes)
                and isinstance(digest, bytes)
                and isinstance(claim, str)
                and isinstance(issued_ms, int)
                and isinstance(run_ms, int)
            ):
                raise ValueError("wrong types")
        except (TypeError, ValueError) as error:
            raise interfaces.PeerError("malformed claim") from error
        verdict, record = self._claim_here(
            key, digest, issued_ms, claim, peer.start_id, run_ms
        )
        return [verdict.value, record.encode() if record else None]

    async def _on_outcome(self, peer: interfaces.Entry, body: Any) -> Any:
        try:
            lines = [
                (
                    str(claim),
                    claims.Record.decode(data) if data is not None else None,
                )
                for claim, data in body
            ]
        except (TypeError, ValueError) as error:
            raise interfaces.PeerError("malformed outcome") from error
        for claim, record in lines:
            self._settle_here(claim, record)
        return True
