"""Comparison of catalogue digests at equal offsets."""

import collections

# Offsets that are remembered; heartbeats come every 500 ms and an entry that
# is further behind than this is not compared.
MAX_OFFSETS = 1_024


class DivergenceCheck:
    """Finds out whether this entry's state differs from that of its peers.

    Attributes:
        diverged_at: Offset at which two agreeing peers, and more peers than
            agree with this entry, have another digest; None if there is none.
    """

    def __init__(self) -> None:
        self.diverged_at: int | None = None
        self._mine: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._theirs: collections.OrderedDict[int, dict[str, str]] = (
            collections.OrderedDict()
        )

    def note_mine(self, offset: int, digest: str) -> None:
        """Tells this entry's digest at an offset."""
        self._mine[offset] = digest
        if len(self._mine) > MAX_OFFSETS:
            self._mine.popitem(last=False)
        self._compare(offset)

    def note_peer(self, start_id: str, offset: int, digest: str) -> None:
        """Tells a peer's digest at an offset."""
        self._theirs.setdefault(offset, {})[start_id] = digest
        if len(self._theirs) > MAX_OFFSETS:
            self._theirs.popitem(last=False)
        self._compare(offset)

    def _compare(self, offset: int) -> None:
        mine, theirs = self._mine.get(offset), self._theirs.get(offset)
        if mine is None or theirs is None:
            return
        counts = collections.Counter(theirs.values())
        agreeing = 1 + counts.pop(mine, 0)
        others = max(counts.values(), default=0)
        if others >= 2 and others > agreeing:
            self.diverged_at = offset
        elif (
            self.diverged_at is not None
            and offset >= self.diverged_at
            and agreeing >= 2
            and agreeing > others
        ):
            # The peers that were heard first were themselves a minority.
            self.diverged_at = None
