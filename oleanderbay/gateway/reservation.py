"""Workers that conversions have freed, and the model that they are for."""

from collections.abc import Iterable

from oleanderbay.gateway import planner, table, workers
from oleanderbay.process import clock as clocks


class Reservations:
    """Keeps the members of converted groups for the model that needs them.

    Without it, the model that gave a group would form it again at once: its
    members join it in no time, and the planned group of the other model
    already counts as capacity.

    Attributes:
        hold_ms: Time for which the members of a converted group are kept.
    """

    def __init__(self, clock: clocks.Clock, hold_ms: int) -> None:
        self.clock = clock
        self.hold_ms = hold_ms
        self._models: dict[tuple[str, int], tuple[table.Model, int]] = {}

    def add(self, group: str, epoch: int, model: table.Model) -> None:
        """Reserves the members of a group that is being closed."""
        now_ms = self.clock.now_ms()
        self._models = {
            key: kept for key, kept in self._models.items() if kept[1] > now_ms
        }
        self._models[(group, epoch)] = (model, now_ms + self.hold_ms)

    def model(self, worker: workers.Worker) -> table.Model | None:
        """Returns the model that a worker is reserved for, if any."""
        place = worker.membership
        if place is None:
            return None
        kept = self._models.get((place.group, place.epoch))
        if kept is None or kept[1] <= self.clock.now_ms():
            return None
        return kept[0]

    def split(
        self, free: Iterable[planner.FreeWorker]
    ) -> tuple[dict[str, list[planner.FreeWorker]], list[planner.FreeWorker]]:
        """Returns the reserved workers by model, and the others."""
        reserved: dict[str, list[planner.FreeWorker]] = {}
        others = []
        for item in free:
            model = self.model(item.worker)
            if model is None:
                others.append(item)
            else:
                reserved.setdefault(model.name, []).append(item)
        return reserved, others
