"""Reserves workers freed by a conversion for the model that they are for."""

from collections.abc import Iterable

from oleanderbay.gateway import planner, table, workers
from oleanderbay.process import clock as clocks


class Reservations:
    """Reserves the members of converted groups for the target model.

    Without a reservation, the model that gave up a group would form it again
    at once: the members rejoin it almost immediately, and the planned group
    of the target model already counts as capacity.

    Attributes:
        hold_ms: Time for which the members of a converted group are reserved.
    """

    def __init__(self, clock: clocks.Clock, hold_ms: int) -> None:
        self.clock = clock
        self.hold_ms = hold_ms
        # Model and end of the reservation by group name and epoch.
        self._models: dict[tuple[str, int], tuple[table.Model, int]] = {}

    def add(self, group: str, epoch: int, model: table.Model) -> None:
        """Reserves the members of a group that is being closed."""
        now_ms = self.clock.now_ms()
        self._models = {
            key: entry
            for key, entry in self._models.items()
            if entry[1] > now_ms
        }
        self._models[(group, epoch)] = (model, now_ms + self.hold_ms)

    def model(self, worker: workers.Worker) -> table.Model | None:
        """Returns the model that a worker is reserved for, if any."""
        membership = worker.membership
        if membership is None:
            return None
        entry = self._models.get((membership.group, membership.epoch))
        if entry is None or entry[1] <= self.clock.now_ms():
            return None
        return entry[0]

    def split(
        self, free: Iterable[planner.FreeWorker]
    ) -> tuple[dict[str, list[planner.FreeWorker]], list[planner.FreeWorker]]:
        """Returns the reserved workers by model, and the others."""
        reserved: dict[str, list[planner.FreeWorker]] = {}
        unreserved = []
        for candidate in free:
            model = self.model(candidate.worker)
            if model is None:
                unreserved.append(candidate)
            else:
                reserved.setdefault(model.name, []).append(candidate)
        return reserved, unreserved
