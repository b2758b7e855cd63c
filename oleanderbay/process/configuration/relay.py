"""Records and snapshots between entries.

An entry whose own reads of the log fail, or that is not to read it, asks a
peer that is ahead. Records are pulled, not pushed, so that each crosses to an
entry once and none is sent to entries that read the log.
"""

import asyncio
import random
from typing import Any

import mode
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import bootstrap
from oleanderbay.process.configuration import follower as followers
from oleanderbay.process.membership import membership
from oleanderbay.version import catalogue, checkpoint

REQUEST_TIMEOUT_MS = 500
MAX_RECORDS = 512
MAX_BYTES = 512 * 1024
# Time that the own read of the log gets before a peer is asked.
DIRECT_GRACE_MS = 300
RETRY_MS = 100
# Time for which a snapshot that a peer is fetching is kept.
SNAPSHOT_MS = 30_000


class Relay(mode.Service):
    """Answers peers' requests and pulls what this entry lacks.

    Attributes:
        pulled: Records taken from peers.
        served_bytes: Bytes of records given to peers.
    """

    def __init__(
        self,
        follower: followers.Follower,
        transport: interfaces.PeerTransport,
        members: membership.Membership,
        loader: bootstrap.Bootstrap,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.pulled = 0
        self.served_bytes = 0
        self._follower = follower
        self._transport = transport
        self._members = members
        self._loader = loader
        self._clock = clock
        self._rng = rng
        self._ahead = asyncio.Event()
        self._snapshots: dict[int, tuple[int, str, list[bytes]]] = {}
        self._log = structlog.get_logger("relay")
        transport.register("records", self._give_records)
        transport.register("snapshot", self._give_snapshot)

    def note_peer(self, state: membership.PeerState) -> None:
        """Wakes the pull if a peer is ahead."""
        if state.heartbeat.offset > self._follower.current.offset:
            self._ahead.set()

    @mode.Service.task
    async def _pull(self) -> None:
        while not self.should_stop:
            await self._ahead.wait()
            self._ahead.clear()
            if self._follower.reachable:
                target = self._follower.current.offset
                await self._clock.sleep_ms(DIRECT_GRACE_MS)
                if self._follower.current.offset > target:
                    # The own read works; the rest is on its way.
                    self._ahead_again()
                    continue
            await self.pull_once()
            self._ahead_again()
            if self._ahead.is_set():
                await self._clock.sleep_ms(RETRY_MS)

    def _ahead_again(self) -> None:
        if self._ahead_peers():
            self._ahead.set()

    async def pull_once(self) -> bool:
        """Asks peers that are ahead, one after the other.

        Returns:
            Whether this entry moved forward.
        """
        candidates = self._ahead_peers()
        self._rng.shuffle(candidates)
        zone = self._members.me.zone
        candidates.sort(key=lambda state: state.entry.zone != zone)
        before = self._follower.current.offset
        for state in candidates:
            try:
                await self._pull_from(state)
            except interfaces.PeerError as error:
                self._log.info(
                    "pull failed", peer=state.entry.id, error=str(error)
                )
            if self._follower.current.offset > before:
                return True
        return False

    def _ahead_peers(self) -> list[membership.PeerState]:
        offset = self._follower.current.offset
        return [
            state
            for state in self._members.heard()
            if state.heartbeat.offset > offset
        ]

    async def _pull_from(self, state: membership.PeerState) -> None:
        start_id = state.entry.start_id
        start = self._follower.current.offset + 1
        answer = await self._transport.request(
            start_id, "records", [start, MAX_RECORDS], REQUEST_TIMEOUT_MS
        )
        if answer is None:
            newer = await self._loader.from_peer(start_id)
            if newer is not None:
                self._follower.install(newer)
            return
        self.pulled += await self._follower.catch_up(_records(answer))

    async def _give_records(self, entry: interfaces.Entry, body: Any) -> Any:
        if (
            not isinstance(body, list)
            or len(body) < 2
            or any(type(field) is not int for field in body[:2])
        ):
            raise interfaces.PeerError("expected [start, limit]")
        start, limit = body[:2]
        found = self._follower.recent(
            max(1, start), min(max(1, limit), MAX_RECORDS), MAX_BYTES
        )
        if found is None:
            return None
        self.served_bytes += sum(len(record.data) for record in found)
        return [[record.offset, record.data] for record in found]

    async def _give_snapshot(self, entry: interfaces.Entry, body: Any) -> Any:
        self._drop_snapshots()
        if body == []:
            return self._offer_snapshot(self._follower.current)
        if (
            not isinstance(body, list)
            or len(body) < 2
            or any(type(field) is not int for field in body[:2])
        ):
            raise interfaces.PeerError("expected [] or [offset, part]")
        offset, index = body[:2]
        if offset not in self._snapshots:
            raise interfaces.PeerError(f"no snapshot of offset {offset}")
        _, _, parts = self._snapshots[offset]
        if not 0 <= index < len(parts):
            raise interfaces.PeerError(f"no part {index}")
        return parts[index]

    def _offer_snapshot(self, state: catalogue.Catalogue) -> list[Any]:
        if state.offset == 0:
            raise interfaces.PeerError("no state yet")
        if state.offset not in self._snapshots:
            parts = checkpoint.dump(state, self._members.me.start_id)
            self._snapshots[state.offset] = (
                self._clock.now_ms(),
                state.digest,
                parts,
            )
        _, digest, parts = self._snapshots[state.offset]
        return [state.offset, digest, len(parts)]

    def _drop_snapshots(self) -> None:
        # One at a time: a snapshot is as large as the state.
        oldest_ms = self._clock.now_ms() - SNAPSHOT_MS
        newest = max(self._snapshots, default=0)
        for offset, (made_ms, _, _) in list(self._snapshots.items()):
            if made_ms < oldest_ms or offset < newest:
                del self._snapshots[offset]


def _records(answer: Any) -> list[native.LogRecord]:
    if not isinstance(answer, list):
        raise interfaces.PeerError("malformed records")
    records = []
    for item in answer:
        if (
            not isinstance(item, list)
            or len(item) != 2
            or type(item[0]) is not int
            or type(item[1]) is not bytes
        ):
            raise interfaces.PeerError("malformed records")
        records.append(native.LogRecord(item[0], item[1]))
    return records
