"""The ids of the requests that were sent to workers last."""

import collections

import xxhash


class RecentIds:
    """Remembers a limited number of ids, the most recent ones.

    Attributes:
        capacity: Number of ids that are remembered.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        # Hashes take less memory than the ids, which callers choose.
        self._hashes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def add(self, request_id: str) -> bool:
        """Remembers an id; returns whether it was not remembered before."""
        hashed = xxhash.xxh64_intdigest(
            request_id.encode("utf-8", "surrogateescape")
        )
        is_new = hashed not in self._hashes
        self._hashes[hashed] = None
        self._hashes.move_to_end(hashed)
        if len(self._hashes) > self.capacity:
            self._hashes.popitem(last=False)
        return is_new
