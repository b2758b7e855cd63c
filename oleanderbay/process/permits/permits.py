"""Acquires permits for upstreams and exchanges permit messages with peers."""

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

MESSAGE_KIND = "permit"

# Maximum number of consecutive exchanges with one owner. Requests that are due
# after that are sent at the next tick.
_MAX_CONSECUTIVE_EXCHANGES = 4


class Permits(mode.Service):
    """Acquires permits from upstream owners and grants permits to holders.

    Attributes:
        issuer: Grants permits for the upstreams that this entry owns.
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
        self._owners_digest = ""
        self._sequence = 0
        self._exchange_tasks: dict[str, asyncio.Task[None]] = {}
        transport.register(MESSAGE_KIND, self._on_message)
        eligible.on_change(self._on_upstreams_changed)

    async def acquire(
        self, upstream: interfaces.Upstream, deadline_ms: int
    ) -> held_permits.Permit | outcome.Refusal:
        """Waits for a permit to send one request to an upstream.

        Args:
            upstream: The upstream to send to.
            deadline_ms: Monotonic time at which the wait ends.

        Returns:
            A permit that the caller must close, or a refusal. After a refusal
            nothing was sent, so another upstream may be tried.
        """
        now_ms = self.clock.now_ms()
        held = self._track(upstream, now_ms)
        held.last_used_ms = now_ms
        if not held.waiters and self._available(held, now_ms) > 0:
            held.in_flight += 1
            return held_permits.Permit(held, self.release)
        waiter: asyncio.Future[held_permits.Permit | outcome.Refusal] = (
            asyncio.get_running_loop().create_future()
        )
        held.waiters.append((deadline_ms, waiter))
        held.request_now = True
        self._start_exchange(self._owner_of(upstream.id))
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                result = waiter.result()
                if isinstance(result, held_permits.Permit):
                    result.close()
            raise

    def available_permits(self, upstream: interfaces.Upstream) -> int:
        """Returns how many requests may start without asking the owner.

        The value is negative if more requests wait than permits are left.
        """
        held = self._held.get(upstream.id)
        if held is None:
            return 0
        if held.upstream.start_id != upstream.start_id:
            return 0
        available = self._available(held, self.clock.now_ms())
        return available - len(held.waiters)

    def in_flight(self, upstream: str) -> int:
        """Returns how many requests of this entry hold a permit."""
        held = self._held.get(upstream)
        return held.in_flight if held else 0

    def release(
        self,
        held: held_permits.HeldPermits,
        first_token_ms: float,
        failed: bool,
    ) -> None:
        """Releases a permit; called by `held_permits.Permit.close`."""
        now_ms = self.clock.now_ms()
        held.in_flight -= 1
        held.total_ended += 1
        held.last_used_ms = now_ms
        if first_token_ms > 0 or failed:
            held.succeeded += not failed
            held.failed += failed
            held.max_first_token_ms = max(
                held.max_first_token_ms, int(first_token_ms) or 1
            )
        self._admit_waiters(held, now_ms)

    async def step(self) -> None:
        """Runs one tick and waits until its exchanges have ended."""
        self.tick()
        while self._exchange_tasks:
            await asyncio.gather(
                *self._exchange_tasks.values(), return_exceptions=True
            )

    def tick(self) -> None:
        """Revokes permits, expires waiters and starts the exchanges due."""
        now_ms = self.clock.now_ms()
        for upstream, holders in self.issuer.collect_revocations().items():
            for holder in holders:
                self._revoke(holder, upstream)
        owners: dict[str, interfaces.Entry] = {}
        for id, held in list(self._held.items()):
            self._expire_waiters(held, now_ms)
            if held.is_idle(now_ms, self.settings):
                del self._held[id]
            elif held.is_request_due(now_ms, self.settings):
                owner = self._owner_of(id)
                owners[owner.start_id] = owner
        for owner in owners.values():
            self._start_exchange(owner)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.clock.sleep_ms(self.settings.poll_ms)

    async def on_stop(self) -> None:
        """Refuses the waiting requests and cancels running exchanges."""
        for held in self._held.values():
            self._refuse_waiters(held, "the entry stops")
        tasks = list(self._exchange_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _track(
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
                # Requests in flight at the previous process ended with it.
                # They count until they are closed, which can only lower the
                # number of new requests.
            held.upstream = upstream
        return held

    def _on_upstreams_changed(self, service: str) -> None:
        """Clears grants of upstreams that restarted or are not eligible."""
        upstreams = {u.id: u for u in self.eligible.upstreams(service)}
        now_ms = self.clock.now_ms()
        for id, held in self._held.items():
            if held.upstream.service != service:
                continue
            upstream = upstreams.get(id)
            if upstream is not None:
                self._track(upstream, now_ms)
            else:
                held.clear_grant()
                self._refuse_waiters(held, "the upstream may get no more work")

    def _available(self, held: held_permits.HeldPermits, now_ms: int) -> int:
        return held.available(
            self.eligible.load(held.upstream.id),
            now_ms,
            self.settings.view_max_age_ms,
        )

    def _owner_of(self, upstream: str) -> interfaces.Entry:
        digest = self.membership.view_digest()
        if digest != self._owners_digest:
            self._owners_digest = digest
            self._owners = {}
        owner = self._owners.get(upstream)
        if owner is None:
            owner = ownership.owner_of(upstream, self.membership.live())
            self._owners[upstream] = owner
        return owner

    def _start_exchange(self, owner: interfaces.Entry) -> None:
        if owner.start_id not in self._exchange_tasks:
            self._exchange_tasks[owner.start_id] = (
                asyncio.get_running_loop().create_task(
                    self._run_exchanges(owner)
                )
            )

    async def _run_exchanges(self, owner: interfaces.Entry) -> None:
        try:
            # Requests that arrive in the same iteration of the event loop share
            # one message. Those that arrive during the exchange share the next.
            await clocks.next_turn()
            for _ in range(_MAX_CONSECUTIVE_EXCHANGES):
                now_ms = self.clock.now_ms()
                due = [
                    held
                    for id, held in self._held.items()
                    if held.is_request_due(now_ms, self.settings)
                    and self._owner_of(id) == owner
                ]
                if not due:
                    return
                await self._exchange(owner, due, now_ms)
        finally:
            del self._exchange_tasks[owner.start_id]

    async def _exchange(
        self,
        owner: interfaces.Entry,
        due: list[held_permits.HeldPermits],
        now_ms: int,
    ) -> None:
        by_service: dict[str, list[messages.PermitRequest]] = {}
        for held in due:
            by_service.setdefault(held.upstream.service, []).append(
                held.build_request(now_ms, self.settings)
            )
        self._sequence += 1
        sequence = self._sequence
        own_id = self.membership.me.start_id
        reply: dict[str, messages.Grant | None] = {}
        if owner.start_id == own_id:
            for service, requests in by_service.items():
                reply.update(
                    self.issuer.handle_requests(
                        own_id, sequence, service, requests
                    )
                )
        else:
            body = [
                sequence,
                {
                    service: messages.encode_requests(requests)
                    for service, requests in by_service.items()
                },
            ]
            try:
                data = await self.transport.request(
                    owner.start_id,
                    MESSAGE_KIND,
                    body,
                    self.settings.request_timeout_ms,
                )
                reply = messages.decode_grants(data)
            except (interfaces.PeerError, ValueError):
                reply = {}
        sent = {
            request.upstream: request
            for requests in by_service.values()
            for request in requests
        }
        for held in due:
            id = held.upstream.id
            self._apply_grant(held, sent[id], reply.get(id), now_ms)

    def _apply_grant(
        self,
        held: held_permits.HeldPermits,
        request: messages.PermitRequest,
        grant: messages.Grant | None,
        sent_ms: int,
    ) -> None:
        """Applies an owner's reply to a request.

        The validity period starts when the request was sent, so it never ends
        later than the owner assumes.
        """
        now_ms = self.clock.now_ms()
        if grant is None:
            held.no_owner = True
        else:
            held.no_owner = False
            held.succeeded -= request.succeeded
            held.failed -= request.failed
            held.max_first_token_ms = 0
            # The upstream may have restarted during the exchange.
            if grant.tag == held.tag:
                # The owner counts the larger grant until the next request
                # confirms the smaller one.
                held.request_now = grant.count < held.granted
                held.granted = grant.count
                held.valid_until_ms = sent_ms + self.settings.permit_ttl_ms
                held.last_share = grant.count
                held.was_warm = not grant.cold
                held.contended = grant.contended
                if grant.contended:
                    held.last_contended_ms = now_ms
            else:
                held.clear_grant()
        self._admit_waiters(held, now_ms)
        if grant is None:
            self._refuse_waiters(
                held, "no owner grants permits of the upstream"
            )
            # Wait for the next periodic request instead of retrying at once.
            held.request_now = False

    def _admit_waiters(
        self, held: held_permits.HeldPermits, now_ms: int
    ) -> None:
        while held.waiters and self._available(held, now_ms) > 0:
            _, waiter = held.waiters.popleft()
            if not waiter.done():
                held.in_flight += 1
                waiter.set_result(held_permits.Permit(held, self.release))
        if held.waiters or held.in_flight >= held.granted:
            return
        # Other holders wait for permits, or the upstream is cold: return the
        # surplus at once instead of keeping it until it expires.
        if held.contended or not held.was_warm:
            held.request_now = held.granted > held.wanted(
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
            self._void(upstream)
        else:
            self.transport.send(holder, MESSAGE_KIND, [0, [upstream]])

    def _void(self, upstream: str) -> None:
        held = self._held.get(upstream)
        if held is not None:
            held.clear_grant()
            held.request_now = True

    async def _on_message(self, peer: interfaces.Entry, body: Any) -> Any:
        try:
            sequence, content = body
            if sequence == 0:
                for upstream in content:
                    self._void(upstream)
                return None
            result: dict[str, list[Any] | None] = {}
            for service, data in content.items():
                grants = self.issuer.handle_requests(
                    peer.start_id,
                    sequence,
                    service,
                    messages.decode_requests(data),
                )
                result.update(messages.encode_grants(grants))
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
