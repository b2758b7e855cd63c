"""Where the state comes from at start, and after records have expired."""

import dataclasses
from typing import Any

import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import interfaces
from oleanderbay.process.membership import membership
from oleanderbay.version import catalogue, checkpoint, records

PAGE_RECORDS = 512
READ_TIMEOUT_MS = 1_500
# Reads of one page, as answers may leave out records.
MAX_PAGE_READS = 16
PEER_TIMEOUT_MS = 1_000
# Snapshots asked from one peer at a time and at most from this many.
MAX_PEERS = 3


class NoStateError(Exception):
    """Neither the log nor any peer has a complete state."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """What a peer offers.

    Attributes:
        start_id: The peer.
        offset: Offset that its state covers.
        digest: Digest of the state.
        parts: Number of parts.
    """

    start_id: str
    offset: int
    digest: str
    parts: int


class Bootstrap:
    """Loads the newest state from the log or, without it, from peers."""

    def __init__(
        self,
        log: native.LogService,
        transport: interfaces.PeerTransport,
        members: membership.Membership,
    ) -> None:
        self._log_service = log
        self._transport = transport
        self._members = members
        self._log = structlog.get_logger("bootstrap")

    async def load(
        self, current: catalogue.Catalogue | None = None
    ) -> catalogue.Catalogue:
        """Returns a state newer than the current one.

        Raises:
            NoStateError: There is none; an entry without a state must not
                serve.
        """
        try:
            state = await self.from_log()
        except native.PlatformError as error:
            self._log.warning("no state from the log", error=str(error))
            state = None
        if state is not None and _is_newer(state, current):
            return state
        state = await self.from_peers()
        if state is not None and _is_newer(state, current):
            return state
        raise NoStateError("no checkpoint in the log and no peer's snapshot")

    async def recover(
        self, current: catalogue.Catalogue
    ) -> catalogue.Catalogue | None:
        """Returns a state newer than the current one, or None."""
        try:
            return await self.load(current)
        except NoStateError as error:
            self._log.error("state can't be recovered", error=str(error))
            return None

    async def from_log(self) -> catalogue.Catalogue | None:
        """Returns the last complete checkpoint whose tail is still held.

        The log is read backwards, so that a start costs the distance to the
        last checkpoint and not the whole retention.

        Raises:
            PlatformError: The log could not be read.
        """
        first, end = await self._bounds()
        parts: dict[tuple[int, str, int], dict[int, bytes]] = {}
        stop = end
        while stop > first:
            start = max(first, stop - PAGE_RECORDS)
            for record in await self._read_all(start, stop):
                _collect(parts, record.data)
            state = _complete(parts, first)
            if state is not None:
                return state
            stop = start
        # With all records still there, the state begins empty.
        return catalogue.Catalogue.empty() if first == 1 else None

    async def from_peers(self) -> catalogue.Catalogue | None:
        """Returns the newest snapshot of the peers that are heard from."""
        offers = []
        for entry in self._members.live():
            if entry.start_id == self._members.me.start_id:
                continue
            try:
                answer = await self._transport.request(
                    entry.start_id, "snapshot", [], PEER_TIMEOUT_MS
                )
                offers.append(_offer(entry.start_id, answer))
            except interfaces.PeerError as error:
                self._log.info("no snapshot", peer=entry.id, error=str(error))
        offers.sort(key=lambda offer: offer.offset, reverse=True)
        for offer in offers[:MAX_PEERS]:
            state = await self._fetch(offer)
            if state is not None:
                return state
        return None

    async def from_peer(self, start_id: str) -> catalogue.Catalogue | None:
        """Returns the snapshot of one peer."""
        try:
            answer = await self._transport.request(
                start_id, "snapshot", [], PEER_TIMEOUT_MS
            )
            return await self._fetch(_offer(start_id, answer))
        except interfaces.PeerError as error:
            self._log.info("no snapshot", peer=start_id, error=str(error))
            return None

    async def _fetch(self, offer: Snapshot) -> catalogue.Catalogue | None:
        parts = []
        try:
            for index in range(offer.parts):
                part = await self._transport.request(
                    offer.start_id,
                    "snapshot",
                    [offer.offset, index],
                    PEER_TIMEOUT_MS,
                )
                if not isinstance(part, bytes):
                    raise interfaces.PeerError("a part must be bytes")
                parts.append(part)
            state = checkpoint.load(parts)
        except (interfaces.PeerError, checkpoint.CheckpointError) as error:
            self._log.warning(
                "snapshot failed", peer=offer.start_id, error=str(error)
            )
            return None
        if (state.offset, state.digest) != (offer.offset, offer.digest):
            self._log.warning("snapshot differs", peer=offer.start_id)
            return None
        return state

    async def _bounds(self) -> tuple[int, int]:
        try:
            page = await self._read(1, 1)
        except native.RecordsExpiredError as error:
            page = await self._read(error.first, 1)
        return page.first, page.end

    async def _read_all(self, start: int, stop: int) -> list[native.LogRecord]:
        found: dict[int, native.LogRecord] = {}
        for _ in range(MAX_PAGE_READS):
            missing = next((o for o in range(start, stop) if o not in found), 0)
            if not missing:
                return [found[offset] for offset in range(start, stop)]
            page = await self._read(missing, stop - missing)
            found.update((record.offset, record) for record in page.records)
        raise native.PlatformUnknownError(
            f"the log leaves out records from {start} to {stop - 1}"
        )

    async def _read(self, start: int, limit: int) -> native.LogPage:
        return await self._log_service.read(
            records.STREAM, start, limit, 0, READ_TIMEOUT_MS
        )


def _is_newer(
    state: catalogue.Catalogue, current: catalogue.Catalogue | None
) -> bool:
    return current is None or state.offset > current.offset


def _collect(
    parts: dict[tuple[int, str, int], dict[int, bytes]], data: bytes
) -> None:
    # Decoding a record costs far more than this test, and most are no
    # checkpoints.
    if b"checkpoint" not in data:
        return
    part = checkpoint.read_part(data)
    if part is not None:
        key = (part.offset, part.digest, part.parts)
        parts.setdefault(key, {})[part.part] = data


def _complete(
    parts: dict[tuple[int, str, int], dict[int, bytes]], first: int
) -> catalogue.Catalogue | None:
    for offset, digest, count in sorted(parts, reverse=True):
        found = parts[offset, digest, count]
        if len(found) < count or offset + 1 < first:
            continue
        try:
            return checkpoint.load(found.values())
        except checkpoint.CheckpointError:
            continue
    return None


def _offer(start_id: str, answer: Any) -> Snapshot:
    if (
        not isinstance(answer, list)
        or [type(field) for field in answer[:3]] != [int, str, int]
        or not 0 < answer[2] <= 10_000
    ):
        raise interfaces.PeerError("a malformed offer of a snapshot")
    return Snapshot(
        start_id=start_id,
        offset=answer[0],
        digest=answer[1],
        parts=answer[2],
    )
