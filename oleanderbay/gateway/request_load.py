"""Requests in flight at workers, summed over all gateways."""

import collections
from collections.abc import Collection, Mapping


class RequestLoad:
    """Counts requests in flight.

    Attributes:
        own_counts: Requests of this gateway by worker id.
        peer_counts: Requests of the peers by worker id.
    """

    def __init__(self) -> None:
        self.own_counts: collections.Counter[str] = collections.Counter()
        self.peer_counts: collections.Counter[str] = collections.Counter()
        # Counts by peer or zone, with the number of gateways that they cover.
        self._by_peer: dict[str, tuple[Mapping[str, int], int]] = {}

    def record_start(self, worker_id: str) -> None:
        """Counts a request in flight at a worker."""
        self.own_counts[worker_id] += 1

    def record_end(self, worker_id: str) -> None:
        """Counts the end of a request."""
        self.own_counts[worker_id] -= 1
        if self.own_counts[worker_id] <= 0:
            del self.own_counts[worker_id]

    def in_flight(self, worker_id: str) -> int:
        """Returns the requests in flight at a worker."""
        return self.own_counts[worker_id] + self.peer_counts[worker_id]

    def own_share(self, worker_ids: Collection[str]) -> float:
        """Returns this gateway's share of the requests at some workers.

        It is at least the mean over this gateway and the peers that have
        requests. Otherwise a new gateway that finds all workers full would
        expect no slot to become free for it and refuse every request.
        """
        own = sum(self.own_counts[worker_id] for worker_id in worker_ids)
        total = own + sum(
            self.peer_counts[worker_id] for worker_id in worker_ids
        )
        gateways = sum(gateways for _, gateways in self._by_peer.values())
        return max(own, total / (1 + gateways))

    def update_peer(
        self, peer_id: str, counts: Mapping[str, int], gateways: int = 1
    ) -> None:
        """Replaces the counts of a peer.

        Args:
            peer_id: The peer, or the zone whose sums these are.
            counts: Requests by worker id.
            gateways: Number of gateways that have such requests.
        """
        previous, _ = self._by_peer.pop(peer_id, ({}, 0))
        self.peer_counts.subtract(previous)
        if counts:
            self._by_peer[peer_id] = counts, gateways
            self.peer_counts.update(counts)
        self.peer_counts = +self.peer_counts

    def retain_peers(self, peer_ids: frozenset[str]) -> None:
        """Forgets the counts of all other peers."""
        for peer_id in tuple(self._by_peer):
            if peer_id not in peer_ids:
                self.update_peer(peer_id, {})
