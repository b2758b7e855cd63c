"""Per-team flows of a fair queue: the queued requests of one service."""

import asyncio
import heapq
from typing import Any

from oleanderbay.version import resources


class QueuedRequest:
    """One queued request, ordered by priority, deadline and arrival.

    Attributes:
        team: The team that sent it.
        order: Sort key within the team.
        deadline_ms: Latest monotonic time at which it may be dispatched.
        cost: Cost relative to other requests.
        is_queued: Whether it is still queued. A removed request stays in the
            heaps until it reaches their top.
        future: Resolved with the admission slot or a refusal.
    """

    __slots__ = ("cost", "deadline_ms", "future", "is_queued", "order", "team")

    def __init__(
        self,
        team: resources.Team,
        order: tuple[int, int, int],
        deadline_ms: int,
        cost: float,
    ) -> None:
        self.team = team
        self.order = order
        self.deadline_ms = deadline_ms
        self.cost = cost
        self.is_queued = True
        self.future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )

    def __lt__(self, other: "QueuedRequest") -> bool:
        return self.order < other.order


class Flow:
    """The queued requests of one team.

    Attributes:
        heap: Queued and removed requests.
        queued_count: Requests in the heap that are still queued.
        tag: Number of the newest finish tag; -1 if there was none.
        finish_time: Virtual time at which the requests dispatched so far are
            finished.
    """

    __slots__ = ("finish_time", "heap", "queued_count", "tag")

    def __init__(self) -> None:
        self.heap: list[QueuedRequest] = []
        self.queued_count = 0
        self.tag = -1
        self.finish_time = 0.0

    def peek(self) -> QueuedRequest | None:
        """Returns the first queued request without removing it."""
        while self.heap and not self.heap[0].is_queued:
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None
