"""Callers that check what they get, as load for a fleet."""

import dataclasses
import hashlib
import json
from collections.abc import Mapping

import aiohttp

from oleanderbay.checks import records as checks
from oleanderbay.process import clock as clocks
from oleanderbay.standins import tokens


@dataclasses.dataclass(slots=True, kw_only=True)
class Reply:
    """What one call brought.

    Attributes:
        request: Id that the system gave to it.
        status: HTTP status; 0 if there was none.
        outcome: What the system said about it.
        complete: Whether the answer was presented as complete.
        body: The answer.
        first_ms: Time to the first byte of the body.
    """

    request: str = ""
    status: int = 0
    outcome: str = "unknown"
    complete: bool = False
    body: bytes = b""
    first_ms: int = 0


class Caller:
    """Finds an entry by its address answer and sends calls to it.

    Attributes:
        seen: Records of all answers, for the checks.
        first_ms: Times to the first token of complete streams.
        failures: Streams that did not come to their end, with the reason.
    """

    def __init__(
        self,
        seeds: list[str],
        headers: Mapping[str, str],
        clock: clocks.Clock,
        zone: str = "",
    ) -> None:
        """Makes a caller.

        Args:
            seeds: Addresses to ask first.
            headers: Headers of every call.
            clock: Time.
            zone: The caller's own zone.
        """
        self.seeds = seeds
        self.headers = dict(headers)
        self.clock = clock
        self.zone = zone
        self.seen: list[checks.Record] = []
        self.first_ms: list[tuple[int, int]] = []
        self.failures: list[str] = []
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self.addresses: list[str] = []
        self.ticket = ""
        self.until_ms = -1

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()

    async def find(self) -> list[str]:
        """Returns addresses to try in order, from the last answer if fresh."""
        if self.clock.now_ms() < self.until_ms:
            return self.addresses
        for address in [*self.addresses, *self.seeds]:
            try:
                async with self.session.get(
                    f"http://{address}/v1/addresses?zone={self.zone}"
                ) as answer:
                    found = await answer.json()
            except (aiohttp.ClientError, OSError, ValueError):
                continue
            known = found["addresses"] + found["fallbacks"]
            if known:
                self.addresses = known
                self.ticket = found["ticket"]
                self.until_ms = self.clock.now_ms() + found["ttl_ms"]
                break
        return self.addresses or self.seeds

    async def stream(self, prompt: str, count: int) -> Reply:
        """Streams one completion and checks it against what was due."""
        reply = await self._until_run(
            "/v1/completions",
            json.dumps(
                {
                    "model": self.headers["model"],
                    "prompt": prompt,
                    "max_tokens": count,
                    "stream": True,
                }
            ).encode(),
            {},
        )
        text = b"".join(_texts(reply.body))
        due = tokens.answer(prompt, count).encode()
        self._note(reply, _digest(text), _digest(due))
        if reply.complete and text == due:
            self.first_ms.append((self.clock.now_ms(), reply.first_ms))
        else:
            self.failures.append(
                f"{reply.request}: status {reply.status}, {reply.outcome}, "
                f"{reply.body[-300:]!r}"
            )
        return reply

    async def call(
        self, service: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> Reply:
        """Calls a plain service once, without any retry of its own."""
        addresses = await self.find()
        reply = await self._once(
            addresses[0], f"/s/{service}/{path}", body, headers
        )
        self._note(reply, "", "")
        return reply

    async def _until_run(
        self, path: str, body: bytes, headers: Mapping[str, str]
    ) -> Reply:
        """Tries further addresses while a call is refused as not run."""
        reply = Reply()
        for _ in range(10):
            for address in await self.find():
                reply = await self._once(address, path, body, headers)
                if reply.outcome != "not-run":
                    return reply
                if reply.request:
                    self._note(reply, "", "")
            self.until_ms = -1
            await self.clock.sleep_ms(200)
        return reply

    async def _once(
        self, address: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> Reply:
        reply = Reply()
        begun_ms = self.clock.now_ms()
        sent = {k: v for k, v in self.headers.items() if k != "model"}
        try:
            async with self.session.post(
                f"http://{address}{path}",
                data=body,
                headers={**sent, **headers},
            ) as answer:
                reply.request = answer.headers["Oleanderbay-Request-Id"]
                reply.outcome = answer.headers["Oleanderbay-Outcome"]
                reply.status = answer.status
                async for part in answer.content.iter_any():
                    if not reply.first_ms:
                        reply.first_ms = self.clock.now_ms() - begun_ms
                    reply.body += part
            streamed = "event-stream" in answer.headers.get("Content-Type", "")
            reply.complete = reply.outcome == "answered" and (
                not streamed or reply.body.endswith(b"data: [DONE]\n\n")
            )
        except aiohttp.ClientConnectorError:
            reply.outcome = "not-run"
        except (TimeoutError, aiohttp.ClientError, OSError, KeyError):
            reply.outcome = "unknown"
        return reply

    def _note(self, reply: Reply, received: str, produced: str) -> None:
        self.seen.append(
            checks.CallerAnswered(
                at_ms=self.clock.wall_ms(),
                request=reply.request,
                outcome=reply.outcome,
                complete=reply.complete,
                received=received,
                produced=produced,
            )
        )


def _texts(body: bytes) -> list[bytes]:
    found = []
    for line in body.split(b"\n"):
        if line.startswith(b"data: {"):
            event = json.loads(line[6:])
            for choice in event.get("choices", ()):
                found.append(choice.get("text", "").encode())
    return found


def _digest(text: bytes) -> str:
    return hashlib.sha256(text).hexdigest()[:16]
