"""Loads models onto workers' hosts before the workers need them."""

from collections.abc import Iterable, Mapping

import structlog

from oleanderbay.gateway import (
    affinity,
    conversion,
    formation,
    planner,
    table,
    workers,
)
from oleanderbay.gateway import capacity as capacity_module
from oleanderbay.gateway import telemetry as telemetry_module

log = structlog.get_logger()


class Staging:
    """Starts loads onto hosts, within the limit of the weight store.

    A worker that serves goes on serving during a load.
    """

    def __init__(
        self,
        capacity: capacity_module.Capacity,
        formations: formation.Formations,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self.capacity = capacity
        self.formations = formations
        self.telemetry = telemetry

    def stage_spares(
        self,
        engine: table.Engine,
        demands: Mapping[str, planner.ModelDemand],
        spares: Iterable[planner.FreeWorker],
        preferred: table.Model | None,
    ) -> None:
        """Loads a model onto the hosts of spare workers that have none."""
        model = affinity.model_for_spare(engine, demands, preferred)
        for spare in spares:
            if not spare.worker.staged and not spare.worker.models:
                self._stage(engine, spare.worker, model)

    def stage_alternatives(
        self, engine: table.Engine, groups: Iterable[workers.Group]
    ) -> None:
        """Loads another model onto the hosts of workers that serve.

        They can then change to it in the time of a warm start. The model of
        their own group is already in memory, so the host need not keep it.
        """
        for group in groups:
            others = [m for m in engine.models if m.name != group.model]
            if not group.open or not others:
                continue
            # A missing group of this model is the most expensive to form: its
            # members are the most workers with the longest load.
            model = max(others, key=lambda m: m.group_size * m.load_ms)
            for worker in group.members.values():
                self._stage(engine, worker, model)

    def stage_for_conversion(
        self,
        engine: table.Engine,
        chosen: conversion.Conversion,
        groups: Iterable[workers.Group],
    ) -> None:
        """Loads the target model of a conversion before closing its groups."""
        keys = {(donor.name, donor.epoch) for donor in chosen.groups}
        for group in groups:
            if (group.name, group.epoch) in keys:
                for worker in group.members.values():
                    self._stage(engine, worker, chosen.model)

    def _stage(
        self,
        engine: table.Engine,
        worker: workers.Worker,
        model: table.Model,
    ) -> None:
        if (
            model.name in worker.staged
            or self.formations.staging_requested(worker, model.name)
            or self.capacity.remaining_loads(engine) < 1
        ):
            return
        self.capacity.record_loads(1)
        self.telemetry.instruments.loads.add(1)
        log.debug("model staged ahead", worker=worker.id, model=model.name)
        self.formations.stage(worker, model)
