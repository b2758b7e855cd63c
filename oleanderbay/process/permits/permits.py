"""Acquires permits of upstreams and exchanges messages about them."""

import asyncio
import collections
from typing import Any

import mode

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.permits import (
    held_permits,
    issuer,
    messages,
    ownership,
)
from oleanderbay.request import outcome

KIND = "permit"

# Exchanges with one owner in a row; what is left waits for the next step.
_MAX_EXCHANGES = 4


class Permits(mode.Service):
    """Acquires permits from the owners of upstreams and grants its own.

    Attributes:
        grants: The owner's side at this entry.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        transport: interfaces.PeerTransport,
        membership: interfaces.MembershipView,
        eligible: interfaces.EligibleUpstreams,
        settings: ownership.PermitSettings | None = None,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.transport = transport
        self.membership = membership
        self.eligible = eligible
        self.settings = settings or ownership.PermitSettings()
        self.issuer = issuer.PermitIssuer(
            clock, membership, eligible, self.settings
        )
        self._held: dict[str, held_permits.HeldPermits] = {}
        self._owners: dict[str, interfaces.Entry] = {}
        self._owners_view = ""
        self._sequence = 0
        self._asking: dict[str, asyncio.Task[None]] = {}
        transport.register(KIND, self._on_message)
        eligible.on_change(self._on_eligible)

    async def acquire(
        self, upstream: interfaces.Upstream, deadline_ms: int
    ) -> held_permits.Permit | outcome.Refusal:
        """Waits for the right to send one request to an upstream.

        Args:
            upstream: The upstream.
            deadline_ms: Monotonic time to give up at.

        Returns:
            A permit that the caller must close, or a refusal: nothing was
            sent and another upstream may be tried.
        """
        now_ms = self.clock.now_ms()
        held = self._hold(upstream, now_ms)
        held.used_ms = now_ms
        if not held.waiters and self._room(held, now_ms) > 0:
            held.in_flight += 1
            return held_permits.Permit(held, self.release)
        waiter: asyncio.Future[held_permits.Permit | outcome.Refusal] = (
            asyncio.get_running_loop().create_future()
        )
        held.waiters.append((deadline_ms, waiter))
        held.urgent = True
        self._ask(self._owner(upstream.id))
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                result = waiter.result()
                if isinstance(result, held_permits.Permit):
                    result.close()
            raise

    def available_permits(self, upstream: interfaces.Upstream) -> int:
        """Returns how many requests could be sent without asking."""
        held = self._held.get(upstream.id)
        if held is None:
            return 0
        if held.upstream.start_id != upstream.start_id:
            return 0
        room = self._room(held, self.clock.now_ms())
        return room - len(held.waiters)

    def in_flight(self, upstream: str) -> int:
        """Returns this entry's requests that hold a permit."""
        held = self._held.get(upstream)
        return held.in_flight if held else 0

    def release(
        self,
        held: held_permits.HeldPermits,
        first_token_ms: float,
        failed: bool,
    ) -> None:
        """Takes back a permit; called by `holding.Permit.close`."""
        now_ms = self.clock.now_ms()
        held.in_flight -= 1
        held.ended += 1
        held.used_ms = now_ms
        if first_token_ms > 0 or failed:
            held.done += not failed
            held.failed += failed
            held.worst_ms = max(held.worst_ms, int(first_token_ms) or 1)
        self._admit_waiters(held, now_ms)

    async def step(self) -> None:
        """Does what is due and waits for the answers."""
        self.tick()
        while self._asking:
            await asyncio.gather(*self._asking.values(), return_exceptions=True)

    def tick(self) -> None:
        """Starts what is due: renewals, polls, revocations, deadlines."""
        now_ms = self.clock.now_ms()
        for upstream, holders in self.issuer.step().items():
            for holder in holders:
                self._revoke(holder, upstream)
        owners: dict[str, interfaces.Entry] = {}
        for id, held in list(self._held.items()):
            self._expire_waiters(held, now_ms)
            if held.is_idle(now_ms, self.settings):
                del self._held[id]
            elif held.is_due(now_ms, self.settings):
                owner = self._owner(id)
                owners[owner.start_id] = owner
        for owner in owners.values():
            self._ask(owner)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.clock.sleep_ms(self.settings.poll_ms)

    async def on_stop(self) -> None:
        """Refuses what waits and ends the messages under way."""
        for held in self._held.values():
            self._refuse_waiters(held, "the entry stops")
        tasks = list(self._asking.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _hold(
        self, upstream: interfaces.Upstream, now_ms: int
    ) -> held_permits.HeldPermits:
        held = self._held.get(upstream.id)
        if held is None:
            held = self._held[upstream.id] = held_permits.HeldPermits(
                upstream, now_ms
            )
        elif held.upstream is not upstream:
            if held.upstream.start_id != upstream.start_id:
                held.tag = messages.start_tag(upstream.start_id)
                held.clear_grant()
                # Requests in flight at the process before have ended there;
                # counting them until they are closed errs to the safe side.
            held.upstream = upstream
        return held

    def _on_eligible(self, service: str) -> None:
        """Voids permits of upstreams that restarted or may get no work."""
        upstreams = {u.id: u for u in self.eligible.upstreams(service)}
        now_ms = self.clock.now_ms()
        for id, held in self._held.items():
            if held.upstream.service != service:
                continue
            upstream = upstreams.get(id)
            if upstream is not None:
                self._hold(upstream, now_ms)
            else:
                held.clear_grant()
                self._refuse_waiters(held, "the upstream may get no more work")

    def _room(self, held: held_permits.HeldPermits, now_ms: int) -> int:
        return held.room(
            self.eligible.load(held.upstream.id),
            now_ms,
            self.settings.view_max_age_ms,
        )

    def _owner(self, upstream: str) -> interfaces.Entry:
        view = self.membership.view_digest()
        if view != self._owners_view:
            self._owners_view = view
            self._owners = {}
        owner = self._owners.get(upstream)
        if owner is None:
            owner = ownership.owner_of(upstream, self.membership.live())
            self._owners[upstream] = owner
        return owner

    def _ask(self, owner: interfaces.Entry) -> None:
        if owner.start_id not in self._asking:
            self._asking[owner.start_id] = (
                asyncio.get_running_loop().create_task(self._ask_owner(owner))
            )

    async def _ask_owner(self, owner: interfaces.Entry) -> None:
        try:
            # Requests that arrive in the same turn of the loop share one
            # message; those that arrive while it is under way the next.
            await clocks.next_turn()
            for _ in range(_MAX_EXCHANGES):
                now_ms = self.clock.now_ms()
                due = [
                    held
                    for id, held in self._held.items()
                    if held.is_due(now_ms, self.settings)
                    and self._owner(id) == owner
                ]
                if not due:
                    return
                await self._exchange(owner, due, now_ms)
        finally:
            del self._asking[owner.start_id]

    async def _exchange(
        self,
        owner: interfaces.Entry,
        due: list[held_permits.HeldPermits],
        now_ms: int,
    ) -> None:
        by_service: dict[str, list[messages.PermitRequest]] = {}
        for held in due:
            by_service.setdefault(held.upstream.service, []).append(
                held.next_request(now_ms, self.settings)
            )
        self._sequence += 1
        sequence = self._sequence
        me = self.membership.me.start_id
        answer: dict[str, messages.Grant | None] = {}
        if owner.start_id == me:
            for service, lines in by_service.items():
                answer.update(self.issuer.handle(me, sequence, service, lines))
        else:
            body = [
                sequence,
                {
                    s: messages.encode_requests(lines)
                    for s, lines in by_service.items()
                },
            ]
            try:
                data = await self.transport.request(
                    owner.start_id,
                    KIND,
                    body,
                    self.settings.request_timeout_ms,
                )
                answer = messages.decode_grants(data)
            except (interfaces.PeerError, ValueError):
                answer = {}
        sent = {r.upstream: r for lines in by_service.values() for r in lines}
        for held in due:
            id = held.upstream.id
            self._apply_grant(held, sent[id], answer.get(id), now_ms)

    def _apply_grant(
        self,
        held: held_permits.HeldPermits,
        request: messages.PermitRequest,
        grant: messages.Grant | None,
        sent_ms: int,
    ) -> None:
        """Applies an owner's answer; it is valid from when it was asked."""
        now_ms = self.clock.now_ms()
        if grant is None:
            held.no_owner = True
        else:
            held.no_owner = False
            held.done -= request.done
            held.failed -= request.failed
            held.worst_ms = 0
            # The tag may have changed while the answer was under way.
            if grant.tag == held.tag:
                # The owner counts the larger permit until it hears that the
                # smaller one has arrived.
                held.urgent = grant.count < held.granted
                held.granted = grant.count
                held.valid_until_ms = sent_ms + self.settings.permit_ttl_ms
                held.last_share = grant.count
                held.was_warm = not grant.cold
                held.contended = grant.contended
                if grant.contended:
                    held.contended_ms = now_ms
            else:
                held.clear_grant()
        self._admit_waiters(held, now_ms)
        if grant is None:
            self._refuse_waiters(
                held, "no owner grants permits of the upstream"
            )
            # The next periodic step asks again, not this one.
            held.urgent = False

    def _admit_waiters(
        self, held: held_permits.HeldPermits, now_ms: int
    ) -> None:
        while held.waiters and self._room(held, now_ms) > 0:
            _, waiter = held.waiters.popleft()
            if not waiter.done():
                held.in_flight += 1
                waiter.set_result(held_permits.Permit(held, self.release))
        if held.waiters or held.in_flight >= held.granted:
            return
        # Others wait for what is left, so it goes back before it expires.
        if held.contended or not held.was_warm:
            held.urgent = held.granted > held.want(
                now_ms, self.settings.idle_ms
            )

    def _expire_waiters(
        self, held: held_permits.HeldPermits, now_ms: int
    ) -> None:
        if not held.waiters:
            return
        waiting = [w for w in held.waiters if not w[1].done()]
        held.waiters = collections.deque(w for w in waiting if w[0] > now_ms)
        for deadline_ms, waiter in waiting:
            if deadline_ms <= now_ms:
                waiter.set_result(_refusal("no permit came in time", 100))

    def _refuse_waiters(
        self, held: held_permits.HeldPermits, message: str
    ) -> None:
        while held.waiters:
            _, waiter = held.waiters.popleft()
            if not waiter.done():
                waiter.set_result(_refusal(message, 1_000))

    def _revoke(self, holder: str, upstream: str) -> None:
        if holder == self.membership.me.start_id:
            self._revoked(upstream)
        else:
            self.transport.send(holder, KIND, [0, [upstream]])

    def _revoked(self, upstream: str) -> None:
        held = self._held.get(upstream)
        if held is not None:
            held.clear_grant()
            held.urgent = True

    async def _on_message(self, peer: interfaces.Entry, body: Any) -> Any:
        try:
            sequence, content = body
            if sequence == 0:
                for upstream in content:
                    self._revoked(upstream)
                return None
            result: dict[str, list[Any] | None] = {}
            for service, data in content.items():
                answer = self.issuer.handle(
                    peer.start_id,
                    sequence,
                    service,
                    messages.decode_requests(data),
                )
                result.update(messages.encode_grants(answer))
            return result
        except (TypeError, ValueError, AttributeError) as error:
            raise interfaces.PeerError("malformed permit message") from error


def _refusal(message: str, retry_after_ms: int) -> outcome.Refusal:
    return outcome.Refusal(
        reason=outcome.Reason.NO_CAPACITY,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        retry_after_ms=retry_after_ms,
    )
