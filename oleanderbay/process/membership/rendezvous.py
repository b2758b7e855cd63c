"""The order of preference by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def ranked(key: str, ids: Iterable[str]) -> list[str]:
    """Returns ids by rendezvous hashing for a key, the preferred one first."""
    return sorted(
        ids,
        key=lambda id: (xxhash.xxh64_intdigest(f"{key}\0{id}".encode()), id),
        reverse=True,
    )
